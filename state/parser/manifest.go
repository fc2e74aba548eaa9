package parser

import (
	"cmp"
	"fmt"
	"slices"

	"monsoonspar.example/state/cataloger"
)

// isManifestSection reports whether a manifest has sections of this kind.
func isManifestSection(kind string) bool {
	switch kind {
	case "deployment", "defaults", "weights":
		return true
	}
	return isNamedSection(kind)
}

// isNamedSection reports whether a manifest has sections of this kind, each
// with a name of its own.
func isNamedSection(kind string) bool {
	switch kind {
	case "model", "customer", "priority", "service", "endpoint", "domain":
		return true
	}
	return false
}

// ParseManifest reads the manifest of a deployment. Its generation is zero. The
// file name serves only for problems. The error is a ProblemsError.
func ParseManifest(file string, text []byte) (cataloger.Manifest, error) {
	d := scan(file, text)
	m := defaultManifest()
	for _, s := range d.sections {
		d.readSection(s, &m)
	}
	if d.byName["deployment"] == nil {
		d.report(1, "deployment", "", "the section is missing")
	}
	d.completeManifest(&m)
	sortManifest(&m)
	d.checkReferences(&m)
	if err := d.err(); err != nil {
		return cataloger.Manifest{}, err
	}
	return m, nil
}

// readSection adds one section to m.
func (d *document) readSection(s *section, m *cataloger.Manifest) {
	switch {
	case isNamedSection(s.kind):
		if problem := checkName(s.name); problem != "" {
			d.report(s.line, s.title, "", problem)
		}
		d.readNamed(s, m)
	case isManifestSection(s.title):
		d.readSingle(s, m)
	default:
		d.report(s.line, s.title, "", "unknown section")
	}
}

// readSingle reads a section that stands once.
func (d *document) readSingle(s *section, m *cataloger.Manifest) {
	switch s.kind {
	case "deployment":
		d.fill(s, deploymentFields(m))
	case "defaults":
		d.fill(s, defaultsFields(&m.Defaults))
	case "weights":
		d.fill(s, weightsFields(&m.Weights))
	}
}

// readNamed reads a section with a name of its own.
func (d *document) readNamed(s *section, m *cataloger.Manifest) {
	switch s.kind {
	case "model":
		m.Models = append(m.Models, d.readModel(s))
	case "customer":
		v := cataloger.Customer{Name: s.name, Weight: 1}
		d.fill(s, customerFields(&v))
		m.Customers = append(m.Customers, v)
	case "priority":
		v := cataloger.Priority{Name: s.name}
		d.fill(s, priorityFields(&v))
		m.Priorities = append(m.Priorities, v)
	case "service":
		v := cataloger.Service{Name: s.name}
		d.fill(s, serviceFields(&v))
		m.Services = append(m.Services, v)
	case "endpoint":
		m.Endpoints = append(m.Endpoints, d.readEndpoint(s))
	case "domain":
		v := cataloger.Domain{Name: s.name}
		d.fill(s, domainFields(&v))
		m.Domains = append(m.Domains, v)
	}
}

func (d *document) readModel(s *section) cataloger.Model {
	v := cataloger.Model{Name: s.name}
	d.fill(s, modelFields(&v))
	if e := s.find("versions"); e != nil && e.value == "" {
		d.report(e.line, s.title, "versions", "the list is empty")
	}
	if v.Context > 0 && v.MaxTokens > v.Context {
		d.reportKey(s.title, "max_tokens", fmt.Sprintf("%d is more than the context of %d", v.MaxTokens, v.Context))
	}
	return v
}

func (d *document) readEndpoint(s *section) cataloger.Endpoint {
	v := cataloger.Endpoint{Name: s.name, BlockTokens: 16, MaxBatch: 256, Role: cataloger.RoleMixed}
	d.fill(s, endpointFields(&v))
	for _, key := range foreignKeys(v.Kind) {
		if s.find(key) != nil {
			d.reportKey(s.title, key, fmt.Sprintf("an endpoint of kind %s has no such key", v.Kind))
		}
	}
	switch v.Kind {
	case cataloger.KindEngine:
		if s.find("memory_tokens") == nil {
			d.reportKey(s.title, "memory_tokens", "the key is missing")
		}
	case cataloger.KindService:
		if s.find("service") == nil {
			d.reportKey(s.title, "service", "the key is missing")
		}
		v.BlockTokens, v.MaxBatch, v.Role = 0, 0, ""
	}
	return v
}

// foreignKeys returns the keys that belong to the other kind of endpoint.
func foreignKeys(k cataloger.Kind) []string {
	switch k {
	case cataloger.KindEngine:
		return []string{"service"}
	case cataloger.KindService:
		return []string{"models", "role", "memory_tokens", "block_tokens", "max_batch", "checks_fence"}
	}
	return nil
}

// sortManifest orders the sections by name.
func sortManifest(m *cataloger.Manifest) {
	slices.SortFunc(m.Models, func(a, b cataloger.Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Customers, func(a, b cataloger.Customer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Priorities, func(a, b cataloger.Priority) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Services, func(a, b cataloger.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Endpoints, func(a, b cataloger.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Domains, func(a, b cataloger.Domain) int { return cmp.Compare(a.Name, b.Name) })
}
