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
	List(ctx context.Context, resource string, selector map[string]string) (storer.List, error)
	Create(ctx context.Context, o storer.Object) (storer.Object, error)
	Update(ctx context.Context, o storer.Object) (storer.Object, error)
	Watch(ctx context.Context, resource string, from uint64, fn func(storer.Event) error) error
}

// headSpec is the form of the head in the platform. The history tells a writer
// whose answer was lost and whose manifest has been replaced since that it was
// accepted.
type headSpec struct {
	Writer     string        `json:"writer"`
	Generation uint64        `json:"generation"`
	Parts      []string      `json:"parts"`
	History    []writtenSpec `json:"history"` // The latest first, without the head itself.
}

// writtenSpec names the writer of an earlier generation.
type writtenSpec struct {
	Writer     string `json:"writer"`
	Generation uint64 `json:"generation"`
}

// partSpec is the form of a part in the platform. The writer is the digest,
// because all writers of a part write the same.
type partSpec struct {
	Writer string `json:"writer"`
	Text   string `json:"text"`
}

// Stored is a head with the version that a conditional update needs. The zero
// value stands for no manifest.
type Stored struct {
	Head    configurer.Head
	Version uint64
	Writers []Written // Of this and earlier generations, the latest first.
}

// Written names who wrote a generation.
type Written struct {
	Generation cataloger.Generation
	Writer     string
}

// Writer returns who wrote the head, or "".
func (s Stored) Writer() string {
	if len(s.Writers) == 0 {
		return ""
	}
	return s.Writers[0].Writer
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
	return decodeStored(o)
}

// decodeStored decodes the object of a head.
func decodeStored(o storer.Object) (Stored, error) {
	var s headSpec
	if err := json.Unmarshal(o.Spec, &s); err != nil {
		return Stored{}, errors.Wrap(ErrMalformed, err.Error())
	}
	h, err := decodeHead(s)
	if err != nil {
		return Stored{}, err
	}
	stored := Stored{Head: h, Version: o.Version}
	stored.Writers = append(stored.Writers, Written{Generation: h.Generation, Writer: s.Writer})
	for _, w := range s.History {
		stored.Writers = append(stored.Writers, Written{Generation: cataloger.Generation(w.Generation), Writer: w.Writer})
	}
	return stored, nil
}

// decodeHead returns what daemons need of a head.
func decodeHead(s headSpec) (configurer.Head, error) {
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

// ReadSnapshot reads the accepted manifest whole, or returns ErrNoManifest.
func ReadSnapshot(ctx context.Context, st Store) (Stored, partitioner.Snapshot, error) {
	stored, err := ReadHead(ctx, st)
	if err != nil {
		return Stored{}, partitioner.Snapshot{}, err
	}
	parts, err := ReadParts(ctx, st, stored.Head.Parts)
	if err != nil {
		return Stored{}, partitioner.Snapshot{}, err
	}
	s, err := partitioner.Assemble(parts)
	return stored, s, err
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
	list, err := st.List(ctx, resourceHeads, nil)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		if o.Name != headName {
			continue
		}
		stored, err := decodeStored(o)
		if err != nil {
			return err
		}
		fn(stored.Head, true)
	}
	// The version of the list and not that of the head, which the platform may
	// have forgotten after many writes of other objects.
	return st.Watch(ctx, resourceHeads, list.Version, func(ev storer.Event) error {
		if ev.Type == storer.Bookmark || ev.Type == storer.Deleted || ev.Object.Name != headName {
			fn(configurer.Head{}, false)
			return nil
		}
		stored, err := decodeStored(ev.Object)
		if err != nil {
			return err
		}
		fn(stored.Head, true)
		return nil
	})
}
