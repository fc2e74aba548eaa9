package forwarder

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/pathfinder"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/transport/framer"
)

// Limits of connections that a daemon opens for others.
const (
	maxTunnels        = 256
	tunnelBytes       = 64 << 10               // Charged for each: buffers of both directions and of the sockets.
	tunnelOpenTimeout = 400 * time.Millisecond // For one peer; it tries the endpoint for less.
	pathIdleInterval  = time.Minute            // Of checks while no path is cut; a cut one ends the wait.
)

// Errors of connections to endpoints.
var (
	errNoPath       = errors.New("neither this daemon nor a peer reaches the endpoint")
	errTunnelTarget = errors.New("no endpoint has this address")
	errTunnelsFull  = errors.New("the daemon carries as many connections as it can")
	errTunnelsOff   = errors.New("the daemon opens no connections for others")
	errPathCut      = errors.New("the path to the endpoint is cut")
)

// Texts in which a peer tells why it did not open a connection; any other means that nothing is known of
// the endpoint.
const (
	tunnelRefused = "refused"
	tunnelReset   = "reset"
	tunnelSilent  = "silent"
)

// tunnelState is the wire form of what a daemon says of the connections that it opens for others.
type tunnelState struct {
	Open     int  `msgpack:"open,omitempty"` // That it carries now.
	Cut      int  `msgpack:"cut,omitempty"`  // Paths that are cut.
	CutOff   bool `msgpack:"cut_off,omitempty"`
	Stopping bool `msgpack:"stopping,omitempty"`
}

// DialFunc opens a connection to an address. It must return soon.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Paths opens the connections of a Forwarder to its endpoints: directly, or through a peer where the own
// path is cut. Package pathfinder decides which. It is a dialer.Network.
type Paths struct {
	dial    DialFunc
	discard func() // Closes the idle connections that are not Usable.

	f      *Forwarder
	finder *pathfinder.Finder
	wake   waker // Wakes probe.

	mu      sync.Mutex
	via     map[string]int       // Open connections through each peer.
	carries int                  // Connections opened for others.
	checked map[string]time.Time // When the path to an address was checked last.
	heard   map[string]time.Time // When a direct connection to an address brought a response last.
	cutAt   time.Time            // Since when any path is cut; zero if none is.
	cutOff  bool                 // As logged last.
}

// NewPaths returns Paths that open direct connections with dial. Until they are passed to
// Forwarder.SetPaths, all connections are direct.
func NewPaths(dial DialFunc) *Paths {
	return &Paths{dial: dial, wake: newWaker(), via: map[string]int{}, checked: map[string]time.Time{}, heard: map[string]time.Time{}, discard: func() {}}
}

// SetPaths makes the daemon open connections for its peers, and reach endpoints through them. The
// function closes idle connections to endpoints that are not usable any more. It must be called
// before Start.
func (f *Forwarder) SetPaths(p *Paths, discard func()) {
	p.f, p.discard = f, discard
	p.finder = pathfinder.New(pathfinder.Config{Domain: f.cfg.Daemon.Domain, Regions: f.cfg.Regions}, f.newRand())
	f.paths = p
}

// state returns what a daemon tells its peers; nil if it opens no connections for them.
func (p *Paths) state(now time.Time) *tunnelState {
	if p == nil {
		return nil
	}
	cutOff, n := p.finder.CutOff(now)
	return &tunnelState{Open: p.carried(), Cut: n, CutOff: cutOff, Stopping: p.f.stopping.Load()}
}

// handlePeer handles what a peer says of the connections that it opens for others. Idle ones through a
// peer that stops are closed, so that it need not wait for them.
func (p *Paths) handlePeer(s *tunnelState) {
	if p != nil && s != nil && s.Stopping && s.Open > 0 {
		p.discard()
	}
}

// carried returns the number of connections that are open for others.
func (p *Paths) carried() int {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.carries
}

// endpointAt returns the endpoint with an address, and false if there is none.
func (f *Forwarder) endpointAt(addr string) (pathfinder.Endpoint, bool) {
	domain, ok := f.registry.DomainAt(addr)
	return pathfinder.Endpoint{Addr: addr, Domain: domain}, ok
}

