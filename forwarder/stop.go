package forwarder

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Times of a stop.
const (
	balancerLag = 3 * time.Second        // The balancer asks each second and looks away after two misses.
	stopMargin  = 400 * time.Millisecond // Before the kill, to say what happened.
	stopTick    = 50 * time.Millisecond
	elsewhere   = 10 * time.Millisecond // A client that comes back reaches another daemon at once.
	worthTaking = 0.25                  // Chance up to which a generation may outlast the daemon that takes it.
)

// errPanic ends a daemon in which a goroutine has panicked.
var errPanic = errors.New("a goroutine has panicked")

// serveReady answers the balancer's probes until the listener closes.
func (f *Forwarder) serveReady() {
	s := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if !f.isReady() {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
				return
			}
			ctx.SetStatusCode(fasthttp.StatusOK)
		},
	}
	if err := s.Serve(f.ready); err != nil && f.ctx.Err() == nil {
		f.log.Error().Err(err).Msg("forwarder: listener for probes failed")
	}
}

// Reload takes the settings that may change while the daemon runs: the retry
// budget and the time of a stop. Names and addresses need a restart.
func (f *Forwarder) Reload(cfg Settings) {
	f.budget.SetLimits(cfg.Bounds.RetryRatio, cfg.Bounds.RetrySlack)
	f.stopTime.Store(int64(cfg.Bounds.StopTime))
	f.log.Info().Float64("retry_ratio", cfg.Bounds.RetryRatio).Float64("retry_slack", cfg.Bounds.RetrySlack).
		Dur("stop_ms", cfg.Bounds.StopTime).Msg("forwarder: settings reloaded")
}

// Run serves until ctx ends, and then until the last request has ended or the
// time for a stop is over.
func (f *Forwarder) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-f.group.Failed():
		return errPanic
	}
	f.stopping.Store(true)
	began := f.clock.Now()
	f.log.Info().Int64("in_flight", f.inFlight.Load()).Msg("forwarder: stopping; no longer ready")
	f.withdraw()
	latest := began.Add(time.Duration(f.stopTime.Load()) - stopMargin)
	f.stopBy.Store(&latest)
	f.spawn(f.closeIdle)
	for {
		now := f.clock.Now()
		if !now.Before(latest) || (now.Sub(began) > balancerLag && f.inFlight.Load() == 0) {
			break
		}
		if err := f.clock.Sleep(f.ctx, stopTick); err != nil {
			return errors.Wrap(err, "stop")
		}
	}
	f.log.Info().Int64("in_flight", f.inFlight.Load()).Dur("took_ms", f.clock.Now().Sub(began)).Msg("forwarder: stopped")
	return nil
}

// closeIdle stops accepting connections and closes idle ones once the balancer
// looks away.
func (f *Forwarder) closeIdle() {
	if f.clock.Sleep(f.ctx, balancerLag) != nil {
		return
	}
	f.closing.Store(true)
	c, cancel := context.WithTimeout(f.ctx, time.Duration(f.stopTime.Load()))
	defer cancel()
	if err := f.server.ShutdownWithContext(c); err != nil && f.ctx.Err() == nil {
		f.log.Warn().Err(err).Msg("forwarder: connections of clients were still open at the end of the stop")
	}
}

// outlasts reports whether a generation that begins now would probably run for
// longer than the daemon, which is stopping.
func (s *stream) outlasts(now time.Time) bool {
	latest := s.f.stopBy.Load()
	if latest == nil {
		return false
	}
	return s.f.closing.Load() || s.place.SurvivalProbability(s.job, 0, latest.Sub(now)-s.x.route.Target) > worthTaking
}

// Close ends the daemon at once, with all that it serves.
func (f *Forwarder) Close() {
	f.stopping.Store(true)
	f.cancel()
	for _, l := range []net.Listener{f.callers, f.ready, f.figures} {
		if l != nil {
			_ = l.Close() // Nothing is accepted any more.
		}
	}
	f.peers.node.Close()
	f.group.Wait()
}

// withdraw removes the entry of this daemon.
func (f *Forwarder) withdraw() {
	f.spawn(func() {
		c, cancel := context.WithTimeout(f.ctx, withdrawWithin)
		defer cancel()
		if err := f.store.Withdraw(c, f.cfg.Daemon.Name); err != nil {
			f.log.Warn().Err(err).Msg("forwarder: entry of this daemon was not removed")
		}
	})
}
