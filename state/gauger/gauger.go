// Package gauger estimates how much work an endpoint handles well.
//
// The model of an endpoint has two parameters. A unit of work takes Unit while the
// load is at most Knee requests, and Unit x load / Knee beyond it, where more load
// only adds waiting. An Endpoint learns both from the results of a daemon's requests,
// each with the load that it met, and from the slowdown that the endpoint reports.
// A Rate learns a single quantity, such as the time of an engine's decode step.
//
// Estimates are compared within a set: those that equal the others within their
// uncertainty count as equal, so that noise does not change decisions among
// endpoints that are alike.
//
// The types are not safe for concurrent use.
package gauger

import (
	"math"
	"time"
)

// Parameters of the averages. Values are averaged as logarithms, since speeds differ
// by factors.
const (
	steadyWeight   = 0.05             // Weight of a value while the values scatter around the mean; a share then moves by about 1% at each result.
	changedWeight  = 0.25             // The same after a change: 90% of it are learned within eight results.
	changedRate    = 0.4              // Likewise of reports of an engine, which come every 400 ms and average many steps.
	shiftWeight    = 0.25             // Weight of a value in the average by which a change is recognized.
	changeFactor   = 5.0              // A change shows in an average that is off by this multiple of its standard deviation.
	outlier        = 3.0              // Residuals count as at most this many standard deviations, so that a change shows in four results at least.
	minChange      = 0.3              // Smaller changes are followed with steadyWeight.
	maxResidual    = 1.5              // Limit on the logarithm of a value's ratio to the mean; one result says at most a factor of 4.5.
	initialSpread  = 0.3              // Assumed before any values, as a standard deviation of logarithms.
	spreadWeight   = 0.01             // Weight of a value in the spread, whose own scatter would move the margins of comparisons.
	minSpread      = 0.03             // Results vary at least this much on a network.
	forgetHalfLife = 10 * time.Second // Of the weight of past values without new ones.
)

// average is a moving average of logarithms that follows changes fast.
type average struct {
	mean   float64
	spread float64 // Standard deviation of the values.
	shift  float64 // Average of the recent residuals.
	count  int
	at     time.Time // Of the last value.
}

// weight returns the weight that a value with the given residual gets at now.
func (a *average) weight(residual float64, now time.Time) float64 {
	return a.weightWith(changedWeight, residual, now)
}

// weightWith is like weight with another weight after a change.
func (a *average) weightWith(changed, residual float64, now time.Time) float64 {
	w := max(steadyWeight, 1/float64(a.count+1))
	limit := outlier * max(a.spread, minSpread)
	a.shift += shiftWeight * (min(max(residual, -limit), limit) - a.shift)
	deviation := a.spread * math.Sqrt(shiftWeight/(2-shiftWeight))
	if math.Abs(a.shift) > max(changeFactor*deviation, minChange) {
		w = max(w, changed)
	}
	return 1 - (1-w)*a.remembered(now)
}

// remembered returns the weight that the values so far have at now.
func (a *average) remembered(now time.Time) float64 {
	return math.Exp2(-max(now.Sub(a.at), 0).Seconds() / forgetHalfLife.Seconds())
}

// learn updates the spread with a residual and counts a value.
func (a *average) learn(residual float64, now time.Time) {
	if a.count == 0 {
		a.spread = initialSpread
	} else {
		limited := min(math.Abs(residual), outlier*a.spread) // A change is not scatter.
		a.spread = max(math.Sqrt(a.spread*a.spread+max(spreadWeight, 1/float64(a.count+1))*(limited*limited-a.spread*a.spread)), minSpread)
	}
	a.count++
	a.at = now
}

// uncertainty returns the standard deviation of the mean at now.
func (a *average) uncertainty(now time.Time) float64 {
	if a.count == 0 {
		return math.Inf(1)
	}
	w := max(steadyWeight, 1/float64(a.count))
	return a.spread * math.Sqrt(w/(2-w)) * (2 - a.remembered(now))
}

// Parameters of comparisons.
const (
	minValues        = 1    // An estimate from fewer values counts as equal to the others.
	minMargin        = 0.15 // Smaller differences, as logarithms, count as none.
	slowerMargin     = 0.22 // Likewise of engines that seem slower: prompts that alike engines read meanwhile slow their sequences.
	fasterMargin     = 0.3  // Likewise of engines that seem faster, which those with few prompts do; deadlines would be too optimistic there.
	marginDeviations = 4.0  // Differences below this many standard deviations count as none. Loads are known roughly, so errors are correlated.
)

// significant returns the logarithm of a ratio with differences within the margin taken
// for none. Larger ones are reduced by the less the larger they are, without a step.
func significant(x, deviation float64) float64 { return significantBeyond(minMargin, x, deviation) }

// significantBeyond is like significant with another smallest margin.
func significantBeyond(least, x, deviation float64) float64 {
	margin := max(least, marginDeviations*deviation)
	if math.Abs(x) <= margin {
		return 0
	}
	return x - margin*margin/x
}
