package parser

import (
	"cmp"
	"fmt"
	"slices"

	"monsoonspar.example/state/cataloger"
)

// isManifestSection reports whether kind is a section kind of manifests.
func isManifestSection(kind string) bool {
	switch kind {
	case "deployment", "defaults", "weights":
		return true
	}
	return isNamedSection(kind)
}

// isNamedSection reports whether kind is a section kind of manifests whose
// sections have names.
func isNamedSection(kind string) bool {
	switch kind {
	case "model", "customer", "priority", "service", "endpoint", "domain":
		return true
	}
	return false
}

// ParseManifest parses the manifest of a deployment. Its generation is zero. The
// file name is used only in problems. The error is a ProblemsError.
func ParseManifest(file string, text []byte) (cataloger.Manifest, error) {
	d := scan(file, text)
	m := defaultManifest()
	for _, s := range d.sections {
		d.readSection(s, &m)
	}
	if d.byTitle["deployment"] == nil {
		d.addProblem(1, "deployment", "", "the section is missing")
	}
	d.applyDefaults(&m)
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
			d.addProblem(s.line, s.title, "", problem)
		}
		d.readNamed(s, m)
	case isManifestSection(s.title):
		d.readSingle(s, m)
	default:
		d.addProblem(s.line, s.title, "", "unknown section")
	}
}

// readSingle reads a section without a name, which may occur only once.
func (d *document) readSingle(s *section, m *cataloger.Manifest) {
	switch s.kind {
	case "deployment":
		d.parseKeys(s, deploymentFields(m))
	case "defaults":
		d.parseKeys(s, defaultsFields(&m.Defaults))
	case "weights":
		d.parseKeys(s, weightsFields(&m.Weights))
	}
}

// readNamed reads a section with a name.
func (d *document) readNamed(s *section, m *cataloger.Manifest) {
	switch s.kind {
	case "model":
		m.Models = append(m.Models, d.readModel(s))
	case "customer":
		v := cataloger.Customer{Name: s.name, Weight: 1}
		d.parseKeys(s, customerFields(&v))
		m.Customers = append(m.Customers, v)
	case "priority":
		v := cataloger.Priority{Name: s.name}
		d.parseKeys(s, priorityFields(&v))
		m.Priorities = append(m.Priorities, v)
	case "service":
		v := cataloger.Service{Name: s.name}
		d.parseKeys(s, serviceFields(&v))
		m.Services = append(m.Services, v)
	case "endpoint":
		m.Endpoints = append(m.Endpoints, d.readEndpoint(s))
	case "domain":
		v := cataloger.Domain{Name: s.name}
		d.parseKeys(s, domainFields(&v))
		m.Domains = append(m.Domains, v)
	}
}

func (d *document) readModel(s *section) cataloger.Model {
	v := cataloger.Model{Name: s.name}
	d.parseKeys(s, modelFields(&v))
	if e := s.find("versions"); e != nil && e.value == "" {
		d.addProblem(e.line, s.title, "versions", "the list is empty")
	}
	if v.ContextTokens > 0 && v.MaxTokens > v.ContextTokens {
		d.addKeyProblem(s.title, "max_tokens", fmt.Sprintf("%d exceeds the context of %d", v.MaxTokens, v.ContextTokens))
	}
	return v
}

func (d *document) readEndpoint(s *section) cataloger.Endpoint {
	v := cataloger.Endpoint{Name: s.name, BlockTokens: 16, MaxBatch: 256, Role: cataloger.RoleMixed}
	d.parseKeys(s, endpointFields(&v))
	for _, key := range disallowedKeys(v.Kind) {
		if s.find(key) != nil {
			d.addKeyProblem(s.title, key, fmt.Sprintf("not allowed for an endpoint of kind %s", v.Kind))
		}
	}
	switch v.Kind {
	case cataloger.KindEngine:
		if s.find("memory_tokens") == nil {
			d.addKeyProblem(s.title, "memory_tokens", "the key is missing")
		}
	case cataloger.KindService:
		if s.find("service") == nil {
			d.addKeyProblem(s.title, "service", "the key is missing")
		}
		v.BlockTokens, v.MaxBatch, v.Role = 0, 0, ""
	}
	return v
}

// disallowedKeys returns the keys that only the other kind of endpoint has.
func disallowedKeys(k cataloger.Kind) []string {
	switch k {
	case cataloger.KindEngine:
		return []string{"service"}
	case cataloger.KindService:
		return []string{"models", "role", "memory_tokens", "block_tokens", "max_batch", "checks_fence"}
	}
	return nil
}

// sortManifest sorts the sections of each kind by name.
func sortManifest(m *cataloger.Manifest) {
	slices.SortFunc(m.Models, func(a, b cataloger.Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Customers, func(a, b cataloger.Customer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Priorities, func(a, b cataloger.Priority) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Services, func(a, b cataloger.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Endpoints, func(a, b cataloger.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Domains, func(a, b cataloger.Domain) int { return cmp.Compare(a.Name, b.Name) })
}
