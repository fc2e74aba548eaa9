// Package publisher keeps the accepted manifest in the platform's object API: a
// head that names the generation and lists the parts, and the parts, which are
// named by their content and never change.
package publisher

import (
	"context"
	"encoding/json"

	"monsoonspar.example/coordination/configurer"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/partitioner"

	"github.com/pkg/errors"
)

// Errors of stored manifests.
var (
	ErrNoManifest = errors.New("publisher: no manifest was accepted yet")
	ErrMalformed  = errors.New("publisher: stored manifest is malformed")
	ErrConflict   = errors.New("publisher: another manifest was accepted meanwhile")
)

// Names in the platform.
const (
	resourceHeads = "manifests"
	resourceParts = "manifestparts"
	headName      = "current"
)

// Store is the part of the platform client that manifests need.
type Store interface {
	Get(ctx context.Context, resource, name string) (storer.Object, error)
	Create(ctx context.Context, o storer.Object) (storer.Object, error)
	Update(ctx context.Context, o storer.Object) (storer.Object, error)
	Watch(ctx context.Context, resource string, from uint64, fn func(storer.Event) error) error
}

// headSpec is the form of the head in the platform.
type headSpec struct {
	Writer     string   `json:"writer"`
	Generation uint64   `json:"generation"`
	Parts      []string `json:"parts"`
}

// partSpec is the form of a part in the platform.
type partSpec struct {
	Text string `json:"text"`
}

// Stored is a head with the version that a conditional update needs. The zero
// value stands for no manifest.
type Stored struct {
	Head    configurer.Head
	Version uint64
}

// ReadHead reads the head, or returns ErrNoManifest.
func ReadHead(ctx context.Context, st Store) (Stored, error) {
	o, err := st.Get(ctx, resourceHeads, headName)
	if errors.Is(err, storer.ErrNotFound) {
		return Stored{}, ErrNoManifest
	}
	if err != nil {
		return Stored{}, err
	}
	h, err := decodeHead(o.Spec)
	return Stored{Head: h, Version: o.Version}, err
}

// decodeHead decodes the spec of a head.
func decodeHead(spec json.RawMessage) (configurer.Head, error) {
	var s headSpec
	if err := json.Unmarshal(spec, &s); err != nil {
		return configurer.Head{}, errors.Wrap(ErrMalformed, err.Error())
	}
	h := configurer.Head{Generation: cataloger.Generation(s.Generation)}
	for _, name := range s.Parts {
		d, err := partitioner.ParseDigest(name)
		if err != nil {
			return configurer.Head{}, errors.Wrap(ErrMalformed, err.Error())
		}
		h.Parts = append(h.Parts, d)
	}
	return h, nil
}

// ReadParts reads parts by their digests. It returns an error if one is missing.
func ReadParts(ctx context.Context, st Store, digests []partitioner.Digest) ([]partitioner.Part, error) {
	parts := make([]partitioner.Part, 0, len(digests))
	for _, d := range digests {
		o, err := st.Get(ctx, resourceParts, d.String())
		if err != nil {
			return nil, errors.Wrap(err, "read part "+d.String())
		}
		var s partSpec
		if err := json.Unmarshal(o.Spec, &s); err != nil {
			return nil, errors.Wrap(ErrMalformed, err.Error())
		}
		parts = append(parts, partitioner.Part{Digest: d, Text: s.Text})
	}
	return parts, nil
}

// Watch reads the head and calls fn with it and with each later one, and with
// false for other signs of life. It returns the error that ends it.
func Watch(ctx context.Context, st Store, fn func(h configurer.Head, ok bool)) error {
	stored, err := ReadHead(ctx, st)
	if err != nil && !errors.Is(err, ErrNoManifest) {
		return err
	}
	if err == nil {
		fn(stored.Head, true)
	}
	return st.Watch(ctx, resourceHeads, stored.Version, func(ev storer.Event) error {
		if ev.Type == storer.Bookmark || ev.Type == storer.Deleted || ev.Object.Name != headName {
			fn(configurer.Head{}, false)
			return nil
		}
		h, err := decodeHead(ev.Object.Spec)
		if err != nil {
			return err
		}
		fn(h, true)
		return nil
	})
}

// Publish stores a manifest as the successor of base and returns the new head.
// The parts go first, so that a reader of the head finds them. It returns
// ErrConflict if base is no longer the accepted one. The writer must be unique
// to this call; by it a lost answer is resolved.
func Publish(ctx context.Context, st Store, base Stored, s partitioner.Snapshot, writer string) (Stored, error) {
	known := map[partitioner.Digest]bool{}
	for _, d := range base.Head.Parts {
		known[d] = true
	}
	for _, p := range s.Parts {
		if known[p.Digest] {
			continue
		}
		if err := publishPart(ctx, st, p); err != nil {
			return Stored{}, err
		}
	}
	return publishHead(ctx, st, base, s, writer)
}

// publishPart stores one part, unless it is there.
func publishPart(ctx context.Context, st Store, p partitioner.Part) error {
	spec, err := json.Marshal(partSpec{Text: p.Text})
	if err != nil {
		return errors.Wrap(err, "encode part")
	}
	_, err = st.Create(ctx, storer.Object{Resource: resourceParts, Name: p.Digest.String(), Spec: spec})
	if errors.Is(err, storer.ErrExists) {
		return nil
	}
	return errors.Wrap(err, "store part")
}

// publishHead stores the head if base is still the accepted one.
func publishHead(ctx context.Context, st Store, base Stored, s partitioner.Snapshot, writer string) (Stored, error) {
	h := configurer.Head{Generation: base.Head.Generation + 1, Parts: s.Digests()}
	names := make([]string, len(h.Parts))
	for i, d := range h.Parts {
		names[i] = d.String()
	}
	spec, err := json.Marshal(headSpec{Writer: writer, Generation: uint64(h.Generation), Parts: names})
	if err != nil {
		return Stored{}, errors.Wrap(err, "encode head")
	}
	o := storer.Object{Resource: resourceHeads, Name: headName, Version: base.Version, Spec: spec}
	if base.Version == 0 {
		o, err = st.Create(ctx, o)
	} else {
		o, err = st.Update(ctx, o)
	}
	if errors.Is(err, storer.ErrExists) || errors.Is(err, storer.ErrConflict) {
		return Stored{}, errors.Wrap(ErrConflict, err.Error())
	}
	if err != nil {
		return Stored{}, err
	}
	return Stored{Head: h, Version: o.Version}, nil
}
