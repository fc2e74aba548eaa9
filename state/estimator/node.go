package estimator

import "math"

// histogram is a histogram of lengths in which each new sample reduces the weight of
// the earlier ones.
type histogram struct {
	mass  [bucketCount]float64
	total float64
}

// decay multiplies all weights by factor.
func (h *histogram) decay(factor float64) {
	for i := range h.mass {
		h.mass[i] *= factor
	}
	h.total *= factor
}

// add adds weight to bucket i.
func (h *histogram) add(i int, weight float64) {
	h.mass[i] += weight
	h.total += weight
}

// node holds the state of one class.
type node struct {
	parent   *node
	prior    *Distribution
	halfLife float64 // Samples after which the weight of a sample has halved.

	slow     histogram // Samples, decayed with halfLife.
	fast     histogram // Samples, decayed with fastHalfLife; replaces slow after a drift.
	detector driftDetector

	dist       *Distribution
	stale      bool   // The class has samples that dist does not include.
	computedAt uint64 // Estimator.recordCount when dist was last computed.
	lastRecord uint64 // Estimator.recordCount when the class was last sampled.
}

// add adds a generation that finished after the given number of tokens.
func (n *node) add(tokens int) {
	if n.detector.observe(n.rank(tokens)) {
		n.slow = n.fast
		n.detector = driftDetector{}
	}
	n.addWeighted(func(h *histogram, weight float64) { h.add(bucketIndex(tokens), weight) })
}

// addCensored adds a generation that was cut off after the given number of tokens.
// Its weight is distributed over the longer lengths in proportion to their
// probability.
func (n *node) addCensored(tokens int) {
	d := n.distribution(n.lastRecord)
	firstBucket := bucketIndex(tokens + 1)
	sum := d.survival[firstBucket]
	if sum <= 0 {
		return
	}
	n.addWeighted(func(h *histogram, weight float64) {
		for i := firstBucket; i < bucketCount; i++ {
			next := 0.0
			if i+1 < bucketCount {
				next = d.survival[i+1]
			}
			h.add(i, weight*(d.survival[i]-next)/sum)
		}
	})
}

// addWeighted decays both histograms and applies add to each.
func (n *node) addWeighted(add func(*histogram, float64)) {
	n.slow.decay(math.Exp2(-1 / n.halfLife))
	n.fast.decay(math.Exp2(-1 / fastHalfLife))
	add(&n.slow, 1)
	add(&n.fast, 1)
}

// rank returns the mid-rank of tokens among the samples: the probability of a
// shorter length plus half the probability of an equal one. It is 0.5 while the
// class has no samples of its own.
func (n *node) rank(tokens int) float64 {
	if n.slow.total == 0 {
		return 0.5
	}
	b := bucketIndex(tokens)
	below := n.slow.mass[b] / 2
	for i := range b {
		below += n.slow.mass[i]
	}
	return below / n.slow.total
}

// distribution returns the distribution of the class. It is recomputed if the
// class has new samples, or after recomputeAfter records of any class, since
// these may have changed the coarser classes.
func (n *node) distribution(records uint64) *Distribution {
	if !n.stale && n.dist != nil && records < n.computedAt+recomputeAfter {
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
		mass[i] = n.slow.mass[i] + priorWeight*(base.survival[i]-next)
	}
	n.dist = newDistribution(&mass)
	n.computedAt = records
	n.stale = false
	return n.dist
}

const (
	driftSmoothing  = 0.12 // Weight of the newest rank in the moving averages.
	driftThreshold  = 4.0  // Deviation that counts as a drift, in standard deviations.
	minDriftSamples = 8    // Ranks before a drift can be detected.
)

// driftDetector detects a change of the distribution. While the distribution is
// unchanged, the ranks of its samples are uniform.
type driftDetector struct {
	count      int
	location   float64 // Moving average of rank - 1/2.
	dispersion float64 // Moving average of |2 rank - 1| - 1/2.
}

// observe adds the rank of one sample and reports whether the distribution has
// changed.
func (d *driftDetector) observe(rank float64) bool {
	d.count++
	d.location += driftSmoothing * (rank - 0.5 - d.location)
	d.dispersion += driftSmoothing * (math.Abs(2*rank-1) - 0.5 - d.dispersion)
	if d.count < minDriftSamples {
		return false
	}
	sigma := math.Sqrt(driftSmoothing / (2 - driftSmoothing) / 12) // Standard deviation of each moving average.
	return math.Abs(d.location) > driftThreshold*sigma || d.dispersion > driftThreshold*sigma
}
