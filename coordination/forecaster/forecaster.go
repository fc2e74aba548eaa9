// Package forecaster predicts how many tokens the sequences of an engine will
// hold in its KV cache.
//
// A sequence holds its prompt, less the prefix that it shares, and its output
// so far. It grows by one token per step until it ends, at a length that is not
// known in advance. For a few log-spaced horizons a Forecast keeps the mean and
// the variance of the sum over all sequences, each weighted by the probability
// that it has not ended by then. Sequences are assumed to end independently
// apart from the error of the length estimates, so moments are additive and a
// sequence can be added or removed in constant time.
package forecaster

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"

	"monsoonspar.example/state/estimator"
)

// horizons are the forecast times, in steps from now.
var horizons = [...]int{0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192}

// sharedRelativeError is the relative error of the mean that is common to all
// sequences, since they use the same length estimates.
const sharedRelativeError = 0.04

// Sequence is a generation that runs at the engine, or a candidate to be added.
type Sequence struct {
	Prompt   int               // Prompt tokens not shared with another sequence.
	Produced int               // Output tokens so far.
	Length   estimator.Bounded // Distribution of the total output length.
}

// Moments are the mean and the variance of the tokens held at each horizon.
type Moments struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// MomentsOf returns the moments of one sequence if memory is allocated in
// blocks of block tokens.
func MomentsOf(s Sequence, block int) Moments {
	var m Moments
	var survival [len(horizons)]float64
	s.Length.SurvivalAt(s.Produced, horizons[:], survival[:])
	survival[0] = 1
	for i, h := range horizons {
		alive := survival[i]
		if alive <= 0 {
			break
		}
		tokens := float64(roundUp(s.Prompt+s.Produced+h+1, block))
		m.mean[i] = alive * tokens
		m.variance[i] = alive * (1 - alive) * tokens * tokens
	}
	return m
}

// roundUp returns the smallest multiple of block that is at least n.
func roundUp(n, block int) int {
	if block <= 1 {
		return n
	}
	return (n + block - 1) / block * block
}

// Forecast is the sum of the moments of the sequences at an engine. The zero
// value contains no sequences.
type Forecast struct {
	sum Moments
}

// Add adds the sequence with moments m.
func (f *Forecast) Add(m *Moments) {
	for i := range horizons {
		f.sum.mean[i] += m.mean[i]
		f.sum.variance[i] += m.variance[i]
	}
}

// Remove removes a sequence that was added with moments m.
func (f *Forecast) Remove(m *Moments) {
	for i := range horizons {
		f.sum.mean[i] = max(f.sum.mean[i]-m.mean[i], 0)
		f.sum.variance[i] = max(f.sum.variance[i]-m.variance[i], 0)
	}
}

// Held returns the tokens held now, including those of a candidate with moments
// m. If m is nil, there is no candidate.
func (f *Forecast) Held(m *Moments) float64 { return f.heldAt(0, m, 0, 0) }

// Peak returns the largest number of tokens held at any horizon, as the mean
// plus the given number of standard deviations. If that number is the quantile
// q of the standard normal distribution, the result is exceeded at that horizon
// with probability 1-q. A candidate with moments m is included; m may be nil.
func (f *Forecast) Peak(m *Moments, deviations float64) float64 {
	peak := 0.0
	for i := range horizons {
		peak = max(peak, f.heldAt(i, m, i, deviations))
	}
	return peak
}

// heldAt returns the tokens held at horizons[i] as the mean plus deviations
// standard deviations. It includes the tokens that a candidate with moments m
// holds at horizons[ageIndex].
func (f *Forecast) heldAt(i int, m *Moments, ageIndex int, deviations float64) float64 {
	mean, variance := f.sum.mean[i], f.sum.variance[i]
	if m != nil {
		mean += m.mean[ageIndex]
		variance += m.variance[ageIndex]
	}
	if i > 0 {
		variance += sharedRelativeError * sharedRelativeError * mean * mean
	}
	return mean + deviations*math.Sqrt(variance)
}

// StepsUntilFit returns the number of steps after which a candidate with moments m
// can start and fit into memory until its end, if no other sequence is added.
// It interpolates linearly between horizons, and returns the last horizon if
// the candidate does not fit before it.
func (f *Forecast) StepsUntilFit(m *Moments, deviations, memory float64) float64 {
	previousOverflow := 0.0
	for i, start := range horizons {
		overflow := f.peakFrom(i, m, deviations) - memory
		if overflow <= 0 && i == 0 {
			return 0
		}
		if overflow <= 0 {
			previousStart := float64(horizons[i-1])
			return previousStart + (float64(start)-previousStart)*previousOverflow/(previousOverflow-overflow)
		}
		previousOverflow = overflow
	}
	return float64(horizons[len(horizons)-1])
}

// peakFrom returns the largest number of tokens held from horizons[startIndex]
// on, if a candidate with moments m starts there.
func (f *Forecast) peakFrom(startIndex int, m *Moments, deviations float64) float64 {
	largest, ageIndex := 0.0, 0
	for i := startIndex; i < len(horizons); i++ {
		for ageIndex+1 < len(horizons) && horizons[ageIndex+1] <= horizons[i]-horizons[startIndex] {
			ageIndex++
		}
		largest = max(largest, f.heldAt(i, m, ageIndex, deviations))
	}
	return largest
}

// NormalQuantile returns the quantile q of the standard normal distribution: the
// number of standard deviations from the mean.
func NormalQuantile(q float64) float64 { return distuv.UnitNormal.Quantile(q) }
