// Package limiter keeps all daemons together within the request rates that endpoints
// name.
//
// An endpoint may name a limit: the requests per second that it accepts from all
// daemons together. Each daemon passes on to the others what it learns from a
// response, and the newest observation is kept.
//
// One daemon, chosen by rendezvous hashing among those that are reachable, grants
// the requests to an endpoint (Members.Rank). A daemon asks it before each request.
// No agreement is needed: a daemon grants only the share of the limit that
// corresponds to the daemons that it reaches (Members.Share), so the parts of a
// partitioned network stay within the limit together. A daemon whose request is
// denied asks again after a time that grows with the number of daemons that ask.
package limiter

import (
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/registrar"
)

// shardCount is the number of shards of the endpoints, each with a lock.
const shardCount = 16

// Limiter holds the limits of the endpoints at one daemon, and the budgets of those
// whose requests it grants. It is safe for concurrent use. Use New to make one.
type Limiter struct {
	limited atomic.Int64  // Number of endpoints with a limit.
	digest  atomic.Uint64 // Sum of the hashes of the entries.
	shards  [shardCount]shard
}

// shard holds some of the endpoints.
type shard struct {
	mu      sync.Mutex
	rand    *rand.Rand
	entries map[registrar.Identity]*entry
}

// entry is the state of one endpoint that names a limit or has named one.
type entry struct {
	limited    bool
	rate       float64 // Requests per second, if limited.
	observedAt time.Time
	// The limit that was last announced to the peers, which the digest contains.
	announced     bool
	announcedRate float64
	announcedAt   time.Time
	// deniedUntil is when this daemon may ask again, for each urgency.
	deniedUntil [urgencies]time.Time
	budget      budget
}

// Observation is what a response of an endpoint, possibly to another daemon, says
// about its limit.
type Observation struct {
	Endpoint registrar.Identity
	Limited  bool
	Rate     float64 // Requests per second, if Limited.
	At       time.Time
}

// New returns a Limiter without limits.
func New(r *rand.Rand) *Limiter {
	l := &Limiter{}
	for i := range l.shards {
		l.shards[i] = shard{rand: rand.New(rand.NewPCG(r.Uint64(), r.Uint64())), entries: map[registrar.Identity]*entry{}}
	}
	return l
}

// shard returns the shard of an endpoint.
func (l *Limiter) shard(id registrar.Identity) *shard {
	return &l.shards[xxhash.Sum64String(id.Name)%shardCount]
}

// An endpoint may name another limit in each response. Peers are told of large changes
// only, and not at each of them; an ask carries the limit that its daemon knows.
const (
	announcedChange  = 0.1 // Least relative change.
	announceInterval = 200 * time.Millisecond
)

// Observe records an observation of this daemon or of another one. It reports
// whether the limit has changed so much that the peers should be told. Observations
// older than the newest one are ignored.
func (l *Limiter) Observe(o Observation) bool {
	s := l.shard(o.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[o.Endpoint]
	if e == nil {
		e = &entry{}
		s.entries[o.Endpoint] = e
	}
	if o.At.Before(e.observedAt) {
		return false
	}
	e.observedAt = o.At
	if e.limited != o.Limited || e.rate != o.Rate {
		l.setLimit(e, o)
	}
	return l.announce(e, o)
}

// setLimit changes the limit of an endpoint. The mutex is held.
func (l *Limiter) setLimit(e *entry, o Observation) {
	switch {
	case o.Limited && !e.limited:
		l.limited.Add(1)
	case !o.Limited && e.limited:
		l.limited.Add(-1)
		e.budget = budget{}
	}
	e.limited, e.rate = o.Limited, o.Rate
	e.deniedUntil = [urgencies]time.Time{}
}

// announce reports whether the peers should be told of an observation, and records so.
// The mutex is held.
func (l *Limiter) announce(e *entry, o Observation) bool {
	large := o.Limited != e.announced || math.Abs(o.Rate-e.announcedRate) > announcedChange*e.announcedRate
	if !large || o.At.Sub(e.announcedAt) < announceInterval {
		return false
	}
	before := e.hash(o.Endpoint)
	e.announced, e.announcedRate, e.announcedAt = o.Limited, o.Rate, o.At
	l.digest.Add(e.hash(o.Endpoint) - before)
	return true
}

// Limit returns the limit of an endpoint in requests per second. It returns false if
// the endpoint names none.
func (l *Limiter) Limit(id registrar.Identity) (float64, bool) {
	if l.limited.Load() == 0 {
		return 0, false
	}
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil || !e.limited {
		return 0, false
	}
	return e.rate, true
}

// Tracks reports whether a response of the endpoint that names no limit matters: the
// endpoint has a limit, or the peers have not been told yet that it has none.
func (l *Limiter) Tracks(id registrar.Identity) bool {
	if l.limited.Load() == 0 && l.digest.Load() == 0 {
		return false
	}
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	return e != nil && (e.limited || e.announced)
}

// All returns the newest observation of each endpoint that names a limit or has
// named one.
func (l *Limiter) All() []Observation {
	var all []Observation
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			all = append(all, Observation{Endpoint: id, Limited: e.limited, Rate: e.rate, At: e.observedAt})
		}
		s.mu.Unlock()
	}
	return all
}

// Digest returns a hash of the limits that were announced. Limiters with the same ones
// have the same digest; it is zero without limits.
func (l *Limiter) Digest() uint64 { return l.digest.Load() }

// hash returns the part of the digest that an endpoint contributes; zero without a limit.
func (e *entry) hash(id registrar.Identity) uint64 {
	if !e.announced {
		return 0
	}
	return xxhash.Sum64String(id.Name + "/" + strconv.FormatInt(id.Started, 10) + "/" + strconv.FormatFloat(e.announcedRate, 'g', -1, 64))
}

// Retain removes the state of all endpoints that are not present.
func (l *Limiter) Retain(present func(registrar.Identity) bool) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if present(id) {
				continue
			}
			if e.limited {
				l.limited.Add(-1)
			}
			l.digest.Add(-e.hash(id))
			delete(s.entries, id)
		}
		s.mu.Unlock()
	}
}

// Deny records that a request was denied, so that this daemon does not ask again
// before retryAfter has passed.
func (l *Limiter) Deny(id registrar.Identity, u Urgency, retryAfter time.Duration, now time.Time) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil && e.limited {
		e.deniedUntil[u] = now.Add(retryAfter)
	}
}

// DeniedFor returns the time for which this daemon should not ask for a request to
// the endpoint; zero if it may ask now.
func (l *Limiter) DeniedFor(id registrar.Identity, u Urgency, now time.Time) time.Duration {
	if l.limited.Load() == 0 {
		return 0
	}
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil || !e.limited {
		return 0
	}
	return max(e.deniedUntil[u].Sub(now), 0)
}

// Grant decides about a request on behalf of all daemons that this daemon reaches,
// which are the given share of all daemons.
func (l *Limiter) Grant(id registrar.Identity, a Ask, share float64, now time.Time) Decision {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil || !e.limited {
		return Decision{Granted: true}
	}
	return e.budget.decide(a, e.rate, share, s.rand, now)
}

// Age returns the age of the newest observation of the limit of an endpoint.
func (l *Limiter) Age(id registrar.Identity, now time.Time) time.Duration {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil {
		return 0
	}
	return max(now.Sub(e.observedAt), 0)
}
