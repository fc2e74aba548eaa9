package registrar

import (
	"slices"
)

// Evacuations is the set of failure domains whose endpoints must get no new work, as of a
// revision of the source. Runs that are in progress there go on.
type Evacuations struct {
	Domains  []string // Sorted.
	Revision int64    // Zero if the set is not known.
}

// includes reports whether the endpoints of a failure domain must get no new work.
func (s *Evacuations) includes(domain string) bool {
	for i := range s.Domains {
		if s.Domains[i] == domain {
			return true
		}
	}
	return false
}

// Same reports whether both sets are known and have the same failure domains.
func (s *Evacuations) Same(other *Evacuations) bool {
	return s.Revision > 0 && other.Revision > 0 && slices.Equal(s.Domains, other.Domains)
}

// Evacuations returns the evacuated failure domains. The caller must not modify the slice.
func (g *Registrar) Evacuations() Evacuations {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.evacuations
}

// SetEvacuations replaces the evacuated failure domains unless their revision is lower than
// that of the known set, or the same. It returns the failure domains that are evacuated from
// now on, and those that no longer are. The first set ends no evacuation.
func (g *Registrar) SetEvacuations(s Evacuations) (begun, ended []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Revision <= g.evacuations.Revision {
		return nil, nil
	}
	domains := slices.Clone(s.Domains)
	slices.Sort(domains)
	old := g.evacuations
	g.evacuations = Evacuations{Domains: slices.Compact(domains), Revision: s.Revision}
	for _, d := range g.evacuations.Domains {
		if !old.includes(d) {
			begun = append(begun, d)
		}
	}
	for _, d := range old.Domains {
		if !g.evacuations.includes(d) {
			ended = append(ended, d)
		}
	}
	if len(begun)+len(ended) > 0 {
		g.rebuild()
	}
	return begun, ended
}

// Evacuated reports whether the endpoints of a failure domain must get no new work.
func (g *Registrar) Evacuated(domain string) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.evacuations.includes(domain)
}

// Serving returns the endpoints of a service that are not shutting down, including those of
// evacuated failure domains. The caller must not modify the slice.
func (g *Registrar) Serving(service string) []Endpoint {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.serving[service]
}

// Accepts reports whether an endpoint may get new work: Usable would return it.
func (g *Registrar) Accepts(id Identity) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	r := g.records[id.Name]
	return r != nil && r.endpoint.Identity == id && !g.isShuttingDown(&r.endpoint) && !g.evacuations.includes(r.endpoint.Domain)
}
