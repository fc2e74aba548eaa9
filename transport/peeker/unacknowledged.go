package peeker

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a connection and that the
// other side has not acknowledged. It returns false if the number can't be determined.
func Unacknowledged(c net.Conn) (int, bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	n := 0
	var failure error
	err = raw.Control(func(fd uintptr) { n, failure = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, err == nil && failure == nil
}
