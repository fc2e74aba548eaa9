package server

import (
	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/protocol/messenger"
	"monsoonspar.example/protocol/responder"
	"monsoonspar.example/state/cataloger"

	"github.com/pkg/errors"
)

// errNoModel is returned for a version or adapter that no model declares.
var errNoModel = errors.New("server: no such version or adapter")

// catalog is the manifest in force with the indexes that requests need. It is
// never changed.
type catalog struct {
	manifest  *cataloger.Manifest
	customers map[string]cataloger.Customer // By hash of the API key.
	byName    map[string]cataloger.Customer
	hashes    map[uint32]string // Names by the hash that messages carry; empty if ambiguous.
	levels    map[string]int    // By name of the priority.
	endpoints map[string]cataloger.Endpoint
	models    map[string]cataloger.Model
	engines   map[string]int // Engines that a model is placed on.
}

// newCatalog indexes m.
func newCatalog(m *cataloger.Manifest) *catalog {
	c := &catalog{
		manifest:  m,
		customers: map[string]cataloger.Customer{},
		byName:    map[string]cataloger.Customer{},
		hashes:    map[uint32]string{},
		levels:    map[string]int{},
		endpoints: map[string]cataloger.Endpoint{},
		models:    map[string]cataloger.Model{},
		engines:   map[string]int{},
	}
	for _, cu := range m.Customers {
		c.byName[cu.Name] = cu
		c.addHash(cu.Name)
		for _, h := range cu.KeyHashes {
			c.customers[h] = cu
		}
	}
	for _, p := range m.Priorities {
		c.levels[p.Name] = p.Level
	}
	for _, e := range m.Endpoints {
		c.endpoints[e.Name] = e
		c.countModels(e)
		c.addHash(e.Name)
	}
	for _, model := range m.Models {
		c.models[model.Name] = model
		c.addPlacements(model)
	}
	return c
}

// countModels counts an engine for each model that is placed on it.
func (c *catalog) countModels(e cataloger.Endpoint) {
	counted := map[string]bool{}
	for _, p := range e.Models {
		if !counted[p.Model] && !e.Draining {
			c.engines[p.Model]++
			counted[p.Model] = true
		}
	}
}

// limits returns a customer's part of its limits at one engine of a model. The
// parts of all engines together are at least the limits of the manifest, and
// exceed them by less than one for each engine.
func (c *catalog) limits(customer cataloger.Customer, model string) admitter.Limits {
	n := max(c.engines[model], 1)
	return admitter.Limits{
		MaxQueued:       divideUp(customer.MaxQueued, n),
		MaxRunning:      divideUp(customer.MaxRunning, n),
		TokensPerSecond: customer.TokensPerSecond / float64(n),
	}
}

// divideUp divides and rounds up.
func divideUp(a, n int) int { return (a + n - 1) / n }

// addHash makes a name known by its hash.
func (c *catalog) addHash(name string) {
	h := messenger.Hash(name)
	if other, ok := c.hashes[h]; ok && other != name {
		name = "" // Messages then carry the name in full.
	}
	c.hashes[h] = name
}

// addPlacements makes the placements of a model known by their hashes.
func (c *catalog) addPlacements(m cataloger.Model) {
	for _, v := range m.Versions {
		c.addHash(messenger.PlacementName(cataloger.Placement{Model: m.Name, Version: v}))
		for _, a := range m.Adapters {
			c.addHash(messenger.PlacementName(cataloger.Placement{Model: m.Name, Version: v, Adapter: a}))
		}
	}
}

// placement returns what a caller's model name asks for, with the default
// version filled in.
func (c *catalog) placement(name string) (cataloger.Placement, error) {
	p := responder.ParseModel(name)
	model, ok := c.models[p.Model]
	if !ok {
		return p, errNoModel
	}
	if p.Version == "" && len(model.Versions) > 0 {
		p.Version = model.Versions[0]
	}
	if !contains(model.Versions, p.Version) || (p.Adapter != "" && !contains(model.Adapters, p.Adapter)) {
		return p, errNoModel
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
