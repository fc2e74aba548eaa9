package parser

import (
	"fmt"
	"slices"

	"monsoonspar.example/state/cataloger"
)

// completeManifest fills in what a narrower section leaves to a wider one.
func (d *document) completeManifest(m *cataloger.Manifest) {
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

// checkReferences checks what sections say about each other.
func (d *document) checkReferences(m *cataloger.Manifest) {
	if m.Defaults.Timeout > m.Defaults.MaxTimeout {
		d.reportKey("defaults", "timeout", fmt.Sprintf("%v is more than the max_timeout of %v", m.Defaults.Timeout, m.Defaults.MaxTimeout))
	}
	if m.Weights == (cataloger.Weights{}) {
		d.reportKey("weights", "", "all weights are 0")
	}
	d.checkPriorities(m)
	d.checkCustomers(m)
	d.checkEndpoints(m)
}

// checkPriorities checks that no two priorities share a level.
func (d *document) checkPriorities(m *cataloger.Manifest) {
	owners := make(map[int]string, len(m.Priorities))
	for _, v := range m.Priorities {
		if first, ok := owners[v.Level]; ok {
			d.reportKey("priority "+v.Name, "level", fmt.Sprintf("priority %s has level %d too", first, v.Level))
			continue
		}
		owners[v.Level] = v.Name
	}
}

// checkCustomers checks that each priority is declared and that a key belongs
// to one customer.
func (d *document) checkCustomers(m *cataloger.Manifest) {
	owners := make(map[string]string, len(m.Customers))
	for _, v := range m.Customers {
		title := "customer " + v.Name
		if v.Priority != "" && d.byName["priority "+v.Priority] == nil {
			d.reportKey(title, "priority", fmt.Sprintf("no section declares priority %q", v.Priority))
		}
		for _, hash := range v.KeyHashes {
			if first, ok := owners[hash]; ok {
				d.reportKey(title, "key_hashes", fmt.Sprintf("customer %s has one of these keys too", first))
				continue
			}
			owners[hash] = v.Name
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
	owners := make(map[string]string, len(m.Endpoints))
	for _, v := range m.Endpoints {
		title := "endpoint " + v.Name
		if v.Domain != "" && d.byName["domain "+v.Domain] == nil {
			d.reportKey(title, "domain", fmt.Sprintf("no section declares domain %q", v.Domain))
		}
		if v.Service != "" && d.byName["service "+v.Service] == nil {
			d.reportKey(title, "service", fmt.Sprintf("no section declares service %q", v.Service))
		}
		if first, ok := owners[v.Addr]; ok && v.Addr != "" {
			d.reportKey(title, "addr", fmt.Sprintf("endpoint %s has this address too", first))
		}
		owners[v.Addr] = v.Name
		for _, p := range v.Models {
			if problem := placementProblem(models, p); problem != "" {
				d.reportKey(title, "models", problem)
			}
		}
	}
}

// placementProblem returns what p names that no section declares, or "".
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
