// Package router picks the endpoints that a request may go to.
//
// A Router holds what one daemon knows of the endpoints: what they hold ready,
// whether they are leaving, reachable or ejected, and the wait that their
// owners last forecast. Candidates names at most two endpoints, whose owners
// the caller asks for a Quote each; Best compares the quotes.
//
// The package does no I/O and reads no clock. A Router is not safe for
// concurrent use: a daemon keeps one for each shard of its requests and gives
// every event to each of them.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/defaulter"
)

// ErrNoCandidate is returned when no endpoint can take a request.
var ErrNoCandidate = errors.New("no endpoint can take the request")

// Config sets the limits of a Router. Zero fields take the defaults.
type Config struct {
	Domain          string        // Failure domain of the daemon.
	Crossing        time.Duration // One-way delay to another failure domain; 1 ms by default.
	PrefillToken    time.Duration // Time to prefill one token; 100 µs by default.
	EjectAfter      int           // Consecutive failures that eject an endpoint; 3 by default.
	EjectionTime    time.Duration // First ejection; doubles with each; 5 s by default.
	MaxEjectionTime time.Duration // Upper bound of the doubling; 2 min by default.
	ProbeTimeout    time.Duration // A probe without a result by then is dropped; 10 s by default.
}

func (c Config) withDefaults() Config {
	defaulter.Set(&c.Crossing, time.Millisecond)
	defaulter.Set(&c.PrefillToken, 100*time.Microsecond)
	defaulter.Set(&c.EjectAfter, 3)
	defaulter.Set(&c.EjectionTime, 5*time.Second)
	defaulter.Set(&c.MaxEjectionTime, 2*time.Minute)
	defaulter.Set(&c.ProbeTimeout, 10*time.Second)
	return c
}

// Target names what a request needs: a placement of a model on an engine, or a
// plain service.
type Target struct {
	Placement cataloger.Placement
	Service   string
}

// Request describes one request to be routed.
type Request struct {
	Target     Target
	PrefixHash uint64   // Hash of the prompt prefix; zero means no affinity.
	Exclude    []string // Endpoints that have failed this request.
	NoProbe    bool     // Set for a request that may not be used as a probe.
}

// Candidate is an endpoint whose owner should be asked for a quote.
type Candidate struct {
	Endpoint string
	Domain   string
	Probe    bool // The request tests an ejected endpoint.
}

// Quote is an owner's answer about one candidate.
type Quote struct {
	Candidate    Candidate
	Wait         time.Duration // Forecast wait until the request would be granted.
	CachedTokens int           // Prompt tokens that the prefix cache would save.
	Refused      bool          // The owner would refuse, or did not answer.
}

// Router chooses among endpoints. Use New to make one.
type Router struct {
	cfg       Config
	endpoints map[string]*endpoint
	sets      map[Target]*set
	ejected   int // Endpoints now ejected.
}

// New returns a Router without endpoints.
func New(cfg Config) *Router {
	return &Router{
		cfg:       cfg.withDefaults(),
		endpoints: map[string]*endpoint{},
		sets:      map[Target]*set{},
	}
}

// set holds the endpoints that are ready for one target.
type set struct {
	own group // In the daemon's failure domain.
	far group // In the other failure domains.
}

func (s *set) size() int { return len(s.own.members) + len(s.far.members) }

func (s *set) groupOf(e *endpoint, domain string) *group {
	if e.domain == domain {
		return &s.own
	}
	return &s.far
}

// group keeps the hashes beside the members, so that a scan stays in few cache
// lines.
type group struct {
	hashes  []uint64
	members []*endpoint
}

func (g *group) add(e *endpoint) {
	g.hashes = append(g.hashes, e.hash)
	g.members = append(g.members, e)
}

func (g *group) remove(e *endpoint) {
	i := slices.Index(g.members, e)
	if i < 0 {
		return
	}
	g.hashes = slices.Delete(g.hashes, i, i+1)
	g.members = slices.Delete(g.members, i, i+1)
}

