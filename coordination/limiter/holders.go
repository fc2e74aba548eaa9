package limiter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/registrar"
)

// Times after which a daemon relies on its list for quotas.
const (
	settleTime  = 3 * time.Second  // Of a list after the start, which may lack daemons that start at the same time.
	removalTime = 12 * time.Second // Since a daemon left the list: other daemons may have read it earlier, and the daemon may restart. Lists are read each 10 s.
)

// Holders returns the daemons that hold the n quotas of an endpoint, reachable or not. They
// are spread over the failure domains, so that each part of a partitioned network has some.
// The result is empty until this daemon has read the list of daemons, and must not be modified.
func (m *Members) Holders(e registrar.Endpoint, n int, now time.Time) []Daemon {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.listed {
		return nil
	}
	if holders := m.holders.find(e.Name, n, m.version, now); holders != nil {
		return holders
	}
	validUntil := now.Add(removalTime)
	hash := xxhash.Sum64String(e.Name)
	byDomain := make(map[string][]candidate)
	add := func(d Daemon, nameHash uint64) {
		byDomain[d.Domain] = insert(byDomain[d.Domain], candidate{daemon: d, score: mix(nameHash ^ hash)}, n)
	}
	add(m.self, xxhash.Sum64String(m.self.Name))
	for _, o := range m.others {
		add(o.Daemon, o.hash)
	}
	for name, r := range m.removed {
		if now.Sub(r.at) < removalTime && m.others[name] == nil {
			add(r.Daemon, xxhash.Sum64String(name))
			if end := r.at.Add(removalTime); end.Before(validUntil) {
				validUntil = end
			}
		}
	}
	holders := spread(byDomain, n)
	m.holders.add(e.Name, cachedHolders{n: n, version: m.version, until: validUntil, holders: holders})
	return holders
}

// maxCachedHolders bounds the endpoints whose holders are cached.
const maxCachedHolders = 1024

// holderCache keeps the results of Holders, which cost tens of microseconds at 195 daemons.
type holderCache struct {
	mu         sync.Mutex
	byEndpoint map[string]cachedHolders
}

// cachedHolders is a result of Holders.
type cachedHolders struct {
	n       int
	version uint64    // Of the daemons.
	until   time.Time // When a daemon that has left the list no longer counts.
	holders []Daemon
}

// find returns the holders of an endpoint, or nil if they are not known.
func (c *holderCache) find(name string, n int, version uint64, now time.Time) []Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.byEndpoint[name]
	if !ok || r.n != n || r.version != version || !now.Before(r.until) {
		return nil
	}
	return r.holders
}

func (c *holderCache) add(name string, r cachedHolders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byEndpoint == nil || len(c.byEndpoint) >= maxCachedHolders {
		c.byEndpoint = map[string]cachedHolders{}
	}
	c.byEndpoint[name] = r
}

// mix distributes the bits of a hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// insert adds a candidate to the n with the highest scores, in their order.
func insert(best []candidate, c candidate, n int) []candidate {
	if len(best) == n && c.score <= best[n-1].score {
		return best
	}
	i, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	return slices.Insert(best, i, c)[:min(len(best)+1, n)]
}

// spread returns n daemons: the first one of each failure domain, then the second one of each,
// and so on. The candidates of each domain are in the order of their scores.
func spread(byDomain map[string][]candidate, n int) []Daemon {
	holders := make([]Daemon, 0, n)
	var round []candidate
	for i := 0; len(holders) < n; i++ {
		round = round[:0]
		for _, candidates := range byDomain {
			if i < len(candidates) {
				round = append(round, candidates[i])
			}
		}
		if len(round) == 0 {
			break
		}
		slices.SortFunc(round, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		for _, c := range round[:min(len(round), n-len(holders))] {
			holders = append(holders, c.daemon)
		}
	}
	return holders
}

// MayGrant reports whether this daemon may grant requests to an endpoint from its quota, if
// it is one of the holders.
func (m *Members) MayGrant(holders []Daemon, now time.Time) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.listed && now.Sub(m.listedSince) >= settleTime && slices.ContainsFunc(holders, m.IsSelf)
}

// Reachable returns those of the daemons that seem reachable and have not failed to answer an
// ask lately, this daemon included.
func (m *Members) Reachable(daemons []Daemon, now time.Time) []Daemon {
	m.mu.RLock()
	defer m.mu.RUnlock()
	domains := m.reachableDomains()
	var reachable []Daemon
	for _, d := range daemons {
		o := m.others[d.Name]
		if m.IsSelf(d) || o != nil && o.reachableIn(domains) && !now.Before(o.failedUntil) {
			reachable = append(reachable, d)
		}
	}
	return reachable
}

// AnyReachable returns a daemon that seems reachable and may pass an ask on to a holder. It
// returns false if there is none.
func (m *Members) AnyReachable(e registrar.Endpoint, now time.Time) (Daemon, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	domains := m.reachableDomains()
	best := candidate{}
	for _, o := range m.others {
		if !o.reachableIn(domains) || now.Before(o.failedUntil) {
			continue
		}
		if score := xxhash.Sum64String(o.Name + "/" + e.Name + "/" + m.self.Name); best.daemon.Name == "" || score > best.score {
			best = candidate{daemon: o.Daemon, score: score}
		}
	}
	return best.daemon, best.daemon.Name != ""
}
