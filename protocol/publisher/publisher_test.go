package publisher_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/configurer"
	"monsoonspar.example/protocol/publisher"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
)

// store is an in-memory implementation of publisher.SweepStore.
type store struct {
	objects map[string]storer.Object
	version uint64
	// onHeadWrite, if set, is called once after the next write of the head. Its
	// error is returned instead of the response.
	onHeadWrite func() error
}

func newStore() *store { return &store{objects: make(map[string]storer.Object)} }

func key(resource, name string) string { return resource + "/" + name }

func (s *store) Get(_ context.Context, resource, name string) (storer.Object, error) {
	o, ok := s.objects[key(resource, name)]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return o, nil
}

func (s *store) Create(_ context.Context, o storer.Object) (storer.Object, error) {
	if _, ok := s.objects[key(o.Resource, o.Name)]; ok {
		return storer.Object{}, storer.ErrExists
	}
	return s.put(o)
}

func (s *store) Update(_ context.Context, o storer.Object) (storer.Object, error) {
	if s.objects[key(o.Resource, o.Name)].Version != o.Version {
		return storer.Object{}, storer.ErrConflict
	}
	return s.put(o)
}

func (s *store) put(o storer.Object) (storer.Object, error) {
	s.version++
	o.Version = s.version
	s.objects[key(o.Resource, o.Name)] = o
	if s.onHeadWrite != nil && o.Resource == "manifests" {
		onHeadWrite := s.onHeadWrite
		s.onHeadWrite = nil
		return storer.Object{}, onHeadWrite()
	}
	return o, nil
}

func (s *store) Delete(_ context.Context, resource, name string, version uint64) error {
	if s.objects[key(resource, name)].Version != version {
		return storer.ErrConflict
	}
	delete(s.objects, key(resource, name))
	return nil
}

func (s *store) List(_ context.Context, resource string, _ map[string]string) (storer.List, error) {
	list := storer.List{Version: s.version}
	for _, k := range slices.Sorted(maps.Keys(s.objects)) {
		if s.objects[k].Resource == resource {
			list.Items = append(list.Items, s.objects[k])
		}
	}
	return list, nil
}

func (s *store) Watch(ctx context.Context, _ string, _ uint64, fn func(storer.Event) error) error {
	_ = fn(storer.Event{Type: storer.Bookmark})
	<-ctx.Done()
	return ctx.Err()
}

// snapshot returns a manifest of one part whose content depends on n.
func snapshot(t *testing.T, n int) partitioner.Snapshot {
	t.Helper()
	text := fmt.Sprintf("[priority p]\nlevel = %d\n", n)
	s, err := partitioner.Split([]parser.Section{{Title: "priority p", Text: text}})
	assert.NilError(t, err)
	return s
}

var (
	now = time.Unix(1_000_000, 0)
	day = 24 * time.Hour
)

func TestPublishAndRead(t *testing.T) {
	st := newStore()
	_, err := publisher.ReadHead(t.Context(), st)
	assert.ErrorIs(t, err, publisher.ErrNoManifest)
	first, err := publisher.Publish(t.Context(), st, publisher.StoredHead{}, snapshot(t, 1), "w1", now)
	assert.NilError(t, err)
	second, err := publisher.Publish(t.Context(), st, first, snapshot(t, 2), "w2", now)
	assert.NilError(t, err)
	stored, s, err := publisher.ReadSnapshot(t.Context(), st)
	assert.NilError(t, err)
	assert.Equal(t, s.Root, snapshot(t, 2).Root)
	assert.DeepEqual(t, stored, second)
	assert.DeepEqual(t, stored.Writers, []publisher.GenerationWriter{{Generation: 2, Writer: "w2"}, {Generation: 1, Writer: "w1"}})
	_, err = publisher.Publish(t.Context(), st, first, snapshot(t, 3), "w3", now)
	assert.ErrorIs(t, err, publisher.ErrConflict)
}

// After a lost response, the history shows whether the write was accepted, even
// when other writers have replaced the manifest since.
func TestLostResponseIsResolvedAfterManifestWasReplaced(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		st := newStore()
		base, err := publisher.Publish(t.Context(), st, publisher.StoredHead{}, snapshot(t, 1), "w1", now)
		assert.NilError(t, err)
		before := st.objects["manifests/current"]
		st.onHeadWrite = func() error {
			if !accepted {
				st.objects["manifests/current"] = before // The request was lost, not the response.
			}
			for i, writer := range []string{"w3", "w4"} {
				head, err := publisher.ReadHead(t.Context(), st)
				assert.NilError(t, err)
				_, err = publisher.Publish(t.Context(), st, head, snapshot(t, 3+i), writer, now)
				assert.NilError(t, err)
			}
			return storer.ErrOutcomeUnknown
		}
		got, err := publisher.Publish(t.Context(), st, base, snapshot(t, 2), "w2", now)
		if !accepted {
			assert.ErrorIs(t, err, publisher.ErrConflict)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, int(got.Head.Generation), 2)
	}
}

