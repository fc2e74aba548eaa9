package seeder

import (
	"math/bits"
	"strings"

	"pgregory.net/rapid"
)

// DrawUniform draws a number in [0, n) with nearly uniform probability. It combines
// single bits, because the integers that rapid draws are biased towards small
// values and bounds.
func DrawUniform(t *rapid.T, label string, n int) int {
	v := 0
	for range bits.Len(uint(n)) + 3 {
		v <<= 1
		if rapid.Bool().Draw(t, label) {
			v++
		}
	}
	return v % n
}

// FirstFailure calls run with the seeds from 1 to last. It returns the first seed
// whose error contains want, and that error, or a nil error if there is none.
func FirstFailure(run func(*rapid.T) error, want string, last int) (int, error) {
	type result struct{ err error }
	generator := rapid.Custom(func(t *rapid.T) result { return result{run(t)} })
	for seed := 1; seed <= last; seed++ {
		if r := generator.Example(seed); r.err != nil && strings.Contains(r.err.Error(), want) {
			return seed, r.err
		}
	}
	return 0, nil
}
