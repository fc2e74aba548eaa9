package server

import (
	"testing"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/protocol/messenger"
	"monsoonspar.example/state/cataloger"

	"gotest.tools/v3/assert"
)

func TestLimitsAreDividedBetweenEngines(t *testing.T) {
	engine := func(name string, draining bool, models ...string) cataloger.Endpoint {
		e := cataloger.Endpoint{Name: name, Kind: cataloger.KindEngine, Draining: draining}
		for _, m := range models {
			e.Models = append(e.Models, cataloger.Placement{Model: m, Version: "v1"}, cataloger.Placement{Model: m, Version: "v2"})
		}
		return e
	}
	c := newCatalog(&cataloger.Manifest{Endpoints: []cataloger.Endpoint{
		engine("a", false, "m", "n"), engine("b", false, "m"), engine("c", false, "m"), engine("d", true, "m"),
	}})
	customer := cataloger.Customer{MaxQueued: 10, MaxRunning: 2, TokensPerSecond: 30}
	assert.Equal(t, c.limitsPerEngine(customer, "m"), admitter.Limits{MaxQueued: 4, MaxRunning: 1, TokensPerSecond: 10})
	assert.Equal(t, c.limitsPerEngine(customer, "n"), admitter.Limits{MaxQueued: 10, MaxRunning: 2, TokensPerSecond: 30})
	assert.Equal(t, c.limitsPerEngine(cataloger.Customer{}, "m"), admitter.Limits{})
}

func TestAmbiguousHashesAreNotResolved(t *testing.T) {
	c := newCatalog(&cataloger.Manifest{})
	c.namesByHash[messenger.Hash("b")] = "a" // Simulates a hash collision.
	c.addName("b")
	name, ok := c.namesByHash[messenger.Hash("b")]
	assert.Assert(t, ok)
	assert.Equal(t, name, "")
}