// affine returns the usable member with the highest rendezvous score for key.
func (g *group) affine(key uint64, req *Request) *endpoint {
	var best *endpoint
	var bestScore uint64
	for i, h := range g.hashes {
		score := mix(h ^ key)
		if best != nil && score <= bestScore {
			continue
		}
		if e := g.members[i]; e.usable(req.Exclude) {
			best, bestScore = e, score
		}
	}
	return best
}

// random returns a usable member other than skip.
func (g *group) random(skip *endpoint, req *Request, rnd *rand.Rand) *endpoint {
	n := len(g.members)
	if n == 0 {
		return nil
	}
	start := rnd.IntN(n)
	for i := range n {
		e := g.members[(start+i)%n]
		if e != skip && e.usable(req.Exclude) {
			return e
		}
	}
	return nil
}

// Candidates returns one or two endpoints for req, the one preferred by prefix
// affinity first. It returns ErrNoCandidate if there is none.
//
// The endpoints of the daemon's own failure domain go first. An endpoint of
// another one takes the second place if the wait last forecast for it, with
// the crossing, is below those of both others.
func (r *Router) Candidates(req Request, rnd *rand.Rand, now time.Time) ([]Candidate, error) {
	s := r.sets[req.Target]
	if s == nil {
		return nil, errors.WithStack(ErrNoCandidate)
	}
	first, second := r.pick(s, &req, rnd, now)
	if first == nil {
		return nil, errors.WithStack(ErrNoCandidate)
	}
	cs := make([]Candidate, 0, 2)
	cs = append(cs, first.candidate())
	if second != nil {
		cs = append(cs, second.candidate())
	}
	if p := r.probe(s, &req, now); p != nil {
		c := p.candidate()
		c.Probe = true
		cs = append(cs[:1], c)
	}
	return cs, nil
}

func (r *Router) pick(s *set, req *Request, rnd *rand.Rand, now time.Time) (first, second *endpoint) {
	key := req.PrefixHash
	if key == 0 {
		key = rnd.Uint64()
	}
	first = s.own.affine(key, req)
	if first == nil {
		first = s.far.affine(key, req)
		second = s.far.random(first, req, rnd)
		return first, second
	}
	second = s.own.random(first, req, rnd)
	if far := r.shorterFar(s, req, rnd, now); far != nil {
		wait := first.waitAt(now)
		if second != nil {
			wait = min(wait, second.waitAt(now))
		}
		if far.waitAt(now)+2*r.cfg.Crossing < wait {
			second = far
		}
	}
	return first, second
}

// shorterFar returns the better of two random endpoints of other domains.
func (r *Router) shorterFar(s *set, req *Request, rnd *rand.Rand, now time.Time) *endpoint {
	a := s.far.random(nil, req, rnd)
	if a == nil {
		return nil
	}
	b := s.far.random(a, req, rnd)
	if b != nil && b.waitAt(now) < a.waitAt(now) {
		return b
	}
	return a
}

// Best returns the index of the quote with the least cost, and false if all are
// refused. The cost is the forecast wait and the crossing, less the prefill
// that the prefix cache saves. A probe that was not refused comes first.
func (r *Router) Best(quotes []Quote) (int, bool) {
	best := -1
	var bestCost time.Duration
	for i, q := range quotes {
		if q.Refused {
			continue
		}
		if q.Candidate.Probe {
			return i, true
		}
		cost := r.cost(q)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

func (r *Router) cost(q Quote) time.Duration {
	cost := q.Wait - time.Duration(q.CachedTokens)*r.cfg.PrefillToken
	if q.Candidate.Domain != r.cfg.Domain {
		cost += 2 * r.cfg.Crossing
	}
	return cost
}

// ObserveWait records the wait that the owner of an endpoint forecast at now.
func (r *Router) ObserveWait(name string, wait time.Duration, now time.Time) {
	if e := r.endpoints[name]; e != nil {
		e.wait = wait
		e.waitSeen = now
	}
}

// Sent tells the Router that new work goes to an endpoint. The caller calls it
// right before the request is written.
func (r *Router) Sent(name string) {
	e := r.endpoints[name]
	asserter.That(e == nil || !e.leaving, asserter.NoWorkWhileLeaving, name)
}
