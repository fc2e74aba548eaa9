package estimator

import "math/bits"

// Lengths are counted in log-linear buckets: each octave, from one power of two to
// the next, is divided into subCount buckets of equal width.
const (
	subBits     = 3            // Binary logarithm of subCount.
	subCount    = 1 << subBits // Lengths below it have a bucket each.
	maxOctave   = 17           // The last bucket holds all lengths from 1<<maxOctave.
	bucketCount = (maxOctave-subBits)*subCount + subCount + 1
)

// bucketIndex returns the index of the bucket that contains length n.
func bucketIndex(n int) int {
	if n < subCount {
		return max(n, 0)
	}
	shift := bits.Len(uint(n)) - 1 - subBits
	i := shift*subCount + n>>shift
	return min(i, bucketCount-1)
}

// lowerBound returns the smallest length in bucket i.
func lowerBound(i int) int {
	if i < subCount {
		return i
	}
	shift := i/subCount - 1
	return (i%subCount + subCount) << shift
}
