// Package registrar keeps the endpoints that have registered themselves, as one
// daemon knows them.
//
// An endpoint is identified by its name and the time of its start, not by its
// address: an address may belong to another endpoint later, and a name may
// start again. An entry that disappears means that the endpoint is leaving.
package registrar

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Identity names one run of an endpoint.
type Identity struct {
	Name    string
	Started int64 // Unix milliseconds; zero if the endpoint does not tell.
}

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	Identity
	Service  string
	Addr     string // IP address and port.
	Domain   string // Failure domain.
	Slots    int
	Draining bool
	ColdFor  time.Duration // How much longer it is slow after its start.
	Revision int64         // Of the entry in its source.
}

// Change is an endpoint that has come, changed or begun to leave.
type Change struct {
	Endpoint Endpoint
	Leaving  bool
	New      bool
}

// record is an endpoint with what this daemon has found out itself.
type record struct {
	endpoint Endpoint
	leaving  bool      // Said so, or another sign of it was seen.
	missing  time.Time // When its entry was found missing after an outage; zero if it is there.
}

// Registrar holds the endpoints. It is safe for concurrent use. Use New to make
// one.
type Registrar struct {
	mu       sync.RWMutex
	records  map[string]*record
	removed  map[string]int64      // Revisions at which entries went.
	services map[string][]Endpoint // Usable ones; rebuilt after each change.
	revision int64
	grace    time.Duration
}

// New returns a Registrar that knows no endpoints. Entries that are missing
// after an outage of their source are held for grace.
func New(grace time.Duration) *Registrar {
	return &Registrar{records: map[string]*record{}, removed: map[string]int64{}, services: map[string][]Endpoint{}, grace: grace}
}

// Revision returns the revision of the source that the endpoints reflect.
func (g *Registrar) Revision() int64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.revision
}

// Usable returns the endpoints of a service that take new work. The caller must
// not change the slice.
func (g *Registrar) Usable(service string) []Endpoint {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.services[service]
}

// All returns every endpoint, those that are leaving included.
func (g *Registrar) All() []Endpoint {
	g.mu.RLock()
	defer g.mu.RUnlock()
	all := make([]Endpoint, 0, len(g.records))
	for _, r := range g.records {
		e := r.endpoint
		e.Draining = e.Draining || r.leaving
		all = append(all, e)
	}
	return all
}

// Leaving reports whether the endpoint takes no new work, because it said so or
// because its entry is gone.
func (g *Registrar) Leaving(id Identity) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	r := g.records[id.Name]
	return r == nil || r.endpoint.Identity != id || r.leaving || r.endpoint.Draining
}

// Replace takes a complete list as of a revision. Entries that are not in it
// are gone, or held for the grace time if the source was away before. What is
// known from a later revision stays.
func (g *Registrar) Replace(list []Endpoint, revision int64, wasAway bool, now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revision = max(g.revision, revision)
	present := make(map[string]bool, len(list))
	var changes []Change
	for _, e := range list {
		present[e.Name] = true
		changes = append(changes, g.set(e)...)
	}
	for name, r := range g.records {
		if present[name] || r.endpoint.Revision > revision {
			continue
		}
		if wasAway && !r.leaving && !r.endpoint.Draining {
			if r.missing.IsZero() {
				r.missing = now
			}
			continue
		}
		changes = append(changes, g.remove(name, revision)...)
	}
	g.rebuild()
	return changes
}

// Set takes one entry. One that is older than what is known changes nothing.
func (g *Registrar) Set(e Endpoint) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revision = max(g.revision, e.Revision)
	changes := g.set(e)
	g.rebuild()
	return changes
}

// Knows reports whether a revision of an entry, or a later one, is known.
func (g *Registrar) Knows(name string, revision int64) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	r := g.records[name]
	return g.removed[name] >= revision || (r != nil && r.missing.IsZero() && r.endpoint.Revision >= revision)
}

// Remove takes the end of an entry as of a revision.
func (g *Registrar) Remove(name string, revision int64) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revision = max(g.revision, revision)
	if r := g.records[name]; r != nil && r.endpoint.Revision > revision {
		return nil
	}
	changes := g.remove(name, revision)
	g.rebuild()
	return changes
}

// Digest returns a number that two registrars share if they hold the same
// entries.
func (g *Registrar) Digest() uint64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	sum := uint64(0)
	for name, r := range g.records {
		if r.missing.IsZero() {
			sum += xxhash.Sum64String(name + "/" + strconv.FormatInt(r.endpoint.Revision, 10))
		}
	}
	return sum
}

// Expire removes the entries that have been missing for longer than the grace
// time.
func (g *Registrar) Expire(now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changes []Change
	for name, r := range g.records {
		if !r.missing.IsZero() && now.Sub(r.missing) >= g.grace {
			changes = append(changes, g.remove(name, r.endpoint.Revision)...)
		}
	}
	if changes != nil {
		g.rebuild()
	}
	return changes
}

// MarkLeaving notes a sign that the endpoint is leaving which came from
// elsewhere than its entry. It returns the endpoint and whether that was news.
func (g *Registrar) MarkLeaving(id Identity) (Endpoint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[id.Name]
	if r == nil || r.endpoint.Identity != id || r.leaving {
		return Endpoint{}, false
	}
	r.leaving = true
	news := !r.endpoint.Draining
	g.rebuild()
	return r.endpoint, news
}

// set stores e. The mutex is held.
func (g *Registrar) set(e Endpoint) []Change {
	old := g.records[e.Name]
	if (old != nil && old.endpoint.Revision > e.Revision) || g.removed[e.Name] > e.Revision {
		return nil
	}
	if old == nil || old.endpoint.Identity != e.Identity {
		var changes []Change
		if old != nil {
			changes = append(changes, Change{Endpoint: old.endpoint, Leaving: true})
		}
		g.records[e.Name] = &record{endpoint: e}
		return append(changes, Change{Endpoint: e, Leaving: e.Draining, New: true})
	}
	began := e.Draining && !old.endpoint.Draining
	known := old.endpoint
	known.Revision = e.Revision
	changed := began || known != e
	old.endpoint = e
	old.missing = time.Time{}
	if !changed {
		return nil
	}
	return []Change{{Endpoint: e, Leaving: e.Draining || old.leaving}}
}

// remove drops the entry. The mutex is held.
func (g *Registrar) remove(name string, revision int64) []Change {
	g.removed[name] = max(g.removed[name], revision)
	if len(g.removed) > maxRemoved {
		g.forgetRemoved()
	}
	r := g.records[name]
	if r == nil {
		return nil
	}
	delete(g.records, name)
	return []Change{{Endpoint: r.endpoint, Leaving: true}}
}

// maxRemoved bounds the ends of entries that are remembered, so that older news
// of the same entries is recognized.
const maxRemoved = 4096

// forgetRemoved drops the older half of the remembered ends. The mutex is held.
func (g *Registrar) forgetRemoved() {
	for name, revision := range g.removed {
		if revision < g.revision-maxRemoved {
			delete(g.removed, name)
		}
	}
	if len(g.removed) > maxRemoved {
		clear(g.removed)
	}
}

// rebuild collects the usable endpoints by service. The mutex is held.
func (g *Registrar) rebuild() {
	services := make(map[string][]Endpoint, len(g.services))
	for _, r := range g.records {
		if !r.leaving && !r.endpoint.Draining {
			services[r.endpoint.Service] = append(services[r.endpoint.Service], r.endpoint)
		}
	}
	g.services = services
}
