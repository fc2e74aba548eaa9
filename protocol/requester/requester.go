// Package requester defines HTTP requests and responses as plain data, and errors
// that distinguish requests that were not sent from those with an unknown
// outcome. The clients under protocol send requests through a Doer, whose
// implementation, a transport, is passed to them.
package requester

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/verifier"
)

// Errors of a failed exchange. Each matches either ErrNotSent or ErrOutcomeUnknown, and
// may match ErrReadTimeout as well.
var (
	// ErrNotSent means that no byte of the request was written to a connection,
	// so the server can't have read it.
	ErrNotSent = errors.New("request was not sent")
	// ErrOutcomeUnknown means that the server may have read the request.
	ErrOutcomeUnknown = errors.New("request was sent and its outcome is unknown")
	// ErrReadTimeout means that no bytes arrived on an open connection within the
	// read timeout.
	ErrReadTimeout = errors.New("no bytes arrived within the read timeout")
)

// Header is a header field of a request or a response.
type Header struct {
	Name  string
	Value string
}

// Request is one HTTP request.
type Request struct {
	Method string
	Addr   string // IP address and port.
	Host   string // Value of the Host field; Addr if empty.
	Path   string // Path and query.
	Header []Header
	Body   []byte

	// NonIdempotent restricts the request to new connections and to those that
	// have been idle for a short time only, which the server is less likely to
	// close while the request is in flight. The transport sets the limit.
	NonIdempotent bool
	// OwnConnection restricts the request to a new connection, which is closed after
	// the response. It is for requests whose responses nothing tells apart.
	OwnConnection bool
	// ReadTimeout is the longest time to wait for the next bytes of the response,
	// including its header. Zero means the default of the transport.
	ReadTimeout time.Duration
	// Prompt tells that the server usually responds soon. The transport then counts a connection without a response as
	// silent while it still waits, not only when the request has failed.
	Prompt bool
	// EchoedHeader is a header field that the server copies from the request to the
	// response. A response with another value belongs to an earlier request on
	// the connection and is dropped. The zero value disables the check.
	EchoedHeader Header
}

// Response is the response to a request. Body must be closed; closing it before
// its end closes the connection.
type Response struct {
	Status int
	Header []Header
	Body   io.ReadCloser
	Length int // Of the body in bytes; negative if not known in advance.
	// Framing tells how the end of the body is marked.
	Framing verifier.Framing
	Via     string // What the connection goes through, if it is not direct; else empty.
	// Reused reports that earlier responses came on the connection. Unless a field tells
	// which request a response belongs to, this one may be a late copy of an earlier one.
	Reused bool
}

// Get returns the first value of a header field, or an empty string if there is
// none. Field names are compared without regard to case.
func (r Response) Get(name string) string {
	for _, h := range r.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// Doer sends requests. It sends each request at most once, without retries.
type Doer interface {
	Do(ctx context.Context, req Request) (Response, error)
}

// FailureError is the error of a failed exchange. It matches its kind and its
// cause.
type FailureError struct {
	Kind    error // ErrNotSent or ErrOutcomeUnknown.
	Cause   error
	Written int    // Bytes of the request that the operating system, or what the connection goes through, has accepted.
	Via     string // As in Response; empty if no connection was opened.
}

// Error returns the kind and the cause.
func (e FailureError) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind and the cause.
func (e FailureError) Unwrap() []error { return []error{e.Kind, e.Cause} }
