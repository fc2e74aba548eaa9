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

// conn is a connection that counts the bytes written for the request in flight.
// Its Read fails if no bytes arrive within readTimeout.
type conn struct {
	raw          net.Conn
	addr         string
	clock        timekeeper.Clock
	r            *bufio.Reader
	readTimeout  time.Duration
	headDeadline time.Time // Time at which the response header must have been read; zero for none.
	silentAt     time.Time // Time at which the connection counts as silent if nothing has arrived; zero if it does not.
	silent       func()    // Called then.
	openedAt     time.Time
	written      int
	answered     bool // Bytes have arrived since the request was sent.
	responses    int  // Responses whose headers have been read.
	idleSince    time.Time
	unbind       func() bool // Set by bind; returns false if the context has ended.
}

// bind arranges for the connection to be reset when ctx ends: a server that works on the request notices that
// at its next write at the latest. The operating system may still hand it a request that it has not read yet.
func (c *conn) bind(ctx context.Context) {
	c.unbind = context.AfterFunc(ctx, c.reset)
}

// reset closes the connection with a reset.
func (c *conn) reset() {
	if l, ok := c.raw.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // The connection is closed in any case.
	}
	_ = c.raw.Close()
}

func (c *conn) close() {
	c.unbind()
	// The connection is discarded, so an error of Close has no consequence.
	_ = c.raw.Close()
}

// Read reads with a deadline of readTimeout from now, but not after headDeadline. It calls silent if nothing has arrived
// before silentAt.
func (c *conn) Read(p []byte) (int, error) {
	deadline := c.clock.Now().Add(c.readTimeout)
	if !c.headDeadline.IsZero() && deadline.After(c.headDeadline) {
		deadline = c.headDeadline
	}
	if !c.silentAt.IsZero() {
		if deadline.After(c.silentAt) {
			n, err := c.readUntil(p, c.silentAt)
			if n > 0 || !isTimeout(err) {
				c.silentAt = time.Time{}
				return n, err
			}
			c.silent()
		}
		c.silentAt = time.Time{}
	}
	return c.readUntil(p, deadline)
}

// readUntil reads with a deadline.
func (c *conn) readUntil(p []byte, deadline time.Time) (int, error) {
	if err := c.raw.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.raw.Read(p)
	c.answered = c.answered || n > 0
	return n, err
}

// Write writes p and counts the bytes that the operating system accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.raw.Write(p)
	c.written += n
	return n, err
}

// wrapFailure returns a FailureError that classifies err by whether any byte of
// the request was written.
func (c *conn) wrapFailure(ctx context.Context, err error) error {
	kind := requester.ErrOutcomeUnknown
	if c.written == 0 {
		kind = requester.ErrNotSent
	}
	switch {
	case ctx.Err() != nil:
		err = ctx.Err()
	case isTimeout(err):
		err = requester.ErrReadTimeout
	}
	return requester.FailureError{Kind: kind, Cause: shortError{err}, Written: c.written, Via: c.via()}
}

// via returns what the connection goes through, or an empty string if it is direct.
func (c *conn) via() string {
	if v, ok := c.raw.(indirect); ok {
		return v.Via()
	}
	return ""
}

// maxErrorBytes limits the text of an error, which may quote what the server sent.
const maxErrorBytes = 256

// shortError is an error whose text is limited.
type shortError struct{ error }

// Error returns the beginning of the text.
func (e shortError) Error() string {
	text := e.error.Error()
	return text[:min(len(text), maxErrorBytes)]
}

// Unwrap returns the error with the whole text.
func (e shortError) Unwrap() error { return e.error }

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// usable reports whether an idle connection appears to be open and has no unread
// data, which would not belong to any request.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	return peeker.Peek(c.raw) == peeker.Idle
}

// isConnectionHeader reports whether a header field applies to a single
// connection only or is set by this package. Such fields are not forwarded.
func isConnectionHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "host", "content-length":
		return true
	}
	return false
}
