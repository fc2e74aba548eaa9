// Package balancer picks an endpoint for each request to a plain service, which is
// a service that does not generate tokens.
//
// The load of an endpoint is estimated from this daemon's requests in flight and
// from the load that the endpoint last reported. Endpoints that fail, refuse
// requests or are slower than others get fewer requests. An endpoint that keeps
// failing is ejected for a while; when it is readmitted, a single failure ejects
// it again until a request succeeds.
package balancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonspar.example/state/registrar"
)

// Parameters for choosing an endpoint. Penalties and loads are in load per slot, as
// the result of cost.
const (
	loadHalfLife    = 300 * time.Millisecond  // Half-life of a reported load; the contents of a queue change within a few service times.
	newResultWeight = 0.15                    // Weight of the newest result in the moving averages; they follow a fault within ten results.
	latencyHalfLife = 5 * time.Second         // Half-life of a latency without new results, so that a slow endpoint is tried again.
	failureHalfLife = 30 * time.Second        // Likewise of a failure rate; a try may cost a request that can't be repeated.
	failurePenalty  = 6.0                     // Added for an endpoint that always fails; more than the load of full slots.
	slowPenalty     = 1.0                     // Added, divided by the slots, for each multiple of the fastest endpoint's latency.
	maxSlowRatio    = 8.0                     // Limit on the ratio to the fastest endpoint's latency.
	ejectAfter      = 3                       // Consecutive failures after which an endpoint is ejected.
	ejectionTime    = 1500 * time.Millisecond // Duration of an ejection, and time for which an endpoint counts as unreachable.
	probeInterval   = 250 * time.Millisecond  // Minimum time between requests to an unreachable endpoint; the requests in between don't wait for it.
	otherDomainLoad = 0.02                    // Added for another failure domain; decides between equal endpoints.
	jitterLoad      = 0.05                    // Spreads the choices of daemons that see the same loads.
)

// Load is the load that an endpoint reports.
type Load struct {
	Running  int
	Queued   int
	Slots    int
	Slowdown float64 // Time that a unit of work takes at the endpoint now, as a ratio to the usual time; zero if not reported.
}

// Result is the result of a request to an endpoint.
type Result struct {
	Failed      bool          // No response, a malformed one, or a server error.
	Refused     bool          // Not run, because the endpoint is full.
	Unreachable bool          // Not run, because the endpoint is unreachable.
	Latency     time.Duration // Zero if there was no response.
	Load        *Load         // Nil if the endpoint reported none.
}

// endpointState is the state of one endpoint as seen by this daemon.
type endpointState struct {
	inFlight            int // Requests of this daemon.
	load                Load
	loadReportedAt      time.Time
	failureRate         float64 // Moving average.
	meanLatency         float64 // Moving average in seconds; zero before the first response.
	consecutiveFailures int
	ejectedUntil        time.Time
	unreachableUntil    time.Time // Set when the endpoint is unreachable.
	lastRequestAt       time.Time // When the endpoint was last picked.
	lastResultAt        time.Time
}

// weightAt returns the weight that the results so far have at now, which falls with the
// time since the last one.
func (s *endpointState) weightAt(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-now.Sub(s.lastResultAt).Seconds() / halfLife.Seconds())
}

// Balancer chooses among the endpoints of one service. It is safe for
// concurrent use. Use New to make one.
type Balancer struct {
	domain string

	mu     sync.Mutex
	rand   *rand.Rand
	states map[registrar.Identity]*endpointState
}

// New returns a Balancer for a daemon of the given failure domain.
func New(domain string, r *rand.Rand) *Balancer {
	return &Balancer{domain: domain, rand: r, states: map[registrar.Identity]*endpointState{}}
}

