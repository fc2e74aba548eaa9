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

// Time limits of a connection.
const (
	heartbeatInterval = 500 * time.Millisecond
	silenceTimeout    = 2 * time.Second
	idleTimeout       = 30 * time.Second
	writeTimeout      = time.Second
	handshakeTimeout  = time.Second
	bufferBytes       = 4 << 10
)

// reply is the result of one call.
type reply struct {
	body []byte
	err  error
}

// conn is one authenticated connection. Both sides may call.
type conn struct {
	raw     net.Conn
	r       *bufio.Reader
	peer    string
	node    *Node
	writeMu sync.Mutex
	w       *bufio.Writer

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan reply
	usedAt  time.Time // Time of the last call in either direction.
	askedAt time.Time // Time of the first ping since the last frame; zero if none.
	err     error
}

// newConn wraps an authenticated connection.
func newConn(node *Node, raw net.Conn, r *bufio.Reader, w *bufio.Writer, peer string) *conn {
	return &conn{
		raw: raw, r: r, w: w, peer: peer, node: node,
		waiting: map[uint64]chan reply{},
		usedAt:  time.Now(),
	}
}

// run serves the connection until it fails.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g conc.WaitGroup
	g.Go(func() { c.heartbeat(ctx) })
	c.fail(c.readLoop(ctx, &g))
	cancel()
	g.Wait()
}

// readLoop handles frames until one can't be read.
func (c *conn) readLoop(ctx context.Context, g *conc.WaitGroup) error {
	for {
		e, err := readFrame(c.r)
		if err != nil {
			return err
		}
		c.heard(e.Kind)
		switch e.Kind {
		case kindPing:
			if err := c.write(envelope{Kind: kindPong}); err != nil {
				return err
			}
		case kindPong:
		case kindReply:
			c.settle(e.ID, reply{body: e.Body})
		case kindError:
			c.settle(e.ID, reply{err: errors.Wrap(ErrRemote, string(e.Body))})
		case kindCall, kindOneWay:
			g.Go(func() { c.serve(ctx, e) })
		}
	}
}

// serve runs one call of the other side and answers it.
func (c *conn) serve(ctx context.Context, e envelope) {
	body, err := c.node.handler.HandleCall(ctx, c.peer, e.Method, e.Body)
	if e.Kind == kindOneWay {
		return
	}
	answer := envelope{Kind: kindReply, ID: e.ID, Body: body}
	if err != nil {
		answer = envelope{Kind: kindError, ID: e.ID, Body: []byte(err.Error())}
	}
	if err := c.write(answer); err != nil {
		c.fail(err)
	}
}

// heard notes that a frame has come.
func (c *conn) heard(kind frameKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.askedAt = time.Time{}
	if kind == kindCall || kind == kindOneWay {
		c.usedAt = time.Now()
	}
}

// heartbeat sends pings while calls wait, and closes a connection that answers
// none or that is no longer used. An unused connection costs no traffic.
func (c *conn) heartbeat(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if err := c.beat(time.Now()); err != nil {
			c.fail(err)
			return
		}
	}
}

// beat sends a ping if one is due.
func (c *conn) beat(now time.Time) error {
	c.mu.Lock()
	waiting := len(c.waiting) > 0
	silent := !c.askedAt.IsZero() && now.Sub(c.askedAt) > silenceTimeout
	idle := !waiting && now.Sub(c.usedAt) > idleTimeout
	if waiting && c.askedAt.IsZero() {
		c.askedAt = now
	}
	c.mu.Unlock()
	if silent {
		return errSilent
	}
	if idle {
		return errIdle
	}
	if !waiting {
		return nil
	}
	return c.write(envelope{Kind: kindPing})
}

// write sends one frame.
func (c *conn) write(e envelope) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := writeFrame(c.w, e)
	c.node.sent.Add(int64(n))
	return err
}

// call sends a call and waits for its answer.
func (c *conn) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	id, ch, err := c.register()
	if err != nil {
		return nil, err
	}
	defer c.forget(id)
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

// register reserves an id for a call.
func (c *conn) register() (uint64, chan reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, nil, errors.Wrap(ErrLost, c.err.Error())
	}
	c.next++
	c.usedAt = time.Now()
	ch := make(chan reply, 1)
	c.waiting[c.next] = ch
	return c.next, ch, nil
}

// forget drops the id of a call.
func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// settle hands an answer to its call. An answer that comes after its call has
// ended is dropped.
func (c *conn) settle(id uint64, r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.waiting[id]
	if !ok {
		c.node.late.Add(1)
		return
	}
	delete(c.waiting, id)
	ch <- r
}

// fail closes the connection and ends its calls. Only the first error counts.
func (c *conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	_ = c.raw.Close()
	for id, ch := range c.waiting {
		ch <- reply{err: errors.Wrap(ErrLost, err.Error())}
		delete(c.waiting, id)
	}
}
