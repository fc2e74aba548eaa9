package forwarder

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Limits of stopping a daemon.
const (
	balancerLag        = 3 * time.Second        // The load balancer probes every second and sends no connections after two failed probes.
	stopMargin         = 400 * time.Millisecond // Time before SIGKILL that is reserved for logging.
	lastAnswerTime     = 300 * time.Millisecond // Time before the end of the stop in which the requests that are left get their last answer.
	stopTick           = 50 * time.Millisecond
	stoppingRetryAfter = 10 * time.Millisecond // Retry-After while stopping; a retry reaches another daemon at once.

	// A stopping daemon refuses what outlasts it with a higher probability. A refusal costs the client of a call another
	// connection; the client of a generation has to wait for a placement again.
	maxOutlastProbability     = 0.25
	maxCallOutlastProbability = 0.05
)

// errStopping is the cause for which the contexts of the requests that are left at the end of a stop are canceled.
var errStopping = errors.New("the daemon is stopping")

// Limits of the requests of load balancers and of metric collectors.
const (
	probeReadTimeout = 10 * time.Second
	maxProbeBytes    = 4 << 10
)

// errPanic is returned by Run if a goroutine of the daemon has panicked.
var errPanic = errors.New("a goroutine of the forwarder panicked")

// serveReady answers the readiness probes of the load balancer until the listener
// is closed.
func (f *Forwarder) serveReady() {
	s := &fasthttp.Server{
		NoDefaultServerHeader: true,
		ReadTimeout:           probeReadTimeout,
		MaxRequestBodySize:    maxProbeBytes,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if !f.isReady() {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
				return
			}
			ctx.SetStatusCode(fasthttp.StatusOK)
		},
	}
	if err := s.Serve(f.readyListener); err != nil && f.ctx.Err() == nil {
		f.log.Error().Err(err).Msg("forwarder: readiness listener failed")
	}
}

// Reload applies the settings that may change while the daemon runs: the retry budget, the stop timeout and
// the address of the store. Names and the other addresses need a restart.
func (f *Forwarder) Reload(cfg Settings) {
	f.moveStore(cfg.Store.Addr)
	f.budget.SetLimits(cfg.Bounds.RetryRatio, cfg.Bounds.RetrySlack)
	f.stopTimeout.Store(int64(cfg.Bounds.StopTime))
	f.log.Info().Float64("retry_ratio", cfg.Bounds.RetryRatio).Float64("retry_slack", cfg.Bounds.RetrySlack).
		Dur("stop_ms", cfg.Bounds.StopTime).Msg("forwarder: settings reloaded")
}

// Run serves until ctx ends, and then until the last request has ended or the stop
// timeout has passed. It returns an error if a goroutine of the daemon panics.
func (f *Forwarder) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-f.group.Failed():
		return errPanic
	}
	startedAt := f.clock.Now()
	f.setStopDeadline(startedAt)
	f.stopping.Store(true)
	f.log.Info().Int64("in_flight", f.inFlight.Load()).Msg("forwarder: stopping; readiness probes fail from now on")
	f.removeDaemonEntry()
	f.spawn(f.closeClientConnections)
	for {
		now, deadline := f.clock.Now(), f.setStopDeadline(startedAt)
		if !now.Before(deadline) || (now.Sub(startedAt) > balancerLag && f.clients.busy() == 0 && f.paths.carried() == 0) {
			break
		}
		if !now.Before(deadline.Add(-lastAnswerTime)) {
			f.endRequests(errStopping)
			f.clients.refuseUnread()
		}
		f.quarantineWatch.notify() // Generations that wait for an engine may have to be refused.
		if err := f.clock.Sleep(f.ctx, stopTick); err != nil {
			return errors.Wrap(err, "stop")
		}
	}
	f.log.Info().Int64("in_flight", f.inFlight.Load()).Int("connections_busy", f.clients.busy()).Dur("took_ms", f.clock.Now().Sub(startedAt)).Msg("forwarder: stopped")
	return nil
}

// setStopDeadline sets the end of a stop that has started at a time, by the settings in force, and returns it.
func (f *Forwarder) setStopDeadline(startedAt time.Time) time.Time {
	deadline := startedAt.Add(time.Duration(f.stopTimeout.Load()) - stopMargin)
	f.stopDeadline.Store(&deadline)
	return deadline
}

// closeClientConnections stops accepting connections and closes idle ones after
// balancerLag, when the load balancer sends no new connections any more.
func (f *Forwarder) closeClientConnections() {
	if f.clock.Sleep(f.ctx, balancerLag) != nil {
		return
	}
	f.listenerClosed.Store(true)
	c, cancel := context.WithTimeout(f.ctx, time.Duration(f.stopTimeout.Load()))
	defer cancel()
	if err := f.server.ShutdownWithContext(c); err != nil && f.ctx.Err() == nil {
		f.log.Warn().Err(err).Msg("forwarder: client connections still open when the stop timed out")
	}
}

// stopRefusal is the refusal of a request that a stopping daemon has not passed on.
var stopRefusal = Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonStopping, RetryAfter: stoppingRetryAfter}

// timeToStop returns the time in which a request that is passed on now must have ended, and false unless the daemon
// is stopping.
func (f *Forwarder) timeToStop(now time.Time) (time.Duration, bool) {
	deadline := f.stopDeadline.Load()
	if deadline == nil {
		return 0, false
	}
	return deadline.Add(-lastAnswerTime).Sub(now), true
}

// outlastsDaemon reports whether the daemon is stopping and a generation that starts
// now is too likely to run for longer than the daemon.
func (s *stream) outlastsDaemon(now time.Time) bool {
	left, stopping := s.f.timeToStop(now)
	if !stopping {
		return false
	}
	return s.f.listenerClosed.Load() || s.jobPlacer.SurvivalProbability(s.job, s.job.OutputTokens, left-s.x.route.LatencyTarget) > maxOutlastProbability
}

// callOutlastsDaemon reports whether the daemon is stopping and a call that is passed on now is too likely to take
// longer than the daemon runs, by the times of earlier calls on its route.
func (f *Forwarder) callOutlastsDaemon(x *exchange, now time.Time) bool {
	left, stopping := f.timeToStop(now)
	if !stopping {
		return false
	}
	return left <= 0 || x.deadline.Sub(now) > left && f.durations.Survival(x.service, x.route.Name, left) > maxCallOutlastProbability
}

// recordDuration records how long a call that has been answered, or cut off at its deadline, took since it was passed
// on.
func (f *Forwarder) recordDuration(x *exchange, answered bool) {
	if x.sentAt.IsZero() {
		return
	}
	f.durations.Record(x.service, x.route.Name, f.clock.Now().Sub(x.sentAt), answered)
}

// Close stops the daemon at once and aborts all requests.
func (f *Forwarder) Close() {
	f.stopping.Store(true)
	f.cancel()
	for _, l := range []net.Listener{f.clientListener, f.readyListener, f.metricsListener} {
		if l != nil {
			_ = l.Close() // The error is irrelevant; the listener is not used again.
		}
	}
	f.peers.node.Close()
	f.group.Wait()
}

// removeDaemonEntry deletes the entry of this daemon from the store in the
// background.
func (f *Forwarder) removeDaemonEntry() {
	f.spawn(func() {
		c, cancel := context.WithTimeout(f.ctx, removeTimeout)
		defer cancel()
		if err := f.store.DeleteDaemon(c, f.cfg.Daemon.Name); err != nil {
			f.log.Warn().Err(err).Msg("forwarder: could not delete the entry of this daemon from the store")
		}
	})
}
