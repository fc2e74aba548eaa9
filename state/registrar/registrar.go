// Package registrar keeps one daemon's view of the registered endpoints.
//
// The entries come from a source, the metadata store of the platform, which gives
// each change a higher revision. Lists and changes may arrive late or more than
// once; the entry with the highest revision is kept.
//
// A source that is restored from a copy loses its last changes and begins a new era, in
// which it gives out their revisions again; revision.go orders them. Entries that are
// missing then may be written again, and those of endpoints that have left may be back.
//
// An endpoint is identified by its name and start time, not by its address: an
// address may be reused by another endpoint, and an endpoint may restart under
// the same name. The removal of an entry means that its endpoint is shutting
// down. An endpoint that is known to shut down from another source than its entry
// stays so until it restarts.
package registrar

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Identity identifies one run of an endpoint.
type Identity struct {
	Name    string
	Started int64 // Unix milliseconds; zero if the endpoint does not report it.
}

// Endpoint is the entry that an endpoint registers.
type Endpoint struct {
	Identity
	Service         string
	Addr            string // IP address and port.
	Domain          string // Failure domain.
	Slots           int
	Draining        bool
	RemainingWarmUp time.Duration `msgpack:"ColdFor"` // Remaining warm-up time when the entry was written.
	Revision        int64         // Revision of the entry in its source.
}

// Change is an endpoint that was added, was changed or began to shut down.
type Change struct {
	Endpoint     Endpoint
	ShuttingDown bool
	New          bool
}

// record is an endpoint with the state that this daemon has observed itself.
type record struct {
	endpoint     Endpoint
	missingSince time.Time // When the entry was found missing after an outage; zero while it is present.
}

// removal is the removal of an entry.
type removal struct {
	identity Identity // Zero if the entry was not known.
	revision int64
}

// Registrar holds the endpoints. It is safe for concurrent use. Use New to make
// one.
type Registrar struct {
	mu       sync.RWMutex
	records  map[string]*record
	removed  map[string]removal    // Last removal of each name.
	held     map[string]heldEntry  // Entries that may be those of endpoints that have left, by name.
	shutdown map[Identity]bool     // Endpoints marked by MarkShuttingDown, whether they have an entry or not; true if by their own word.
	usable   map[string][]Endpoint // Endpoints that may get new work, by service; rebuilt after each change.
	serving  map[string][]Endpoint // The same with those of evacuated failure domains.
	domains  map[string]string     // Failure domain of the endpoint at each address; rebuilt after each change.
	revision int64
	grace    time.Duration

	listRevision int64 // Of the last complete list; changes of a new era may be known before.

	evacuations Evacuations
}

// New returns an empty Registrar. Entries that are missing after an outage of
// their source are kept for grace.
func New(grace time.Duration) *Registrar {
	return &Registrar{
		records: map[string]*record{}, removed: map[string]removal{}, held: map[string]heldEntry{}, shutdown: map[Identity]bool{},
		usable: map[string][]Endpoint{}, serving: map[string][]Endpoint{}, grace: grace,
	}
}

// Revision returns the revision of the source that the endpoints reflect.
func (g *Registrar) Revision() int64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.revision
}

// Usable returns the endpoints of a service that may get new work: they are not shutting
// down, and their failure domains are not evacuated. The caller must not modify the slice.
func (g *Registrar) Usable(service string) []Endpoint {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.usable[service]
}

// All returns every endpoint, including those that are shutting down.
func (g *Registrar) All() []Endpoint {
	g.mu.RLock()
	defer g.mu.RUnlock()
	all := make([]Endpoint, 0, len(g.records))
	for _, r := range g.records {
		e := r.endpoint
		e.Draining = g.isShuttingDown(&e)
		all = append(all, e)
	}
	return all
}

// DomainAt returns the failure domain of the endpoint at an address, and false if there is none.
func (g *Registrar) DomainAt(addr string) (string, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	domain, ok := g.domains[addr]
	return domain, ok
}

// Marked returns the endpoints that are known to be shutting down although their entries don't say so. It
// leaves out those whose start is not known, as a later one may have the same name, and those that have not
// said so themselves.
func (g *Registrar) Marked() []Identity {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var marked []Identity
	for id, said := range g.shutdown {
		if !said {
			continue
		}
		if r := g.records[id.Name]; id.Started != 0 && r != nil && r.endpoint.Identity == id && !r.endpoint.Draining {
			marked = append(marked, id)
		}
	}
	return marked
}

