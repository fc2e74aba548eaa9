package server

import (
	"testing"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/protocol/messenger"
	"monsoonspar.example/state/cataloger"

	"gotest.tools/v3/assert"
)

func TestLimitsAreDividedBetweenEngines(t *testing.T) {
	on := func(name string, draining bool, models ...string) cataloger.Endpoint {
		e := cataloger.Endpoint{Name: name, Kind: cataloger.KindEngine, Draining: draining}
		for _, m := range models {
			e.Models = append(e.Models, cataloger.Placement{Model: m, Version: "v1"}, cataloger.Placement{Model: m, Version: "v2"})
		}
		return e
	}
	c := newCatalog(&cataloger.Manifest{Endpoints: []cataloger.Endpoint{
		on("a", false, "m", "n"), on("b", false, "m"), on("c", false, "m"), on("d", true, "m"),
	}})
	customer := cataloger.Customer{MaxQueued: 10, MaxRunning: 2, TokensPerSecond: 30}
	assert.Equal(t, c.limits(customer, "m"), admitter.Limits{MaxQueued: 4, MaxRunning: 1, TokensPerSecond: 10})
	assert.Equal(t, c.limits(customer, "n"), admitter.Limits{MaxQueued: 10, MaxRunning: 2, TokensPerSecond: 30})
	assert.Equal(t, c.limits(cataloger.Customer{}, "m"), admitter.Limits{})
}

func TestAmbiguousHashesAreNotResolved(t *testing.T) {
	c := newCatalog(&cataloger.Manifest{})
	c.hashes[messenger.Hash("b")] = "a" // As if both names had one hash.
	c.addHash("b")
	name, ok := c.hashes[messenger.Hash("b")]
	assert.Assert(t, ok)
	assert.Equal(t, name, "")
}
