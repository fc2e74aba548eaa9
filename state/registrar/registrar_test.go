package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/state/registrar"
)

const grace = 2 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(name string, revision int64) registrar.Endpoint {
	return registrar.Endpoint{Identity: registrar.Identity{Name: name, Started: 1}, Service: "s", Addr: "10.0.0.1:80", Revision: revision}
}

func usableNames(g *registrar.Registrar) map[string]bool {
	set := map[string]bool{}
	for _, e := range g.Usable("s") {
		set[e.Name] = true
	}
	return set
}

func TestDrainingAndRemovedEndpointsAreUnusable(t *testing.T) {
	g := registrar.New(grace)
	g.Replace([]registrar.Endpoint{entry("a", 1), entry("b", 2)}, 2, false, start)
	draining := entry("a", 3)
	draining.Draining = true
	changes := g.Set(draining)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].ShuttingDown)
	g.Remove("b", 4)
	assert.Equal(t, len(g.Usable("s")), 0)
	assert.Assert(t, g.ShuttingDown(entry("a", 0).Identity))
}

// An endpoint that restarts under the same name replaces its earlier run.
func TestRestartUnderSameNameIsNewEndpoint(t *testing.T) {
	g := registrar.New(grace)
	g.Set(entry("a", 1))
	g.MarkShuttingDown(entry("a", 0).Identity)
	restarted := entry("a", 2)
	restarted.Started = 2
	changes := g.Set(restarted)
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, changes[0].ShuttingDown && changes[0].Endpoint.Started == 1)
	assert.Assert(t, !changes[1].ShuttingDown && changes[1].New)
	assert.Assert(t, !g.ShuttingDown(restarted.Identity))
	assert.Assert(t, g.ShuttingDown(entry("a", 0).Identity))
}

// Entries whose leases expired during an outage of the store stay usable for
// the grace time of two seconds after the store returns, and are removed if they
// have not been registered again by then.
func TestMissingEntriesAreKeptAfterOutage(t *testing.T) {
	g := registrar.New(grace)
	g.Replace([]registrar.Endpoint{entry("a", 1), entry("b", 1), entry("c", 1)}, 1, false, start)
	g.Replace([]registrar.Endpoint{entry("a", 1)}, 9, true, start)
	assert.DeepEqual(t, usableNames(g), map[string]bool{"a": true, "b": true, "c": true})
	g.Set(entry("b", 10))
	g.Expire(start.Add(grace - time.Millisecond))
	assert.DeepEqual(t, usableNames(g), map[string]bool{"a": true, "b": true, "c": true})
	changes := g.Expire(start.Add(grace))
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, usableNames(g), map[string]bool{"a": true, "b": true})
}

func TestListWithoutOutageRemovesMissingEntries(t *testing.T) {
	g := registrar.New(grace)
	g.Replace([]registrar.Endpoint{entry("a", 1), entry("b", 1)}, 1, false, start)
	g.Replace([]registrar.Endpoint{entry("a", 1)}, 2, false, start)
	assert.DeepEqual(t, usableNames(g), map[string]bool{"a": true})
}

// Updates arrive from several daemons, possibly out of order, repeated or mixed
// with lists; an update of an older revision must be recognized, so that all
// daemons converge on the entries of the latest revisions.
func TestOlderRevisionsAreRecognized(t *testing.T) {
	g := registrar.New(0)
	e := registrar.Endpoint{Identity: registrar.Identity{Name: "e"}, Revision: 5}
	assert.Assert(t, !g.HasRevision("e", 5))
	g.Set(e)
	assert.Assert(t, g.HasRevision("e", 4) && g.HasRevision("e", 5) && !g.HasRevision("e", 6))
	g.Remove("e", 8)
	assert.Assert(t, g.HasRevision("e", 8) && !g.HasRevision("e", 9))
}

func TestReorderedUpdatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			name     string
			removed  bool
			revision int64
		}
		var history []change
		entries := map[string]int64{}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			c := change{name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), removed: rapid.Bool().Draw(t, "gone"), revision: int64(i + 1)}
			history = append(history, c)
			entries[c.name] = c.revision
			if c.removed {
				delete(entries, c.name)
			}
		}
		g := registrar.New(grace)
		for _, i := range rapid.Permutation(indices(len(history))).Draw(t, "order") {
			c := history[i]
			if c.removed {
				g.Remove(c.name, c.revision)
				continue
			}
			g.Set(entry(c.name, c.revision))
		}
		want := map[string]bool{}
		reference := registrar.New(grace)
		for name, revision := range entries {
			want[name] = true
			reference.Set(entry(name, revision))
		}
		assert.DeepEqual(t, usableNames(g), want)
		assert.Equal(t, g.Digest(), reference.Digest())
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
