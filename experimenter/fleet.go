package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonspar.example/coordination/router"
	"monsoonspar.example/emulator"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/estimator"
)

// Times of the modelled fleet.
const (
	withinDomain   = 200 * time.Microsecond // One way between two VMs of a failure domain.
	toEngine       = 300 * time.Microsecond // One way between a daemon and an engine of its domain.
	quoteTimeout   = 100 * time.Millisecond
	detectTime     = time.Second // From the loss of a daemon or a link until it is noticed.
	reportEvery    = 500 * time.Millisecond
	reportLag      = 300 * time.Millisecond
	lateReportLag  = 5 * time.Second
	cacheEvery     = time.Second
	cacheLag       = 1500 * time.Millisecond
	cacheLoss      = 0.02 // Part of the cache events that are lost.
	vmListLag      = 5 * time.Second
	reclaimNotice  = 30 * time.Second
	reconnectAfter = 200 * time.Millisecond
	sampleEvery    = 250 * time.Millisecond
	longestRetry   = 5 * time.Minute // Longest RetryAfter of an admission owner.
)

// epoch is the wall-clock time at which virtual time begins.
var epoch = time.Unix(1_000_000_000, 0).UTC()

// target is what every request needs.
var target = router.Target{Placement: cataloger.Placement{Model: "base", Version: "1"}}

// fleet is one run: daemons, engines and their callers on one loop.
type fleet struct {
	opt       Options
	d         Deployment
	policy    Policy
	loop      *emulator.Loop
	rnd       *rand.Rand
	m         *metrics
	engines   []*engineNode
	byName    map[string]*engineNode
	daemons   []*daemon
	jobs      []*job // Not ended, in order of arrival, with some that have ended.
	cut       string // Failure domain that is cut off.
	reportLag time.Duration
}

// engineNode is an engine with what the fleet notes about it.
type engineNode struct {
	name     string
	domain   string
	engine   *emulator.Engine
	cacheLog []router.CacheEvent
	fairness *fairness
}

// daemon is one daemon with its own view of the fleet.
type daemon struct {
	name      string
	domain    string
	dead      bool
	router    *router.Router
	estimator *estimator.Estimator
	hosts     map[string]*host // Gates here, by endpoint.
	lost      map[string]bool  // Daemons that it takes to be lost.
}

func newFleet(opt Options, p Policy) *fleet {
	f := &fleet{
		opt:       opt,
		d:         opt.Deployment,
		policy:    p,
		loop:      &emulator.Loop{},
		rnd:       rand.New(rand.NewPCG(opt.Seed, 2)),
		m:         newMetrics(),
		byName:    map[string]*engineNode{},
		reportLag: reportLag,
	}
	var declared []cataloger.Endpoint
	for i := range f.d.Engines {
		cfg := f.d.Engine
		cfg.Name = fmt.Sprintf("engine-%02d", i)
		e := &engineNode{
			name:     cfg.Name,
			domain:   f.d.Domains[i%len(f.d.Domains)],
			engine:   emulator.New(cfg, f.loop),
			fairness: newFairness(f.d.Customers),
		}
		f.engines = append(f.engines, e)
		f.byName[e.name] = e
		declared = append(declared, cataloger.Endpoint{
			Name: e.name, Domain: e.domain, Models: []cataloger.Placement{target.Placement},
		})
	}
	for i := range f.d.Daemons {
		f.daemons = append(f.daemons, f.newDaemon(i, declared))
	}
	return f
}

func (f *fleet) newDaemon(i int, declared []cataloger.Endpoint) *daemon {
	d := &daemon{
		name:      fmt.Sprintf("daemon-%d", i),
		domain:    f.d.Domains[i%len(f.d.Domains)],
		estimator: estimator.New(),
		hosts:     map[string]*host{},
		lost:      map[string]bool{},
	}
	d.router = router.New(router.Config{
		Domain:       d.domain,
		Crossing:     f.d.Crossing,
		PrefillToken: f.d.Engine.Step.PerPrefillToken,
	})
	d.router.SetEndpoints(declared)
	return d
}