// Known reports whether the endpoint is registered, or is kept although its entry is
// missing.
func (g *Registrar) Known(id Identity) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	r := g.records[id.Name]
	return r != nil && r.endpoint.Identity == id
}

// Replaced reports whether an entry that was written later than e names another endpoint with
// the address or the name of e.
func (g *Registrar) Replaced(e Endpoint) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, r := range g.records {
		o := &r.endpoint
		if (o.Addr == e.Addr || o.Name == e.Name) && o.Identity != e.Identity && o.Revision > e.Revision {
			return true
		}
	}
	return false
}

// ShuttingDown reports whether the endpoint accepts no new work, because it is
// draining or shutting down, or because its entry has been removed or replaced
// by that of a later run.
func (g *Registrar) ShuttingDown(id Identity) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	r := g.records[id.Name]
	return r == nil || r.endpoint.Identity != id || g.isShuttingDown(&r.endpoint)
}

// Replace applies a complete list as of a revision. Entries that are not in it
// are removed, or kept for the grace time if the list follows an outage of the
// source or is the first one of an era. Entries of a later revision stay.
func (g *Registrar) Replace(list []Endpoint, revision int64, afterOutage bool, now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	newEra := g.listRevision > 0 && Era(revision) > Era(g.listRevision)
	afterOutage = afterOutage || newEra
	g.revision, g.listRevision = max(g.revision, revision), max(g.listRevision, revision)
	present := make(map[string]bool, len(list))
	var changes []Change
	for _, e := range list {
		if newEra && g.mayHaveLeft(e) {
			g.held[e.Name] = heldEntry{endpoint: e, since: now}
			continue
		}
		present[e.Name] = true
		changes = append(changes, g.set(e)...)
	}
	for name, r := range g.records {
		if present[name] || r.endpoint.Revision > revision {
			continue
		}
		if afterOutage && !g.isShuttingDown(&r.endpoint) {
			if r.missingSince.IsZero() {
				r.missingSince = now
			}
			continue
		}
		changes = append(changes, g.remove(name, revision)...)
	}
	g.rebuild()
	return changes
}

// Set applies one entry. An entry older than the stored one is ignored.
func (g *Registrar) Set(e Endpoint) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revision = max(g.revision, e.Revision)
	changes := g.set(e)
	g.rebuild()
	return changes
}

// HasRevision reports whether a revision of an entry, or a later one, has been
// applied.
func (g *Registrar) HasRevision(name string, revision int64) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	r := g.records[name]
	return g.removed[name].revision >= revision || (r != nil && r.missingSince.IsZero() && r.endpoint.Revision >= revision)
}

// Remove applies the removal of an entry as of a revision.
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

// Digest returns a hash of the entries and their revisions. Registrars that
// hold the same entries have the same digest.
func (g *Registrar) Digest() uint64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	sum := uint64(0)
	for name, r := range g.records {
		if r.missingSince.IsZero() {
			sum += xxhash.Sum64String(name + "/" + strconv.FormatInt(r.endpoint.Revision, 10))
		}
	}
	return sum
}

// Expire removes the entries that have been missing for longer than the grace
// time, and adds those that have been held for holdTime.
func (g *Registrar) Expire(now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changes []Change
	for name, r := range g.records {
		if !r.missingSince.IsZero() && now.Sub(r.missingSince) >= g.grace {
			changes = append(changes, g.remove(name, r.endpoint.Revision)...)
		}
	}
	for name, h := range g.held {
		if now.Sub(h.since) >= holdTime {
			delete(g.held, name)
			changes = append(changes, g.set(h.endpoint)...)
		}
	}
	if changes != nil {
		g.rebuild()
	}
	return changes
}

// MarkShuttingDown marks the endpoint as shutting down on evidence other than its
// entry. The mark holds whatever its entry says from then on, also if that is removed
// and written again, or arrives only later. It returns the endpoint and whether this is
// new: false if its entry is draining already, and for an endpoint that is unknown or
// marked already.
func (g *Registrar) MarkShuttingDown(id Identity) (Endpoint, bool) { return g.mark(id, true) }

// MarkReplaced is like MarkShuttingDown for an endpoint at whose address another one answers.
func (g *Registrar) MarkReplaced(id Identity) (Endpoint, bool) { return g.mark(id, false) }

