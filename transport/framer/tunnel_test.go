package framer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"monsoonspar.example/transport/peeker"
)

// relayHandler opens the connections of tunnels.
type relayHandler struct {
	echo
	ended chan int64
}

func (h relayHandler) Open(ctx context.Context, _, target string) (net.Conn, func(int64), error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", target)
	return c, func(n int64) { h.ended <- n }, err
}

// startTunnel starts a node that opens tunnels, and a target that each connection is passed to.
func startTunnel(t *testing.T, serve func(net.Conn)) (*Tunnel, *Node, chan int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	group.Go(func() {
		c, err := ln.Accept()
		if err == nil {
			serve(c)
		}
	})
	ended := make(chan int64, 1)
	near, far := NewNode(Config{Name: "near"}, echo{}), NewNode(Config{Name: "far"}, relayHandler{ended: ended})
	addr, err := far.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = ln.Close()
		near.Close()
		far.Close()
		group.Wait()
	})
	c, err := near.Open(t.Context(), addr, ln.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, c.Peer(), "far")
	return c, far, ended
}

func TestTunnelPassesBytesOn(t *testing.T) {
	c, _, ended := startTunnel(t, func(c net.Conn) {
		_, _ = io.Copy(c, c)
		_ = c.Close()
	})
	text := make([]byte, 300_000)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range text {
		text[i] = byte(r.Uint32())
	}
	var group conc.WaitGroup
	group.Go(func() { _, _ = c.Write(text) })
	got := make([]byte, len(text))
	_, err := io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, text))
	group.Wait()
	assert.Equal(t, peeker.Peek(c), peeker.Idle)
	assert.NilError(t, c.Close())
	assert.Equal(t, <-ended, int64(2*len(text)))
}

// Guards against an end of the far connection, the peer or the target that looks like another one: a
// response that its end marks would look whole.
func TestTunnelTellsOrderlyEndFromOthers(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(target net.Conn, far *Node)
		want error
	}{
		{"orderly", func(target net.Conn, _ *Node) { _ = target.Close() }, io.EOF},
		{"reset", func(target net.Conn, _ *Node) { abort(target) }, ErrBrokenOff},
		{"peer ends", func(_ net.Conn, far *Node) {
			far.mu.Lock()
			defer far.mu.Unlock()
			for c := range far.accepted {
				_ = c.raw.(*net.TCPConn).CloseWrite() // As the system does for a process that ends.
			}
		}, ErrBrokenOff},
	} {
		t.Run(tt.name, func(t *testing.T) {
			targets := make(chan net.Conn, 1)
			c, far, _ := startTunnel(t, func(c net.Conn) { targets <- c })
			target := <-targets
			_, err := target.Write([]byte("abc"))
			assert.NilError(t, err)
			got := make([]byte, 3)
			_, err = io.ReadFull(c, got)
			assert.NilError(t, err)
			tt.end(target, far)
			_, err = c.Read(got)
			if errors.Is(tt.want, io.EOF) {
				assert.Equal(t, err, io.EOF)
			} else {
				assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
			}
			assert.Assert(t, peeker.Peek(c) != peeker.Idle)
			_ = c.Close()
		})
	}
}

// Guards against a connection to the target that outlives the near end of its tunnel.
func TestTunnelEndsAtTargetWithNearEnd(t *testing.T) {
	ended := make(chan error, 1)
	c, _, _ := startTunnel(t, func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	assert.NilError(t, c.Close())
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(time.Second):
		t.Fatal("the connection to the target is still open")
	}
}

