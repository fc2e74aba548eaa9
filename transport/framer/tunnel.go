package framer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// A tunnel is a connection through a peer to a third party, the target. The peer opens the
// connection to the target and passes bytes on in both directions. Each direction is a sequence
// of blocks, a 2-byte big-endian length and as many bytes; a block of length zero marks the
// orderly end. A tunnel that ends without it was broken off, since the operating system closes
// the connections of a process that has ended in an orderly way.
const (
	blockHeaderBytes = 2
	maxBlockBytes    = 8 << 10
	openTimeout      = time.Second // Of the peer, to open the connection to the target.
)

// tunnelKeepAlive makes both ends of a tunnel notice that the path between them is lost, also while
// nothing is sent.
var tunnelKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 4}

// ErrBrokenOff means that a tunnel ended without the mark of an orderly end.
var ErrBrokenOff = errors.New("framer: tunnel was broken off")

// RemoteError is the error of a tunnel that the peer did not open. It matches ErrRemote.
type RemoteError struct {
	Text string // Of the peer's Opener.
}

// Error implements error.
func (e RemoteError) Error() string { return ErrRemote.Error() + ": " + e.Text }

// Unwrap returns ErrRemote.
func (RemoteError) Unwrap() error { return ErrRemote }

// errNotFirst means that a peer asked for a tunnel on a connection that it uses for calls.
var errNotFirst = errors.New("framer: tunnel on a connection in use")

// Opener opens the connections to the targets of tunnels. Its error is told to the peer as text.
type Opener interface {
	// Open opens a connection to the target on behalf of the named peer. The function that it
	// returns is called when the tunnel has ended, with the number of bytes passed on.
	Open(ctx context.Context, peer, target string) (net.Conn, func(bytes int64), error)
}

// Open opens a tunnel through the peer at addr to a target. The error matches ErrUnreachable, or
// is a RemoteError if the peer has answered that it can't open the connection.
func (n *Node) Open(ctx context.Context, addr, target string) (*Tunnel, error) {
	if n.ctx.Err() != nil {
		return nil, ErrClosed
	}
	dialer := net.Dialer{Timeout: handshakeTimeout, KeepAliveConfig: tunnelKeepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	t, err := n.openOn(raw, target)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close() // It was not used.
		return nil, err
	}
	return t, nil
}

// openOn asks the peer at the other end of a new connection for a tunnel.
func (n *Node) openOn(raw net.Conn, target string) (*Tunnel, error) {
	c, err := n.authenticate(raw, true)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	_ = raw.SetDeadline(time.Now().Add(openTimeout + handshakeTimeout))
	if _, err := writeFrame(c.w, envelope{Kind: kindOpen, Method: target}); err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	e, err := readFrame(c.r)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if e.Kind != kindReply {
		return nil, RemoteError{Text: string(e.Body)}
	}
	_ = raw.SetDeadline(time.Time{})
	return &Tunnel{Conn: raw, r: c.r, peer: c.peer}, nil
}

// Tunnel is the near end of a tunnel. Its Read returns io.EOF only at the orderly end of the
// connection between the peer and the target.
type Tunnel struct {
	net.Conn
	r    *bufio.Reader
	left int // Bytes of the current block that have not been read.
	peer string

	mu    sync.Mutex // Guards block.
	block [blockHeaderBytes + maxBlockBytes]byte
}

// Peer returns the name of the peer.
func (t *Tunnel) Peer() string { return t.peer }

// SyscallConn implements syscall.Conn, so that the state of an idle tunnel can be determined.
func (t *Tunnel) SyscallConn() (syscall.RawConn, error) {
	sc, ok := t.Conn.(syscall.Conn)
	if !ok || t.left > 0 || t.r.Buffered() > 0 {
		return nil, errors.New("framer: the state of the tunnel can't be determined")
	}
	return sc.SyscallConn()
}

// SetReadBuffer sets the size of the receive buffer of the system.
func (t *Tunnel) SetReadBuffer(bytes int) error {
	if c, ok := t.Conn.(*net.TCPConn); ok {
		return c.SetReadBuffer(bytes)
	}
	return nil
}

// Read implements net.Conn.
func (t *Tunnel) Read(p []byte) (int, error) {
	if t.left == 0 {
		n, err := readBlockHeader(t.r)
		if err != nil {
			return 0, err
		}
		t.left = n
	}
	n, err := t.r.Read(p[:min(len(p), t.left)])
	t.left -= n
	return n, brokenOff(err)
}

