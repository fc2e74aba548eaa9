// Package forecaster foretells how much of an engine's memory its sequences
// will hold.
//
// A sequence holds its prompt, less the prefix that it shares, and what it has
// produced. It grows by a token each step until it ends, which nobody knows
// ahead. For a few log-spaced horizons a Forecast keeps the mean and the
// variance of the sum over all sequences, in which each counts with the chance
// that it has not ended by then. Sequences are taken to end independently but
// for the error of the estimates, so moments add up and one can be added or
// removed in constant time.
package forecaster

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"

	"monsoonspar.example/state/estimator"
)

// horizons are the times forecast, in steps from now.
var horizons = [...]int{0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192}

// sharedError is the relative error of a mean that all sequences have in
// common, since they rest on the same estimates of lengths.
const sharedError = 0.04

// Sequence is one generation at the engine, or one that is to join.
type Sequence struct {
	Prompt   int // Prompt tokens that no other sequence holds.
	Produced int // Output tokens.
	Length   estimator.Bounded
}

// Moments are the mean and the variance of tokens held at each horizon.
type Moments struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// MomentsOf returns the moments of one sequence in memory that is allocated by
// blocks of block tokens.
func MomentsOf(s Sequence, block int) Moments {
	var m Moments
	var chances [len(horizons)]float64
	s.Length.AliveAt(s.Produced, horizons[:], chances[:])
	chances[0] = 1
	for i, h := range horizons {
		alive := chances[i]
		if alive <= 0 {
			break
		}
		held := float64(roundUp(s.Prompt+s.Produced+h+1, block))
		m.mean[i] = alive * held
		m.variance[i] = alive * (1 - alive) * held * held
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
// value has none.
type Forecast struct {
	sum Moments
}

// Add counts the sequence with moments m.
func (f *Forecast) Add(m *Moments) {
	for i := range horizons {
		f.sum.mean[i] += m.mean[i]
		f.sum.variance[i] += m.variance[i]
	}
}

// Remove takes back an Add of m.
func (f *Forecast) Remove(m *Moments) {
	for i := range horizons {
		f.sum.mean[i] = max(f.sum.mean[i]-m.mean[i], 0)
		f.sum.variance[i] = max(f.sum.variance[i]-m.variance[i], 0)
	}
}

// Now returns the tokens held now, with those of the sequence with moments m.
func (f *Forecast) Now(m *Moments) float64 { return f.at(0, m, 0, 0) }

// Peak returns the largest number of tokens held at any horizon, exceeded there
// with the probability that Deviations was given the complement of. The
// sequence with moments m counts as added; m may be nil.
func (f *Forecast) Peak(m *Moments, deviations float64) float64 {
	peak := 0.0
	for i := range horizons {
		peak = max(peak, f.at(i, m, i, deviations))
	}
	return peak
}

// at returns the tokens held at horizon i, with those that a sequence with
// moments m would hold at horizon age.
func (f *Forecast) at(i int, m *Moments, age int, deviations float64) float64 {
	mean, variance := f.sum.mean[i], f.sum.variance[i]
	if m != nil {
		mean += m.mean[age]
		variance += m.variance[age]
	}
	if i > 0 {
		variance += sharedError * sharedError * mean * mean
	}
	return mean + deviations*math.Sqrt(variance)
}

// StepsUntil returns after how many steps the sequence with moments m can start
// and fit into memory until its end, if no other joins. It interpolates between
// horizons.
func (f *Forecast) StepsUntil(m *Moments, deviations, memory float64) float64 {
	before := 0.0
	for i, start := range horizons {
		over := f.excess(i, m, deviations) - memory
		if over <= 0 && i == 0 {
			return 0
		}
		if over <= 0 {
			last := float64(horizons[i-1])
			return last + (float64(start)-last)*before/(before-over)
		}
		before = over
	}
	return float64(horizons[len(horizons)-1])
}

// excess returns the largest number of tokens held from horizon start on, if the
// sequence with moments m starts there.
func (f *Forecast) excess(start int, m *Moments, deviations float64) float64 {
	largest, age := 0.0, 0
	for i := start; i < len(horizons); i++ {
		for age+1 < len(horizons) && horizons[age+1] <= horizons[i]-horizons[start] {
			age++
		}
		largest = max(largest, f.at(i, m, age, deviations))
	}
	return largest
}

// Deviations returns the number of standard deviations above the mean at which
// a normal variable has the quantile q.
func Deviations(q float64) float64 { return distuv.UnitNormal.Quantile(q) }
