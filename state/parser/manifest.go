package parser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"monsoonspar.example/state/cataloger"
)

// Bounds of the manifest's values.
const (
	maxTimeout      = 24 * time.Hour
	maxRetention    = 30 * 24 * time.Hour
	maxBodyBytes    = 64 << 20
	maxTokens       = 10_000_000
	maxMemoryTokens = 1_000_000_000
	maxBatch        = 100_000
	maxWeight       = 1e6
	minWeight       = 1e-6
	maxCount        = 1_000_000
	maxTokenRate    = 1e9
	maxLevel        = 1000
)

// defaultManifest returns the values of absent keys.
func defaultManifest() cataloger.Manifest {
	return cataloger.Manifest{
		Weights: cataloger.Weights{StallTime: 1, Preemptions: 1, TokenGap: 1},
		Defaults: cataloger.Defaults{
			Timeout:         time.Minute,
			MaxTimeout:      15 * time.Minute,
			MaxBodyBytes:    1 << 20,
			MaxTokens:       1024,
			ResumeGrace:     30 * time.Second,
			TokenTimeout:    3 * time.Second,
			TokenGapTarget:  73 * time.Millisecond,
			FirstTokenGoal:  1200 * time.Millisecond,
			ClaimRetention:  24 * time.Hour,
			LongJobAgeBound: 5 * time.Minute,
			LongShare:       0.8,
			LoadsPerMinute:  6,
		},
	}
}

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
		d.fill(s, []field{
			require(text("name", &m.Deployment, checkName)),
			require(text("region", &m.Region, checkName)),
		})
	case "defaults":
		d.fill(s, defaultsFields(&m.Defaults))
	case "weights":
		d.fill(s, []field{
			number("stall_time", &m.Weights.StallTime, 0, maxWeight),
			number("preemptions", &m.Weights.Preemptions, 0, maxWeight),
			number("token_gap", &m.Weights.TokenGap, 0, maxWeight),
		})
	}
}

// defaultsFields returns the keys of [defaults].
func defaultsFields(v *cataloger.Defaults) []field {
	return []field{
		duration("timeout", &v.Timeout, time.Millisecond, maxTimeout),
		duration("max_timeout", &v.MaxTimeout, time.Millisecond, maxTimeout),
		number("max_body_bytes", &v.MaxBodyBytes, 1, maxBodyBytes),
		number("max_tokens", &v.MaxTokens, 1, maxTokens),
		duration("resume_grace", &v.ResumeGrace, 0, time.Minute),
		duration("token_timeout", &v.TokenTimeout, 100*time.Millisecond, 10*time.Minute),
		duration("token_gap_target", &v.TokenGapTarget, time.Millisecond, time.Minute),
		duration("first_token_goal", &v.FirstTokenGoal, time.Millisecond, time.Hour),
		duration("claim_retention", &v.ClaimRetention, time.Minute, maxRetention),
		duration("long_job_age_bound", &v.LongJobAgeBound, time.Second, maxTimeout),
		number("long_share", &v.LongShare, 0.01, 1),
		number("loads_per_minute", &v.LoadsPerMinute, 1, 10_000),
	}
}

// readNamed reads a section with a name of its own.
func (d *document) readNamed(s *section, m *cataloger.Manifest) {
	switch s.kind {
	case "model":
		m.Models = append(m.Models, d.readModel(s))
	case "customer":
		m.Customers = append(m.Customers, d.readCustomer(s))
	case "priority":
		v := cataloger.Priority{Name: s.name}
		d.fill(s, []field{require(number("level", &v.Level, 0, maxLevel))})
		m.Priorities = append(m.Priorities, v)
	case "service":
		v := cataloger.Service{Name: s.name}
		d.fill(s, []field{
			list("non_idempotent", &v.NonIdempotent, checkPath),
			duration("timeout", &v.Timeout, time.Millisecond, maxTimeout),
		})
		m.Services = append(m.Services, v)
	case "endpoint":
		m.Endpoints = append(m.Endpoints, d.readEndpoint(s))
	case "domain":
		v := cataloger.Domain{Name: s.name}
		d.fill(s, []field{text("region", &v.Region, checkName)})
		m.Domains = append(m.Domains, v)
	}
}

