// Package router selects the endpoints to which a request may be sent.
//
// A Router holds one daemon's view of the endpoints: which placements they have
// loaded, whether they are shutting down, reachable or ejected after failures, and
// the queue wait that their owners last forecast. The owner of an endpoint is the
// daemon that decides on the admission of requests there; OwnersOf determines it.
// Candidates returns at most two endpoints, whose owners the caller asks for an
// Estimate each; Best compares the estimates. Requests with the same prompt prefix
// get the same first candidate, so that its prefix cache is used. A CacheIndex
// tracks what that cache holds.
//
// The package does no I/O and reads no clock. A Router is not safe for
// concurrent use: a daemon keeps one for each shard of its requests and passes
// every event to all of them.
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

// ErrNoCandidate is returned when no endpoint can serve a request.
var ErrNoCandidate = errors.New("no endpoint can serve the request")

// Config holds the parameters of a Router. Zero fields take the defaults.
type Config struct {
	Domain              string        // Failure domain of the daemon.
	CrossDomainDelay    time.Duration // One-way delay to another failure domain; 1 ms by default.
	PrefillTimePerToken time.Duration // Prefill time of one token; 100 µs by default.
	EjectAfter          int           // Consecutive failures that eject an endpoint; 3 by default.
	BaseEjectionTime    time.Duration // Duration of the first ejection; doubles with each further one; 5 s by default.
	MaxEjectionTime     time.Duration // Longest ejection; 2 min by default.
	ProbeTimeout        time.Duration // Time after which a probe without a result is given up; 10 s by default.
}

func (c Config) withDefaults() Config {
	defaulter.Set(&c.CrossDomainDelay, time.Millisecond)
	defaulter.Set(&c.PrefillTimePerToken, 100*time.Microsecond)
	defaulter.Set(&c.EjectAfter, 3)
	defaulter.Set(&c.BaseEjectionTime, 5*time.Second)
	defaulter.Set(&c.MaxEjectionTime, 2*time.Minute)
	defaulter.Set(&c.ProbeTimeout, 10*time.Second)
	return c
}

// Target is what a request needs: a placement of a model on an engine, or a
// service.
type Target struct {
	Placement cataloger.Placement
	Service   string
}

// Request holds the properties of a request that determine its candidates.
type Request struct {
	Target     Target
	PrefixHash uint64   // Hash of the prompt prefix; zero means no affinity.
	Exclude    []string // Endpoints on which this request has failed.
	NoProbe    bool     // Do not use this request to probe an ejected endpoint.
}

// Candidate is an endpoint whose owner should be asked for an estimate.
type Candidate struct {
	Endpoint string
	Domain   string
	Probe    bool // The request probes an ejected endpoint.
}

// Estimate is the estimate of an owner for one candidate.
type Estimate struct {
	Candidate    Candidate
	Wait         time.Duration // Forecast queue wait until the request is admitted.
	CachedTokens int           // Prompt tokens whose prefill the prefix cache saves.
	Refused      bool          // The owner would reject the request, or did not answer.
}

// Router selects endpoints. Use New to create one.
type Router struct {
	cfg       Config
	endpoints map[string]*endpoint
	pools     map[Target]*endpointPool
	ejected   int // Number of endpoints currently ejected.
	early     map[string]earlyShutdown
}

// New returns a Router without endpoints.
func New(cfg Config) *Router {
	return &Router{
		cfg:       cfg.withDefaults(),
		endpoints: map[string]*endpoint{},
		pools:     map[Target]*endpointPool{},
		early:     map[string]earlyShutdown{},
	}
}

// endpointPool holds the endpoints that are ready for one target.
type endpointPool struct {
	local  group // Endpoints in the daemon's failure domain.
	remote group // Endpoints in other failure domains.
}

func (p *endpointPool) size() int { return len(p.local.members) + len(p.remote.members) }

func (p *endpointPool) groupFor(e *endpoint, domain string) *group {
	if e.domain == domain {
		return &p.local
	}
	return &p.remote
}

// group is a set of endpoints with the hashes of their names. The hashes are
// stored apart from the members, so that a scan over them touches few cache
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