// peers returns the peers that open connections for others.
func (p *Paths) peers() []pathfinder.Peer {
	ps := p.f.peers
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []pathfinder.Peer
	for name, o := range ps.known {
		if o.carries() {
			all = append(all, pathfinder.Peer{Name: name, Addr: o.daemon.Addr, Domain: o.daemon.Domain, Tunnels: max(o.tunnels.Open, p.via[name]), Cut: o.tunnels.Cut, CutOff: o.tunnels.CutOff})
		}
	}
	return all
}

// carries reports whether the peer opens connections for others. The mutex of the peers is held.
func (o *peer) carries() bool {
	return o.reachable() && o.tunnels != nil && !o.tunnels.Stopping
}

// opening is the result of an attempt to open a connection.
type opening struct {
	conn net.Conn
	err  error
	peer string // Empty for a direct attempt.
}

// Dial implements dialer.Network.
func (p *Paths) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.f == nil {
		return p.dial(ctx, addr)
	}
	e, ok := p.f.endpointAt(addr)
	if !ok { // One that has left.
		return p.dial(ctx, addr)
	}
	if w, ok := ctx.Value(wayKey{}).(way); ok {
		return w.open(ctx, p, e)
	}
	plan := p.finder.Plan(e, p.peers(), p.f.clock.Now())
	switch {
	case len(plan.Peers) > 0:
		return p.race(ctx, e, plan)
	case plan.Direct:
		c, err := p.openDirect(ctx, addr)
		if errors.Is(err, syscall.ECONNREFUSED) && !p.reachesAnother(ctx, addr) {
			return nil, errors.WithMessage(errPathCut, err.Error())
		}
		return c, err
	default:
		return nil, errNoPath
	}
}

// openDirect opens a direct connection and records the outcome.
func (p *Paths) openDirect(ctx context.Context, addr string) (net.Conn, error) {
	c, err := p.dial(ctx, addr)
	if o, known := outcomeOf(err); known && (err == nil || ctx.Err() == nil) {
		p.recordDirect(addr, o)
	}
	return c, err
}

// controlEndpoints is the number of other endpoints that are tried when one refuses a connection.
const controlEndpoints = 2

// reachesAnother reports whether this daemon reaches an endpoint other than that at addr, or there is no
// other. If not, a refused connection says nothing of the endpoint: the path refuses it.
func (p *Paths) reachesAnother(ctx context.Context, addr string) bool {
	var others []string
	for _, e := range p.f.registry.All() {
		if e.Addr != addr {
			others = append(others, e.Addr)
		}
	}
	if len(others) == 0 {
		return true
	}
	for range min(controlEndpoints, len(others)) {
		i := int(p.f.random() * float64(len(others)))
		if c, err := p.openDirect(ctx, others[i]); err == nil {
			_ = c.Close() // It was opened to test the path.
			return true
		}
		others[i] = others[len(others)-1]
		others = others[:len(others)-1]
	}
	return false
}

// outcomeOf returns the outcome of a direct attempt. It reports false if the error says nothing of the
// path.
func outcomeOf(err error) (pathfinder.Outcome, bool) {
	var timeout net.Error
	switch {
	case err == nil:
		return pathfinder.Opened, true
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return pathfinder.Refused, true
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return pathfinder.Silent, true
	default:
		return pathfinder.Lost, false
	}
}

