package forwarder

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/coordination/balancer"
	"monsoonspar.example/coordination/budgeter"
	"monsoonspar.example/coordination/drainer"
	"monsoonspar.example/coordination/evacuator"
	"monsoonspar.example/coordination/gatekeeper"
	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/coordination/quarantiner"
	"monsoonspar.example/coordination/resumer"
	"monsoonspar.example/coordination/warmer"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/pausemeter"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/state/reserver"
	"monsoonspar.example/state/spawner"
	"monsoonspar.example/state/timekeeper"
)

// Forwarder is a forwarding daemon. Use New to create one.
type Forwarder struct {
	cfg       Settings
	log       zerolog.Logger
	clock     timekeeper.Waiter
	store     Store
	endpoints EndpointClient
	metrics   *metrics

	ctx    context.Context // Canceled by Close, which aborts all remaining requests.
	cancel context.CancelFunc
	group  *spawner.Spawner

	table          atomic.Pointer[matcher.Table] // Manifest in force; nil until the first one is read.
	registry       *registrar.Registrar
	budget         *budgeter.Budgeter
	stopTimeout    atomic.Int64              // Nanoseconds from SIGTERM to SIGKILL.
	stopping       atomic.Bool               // Set when the stop begins; the daemon then reports that it is not ready.
	listenerClosed atomic.Bool               // Set when the daemon stops accepting connections.
	stopDeadline   atomic.Pointer[time.Time] // Time at which the stop ends; nil unless stopping.
	requests       context.Context           // Of the requests whose response has not begun; ends before the end of a stop.
	endRequests    context.CancelCauseFunc
	durations      *drainer.Durations // Of calls.
	clients        *clientConns

	servicesMu sync.Mutex
	balancers  map[string]*balancer.Balancer
	placers    map[string]*servicePlacer
	randMu     sync.Mutex
	rand       *rand.Rand

	limits    *limiter.Limiter
	members   *limiter.Members // The daemons that share the limits.
	quotas    *limiter.Quotas
	warmer    *warmer.Warmer
	gates     *gatekeeper.Gatekeeper
	deferrals limiter.Deferrals
	shutdowns evacuator.Shutdowns // Of engines.
	memory    *reserver.Reserver  // Memory for requests and responses.
	endProbes endProbeLog
	numbering resumer.Numbering // Of the events of engines.

	quarantine      *quarantiner.Quarantine
	quarantineWatch *quarantineWatch

	pollWake waker            // Wakes pollReports.
	pauses   pausemeter.Meter // Of the daemon.

	streamsMu       sync.Mutex
	streams         map[*stream]struct{}
	disconnects     *disconnectWatcher
	inFlight        atomic.Int64
	peers           *peers
	manifests       *subscription // Keeps table current.
	endpointEntries *subscription // Keeps registry current.
	evacuations     *subscription // Keeps the evacuations of registry current; does nothing unless evacuations may occur.
	evacuationWatch evacuationWatch
	storeAt         storeLocation
	startedAt       time.Time
	codec           Codec
	paths           *Paths // Nil unless SetPaths was called.
	server          *fasthttp.Server

	clientListener  net.Listener
	readyListener   net.Listener
	metricsListener net.Listener
}

