// Package publisher stores the accepted manifest of a deployment in the platform's
// object API: a head, which holds the generation (the number of the manifest) and
// the digests of the parts, and the parts, which are content-addressed and
// immutable. A conditional write of the head accepts a manifest.
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

// Errors of reading and publishing manifests.
var (
	ErrNoManifest = errors.New("publisher: no manifest was accepted yet")
	ErrMalformed  = errors.New("publisher: stored manifest is malformed")
	ErrConflict   = errors.New("publisher: another manifest was accepted meanwhile")
)

// Names of resources and objects in the platform.
const (
	resourceHeads = "manifests"
	resourceParts = "manifestparts"
	headName      = "current"
)

// Store is the part of storer.Client that this package needs. Sweep needs
// SweepStore.
type Store interface {
	Get(ctx context.Context, resource, name string) (storer.Object, error)
	List(ctx context.Context, resource string, selector map[string]string) (storer.List, error)
	Create(ctx context.Context, o storer.Object) (storer.Object, error)
	Update(ctx context.Context, o storer.Object) (storer.Object, error)
	Watch(ctx context.Context, resource string, from uint64, fn func(storer.Event) error) error
}

// headSpec is the stored form of the head. From the history, a writer whose
// response was lost can see that its manifest was accepted, even if it has been
// replaced since.
type headSpec struct {
	Writer     string                 `json:"writer"`
	Generation uint64                 `json:"generation"`
	Parts      []string               `json:"parts"`
	History    []generationWriterSpec `json:"history"` // Earlier generations, the latest first.
}

// generationWriterSpec is the stored form of a GenerationWriter.
type generationWriterSpec struct {
	Writer     string `json:"writer"`
	Generation uint64 `json:"generation"`
}

// partSpec is the stored form of a part. Its writer is the digest, since all
// writers of a part write the same content.
type partSpec struct {
	Writer string `json:"writer"`
	Text   string `json:"text"`
}

// StoredHead is a head with its version in the platform, which a conditional
// update needs. The zero value means that there is no manifest yet.
type StoredHead struct {
	Head    configurer.Head
	Version uint64
	Writers []GenerationWriter // Of this and earlier generations, the latest first.
}

// GenerationWriter identifies the writer of a generation.
type GenerationWriter struct {
	Generation cataloger.Generation
	Writer     string
}

// Writer returns the writer of the head, or an empty string if there is none.
func (s StoredHead) Writer() string {
	if len(s.Writers) == 0 {
		return ""
	}
	return s.Writers[0].Writer
}

// ReadHead reads the head, or returns ErrNoManifest.
func ReadHead(ctx context.Context, st Store) (StoredHead, error) {
	o, err := st.Get(ctx, resourceHeads, headName)
	if errors.Is(err, storer.ErrNotFound) {
		return StoredHead{}, ErrNoManifest
	}
	if err != nil {
		return StoredHead{}, err
	}
	return decodeStoredHead(o)
}

// decodeStoredHead decodes the object of a head.
func decodeStoredHead(o storer.Object) (StoredHead, error) {
	var s headSpec
	if err := json.Unmarshal(o.Spec, &s); err != nil {
		return StoredHead{}, errors.Wrap(ErrMalformed, err.Error())
	}
	h, err := decodeHead(s)
	if err != nil {
		return StoredHead{}, err
	}
	stored := StoredHead{Head: h, Version: o.Version}
	stored.Writers = append(stored.Writers, GenerationWriter{Generation: h.Generation, Writer: s.Writer})
	for _, w := range s.History {
		stored.Writers = append(stored.Writers, GenerationWriter{Generation: cataloger.Generation(w.Generation), Writer: w.Writer})
	}
	return stored, nil
}

// decodeHead returns the part of a head that daemons need.
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

// ReadSnapshot reads the accepted manifest with all its parts, or returns
// ErrNoManifest.
func ReadSnapshot(ctx context.Context, st Store) (StoredHead, partitioner.Snapshot, error) {
	stored, err := ReadHead(ctx, st)
	if err != nil {
		return StoredHead{}, partitioner.Snapshot{}, err
	}
	parts, err := ReadParts(ctx, st, stored.Head.Parts)
	if err != nil {
		return StoredHead{}, partitioner.Snapshot{}, err
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

// Watch reads the head and calls fn with it and with each later one. It calls fn
// with ok false for all other events, which show that the watch is alive. It
// returns the error that ended the watch.
func Watch(ctx context.Context, st Store, fn func(h configurer.Head, ok bool)) error {
	list, err := st.List(ctx, resourceHeads, nil)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		if o.Name != headName {
			continue
		}
		stored, err := decodeStoredHead(o)
		if err != nil {
			return err
		}
		fn(stored.Head, true)
	}
	// Watch from the version of the list, not from that of the head: after many
	// writes of other objects, the history of the platform may no longer reach
	// back to the version of the head.
	return st.Watch(ctx, resourceHeads, list.Version, func(ev storer.Event) error {
		if ev.Type == storer.Bookmark || ev.Type == storer.Deleted || ev.Object.Name != headName {
			fn(configurer.Head{}, false)
			return nil
		}
		stored, err := decodeStoredHead(ev.Object)
		if err != nil {
			return err
		}
		fn(stored.Head, true)
		return nil
	})
}
