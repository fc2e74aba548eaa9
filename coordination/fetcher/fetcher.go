// Package fetcher decides from which peer a daemon fetches a new version of an object
// that all daemons need.
//
// A daemon that gets a version offers it to its peers. If all of them fetched it at
// once, the links of the first daemons to have it would be full. A daemon therefore
// fetches a version from one peer at a time, chosen at random among those that have
// offered it, and waits for a random time before, in which others become able to offer
// it.
package fetcher

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Delays before a fetch, and its time limit.
const (
	delayPerPeer = 2 * time.Millisecond // A peer sends a version to several others within the delay of a fleet.
	maxDelay     = 300 * time.Millisecond
	baseTimeout  = 300 * time.Millisecond // Doubles with each failure in a row, since the version may be large.
	maxTimeout   = time.Second
)

// Fetcher holds the offers that a daemon has received. It is safe for concurrent use.
// Use New to make one.
type Fetcher struct {
	mu       sync.Mutex
	rand     *rand.Rand
	offers   map[string]offer // The newest offer of each peer.
	newest   int64            // Of the offers.
	newestAt time.Time        // When it was offered first.
	startAt  time.Time        // When the fetch of the newest version may start.
	fetching bool
	failures int // Fetches that failed in a row.
}

// offer is a version that a peer has.
type offer struct {
	version  int64
	failures int // Calls of the peer that failed since the offer.
}

// New returns a Fetcher without offers.
func New(r *rand.Rand) *Fetcher { return &Fetcher{rand: r, offers: map[string]offer{}} }

// Offer records that a peer, one of the given number, has a version.
func (f *Fetcher) Offer(peer string, version int64, peers int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.offers[peer].version != version {
		f.offers[peer] = offer{version: version}
	}
	if version <= f.newest {
		return
	}
	f.newest, f.newestAt = version, now
	delay := min(time.Duration(peers)*delayPerPeer, maxDelay)
	f.startAt = now.Add(time.Duration(f.rand.Float64() * float64(delay)))
}

// Behind returns for how long a version newer than the given one has been known, or zero.
func (f *Fetcher) Behind(have int64, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest <= have {
		return 0
	}
	return max(now.Sub(f.newestAt), 1)
}

// Status is what is known of a version newer than the one that a daemon has.
type Status struct {
	Newest   int64         // Version that a peer has offered; zero if none is newer.
	Behind   time.Duration // Since it was offered.
	Fetching bool
	Failures int // Fetches that failed in a row.
}

// Status returns what is known of a version newer than the given one.
func (f *Fetcher) Status(have int64, now time.Time) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest <= have {
		return Status{}
	}
	return Status{Newest: f.newest, Behind: max(now.Sub(f.newestAt), 1), Fetching: f.fetching, Failures: f.failures}
}

// Next returns the peer from which to fetch now, and false if there is none. The
// caller, which has the given version, must call End when the fetch has ended. Peers from
// which a fetch has failed, or that did not answer otherwise, come last.
func (f *Fetcher) Next(have int64, now time.Time) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching || f.newest <= have || now.Before(f.startAt) {
		return "", false
	}
	var peers []string
	fewest := 0
	for peer, o := range f.offers {
		switch {
		case o.version != f.newest:
		case len(peers) == 0 || o.failures < fewest:
			peers, fewest = []string{peer}, o.failures
		case o.failures == fewest:
			peers = append(peers, peer)
		}
	}
	if len(peers) == 0 {
		return "", false
	}
	slices.Sort(peers) // Makes the choice depend on the random source only.
	f.fetching = true
	return peers[f.rand.IntN(len(peers))], true
}

// Timeout returns the time limit of the fetch that Next has returned.
func (f *Fetcher) Timeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return min(baseTimeout<<min(f.failures, 8), maxTimeout)
}

// End records that a fetch from a peer has ended.
func (f *Fetcher) End(peer string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
	if err == nil {
		f.failures = 0
		return
	}
	f.failures++
	f.deferPeer(peer)
}

// Defer records that a peer does not answer, so that others are asked before it.
func (f *Fetcher) Defer(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deferPeer(peer)
}

// deferPeer moves the offer of a peer behind those with fewer failures. The mutex is held.
func (f *Fetcher) deferPeer(peer string) {
	if o, ok := f.offers[peer]; ok {
		o.failures++
		f.offers[peer] = o
	}
}

// Forget removes the offers of a peer that has left.
func (f *Fetcher) Forget(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.offers, peer)
}
