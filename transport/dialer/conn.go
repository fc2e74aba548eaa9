package dialer

import (
	"bufio"
	"context"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/peeker"
)

// conn is a connection with the count of bytes written for the request in
// flight. Its Read fails after a silence.
type conn struct {
	raw       net.Conn
	addr      string
	clock     timekeeper.Clock
	r         *bufio.Reader
	silence   time.Duration
	written   int
	idleSince time.Time
	unbind    func() bool // Reports false if the context has ended.
}

// bind closes the connection when ctx ends.
func (c *conn) bind(ctx context.Context) {
	c.unbind = context.AfterFunc(ctx, func() { _ = c.raw.Close() })
}

func (c *conn) close() {
	c.unbind()
	// The connection is given up; there is nobody to tell of an error.
	_ = c.raw.Close()
}

// Read reads what comes within the allowed silence.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.raw.SetReadDeadline(c.clock.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.raw.Read(p)
}

// Write counts the bytes that the operating system took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.raw.Write(p)
	c.written += n
	return n, err
}

// failure says what is known of the request after err.
func (c *conn) failure(ctx context.Context, err error) error {
	kind := requester.ErrUnknown
	if c.written == 0 {
		kind = requester.ErrNotSent
	}
	switch {
	case ctx.Err() != nil:
		err = ctx.Err()
	case isTimeout(err):
		err = requester.ErrSilent
	}
	return requester.FailureError{Kind: kind, Cause: err}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// quiet reports whether an idle connection is open as far as this side knows
// and has nothing to read, which would belong to no request.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	return peeker.Peek(c.raw) == peeker.Quiet
}

// ofConnection reports whether a field concerns one connection only and is set
// by this package.
func ofConnection(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "host", "content-length":
		return true
	}
	return false
}
