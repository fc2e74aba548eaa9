// Package verifier decides whether the body of a response is complete.
//
// The end that the framing of a body marks is not sufficient for that: a body that ends
// with its connection ends there too if its sender fails, and the run behind a stream may
// have been stopped.
package verifier

import "github.com/pkg/errors"

// Errors of a body that does not arrive whole.
var (
	// ErrIncomplete means that a body ended early.
	ErrIncomplete = errors.New("response is incomplete")
	// ErrTooLarge means that a body exceeds the limit of its reader.
	ErrTooLarge = errors.New("response exceeds the size limit")
)

// Framing is the way in which a response marks the end of its body.
type Framing int

// Ways to mark the end of a body.
const (
	ByConnection Framing = iota // The body ends with its connection.
	ByLength                    // The header holds the length, or rules out a body.
	ByChunks                    // The body ends with an empty chunk.
)

// String returns the name of the framing in logs.
func (f Framing) String() string {
	switch f {
	case ByLength:
		return "length"
	case ByChunks:
		return "chunks"
	default:
		return "connection"
	}
}

// Stop tells whether the run or the process behind a response was stopped before its end.
type Stop int

// What is known of a stop.
const (
	NotStopped Stop = iota
	MaybeStopped
	Stopped
)

// Body is what is known of a body while it is read.
type Body struct {
	Framing Framing
	Limit   int // Maximum size in bytes; zero for no limit.
	Size    int // Bytes read so far.

	Stream     bool // The body is a series of events.
	Events     int  // Complete events read so far.
	Unfinished bool // Bytes of an event that is not complete have been read.
}

// Declare returns ErrTooLarge if a body of the length that the header declares exceeds the limit. The length is
// negative if the header declares none.
func (b *Body) Declare(length int) error {
	if b.Limit > 0 && length > b.Limit {
		return errors.Wrapf(ErrTooLarge, "%d bytes declared", length)
	}
	return nil
}

// Add records that n more bytes have been read. It returns ErrTooLarge if the body
// exceeds the limit.
func (b *Body) Add(n int) error {
	b.Size += n
	if b.Limit > 0 && b.Size > b.Limit {
		return errors.Wrapf(ErrTooLarge, "more than %d bytes", b.Limit)
	}
	return nil
}

// CheckEnd returns nil if a body is complete that has been read up to the end that its
// framing marks, and an error that matches ErrIncomplete otherwise.
func (b *Body) CheckEnd(stop Stop) error {
	switch {
	case !b.Stream && b.Framing == ByConnection && stop != NotStopped:
		return errors.Wrap(ErrIncomplete, "the sender may have ended")
	case !b.Stream:
		return nil
	case b.Unfinished:
		return errors.Wrap(ErrIncomplete, "the stream ended inside an event")
	case stop == Stopped:
		return errors.Wrap(ErrIncomplete, "the run was stopped")
	case b.Framing != ByConnection:
		return nil
	case stop == MaybeStopped:
		return errors.Wrap(ErrIncomplete, "the run may have been stopped")
	case b.Events == 0:
		return errors.Wrap(ErrIncomplete, "the connection was closed before the first event")
	}
	return nil
}
