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