func (g *Registrar) mark(id Identity, said bool) (Endpoint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[id.Name]
	known := r != nil && r.endpoint.Identity == id
	earlier, marked := g.shutdown[id]
	if marked || (!known && id.Started == 0) {
		if marked {
			g.shutdown[id] = earlier || said
		}
		return Endpoint{}, false
	}
	g.shutdown[id] = said
	if len(g.shutdown) > maxShutdowns {
		g.pruneShutdowns()
	}
	if !known {
		return Endpoint{}, false
	}
	g.rebuild()
	return r.endpoint, !r.endpoint.Draining
}

// isShuttingDown reports whether an endpoint shuts down according to its entry or to a
// mark. The mutex must be held.
func (g *Registrar) isShuttingDown(e *Endpoint) bool {
	_, marked := g.shutdown[e.Identity]
	return e.Draining || marked
}

// maxShutdowns bounds the marks of MarkShuttingDown that are kept.
const maxShutdowns = 4096

// pruneShutdowns drops the marks of endpoints without an entry. The mutex must be held.
func (g *Registrar) pruneShutdowns() {
	for id := range g.shutdown {
		if r := g.records[id.Name]; r == nil || r.endpoint.Identity != id {
			delete(g.shutdown, id)
		}
	}
}

// set stores e unless a later revision has been applied. The mutex must be held.
func (g *Registrar) set(e Endpoint) []Change {
	old := g.records[e.Name]
	if (old != nil && old.endpoint.Revision > e.Revision) || g.removed[e.Name].revision > e.Revision {
		return nil
	}
	if h, ok := g.held[e.Name]; ok && h.endpoint.Revision < e.Revision {
		delete(g.held, e.Name) // Written since: the endpoint lives.
	}
	if old == nil || old.endpoint.Identity != e.Identity {
		var changes []Change
		if old != nil {
			changes = append(changes, Change{Endpoint: old.endpoint, ShuttingDown: true})
		}
		g.records[e.Name] = &record{endpoint: e}
		return append(changes, Change{Endpoint: e, ShuttingDown: g.isShuttingDown(&e), New: true})
	}
	if Era(e.Revision) > Era(old.endpoint.Revision) {
		e.Draining = e.Draining || old.endpoint.Draining // The copy may be older than the drain.
	}
	drainStarted := e.Draining && !old.endpoint.Draining
	previous := old.endpoint
	previous.Revision = e.Revision
	changed := drainStarted || previous != e
	old.endpoint = e
	old.missingSince = time.Time{}
	if !changed {
		return nil
	}
	return []Change{{Endpoint: e, ShuttingDown: g.isShuttingDown(&e)}}
}

// remove deletes the entry and records its removal. The mutex must be held.
func (g *Registrar) remove(name string, revision int64) []Change {
	r := g.records[name]
	last := g.removed[name]
	last.revision = max(last.revision, revision)
	if r != nil {
		last.identity = r.endpoint.Identity
	}
	g.removed[name] = last
	delete(g.held, name)
	if len(g.removed) > maxRemoved {
		g.pruneRemoved()
	}
	if r == nil {
		return nil
	}
	delete(g.records, name)
	if r.endpoint.Started == 0 { // The name may be that of a later run next time.
		delete(g.shutdown, r.endpoint.Identity)
	}
	return []Change{{Endpoint: r.endpoint, ShuttingDown: true}}
}

// maxRemoved bounds the removals that are kept. They are needed to recognize older
// updates of the same entries.
const maxRemoved = 4096

// pruneRemoved drops the removals more than maxRemoved revisions old, and all of
// them if too many remain. The mutex must be held.
func (g *Registrar) pruneRemoved() {
	for name, last := range g.removed {
		if last.revision < g.revision-maxRemoved {
			delete(g.removed, name)
		}
	}
	if len(g.removed) > maxRemoved {
		clear(g.removed)
	}
}

// rebuild groups the endpoints that are not shutting down by service. The mutex must be held.
func (g *Registrar) rebuild() {
	usable, serving := make(map[string][]Endpoint, len(g.usable)), make(map[string][]Endpoint, len(g.serving))
	domains := make(map[string]string, len(g.records))
	for _, r := range g.records {
		e := &r.endpoint
		domains[e.Addr] = e.Domain
		if g.isShuttingDown(e) {
			continue
		}
		serving[e.Service] = append(serving[e.Service], *e)
		if !g.evacuations.includes(e.Domain) {
			usable[e.Service] = append(usable[e.Service], *e)
		}
	}
	g.usable, g.serving, g.domains = usable, serving, domains
}
