// Package server assembles one daemon: it gives the decisions of coordination
// their sockets, timers and clocks.
package server

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/prober"
	"monsoonspar.example/coordination/retrier"
	"monsoonspar.example/protocol/generator"
	"monsoonspar.example/protocol/messenger"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/protocol/responder"
	"monsoonspar.example/protocol/sealer"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/spawner"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
	"monsoonspar.example/transport/framer"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"
)

// Time limits towards engines.
const (
	engineSilence = 3 * time.Second // Where the manifest says nothing.
	engineTimeout = 2 * time.Second
	maxBodyBytes  = 8 << 20
	idBytes       = 12
)

// errPanic is returned by Run after a goroutine has panicked.
var errPanic = errors.New("server: a goroutine has panicked")

// Server is one daemon.
type Server struct {
	cfg     parser.Settings
	clock   timekeeper.Sleeper
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	group   *spawner.Spawner
	metrics *metrics
	tracing *tracing
	tracer  trace.Tracer

	doer     requester.Doer
	engines  *generator.Client
	store    *storer.Client
	node     *framer.Node
	msg      *messenger.Messenger
	sealer   *sealer.Sealer
	callers  *responder.Responder
	members  *members
	config   *configuration
	leases   *leases
	orders   *orders
	owners   *owners
	permits  *permits
	retries  *retrier.Retrier
	routers  []*routerShard
	turn     atomic.Uint64
	catalog  atomic.Pointer[catalog]
	stopping atomic.Bool // The daemon is not ready any more.
	closing  atomic.Bool // New callers are refused.

	work       work
	ownedNames atomic.Pointer[[]string]

	loadMu          sync.Mutex
	lastPreemptions map[string]int
	lastNews        map[string]sentNews

	randMu sync.Mutex
	rand   *rand.Rand

	callerListener net.Listener
	admin          *admin
	addrs          Addrs
}

// Addrs are the addresses that a daemon listens on.
type Addrs struct {
	Callers string
	Peers   string
	Admin   string
}

// New returns a daemon that does not listen yet.
func New(cfg parser.Settings, log zerolog.Logger) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	t, err := newTracing(ctx, cfg.Trace)
	if err != nil {
		cancel()
		return nil, err
	}
	clock := timekeeper.System{}
	s := &Server{
		cfg: cfg, clock: clock, log: log, ctx: ctx, cancel: cancel,
		metrics: newMetrics(), tracing: t, tracer: t.provider.Tracer("monsoonspar"),
		sealer:          sealer.New([]byte(cfg.Peers.SharedKey)),
		retries:         retrier.New(retrier.Config{}),
		lastPreemptions: map[string]int{}, lastNews: map[string]sentNews{},
		rand: newSource(), group: spawner.New(log, "server"),
	}
	s.assemble(clock)
	return s, nil
}

// newSource returns a randomly seeded source.
func newSource() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) } //nolint:forbidigo // The seed of all other sources.

// assemble connects the parts.
func (s *Server) assemble(clock timekeeper.Sleeper) {
	s.doer = dialer.New(dialer.Config{}, clock)
	s.engines = generator.NewClient(s.doer, generator.Config{TokenTimeout: s.tokenTimeout, CallTimeout: engineTimeout})
	s.store = storer.New(storer.Config{
		Addr: s.cfg.Platform.Addr, Deployment: s.cfg.Platform.Deployment,
		Token: s.cfg.Platform.Token, Timeout: s.cfg.Platform.Timeout,
	}, s.doer, clock, s.newRand())
	s.routers = newRouterShards(s.cfg.Daemon.Domain, s.rand)
	s.owners = newOwners(clock, s, s.lookup, s.otherDaemons, s.complete)
	s.owners.tracer = s.tracer
	s.node = framer.NewNode(framer.Config{Name: s.cfg.Daemon.Name, Key: []byte(s.cfg.Peers.SharedKey)},
		guard{s: s, to: messenger.NewDispatcher(s.owners, s, s, clock)})
	s.msg = messenger.New(s.node, clock)
	s.callers = responder.New(responder.Config{MaxBodyBytes: maxBodyBytes, RequestID: s.newID}, s, clock, s.log)
	s.admin = newAdmin(s)
	s.publishGauges()
}

// publishGauges publishes the figures that are read from the parts.
func (s *Server) publishGauges() {
	s.metrics.gauge("generation_in_force", func() any { return s.generationInForce() })
	s.metrics.gauge("permits_held", func() any { return s.permits.count() })
	s.metrics.gauge("endpoints_owned", func() any { return len(s.owners.owned()) })
	s.metrics.gauge("control_bytes_sent", func() any { return s.node.BytesSent() })
	s.metrics.gauge("late_replies", func() any { return s.node.LateReplies() })
	s.metrics.gauge("members", func() any { return len(s.members.all()) })
}

// Start begins to listen and to take part. It returns the bound addresses.
func (s *Server) Start() (Addrs, error) {
	var err error
	if s.addrs.Peers, err = s.node.Listen(s.cfg.Daemon.PeerListen); err != nil {
		return Addrs{}, err
	}
	if s.callerListener, err = net.Listen("tcp", s.cfg.Daemon.Listen); err != nil {
		return Addrs{}, errors.Wrap(err, "listen for callers")
	}
	s.addrs.Callers = s.callerListener.Addr().String()
	if s.addrs.Admin, err = s.admin.listen(s.cfg.Daemon.AdminListen); err != nil {
		return Addrs{}, err
	}
	s.join()
	s.spawn(s.serveCallers)
	s.spawn(s.admin.serve)
	s.spawn(func() { s.members.run(s.ctx, s.clock) })
	s.spawn(func() { s.config.run(s.ctx) })
	s.spawn(func() { s.tickOwners(s.ctx) })
	s.spawn(func() { s.pollLoads(s.ctx) })
	s.spawn(func() { s.followMembers(s.ctx) })
	s.spawn(func() { s.followVMs(s.ctx) })
	s.spawn(func() { s.leases.run(s.ctx) })
	s.spawn(func() { s.orders.run(s.ctx) })
	s.spawn(func() { s.removeClaims(s.ctx) })
	s.log.Info().Str("callers", s.addrs.Callers).Str("peers", s.addrs.Peers).Str("admin", s.addrs.Admin).Msg("server: listening")
	return s.addrs, nil
}

