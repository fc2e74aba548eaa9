package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/generator"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
)

// startCopyingEngine starts an engine that, before it responds to a request, sends the response
// to the request before on that connection once more. It refuses orders as stale.
func startCopyingEngine(t *testing.T) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	t.Cleanup(func() { _ = ln.Close(); group.Wait() })
	group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			group.Go(func() { sendCopies(c) })
		}
	})
	return ln.Addr().String()
}

// sendCopies serves one connection of a copying engine.
func sendCopies(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	last := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		status, body := 200, "{}"
		if req.URL.Path == "/orders" {
			status, body = 409, `{"error":{"code":"stale_fence"}}`
		}
		response := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		if _, err := io.WriteString(c, last+response); err != nil {
			return
		}
		last = response
	}
}

// Guards against an order that counts as done while it may still arrive, since a copy of the
// response to an earlier call arrived on its connection: the next order would be sent beside it.
func TestLateCopyOfResponseDoesNotEndOrder(t *testing.T) {
	addr := startCopyingEngine(t)
	d := dialer.New(dialer.Config{}, timekeeper.System{})
	t.Cleanup(d.Close)
	engines := generator.NewClient(d, generator.Config{CallTimeout: time.Second})
	_, err := engines.Load(t.Context(), addr, time.Now(), false)
	assert.NilError(t, err)
	err = engines.Order(t.Context(), addr, generator.Order{ID: "1", Kind: "load"})
	assert.ErrorIs(t, err, generator.ErrStaleFencingToken)
}