// brokenOff returns the error of a tunnel that ends inside a block.
func brokenOff(err error) error {
	if err == io.EOF { //nolint:errorlint // Returned as it is by the library.
		return ErrBrokenOff
	}
	return err
}

// readBlockHeader reads the header of a block and returns the length of the block. It returns io.EOF
// at the orderly end.
func readBlockHeader(r *bufio.Reader) (int, error) {
	header, err := r.Peek(blockHeaderBytes) // Consumes nothing if the deadline passes.
	if err != nil {
		return 0, brokenOff(err)
	}
	n := int(binary.BigEndian.Uint16(header))
	switch {
	case n == 0:
		return 0, io.EOF
	case n > maxBlockBytes:
		return 0, ErrFrame
	}
	_, err = r.Discard(blockHeaderBytes)
	return n, err
}

// Write implements net.Conn.
func (t *Tunnel) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	written := 0
	for len(p) > 0 {
		n, err := writeBlock(t.Conn, t.block[:], p[:min(len(p), maxBlockBytes)])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// writeBlock writes a block, which buf must have room for, and returns the number of its bytes that
// were written.
func writeBlock(w io.Writer, buf, p []byte) (int, error) {
	binary.BigEndian.PutUint16(buf, uint16(len(p)))
	n := copy(buf[blockHeaderBytes:], p)
	sent, err := w.Write(buf[:blockHeaderBytes+n])
	return max(sent-blockHeaderBytes, 0), err
}

// serveTunnel opens the connection to a target for the peer and passes bytes on until one side ends.
func (c *conn) serveTunnel(ctx context.Context, e envelope) error {
	c.mu.Lock()
	used := c.lastID > 0
	c.mu.Unlock()
	opener, ok := c.node.handler.(Opener)
	if used || !ok {
		return errNotFirst
	}
	open, cancel := context.WithTimeout(ctx, openTimeout)
	target, end, err := opener.Open(open, c.peer, e.Method)
	cancel()
	if err != nil {
		return c.write(envelope{Kind: kindError, ID: e.ID, Body: []byte(err.Error())})
	}
	if raw, ok := c.raw.(*net.TCPConn); ok {
		_ = raw.SetKeepAliveConfig(tunnelKeepAlive) // Without it a lost path is noticed later.
	}
	if err := c.write(envelope{Kind: kindReply, ID: e.ID}); err != nil {
		_ = target.Close() // It was not used.
		end(0)
		return err
	}
	_ = c.raw.SetDeadline(time.Time{})
	end(splice(ctx, c.raw, c.r, target))
	return ErrClosed
}

// splice passes bytes on between a tunnel and its target until one of them ends, and returns their
// number.
func splice(ctx context.Context, raw net.Conn, r *bufio.Reader, target net.Conn) int64 {
	stop := context.AfterFunc(ctx, func() { abort(raw, target) })
	defer stop()
	var up, down int64
	var g conc.WaitGroup
	g.Go(func() {
		up = passUp(target, r)
		abort(target) // The near end has ended; a request that is in flight has no client.
	})
	var orderly bool
	down, orderly = passDown(raw, target)
	if !orderly {
		abort(raw, target)
	}
	_ = raw.Close()
	g.Wait()
	return up + down
}

// abort resets connections.
func abort(conns ...net.Conn) {
	for _, c := range conns {
		if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
			_ = l.SetLinger(0) // The connection is closed in any case.
		}
		_ = c.Close()
	}
}

// passUp passes on the blocks of a tunnel until it ends.
func passUp(target net.Conn, r *bufio.Reader) int64 {
	total := int64(0)
	for {
		n, err := readBlockHeader(r)
		if err != nil {
			return total
		}
		copied, err := io.CopyN(target, r, int64(n))
		total += copied
		if err != nil {
			return total
		}
	}
}

// passDown passes on the bytes of a target in blocks. It reports whether the target has ended in an
// orderly way, which it tells the near end.
func passDown(raw, target net.Conn) (total int64, orderly bool) {
	buf := make([]byte, blockHeaderBytes+maxBlockBytes)
	for {
		n, err := target.Read(buf[blockHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, writeErr := raw.Write(buf[:blockHeaderBytes+n]); writeErr != nil {
				return total, false
			}
			total += int64(n)
		}
		if err == io.EOF { //nolint:errorlint // Returned as it is by the library.
			binary.BigEndian.PutUint16(buf, 0)
			_, writeErr := raw.Write(buf[:blockHeaderBytes])
			return total, writeErr == nil
		}
		if err != nil {
			return total, false
		}
	}
}