// Guards against a target that notices the end of a tunnel only at its second write, and works until then
// (incident rettifiche-nord-large).
func TestTunnelResetsTargetWithNearEnd(t *testing.T) {
	targets := make(chan net.Conn, 1)
	c, _, _ := startTunnel(t, func(c net.Conn) { targets <- c })
	target := <-targets
	defer func() { _ = target.Close() }()
	assert.NilError(t, c.Close())
	assert.NilError(t, target.SetReadDeadline(time.Now().Add(5*time.Second))) // Only bounds a test that hangs.
	_, err := target.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a deadline of the near end that loses bytes of the tunnel.
func TestTunnelReadsOnAfterDeadline(t *testing.T) {
	targets := make(chan net.Conn, 1)
	c, _, _ := startTunnel(t, func(c net.Conn) { targets <- c })
	target := <-targets
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	_, err = target.Write([]byte("x"))
	assert.NilError(t, err)
	got := make([]byte, 1)
	_, err = c.Read(got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "x")
	_ = target.Close()
	_ = c.Close()
}

func TestTunnelToNobodyIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := ln.Addr().String()
	assert.NilError(t, ln.Close())
	near, far := NewNode(Config{Name: "near"}, echo{}), NewNode(Config{Name: "far"}, relayHandler{})
	plain := NewNode(Config{Name: "plain"}, echo{})
	for _, n := range []*Node{near, far, plain} {
		t.Cleanup(n.Close)
	}
	addr, err := far.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	_, err = near.Open(t.Context(), addr, target)
	assert.ErrorIs(t, err, ErrRemote)
	addr, err = plain.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	_, err = near.Open(t.Context(), addr, target)
	assert.ErrorIs(t, err, ErrUnreachable)
}

func FuzzTunnel(f *testing.F) {
	f.Add([]byte{0, 3, 'a', 'b', 'c', 0, 0})
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		tunnel := &Tunnel{r: bufio.NewReader(bytes.NewReader(text))}
		got, err := io.ReadAll(tunnel)
		if len(got) > len(text) {
			t.Fatalf("%d bytes from %d", len(got), len(text))
		}
		if err == nil && (len(text) < 2 || !bytes.Contains(text, []byte{0, 0})) {
			t.Fatal("an orderly end without its mark")
		}
	})
}

// Guards against a user timeout, which decides when keep-alive probes give up, whatever their count.
func TestTunnelsProbeWithoutUserTimeout(t *testing.T) {
	c, far, _ := startTunnel(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	far.mu.Lock()
	defer far.mu.Unlock()
	ends := []net.Conn{c.Conn}
	for o := range far.accepted {
		ends = append(ends, o.raw)
	}
	for _, end := range ends {
		raw, err := end.(syscall.Conn).SyscallConn()
		assert.NilError(t, err)
		values := map[int]int{}
		assert.NilError(t, raw.Control(func(fd uintptr) {
			for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
				values[option], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			}
		}))
		assert.NilError(t, err)
		assert.DeepEqual(t, values, map[int]int{unix.TCP_USER_TIMEOUT: 0, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 4})
	}
	_ = c.Close()
}

// shortConn is a connection that accepts a number of bytes and then fails.
type shortConn struct {
	net.Conn
	accepts int
}

func (c *shortConn) Write(p []byte) (int, error) {
	n := min(len(p), c.accepts)
	c.accepts -= n
	if n < len(p) {
		return n, syscall.ECONNRESET
	}
	return n, nil
}

// Guards against a request that counts as not sent although its first byte was written to a tunnel, whose peer may
// pass it on, and against one that may have run since the header of its block was written.
func TestTunnelCountsBytesForItsTarget(t *testing.T) {
	p := make([]byte, maxBlockBytes+10)
	for accepts, want := range map[int]int{
		0: 0, blockHeaderBytes: 0, blockHeaderBytes + 1: 1, blockHeaderBytes + maxBlockBytes: maxBlockBytes,
		2*blockHeaderBytes + maxBlockBytes: maxBlockBytes, 2*blockHeaderBytes + maxBlockBytes + 3: maxBlockBytes + 3,
	} {
		tunnel := &Tunnel{Conn: &shortConn{accepts: accepts}}
		n, err := tunnel.Write(p)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
		assert.Equal(t, n, want, "%d bytes accepted", accepts)
	}
}
