package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/registrar"
)

// errEndpointDeferred means that an endpoint wants no requests now and is known to run.
var errEndpointDeferred = errors.New("the endpoint wants no requests of this daemon")

// endProbeLog holds the engines that have answered a probe while they wanted no requests.
type endProbeLog struct {
	probing sync.Mutex // Held during a probe of an engine that wants no requests.

	mu       sync.Mutex
	answered map[registrar.Identity]time.Time // Until when they want none.
}

// record records that an engine has answered that wants no requests until a time.
func (l *endProbeLog) record(id registrar.Identity, until, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answered == nil {
		l.answered = map[registrar.Identity]time.Time{}
	}
	for other, end := range l.answered {
		if !now.Before(end) {
			delete(l.answered, other)
		}
	}
	l.answered[id] = until
}

// hasAnswered reports whether an engine has answered and wants no requests yet.
func (l *endProbeLog) hasAnswered(id registrar.Identity, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.answered[id])
}

// probeEnd requests the report of an engine to find out whether its process has ended. While
// the engine wants no requests, probes go out one at a time, and none after it has answered
// one: probeEnd returns errEndpointDeferred then.
func (f *Forwarder) probeEnd(ctx context.Context, e registrar.Endpoint) (EngineReport, error) {
	if f.isDeferred(e, f.clock.Now()) {
		f.endProbes.probing.Lock()
		defer f.endProbes.probing.Unlock()
		if f.endProbes.hasAnswered(e.Identity, f.clock.Now()) {
			return EngineReport{}, errEndpointDeferred
		}
	}
	r, err := f.endpoints.Report(ctx, e)
	f.observeNotice(e, r.Notice)
	now := f.clock.Now()
	failed := errors.Is(err, requester.ErrNotSent) || errors.Is(err, requester.ErrOutcomeUnknown)
	if left := f.deferrals.For(e.Identity, now); left > 0 && !failed {
		f.endProbes.record(e.Identity, now.Add(left), now)
	}
	return r, err
}
