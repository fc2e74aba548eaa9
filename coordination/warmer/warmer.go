// Package warmer determines which endpoints are cold, until when, and how many requests
// per second a cold one can handle.
//
// An endpoint is cold for some time after its start, and may become cold again at any
// moment. Its entry states how long it stays cold; a daemon counts that time from its
// receipt of the entry, since clocks of machines differ. Until an entry is written that
// says otherwise, an endpoint may also be assumed cold, which it is when its failure domain
// is used again after it was evacuated.
package warmer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// state is what is known of the warm-up of one endpoint.
type state struct {
	endpoint registrar.Endpoint
	until    time.Time // When the endpoint is warm.
	assumed  bool      // Not said by the entry.
	// assumedAt is the revision of the store as of which the endpoint may be cold, if assumed.
	assumedAt int64
	cold      bool      // Its warm-up has not been reported as ended.
	listed    bool      // The entry is of a complete list, and may have been written long ago.
	checkAt   time.Time // When the endpoint may be asked next, if listed.
}

// checkInterval is the interval in which an endpoint whose entry may be old is asked whether it is
// still cold, until it answers.
const checkInterval = 2 * time.Second

// Warmer holds the remaining warm-up of endpoints. It is safe for concurrent use. Use New
// to make one.
type Warmer struct {
	firstEnd atomic.Int64 // Unix nanoseconds at which the first warm-up ends; math.MaxInt64 if none does.
	lastEnd  atomic.Int64 // Unix nanoseconds at which the last warm-up ends.

	mu     sync.RWMutex
	states map[registrar.Identity]*state
}

// New returns a Warmer that knows no endpoint.
func New() *Warmer {
	w := &Warmer{states: map[registrar.Identity]*state{}}
	w.firstEnd.Store(math.MaxInt64)
	return w
}

// Observe records an entry that was received now, in a complete list or as a change. An entry that
// is not newer than the known one of the same run of the endpoint changes nothing. It reports
// whether the endpoint has become cold or warm.
func (w *Warmer) Observe(e registrar.Endpoint, listed bool, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.states[e.Identity]
	if s != nil && s.endpoint.Revision >= e.Revision {
		return false
	}
	if s == nil {
		s = &state{}
		w.states[e.Identity] = s
	}
	if s.assumed && e.Revision <= s.assumedAt { // Written before the endpoint may have become cold.
		s.endpoint = e
		return false
	}
	wasCold := s.cold
	*s = state{endpoint: e, until: now.Add(e.RemainingWarmUp), cold: e.RemainingWarmUp > 0, listed: listed}
	w.updateEnds()
	return s.cold != wasCold
}

// Assume records that the endpoint, whose entry is known, may be cold from now for
// warmUp, until an entry written after the given revision says otherwise. It reports whether the endpoint has
// become cold.
func (w *Warmer) Assume(e registrar.Endpoint, warmUp time.Duration, revision int64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.states[e.Identity]
	if s == nil {
		s = &state{endpoint: e}
		w.states[e.Identity] = s
	}
	if s.endpoint.Revision > e.Revision || e.Revision > revision || warmUp <= 0 || !s.until.Before(now.Add(warmUp)) {
		return false
	}
	wasCold := s.cold
	s.until, s.assumed, s.assumedAt, s.cold = now.Add(warmUp), true, revision, true
	w.updateEnds()
	return !wasCold
}

// MarkWarm records that the endpoint is warm according to a daemon that received its entry
// of the given revision earlier. An assumption is kept, since no entry contradicts it.
func (w *Warmer) MarkWarm(id registrar.Identity, revision int64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.states[id]; s != nil && !s.assumed && s.endpoint.Revision == revision && s.until.After(now) {
		s.until = now
		w.updateEnds()
	}
}

// DueChecks returns the cold endpoints whose entries may have been written long ago and which are
// due to be asked, among those for which the daemon asks.
func (w *Warmer) DueChecks(asks func(registrar.Endpoint) bool, now time.Time) []registrar.Endpoint {
	if !w.AnyCold(now) {
		return nil
	}
	var due []registrar.Endpoint
	for _, e := range w.unchecked(now) {
		if asks(e) {
			due = append(due, e)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range due {
		if s := w.states[e.Identity]; s != nil {
			s.checkAt = now.Add(checkInterval)
		}
	}
	return due
}

// unchecked returns the cold endpoints whose entries may have been written long ago and which have
// not been asked lately.
func (w *Warmer) unchecked(now time.Time) []registrar.Endpoint {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var all []registrar.Endpoint
	for _, s := range w.states {
		if s.listed && s.cold && !s.assumed && !now.Before(s.checkAt) {
			all = append(all, s.endpoint)
		}
	}
	return all
}

// SetRemaining records what the endpoint itself has said about its warm-up at now, unless a later
// entry is known or an assumption was made.
func (w *Warmer) SetRemaining(e registrar.Endpoint, remaining time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.states[e.Identity]; s != nil && !s.assumed && s.endpoint.Revision == e.Revision {
		s.until, s.listed, s.cold = now.Add(remaining), false, remaining > 0
		w.updateEnds()
	}
}

// IsWarm reports whether the endpoint is known to be warm according to its entry of the given
// revision or a later one.
func (w *Warmer) IsWarm(id registrar.Identity, revision int64, now time.Time) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	s := w.states[id]
	return s != nil && s.endpoint.Revision >= revision && !s.until.After(now)
}

// Remaining returns the time for which the endpoint stays cold, and whether that is assumed;
// zero if it is warm or unknown.
func (w *Warmer) Remaining(id registrar.Identity, now time.Time) (remaining time.Duration, assumed bool) {
	if now.UnixNano() >= w.lastEnd.Load() {
		return 0, false
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	s := w.states[id]
	if s == nil || !s.until.After(now) {
		return 0, false
	}
	return s.until.Sub(now), s.assumed
}

// Rate returns the requests per second that the endpoint of a service can handle from all
// daemons together while it is cold. It returns false if the endpoint is warm, or the service
// names no such rate.
func (w *Warmer) Rate(e registrar.Endpoint, s matcher.Service, now time.Time) (float64, bool) {
	remaining, _ := w.Remaining(e.Identity, now)
	return s.ColdRate, remaining > 0 && s.ColdRate > 0
}

// AnyCold reports whether any endpoint is cold.
func (w *Warmer) AnyCold(now time.Time) bool { return now.UnixNano() < w.lastEnd.Load() }

// Expire returns the endpoints that have become warm since the last call.
func (w *Warmer) Expire(now time.Time) []registrar.Endpoint {
	if now.UnixNano() < w.firstEnd.Load() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var warm []registrar.Endpoint
	for _, s := range w.states {
		if s.cold && !s.until.After(now) {
			s.cold, s.assumed = false, false
			warm = append(warm, s.endpoint)
		}
	}
	w.updateEnds()
	return warm
}

// Retain removes the state of all endpoints that are not present.
func (w *Warmer) Retain(present func(registrar.Identity) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.states {
		if !present(id) {
			delete(w.states, id)
		}
	}
	w.updateEnds()
}

// updateEnds updates the times of the first and the last end of a warm-up. The mutex is held.
func (w *Warmer) updateEnds() {
	first, last := int64(math.MaxInt64), int64(0)
	for _, s := range w.states {
		if s.cold {
			first, last = min(first, s.until.UnixNano()), max(last, s.until.UnixNano())
		}
	}
	w.firstEnd.Store(first)
	w.lastEnd.Store(last)
}