// Pick returns the endpoint for the next request and counts the request as in
// flight until Done. It reports false if all endpoints are excluded, or
// unreachable and tried within probeInterval.
func (b *Balancer) Pick(endpoints []registrar.Endpoint, exclude map[registrar.Identity]bool, now time.Time) (registrar.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fastest := b.lowestLatency(endpoints)
	best, bestCost := -1, 0.0
	bestEjected := true
	for i, e := range endpoints {
		if exclude[e.Identity] {
			continue
		}
		s := b.state(e.Identity)
		if now.Before(s.unreachableUntil) && now.Sub(s.lastRequestAt) < probeInterval {
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
	s.inFlight++
	s.lastRequestAt = now
	return endpoints[best], true
}

// lowestLatency returns the lowest average latency of the endpoints, in seconds, or
// zero if none is known. The mutex is held.
func (b *Balancer) lowestLatency(endpoints []registrar.Endpoint) float64 {
	fastest := 0.0
	for _, e := range endpoints {
		latency := b.state(e.Identity).meanLatency
		if latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	return fastest
}

// cost returns the load of the endpoint per slot, with all penalties added. The
// mutex is held.
func (b *Balancer) cost(e registrar.Endpoint, s *endpointState, fastest float64, now time.Time) float64 {
	slots := float64(max(e.Slots, 1))
	load := float64(s.inFlight)
	if age := now.Sub(s.loadReportedAt); !s.loadReportedAt.IsZero() && age < 8*loadHalfLife {
		reported := float64(s.load.Running + s.load.Queued)
		load = max(load, reported/float64(int64(1)<<(age/loadHalfLife)))
	}
	cost := load/slots + failurePenalty*s.failureRate*s.weightAt(now, failureHalfLife) + jitterLoad*b.rand.Float64()
	if fastest > 0 && s.meanLatency > 0 {
		cost += slowPenalty * (min(s.meanLatency/fastest, maxSlowRatio) - 1) / slots * s.weightAt(now, latencyHalfLife)
	}
	if e.Domain != b.domain {
		cost += otherDomainLoad
	}
	return cost
}

// Done records the result of a request to an endpoint that Pick returned.
func (b *Balancer) Done(id registrar.Identity, r Result, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inFlight = max(s.inFlight-1, 0)
	if r.Load != nil {
		s.load, s.loadReportedAt = *r.Load, now
	}
	if r.Refused {
		s.load, s.loadReportedAt = Load{Running: s.load.Slots, Queued: s.load.Slots, Slots: s.load.Slots}, now
		return
	}
	failed := 0.0
	if r.Unreachable {
		s.consecutiveFailures = max(s.consecutiveFailures, ejectAfter-1)
		s.unreachableUntil = now.Add(ejectionTime)
	}
	if r.Failed || r.Unreachable {
		failed = 1
		s.consecutiveFailures++
	} else {
		s.consecutiveFailures = 0
		s.ejectedUntil, s.unreachableUntil = time.Time{}, time.Time{}
	}
	s.failureRate *= s.weightAt(now, failureHalfLife)
	s.failureRate += newResultWeight * (failed - s.failureRate)
	if s.consecutiveFailures >= ejectAfter {
		s.ejectedUntil = now.Add(ejectionTime)
	}
	if r.Latency > 0 {
		if s.meanLatency == 0 {
			s.meanLatency = r.Latency.Seconds()
		}
		weight := 1 - (1-newResultWeight)*s.weightAt(now, latencyHalfLife)
		s.meanLatency += weight * (r.Latency.Seconds() - s.meanLatency)
	}
	s.lastResultAt = now
}

// Cancel records that a request was not sent to the endpoint that Pick returned.
func (b *Balancer) Cancel(id registrar.Identity) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inFlight = max(s.inFlight-1, 0)
}

// Retain removes the state of all other endpoints, unless they have requests in
// flight.
func (b *Balancer) Retain(endpoints []registrar.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	present := make(map[registrar.Identity]bool, len(endpoints))
	for _, e := range endpoints {
		present[e.Identity] = true
	}
	for id, s := range b.states {
		if !present[id] && s.inFlight == 0 {
			delete(b.states, id)
		}
	}
}

// state returns the state of an endpoint and creates it if needed. The mutex is
// held.
func (b *Balancer) state(id registrar.Identity) *endpointState {
	s := b.states[id]
	if s == nil {
		s = &endpointState{}
		b.states[id] = s
	}
	return s
}
