package estimator

import "math/bits"

const (
	subBits     = 3            // Buckets an octave are 1<<subBits.
	subCount    = 1 << subBits // Lengths below it have a bucket each.
	maxOctave   = 17           // Lengths from 1<<maxOctave share the last bucket.
	bucketCount = (maxOctave-subBits)*subCount + subCount + 1
)

// bucketOf returns the index of the bucket that holds n.
func bucketOf(n int) int {
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
