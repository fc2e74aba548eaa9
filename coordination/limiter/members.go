package limiter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/registrar"
)

// Daemon is one of the daemons that share the limits.
type Daemon struct {
	Name   string
	Addr   string
	Domain string // Failure domain.
}

// Parameters of the membership.
const (
	goneAfter      = time.Minute // An unreachable daemon counts as ended after this time, if others of its failure domain are reachable.
	failureTime    = time.Second // A daemon that did not answer an ask is not asked again for this time.
	unlistedCount  = 16          // Least number of daemons assumed before the list has been read.
	preferredCount = 2           // Daemons that are asked regardless of their failure domain.
)

// member is another daemon.
type member struct {
	Daemon
	hash             uint64 // Of the name.
	monitored        bool   // This daemon probes it; of the others, only the failure domain is probed.
	reachable        bool
	unreachableSince time.Time
	failedUntil      time.Time
}

// Members is one daemon's view of the daemons that share the limits. It is safe for
// concurrent use. Use NewMembers to make one.
type Members struct {
	self Daemon

	mu      sync.RWMutex
	others  map[string]*member
	listed  bool // The list of all daemons has been read.
	atLeast int  // Number of daemons that another one knows; used until the list has been read.

	listedSince time.Time                // When the list was first read.
	removed     map[string]removedMember // Daemons that have left the list lately, by name.
	version     uint64                   // Rises with each change of the known daemons.
	holders     holderCache
}

// removedMember is a daemon that has left the list.
type removedMember struct {
	Daemon
	at time.Time
}

// NewMembers returns the view of a daemon that knows no other.
func NewMembers(self Daemon) *Members {
	return &Members{self: self, others: map[string]*member{}, removed: map[string]removedMember{}}
}

// SetAll sets the list of all daemons. The monitored ones are those whose
// reachability this daemon probes.
func (m *Members) SetAll(all []Daemon, monitored func(name string) bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed {
		m.listedSince = now
	}
	m.listed, m.atLeast = true, 0
	m.version++
	for name, r := range m.removed {
		if now.Sub(r.at) >= removalTime {
			delete(m.removed, name)
		}
	}
	present := make(map[string]bool, len(all))
	for _, d := range all {
		present[d.Name] = true
		o := m.add(d, now)
		if o != nil && !monitored(d.Name) {
			o.monitored = false
		}
	}
	for name, o := range m.others {
		if !present[name] {
			m.removed[name] = removedMember{Daemon: o.Daemon, at: now}
			delete(m.others, name)
		}
	}
}

// Count returns the number of daemons, this one included, as far as it is known.
func (m *Members) Count() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.count(len(m.others) + 1)
}

// count returns the number of daemons if this daemon knows n. The mutex is held.
func (m *Members) count(n int) int {
	if m.listed {
		return n
	}
	return max(n, m.atLeast, unlistedCount)
}

// AtLeast records the number of daemons that another one knows.
func (m *Members) AtLeast(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.atLeast = max(m.atLeast, n)
}

// Add adds a daemon that is not in the list yet.
func (m *Members) Add(d Daemon, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(d, now)
}

// add adds a daemon, or updates its address, and returns it. It returns nil for this
// daemon. The mutex is held.
func (m *Members) add(d Daemon, now time.Time) *member {
	if d.Name == m.self.Name {
		return nil
	}
	o := m.others[d.Name]
	if o == nil {
		o = &member{unreachableSince: now, hash: xxhash.Sum64String(d.Name)}
		m.others[d.Name] = o
	}
	if o.Daemon != d {
		m.version++
	}
	o.Daemon = d
	return o
}

// SetReachable records whether a daemon answers probes.
func (m *Members) SetReachable(name string, reachable bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.others[name]
	if o == nil {
		return
	}
	if o.reachable && !reachable {
		o.unreachableSince = now
	}
	o.monitored, o.reachable = true, reachable
}

// MarkFailed records that a daemon did not answer an ask.
func (m *Members) MarkFailed(name string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.others[name]; o != nil {
		o.failedUntil = now.Add(failureTime)
	}
}

// Expired returns the daemons of this one's failure domain that have been unreachable for
// the given time and whose entries this daemon should delete. Of the daemons of the failure
// domain that reach each other, one does.
func (m *Members) Expired(after time.Duration, now time.Time) []Daemon {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var expired []Daemon
	reachesOther := false
	for _, o := range m.others {
		switch {
		case o.Domain != m.self.Domain || !o.monitored:
		case o.reachable && o.Name < m.self.Name:
			return nil
		case o.reachable:
			reachesOther = true
		case now.Sub(o.unreachableSince) > after:
			expired = append(expired, o.Daemon)
		}
	}
	if !reachesOther { // This daemon may be the one that is cut off.
		return nil
	}
	return expired
}

