// Package balancer picks an endpoint for each request to a plain service, which is
// a service that does not generate tokens.
//
// The load of an endpoint is estimated from this daemon's requests in flight and
// from the load that the endpoint last reported. Endpoints that fail, refuse
// requests or are slower than others get fewer requests. An endpoint that keeps
// failing is ejected for a while; when it is readmitted, a single failure ejects
// it again until a request succeeds.
//
// The speed of each endpoint, and the load beyond which it gets no faster, are learned
// by package gauger. While the service has room, the fastest endpoints are preferred;
// the closer it is to its capacity, the more evenly the endpoints are used, each
// according to its own. Among endpoints that are alike only the load decides.
package balancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonspar.example/state/gauger"
	"monsoonspar.example/state/registrar"
)

// Parameters for choosing an endpoint. Penalties and loads are in load per slot, as
// the result of cost.
const (
	loadHalfLife    = 300 * time.Millisecond  // Half-life of a reported load; the contents of a queue change within a few service times.
	newResultWeight = 0.15                    // Weight of the newest result in the moving averages; they follow a fault within ten results.
	latencyHalfLife = 5 * time.Second         // Half-life of the penalty for a slow endpoint without new results, so that it is tried again.
	failureHalfLife = 30 * time.Second        // Likewise of a failure rate; a try may cost a request that can't be repeated.
	failurePenalty  = 6.0                     // Added for an endpoint that always fails; more than the load of full slots.
	slowPenalty     = 1.0                     // Added, divided by the slots, for each multiple of the fastest endpoint's time, while the service is idle.
	maxSlowRatio    = 8.0                     // Limit on the ratio to the fastest endpoint's time.
	lateJitter      = 160.0                   // Multiple of the share of late results by which an endpoint with an old report is picked less.
	kneePenalty     = 4.0                     // Added for load beyond a knee that is far below the slots; others queue at no cost in speed.
	latePenalty     = 6.0                     // Added for an endpoint that would miss the goal; more than the load of full slots.
	goalMargin      = 0.9                     // Share of the goal that the expected time may take, since results scatter.
	lateMargin      = 1.0                     // Multiple of the goal that the time of a unit of work must exceed for the penalty; results include some waiting.
	minLateResults  = 3                       // Results before an endpoint counts as one that would miss the goal; a first one may have met a pause.
	lateTryShare    = 0.005                   // Share of the requests that try an endpoint that would miss the goal while the others are loaded.
	loadedShare     = 0.4                     // Share of the capacity in use from which a service counts as loaded.
	steadyChange    = 0.4                     // Logarithm of a ratio of capacities from which a change takes effect at once.
	steadyTime      = 2 * time.Second         // Time constant of smaller changes.
	estimateAge     = 5 * time.Millisecond    // A reported slowdown loses 1% of its weight within it.
	ejectAfter      = 3                       // Consecutive failures after which an endpoint is ejected.
	ejectionTime    = 1500 * time.Millisecond // Duration of an ejection, and time for which an endpoint counts as unreachable.
	maxLoad         = 1 << 20                 // Limit on reported loads, which may be any number.
	probeInterval   = 250 * time.Millisecond  // Minimum time between requests to an unreachable endpoint; the requests in between don't wait for it.
	otherDomainLoad = 0.02                    // Added for another failure domain; decides between equal endpoints.
	coldLoad        = 0.5                     // Added for a cold endpoint, so that it gets requests when the warm ones are half full.
	jitterLoad      = 0.05                    // Spreads the choices of daemons that see the same loads.
	staleJitter     = 5.0                     // Multiple of jitterLoad by which old reports add to it.
	lateWeight      = 0.05                    // Weight of the newest result in the share of late results.
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
	slots               int
	inFlight            int // Requests of this daemon.
	load                Load
	loadReportedAt      time.Time
	failureRate         float64 // Moving average.
	gauge               *gauger.Endpoint
	goal                time.Duration
	lateRate            float64         // Moving average.
	relation            gauger.Relation // As of the last Pick.
	told                gauger.Relation // As TakeChange last returned it.
	toldAt              time.Time
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

// Request is what matters of a request for the choice of its endpoint.
type Request struct {
	Goal   time.Duration // Time within which it should be answered; zero if unknown.
	Unsafe bool          // It may not be repeated, so it tries no endpoint that is believed to be slow.
}

// Balancer chooses among the endpoints of one service. It is safe for
// concurrent use. Use New to make one.
type Balancer struct {
	domain string

	mu     sync.Mutex
	rand   *rand.Rand
	states map[registrar.Identity]*endpointState

	// Of the endpoints of the last Pick.
	candidates []*endpointState
	estimates  []gauger.Estimate
	slots      []int
	relations  []gauger.Relation
	fleet      fleet
	relatedAt  time.Time
}

// New returns a Balancer for a daemon of the given failure domain.
func New(domain string, r *rand.Rand) *Balancer {
	return &Balancer{domain: domain, rand: r, states: map[registrar.Identity]*endpointState{}}
}

// Pick is PickFor for a request without a goal that may be repeated.
func (b *Balancer) Pick(endpoints []registrar.Endpoint, exclude map[registrar.Identity]bool, now time.Time) (registrar.Endpoint, bool) {
	return b.PickFor(Request{}, endpoints, exclude, now)
}

// PickFor returns the endpoint for a request and counts the request as in
// flight until Done. It reports false if all endpoints are excluded, or
// unreachable and tried within probeInterval.
func (b *Balancer) PickFor(q Request, endpoints []registrar.Endpoint, exclude map[registrar.Identity]bool, now time.Time) (registrar.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.relate(endpoints, now)
	best, bestCost := -1, 0.0
	bestEjected := true
	for i, e := range endpoints {
		if exclude[e.Identity] {
			continue
		}
		s := b.candidates[i]
		if now.Before(s.unreachableUntil) && now.Sub(s.lastRequestAt) < probeInterval {
			continue
		}
		ejected := now.Before(s.ejectedUntil)
		cost := b.cost(&q, e, s, &b.relations[i], &f, now)
		if best < 0 || (bestEjected && !ejected) || (ejected == bestEjected && cost < bestCost) {
			best, bestCost, bestEjected = i, cost, ejected
		}
	}
	if best < 0 {
		return registrar.Endpoint{}, false
	}
	s := b.candidates[best]
	s.inFlight++
	s.goal = q.Goal
	s.lastRequestAt = now
	if now.Sub(s.loadReportedAt) < loadHalfLife || s.loadReportedAt.IsZero() { // An older load says nothing.
		s.gauge.RecordLoad(s.plausibleLoad(now), now)
	}
	return endpoints[best], true
}

// fleet is what the endpoints of a service have in common.
type fleet struct {
	fastest     float64 // Lowest slowness.
	fastestUnit float64 // Lowest time of a unit of work, in seconds; zero if one is unknown.
	meanSpeed   float64 // Mean capacity, in the typical endpoint's slots.
	utilization float64 // Share of the capacity that is in use, up to 1.
	different   bool    // Not all endpoints are alike.
}

// relate sets the fields of one Pick and returns what the endpoints have in common, at
// most estimateAge old. The mutex is held.
func (b *Balancer) relate(endpoints []registrar.Endpoint, now time.Time) fleet {
	same := len(b.candidates) == len(endpoints)
	b.candidates = b.candidates[:0]
	for _, e := range endpoints {
		s := b.state(e.Identity)
		n := len(b.candidates)
		same = same && b.candidates[:n+1][n] == s && s.slots == max(e.Slots, 1)
		s.slots = max(e.Slots, 1)
		b.candidates = append(b.candidates, s)
	}
	if age := now.Sub(b.relatedAt); same && age >= 0 && age < estimateAge {
		return b.fleet
	}
	b.estimates, b.slots, b.relations = b.estimates[:0], b.slots[:0], b.relations[:0]
	for _, s := range b.candidates {
		b.slots = append(b.slots, s.slots)
		b.estimates = append(b.estimates, s.gauge.Estimate(now))
	}
	b.relations = gauger.Relate(b.relations, b.estimates, b.slots)
	f := fleet{fastest: math.Inf(1), fastestUnit: math.Inf(1)}
	inUse, capacity := 0.0, 0.0
	for i := range b.relations {
		r := &b.relations[i]
		b.candidates[i].steady(r, now.Sub(b.relatedAt))
		b.candidates[i].relation = *r
		f.fastest, f.fastestUnit = min(f.fastest, r.Slowness), min(f.fastestUnit, r.Unit)
		f.different = f.different || r.Slowness != 1 || r.Knee != float64(b.slots[i])
		inUse += min(b.candidates[i].gauge.MeanLoad(now), r.Knee) / r.Slowness
		capacity += r.Knee / r.Slowness
	}
	f.utilization = inUse / max(capacity, math.SmallestNonzeroFloat64)
	f.meanSpeed = capacity / float64(max(len(endpoints), 1))
	b.fleet, b.relatedAt = f, now
	return f
}

// steady makes a relation move by steps that a steady load does not show in the shares of the
// endpoints, unless it has changed by more than steadyChange or is like the others now.
func (s *endpointState) steady(r *gauger.Relation, elapsed time.Duration) {
	old := s.relation
	alike := r.Slowness == 1 && r.Knee == float64(s.slots)
	if old.Slowness == 0 || alike || math.Abs(math.Log(r.Knee/r.Slowness*old.Slowness/old.Knee)) > steadyChange {
		return
	}
	w := 1 - math.Exp(-max(elapsed, 0).Seconds()/steadyTime.Seconds())
	r.Slowness = old.Slowness * math.Pow(r.Slowness/old.Slowness, w)
	r.Knee = old.Knee * math.Pow(r.Knee/old.Knee, w)
}

// loadAt returns the load of the endpoint at now, in requests.
func (s *endpointState) loadAt(now time.Time) float64 {
	load := float64(s.inFlight)
	// Another goroutine may have recorded a load after this one has read the clock.
	if age := max(now.Sub(s.loadReportedAt), 0); !s.loadReportedAt.IsZero() && age < 8*loadHalfLife {
		load = max(load, s.load.total()/float64(int64(1)<<(age/loadHalfLife)))
	}
	return load
}

// maxLoadPerSlot limits the load that is learned, in requests per slot: queues of endpoints are a few times
// as long as their slots, and a false report would keep requests away long after it.
const maxLoadPerSlot = 8

// plausibleLoad returns the load at now, limited to what the endpoint may hold.
func (s *endpointState) plausibleLoad(now time.Time) float64 {
	return min(s.loadAt(now), float64(max(s.inFlight, maxLoadPerSlot*max(s.slots, 1))))
}

// staleness returns 0 for a load that was reported at now, and up to 1 for an older one.
func (s *endpointState) staleness(now time.Time) float64 {
	return 1 - math.Exp2(-now.Sub(s.loadReportedAt).Seconds()/loadHalfLife.Seconds())
}

// expectedLoad returns the load at now, in requests, which is the more like the mean the
// older the last report is. Otherwise the endpoints with the oldest reports would seem
// to be idle, and all would get the same rate of requests whatever they can carry.
func (s *endpointState) expectedLoad(now time.Time) float64 {
	stale := s.staleness(now)
	return max(float64(s.inFlight), stale*s.gauge.MeanLoad(now)+(1-stale)*max(s.load.total(), 0))
}

// total returns the requests at the endpoint.
func (l *Load) total() float64 {
	return min(float64(l.Running), maxLoad) + min(float64(l.Queued), maxLoad)
}

// cost returns the load of the endpoint in relation to its knee, with all penalties
// added. The mutex is held.
func (b *Balancer) cost(q *Request, e registrar.Endpoint, s *endpointState, r *gauger.Relation, f *fleet, now time.Time) float64 {
	load := s.loadAt(now)
	if f.different {
		load = s.expectedLoad(now)
	}
	cost := load / r.Knee
	if s.failureRate > 0 {
		cost += failurePenalty * s.failureRate * s.weightAt(now, failureHalfLife)
	}
	if f.different {
		cost += b.differenceCost(q, s, r, f, load, now)
	} else {
		cost += jitterLoad * b.rand.Float64()
	}
	if e.RemainingWarmUp > 0 {
		cost += coldLoad
	}
	if e.Domain != b.domain {
		cost += otherDomainLoad
	}
	return cost
}

// differenceCost returns the part of the cost that applies only if the endpoints are
// not alike. The mutex is held.
func (b *Balancer) differenceCost(q *Request, s *endpointState, r *gauger.Relation, f *fleet, load float64, now time.Time) float64 {
	// Of endpoints with the same load, each is picked in proportion to its capacity.
	stale := s.staleness(now)
	cost := jitterLoad * (1 + staleJitter*stale) * b.rand.ExpFloat64() * f.meanSpeed * r.Slowness / r.Knee * (1 + lateJitter*s.lateRate*stale)
	ratio := r.Slowness / f.fastest
	waiting := max(load+1-r.Knee, 0) / r.Knee
	cost += (ratio - 1 + kneePenalty*(1-r.Knee/float64(s.slots))) * waiting
	decay := 1.0
	if !q.Unsafe && ratio > 1 {
		decay = s.weightAt(now, latencyHalfLife)
	}
	idle := 1 - f.utilization
	cost += slowPenalty * (min(ratio, maxSlowRatio) - 1) / float64(s.slots) * idle * idle * decay
	goal := goalMargin * q.Goal.Seconds()
	if goal > 0 && r.Unit <= goal && r.Unit*(1+waiting) > goal {
		cost += latePenalty * waiting
	}
	if goal > 0 && r.Unit > lateMargin*q.Goal.Seconds() && f.fastestUnit <= goal && s.gauge.Results() >= minLateResults {
		if !q.Unsafe && f.utilization > loadedShare && b.rand.Float64() < lateTryShare {
			return 0
		}
		cost += latePenalty * decay
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
		s.gauge.RecordSlowdown(r.Load.Slowdown, r.Load.total(), max(s.slots, 1), now)
	}
	s.gauge.RecordLoad(s.plausibleLoad(now), now)
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
	if s.goal > 0 {
		late := 0.0
		if r.Latency.Seconds() > goalMargin*s.goal.Seconds() {
			late = 1
		}
		s.lateRate += lateWeight * (late - s.lateRate)
	}
	// A request that failed took at least its time, if it took longer than expected.
	if unit := s.gauge.Estimate(now).Unit; r.Latency > 0 && (failed == 0 || (unit > 0 && r.Latency.Seconds() > unit)) {
		s.gauge.RecordResult(r.Latency, max(s.slots, 1), now)
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
		s = &endpointState{gauge: &gauger.Endpoint{}}
		b.states[id] = s
	}
	return s
}
