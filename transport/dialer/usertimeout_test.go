package dialer

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"monsoonspar.example/state/timekeeper"
)

// userTimeout returns the TCP_USER_TIMEOUT of a connection in milliseconds; zero for none.
func userTimeout(t *testing.T, c net.Conn) int {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	ms := -1
	var failure error
	assert.NilError(t, raw.Control(func(fd uintptr) { ms, failure = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
	assert.NilError(t, failure)
	return ms
}

// Guards against a user timeout, which decides when keep-alive probes give up, whatever their count.
func TestConnectionsSetNoUserTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	c, err := New(Config{ReceiveBufferBytes: 64 << 10}, timekeeper.System{}).open(t.Context(), ln.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, userTimeout(t, c.raw), 0)
	_ = c.raw.Close()
}
