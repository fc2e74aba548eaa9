package dialer_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/transport/dialer"
)

// A connection that is opened in advance serves the next request, also one that is not
// idempotent.
func TestConnectedConnectionIsUsed(t *testing.T) {
	s := startServer(t, okResponse)
	d := newDialer(t, dialer.Config{})
	assert.NilError(t, d.Connect(t.Context(), s.addr))
	_, err := exchange(t, d, requester.Request{Addr: s.addr, Method: "POST", NonIdempotent: true})
	assert.NilError(t, err)
	assert.Equal(t, s.conns.Load(), int64(1))
}

// Guards against a connection that a process accepts while it is being ended: the connections
// that it has not taken are reset when its listener closes.
func TestConnectFailsIfListenerCloses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		time.Sleep(3 * time.Millisecond)
		_ = ln.Close() // Nothing was accepted.
	})
	err = newDialer(t, dialer.Config{}).Connect(t.Context(), ln.Addr().String())
	assert.Assert(t, err != nil)
}

func TestConnectFailsWithoutListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	err = newDialer(t, dialer.Config{}).Connect(t.Context(), ln.Addr().String())
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
}
