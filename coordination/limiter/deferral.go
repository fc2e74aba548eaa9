package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"monsoonspar.example/state/registrar"
)

// MaxDeferral bounds a deferral. An endpoint that asks for a longer one gets a request
// after this time, and may ask again.
const MaxDeferral = 5 * time.Minute

// Deferrals holds the endpoints that want no request of this daemon for some time. Unlike
// a limit, a deferral concerns one daemon only, and nobody grants requests meanwhile. It
// is safe for concurrent use. The zero value has no deferrals.
type Deferrals struct {
	lastEnd atomic.Int64 // Unix nanoseconds at which the last deferral ends.
	mu      sync.Mutex
	until   map[registrar.Identity]time.Time
}

// Defer records that an endpoint wants no request for d, at most MaxDeferral. A deferral is
// never shortened. It returns the time from now until the deferral ends, and whether the
// endpoint was not deferred before.
func (l *Deferrals) Defer(id registrar.Identity, d time.Duration, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = map[registrar.Identity]time.Time{}
	}
	for other, until := range l.until {
		if !now.Before(until) {
			delete(l.until, other)
		}
	}
	_, known := l.until[id]
	if until := now.Add(min(d, MaxDeferral)); until.After(l.until[id]) {
		l.until[id] = until
		l.lastEnd.Store(max(l.lastEnd.Load(), until.UnixNano()))
	}
	return l.until[id].Sub(now), !known
}

// For returns the time for which the endpoint wants no request; zero if it may get one now.
func (l *Deferrals) For(id registrar.Identity, now time.Time) time.Duration {
	if now.UnixNano() >= l.lastEnd.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.until[id].Sub(now), 0)
}
