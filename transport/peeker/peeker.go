// Package peeker reports the state of an open connection without consuming data
// from it.
package peeker

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// State is the state of a connection.
type State int

// States of a connection.
const (
	Unknown State = iota // The state can't be determined.
	Idle                 // Open, with nothing to read.
	Data                 // Open, with bytes to read.
	Closed               // The other side has closed or reset it.
)

// Peek returns the state of a connection. It does not block.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Unknown
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Idle
		case err == nil && n > 0:
			state = Data
		case errors.Is(err, syscall.EINTR):
			state = Unknown
		default:
			state = Closed
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
