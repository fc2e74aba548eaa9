package storer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// write is a conditional write of one object.
type write struct {
	method string
	path   string
	object Object
}

// WriterID returns the field "writer" of a spec, or an empty string if there is
// none. If its value is unique to the write, the outcome of a write whose
// response was lost can be determined by reading the object back.
func WriterID(spec json.RawMessage) string {
	var fields struct {
		WriterID string `json:"writer"`
	}
	if json.Unmarshal(spec, &fields) != nil {
		return ""
	}
	return fields.WriterID
}

// write makes a conditional write and determines its outcome if a response was
// lost. Repeating the write is safe if the spec names its writer: the condition
// ensures that it takes effect at most once, and reading the object back shows
// which writer's write took effect.
func (c *Client) write(ctx context.Context, w write) (Object, error) {
	body, err := encodeObject(w.object)
	if err != nil {
		return Object{}, err
	}
	hasWriter := WriterID(w.object.Spec) != ""
	outcomeUnknown := false
	response, err := c.callWithRetries(ctx, c.request(w.method, w.path, body), func(err error) bool {
		outcomeUnknown = outcomeUnknown || errors.Is(err, ErrOutcomeUnknown)
		return hasWriter
	})
	var stored Object
	if err == nil {
		stored, err = decodeObject(w.object.Resource, response, ErrOutcomeUnknown)
	}
	if err == nil && !isWriteOf(w.object, stored) {
		stored, err = Object{}, CallError{Kind: ErrOutcomeUnknown, Detail: "response to another call"}
	}
	outcomeUnknown = outcomeUnknown || errors.Is(err, ErrOutcomeUnknown)
	if err == nil || !outcomeUnknown {
		return stored, err
	}
	if !hasWriter {
		return Object{}, err
	}
	return c.resolve(ctx, w.object, err)
}

// isWriteOf reports whether found is what a write of want stored, rather than the object in
// the response to an earlier call.
func isWriteOf(want, found Object) bool {
	writer := WriterID(want.Spec)
	return found.Name == want.Name && (writer == "" || WriterID(found.Spec) == writer)
}

// resolve determines whether a write took effect by reading the object back. last
// is the error of the last attempt.
func (c *Client) resolve(ctx context.Context, want Object, last error) (Object, error) {
	unknownErr := CallError{Kind: ErrOutcomeUnknown, Detail: last.Error(), RetryAfter: RetryAfter(last)}
	found, err := c.Get(ctx, want.Resource, want.Name)
	if err != nil {
		// A missing or unreadable object proves nothing: the write may still be
		// in flight.
		return Object{}, unknownErr
	}
	if isWriteOf(want, found) && found.Version > want.Version {
		return found, nil
	}
	if errors.Is(last, ErrExists) {
		return Object{}, last
	}
	return Object{}, unknownErr
}

// Writer is the part of a Client that Put needs.
type Writer interface {
	Create(ctx context.Context, o Object) (Object, error)
	Update(ctx context.Context, o Object) (Object, error)
}

// Put creates o if its version is zero, and otherwise replaces the object that
// has that version.
func Put(ctx context.Context, w Writer, o Object) (Object, error) {
	if o.Version == 0 {
		return w.Create(ctx, o)
	}
	return w.Update(ctx, o)
}
