package experimenter

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"monsoonspar.example/coordination/router"
	"monsoonspar.example/emulator"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/estimator"
)

// Latencies, intervals and delays of the simulated fleet.
const (
	intraDomainLatency       = 200 * time.Microsecond // One way, between two VMs of a failure domain.
	intraDomainEngineLatency = 300 * time.Microsecond // One way, between a daemon and an engine of its failure domain.
	estimateTimeout          = 100 * time.Millisecond // From the request for estimates to the choice among those received.
	failureDetectionDelay    = time.Second            // From the loss of a daemon, engine or link to its detection.
	reportInterval           = 500 * time.Millisecond
	defaultReportDelay       = 300 * time.Millisecond
	lateReportDelay          = 5 * time.Second
	cacheEventInterval       = time.Second
	cacheEventDelay          = 1500 * time.Millisecond
	cacheEventLoss           = 0.02                   // Fraction of the cache events that is lost.
	vmListDelay              = 5 * time.Second        // From a reclaim notice until the daemons see it in the list of VMs.
	reclaimNotice            = 30 * time.Second       // From a reclaim notice to the loss of the engine.
	reconnectDelay           = 200 * time.Millisecond // From the failure of a daemon until its clients use another one.
	fairnessSampleInterval   = 250 * time.Millisecond
	maxRetryAfter            = 5 * time.Minute // Upper bound of the RetryAfter of an admission owner.
)

// epoch is the wall-clock time that corresponds to virtual time zero.
var epoch = time.Unix(1_000_000_000, 0).UTC()

// target is the routing target of all requests.
var target = router.Target{Placement: cataloger.Placement{Model: "base", Version: "1"}}

// fleet is the state of a run: daemons, engines and clients on one event loop.
type fleet struct {
	opt         Options
	deployment  Deployment
	policy      Policy
	loop        *emulator.Loop
	rnd         *rand.Rand
	metrics     *metrics
	engines     []*engineNode
	byName      map[string]*engineNode
	daemons     []*daemon
	jobs        []*job // In order of arrival; jobs that have ended are removed from time to time.
	partitioned string // Failure domain that is partitioned from the others, or empty.
	reportDelay time.Duration
}

// engineNode is an engine with its history of cache events and fairness metrics.
type engineNode struct {
	name        string
	domain      string
	boot        int // Number of the current start.
	engine      *emulator.Engine
	cacheEvents []router.CacheEvent
	fairness    *fairness
}

// daemon is a daemon with its own view of the fleet.
type daemon struct {
	name        string
	domain      string
	dead        bool
	router      *router.Router
	estimator   *estimator.Estimator
	controllers map[string]*controllerNode // Controllers at this daemon, by endpoint.
	lostDaemons map[string]bool            // Daemons that it considers lost.
}

func newFleet(opt Options, p Policy) *fleet {
	f := &fleet{
		opt:         opt,
		deployment:  opt.Deployment,
		policy:      p,
		loop:        &emulator.Loop{},
		rnd:         rand.New(rand.NewPCG(opt.Seed, 2)),
		metrics:     newMetrics(),
		byName:      map[string]*engineNode{},
		reportDelay: defaultReportDelay,
	}
	var declared []cataloger.Endpoint
	for i := range f.deployment.Engines {
		e := &engineNode{
			name:     fmt.Sprintf("engine-%02d", i),
			domain:   f.deployment.Domains[i%len(f.deployment.Domains)],
			boot:     1,
			fairness: newFairness(f.deployment.Customers),
		}
		e.engine = f.newEngine(e)
		f.engines = append(f.engines, e)
		f.byName[e.name] = e
		declared = append(declared, cataloger.Endpoint{
			Name: e.name, Domain: e.domain, Models: []cataloger.Placement{target.Placement},
		})
	}
	for i := range f.deployment.Daemons {
		f.daemons = append(f.daemons, f.newDaemon(i, declared))
	}
	return f
}

// newEngine returns an idle engine for e.
func (f *fleet) newEngine(e *engineNode) *emulator.Engine {
	cfg := f.deployment.Engine
	cfg.Name, cfg.CrashPart = e.name, crashingPart
	cfg.OnCrash = func(unfinished []*emulator.Sequence) { f.crashed(e, unfinished) }
	return emulator.New(cfg, f.loop)
}

// bootID identifies the current start of the engine.
func (e *engineNode) bootID() string { return strconv.Itoa(e.boot) }

