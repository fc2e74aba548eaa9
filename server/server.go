// Package server assembles one daemon. It connects the state machines of the
// coordination packages, which do no I/O, to sockets, timers and the clock.
//
// A daemon serves the requests of callers: generations, which run on engines, and
// calls to plain services. A generation needs a permit from the admission owner of
// its engine. The owner is one of the daemons, chosen by hashing; it also reads the
// load reports of the engine. A non-idempotent request with an idempotency key runs
// under a claim, a record on the platform, so that it runs at most once. In each
// failure domain one daemon holds a lease and sends the engines orders, which bring
// them to the state in the manifest.
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

// Timeouts of calls to engines and limits of requests.
const (
	defaultTokenTimeout = 3 * time.Second // Applies if the manifest sets no token_timeout.
	engineCallTimeout   = 2 * time.Second
	maxBodyBytes        = 8 << 20
	idBytes             = 12 // Random bytes of an id.
)

// errPanic is returned by Run after a panic in a goroutine, unless Close repeats the
// panic.
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

	doer         requester.Client
	engines      *generator.Client
	store        *storer.Client
	node         *framer.Node
	peerClient   *messenger.Messenger
	sealer       *sealer.Sealer
	callerServer *responder.Responder
	members      *membership
	config       *configRunner
	lease        *domainLease
	orders       *orderRunner
	owners       *owners
	permits      *permits
	retries      *retrier.Retrier
	routers      []*routerShard
	replies      *replyMemory
	nextRouter   atomic.Uint64
	catalog      atomic.Pointer[catalog]
	stopping     atomic.Bool // The readiness check fails; the daemon hands over its endpoints.
	rejecting    atomic.Bool // New requests are answered as not run.

	inFlight   inFlightWork
	shutdowns  announcedShutdowns
	ownedNames atomic.Pointer[[]string]

	reportMu        sync.Mutex
	lastPreemptions map[string]int
	lastBroadcasts  map[string]sentStatus

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
		lastPreemptions: map[string]int{}, lastBroadcasts: map[string]sentStatus{},
		rand: newRandSource(), group: spawner.New(log, "server"), replies: newReplyMemory(),
	}
	s.assemble(clock)
	return s, nil
}

// newRandSource returns a random source with a random seed.
func newRandSource() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) } //nolint:forbidigo // The seed of all other sources.

// assemble creates the components that don't depend on the bound addresses and
// connects them.
func (s *Server) assemble(clock timekeeper.Sleeper) {
	s.doer = dialer.New(dialer.Config{}, clock)
	s.engines = generator.NewClient(s.doer, generator.Config{TokenTimeout: s.tokenTimeout, CallTimeout: engineCallTimeout})
	s.store = storer.New(storer.Config{
		Addr: s.cfg.Platform.Addr, Deployment: s.cfg.Platform.Deployment,
		Token: s.cfg.Platform.Token, AttemptTimeout: s.cfg.Platform.Timeout,
	}, s.doer, clock, s.newRand())
	s.routers = newRouterShards(s.cfg.Daemon.Domain, s.rand)
	s.owners = newOwners(clock, s, s.lookupEndpoint, s.otherDaemons, s.withCustomerPolicy)
	s.owners.tracer = s.tracer
	s.node = framer.NewNode(framer.Config{Name: s.cfg.Daemon.Name, Key: []byte(s.cfg.Peers.SharedKey)},
		panicReporter{server: s, next: messenger.NewDispatcher(s.owners, s, s, clock)})
	s.peerClient = messenger.New(s.node, clock)
	s.callerServer = responder.New(responder.Config{MaxBodyBytes: maxBodyBytes, RequestID: s.newID}, s, clock, s.log)
	s.admin = newAdmin(s)
	s.publishGauges()
}

// publishGauges publishes the metrics that are read from the components on
// demand.
func (s *Server) publishGauges() {
	s.metrics.gauge("generation_in_force", func() any { return s.generationInForce() })
	s.metrics.gauge("permits_held", func() any { return s.permits.count() })
	s.metrics.gauge("endpoints_owned", func() any { return len(s.owners.owned()) })
	s.metrics.gauge("control_bytes_sent", func() any { return s.node.BytesSent() })
	s.metrics.gauge("late_replies", func() any { return s.node.LateReplies() })
	s.metrics.gauge("members", func() any { return len(s.members.all()) })
}

// Start binds the listeners and starts the goroutines of the daemon. It returns
// the bound addresses.
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
	s.initCoordination()
	s.spawn(s.serveCallers)
	s.spawn(s.admin.serve)
	s.spawn(func() { s.members.run(s.ctx, s.clock) })
	s.spawn(func() { s.config.run(s.ctx) })
	s.spawn(func() { s.tickOwners(s.ctx) })
	s.spawn(func() { s.pollLoads(s.ctx) })
	s.spawn(func() { s.runOwnership(s.ctx) })
	s.spawn(func() { s.runVMWatch(s.ctx) })
	s.spawn(func() { s.lease.run(s.ctx) })
	s.spawn(func() { s.orders.run(s.ctx) })
	s.spawn(func() { s.removeClaims(s.ctx) })
	s.log.Info().Str("callers", s.addrs.Callers).Str("peers", s.addrs.Peers).Str("admin", s.addrs.Admin).Msg("server: listening")
	return s.addrs, nil
}