func TestOutcomeIsUnknownWhileWriteMayBeInFlight(t *testing.T) {
	st := newStore()
	base, err := publisher.Publish(t.Context(), st, publisher.StoredHead{}, snapshot(t, 1), "w1", now)
	assert.NilError(t, err)
	before := st.objects["manifests/current"]
	st.onHeadWrite = func() error {
		st.objects["manifests/current"] = before // The write may still be in flight.
		return storer.ErrOutcomeUnknown
	}
	_, err = publisher.Publish(t.Context(), st, base, snapshot(t, 2), "w2", now)
	assert.ErrorIs(t, err, storer.ErrOutcomeUnknown)
}

func TestSweepRemovesOldUnusedParts(t *testing.T) {
	st := newStore()
	head := publisher.StoredHead{}
	for i := range 3 {
		var err error
		head, err = publisher.Publish(t.Context(), st, head, snapshot(t, i), fmt.Sprint("w", i), now)
		assert.NilError(t, err)
	}
	removed, err := publisher.Sweep(t.Context(), st, now)
	assert.NilError(t, err)
	assert.Equal(t, removed, 0)
	removed, err = publisher.Sweep(t.Context(), st, now.Add(day))
	assert.NilError(t, err)
	assert.Equal(t, removed, 2)
	_, s, err := publisher.ReadSnapshot(t.Context(), st)
	assert.NilError(t, err)
	assert.Equal(t, s.Root, snapshot(t, 2).Root)
}

// racingStore is a store that calls afterList between the listing of the parts
// and their removal.
type racingStore struct {
	*store
	afterList func()
}

func (s racingStore) List(ctx context.Context, resource string, selector map[string]string) (storer.List, error) {
	list, err := s.store.List(ctx, resource, selector)
	s.afterList()
	return list, err
}

// A part that is published again while Sweep runs is kept.
func TestSweepKeepsPartPublishedConcurrently(t *testing.T) {
	st := newStore()
	first, err := publisher.Publish(t.Context(), st, publisher.StoredHead{}, snapshot(t, 1), "w1", now)
	assert.NilError(t, err)
	second, err := publisher.Publish(t.Context(), st, first, snapshot(t, 2), "w2", now)
	assert.NilError(t, err)
	later := now.Add(2 * day)
	racing := racingStore{store: st, afterList: func() {
		// Publish writes the parts before the head, so Sweep may read a head that
		// does not list them yet.
		_, err := publisher.Publish(t.Context(), st, second, snapshot(t, 1), "w3", later)
		assert.NilError(t, err)
		st.objects["manifests/current"] = storer.Object{
			Resource: "manifests", Name: "current", Version: second.Version,
			Spec: []byte(`{"writer":"w2","generation":2,"parts":[]}`),
		}
	}}
	removed, err := publisher.Sweep(t.Context(), racing, now.Add(day))
	assert.NilError(t, err)
	assert.Equal(t, removed, 1) // The part of w2, since the head above lists no parts.
	_, err = st.Get(t.Context(), "manifestparts", snapshot(t, 1).Parts[0].Digest.String())
	assert.NilError(t, err)
}

func TestMalformedObjects(t *testing.T) {
	st := newStore()
	for _, spec := range []string{`[]`, `{"generation":-1}`, `{"parts":["x"]}`, `{"parts":["gggggggggggggggggggggggggggggggg"]}`} {
		st.objects["manifests/current"] = storer.Object{Resource: "manifests", Name: "current", Spec: []byte(spec)}
		_, err := publisher.ReadHead(t.Context(), st)
		assert.ErrorIs(t, err, publisher.ErrMalformed, spec)
	}
}

// watchRecorder is a store that records the version from which a watch starts.
type watchRecorder struct {
	*store
	from uint64
}

func (w *watchRecorder) Watch(_ context.Context, _ string, from uint64, _ func(storer.Event) error) error {
	w.from = from
	return storer.ErrGone
}

// If other objects have been written since the head, the watch starts from the
// current version, since the platform drops the history of old versions.
func TestWatchStartsFromCurrentVersion(t *testing.T) {
	st := &watchRecorder{store: newStore()}
	_, err := st.Create(t.Context(), storer.Object{Resource: "manifests", Name: "current", Spec: []byte(`{"generation":3}`)})
	assert.NilError(t, err)
	for i := range 5 {
		_, err := st.Create(t.Context(), storer.Object{Resource: "claims", Name: fmt.Sprint(i)})
		assert.NilError(t, err)
	}
	var seen []configurer.Head
	err = publisher.Watch(t.Context(), st, func(h configurer.Head, ok bool) {
		assert.Assert(t, ok)
		seen = append(seen, h)
	})
	assert.ErrorIs(t, err, storer.ErrGone)
	assert.Equal(t, st.from, uint64(6))
	assert.Equal(t, len(seen), 1)
	assert.Equal(t, seen[0].Generation, cataloger.Generation(3))
}
