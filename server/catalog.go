package server

import (
	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/protocol/messenger"
	"monsoonspar.example/protocol/responder"
	"monsoonspar.example/state/cataloger"

	"github.com/pkg/errors"
)

// errUnknownPlacement is returned for a model, version or adapter that the manifest
// does not declare.
var errUnknownPlacement = errors.New("server: no such version or adapter")

// catalog is the manifest in force with the indexes that requests need. It is
// immutable.
type catalog struct {
	manifest        *cataloger.Manifest
	customersByKey  map[string]cataloger.Customer // By hash of the API key.
	customersByName map[string]cataloger.Customer
	namesByHash     map[uint32]string // By the hash that messages carry; empty if several names share it.
	priorityLevels  map[string]int    // By name of the priority.
	endpoints       map[string]cataloger.Endpoint
	models          map[string]cataloger.Model
	enginesPerModel map[string]int // Number of engines that a model is placed on, without drained ones.
}

// newCatalog indexes m.
func newCatalog(m *cataloger.Manifest) *catalog {
	c := &catalog{
		manifest:        m,
		customersByKey:  map[string]cataloger.Customer{},
		customersByName: map[string]cataloger.Customer{},
		namesByHash:     map[uint32]string{},
		priorityLevels:  map[string]int{},
		endpoints:       map[string]cataloger.Endpoint{},
		models:          map[string]cataloger.Model{},
		enginesPerModel: map[string]int{},
	}
	for _, customer := range m.Customers {
		c.customersByName[customer.Name] = customer
		c.addName(customer.Name)
		for _, h := range customer.KeyHashes {
			c.customersByKey[h] = customer
		}
	}
	for _, p := range m.Priorities {
		c.priorityLevels[p.Name] = p.Level
	}
	for _, e := range m.Endpoints {
		c.endpoints[e.Name] = e
		c.countEngines(e)
		c.addName(e.Name)
	}
	for _, model := range m.Models {
		c.models[model.Name] = model
		c.addPlacements(model)
	}
	return c
}

// countEngines counts an engine once for each model that is placed on it, unless it
// is drained.
func (c *catalog) countEngines(e cataloger.Endpoint) {
	counted := map[string]bool{}
	for _, p := range e.Models {
		if !counted[p.Model] && !e.Draining {
			c.enginesPerModel[p.Model]++
			counted[p.Model] = true
		}
	}
}

// limitsPerEngine returns a customer's share of its limits at one engine of a model.
// The shares of all engines together are at least the limits in the manifest, and
// exceed them by less than one per engine.
func (c *catalog) limitsPerEngine(customer cataloger.Customer, model string) admitter.Limits {
	n := max(c.enginesPerModel[model], 1)
	return admitter.Limits{
		MaxQueued:       ceilDiv(customer.MaxQueued, n),
		MaxRunning:      ceilDiv(customer.MaxRunning, n),
		TokensPerSecond: customer.TokensPerSecond / float64(n),
	}
}

// ceilDiv returns a divided by n, rounded up.
func ceilDiv(a, n int) int { return (a + n - 1) / n }

// addName adds a name to the index by hash.
func (c *catalog) addName(name string) {
	h := messenger.Hash(name)
	if other, ok := c.namesByHash[h]; ok && other != name {
		name = "" // A hash that is ambiguous can't be resolved; messages then carry full names.
	}
	c.namesByHash[h] = name
}

// addPlacements adds all placements of a model to the index by hash.
func (c *catalog) addPlacements(m cataloger.Model) {
	for _, v := range m.Versions {
		c.addName(messenger.PlacementName(cataloger.Placement{Model: m.Name, Version: v}))
		for _, a := range m.Adapters {
			c.addName(messenger.PlacementName(cataloger.Placement{Model: m.Name, Version: v, Adapter: a}))
		}
	}
}

// resolvePlacement returns the placement that the model name in a request refers to.
// The version defaults to the first one that the model declares.
func (c *catalog) resolvePlacement(name string) (cataloger.Placement, error) {
	p := responder.ParseModel(name)
	model, ok := c.models[p.Model]
	if !ok {
		return p, errUnknownPlacement
	}
	if p.Version == "" && len(model.Versions) > 0 {
		p.Version = model.Versions[0]
	}
	if !contains(model.Versions, p.Version) || (p.Adapter != "" && !contains(model.Adapters, p.Adapter)) {
		return p, errUnknownPlacement
	}
	return p, nil
}

// contains reports whether names holds name.
func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
