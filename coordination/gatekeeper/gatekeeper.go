// Package gatekeeper bounds how many requests of all daemons together are at an endpoint
// that ends if it has to reject too many.
//
// The endpoints of a service may say that they are brittle: one that rejects more than a
// number of requests within a second, since it has no room, ends. While they say so, one
// daemon, chosen as for limits (limiter.Members.Rank), counts the requests at an endpoint
// and admits no more than it has slots. Each daemon asks it before a request and tells it when
// the request has ended. Once a second it also tells how many of its requests are at each
// endpoint, which makes up for messages that were lost and for a daemon that begins to count.
//
// An endpoint may have less room than slots. Each rejection lowers what is admitted below what was
// there, and half of the rejections that the endpoint bears stop requests to it until they are a
// second old.
package gatekeeper

import (
	"sync"
	"time"

	"monsoonspar.example/state/registrar"
)

// Times of the decisions.
const (
	memory         = 5 * time.Second        // For which a service counts as brittle after an answer that said so.
	rejectionTime  = time.Second            // In which an endpoint counts its rejections.
	ReportInterval = time.Second            // Between reports of a daemon.
	reportTimeout  = 3 * ReportInterval     // After which a daemon that does not report has no requests.
	settleTime     = 5 * ReportInterval / 4 // In which a daemon that begins to count hears from the others.
	recoverTime    = time.Second            // In which what is admitted rises by one after a rejection.
	retryAfter     = 100 * time.Millisecond // About the time in which a request of a plain service ends.
)

// settleShare is the part of the slots that is used during settleTime.
const settleShare = 0.5

// Ask asks for one request to an endpoint.
type Ask struct {
	Daemon    string
	Slots     int  // Of the endpoint.
	Tolerance int  // Rejections within a second that the endpoint bears.
	Urgent    bool // The request continues a run and is admitted beyond the slots.
}

// Decision is the result of an Ask.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // If not admitted.
}

// Gatekeeper holds which services are brittle, the requests of this daemon at their endpoints, and
// the counts of the endpoints whose requests it admits. It is safe for concurrent use. Use New to
// make one.
type Gatekeeper struct {
	mu       sync.Mutex
	services map[string]observation
	own      map[registrar.Identity]int // Requests of this daemon.
	gates    map[registrar.Identity]*gate
}

// observation is what an answer of an endpoint has said of its service.
type observation struct {
	tolerance int
	at        time.Time
}

// gate counts the requests of all daemons at one endpoint.
type gate struct {
	beganAt    time.Time
	daemons    map[string]*holding
	rejections []time.Time
	reduction  float64 // By which what is admitted is below the slots.
	reducedAt  time.Time
}

// holding is the number of requests of one daemon.
type holding struct {
	count      int
	reportedAt time.Time
}

// New returns a Gatekeeper for which no service is brittle.
func New() *Gatekeeper {
	return &Gatekeeper{services: map[string]observation{}, own: map[registrar.Identity]int{}, gates: map[registrar.Identity]*gate{}}
}

// Observe records that an answer of an endpoint, possibly to another daemon, said how many rejections
// within a second the endpoints of the service bear.
func (g *Gatekeeper) Observe(service string, tolerance int, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.After(g.services[service].at) {
		g.services[service] = observation{tolerance: tolerance, at: at}
	}
}

// Brittle returns how many rejections within a second the endpoints of a service bear, and when that was
// last heard. It returns false if they are not known to be brittle.
func (g *Gatekeeper) Brittle(service string, now time.Time) (tolerance int, at time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o, ok := g.services[service]
	if !ok {
		return 0, time.Time{}, false
	}
	if now.Sub(o.at) > memory {
		delete(g.services, service)
		return 0, time.Time{}, false
	}
	return o.tolerance, o.at, true
}

// Services returns the services that are brittle.
func (g *Gatekeeper) Services(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []string
	for name, o := range g.services {
		if now.Sub(o.at) <= memory {
			all = append(all, name)
		}
	}
	return all
}

// Enter records a request of this daemon at an endpoint.
func (g *Gatekeeper) Enter(id registrar.Identity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own[id]++
}

// Leave records that a request of this daemon has ended.
func (g *Gatekeeper) Leave(id registrar.Identity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.own[id]--; g.own[id] <= 0 {
		delete(g.own, id)
	}
}

// Own returns the number of requests of this daemon at an endpoint.
func (g *Gatekeeper) Own(id registrar.Identity) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.own[id]
}

// Holdings returns the number of requests of this daemon at each endpoint.
func (g *Gatekeeper) Holdings() map[registrar.Identity]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[registrar.Identity]int, len(g.own))
	for id, n := range g.own {
		all[id] = n
	}
	return all
}

// gate returns the gate of an endpoint. The mutex is held.
func (g *Gatekeeper) gate(id registrar.Identity, now time.Time) *gate {
	t := g.gates[id]
	if t == nil {
		t = &gate{beganAt: now, daemons: map[string]*holding{}}
		g.gates[id] = t
	}
	return t
}

// Admit decides about a request on behalf of all daemons that this daemon reaches, which are the given
// share of all daemons.
func (g *Gatekeeper) Admit(id registrar.Identity, a Ask, share float64, now time.Time) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.gate(id, now)
	if t.overRejected(a.Tolerance, now) {
		return Decision{RetryAfter: t.rejections[0].Add(rejectionTime).Sub(now)}
	}
	if !a.Urgent && t.count(now) >= t.limit(a.Slots, share, now) {
		return Decision{RetryAfter: retryAfter}
	}
	h := t.daemons[a.Daemon]
	if h == nil {
		h = &holding{reportedAt: now}
		t.daemons[a.Daemon] = h
	}
	h.count++
	return Decision{Admitted: true}
}

// overRejected reports whether the endpoint may not reject any more requests for now.
func (t *gate) overRejected(tolerance int, now time.Time) bool {
	for len(t.rejections) > 0 && now.Sub(t.rejections[0]) >= rejectionTime {
		t.rejections = t.rejections[1:]
	}
	return len(t.rejections) > 0 && 2*len(t.rejections) >= tolerance
}

// limit returns the number of requests that may be at the endpoint.
func (t *gate) limit(slots int, share float64, now time.Time) int {
	reduction := max(t.reduction-float64(now.Sub(t.reducedAt))/float64(recoverTime), 0)
	room := share * (float64(slots) - reduction)
	if now.Sub(t.beganAt) < settleTime {
		room *= settleShare
	}
	return max(int(room), 1)
}

// count returns the number of requests at the endpoint.
func (t *gate) count(now time.Time) int {
	n := 0
	for name, h := range t.daemons {
		if now.Sub(h.reportedAt) > reportTimeout {
			delete(t.daemons, name)
			continue
		}
		n += h.count
	}
	return n
}

// Release records that a request of a daemon has ended, and whether the endpoint has rejected it for
// want of room.
func (g *Gatekeeper) Release(id registrar.Identity, daemon string, slots int, rejected bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.gate(id, now)
	if rejected {
		t.rejections = append(t.rejections, now)
		t.reduction, t.reducedAt = max(float64(slots-t.count(now)+1), 0), now
	}
	if h := t.daemons[daemon]; h != nil {
		h.count = max(h.count-1, 0)
	}
}

// Report records how many requests of a daemon are at an endpoint.
func (g *Gatekeeper) Report(id registrar.Identity, daemon string, count int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate(id, now).daemons[daemon] = &holding{count: count, reportedAt: now}
}

// Retain forgets all other endpoints.
func (g *Gatekeeper) Retain(known func(registrar.Identity) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.gates {
		if !known(id) {
			delete(g.gates, id)
		}
	}
}
