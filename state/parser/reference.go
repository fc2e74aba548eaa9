package parser

import (
	"fmt"
	"slices"

	"monsoonspar.example/state/cataloger"
)

// applyDefaults sets values that a section inherits from a more general one.
func (d *document) applyDefaults(m *cataloger.Manifest) {
	for i := range m.Domains {
		if m.Domains[i].Region == "" {
			m.Domains[i].Region = m.Region
		}
	}
	for i := range m.Services {
		if m.Services[i].Timeout == 0 {
			m.Services[i].Timeout = m.Defaults.Timeout
		}
	}
	versions := make(map[string]string, len(m.Models))
	for _, v := range m.Models {
		if len(v.Versions) > 0 {
			versions[v.Name] = v.Versions[0]
		}
	}
	for i := range m.Endpoints {
		for j := range m.Endpoints[i].Models {
			p := &m.Endpoints[i].Models[j]
			if p.Version == "" {
				p.Version = versions[p.Model]
			}
		}
	}
}

// checkReferences checks the constraints between sections.
func (d *document) checkReferences(m *cataloger.Manifest) {
	if m.Defaults.Timeout > m.Defaults.MaxTimeout {
		d.addKeyProblem("defaults", "timeout", fmt.Sprintf("%v exceeds the max_timeout of %v", m.Defaults.Timeout, m.Defaults.MaxTimeout))
	}
	if m.Weights == (cataloger.Weights{}) {
		d.addKeyProblem("weights", "", "all weights are 0")
	}
	d.checkPriorities(m)
	d.checkCustomers(m)
	d.checkEndpoints(m)
}

// checkPriorities checks that no two priorities share a level.
func (d *document) checkPriorities(m *cataloger.Manifest) {
	priorityByLevel := make(map[int]string, len(m.Priorities))
	for _, v := range m.Priorities {
		if first, ok := priorityByLevel[v.Level]; ok {
			d.addKeyProblem("priority "+v.Name, "level", fmt.Sprintf("priority %s already has level %d", first, v.Level))
			continue
		}
		priorityByLevel[v.Level] = v.Name
	}
}

// checkCustomers checks that each priority is declared and that no two customers
// share a key.
func (d *document) checkCustomers(m *cataloger.Manifest) {
	customerByHash := make(map[string]string, len(m.Customers))
	for _, v := range m.Customers {
		title := "customer " + v.Name
		if v.Priority != "" && d.byTitle["priority "+v.Priority] == nil {
			d.addKeyProblem(title, "priority", fmt.Sprintf("no section declares priority %q", v.Priority))
		}
		for _, hash := range v.KeyHashes {
			if first, ok := customerByHash[hash]; ok {
				d.addKeyProblem(title, "key_hashes", fmt.Sprintf("customer %s already has one of these keys", first))
				continue
			}
			customerByHash[hash] = v.Name
		}
	}
}

// checkEndpoints checks the domain, the address, the service and the models of
// each endpoint.
func (d *document) checkEndpoints(m *cataloger.Manifest) {
	models := make(map[string]cataloger.Model, len(m.Models))
	for _, v := range m.Models {
		models[v.Name] = v
	}
	endpointByAddr := make(map[string]string, len(m.Endpoints))
	for _, v := range m.Endpoints {
		title := "endpoint " + v.Name
		if v.Domain != "" && d.byTitle["domain "+v.Domain] == nil {
			d.addKeyProblem(title, "domain", fmt.Sprintf("no section declares domain %q", v.Domain))
		}
		if v.Service != "" && d.byTitle["service "+v.Service] == nil {
			d.addKeyProblem(title, "service", fmt.Sprintf("no section declares service %q", v.Service))
		}
		if first, ok := endpointByAddr[v.Addr]; ok && v.Addr != "" {
			d.addKeyProblem(title, "addr", fmt.Sprintf("endpoint %s already has this address", first))
		}
		endpointByAddr[v.Addr] = v.Name
		for _, p := range v.Models {
			if problem := placementProblem(models, p); problem != "" {
				d.addKeyProblem(title, "models", problem)
			}
		}
	}
}

// placementProblem describes the first undeclared model, version or adapter in p,
// or returns "".
func placementProblem(models map[string]cataloger.Model, p cataloger.Placement) string {
	m, ok := models[p.Model]
	switch {
	case !ok:
		return fmt.Sprintf("no section declares model %q", p.Model)
	case p.Version != "" && !slices.Contains(m.Versions, p.Version):
		return fmt.Sprintf("model %s has no version %q", p.Model, p.Version)
	case p.Adapter != "" && !slices.Contains(m.Adapters, p.Adapter):
		return fmt.Sprintf("model %s has no adapter %q", p.Model, p.Adapter)
	}
	return ""
}