// Share returns the share of the limit of an endpoint that this daemon may grant: that
// of the daemons that it reaches, itself included, among all, since the others may be
// granting requests as well. One that has been unreachable for goneAfter counts as ended,
// unless all of its failure domain is.
//
// If another daemon precedes this one and seems reachable, it may be granting requests
// although it did not answer an ask. Daemons of several failure domains may find so
// before probes tell that it has ended or is cut off, and each then grants the share of
// its own domain only.
func (m *Members) Share(endpoint registrar.Endpoint, now time.Time) float64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	domains := m.reachableDomains()
	own := Score(m.self, endpoint)
	reached, local, all := 1, 1, 1
	preceded := false
	for _, o := range m.others {
		reachable := o.reachableIn(domains)
		switch {
		case reachable:
			reached++
			preceded = preceded || Score(o.Daemon, endpoint) > own
			if o.Domain == m.self.Domain {
				local++
			}
		case o.monitored && domains[o.Domain] && now.Sub(o.unreachableSince) > goneAfter:
			continue
		}
		all++
	}
	if preceded && m.listed { // Without the list, daemons ask one that they know; see Rank.
		reached = local
	}
	return float64(reached) / float64(m.count(all))
}

// reachableIn reports whether the daemon seems reachable, given the failure domains that
// are.
func (o *member) reachableIn(domains map[string]bool) bool {
	if o.monitored {
		return o.reachable
	}
	return domains[o.Domain]
}

// reachableDomains returns the failure domains with a daemon that answers, that of
// this daemon included. The mutex is held.
func (m *Members) reachableDomains() map[string]bool {
	domains := map[string]bool{m.self.Domain: true}
	for _, o := range m.others {
		if o.monitored && o.reachable {
			domains[o.Domain] = true
		}
	}
	return domains
}

// Rank returns the daemons to ask for a request to an endpoint, in the order in which
// to try them. They are the two that precede all others for this endpoint and the one
// that does in this daemon's failure domain: if the other domains are cut off, its
// daemons turn to the same one. The list ends with this daemon if that is one of them;
// if it is not, and none of them answers, the request can't be granted.
//
// Before this daemon has read the list it knows few others, those that the settings of
// all name, and would often take itself for the first one. It then asks one of these.
func (m *Members) Rank(endpoint registrar.Endpoint, now time.Time) []Daemon {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var candidates []candidate
	domains := m.reachableDomains()
	for _, o := range m.others {
		if o.reachableIn(domains) && !now.Before(o.failedUntil) {
			candidates = append(candidates, candidate{daemon: o.Daemon, score: Score(o.Daemon, endpoint)})
		}
	}
	if m.listed || len(candidates) == 0 {
		candidates = append(candidates, candidate{daemon: m.self, score: Score(m.self, endpoint)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	var rank []Daemon
	ownDomain := false
	for i, c := range candidates {
		if i >= preferredCount && (ownDomain || c.daemon.Domain != m.self.Domain) {
			continue
		}
		rank = append(rank, c.daemon)
		ownDomain = ownDomain || c.daemon.Domain == m.self.Domain
		if c.daemon.Name == m.self.Name {
			break
		}
	}
	return rank
}

// Relay returns the daemon to which this one should pass on the ask of another that may
// not reach it. It returns false if this daemon should decide.
func (m *Members) Relay(endpoint registrar.Endpoint, now time.Time) (Daemon, bool) {
	first := m.Rank(endpoint, now)[0]
	m.mu.RLock()
	defer m.mu.RUnlock()
	return first, m.listed && first.Name != m.self.Name
}

// candidate is a daemon that could grant the requests to an endpoint.
type candidate struct {
	daemon Daemon
	score  uint64
}

// IsSelf reports whether d is the daemon whose view this is.
func (m *Members) IsSelf(d Daemon) bool { return d.Name == m.self.Name }

// Score ranks the daemons that could act for an endpoint; the highest score does.
// Daemons of the failure domain of the endpoint precede the others.
func Score(d Daemon, e registrar.Endpoint) uint64 {
	score := xxhash.Sum64String(d.Name+"/"+e.Name) >> 1
	if d.Domain == e.Domain {
		score |= 1 << 63
	}
	return score
}