// New returns a daemon that does not listen yet. Call SetCodec before Start.
func New(cfg Settings, store Store, endpoints EndpointClient, clock timekeeper.Waiter, r *rand.Rand, log zerolog.Logger) *Forwarder {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{
		cfg: cfg, log: log, clock: clock, store: store, metrics: newMetrics(),
		ctx: ctx, cancel: cancel, rand: r,
		registry: registrar.New(time.Duration(cfg.Bounds.ReturnGraceMillis) * time.Millisecond),
		budget: budgeter.New(budgeter.Config{
			Ratio: cfg.Bounds.RetryRatio, Slack: cfg.Bounds.RetrySlack,
			Window: time.Duration(cfg.Bounds.RetryWindow * float64(time.Second)),
		}),
		balancers: map[string]*balancer.Balancer{}, placers: map[string]*servicePlacer{},
		group: spawner.New(log, "forwarder"), streams: map[*stream]struct{}{}, disconnects: newDisconnectWatcher(),
		quarantine: quarantiner.New(quarantiner.Config{Self: cfg.Daemon.Name}), quarantineWatch: newQuarantineWatch(),
		pollWake: newWaker(), limits: limiter.New(r), warmer: warmer.New(), gates: gatekeeper.New(), durations: drainer.NewDurations(), clients: newClientConns(), memory: newReserver(cfg.Daemon.MemoryMB),
		members: limiter.NewMembers(limiter.Daemon{Name: cfg.Daemon.Name, Addr: cfg.Daemon.Peers, Domain: cfg.Daemon.Domain}),
	}
	f.requests, f.endRequests = context.WithCancelCause(ctx)
	f.endpoints = gatedClient{EndpointClient: countedClient{EndpointClient: endpoints, f: f}, f: f}
	f.stopTimeout.Store(int64(cfg.Bounds.StopTime))
	f.storeAt.addr = cfg.Store.Addr
	f.quotas = limiter.NewQuotas(f.newRand())
	f.peers = newPeers(f)
	f.newSubscriptions()
	f.newEvacuationSubscription()
	f.budget.SetDaemons(f.members.Count())
	return f
}

// Start opens the listeners and starts the goroutines of the daemon.
func (f *Forwarder) Start() error {
	var err error
	if f.readyListener, err = net.Listen("tcp", f.cfg.Daemon.Ready); err != nil {
		return errors.Wrap(err, "listen for readiness probes")
	}
	if f.metricsListener, err = net.Listen("tcp", f.cfg.Daemon.Metrics); err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	if _, err = f.peers.node.Listen(f.cfg.Daemon.Peers); err != nil {
		return err
	}
	if f.clientListener, err = net.Listen("tcp", f.cfg.Daemon.Clients); err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	f.peers.addSeeds(f.cfg.Daemon.Seeds)
	f.server = f.newServer()
	f.spawn(f.serveClients)
	f.spawn(f.serveReady)
	f.spawn(f.serveMetrics)
	f.startedAt = f.clock.Now()
	subscriptions := []*subscription{f.manifests, f.endpointEntries}
	if f.followsEvacuations() {
		subscriptions = append(subscriptions, f.evacuations)
	}
	for _, s := range subscriptions {
		f.spawn(func() { s.run(f.ctx) })
		f.spawn(func() { s.supervise(f.ctx) })
	}
	f.spawn(func() { f.followDaemons(f.ctx) })
	f.spawn(func() { f.pollReports(f.ctx) })
	f.spawn(func() { f.disconnects.run(f.ctx, f.clock) })
	f.spawn(func() { f.peers.publishUpdates(f.ctx) })
	f.spawn(func() { f.reportHoldings(f.ctx) })
	if f.paths != nil {
		f.spawn(func() { f.paths.probe(f.ctx) })
	}
	f.log.Info().Str("callers", f.cfg.Daemon.Clients).Str("failure_domain", f.cfg.Daemon.Domain).Msg("forwarder: started")
	return nil
}

// spawn starts a goroutine of the daemon. If it panics, Run returns an error, which
// ends the daemon.
func (f *Forwarder) spawn(run func()) { f.group.Go(run) }

// isReady reports whether the daemon can serve new connections.
func (f *Forwarder) isReady() bool {
	return f.table.Load() != nil && f.registry.Revision() > 0 && f.knowsEvacuations() && !f.stopping.Load()
}

// newRand returns an independent random source.
func (f *Forwarder) newRand() *rand.Rand {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return rand.New(rand.NewPCG(f.rand.Uint64(), f.rand.Uint64()))
}

// random returns a random number in [0, 1).
func (f *Forwarder) random() float64 {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return f.rand.Float64()
}

