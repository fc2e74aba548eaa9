// Package exchanger defines the HTTP exchange that the protocols with outside
// systems are built on. Package transport/dialer implements it.
package exchanger

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Errors of an exchange.
var (
	// ErrNotSent proves that no byte of the request could have been read by
	// the other side.
	ErrNotSent = errors.New("exchanger: request was not sent")
	// ErrUnknown means that the connection was lost after a byte of the
	// request may have been read.
	ErrUnknown = errors.New("exchanger: connection was lost after the request was sent")
	// ErrSilent means that no byte came within the silence timeout.
	ErrSilent = errors.New("exchanger: no bytes within the silence timeout")
	// ErrTooLong means that a response exceeds the size limit of the request.
	ErrTooLong = errors.New("exchanger: response exceeds the size limit")
)

// Field is one header field.
type Field struct {
	Name, Value string
}

// Request is one HTTP request.
type Request struct {
	Method  string
	Addr    string // IP address and port.
	Path    string // Path and query.
	Header  []Field
	Body    []byte
	Fresh   bool          // Use a connection that carried no request before.
	Silence time.Duration // Longest time without a byte of the response; zero means no limit.
}

// Response is one HTTP response. The body must be closed; closing it before its
// end closes the connection.
type Response struct {
	Status int
	Header []Field
	Body   io.ReadCloser
}

// Get returns the value of the first header field called name, in canonical
// form, or the empty string.
func (r Response) Get(name string) string {
	for _, f := range r.Header {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Doer performs exchanges. It never repeats one.
type Doer interface {
	Do(ctx context.Context, r Request) (Response, error)
}
