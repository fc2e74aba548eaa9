package server

import (
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
	levels    map[string]int                // By name of the priority.
	endpoints map[string]cataloger.Endpoint
	models    map[string]cataloger.Model
}

// newCatalog indexes m.
func newCatalog(m *cataloger.Manifest) *catalog {
	c := &catalog{
		manifest:  m,
		customers: map[string]cataloger.Customer{},
		levels:    map[string]int{},
		endpoints: map[string]cataloger.Endpoint{},
		models:    map[string]cataloger.Model{},
	}
	for _, cu := range m.Customers {
		for _, h := range cu.KeyHashes {
			c.customers[h] = cu
		}
	}
	for _, p := range m.Priorities {
		c.levels[p.Name] = p.Level
	}
	for _, e := range m.Endpoints {
		c.endpoints[e.Name] = e
	}
	for _, model := range m.Models {
		c.models[model.Name] = model
	}
	return c
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
