package forwarder

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/pathfinder"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/registrar"
)

// Times of checks of a path.
const (
	silenceCheckPause = time.Second            // Between checks of a path, and since the last response on it if it is only silent.
	breakCheckPause   = 250 * time.Millisecond // Between checks of a path that breaks connections.
	checkHeadStart    = 50 * time.Millisecond  // Of the direct probe before one through a peer.
	checkGrace        = 250 * time.Millisecond // Of the direct probe after the other one has been answered.
	checkTimeout      = 2 * tunnelOpenTimeout  // Of a probe.
)

// checkPeers is the number of probes through peers for one check.
const checkPeers = 3

// way is how a probe reaches its endpoint, in place of what pathfinder plans.
type way struct {
	peers []pathfinder.Peer // Direct if empty.
}

type wayKey struct{}

// withWay returns a context with which Paths.Dial opens connections in one way only.
func withWay(ctx context.Context, w way) context.Context { return context.WithValue(ctx, wayKey{}, w) }

// open opens a connection in this way.
func (w way) open(ctx context.Context, p *Paths, e pathfinder.Endpoint) (net.Conn, error) {
	if len(w.peers) == 0 {
		return p.openDirect(ctx, e.Addr)
	}
	r := p.openThrough(ctx, e, w.peers)
	return r.conn, r.err
}

// RecordAnswer implements dialer.Network.
func (p *Paths) RecordAnswer(addr string, c net.Conn, openedAt time.Time) {
	if p.f == nil {
		return
	}
	now := p.f.clock.Now()
	if _, ok := c.(*tunnel); ok {
		if p.finder.RecordRelayedAnswer(addr, now) {
			p.handleChange(addr, true)
		}
		return
	}
	p.mu.Lock()
	p.heard[addr] = now
	p.mu.Unlock()
	if p.finder.RecordAnswer(addr, openedAt) {
		p.handleChange(addr, false)
	}
}

// RecordBreak implements dialer.Network. The endpoint may have closed the connection or ended; a check tells.
func (p *Paths) RecordBreak(addr string, c net.Conn) {
	if p.f == nil {
		return
	}
	if t, ok := c.(*tunnel); ok {
		p.finder.RecordRelayed(addr, t.peer, pathfinder.Broken, p.f.clock.Now())
		return
	}
	p.recordDirect(addr, pathfinder.Broken)
	p.check(addr, true)
}

// RecordSilence implements dialer.Network. A request that gets no response says little of its endpoint,
// and less of the path; a check tells.
func (p *Paths) RecordSilence(addr string, c net.Conn) {
	if p.f == nil {
		return
	}
	if _, ok := c.(*tunnel); !ok {
		p.check(addr, false)
	}
}

// check finds out whether the path to an address is cut, unless that was done lately or, if the path has not broken a
// connection, a response has come on another one.
func (p *Paths) check(addr string, broken bool) {
	now := p.f.clock.Now()
	p.mu.Lock()
	since := now.Sub(p.checked[addr])
	due := since >= silenceCheckPause && now.Sub(p.heard[addr]) >= silenceCheckPause || broken && since >= breakCheckPause
	if due {
		p.checked[addr] = now
	}
	p.mu.Unlock()
	if !due {
		return
	}
	for _, e := range p.f.registry.All() {
		if e.Addr == addr {
			p.f.metrics.count("path_checks")
			p.f.spawn(func() { p.compare(e) })
			return
		}
	}
}

// compare requests a response of an endpoint directly and, unless one comes soon, through a peer. If one
// comes through a peer only, the path is cut. If none comes and the path breaks connections, the endpoint counts as
// unreached; one that is silent may be busy.
func (p *Paths) compare(e registrar.Endpoint) {
	direct := make(chan error, 1)
	p.f.spawn(func() { direct <- p.probeEndpoint(p.f.ctx, e, way{}) })
	err := p.awaitProbe(direct, checkHeadStart)
	if err == nil || errors.Is(err, requester.ErrNotSent) {
		return // A connection that was not opened has been recorded.
	}
	switch {
	case p.answersThroughPeer(e):
		if p.awaitProbe(direct, checkGrace) != nil {
			p.recordDirect(e.Addr, pathfinder.Broken)
		}
	case !errors.Is(err, errNoResponseYet):
		p.finder.RecordDown(e.Addr, p.f.clock.Now())
		p.wake.wake()
	}
}

// answersThroughPeer reports whether a peer gets a response of an endpoint. It asks several, since one whose path breaks
// connections may not know it yet.
func (p *Paths) answersThroughPeer(e registrar.Endpoint) bool {
	for range checkPeers {
		peers := p.finder.Peers(pathfinder.Endpoint{Addr: e.Addr, Domain: e.Domain}, p.peers(), p.f.clock.Now())
		if len(peers) == 0 {
			return false
		}
		if p.probeEndpoint(p.f.ctx, e, way{peers: peers}) == nil {
			return true
		}
	}
	return false
}

// errNoResponseYet means that a probe has not ended.
var errNoResponseYet = errors.New("no response yet")

// awaitProbe returns the result of a probe, which it leaves in the channel, or errNoResponseYet after a time.
func (p *Paths) awaitProbe(result chan error, d time.Duration) error {
	over, stop := p.headStart(p.f.ctx, d)
	defer stop()
	select {
	case err := <-result:
		result <- err
		return err
	case <-over:
		return errNoResponseYet
	case <-p.f.ctx.Done():
		return p.f.ctx.Err()
	}
}

// probeEndpoint requests any response of an endpoint. The dialer records what comes of it.
func (p *Paths) probeEndpoint(ctx context.Context, e registrar.Endpoint, w way) error {
	ctx, cancel := context.WithTimeout(withWay(ctx, w), checkTimeout)
	defer cancel()
	if !p.f.acquireGrant(ctx, e, limiter.Normal) {
		return requester.FailureError{Kind: requester.ErrNotSent, Cause: errEndpointLimited}
	}
	healthPath := ""
	if t := p.f.table.Load(); t != nil && t.Manifest.Services[e.Service].Engine == nil {
		healthPath = t.Manifest.Services[e.Service].HealthPath
	}
	notice, err := p.f.endpoints.Probe(ctx, e, healthPath)
	p.f.observeNotice(e, notice)
	return err
}

// carriedConn is a connection that a daemon has opened for a peer. It records what becomes of the first request, since the
// peer knows of its own path only.
type carriedConn struct {
	net.Conn
	paths    *Paths
	addr     string
	openedAt time.Time
	written  atomic.Bool
	answered bool // Used by Read only.
}

// Write implements net.Conn.
func (c *carriedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.written.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *carriedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case c.answered:
	case n > 0:
		c.answered = true
		c.paths.RecordAnswer(c.addr, c.Conn, c.openedAt)
	case err != nil && !errors.Is(err, net.ErrClosed) && c.written.Load():
		c.paths.RecordBreak(c.addr, c.Conn)
	}
	return n, err
}

// SetLinger sets what becomes of bytes that have not been sent when the connection is closed.
func (c *carriedConn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}
