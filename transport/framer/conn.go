package framer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Time limits and buffer size of a connection.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 2 * time.Second  // Without a frame after a ping.
	idleTimeout       = 30 * time.Second // Without a call or one-way message.
	writeTimeout      = time.Second      // Of one frame.
	handshakeTimeout  = time.Second      // Also bounds the dial.
	bufferBytes       = 4 << 10          // Of each of the read and write buffers.
)

// reply is the result of one call.
type reply struct {
	body []byte
	err  error
}

// conn is an authenticated connection. Both sides may call.
type conn struct {
	raw     net.Conn
	r       *bufio.Reader
	peer    string // Name of the peer, as authenticated by the handshake.
	node    *Node
	writeMu sync.Mutex // Guards w.
	w       *bufio.Writer

	mu         sync.Mutex
	lastID     uint64
	pending    map[uint64]chan reply // Outgoing calls by ID.
	lastCallAt time.Time             // Time of the last call sent, or of the last call or one-way message received.
	pingedAt   time.Time             // Time of the first ping since the last frame received; zero if none.
	err        error                 // Why the connection was closed; nil while it is open.
}

// newConn wraps an authenticated connection.
func newConn(node *Node, raw net.Conn, r *bufio.Reader, w *bufio.Writer, peer string) *conn {
	return &conn{
		raw: raw, r: r, w: w, peer: peer, node: node,
		pending:    map[uint64]chan reply{},
		lastCallAt: time.Now(),
	}
}

// run serves the connection until it fails, and waits for its handlers.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.node.addRunning(c)
	defer c.node.removeRunning(c)
	var g conc.WaitGroup
	c.fail(c.readLoop(ctx, &g))
	cancel()
	g.Wait()
}

// readLoop handles frames until one can't be read or a ping can't be answered.
func (c *conn) readLoop(ctx context.Context, g *conc.WaitGroup) error {
	for {
		e, err := readFrame(c.r)
		if err != nil {
			return err
		}
		c.recordFrame(e.Kind)
		switch e.Kind {
		case kindPing:
			if err := c.write(envelope{Kind: kindPong}); err != nil {
				return err
			}
		case kindPong:
		case kindReply:
			c.deliver(e.ID, reply{body: e.Body})
		case kindError:
			c.deliver(e.ID, reply{err: errors.Wrap(ErrRemote, string(e.Body))})
		case kindOpen:
			c.node.removeRunning(c) // It gets no pings.
			return c.serveTunnel(ctx, e)
		case kindCall, kindOneWay:
			g.Go(func() { c.serve(ctx, e) })
		}
	}
}

// serve handles a call of the peer and sends the reply unless it is one-way.
func (c *conn) serve(ctx context.Context, e envelope) {
	body, err := c.node.handler.HandleCall(ctx, c.peer, e.Method, e.Body)
	if e.Kind == kindOneWay {
		return
	}
	out := envelope{Kind: kindReply, ID: e.ID, Body: body}
	if err != nil {
		out = envelope{Kind: kindError, ID: e.ID, Body: []byte(err.Error())}
	}
	if err := c.write(out); err != nil {
		c.fail(err)
	}
}

// recordFrame records the receipt of a frame.
func (c *conn) recordFrame(kind frameKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pingedAt = time.Time{}
	if kind == kindCall || kind == kindOneWay {
		c.lastCallAt = time.Now()
	}
}

// ping sends a ping.
func (c *conn) ping() {
	if err := c.write(envelope{Kind: kindPing}); err != nil {
		c.fail(err)
	}
}

// checkLiveness reports whether a ping has to be sent, since calls are pending. It returns an error
// if an earlier ping was not answered in time or the connection is idle.
func (c *conn) checkLiveness(now time.Time) (needsPing bool, err error) {
	c.mu.Lock()
	hasPending := len(c.pending) > 0
	timedOut := !c.pingedAt.IsZero() && now.Sub(c.pingedAt) > heartbeatTimeout
	idle := !hasPending && now.Sub(c.lastCallAt) > idleTimeout
	if hasPending && c.pingedAt.IsZero() {
		c.pingedAt = now
	}
	c.mu.Unlock()
	switch {
	case timedOut:
		return false, errHeartbeatTimeout
	case idle:
		return false, errIdleTimeout
	}
	return hasPending, nil
}

// write sends a frame.
func (c *conn) write(e envelope) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := writeFrame(c.w, e)
	c.node.bytesSent.Add(int64(n))
	return err
}

// call sends a call and waits for its reply.
func (c *conn) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	id, ch, err := c.register()
	if err != nil {
		return nil, err
	}
	defer c.unregister(id)
	if err := c.write(envelope{Kind: kindCall, ID: id, Method: method, Body: body}); err != nil {
		c.fail(err)
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	select {
	case got := <-ch:
		return got.body, got.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// register allocates an ID for a call and the channel for its reply.
func (c *conn) register() (uint64, chan reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, nil, errors.Wrap(ErrLost, c.err.Error())
	}
	c.lastID++
	c.lastCallAt = time.Now()
	ch := make(chan reply, 1)
	c.pending[c.lastID] = ch
	return c.lastID, ch, nil
}

// unregister removes a call, so that a later reply to it is dropped.
func (c *conn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// deliver passes a reply to its call. A reply that arrives after its call has
// ended is dropped and counted.
func (c *conn) deliver(id uint64, r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.pending[id]
	if !ok {
		c.node.lateReplies.Add(1)
		return
	}
	delete(c.pending, id)
	ch <- r
}

// fail closes the connection and ends its pending calls with ErrLost. Only the
// first error is kept.
func (c *conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	_ = c.raw.Close()
	for id, ch := range c.pending {
		ch <- reply{err: errors.Wrap(ErrLost, err.Error())}
		delete(c.pending, id)
	}
}