func (f *fleet) newDaemon(i int, declared []cataloger.Endpoint) *daemon {
	d := &daemon{
		name:        fmt.Sprintf("daemon-%d", i),
		domain:      f.deployment.Domains[i%len(f.deployment.Domains)],
		estimator:   estimator.New(),
		controllers: map[string]*controllerNode{},
		lostDaemons: map[string]bool{},
	}
	d.router = router.New(router.Config{
		Domain:              d.domain,
		CrossDomainDelay:    f.deployment.CrossDomainLatency,
		PrefillTimePerToken: f.deployment.Engine.Step.PerPrefillToken,
	})
	d.router.SetEndpoints(declared)
	return d
}

func (f *fleet) now() time.Time { return epoch.Add(f.loop.Now()) }

// connected reports whether messages pass between two failure domains.
func (f *fleet) connected(a, b string) bool {
	return a == b || (a != f.partitioned && b != f.partitioned)
}

// send runs fn after the latency of a message to the daemon to, unless that daemon
// is dead or unreachable by then.
func (f *fleet) send(from, to *daemon, fn func()) {
	if from == to {
		fn()
		return
	}
	f.loop.After(f.messageLatency(from.domain, to.domain), func() {
		if !to.dead && f.connected(from.domain, to.domain) {
			fn()
		}
	})
}

func (f *fleet) messageLatency(a, b string) time.Duration {
	if a == b {
		return intraDomainLatency
	}
	return f.deployment.CrossDomainLatency
}

func (f *fleet) engineLatency(d *daemon, e *engineNode) time.Duration {
	if d.domain == e.domain {
		return intraDomainEngineLatency
	}
	return f.deployment.CrossDomainLatency
}

// controllerFor returns the controller of an endpoint in the view of d, or nil if
// no live daemon owns the endpoint.
func (f *fleet) controllerFor(d *daemon, endpoint string) *controllerNode {
	if f.policy.PerDaemon {
		return f.controllerAt(d, endpoint)
	}
	e := f.byName[endpoint]
	var live []string
	for _, o := range f.daemons {
		if o.domain == e.domain && !d.lostDaemons[o.name] {
			live = append(live, o.name)
		}
	}
	owner, ok := router.OwnerOf(endpoint, live)
	if !ok {
		return nil
	}
	for _, o := range f.daemons {
		if o.name == owner {
			return f.controllerAt(o, endpoint)
		}
	}
	return nil
}

// controllerAt returns the controller of an endpoint at daemon d. It creates the
// controller if necessary.
func (f *fleet) controllerAt(d *daemon, endpoint string) *controllerNode {
	n := d.controllers[endpoint]
	if n != nil {
		return n
	}
	parts := 1
	if f.policy.PerDaemon {
		parts = f.deployment.Daemons
	}
	n = &controllerNode{
		f:      f,
		daemon: d,
		engine: f.byName[endpoint],
		jobs:   map[string]*job{},
		controller: f.policy.NewController(controllerConfig{
			deployment:  f.deployment,
			estimator:   d.estimator,
			concurrency: f.opt.Concurrency,
			daemons:     parts,
		}),
	}
	d.controllers[endpoint] = n
	n.scheduleTick()
	return n
}

// run simulates all requests and returns the results.
func (f *fleet) run() Results {
	arrivals := rand.New(rand.NewPCG(f.opt.Seed, 1))
	requests := f.deployment.generate(f.opt.Load, f.opt.Capacity, f.opt.Duration, arrivals)
	f.opt.Fault.addCrashingPart(requests, rand.New(rand.NewPCG(f.opt.Seed, 3)))
	for _, r := range requests {
		if r.arrivedAt >= f.opt.WarmUp {
			f.metrics.requests++
		}
		f.loop.At(r.arrivedAt, func() { f.arrive(r) })
	}
	for _, e := range f.engines {
		f.every(reportInterval, func() { f.report(e) })
		f.every(cacheEventInterval, func() { f.publishCache(e) })
	}
	f.every(fairnessSampleInterval, f.sampleFairness)
	f.opt.Fault.schedule(f)
	f.loop.Run(f.opt.Duration + f.coolDown())
	for _, e := range f.engines {
		f.metrics.serviceGap = max(f.metrics.serviceGap, e.fairness.maxGap)
	}
	return f.metrics.results(f.deployment.Engines, f.opt.Duration-f.opt.WarmUp)
}

// coolDown returns the time after the last arrival by which all requests have
// ended, including the retries of refused ones.
func (f *fleet) coolDown() time.Duration {
	var longest time.Duration
	for _, k := range f.deployment.Kinds {
		longest = max(longest, k.MinSlack+k.SlackSpread)
	}
	return 2*longest + maxRetryAfter + time.Minute
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

// measured reports whether r arrived after the warm-up.
func (f *fleet) measured(r *request) bool { return r.arrivedAt >= f.opt.WarmUp }
