package seeder

import (
	"math/bits"
	"strings"

	"pgregory.net/rapid"
)

// Pick draws a number below n, each with about the same chance. The integers
// that rapid draws lean towards small values and bounds.
func Pick(t *rapid.T, label string, n int) int {
	v := 0
	for range bits.Len(uint(n)) + 3 {
		v <<= 1
		if rapid.Bool().Draw(t, label) {
			v++
		}
	}
	return v % n
}

// FirstFailure plays histories with the seeds from 1 to last and returns the
// first seed and error whose text contains want, or a nil error if there is
// none.
func FirstFailure(play func(*rapid.T) error, want string, last int) (int, error) {
	type result struct{ err error }
	g := rapid.Custom(func(t *rapid.T) result { return result{play(t)} })
	for seed := 1; seed <= last; seed++ {
		if r := g.Example(seed); r.err != nil && strings.Contains(r.err.Error(), want) {
			return seed, r.err
		}
	}
	return 0, nil
}