func (d *document) readModel(s *section) cataloger.Model {
	v := cataloger.Model{Name: s.name}
	d.fill(s, []field{
		require(list("versions", &v.Versions, checkName)),
		list("adapters", &v.Adapters, checkName),
		require(number("max_tokens", &v.MaxTokens, 1, maxTokens)),
		require(number("context", &v.Context, 1, maxTokens)),
	})
	if e := s.find("versions"); e != nil && e.value == "" {
		d.report(e.line, s.title, "versions", "the list is empty")
	}
	if v.Context > 0 && v.MaxTokens > v.Context {
		d.reportKey(s.title, "max_tokens", fmt.Sprintf("%d is more than the context of %d", v.MaxTokens, v.Context))
	}
	return v
}

func (d *document) readCustomer(s *section) cataloger.Customer {
	v := cataloger.Customer{Name: s.name, Weight: 1}
	d.fill(s, []field{
		list("key_hashes", &v.KeyHashes, checkHash),
		require(text("priority", &v.Priority, checkName)),
		number("weight", &v.Weight, minWeight, maxWeight),
		number("max_queued", &v.MaxQueued, 0, maxCount),
		number("max_running", &v.MaxRunning, 0, maxCount),
		number("tokens_per_second", &v.TokensPerSecond, 0, maxTokenRate),
	})
	return v
}

func (d *document) readEndpoint(s *section) cataloger.Endpoint {
	v := cataloger.Endpoint{Name: s.name, BlockTokens: 16, MaxBatch: 256, Role: cataloger.RoleMixed}
	d.fill(s, []field{
		require(choice("kind", &v.Kind, cataloger.KindEngine, cataloger.KindService)),
		require(text("domain", &v.Domain, checkName)),
		require(text("addr", &v.Addr, checkAddr)),
		text("service", &v.Service, checkName),
		placements("models", &v.Models),
		choice("role", &v.Role, cataloger.RoleMixed, cataloger.RolePrefill, cataloger.RoleDecode),
		number("memory_tokens", &v.MemoryTokens, 1, maxMemoryTokens),
		number("block_tokens", &v.BlockTokens, 1, 4096),
		number("max_batch", &v.MaxBatch, 1, maxBatch),
		boolean("checks_fence", &v.ChecksFence),
	})
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

// placements reads a list of model, model@version or model@version+adapter.
func placements(key string, dst *[]cataloger.Placement) field {
	return field{key: key, parse: func(v string) string {
		items, problem := split(v)
		if problem != "" {
			return problem
		}
		for _, item := range items {
			p, problem := parsePlacement(item)
			if problem != "" {
				return problem
			}
			*dst = append(*dst, p)
		}
		return ""
	}}
}

// parsePlacement reads model, model@version, model+adapter or
// model@version+adapter.
func parsePlacement(item string) (p cataloger.Placement, problem string) {
	rest, adapter, hasAdapter := strings.Cut(item, "+")
	model, version, hasVersion := strings.Cut(rest, "@")
	p = cataloger.Placement{Model: model, Version: version, Adapter: adapter}
	if problem := checkName(model); problem != "" {
		return p, problem
	}
	if hasVersion {
		if problem := checkName(version); problem != "" {
			return p, problem
		}
	}
	if hasAdapter {
		return p, checkName(adapter)
	}
	return p, ""
}

// checkPath accepts a path prefix.
func checkPath(v string) string {
	if !strings.HasPrefix(v, "/") || strings.ContainsAny(v, " \t?#") {
		return fmt.Sprintf("%q is not a path that starts with /", v)
	}
	return ""
}

// hashHexBytes is the length of a SHA-256 in hexadecimal.
const hashHexBytes = 64

// checkHash accepts a SHA-256 in lower-case hexadecimal and does not repeat it.
func checkHash(v string) string {
	if len(v) != hashHexBytes || strings.Trim(v, "0123456789abcdef") != "" {
		return fmt.Sprintf("a key hash has %d lower-case hexadecimal digits", hashHexBytes)
	}
	return ""
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