// race opens a connection by a plan that has peers. The direct attempt goes on after a peer has opened
// one, since its outcome tells whether the path is cut.
func (p *Paths) race(ctx context.Context, e pathfinder.Endpoint, plan pathfinder.Plan) (net.Conn, error) {
	results := make(chan opening, 2) // One of each kind of attempt.
	pending := 0
	background := context.WithoutCancel(ctx)
	if plan.Direct {
		pending++
		p.f.spawn(func() {
			c, err := p.openDirect(background, e.Addr)
			results <- opening{conn: c, err: err}
		})
	}
	ask := func() {
		pending++
		p.f.spawn(func() { results <- p.openThrough(background, e, plan.Peers) })
	}
	asked := !plan.Direct
	if asked {
		ask()
	}
	over, stop := p.headStart(ctx, plan.HeadStart)
	defer stop()
	var direct, through error
	for {
		select {
		case r := <-results:
			pending--
			switch {
			case r.err == nil:
				p.discardLater(results, pending)
				return r.conn, nil
			case r.peer == "":
				direct = r.err
			default:
				through = r.err
			}
			if !asked {
				asked = true
				ask()
				continue
			}
			if pending == 0 {
				return nil, unopened(direct, through)
			}
		case <-over:
			over = nil
			if !asked {
				asked = true
				ask()
			}
		case <-ctx.Done():
			p.discardLater(results, pending)
			return nil, ctx.Err()
		}
	}
}

// headStart returns a channel that is closed after a time, unless the function that it returns is called
// before.
func (p *Paths) headStart(ctx context.Context, d time.Duration) (over <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ch := make(chan struct{})
	p.f.spawn(func() {
		if p.f.clock.Sleep(ctx, d) == nil {
			close(ch)
		}
	})
	return ch, cancel
}

// unopened returns the error of a connection that neither a direct attempt nor a peer opened. What the
// peer found out decides, since a path that is cut may refuse connections as an endpoint does that has
// ended.
func unopened(direct, through error) error {
	if direct == nil {
		return through
	}
	return errors.WithMessage(through, direct.Error())
}

// discardLater closes the connections of attempts that are not needed any more.
func (p *Paths) discardLater(results <-chan opening, pending int) {
	if pending == 0 {
		return
	}
	p.f.spawn(func() {
		for range pending {
			if r := <-results; r.err == nil {
				_ = r.conn.Close() // It was not used.
			}
		}
	})
}

// openThrough opens a connection through the first of some peers that can.
func (p *Paths) openThrough(ctx context.Context, e pathfinder.Endpoint, peers []pathfinder.Peer) opening {
	result := opening{err: errNoPath, peer: peers[0].Name}
	down := false
	for _, o := range peers {
		c, err := p.openTunnel(ctx, e.Addr, o)
		outcome := tunnelOutcome(err)
		changed := p.finder.RecordRelayed(e.Addr, o.Name, outcome, p.f.clock.Now())
		if changed {
			p.handleChange(e.Addr, true)
		}
		if err == nil {
			if _, check := ctx.Value(wayKey{}).(way); !check {
				p.f.metrics.count("tunnels_used")
			}
			return opening{conn: c, peer: o.Name}
		}
		down = down || outcome != pathfinder.Lost
		p.f.metrics.count("tunnels_failed")
		result = opening{err: errors.Wrap(err, "through "+o.Name), peer: o.Name}
	}
	if down {
		p.finder.RecordDown(e.Addr, p.f.clock.Now())
	}
	return result
}

// tunnelError is the error of a connection that a peer did not open, since the endpoint did not accept
// it.
type tunnelError struct {
	error
	outcome pathfinder.Outcome
	cause   error // As the peer's system reported it; syscall.ECONNREFUSED if nothing listens.
}

// Unwrap returns the cause.
func (e tunnelError) Unwrap() error { return e.cause }

// tunnelOutcome returns the outcome of an attempt to open a tunnel.
func tunnelOutcome(err error) pathfinder.Outcome {
	var failure tunnelError
	switch {
	case err == nil:
		return pathfinder.Opened
	case errors.As(err, &failure):
		return failure.outcome
	default:
		return pathfinder.Lost
	}
}

// openTunnel opens a connection through a peer.
func (p *Paths) openTunnel(ctx context.Context, addr string, o pathfinder.Peer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelOpenTimeout)
	defer cancel()
	t, err := p.f.peers.node.Open(ctx, o.Addr, addr)
	if err != nil {
		return nil, remoteError(err)
	}
	p.mu.Lock()
	p.via[o.Name]++
	p.mu.Unlock()
	return &tunnel{Tunnel: t, paths: p, peer: o.Name}, nil
}