// join makes the view of the other daemons, which needs the bound address.
func (s *Server) join() {
	self := prober.Member{
		Name: s.cfg.Daemon.Name, Addr: s.addrs.Peers, Domain: s.cfg.Daemon.Domain, Region: s.cfg.Daemon.Region,
		Incarnation: uint64(s.clock.Now().UnixNano()), State: prober.StateAlive,
	}
	s.members = newMembers(self, s.cfg.Peers.Seeds, s.msg, s.clock, s.newRand())
	s.members.spawn = s.spawn
	s.members.notify = s.memberChanged
	s.permits = newPermits(s.members, s.msg, s.owners, s.clock, s.log)
	s.config = newConfiguration(s)
	s.leases = newLeases(s)
	s.orders = newOrders(s)
}

// serveCallers serves until Stop.
func (s *Server) serveCallers() {
	if err := s.callers.Serve(s.callerListener); err != nil {
		s.log.Error().Err(err).Msg("server: callers can't be served")
	}
}

// lookup returns a declared endpoint and the manifest in force.
func (s *Server) lookup(endpoint string) (cataloger.Endpoint, *cataloger.Manifest, bool) {
	cat := s.catalog.Load()
	if cat == nil {
		return cataloger.Endpoint{}, nil, false
	}
	e, ok := cat.endpoints[endpoint]
	return e, cat.manifest, ok
}

// complete fills in what the manifest says of the customer of a request.
func (s *Server) complete(r admitter.Request) admitter.Request {
	cat := s.catalog.Load()
	if cat == nil {
		return r
	}
	c := cat.byName[r.Customer]
	r.Level, r.Weight = cat.levels[c.Priority], c.Weight
	r.Limits = cat.limits(c, r.Model)
	return r
}

// Name returns the name in the manifest in force that has a hash.
func (s *Server) Name(hash uint32) (string, bool) {
	cat := s.catalog.Load()
	if cat == nil {
		return "", false
	}
	name, ok := cat.hashes[hash]
	return name, ok && name != ""
}

// tokenTimeout returns the longest silence of an engine's stream.
func (s *Server) tokenTimeout() time.Duration {
	if m := s.Manifest(); m != nil && m.Defaults.TokenTimeout > 0 {
		return m.Defaults.TokenTimeout
	}
	return engineSilence
}

// install puts a manifest in force.
func (s *Server) install(m *cataloger.Manifest) {
	old := s.generationInForce()
	asserter.That(m.Generation > old, asserter.ConfigMonotonic, "generation in force would decrease")
	s.setEndpoints(m)
	s.catalog.Store(newCatalog(m))
	s.members.setGeneration(m.Generation)
	s.log.Info().Uint64("generation", uint64(m.Generation)).Msg("config: in force")
}

// generationInForce returns the generation of the manifest in force, or zero.
func (s *Server) generationInForce() cataloger.Generation {
	if cat := s.catalog.Load(); cat != nil {
		return cat.manifest.Generation
	}
	return 0
}

// Customer returns the customer whose key has a hash.
func (s *Server) Customer(keyHash string) (cataloger.Customer, bool) {
	cat := s.catalog.Load()
	if cat == nil {
		return cataloger.Customer{}, false
	}
	c, ok := cat.customers[keyHash]
	return c, ok
}

// Manifest returns the manifest in force, or nil.
func (s *Server) Manifest() *cataloger.Manifest {
	if cat := s.catalog.Load(); cat != nil {
		return cat.manifest
	}
	return nil
}

// Ready reports whether the balancer should send callers here.
func (s *Server) Ready() bool { return s.catalog.Load() != nil && !s.stopping.Load() }

// Retry takes a retry out of the budget.
func (s *Server) Retry(now time.Time, attempt int, deadline time.Time) (time.Duration, bool) {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	// The caller has decided that another attempt is safe.
	d, err := s.retries.Retry(retrier.Attempt{Number: attempt, Outcome: retrier.NotRun, Idempotent: true, Deadline: deadline}, s.rand, now)
	return d, err == nil
}

// newID returns a unique id.
func (s *Server) newID() string {
	b := make([]byte, idBytes)
	_, _ = cryptorand.Read(b) // It never fails.
	return hex.EncodeToString(b)
}

// Run serves until ctx ends, and then stops without cutting off a request. A
// goroutine that panics ends the daemon at once, as it would end a program
// without a group.
func (s *Server) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return s.Stop()
	case <-s.group.Failed():
		s.Close()
		return errPanic
	}
}

// spawn starts a goroutine of the daemon. A panic in it ends the daemon.
func (s *Server) spawn(f func()) { s.group.Go(f) }

// guard answers calls of other daemons and reports panics.
type guard struct {
	s  *Server
	to framer.Handler
}

// HandleCall answers one call.
func (g guard) HandleCall(ctx context.Context, peer, method string, body []byte) ([]byte, error) {
	defer g.s.group.ReportPanic()
	return g.to.HandleCall(ctx, peer, method, body)
}