// bestByAffinity returns the usable member with the highest rendezvous score
// for key.
func (g *group) bestByAffinity(key uint64, req *Request) *endpoint {
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

// pickRandom returns a random usable member other than skip, or nil.
func (g *group) pickRandom(skip *endpoint, req *Request, rnd *rand.Rand) *endpoint {
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
// Endpoints of the daemon's own failure domain are preferred. An endpoint of
// another domain becomes the second candidate if its latest wait forecast plus
// the round trip between the domains is below the forecasts of both local
// candidates.
func (r *Router) Candidates(req Request, rnd *rand.Rand, now time.Time) ([]Candidate, error) {
	pool := r.pools[req.Target]
	if pool == nil {
		return nil, errors.WithStack(ErrNoCandidate)
	}
	first, second := r.pickPair(pool, &req, rnd, now)
	if first == nil {
		return nil, errors.WithStack(ErrNoCandidate)
	}
	cs := make([]Candidate, 0, 2)
	cs = append(cs, first.candidate())
	if second != nil {
		cs = append(cs, second.candidate())
	}
	if probed := r.pickProbe(pool, &req, now); probed != nil {
		c := probed.candidate()
		c.Probe = true
		cs = append(cs[:1], c)
	}
	return cs, nil
}

func (r *Router) pickPair(pool *endpointPool, req *Request, rnd *rand.Rand, now time.Time) (first, second *endpoint) {
	key := req.PrefixHash
	if key == 0 {
		key = rnd.Uint64()
	}
	first = pool.local.bestByAffinity(key, req)
	if first == nil {
		first = pool.remote.bestByAffinity(key, req)
		second = pool.remote.pickRandom(first, req, rnd)
		return first, second
	}
	second = pool.local.pickRandom(first, req, rnd)
	if remote := r.shorterRemote(pool, req, rnd, now); remote != nil {
		wait := first.expectedWait(now)
		if second != nil {
			wait = min(wait, second.expectedWait(now))
		}
		if remote.expectedWait(now)+2*r.cfg.CrossDomainDelay < wait {
			second = remote
		}
	}
	return first, second
}

// shorterRemote returns the one with the shorter expected wait of two random
// endpoints of other failure domains, or nil if there is none.
func (r *Router) shorterRemote(pool *endpointPool, req *Request, rnd *rand.Rand, now time.Time) *endpoint {
	a := pool.remote.pickRandom(nil, req, rnd)
	if a == nil {
		return nil
	}
	b := pool.remote.pickRandom(a, req, rnd)
	if b != nil && b.expectedWait(now) < a.expectedWait(now) {
		return b
	}
	return a
}

// Best returns the index of the estimate with the lowest cost, and false if all
// are refused. The cost is the forecast wait, plus the round trip to another
// failure domain, less the prefill time that the prefix cache saves. A probe
// that was not refused takes precedence.
func (r *Router) Best(estimates []Estimate) (int, bool) {
	best := -1
	var bestCost time.Duration
	for i, e := range estimates {
		if e.Refused {
			continue
		}
		if e.Candidate.Probe {
			return i, true
		}
		cost := r.cost(e)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

func (r *Router) cost(e Estimate) time.Duration {
	cost := e.Wait - time.Duration(e.CachedTokens)*r.cfg.PrefillTimePerToken
	if e.Candidate.Domain != r.cfg.Domain {
		cost += 2 * r.cfg.CrossDomainDelay
	}
	return cost
}

// ObserveWait records the queue wait that the owner of an endpoint forecast at
// now.
func (r *Router) ObserveWait(name string, wait time.Duration, now time.Time) {
	if e := r.endpoints[name]; e != nil {
		e.forecastWait = wait
		e.forecastAt = now
	}
}

// CheckDispatch checks the invariant that no work is sent to an endpoint that is
// shutting down. It must be called right before each request is written.
func (r *Router) CheckDispatch(name string) {
	e := r.endpoints[name]
	asserter.That(e == nil || !e.shuttingDown, asserter.NoWorkDuringShutdown, name)
}