// remoteError classifies the error of framer.Node.Open.
func remoteError(err error) error {
	var remote framer.RemoteError
	if !errors.As(err, &remote) {
		return err
	}
	switch remote.Text {
	case tunnelRefused:
		return tunnelError{error: err, outcome: pathfinder.Refused, cause: syscall.ECONNREFUSED}
	case tunnelReset:
		return tunnelError{error: err, outcome: pathfinder.Refused, cause: syscall.ECONNRESET}
	case tunnelSilent:
		return tunnelError{error: err, outcome: pathfinder.Silent, cause: err}
	default:
		return err
	}
}

// tunnel is a connection to an endpoint through a peer.
type tunnel struct {
	*framer.Tunnel
	paths *Paths
	peer  string // Name by which the daemon knows the peer.
	once  sync.Once
}

// Via returns the name of the peer.
func (t *tunnel) Via() string { return t.peer }

// Close implements net.Conn.
func (t *tunnel) Close() error {
	t.once.Do(func() {
		t.paths.mu.Lock()
		defer t.paths.mu.Unlock()
		if t.paths.via[t.peer]--; t.paths.via[t.peer] <= 0 {
			delete(t.paths.via, t.peer)
		}
	})
	return t.Tunnel.Close()
}

// Usable implements dialer.Network.
func (p *Paths) Usable(addr string, c net.Conn, answered bool) bool {
	if p.f == nil {
		return true
	}
	via := ""
	if t, ok := c.(*tunnel); ok {
		via = t.peer
		ps := p.f.peers
		ps.mu.Lock()
		o := ps.known[via]
		carries := o != nil && o.carries()
		ps.mu.Unlock()
		if !carries {
			return false
		}
	}
	now := p.f.clock.Now()
	if via == "" && !answered && p.finder.Breaks(addr, now) {
		return false
	}
	return p.finder.Usable(addr, via, now)
}

// recordDirect records the outcome of a direct attempt.
func (p *Paths) recordDirect(addr string, o pathfinder.Outcome) {
	if p.finder.RecordDirect(addr, o, p.f.clock.Now()) {
		p.handleChange(addr, o != pathfinder.Opened)
	}
}

// handleChange handles a path that is cut or works again. Only the first and the last one are logged.
func (p *Paths) handleChange(addr string, cut bool) {
	now := p.f.clock.Now()
	_, n := p.finder.CutOff(now)
	p.mu.Lock()
	first, last := cut && p.cutAt.IsZero(), n == 0 && !p.cutAt.IsZero()
	took := now.Sub(p.cutAt)
	switch {
	case first:
		p.cutAt = now
	case last:
		p.cutAt, p.cutOff = time.Time{}, false
	}
	p.mu.Unlock()
	if cut {
		p.f.metrics.count("path_cuts")
	}
	switch {
	case first:
		p.f.log.Warn().Str("addr", addr).Msg("forwarder: dependency lost: path to an endpoint is cut; connections go through peers")
	case last:
		p.f.log.Info().Dur("away_ms", took).Msg("forwarder: dependency regained: paths to all endpoints work")
	}
	p.discard()
	p.wake.wake()
}

// probe tries the paths that are cut until ctx ends.
func (p *Paths) probe(ctx context.Context) {
	interval := pathIdleInterval
	for p.wake.wait(ctx, p.f.clock, interval) == nil {
		now := p.f.clock.Now()
		known := map[string]registrar.Endpoint{}
		var all []pathfinder.Endpoint
		for _, e := range p.f.registry.All() {
			known[e.Addr] = e
			all = append(all, pathfinder.Endpoint{Addr: e.Addr, Domain: e.Domain})
		}
		p.retain(known)
		needAnswers := p.finder.NeedAnswers(now)
		for _, e := range p.finder.Probes(all, now) {
			p.f.metrics.count("path_probes")
			p.f.spawn(func() {
				switch {
				case p.finder.Unreached(e.Addr):
					p.compare(known[e.Addr])
				case needAnswers:
					_ = p.probeEndpoint(ctx, known[e.Addr], way{}) // Its outcome is recorded.
				default:
					if c, err := p.openDirect(ctx, e.Addr); err == nil {
						_ = c.Close() // It was opened to test the path.
					}
				}
			})
		}
		cutOff, n := p.finder.CutOff(now)
		p.logCutOff(cutOff, n)
		interval = pathfinder.Round
		if !p.finder.Probing() {
			interval = pathIdleInterval
		}
	}
}

