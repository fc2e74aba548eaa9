package requester

import (
	"io"
	"slices"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/verifier"
)

// Sizes of the buffer of ReadAll, in bytes.
const (
	minReadBytes = 512
	maxReadBytes = 64 << 10
)

// ReadAll reads the body of r to its end and closes it. It returns an error that matches
// verifier.ErrTooLarge, and closes the connection, as soon as the body exceeds the limit
// in bytes.
func (r Response) ReadAll(limit int) ([]byte, error) {
	defer func() { _ = r.Body.Close() }()
	b := verifier.Body{Framing: r.Framing, Limit: limit}
	if err := b.Declare(r.Length); err != nil {
		return nil, err
	}
	text := make([]byte, 0, min(max(r.Length+1, minReadBytes), maxReadBytes))
	for {
		if len(text) == cap(text) {
			text = slices.Grow(text, min(len(text), limit+1-len(text)))
		}
		n, err := r.Body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if sizeErr := b.Add(n); sizeErr != nil {
			return nil, sizeErr
		}
		switch err { //nolint:errorlint // A wrapped io.EOF marks a response that was truncated.
		case nil:
		case io.EOF:
			return text, b.CheckEnd(verifier.NotStopped)
		default:
			return nil, errors.Wrap(err, "read response")
		}
	}
}
