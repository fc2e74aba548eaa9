package dialer_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/transport/dialer"
)

// largeBody does not fit into the buffers of a connection.
var largeBody = make([]byte, 16<<20)

// A request of which the operating system has accepted some bytes may have run, whatever the
// server does with them: it may close or reset the connection while the request is written, or
// read no more of it.
func TestPartlyWrittenRequestMayHaveRun(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn, <-chan struct{}){
		"closed": func(c *net.TCPConn, _ <-chan struct{}) { _ = c.Close() },
		"reset": func(c *net.TCPConn, _ <-chan struct{}) {
			_ = c.SetLinger(0) // Makes Close reset the connection.
			_ = c.Close()
		},
		"closed before a byte was read": nil,
		"not read":                      func(_ *net.TCPConn, done <-chan struct{}) { <-done },
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			done := make(chan struct{})
			var group conc.WaitGroup
			group.Go(func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if end == nil {
					time.Sleep(20 * time.Millisecond)
					return
				}
				_, _ = io.ReadFull(c, make([]byte, 100))
				end(c.(*net.TCPConn), done)
			})
			d := newDialer(t, dialer.Config{WriteTimeout: 200 * time.Millisecond})
			_, err = exchange(t, d, requester.Request{Method: "POST", Addr: ln.Addr().String(), Body: largeBody, NonIdempotent: true})
			assert.ErrorIs(t, err, requester.ErrOutcomeUnknown)
			assert.Assert(t, !errors.Is(err, requester.ErrNotSent))
			close(done)
			_ = ln.Close()
			group.Wait()
		})
	}
}
