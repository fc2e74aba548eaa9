package dialer_test

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/transport/dialer"
)

// aborter is a body whose connection can be reset.
type aborter interface{ Abort() }

// Guards against a server that works on after the caller of Abort has gone on (incident rettifiche-nord-large).
func TestAbortResetsConnectionBeforeItReturns(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	d := newDialer(t, dialer.Config{})
	accepted := make(chan net.Conn, 1)
	var g conc.WaitGroup
	defer g.Wait()
	g.Go(func() {
		c, err := ln.Accept()
		assert.Check(t, err)
		var req fasthttp.Request
		assert.Check(t, req.Read(bufio.NewReader(c)))
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
		assert.Check(t, err)
		accepted <- c
	})
	res, err := d.Do(t.Context(), requester.Request{Method: "GET", Path: "/", Addr: ln.Addr().String()})
	assert.NilError(t, err)
	res.Body.(aborter).Abort()
	c := <-accepted
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.NilError(t, res.Body.Close())
}

// Guards against a reset of a connection that serves another request.
func TestAbortSparesConnectionOfClosedBody(t *testing.T) {
	s := startServer(t, okResponse, okResponse)
	d := newDialer(t, dialer.Config{})
	res, err := d.Do(t.Context(), requester.Request{Method: "GET", Path: "/", Addr: s.addr})
	assert.NilError(t, err)
	_, err = io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	res.Body.(aborter).Abort()
	text, err := exchange(t, d, requester.Request{Addr: s.addr})
	assert.NilError(t, err)
	assert.Equal(t, text, "ok")
	assert.Equal(t, s.conns.Load(), int64(1))
}
