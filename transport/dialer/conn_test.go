package dialer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/timekeeper"
)

// limitedConn is a connection that accepts a number of bytes and then fails, like one that the
// server closes while a request is written.
type limitedConn struct {
	net.Conn
	accepts int
}

func (c *limitedConn) Write(p []byte) (int, error) {
	n := min(len(p), c.accepts)
	c.accepts -= n
	if n < len(p) {
		return n, syscall.ECONNRESET
	}
	return n, nil
}

func (*limitedConn) SetWriteDeadline(time.Time) error { return nil }

// The first byte that the operating system has accepted decides: without it the request can't
// have run, with it the request may have.
func TestFirstByteDecidesWhetherRequestMayHaveRun(t *testing.T) {
	d := New(Config{}, timekeeper.System{})
	req := requester.Request{Method: "POST", Path: "/", Addr: "10.0.0.1:80", Body: make([]byte, 100<<10)}
	for accepts, want := range map[int]error{0: requester.ErrNotSent, 1: requester.ErrOutcomeUnknown, 50 << 10: requester.ErrOutcomeUnknown} {
		c := &conn{raw: &limitedConn{accepts: accepts}, clock: timekeeper.System{}, written: 7} // The bytes of an earlier request.
		err := d.send(c, req)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
		err = c.wrapFailure(t.Context(), err)
		assert.ErrorIs(t, err, want, "%d bytes", accepts)
		assert.Assert(t, errors.Is(err, requester.ErrNotSent) != errors.Is(err, requester.ErrOutcomeUnknown))
	}
}
