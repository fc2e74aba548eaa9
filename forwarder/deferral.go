package forwarder

import (
	"context"
	"time"

	"monsoonspar.example/state/registrar"
)

// An endpoint that refuses a request may name a time for which it wants no request of this
// daemon. Until then it gets no calls, generations, resumes, migrations and polls of this
// daemon; other daemons are not concerned.

// deferRequests records that an endpoint wants no requests for a time.
func (f *Forwarder) deferRequests(e registrar.Endpoint, asked time.Duration) {
	now := f.clock.Now()
	left, isNew := f.deferrals.Defer(e.Identity, asked, now)
	if p := f.knownPlacer(e.Service); p != nil {
		p.Defer(e.Identity, now.Add(left))
	}
	if isNew {
		f.metrics.count("deferrals")
		f.log.Info().Str("endpoint", e.Name).Str("service", e.Service).Dur("asked_ms", asked).Dur("deferred_ms", left).
			Msg("forwarder: endpoint wants no requests for a time")
	}
}

// isDeferred reports whether the endpoint wants no requests of this daemon now.
func (f *Forwarder) isDeferred(e registrar.Endpoint, now time.Time) bool {
	return f.deferrals.For(e.Identity, now) > 0
}

// awaitDeferral waits until the endpoint wants requests of this daemon. It returns false, at
// once if possible, if ctx ends before.
func (f *Forwarder) awaitDeferral(ctx context.Context, e registrar.Endpoint) bool {
	now := f.clock.Now()
	left := f.deferrals.For(e.Identity, now)
	if left == 0 {
		return true
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(now) < left {
		return false
	}
	return f.clock.Sleep(ctx, left) == nil
}

// runsAfterEnd reports whether the process of an engine still runs after the end of a stream.
// It waits until the engine may be asked, if the deadline of ctx permits that.
func (f *Forwarder) runsAfterEnd(ctx context.Context, e registrar.Endpoint) bool {
	return f.awaitDeferral(ctx, e) && f.stillRuns(ctx, e)
}

// allDeferred reports whether all endpoints want no requests of this daemon now, and returns
// the time until the first of them does.
func (f *Forwarder) allDeferred(endpoints []registrar.Endpoint, now time.Time) (time.Duration, bool) {
	first := time.Duration(0)
	for _, e := range endpoints {
		d := f.deferrals.For(e.Identity, now)
		if d == 0 {
			return 0, false
		}
		if first == 0 || d < first {
			first = d
		}
	}
	return first, len(endpoints) > 0
}
