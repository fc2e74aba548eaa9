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

// WriterID returns the field writer of a spec, empty if there is none. A
// spec that holds a value unique to the write makes lost answers resolvable.
func WriterID(spec json.RawMessage) string {
	var owner struct {
		WriterID string `json:"writer"`
	}
	if json.Unmarshal(spec, &owner) != nil {
		return ""
	}
	return owner.WriterID
}

// write sends a conditional write and resolves a lost answer. Repeating it is
// safe where the spec names its writer: its condition lets it take effect once,
// and the read-back tells whose write it was.
func (c *Client) write(ctx context.Context, w write) (Object, error) {
	body, err := encodeObject(w.object)
	if err != nil {
		return Object{}, err
	}
	owned := WriterID(w.object.Spec) != ""
	lost := false
	answer, err := c.attempt(ctx, c.request(w.method, w.path, body), func(err error) bool {
		lost = lost || errors.Is(err, ErrUnknown)
		return owned
	})
	var stored Object
	if err == nil {
		stored, err = decodeObject(w.object.Resource, answer, ErrUnknown)
	}
	lost = lost || errors.Is(err, ErrUnknown)
	if err == nil || !lost {
		return stored, err
	}
	if !owned {
		return Object{}, err
	}
	return c.resolve(ctx, w.object, err)
}

// resolve tells whether a write took effect by reading the object back. The
// error is that of the last attempt.
func (c *Client) resolve(ctx context.Context, want Object, last error) (Object, error) {
	unknown := CallError{Kind: ErrUnknown, Detail: last.Error(), RetryAfter: RetryAfter(last)}
	found, err := c.Get(ctx, want.Resource, want.Name)
	if err != nil {
		// An object that is missing or unreadable proves nothing: the write may
		// still be under way.
		return Object{}, unknown
	}
	if WriterID(found.Spec) == WriterID(want.Spec) && found.Version > want.Version {
		return found, nil
	}
	if errors.Is(last, ErrExists) {
		return Object{}, last
	}
	return Object{}, unknown
}

// Writer is the part of a Client that Put needs.
type Writer interface {
	Create(ctx context.Context, o Object) (Object, error)
	Update(ctx context.Context, o Object) (Object, error)
}

// Put creates an object whose version is zero, and otherwise replaces the one of
// that version.
func Put(ctx context.Context, w Writer, o Object) (Object, error) {
	if o.Version == 0 {
		return w.Create(ctx, o)
	}
	return w.Update(ctx, o)
}
