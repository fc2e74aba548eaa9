// Package requester describes one HTTP exchange as plain data, and what is
// known when it fails. Packages of this layer send requests through a Doer; the
// transport that implements it is handed to them.
package requester

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// What is known of a request that got no answer. A failed exchange matches
// ErrNotSent or ErrUnknown, never both.
var (
	// ErrNotSent proves that no byte of the request was written to a
	// connection that the other side could have read.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnknown means that the other side may have read the request.
	ErrUnknown = errors.New("request was sent and its outcome is unknown")
	// ErrSilent marks a failure by missing bytes: the connection stood but
	// nothing came on it for the time allowed.
	ErrSilent = errors.New("connection is silent")
)

// Header is one field of a request or an answer.
type Header struct {
	Name  string
	Value string
}

// Request is one HTTP request.
type Request struct {
	Method string
	Addr   string // IP address and port.
	Host   string // The Host field; Addr if empty.
	Path   string // With the query.
	Header []Header
	Body   []byte

	// NonIdempotent keeps the request off connections that have been idle for
	// longer than the transport's age bound.
	NonIdempotent bool
	// Silence is the longest wait for the next bytes of the answer, its head
	// included. Zero takes the default of the transport.
	Silence time.Duration
	// Echo is a field that the answer repeats from the request. An answer that
	// carries another value belongs to an earlier request on the connection and
	// is dropped. The zero value checks nothing.
	Echo Header
}

// Response is the answer to a request. Body must be closed; a connection whose
// body was closed before its end is not used again.
type Response struct {
	Status int
	Header []Header
	Body   io.ReadCloser
	Length int // Of the body in bytes; negative if it is not known ahead.
}

// Get returns the first value of a header field, empty if there is none. Case
// does not matter.
func (r Response) Get(name string) string {
	for _, h := range r.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// Doer sends requests. It sends each at most once: it makes no retries.
type Doer interface {
	Do(ctx context.Context, req Request) (Response, error)
}

// FailureError says why an exchange failed and what is known of it.
type FailureError struct {
	Kind  error // ErrNotSent or ErrUnknown.
	Cause error
}

// Error returns the kind and the cause.
func (e FailureError) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind and the cause.
func (e FailureError) Unwrap() []error { return []error{e.Kind, e.Cause} }
