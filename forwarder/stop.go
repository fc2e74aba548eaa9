package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Times of a stop.
const (
	balancerLag = 3 * time.Second        // The balancer asks each second and looks away after two misses.
	stopMargin  = 400 * time.Millisecond // Before the kill, to say what happened.
	stopTick    = 50 * time.Millisecond
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

// Run serves until ctx ends, and then until the last request has ended or the
// time for a stop is over.
func (f *Forwarder) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-f.failed:
		return errPanic
	}
	f.stopping.Store(true)
	began := f.clock.Now()
	f.log.Info().Int64("in_flight", f.inFlight.Load()).Msg("forwarder: stopping; no longer ready")
	f.withdraw()
	latest := began.Add(f.cfg.Bounds.StopTime - stopMargin)
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
