package registrar_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

// Guards against an endpoint that has said that it is shutting down and gets requests again
// because its entry is written again, comes back after its removal or with a copy of the
// source, or arrives only after the sign.
func TestShutdownHoldsForLifetimeWhateverTheEntrySays(t *testing.T) {
	id := entry("a", 0).Identity
	for _, c := range []struct {
		name  string
		apply func(g *registrar.Registrar)
	}{
		{"written again", func(g *registrar.Registrar) { g.Set(entry("a", 9)) }},
		{"removed and written again", func(g *registrar.Registrar) { g.Remove("a", 9); g.Set(entry("a", 10)) }},
		{"missing from a list and back", func(g *registrar.Registrar) {
			g.Replace(nil, 9, false, start)
			g.Replace([]registrar.Endpoint{entry("a", 10)}, 10, false, start)
		}},
		{"restored", func(g *registrar.Registrar) {
			g.Remove("a", 9)
			revision := registrar.NewRevision(1, 4)
			g.Replace([]registrar.Endpoint{entry("a", revision)}, revision, false, start)
			g.Set(entry("a", registrar.NewRevision(1, 5)))
		}},
		{"after an earlier run", func(g *registrar.Registrar) {
			earlier := entry("a", 9)
			earlier.Started = 0
			g.Set(earlier)
			g.Set(entry("a", 10))
		}},
	} {
		g := registrar.New(grace)
		g.Replace([]registrar.Endpoint{entry("a", 1)}, 1, false, start)
		_, changed := g.MarkShuttingDown(id)
		assert.Assert(t, changed)
		c.apply(g)
		assert.Equal(t, len(g.Usable("s")), 0, c.name)
		assert.Assert(t, g.ShuttingDown(id), c.name)
		restarted := entry("a", registrar.NewRevision(2, 1))
		restarted.Started = 2
		g.Set(restarted)
		assert.Equal(t, len(g.Usable("s")), 1, c.name)
	}
}

// A sign of an endpoint's shutdown may arrive before its entry.
func TestShutdownOfUnknownEndpointIsKept(t *testing.T) {
	g := registrar.New(grace)
	_, changed := g.MarkShuttingDown(entry("a", 0).Identity)
	assert.Assert(t, !changed)
	changes := g.Set(entry("a", 1))
	assert.Assert(t, changes[0].New && changes[0].ShuttingDown)
	assert.Equal(t, len(g.Usable("s")), 0)
}

// Without a start time, an endpoint that comes back under its name can't be told from one
// that has restarted.
func TestShutdownWithoutStartTimeEndsWithTheEntry(t *testing.T) {
	g := registrar.New(grace)
	e := entry("a", 1)
	e.Started = 0
	g.Set(e)
	g.MarkShuttingDown(e.Identity)
	e.Revision = 2
	g.Set(e)
	assert.Equal(t, len(g.Usable("s")), 0)
	g.Remove("a", 3)
	e.Revision = 4
	g.Set(e)
	assert.Equal(t, len(g.Usable("s")), 1)
}
