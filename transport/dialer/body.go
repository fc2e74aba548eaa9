package dialer

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"monsoonspar.example/protocol/decoder"
)

// body is the body of a streamed response. Closing it after io.EOF returns the
// connection to the pool; closing it earlier closes the connection, so that no
// later request can read the rest of the response. To interrupt a blocked Read,
// cancel the context.
type body struct {
	ctx      context.Context
	dialer   *Dialer
	conn     *conn
	unbind   func() bool // Of conn, for this request.
	stream   io.Reader   // Nil for a response without a body.
	reusable bool
	atEOF    bool
	closed   bool
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete
// response.
func (b *body) Read(p []byte) (int, error) {
	if b.closed {
		return 0, errors.New("read of a closed body")
	}
	if b.atEOF {
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF { //nolint:errorlint // A wrapped io.EOF marks an answer that was cut.
		b.atEOF = true
		return n, io.EOF
	}
	b.reusable = false
	if errors.Is(err, decoder.ErrMalformed) {
		b.Abort() // The server may work on, and notices a reset sooner.
	}
	return n, b.conn.wrapFailure(b.ctx, err)
}

// Close returns the connection to the pool or closes it. It does not wait for
// the rest of the response.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.atEOF || !b.reusable || !b.unbind() {
		b.conn.close()
		return nil
	}
	b.dialer.pool.put(b.conn, b.dialer.clock.Now())
	return nil
}

// Abort resets the connection, unless the response has been read to its end and closed. It may be called
// while another goroutine reads or closes the body, and returns when the connection is reset.
func (b *body) Abort() {
	if b.unbind() {
		b.conn.reset()
	}
}
