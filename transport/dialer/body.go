package dialer

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// body is a streamed answer. Closing it at its end gives the connection back;
// closing it earlier closes the connection, so that no later request can meet
// the rest of the answer. To end a Read that waits, end the context.
type body struct {
	ctx      context.Context
	dialer   *Dialer
	conn     *conn
	stream   io.Reader // Nil for an answer without a body.
	reusable bool
	ended    bool
	closed   bool
}

// Read returns io.EOF only at the true end of the answer.
func (b *body) Read(p []byte) (int, error) {
	if b.closed {
		return 0, errors.New("read of a closed body")
	}
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF { //nolint:errorlint // A wrapped io.EOF marks an answer that was cut.
		b.ended = true
		return n, io.EOF
	}
	b.reusable = false
	return n, b.conn.failure(b.ctx, err)
}

// Close lets go of the connection. It does not wait for the rest of the answer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.ended || !b.reusable || !b.conn.unbind() {
		b.conn.close()
		return nil
	}
	b.dialer.pool.put(b.conn, b.dialer.clock.Now())
	return nil
}
