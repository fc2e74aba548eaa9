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
	// historyLength is the number of earlier writers that a head names.
	historyLength = 16
	// writtenLabel tells when a part was last written, in Unix seconds.
	writtenLabel = "written_at"
)

// Publish stores a manifest as the successor of base and returns the new head.
// The parts go first, so that a reader of the head finds them; now marks them
// as in use. It returns ErrConflict if base is no longer the accepted one. The
// writer must be unique to this call; by it a lost answer is resolved, also
// where the manifest has been replaced since. An error that matches
// storer.ErrUnknown leaves open whether the manifest was accepted.
func Publish(ctx context.Context, st Store, base Stored, s partitioner.Snapshot, writer string, now time.Time) (Stored, error) {
	known := make(map[partitioner.Digest]bool, len(base.Head.Parts))
	for _, d := range base.Head.Parts {
		known[d] = true
	}
	for _, p := range s.Parts {
		if known[p.Digest] {
			continue
		}
		if err := publishPart(ctx, st, p, now); err != nil {
			return Stored{}, err
		}
		known[p.Digest] = true
	}
	return publishHead(ctx, st, base, s, writer)
}

// publishPart stores one part, or marks the one that is there as in use, so
// that Sweep leaves it.
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
		return nil // Another writer has just marked it.
	}
	return errors.Wrap(err, "mark part")
}

// publishHead stores the head if base is still the accepted one.
func publishHead(ctx context.Context, st Store, base Stored, s partitioner.Snapshot, writer string) (Stored, error) {
	want := base.next(s.Digests(), writer)
	spec, err := json.Marshal(encodeHead(want))
	if err != nil {
		return Stored{}, errors.Wrap(err, "encode head")
	}
	o, err := storer.Put(ctx, st, storer.Object{Resource: resourceHeads, Name: headName, Version: base.Version, Spec: spec})
	if err == nil {
		want.Version = o.Version
		return want, nil
	}
	refused := errors.Is(err, storer.ErrExists) || errors.Is(err, storer.ErrConflict)
	if !refused && !errors.Is(err, storer.ErrUnknown) {
		return Stored{}, err
	}
	return settle(ctx, st, want, refused, err)
}

// settle tells by the accepted head whether a write whose answer was lost, or
// whose repetition was refused, has taken effect.
func settle(ctx context.Context, st Store, want Stored, refused bool, last error) (Stored, error) {
	now, err := ReadHead(ctx, st)
	if err == nil {
		for _, w := range now.Writers {
			if w.Generation != want.Head.Generation {
				continue
			}
			if w.Writer == want.Writer() {
				want.Version = now.Version
				return want, nil
			}
			return Stored{}, errors.Wrap(ErrConflict, last.Error())
		}
	}
	if refused {
		return Stored{}, errors.Wrap(ErrConflict, last.Error())
	}
	return Stored{}, last
}

// next returns the head that follows s.
func (s Stored) next(parts []partitioner.Digest, writer string) Stored {
	g := s.Head.Generation + 1
	writers := append([]Written{{Generation: g, Writer: writer}}, s.Writers...)
	return Stored{
		Head:    configurer.Head{Generation: g, Parts: parts},
		Writers: writers[:min(len(writers), historyLength+1)],
	}
}

// encodeHead returns the form of a head in the platform.
func encodeHead(s Stored) headSpec {
	spec := headSpec{Writer: s.Writer(), Generation: uint64(s.Head.Generation)}
	for _, d := range s.Head.Parts {
		spec.Parts = append(spec.Parts, d.String())
	}
	for _, w := range s.Writers[1:] {
		spec.History = append(spec.History, writtenSpec{Writer: w.Writer, Generation: uint64(w.Generation)})
	}
	return spec
}

// Sweepable is the part of the platform client that Sweep needs.
type Sweepable interface {
	Store
	List(ctx context.Context, resource string, selector map[string]string) (storer.List, error)
	Delete(ctx context.Context, resource, name string, version uint64) error
}

// Sweep removes parts that the head does not list and that were last written
// before a time, and returns how many. The time must lie further back than any
// call of Publish takes, differences between clocks included.
func Sweep(ctx context.Context, st Sweepable, before time.Time) (int, error) {
	// The parts are listed before the head is read: a part that a later head
	// lists has been marked since, and its version has changed.
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
