package publisher

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/configurer"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/partitioner"
)

const (
	// historyLength is the number of earlier generations whose writers a head
	// lists. A writer whose response was lost can determine the outcome until that
	// many later manifests have been accepted.
	historyLength = 16
	// writtenLabel is the label with the time when a part was last written, in
	// Unix seconds.
	writtenLabel = "written_at"
)

// Publish stores a manifest as the successor of base and returns the new head.
// The parts are written before the head, so that a reader of the head finds them,
// and are labeled with now, so that Sweep keeps them. Publish returns ErrConflict
// if base is no longer the accepted head. writer must be unique to this call: it
// serves to determine the outcome if a response is lost, even if the manifest has
// been replaced since. After an error that matches storer.ErrOutcomeUnknown the
// manifest may or may not have been accepted.
func Publish(ctx context.Context, st Store, base StoredHead, s partitioner.Snapshot, writer string, now time.Time) (StoredHead, error) {
	known := make(map[partitioner.Digest]bool, len(base.Head.Parts))
	for _, d := range base.Head.Parts {
		known[d] = true
	}
	for _, p := range s.Parts {
		if known[p.Digest] {
			continue
		}
		if err := publishPart(ctx, st, p, now); err != nil {
			return StoredHead{}, err
		}
		known[p.Digest] = true
	}
	return publishHead(ctx, st, base, s, writer)
}

// publishPart stores a part. If the part exists already, it updates the time of
// the last write, so that Sweep keeps the part.
func publishPart(ctx context.Context, st Store, p partitioner.Part, now time.Time) error {
	spec, err := json.Marshal(partSpec{Writer: p.Digest.String(), Text: p.Text})
	if err != nil {
		return errors.Wrap(err, "encode part")
	}
	o := storer.Object{
		Resource: resourceParts,
		Name:     p.Digest.String(),
		Labels:   map[string]string{writtenLabel: strconv.FormatInt(now.Unix(), 10)},
		Spec:     spec,
	}
	stored, err := st.Create(ctx, o)
	if errors.Is(err, storer.ErrExists) {
		stored, err = st.Get(ctx, o.Resource, o.Name)
	}
	if err != nil {
		return errors.Wrap(err, "store part")
	}
	if stored.Labels[writtenLabel] == o.Labels[writtenLabel] {
		return nil
	}
	o.Version = stored.Version
	_, err = st.Update(ctx, o)
	if errors.Is(err, storer.ErrConflict) {
		return nil // Another writer has just updated it.
	}
	return errors.Wrap(err, "label part")
}

// publishHead stores the successor of base if base is still the accepted head.
func publishHead(ctx context.Context, st Store, base StoredHead, s partitioner.Snapshot, writer string) (StoredHead, error) {
	want := base.next(s.Digests(), writer)
	spec, err := json.Marshal(encodeHead(want))
	if err != nil {
		return StoredHead{}, errors.Wrap(err, "encode head")
	}
	o, err := storer.Put(ctx, st, storer.Object{Resource: resourceHeads, Name: headName, Version: base.Version, Spec: spec})
	if err == nil {
		want.Version = o.Version
		return want, nil
	}
	conflict := errors.Is(err, storer.ErrExists) || errors.Is(err, storer.ErrConflict)
	if !conflict && !errors.Is(err, storer.ErrOutcomeUnknown) {
		return StoredHead{}, err
	}
	return resolve(ctx, st, want, conflict, err)
}

// resolve determines from the history of the accepted head whether a write took
// effect whose response was lost or whose retry was refused by a conflict. last
// is the error of the write.
func resolve(ctx context.Context, st Store, want StoredHead, conflict bool, last error) (StoredHead, error) {
	current, err := ReadHead(ctx, st)
	if err == nil {
		for _, w := range current.Writers {
			if w.Generation != want.Head.Generation {
				continue
			}
			if w.Writer == want.Writer() {
				want.Version = current.Version
				return want, nil
			}
			return StoredHead{}, errors.Wrap(ErrConflict, last.Error())
		}
	}
	if conflict {
		return StoredHead{}, errors.Wrap(ErrConflict, last.Error())
	}
	return StoredHead{}, last
}

// next returns the head that follows s.
func (s StoredHead) next(parts []partitioner.Digest, writer string) StoredHead {
	g := s.Head.Generation + 1
	writers := append([]GenerationWriter{{Generation: g, Writer: writer}}, s.Writers...)
	return StoredHead{
		Head:    configurer.Head{Generation: g, Parts: parts},
		Writers: writers[:min(len(writers), historyLength+1)],
	}
}

// encodeHead returns the stored form of a head.
func encodeHead(s StoredHead) headSpec {
	spec := headSpec{Writer: s.Writer(), Generation: uint64(s.Head.Generation)}
	for _, d := range s.Head.Parts {
		spec.Parts = append(spec.Parts, d.String())
	}
	for _, w := range s.Writers[1:] {
		spec.History = append(spec.History, generationWriterSpec{Writer: w.Writer, Generation: uint64(w.Generation)})
	}
	return spec
}

// SweepStore is the part of storer.Client that Sweep needs.
type SweepStore interface {
	Store
	List(ctx context.Context, resource string, selector map[string]string) (storer.List, error)
	Delete(ctx context.Context, resource, name string, version uint64) error
}

// Sweep removes the parts that the head does not list and that were last written
// before a time, and returns their number. before must be earlier than the start
// of any call of Publish that is still running, clock skew included; otherwise
// Sweep may remove a part of the manifest being published.
func Sweep(ctx context.Context, st SweepStore, before time.Time) (int, error) {
	// The parts are listed before the head is read: a part that only a later head
	// lists has been written again since, so its version has changed and the
	// conditional delete fails.
	parts, err := st.List(ctx, resourceParts, nil)
	if err != nil {
		return 0, errors.Wrap(err, "list parts")
	}
	head, err := ReadHead(ctx, st)
	if err != nil {
		return 0, err
	}
	used := make(map[string]bool, len(head.Head.Parts))
	for _, d := range head.Head.Parts {
		used[d.String()] = true
	}
	removed := 0
	for _, o := range parts.Items {
		if used[o.Name] || writtenAt(o) >= before.Unix() {
			continue
		}
		err := st.Delete(ctx, o.Resource, o.Name, o.Version)
		if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound) {
			continue
		}
		if err != nil {
			return removed, errors.Wrap(err, "remove part")
		}
		removed++
	}
	return removed, nil
}

// writtenAt returns when a part was last written, in Unix seconds.
func writtenAt(o storer.Object) int64 {
	seconds, err := strconv.ParseInt(o.Labels[writtenLabel], 10, 64)
	if err != nil {
		return 0
	}
	return seconds
}