// retain forgets what is known of all other addresses.
func (p *Paths) retain(known map[string]registrar.Endpoint) {
	isKnown := func(addr string) bool {
		_, ok := known[addr]
		return ok
	}
	p.finder.Retain(isKnown)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, times := range []map[string]time.Time{p.checked, p.heard} {
		for addr := range times {
			if !isKnown(addr) {
				delete(times, addr)
			}
		}
	}
}

// logCutOff logs when the daemon begins or ceases to be cut off from all endpoints.
func (p *Paths) logCutOff(cutOff bool, n int) {
	p.mu.Lock()
	changed := cutOff != p.cutOff
	p.cutOff = cutOff
	p.mu.Unlock()
	if !changed {
		return
	}
	if !cutOff {
		p.f.log.Info().Int("paths_cut", n).Msg("forwarder: no longer cut off from all endpoints")
		return
	}
	p.discard()
	p.f.metrics.count("times_cut_off")
	p.f.log.Warn().Int("paths_cut", n).Msg("forwarder: cut off from all endpoints")
}

// Open implements framer.Opener: it opens a connection to an endpoint for a peer, directly.
func (p *peers) Open(ctx context.Context, name, target string) (net.Conn, func(int64), error) {
	paths := p.f.paths
	if paths == nil || p.f.stopping.Load() {
		return nil, nil, errTunnelsOff
	}
	if _, ok := p.f.endpointAt(target); !ok {
		return nil, nil, errTunnelTarget
	}
	if !paths.addCarried() {
		p.f.metrics.count("tunnels_refused")
		return nil, nil, errTunnelsFull
	}
	c, err := paths.openForPeer(ctx, target)
	if err != nil {
		paths.removeCarried()
		p.f.metrics.count("tunnels_refused")
		return nil, nil, err
	}
	p.f.metrics.count("tunnels_opened")
	p.f.log.Debug().Str("peer", name).Str("addr", target).Msg("forwarder: opened a connection to an endpoint for a peer")
	return c, func(n int64) {
		paths.removeCarried()
		p.f.metrics.add("tunnel_bytes", int(n))
	}, nil
}

// openForPeer opens a connection to an endpoint for a peer. The error tells the peer why it did not.
func (p *Paths) openForPeer(ctx context.Context, addr string) (net.Conn, error) {
	c, err := p.openDirect(ctx, addr)
	if err != nil {
		return nil, p.openError(ctx, addr, err)
	}
	now := p.f.clock.Now()
	if p.finder.Breaks(addr, now) {
		_ = c.Close() // It was not used.
		return nil, errPathCut
	}
	return &carriedConn{Conn: c, paths: p, addr: addr, openedAt: now}, nil
}

// openError returns what the peer is told about a direct attempt that failed. While own paths are cut, or
// other endpoints are not reached either, it says nothing of the endpoint.
func (p *Paths) openError(ctx context.Context, addr string, err error) error {
	o, known := outcomeOf(err)
	_, cut := p.finder.CutOff(p.f.clock.Now())
	switch {
	case !known || cut > 0 || !p.reachesAnother(ctx, addr):
		return errPathCut
	case errors.Is(err, syscall.ECONNREFUSED):
		return errors.New(tunnelRefused)
	case o == pathfinder.Refused:
		return errors.New(tunnelReset)
	default:
		return errors.New(tunnelSilent)
	}
}

// addCarried counts a connection for a peer. It reports whether there is room for it.
func (p *Paths) addCarried() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.carries >= maxTunnels || !p.f.memory.Reserve("", tunnelBytes) {
		return false
	}
	p.carries++
	return true
}

func (p *Paths) removeCarried() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carries--
	p.f.memory.Release("", tunnelBytes)
}
