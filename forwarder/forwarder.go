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
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/state/spawner"
	"monsoonspar.example/state/timekeeper"
)

// Forwarder is one daemon. Use New to make one.
type Forwarder struct {
	cfg       Settings
	log       zerolog.Logger
	clock     timekeeper.Sleeper
	store     Store
	endpoints Endpoints
	metrics   *metrics

	ctx    context.Context // Ends when the daemon gives up its last request.
	cancel context.CancelFunc
	group  *spawner.Spawner

	table    atomic.Pointer[matcher.Table]
	registry *registrar.Registrar
	budget   *budgeter.Budgeter
	stopTime atomic.Int64              // Nanoseconds from SIGTERM to the end.
	stopping atomic.Bool               // No longer ready.
	closing  atomic.Bool               // Connections are closed after their answer.
	stopBy   atomic.Pointer[time.Time] // When a stopping daemon ends.

	servicesMu sync.Mutex
	balancers  map[string]*balancer.Balancer
	placers    map[string]*placement
	randMu     sync.Mutex
	rand       *rand.Rand

	streamsMu sync.Mutex
	streams   map[*stream]struct{}
	presence  *presence
	inFlight  atomic.Int64
	peers     *peers
	// storeFresh tells that the store answers the watch of endpoints.
	storeFresh atomic.Bool
	codec      Codec
	server     *fasthttp.Server

	callers net.Listener
	ready   net.Listener
	figures net.Listener
}

// New returns a daemon that does not listen yet.
func New(cfg Settings, store Store, endpoints Endpoints, clock timekeeper.Sleeper, r *rand.Rand, log zerolog.Logger) *Forwarder {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{
		cfg: cfg, log: log, clock: clock, store: store, endpoints: endpoints, metrics: newMetrics(),
		ctx: ctx, cancel: cancel, rand: r,
		registry: registrar.New(time.Duration(cfg.Bounds.ReturnGraceMillis) * time.Millisecond),
		budget: budgeter.New(budgeter.Config{
			Ratio: cfg.Bounds.RetryRatio, Slack: cfg.Bounds.RetrySlack,
			Window: time.Duration(cfg.Bounds.RetryWindow * float64(time.Second)),
		}),
		balancers: map[string]*balancer.Balancer{}, placers: map[string]*placement{},
		group: spawner.New(log, "forwarder"), streams: map[*stream]struct{}{}, presence: newPresence(),
	}
	f.stopTime.Store(int64(cfg.Bounds.StopTime))
	f.peers = newPeers(f)
	f.budget.SetDaemons(assumedDaemons)
	return f
}

// Start listens and begins to follow the store.
func (f *Forwarder) Start() error {
	var err error
	if f.ready, err = net.Listen("tcp", f.cfg.Daemon.Ready); err != nil {
		return errors.Wrap(err, "listen for the balancer's probes")
	}
	if f.figures, err = net.Listen("tcp", f.cfg.Daemon.Metrics); err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	if _, err = f.peers.node.Listen(f.cfg.Daemon.Peers); err != nil {
		return err
	}
	if f.callers, err = net.Listen("tcp", f.cfg.Daemon.Callers); err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	f.peers.addSeeds(f.cfg.Daemon.Seeds)
	f.spawn(f.serveCallers)
	f.spawn(f.serveReady)
	f.spawn(f.serveMetrics)
	f.spawn(func() { f.followManifest(f.ctx) })
	f.spawn(func() { f.followEndpoints(f.ctx) })
	f.spawn(func() { f.followDaemons(f.ctx) })
	f.spawn(func() { f.pollReports(f.ctx) })
	f.spawn(func() { f.watchClients(f.ctx) })
	f.spawn(func() { f.peers.spread(f.ctx) })
	f.log.Info().Str("callers", f.cfg.Daemon.Callers).Str("failure_domain", f.cfg.Daemon.Domain).Msg("forwarder: started")
	return nil
}

// spawn starts a goroutine of the daemon. A panic in it ends the daemon.
func (f *Forwarder) spawn(run func()) { f.group.Go(run) }

// isReady reports whether new connections should come here.
func (f *Forwarder) isReady() bool {
	return f.table.Load() != nil && f.registry.Revision() > 0 && !f.stopping.Load()
}

// newRand returns a random source for one owner.
func (f *Forwarder) newRand() *rand.Rand {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return rand.New(rand.NewPCG(f.rand.Uint64(), f.rand.Uint64()))
}

// random returns a number in [0, 1).
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

// placement is the placer of a service and the streams that wait in it.
type placement struct {
	*placer.Placer
	engine  matcher.Engine
	mu      sync.Mutex
	waiters map[string]chan placer.Outcome
}

// placement returns the placer of an engine service.
func (f *Forwarder) placement(service string, e *matcher.Engine) *placement {
	f.servicesMu.Lock()
	defer f.servicesMu.Unlock()
	p := f.placers[service]
	if p == nil {
		p = &placement{
			Placer: placer.New(placer.Config{
				Domain: f.cfg.Daemon.Domain, Slots: e.Slots, MemoryTokens: e.MemoryTokens, BlockTokens: memoryBlock,
				TokensPerEvent: max(e.Stride, 1), StepTime: stepTime, PrefillTokensPerMs: prefillPerMs, ReportLag: reportLag,
				Deviations: memoryDeviations,
			}, f.newRand()),
			engine:  *e,
			waiters: map[string]chan placer.Outcome{},
		}
		f.placers[service] = p
		p.SetEngines(f.registry.Usable(service), f.clock.Now())
	}
	return p
}

// knownPlacement returns the placer of a service, or nil.
func (f *Forwarder) knownPlacement(service string) *placement {
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
	return f.placement(service, t.Manifest.Services[service].Engine)
}

// allPlacements returns the placers by service.
func (f *Forwarder) allPlacements() map[string]*placement {
	f.servicesMu.Lock()
	defer f.servicesMu.Unlock()
	return maps.Clone(f.placers)
}

// Engine figures that the manifest does not tell.
const (
	memoryBlock      = 16                     // Tokens; engines page their memory in such blocks.
	stepTime         = 8 * time.Millisecond   // A step of the published engines with a few sequences.
	prefillPerMs     = 14                     // Prompt tokens read in a millisecond by the published engines.
	reportLag        = 500 * time.Millisecond // Reports are as of some hundred milliseconds ago.
	memoryDeviations = 1.2                    // A quantile of 0.88: a preempted run is read again and pauses.
	assumedDaemons   = 16                     // Share of the retry budget before the others are known.
)

// addWaiter notes where the outcome of a waiting job goes.
func (p *placement) addWaiter(id string, ch chan placer.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters[id] = ch
}

// takeWaiter forgets where the outcome of a job goes, and returns it; nil if
// nobody waits.
func (p *placement) takeWaiter(id string) chan placer.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := p.waiters[id]
	delete(p.waiters, id)
	return ch
}

// settle hands the outcomes of waiting jobs to their streams.
func (p *placement) settle(now time.Time) {
	for _, o := range p.Next(now) {
		if ch := p.takeWaiter(o.Job.ID); ch != nil {
			ch <- o
			continue
		}
		p.RecordEnd(o.Job, 0, false, now)
	}
}