// initCoordination creates the membership and the components that depend on it.
// It is called after the listeners are bound, since the membership announces the
// bound address.
func (s *Server) initCoordination() {
	self := prober.Member{
		Name: s.cfg.Daemon.Name, Addr: s.addrs.Peers, Domain: s.cfg.Daemon.Domain, Region: s.cfg.Daemon.Region,
		Incarnation: uint64(s.clock.Now().UnixNano()), State: prober.StateAlive,
	}
	s.members = newMembership(self, s.cfg.Peers.Seeds, s.peerClient, s.clock, s.newRand())
	s.members.spawn = s.spawn
	s.members.notify = s.handleMemberChange
	s.permits = newPermits(s.members, s.peerClient, s.owners, s.clock, s.log)
	s.config = newConfigRunner(s)
	s.lease = newDomainLease(s)
	s.orders = newOrderRunner(s)
}

// serveCallers serves callers until Stop or Close.
func (s *Server) serveCallers() {
	if err := s.callerServer.Serve(s.callerListener); err != nil {
		s.log.Error().Err(err).Msg("server: listener for callers failed")
	}
}

// lookupEndpoint returns a declared endpoint and the manifest in force.
func (s *Server) lookupEndpoint(endpoint string) (cataloger.Endpoint, *cataloger.Manifest, bool) {
	cat := s.catalog.Load()
	if cat == nil {
		return cataloger.Endpoint{}, nil, false
	}
	e, ok := cat.endpoints[endpoint]
	return e, cat.manifest, ok
}

// withCustomerPolicy returns r with the priority level, weight and limits that
// the manifest sets for its customer.
func (s *Server) withCustomerPolicy(r admitter.Request) admitter.Request {
	cat := s.catalog.Load()
	if cat == nil {
		return r
	}
	c := cat.customersByName[r.Customer]
	r.Level, r.Weight = cat.priorityLevels[c.Priority], c.Weight
	r.Limits = cat.limitsPerEngine(c, r.Model)
	return r
}

// Name returns the name in the manifest in force that has the given hash, and
// false if there is none or several names share the hash.
func (s *Server) Name(hash uint32) (string, bool) {
	cat := s.catalog.Load()
	if cat == nil {
		return "", false
	}
	name, ok := cat.namesByHash[hash]
	return name, ok && name != ""
}

// tokenTimeout returns the longest time without data after which the stream of an
// engine is considered lost.
func (s *Server) tokenTimeout() time.Duration {
	if m := s.Manifest(); m != nil && m.Defaults.TokenTimeout > 0 {
		return m.Defaults.TokenTimeout
	}
	return defaultTokenTimeout
}

// installManifest puts a manifest in force.
func (s *Server) installManifest(m *cataloger.Manifest) {
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

// Customer returns the customer with an API key of the given hash.
func (s *Server) Customer(keyHash string) (cataloger.Customer, bool) {
	cat := s.catalog.Load()
	if cat == nil {
		return cataloger.Customer{}, false
	}
	c, ok := cat.customersByKey[keyHash]
	return c, ok
}

// Manifest returns the manifest in force, or nil.
func (s *Server) Manifest() *cataloger.Manifest {
	if cat := s.catalog.Load(); cat != nil {
		return cat.manifest
	}
	return nil
}

// Ready reports whether the load balancer should send callers to this daemon: it
// has a manifest and is not stopping.
func (s *Server) Ready() bool { return s.catalog.Load() != nil && !s.stopping.Load() }

// Retry takes a retry from the budget. It returns the backoff before the next
// attempt, or false if the budget is exhausted.
func (s *Server) Retry(now time.Time, attempt int, deadline time.Time) (time.Duration, bool) {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	// The attempter has decided that another attempt is safe, so the attempt
	// counts as not run and idempotent here.
	d, err := s.retries.Retry(retrier.Attempt{Number: attempt, Outcome: retrier.NotRun, Idempotent: true, Deadline: deadline}, s.rand, now)
	return d, err == nil
}

// newID returns a unique random id.
func (s *Server) newID() string {
	b := make([]byte, idBytes)
	_, _ = cryptorand.Read(b) // crypto/rand never returns an error.
	return hex.EncodeToString(b)
}

// Run serves until ctx ends, and then stops without interrupting requests. If a
// goroutine panics, Run closes the daemon at once; waiting for the group then
// repeats the panic, which ends the process.
func (s *Server) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return s.Stop()
	case <-s.group.Failed():
		s.Close()
		return errPanic
	}
}

// spawn runs f in a goroutine of the daemon. A panic in it ends the daemon.
func (s *Server) spawn(f func()) { s.group.Go(f) }

// panicReporter is a framer.Handler that reports panics of the next handler to
// the group of the server.
type panicReporter struct {
	server *Server
	next   framer.Handler
}

// HandleCall passes one call of a peer to the next handler.
func (p panicReporter) HandleCall(ctx context.Context, peer, method string, body []byte) ([]byte, error) {
	defer p.server.group.ReportPanic()
	return p.next.HandleCall(ctx, peer, method, body)
}
