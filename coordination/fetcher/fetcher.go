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

// Delays before a fetch.
const (
	delayPerPeer = 2 * time.Millisecond // A peer sends a version to several others within the delay of a fleet.
	maxDelay     = 300 * time.Millisecond
)

// Fetcher holds the offers that a daemon has received. It is safe for concurrent use.
// Use New to make one.
type Fetcher struct {
	mu       sync.Mutex
	rand     *rand.Rand
	offers   map[string]int64 // The newest version that each peer has offered.
	newest   int64            // Of the offers.
	startAt  time.Time        // When the fetch of the newest version may start.
	fetching bool
}

// New returns a Fetcher without offers.
func New(r *rand.Rand) *Fetcher { return &Fetcher{rand: r, offers: map[string]int64{}} }

// Offer records that a peer, one of the given number, has a version.
func (f *Fetcher) Offer(peer string, version int64, peers int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offers[peer] = version
	if version <= f.newest {
		return
	}
	f.newest = version
	delay := min(time.Duration(peers)*delayPerPeer, maxDelay)
	f.startAt = now.Add(time.Duration(f.rand.Float64() * float64(delay)))
}

// Next returns the peer from which to fetch now, and false if there is none. The
// caller, which has the given version, must call End when the fetch has ended.
func (f *Fetcher) Next(have int64, now time.Time) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching || f.newest <= have || now.Before(f.startAt) {
		return "", false
	}
	var peers []string
	for peer, version := range f.offers {
		if version == f.newest {
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

// End records that a fetch from a peer has ended. After a failure the peer is not
// chosen until it offers a version again.
func (f *Fetcher) End(peer string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
	if err != nil {
		delete(f.offers, peer)
	}
}

// Forget removes the offers of a peer that has left.
func (f *Fetcher) Forget(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.offers, peer)
}
