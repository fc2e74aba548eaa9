// Package reporter decides which daemon polls an engine for its load report, and to which daemons
// a report goes.
//
// Engines are polled in groups, so that all reports of a group travel in one message. Up to
// FullMeshLimit daemons are peers of all others. Above it, each has those of its own failure domain
// and RemotePeers daemons of each other one as peers. A daemon sends its reports to all its peers or,
// in fleets above a size that is set (Relaying), to those of its own failure domain and to one relay
// of each other one, which passes them on within its own. A daemon whose report of an engine is old polls the engine itself; the ranks of
// the daemons spread these polls.
package reporter

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/state/registrar"
)

// Daemon is one of the daemons that share the reports.
type Daemon = limiter.Daemon

// Size of the fleet above which not all daemons are peers of each other, and the number of peers in
// each other failure domain then.
const (
	FullMeshLimit = 128
	RemotePeers   = 2
)

// groupSize is the largest average number of engines in a group. One daemon polls a group.
const groupSize = 32

// Delays of polls by daemons that do not poll an engine for the others.
const (
	delayPerRank = 50 * time.Millisecond // A report needs this time to reach most daemons.
	maxDelay     = 1500 * time.Millisecond
)

// Peers returns the daemons to which a daemon sends its news. Those of another failure domain
// are the ones with the highest hashes, which differ between daemons.
func Peers(self Daemon, all []Daemon) []Daemon {
	var chosen []Daemon
	remote := map[string][]Daemon{} // By failure domain.
	for _, d := range all {
		switch {
		case d.Name == self.Name || d.Addr == "":
		case len(all) <= FullMeshLimit || d.Domain == self.Domain:
			chosen = append(chosen, d)
		default:
			remote[d.Domain] = append(remote[d.Domain], d)
		}
	}
	for _, daemons := range remote {
		sortByHash(daemons, self.Name)
		chosen = append(chosen, daemons[:min(len(daemons), RemotePeers)]...)
	}
	return chosen
}

// Relays reports whether a daemon of one failure domain passes on, within it, the news from a daemon
// of another one that has not asked for it. The fleet has the given number of daemons.
func Relays(self, from string, daemons int) bool { return daemons > FullMeshLimit && self != from }

// sortByHash sorts daemons in an order that depends on the name of another one.
func sortByHash(daemons []Daemon, name string) {
	hash := func(d Daemon) uint64 { return xxhash.Sum64String(name + "/" + d.Name) }
	slices.SortFunc(daemons, func(a, b Daemon) int { return cmp.Compare(hash(b), hash(a)) })
}

// Relaying reports whether daemons send news that is not urgent to relays. The fleet has the given
// number of daemons, and above is the setting; zero or less stands for FullMeshLimit. Above
// FullMeshLimit the news would not reach all daemons otherwise.
func Relaying(daemons, above int) bool {
	if above <= 0 {
		above = FullMeshLimit
	}
	return daemons > min(above, FullMeshLimit)
}

// RelaysOf returns one of the given daemons for each failure domain but the sender's own, to pass on
// message number n of the sender. Successive messages go to different daemons, in an order by hash: one
// that has failed without notice loses few messages, and so do several with similar names, which often
// fail together. None carries much more than the others.
func RelaysOf(sender Daemon, reachable []Daemon, n uint64) []Daemon {
	domains := map[string][]Daemon{}
	for _, d := range reachable {
		if d.Domain != sender.Domain {
			domains[d.Domain] = append(domains[d.Domain], d)
		}
	}
	relays := make([]Daemon, 0, len(domains))
	for _, daemons := range domains {
		sortByHash(daemons, sender.Name)
		relays = append(relays, daemons[n%uint64(len(daemons))])
	}
	return relays
}

// Group identifies the engines that one daemon polls together.
type Group struct {
	Domain string // Failure domain of the engines.
	Index  uint64
}

// GroupOf returns the group of an engine whose failure domain has the given number of engines.
// Engines that come and go change few groups.
func GroupOf(e registrar.Endpoint, engines int) Group {
	groups := uint64(1)
	if engines > groupSize {
		groups <<= bits.Len(uint((engines - 1) / groupSize)) // The next power of two.
	}
	return Group{Domain: e.Domain, Index: xxhash.Sum64String(e.Name) & (groups - 1)}
}

// rank returns how many of the reachable daemons precede a daemon for a group.
func (g Group) rank(self Daemon, reachable []Daemon) int {
	e := registrar.Endpoint{Domain: g.Domain}
	e.Name = "group " + strconv.FormatUint(g.Index, 10) + " of " + g.Domain
	own, rank := limiter.Score(self, e), 0
	for _, d := range reachable {
		if limiter.Score(d, e) > own {
			rank++
		}
	}
	return rank
}

// Polls decides for one daemon whether it polls the engines of a group.
type Polls struct {
	rank int
}

// PollsOf returns the decision of a daemon, which reaches the given ones, about a group.
func PollsOf(g Group, self Daemon, reachable []Daemon) Polls {
	return Polls{rank: g.rank(self, reachable)}
}

// Regular reports whether the daemon polls the group on behalf of all.
func (p Polls) Regular() bool { return p.rank == 0 }

// Due reports whether the daemon polls an engine of the group whose newest report has the given age.
// Reports should not be older than the limit.
func (p Polls) Due(age, limit time.Duration) bool {
	return p.rank == 0 || age > limit+min(time.Duration(p.rank-1)*delayPerRank, maxDelay)
}
