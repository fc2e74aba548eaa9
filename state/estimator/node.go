package estimator

import "math"

// histogram is a decaying histogram of lengths.
type histogram struct {
	mass  [bucketCount]float64
	total float64
}

// decay multiplies all samples by factor.
func (h *histogram) decay(factor float64) {
	for i := range h.mass {
		h.mass[i] *= factor
	}
	h.total *= factor
}

// add counts weight in bucket i.
func (h *histogram) add(i int, weight float64) {
	h.mass[i] += weight
	h.total += weight
}

// node is one class.
type node struct {
	parent   *node
	prior    *Distribution
	halfLife float64 // Samples after which a sample counts half.

	slow histogram // What the class is taken to be.
	fast histogram // The latest samples.
	test drift

	dist     *Distribution
	stale    bool
	computed uint64 // Records of the Estimator when dist was computed.
	records  uint64 // Records of the Estimator at the last sample.
}

// add counts a generation that ended after tokens.
func (n *node) add(tokens int) {
	if n.test.observe(n.rank(tokens)) {
		n.slow = n.fast
		n.test = drift{}
	}
	n.addWeighted(func(h *histogram, weight float64) { h.add(bucketOf(tokens), weight) })
}

// addBeyond counts a generation that was cut off after tokens: its weight is
// spread over the longer lengths in proportion to their probability.
func (n *node) addBeyond(tokens int) {
	d := n.distribution(n.records)
	first := bucketOf(tokens + 1)
	sum := d.survival[first]
	if sum <= 0 {
		return
	}
	n.addWeighted(func(h *histogram, weight float64) {
		for i := first; i < bucketCount; i++ {
			next := 0.0
			if i+1 < bucketCount {
				next = d.survival[i+1]
			}
			h.add(i, weight*(d.survival[i]-next)/sum)
		}
	})
}

// addWeighted decays both histograms and applies add to them.
func (n *node) addWeighted(add func(*histogram, float64)) {
	n.slow.decay(math.Exp2(-1 / n.halfLife))
	n.fast.decay(math.Exp2(-1 / fastHalfLife))
	add(&n.slow, 1)
	add(&n.fast, 1)
}

// rank returns the probability of a length below tokens, counting equal ones
// half. It is 0.5 while the class has no samples of its own.
func (n *node) rank(tokens int) float64 {
	if n.slow.total == 0 {
		return 0.5
	}
	b := bucketOf(tokens)
	below := n.slow.mass[b] / 2
	for i := range b {
		below += n.slow.mass[i]
	}
	return below / n.slow.total
}

// distribution returns the distribution of the class, computed anew if it has
// samples since, or its coarser class many.
func (n *node) distribution(records uint64) *Distribution {
	if !n.stale && n.dist != nil && records < n.computed+staleAfter {
		return n.dist
	}
	base := n.prior
	if n.parent != nil {
		base = n.parent.distribution(records)
	}
	var mass [bucketCount]float64
	for i := range mass {
		next := 0.0
		if i+1 < bucketCount {
			next = base.survival[i+1]
		}
		mass[i] = n.slow.mass[i] + borrowedWeight*(base.survival[i]-next)
	}
	n.dist = newDistribution(&mass)
	n.computed = records
	n.stale = false
	return n.dist
}

const (
	driftGain    = 0.12 // Weight of the newest rank in the running means.
	driftLimit   = 4.0  // Standard deviations from the expected mean.
	driftSamples = 8    // Ranks before the test may speak.
)

// drift finds a change of the distribution: ranks of samples of an unchanged
// one are uniform.
type drift struct {
	count  int
	centre float64 // Running mean of rank - 1/2.
	spread float64 // Running mean of |2 rank - 1| - 1/2.
}

// observe notes the rank of one sample and reports whether the distribution
// has changed.
func (t *drift) observe(rank float64) bool {
	t.count++
	t.centre += driftGain * (rank - 0.5 - t.centre)
	t.spread += driftGain * (math.Abs(2*rank-1) - 0.5 - t.spread)
	if t.count < driftSamples {
		return false
	}
	sigma := math.Sqrt(driftGain / (2 - driftGain) / 12) // Of both means.
	return math.Abs(t.centre) > driftLimit*sigma || t.spread > driftLimit*sigma
}
