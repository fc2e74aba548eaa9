// Package balancer picks an endpoint of a plain service.
//
// The load of an endpoint is what this daemon has sent there and what the
// endpoint last told of its load. Endpoints that fail, refuse or answer slowly
// while others don't get less work; one that keeps failing is ejected and let
// back by single requests.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"monsoonspar.example/state/registrar"
)

// Weights and times of the choice.
const (
	loadHalfLife   = 300 * time.Millisecond // A reported load counts half after this; queues turn over in a few service times.
	learnRate      = 0.15                   // Weight of the newest answer in the averages; follows a fault within ten answers.
	failurePenalty = 6.0                    // Load units of an endpoint that always fails; more than its slots may hold.
	slowPenalty    = 1.0                    // Load units for each multiple of the fastest endpoint's latency.
	maxSlowRatio   = 8.0                    // Multiples of the fastest latency that count.
	ejectAfter     = 3                      // Consecutive failures.
	ejectionTime   = 1500 * time.Millisecond
	probeInterval  = 250 * time.Millisecond // Between requests to an endpoint that could not be reached; the others don't wait for it.
	crossingLoad   = 0.02                   // Load units of another failure domain; decides between equals.
	jitterLoad     = 0.05                   // Spreads the choices of daemons that see the same loads.
)

// Load is what an endpoint tells of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Result is how a request ended at an endpoint.
type Result struct {
	Failed  bool          // No answer, a broken one, or a server error.
	Refused bool          // Not run, because the endpoint is full.
	Cut     bool          // Not run, because the endpoint can't be reached.
	Latency time.Duration // Zero if there was no answer.
	Load    *Load         // Nil if the endpoint told none.
}

// state is what is known of one endpoint.
type state struct {
	mine         int // Requests of this daemon in flight.
	load         Load
	loadAt       time.Time
	failing      float64 // Share of failures.
	latency      float64 // Seconds.
	consecutive  int
	ejectedUntil time.Time
	cutUntil     time.Time // After it could not be reached.
	seen         time.Time // When a request was last sent there.
}

// Balancer chooses among the endpoints of one service. It is safe for
// concurrent use. Use New to make one.
type Balancer struct {
	domain string

	mu     sync.Mutex
	rand   *rand.Rand
	states map[registrar.Identity]*state
}

// New returns a Balancer for a daemon of the given failure domain.
func New(domain string, r *rand.Rand) *Balancer {
	return &Balancer{domain: domain, rand: r, states: map[registrar.Identity]*state{}}
}

// Pick returns the endpoint that should get the next request and counts the
// request there until Done. It reports false if all are excluded or could not be
// reached just now.
func (b *Balancer) Pick(endpoints []registrar.Endpoint, exclude map[registrar.Identity]bool, now time.Time) (registrar.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fastest := b.fastest(endpoints)
	best, bestCost := -1, 0.0
	bestEjected := true
	for i, e := range endpoints {
		if exclude[e.Identity] {
			continue
		}
		s := b.state(e.Identity)
		if now.Before(s.cutUntil) && now.Sub(s.seen) < probeInterval {
			continue
		}
		ejected := now.Before(s.ejectedUntil)
		cost := b.cost(e, s, fastest, now)
		if best < 0 || (bestEjected && !ejected) || (ejected == bestEjected && cost < bestCost) {
			best, bestCost, bestEjected = i, cost, ejected
		}
	}
	if best < 0 {
		return registrar.Endpoint{}, false
	}
	s := b.state(endpoints[best].Identity)
	s.mine++
	s.seen = now
	return endpoints[best], true
}

// fastest returns the lowest average latency. The mutex is held.
func (b *Balancer) fastest(endpoints []registrar.Endpoint) float64 {
	fastest := 0.0
	for _, e := range endpoints {
		l := b.state(e.Identity).latency
		if l > 0 && (fastest == 0 || l < fastest) {
			fastest = l
		}
	}
	return fastest
}

// cost returns the load at which the endpoint counts. The mutex is held.
func (b *Balancer) cost(e registrar.Endpoint, s *state, fastest float64, now time.Time) float64 {
	slots := float64(max(e.Slots, 1))
	load := float64(s.mine)
	if age := now.Sub(s.loadAt); !s.loadAt.IsZero() && age < 8*loadHalfLife {
		told := float64(s.load.Running + s.load.Waiting)
		load = max(load, told/float64(int64(1)<<(age/loadHalfLife)))
	}
	cost := load/slots + failurePenalty*s.failing + jitterLoad*b.rand.Float64()
	if fastest > 0 && s.latency > 0 {
		cost += slowPenalty * (min(s.latency/fastest, maxSlowRatio) - 1) / slots
	}
	if e.Domain != b.domain {
		cost += crossingLoad
	}
	return cost
}

// Done ends a request that Pick counted.
func (b *Balancer) Done(id registrar.Identity, r Result, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.mine = max(s.mine-1, 0)
	if r.Load != nil {
		s.load, s.loadAt = *r.Load, now
	}
	if r.Refused {
		s.load, s.loadAt = Load{Running: s.load.Slots, Waiting: s.load.Slots, Slots: s.load.Slots}, now
		return
	}
	failed := 0.0
	if r.Cut {
		s.consecutive = max(s.consecutive, ejectAfter-1)
		s.cutUntil = now.Add(ejectionTime)
	}
	if r.Failed || r.Cut {
		failed = 1
		s.consecutive++
	} else {
		s.consecutive = 0
		s.ejectedUntil, s.cutUntil = time.Time{}, time.Time{}
	}
	s.failing += learnRate * (failed - s.failing)
	if s.consecutive >= ejectAfter {
		s.ejectedUntil = now.Add(ejectionTime)
	}
	if r.Latency > 0 {
		if s.latency == 0 {
			s.latency = r.Latency.Seconds()
		}
		s.latency += learnRate * (r.Latency.Seconds() - s.latency)
	}
}

// Retain drops what is known of endpoints that are gone.
func (b *Balancer) Retain(endpoints []registrar.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	present := make(map[registrar.Identity]bool, len(endpoints))
	for _, e := range endpoints {
		present[e.Identity] = true
	}
	for id, s := range b.states {
		if !present[id] && s.mine == 0 {
			delete(b.states, id)
		}
	}
}

// state returns the state of an endpoint, made if needed. The mutex is held.
func (b *Balancer) state(id registrar.Identity) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}
