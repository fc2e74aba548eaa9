package dialer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/transport/dialer"
)

// Guards against a request that counts as not run because its connection was reset: a server that has not read it
// until then, or not even accepted the connection, still gets it whole from the operating system.
func TestRequestIsReadAfterReset(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addr := ln.Addr().String()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		d := newDialer(t, dialer.Config{})
		assert.NilError(t, d.Connect(ctx, addr))
		var c net.Conn
		if accepted {
			c, err = ln.Accept()
			assert.NilError(t, err)
		}
		_, err = d.Do(ctx, requester.Request{Method: "POST", Path: "/x", Addr: addr, Body: []byte("body")})
		cancel()
		assert.ErrorIs(t, err, requester.ErrOutcomeUnknown)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(50 * time.Millisecond) // Until the reset has arrived.
		if !accepted {
			c, err = ln.Accept()
			assert.NilError(t, err)
		}
		req, err := http.ReadRequest(bufio.NewReader(c))
		assert.NilError(t, err)
		body, err := io.ReadAll(req.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "body")
		_, err = c.Read(make([]byte, 1))
		assert.ErrorIs(t, err, syscall.ECONNRESET)
		assert.NilError(t, c.Close())
		assert.NilError(t, ln.Close())
	}
}

// lateNetwork opens connections that are ready only when the request has ended.
type lateNetwork struct {
	dialer.Network
	cancel context.CancelFunc
}

func (n lateNetwork) Dial(_ context.Context, addr string) (net.Conn, error) {
	c, err := net.Dial("tcp", addr)
	n.cancel()
	return c, err
}

// Usable implements dialer.Network.
func (lateNetwork) Usable(string, net.Conn, bool) bool { return true }

// Guards against a request that is sent although it has ended while its connection was opened, as in a process that
// was paused meanwhile: the server would work for nobody, and the outcome would be unknown.
func TestRequestThatEndsDuringDialIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDialer(t, dialer.Config{Network: lateNetwork{cancel: cancel}})
		_, err := d.Do(ctx, requester.Request{Method: "POST", Path: "/x", Addr: ln.Addr().String()})
		assert.ErrorIs(t, err, requester.ErrNotSent)
		assert.ErrorIs(t, err, context.Canceled)
		d.Close()
		c, err := ln.Accept()
		assert.NilError(t, err)
		n, _ := c.Read(make([]byte, 1)) // Fails in any case.
		assert.Equal(t, n, 0)
		assert.NilError(t, c.Close())
	}
}
