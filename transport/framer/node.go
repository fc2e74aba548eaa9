package framer

import (
	"bufio"
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Handler handles calls of peers. It must be safe for concurrent use.
type Handler interface {
	// HandleCall handles one call of the named peer and returns the body of the
	// reply. The context is canceled when the connection closes.
	HandleCall(ctx context.Context, peer, method string, body []byte) ([]byte, error)
}

// Config configures a Node.
type Config struct {
	Name string // Name of this daemon.
	Key  []byte // Key shared by all daemons of the deployment.
}

// Node calls peers and serves their calls.
type Node struct {
	cfg         Config
	handler     Handler
	bytesSent   expvar.Int // Without the frames of handshakes.
	lateReplies expvar.Int

	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup

	heartbeats sync.Once // Starts the goroutine of heartbeat.

	mu       sync.Mutex
	running  map[*conn]struct{}     // Connections that are served.
	dialed   map[string]*dialedConn // By address.
	accepted map[*conn]struct{}
	listener net.Listener
}

// dialedConn is an outgoing connection that is being established or is open.
type dialedConn struct {
	ready chan struct{} // Closed when conn or err is set.
	conn  *conn
	err   error
}

// NewNode returns a node that passes the calls of peers to h.
func NewNode(cfg Config, h Handler) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		cfg: cfg, handler: h, ctx: ctx, cancel: cancel,
		running:  map[*conn]struct{}{},
		dialed:   map[string]*dialedConn{},
		accepted: map[*conn]struct{}{},
	}
}

// BytesSent returns the number of bytes in the frames written so far, without
// handshakes.
func (n *Node) BytesSent() int64 { return n.bytesSent.Value() }

// LateReplies returns the number of replies that arrived after their call had
// ended.
func (n *Node) LateReplies() int64 { return n.lateReplies.Value() }

// Listen accepts connections of peers on addr and returns the bound address.
func (n *Node) Listen(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen for peers")
	}
	n.mu.Lock()
	n.listener = l
	n.mu.Unlock()
	n.group.Go(func() { n.acceptLoop(l) })
	return l.Addr().String(), nil
}

// acceptLoop serves incoming connections until the listener closes.
func (n *Node) acceptLoop(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		n.group.Go(func() { n.accept(raw) })
	}
}

// accept authenticates and serves one incoming connection.
func (n *Node) accept(raw net.Conn) {
	c, err := n.authenticate(raw, false)
	if err != nil {
		return
	}
	n.mu.Lock()
	n.accepted[c] = struct{}{}
	n.mu.Unlock()
	if n.ctx.Err() != nil {
		c.fail(ErrClosed)
	}
	c.run(n.ctx)
	n.mu.Lock()
	delete(n.accepted, c)
	n.mu.Unlock()
}

// addRunning adds a connection that is served, which the heartbeat checks.
func (n *Node) addRunning(c *conn) {
	n.mu.Lock()
	n.running[c] = struct{}{}
	n.mu.Unlock()
	n.heartbeats.Do(func() { n.group.Go(n.heartbeat) })
}

func (n *Node) removeRunning(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.running, c)
}

// heartbeat sends pings on all connections with pending calls, and closes those on which they are
// not answered or that have been idle for idleTimeout, until the node is closed. It sends nothing on
// an idle connection. One goroutine serves all connections, so that many of them cost few wake-ups.
func (n *Node) heartbeat() {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		}
		n.mu.Lock()
		conns := make([]*conn, 0, len(n.running))
		for c := range n.running {
			conns = append(conns, c)
		}
		n.mu.Unlock()
		for _, c := range conns {
			switch needsPing, err := c.checkLiveness(time.Now()); {
			case err != nil:
				c.fail(err)
			case needsPing:
				n.group.Go(c.ping) // A write may block.
			}
		}
	}
}

// authenticate runs the handshake on a new connection.
func (n *Node) authenticate(raw net.Conn, dialed bool) (*conn, error) {
	r := bufio.NewReaderSize(raw, bufferBytes)
	w := bufio.NewWriterSize(raw, bufferBytes)
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	peer, err := handshake(raw, r, w, n.cfg.Name, n.cfg.Key, dialed)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	return newConn(n, raw, r, w, peer), nil
}

// Call sends a call to the peer at addr and waits for its reply. After an error
// other than ErrUnreachable the peer may or may not have handled the call.
func (n *Node) Call(ctx context.Context, addr, method string, body []byte) ([]byte, error) {
	c, err := n.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, method, body)
}

// Send sends a one-way message, which gets no reply.
func (n *Node) Send(ctx context.Context, addr, method string, body []byte) error {
	c, err := n.connect(ctx, addr)
	if err != nil {
		return err
	}
	return c.write(envelope{Kind: kindOneWay, Method: method, Body: body})
}

// connect returns the open connection to addr, or dials one if there is none.
func (n *Node) connect(ctx context.Context, addr string) (*conn, error) {
	n.mu.Lock()
	d, ok := n.dialed[addr]
	if !ok {
		if n.ctx.Err() != nil {
			n.mu.Unlock()
			return nil, ErrClosed
		}
		d = &dialedConn{ready: make(chan struct{})}
		n.dialed[addr] = d
		n.group.Go(func() { n.dial(addr, d) })
	}
	n.mu.Unlock()
	select {
	case <-d.ready:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUnreachable, ctx.Err().Error())
	}
}

// dial establishes a connection and serves it until it fails.
func (n *Node) dial(addr string, d *dialedConn) {
	defer n.removeDialed(addr, d)
	dialer := net.Dialer{Timeout: handshakeTimeout}
	raw, err := dialer.DialContext(n.ctx, "tcp", addr)
	if err != nil {
		d.err = errors.Wrap(ErrUnreachable, err.Error())
		close(d.ready)
		return
	}
	c, err := n.authenticate(raw, true)
	if err != nil {
		d.err = errors.Wrap(ErrUnreachable, err.Error())
		if errors.Is(err, ErrKey) {
			d.err = err
		}
		close(d.ready)
		return
	}
	d.conn = c
	close(d.ready)
	if n.ctx.Err() != nil {
		c.fail(ErrClosed)
	}
	c.run(n.ctx)
}

// removeDialed removes a failed connection, so that the next call dials again.
func (n *Node) removeDialed(addr string, d *dialedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dialed[addr] == d {
		delete(n.dialed, addr)
	}
}

// Close closes the listener and all connections, and waits for the handlers to
// return.
func (n *Node) Close() {
	n.mu.Lock()
	if n.listener != nil {
		_ = n.listener.Close()
	}
	for c := range n.accepted {
		c.fail(ErrClosed)
	}
	for _, d := range n.dialed {
		select {
		case <-d.ready:
			if d.conn != nil {
				d.conn.fail(ErrClosed)
			}
		default:
		}
	}
	// The contexts of the handlers are canceled only after all connections are
	// closed, so that no peer receives the reply of an interrupted handler.
	n.cancel()
	n.mu.Unlock()
	n.group.Wait()
}
