package forwarder

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/transport/peeker"
)

// errClientStalled means that a client has taken no bytes for the stall time.
var errClientStalled = errors.New("the client has stopped reading")

// maxProgressInterval is the longest interval for checking whether a client takes bytes.
const maxProgressInterval = time.Second

// clientConn is a client connection. It reserves memory for what it reads, and ends when the client
// takes no bytes for the stall time. A client that takes some keeps its connection, however slow
// it is. Its methods are called by one goroutine, except Close.
//
// It does not embed *net.TCPConn, whose ReadFrom would bypass Write.
type clientConn struct {
	net.Conn
	f      *Forwarder
	memory reservation

	phase        atomic.Int32 // One of connIdle, connReceiving and connServing.
	refused      atomic.Bool  // The daemon stops before it has read the current request.
	served       bool         // The handler has been called for the request that was read last.
	received     int64        // Bytes read of the current request.
	reserved     int64        // Bytes reserved for received.
	memoryDenied bool         // There is no memory to read the current request.

	current    *exchange // Current request; nil if it is not known yet.
	sent       int64     // Bytes that the operating system has accepted.
	acked      int64     // Bytes that the client had taken at the last check.
	progressAt time.Time // Time of the last check at which the client had taken more, or all.
	checkedAt  time.Time
}

// clientListener wraps the connections that it accepts.
type clientListener struct {
	net.Listener
	f *Forwarder
}

// Accept implements net.Listener. The send buffer of the connection is limited, since the kernel
// otherwise holds up to several MB for each client that does not read.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetWriteBuffer(clientSendBytes); err != nil {
			l.f.log.Debug().Err(err).Msg("forwarder: send buffer not limited; connection is already closed")
		}
	}
	conn := &clientConn{Conn: c, f: l.f, memory: reservation{reserver: l.f.memory}}
	l.f.clients.add(conn)
	return conn, nil
}

// clientConnOf returns the connection of a request.
func clientConnOf(ctx *fasthttp.RequestCtx) *clientConn {
	c, _ := ctx.Conn().(*clientConn)
	return c
}

// SyscallConn implements syscall.Conn, for package peeker.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("not a connection of the operating system")
	}
	return sc.SyscallConn()
}

// begin is called when a request has been read. What it reserved before is kept.
func (c *clientConn) begin() {
	if c.served {
		c.endRequest() // The requests arrived together.
	}
	c.served = true
	c.phase.Store(connServing)
}

// endRequest releases the memory of the last request, whose response has been written.
func (c *clientConn) endRequest() {
	c.memory.release()
	c.served, c.received, c.reserved, c.current = false, 0, 0, nil
	c.phase.Store(connIdle)
}

// Read implements net.Conn. It fails if there is no memory for the request.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.served {
		c.endRequest()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.phase.Store(connReceiving)
	}
	c.received += int64(n)
	for c.received > c.reserved+freeRequestBytes {
		if !c.memory.grow(requestReserveBytes) {
			c.memoryDenied = true
			return 0, errNoMemory
		}
		c.reserved += requestReserveBytes
	}
	return n, err
}

// Write implements net.Conn. It returns errClientStalled if the client takes no bytes for the stall
// time.
func (c *clientConn) Write(p []byte) (int, error) {
	interval := min(maxProgressInterval, c.f.cfg.Daemon.StallTime/4)
	written := 0
	for written < len(p) {
		now := c.f.clock.Now()
		if now.Sub(c.checkedAt) >= interval && !c.progresses(now) {
			c.logStall(now)
			return written, errClientStalled
		}
		if err := c.SetWriteDeadline(now.Add(interval)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		c.sent += int64(n)
		var netErr net.Error
		if err != nil && (!errors.As(err, &netErr) || !netErr.Timeout()) {
			return written, err
		}
	}
	return written, nil
}

// progresses reports whether the client has taken bytes within the stall time.
func (c *clientConn) progresses(now time.Time) bool {
	c.checkedAt = now
	unacked, ok := peeker.Unacknowledged(c.Conn)
	acked := c.sent - int64(unacked)
	if !ok || unacked == 0 || acked > c.acked {
		c.acked, c.progressAt = acked, now
		return true
	}
	return now.Sub(c.progressAt) < c.f.cfg.Daemon.StallTime
}

// logStall logs and counts that the client has stopped reading.
func (c *clientConn) logStall(now time.Time) {
	c.f.metrics.count("callers_stalled")
	e := c.f.log.Warn()
	if c.current != nil {
		e = c.f.addRequestFields(e, c.current)
		c.current.stalled = true
	}
	e.Str("reason", string(ReasonCallerStalled)).Dur("stalled_ms", now.Sub(c.progressAt)).Int64("sent", c.sent).Int64("taken", c.acked).
		Msg("forwarder: client has stopped reading; connection closed")
}

// Close implements net.Conn. If the daemon stops before it has read a request, Close first waits for the client to
// stop sending: the answer is lost if more arrives on a closed connection before the client has read it.
func (c *clientConn) Close() error {
	defer c.f.clients.remove(c)
	c.memory.close()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.refused.Load() && tcp.CloseWrite() == nil && tcp.SetReadDeadline(c.f.clock.Now().Add(lingerTime)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(tcp, maxLingerBytes)) // Any error ends the wait.
	}
	return c.Conn.Close()
}

// Phases of a client connection.
const (
	connIdle      int32 = iota // No byte of a request has been read.
	connReceiving              // A request is being read.
	connServing                // A request was read, and its response has not been written whole.
)

// Limits of what is read of a request after its refusal.
const (
	lingerTime     = 200 * time.Millisecond // Less than lastAnswerTime.
	maxLingerBytes = 1 << 20
)

// clientConns holds the open connections of clients. Use newClientConns to create one.
type clientConns struct {
	mu  sync.Mutex
	all map[*clientConn]struct{}
}

func newClientConns() *clientConns { return &clientConns{all: map[*clientConn]struct{}{}} }

func (cs *clientConns) add(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.all[c] = struct{}{}
}

func (cs *clientConns) remove(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.all, c)
}

// busy returns the number of connections with a request that is being read or served.
func (cs *clientConns) busy() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	n := 0
	for c := range cs.all {
		if c.phase.Load() != connIdle {
			n++
		}
	}
	return n
}

// refuseUnread makes the requests that are being read fail, so that they are refused.
func (cs *clientConns) refuseUnread() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.all {
		if c.phase.Load() == connReceiving {
			c.refused.Store(true)
			_ = c.SetReadDeadline(c.f.clock.Now()) // The connection may have been closed.
		}
	}
}