func (f *fleet) now() time.Time { return epoch.Add(f.loop.Now()) }

// reaches reports whether two failure domains are connected.
func (f *fleet) reaches(a, b string) bool {
	return a == b || (a != f.cut && b != f.cut)
}

// send runs fn at the daemon to after the delay of a message, unless the
// message is lost.
func (f *fleet) send(from, to *daemon, fn func()) {
	if from == to {
		fn()
		return
	}
	f.loop.After(f.delay(from.domain, to.domain), func() {
		if !to.dead && f.reaches(from.domain, to.domain) {
			fn()
		}
	})
}

func (f *fleet) delay(a, b string) time.Duration {
	if a == b {
		return withinDomain
	}
	return f.d.Crossing
}

func (f *fleet) engineDelay(d *daemon, e *engineNode) time.Duration {
	if d.domain == e.domain {
		return toEngine
	}
	return f.d.Crossing
}

// hostOf returns the gate that d asks about the endpoint, nil if there is none.
func (f *fleet) hostOf(d *daemon, endpoint string) *host {
	if f.policy.PerDaemon {
		return f.hostAt(d, endpoint)
	}
	e := f.byName[endpoint]
	var live []string
	for _, o := range f.daemons {
		if o.domain == e.domain && !d.lost[o.name] {
			live = append(live, o.name)
		}
	}
	owner, ok := router.OwnerOf(endpoint, live)
	if !ok {
		return nil
	}
	for _, o := range f.daemons {
		if o.name == owner {
			return f.hostAt(o, endpoint)
		}
	}
	return nil
}

// hostAt returns the gate at daemon d for the endpoint, made if needed.
func (f *fleet) hostAt(d *daemon, endpoint string) *host {
	h := d.hosts[endpoint]
	if h != nil {
		return h
	}
	parts := 1
	if f.policy.PerDaemon {
		parts = f.d.Daemons
	}
	h = &host{
		f:      f,
		daemon: d,
		engine: f.byName[endpoint],
		jobs:   map[string]*job{},
		gate: f.policy.NewGate(gateSettings{
			deployment:  f.d,
			estimator:   d.estimator,
			concurrency: f.opt.Concurrency,
			daemons:     parts,
		}),
	}
	d.hosts[endpoint] = h
	h.arm()
	return h
}

// run plays all requests and returns the figures.
func (f *fleet) run() Figures {
	arrivals := rand.New(rand.NewPCG(f.opt.Seed, 1))
	for _, r := range f.d.generate(f.opt.Load, f.opt.Capacity, f.opt.Duration, arrivals) {
		if r.at >= f.opt.WarmUp {
			f.m.requests++
		}
		f.loop.At(r.at, func() { f.arrive(r) })
	}
	for _, e := range f.engines {
		f.every(reportEvery, func() { f.report(e) })
		f.every(cacheEvery, func() { f.publishCache(e) })
	}
	f.every(sampleEvery, f.sampleFairness)
	f.opt.Fault.plan(f)
	f.loop.Run(f.opt.Duration + f.drainTime())
	for _, e := range f.engines {
		f.m.serviceGap = max(f.m.serviceGap, e.fairness.largest)
	}
	return f.m.figures(f.d.Engines, f.opt.Duration-f.opt.WarmUp)
}

// drainTime is the time after the last arrival by which all have ended, those
// included that come back after a refusal.
func (f *fleet) drainTime() time.Duration {
	var longest time.Duration
	for _, k := range f.d.Kinds {
		longest = max(longest, k.Slack+k.SlackSpread)
	}
	return 2*longest + longestRetry + time.Minute
}

func (f *fleet) every(d time.Duration, fn func()) {
	f.loop.After(d, func() {
		fn()
		f.every(d, fn)
	})
}

func (f *fleet) sampleFairness() {
	if f.loop.Now() < f.opt.WarmUp {
		return
	}
	for _, e := range f.engines {
		e.fairness.sample()
	}
}

// measured reports whether r counts.
func (f *fleet) measured(r *request) bool { return r.at >= f.opt.WarmUp }
