package dialer_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/transport/dialer"
)

// Guards against the abort of a body that was closed and whose connection serves another request by now.
func TestAbortSparesNextRequestOnConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	d := newDialer(t, dialer.Config{})
	arrived, answer := make(chan struct{}), make(chan struct{})
	var g conc.WaitGroup
	defer g.Wait()
	g.Go(func() {
		c, err := ln.Accept()
		assert.Check(t, err)
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		var req fasthttp.Request
		assert.Check(t, req.Read(r))
		_, _ = io.WriteString(c, okResponse)
		assert.Check(t, req.Read(r))
		close(arrived)
		<-answer
		_, _ = io.WriteString(c, okResponse)
	})
	first, err := d.Do(t.Context(), requester.Request{Method: "GET", Path: "/", Addr: ln.Addr().String()})
	assert.NilError(t, err)
	_, err = io.ReadAll(first.Body)
	assert.NilError(t, err)
	assert.NilError(t, first.Body.Close())
	failed := make(chan error, 1)
	g.Go(func() {
		res, err := d.Do(t.Context(), requester.Request{Method: "POST", Path: "/", Addr: ln.Addr().String(), NonIdempotent: true})
		if err == nil {
			_ = res.Body.Close()
		}
		failed <- err
	})
	<-arrived
	first.Body.(aborter).Abort()
	time.Sleep(20 * time.Millisecond)
	close(answer)
	assert.NilError(t, <-failed, "the request that uses the connection now was reset")
}