// balancer returns the balancer of a plain service.
func (f *Forwarder) balancer(service string) *balancer.Balancer {
	f.servicesMu.Lock()
	defer f.servicesMu.Unlock()
	b := f.balancers[service]
	if b == nil {
		b = balancer.New(f.cfg.Daemon.Domain, f.newRand())
		f.balancers[service] = b
	}
	return b
}

// servicePlacer is the placer of an engine service, with the streams that wait for
// a placement.
type servicePlacer struct {
	*placer.Placer
	engine  matcher.Engine
	mu      sync.Mutex
	waiters map[string]chan placer.Outcome
}

// placerFor returns the placer of an engine service and creates it if needed.
func (f *Forwarder) placerFor(service string, e *matcher.Engine) *servicePlacer {
	f.servicesMu.Lock()
	defer f.servicesMu.Unlock()
	p := f.placers[service]
	if p == nil {
		p = &servicePlacer{
			Placer: placer.New(placer.Config{
				Domain: f.cfg.Daemon.Domain, Regions: f.cfg.Regions, Slots: e.Slots, MemoryTokens: e.MemoryTokens, BlockTokens: memoryBlockTokens,
				TokensPerEvent: max(e.TokensPerEvent, 1), StepTime: decodeStepTime, PrefillTokensPerMs: prefillTokensPerMs, ReportLag: reportLag,
				Deviations: memoryDeviations, CrossingShare: f.cfg.Daemon.CrossingShare,
				ExposedBackupPeak: f.cfg.Daemon.ExposedBackupPeak, LinkTokensPerSecond: e.LinkMbps * bytesPerMbit / float64(max(e.TokenBytes, 1)),
				Updated: f.peers.wake,
			}, f.newRand()),
			engine:  *e,
			waiters: map[string]chan placer.Outcome{},
		}
		f.placers[service] = p
		f.setEngines(service, p)
	}
	return p
}

// knownPlacer returns the placer of a service, or nil if the manifest has no engine
// service of that name.
func (f *Forwarder) knownPlacer(service string) *servicePlacer {
	f.servicesMu.Lock()
	p := f.placers[service]
	f.servicesMu.Unlock()
	if p != nil {
		return p
	}
	t := f.table.Load()
	if t == nil || t.Manifest.Services[service].Engine == nil {
		return nil
	}
	return f.placerFor(service, t.Manifest.Services[service].Engine)
}

// allPlacers returns the placers by service.
func (f *Forwarder) allPlacers() map[string]*servicePlacer {
	f.servicesMu.Lock()
	defer f.servicesMu.Unlock()
	return maps.Clone(f.placers)
}

// Parameters of the placers, and of the retry budget, that are not part of the
// manifest or the settings.
const (
	memoryBlockTokens  = 16                     // Tokens per block of the paged KV cache.
	decodeStepTime     = 8 * time.Millisecond   // Time of a decode step with a few sequences, from published engine data.
	prefillTokensPerMs = 14                     // Prompt tokens per millisecond of prefill, from published engine data.
	reportLag          = 500 * time.Millisecond // A report describes the state of its engine a few hundred milliseconds earlier.
	memoryDeviations   = 1.2                    // Safety margin of memory forecasts: standard deviations above the mean, the 0.88 quantile. A preempted run pauses and repeats its prefill.
)

// addWaiter registers the channel that receives the outcome of a queued job.
func (p *servicePlacer) addWaiter(id string, ch chan placer.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters[id] = ch
}

// removeWaiter removes the channel of a queued job and returns it, or nil if there
// is none.
func (p *servicePlacer) removeWaiter(id string) chan placer.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := p.waiters[id]
	delete(p.waiters, id)
	return ch
}

// deliverOutcomes sends the outcomes of queued jobs to their streams. A placement
// whose stream has stopped waiting is released.
func (p *servicePlacer) deliverOutcomes(now time.Time) {
	for _, o := range p.Next(now) {
		if ch := p.removeWaiter(o.Job.ID); ch != nil {
			ch <- o
			continue
		}
		p.RecordEnd(o.Job, 0, false, now)
	}
}
