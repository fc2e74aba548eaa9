package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnersOf ranks the daemons by rendezvous hashing for the ownership of the
// admission of an endpoint: the first one owns it, and the following ones take
// over in turn when it fails. daemons are the live daemons of the endpoint's
// failure domain, in any order. The failure of a daemon moves only the
// endpoints that it owned.
func OwnersOf(endpoint string, daemons []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	key := xxhash.Sum64String(endpoint)
	ranked := make([]scored, 0, len(daemons))
	for _, d := range daemons {
		ranked = append(ranked, scored{d, mix(xxhash.Sum64String(d) ^ key)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(ranked))
	for i, o := range ranked {
		names[i] = o.name
	}
	return names
}

// OwnerOf returns the first daemon of OwnersOf, and false if there is none. It
// does not allocate.
func OwnerOf(endpoint string, daemons []string) (string, bool) {
	key := xxhash.Sum64String(endpoint)
	var best string
	var bestScore uint64
	for i, d := range daemons {
		score := mix(xxhash.Sum64String(d) ^ key)
		if i == 0 || score > bestScore || (score == bestScore && d < best) {
			best, bestScore = d, score
		}
	}
	return best, len(daemons) > 0
}

// mix is the finalizer of SplitMix64, a bijection of 64-bit values in which
// every input bit affects every output bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
