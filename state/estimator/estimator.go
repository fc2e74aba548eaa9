// Package estimator estimates the output lengths of generations, or other lengths
// that vary over orders of magnitude, such as durations in milliseconds.
//
// An Estimator keeps an exponentially decaying histogram of output lengths for
// each class of jobs: model, customer and kind. The prior of a class is the
// distribution of the next coarser class, model and kind; its prior is that of
// the model, and a model has a log-uniform prior. A prior counts as a fixed
// number of samples (pseudo-count), so that its influence decreases as a class
// gains samples, while it still covers lengths beyond any in the class.
//
// A Distribution is a snapshot of a class. Bounded gives the residual
// distribution of one generation: conditional on the tokens produced so far and
// truncated at its limit of output tokens.
package estimator

// Class identifies jobs with similar output lengths. Coarser classes leave
// Customer, or Customer and Kind, empty.
type Class struct {
	Model    string
	Customer string
	Kind     string
}

// parent returns the next coarser class, or false if c is a model.
func (c Class) parent() (Class, bool) {
	switch {
	case c.Customer != "":
		return Class{Model: c.Model, Kind: c.Kind}, true
	case c.Kind != "":
		return Class{Model: c.Model}, true
	default:
		return Class{}, false
	}
}

const (
	priorTailStart   = 1 << 13 // The prior is log-uniform below this length.
	priorTailWeight  = 0.05    // Weight of longer buckets, relative to the others.
	priorWeight      = 6.0     // Pseudo-count of the prior of a class.
	customerHalfLife = 250.0   // Half-life in samples, for classes of one customer.
	coarseHalfLife   = 1500.0  // Half-life in samples, for coarser classes.
	fastHalfLife     = 12.0    // Half-life in samples of the histogram that is used after a drift.
	maxClasses       = 4096    // Bounds the memory; at this number, new classes cause eviction.
	recomputeAfter   = 32      // Records of any class after which a cached distribution is recomputed.
)

// Estimator holds the histograms of all classes. It is not safe for concurrent
// use.
type Estimator struct {
	classes     map[Class]*node
	prior       *Distribution
	recordCount uint64 // Number of records so far.
}

// New returns an Estimator without samples.
func New() *Estimator {
	e := &Estimator{classes: make(map[Class]*node)}
	var mass [bucketCount]float64
	for i := 1; i < bucketCount; i++ {
		mass[i] = (upperBound(i) - float64(lowerBound(i))) / float64(lowerBound(i))
		if lowerBound(i) >= priorTailStart {
			mass[i] *= priorTailWeight
		}
	}
	e.prior = newDistribution(&mass)
	return e
}

// Record adds a generation of class c that finished after the given number of
// tokens.
func (e *Estimator) Record(c Class, tokens int) {
	e.observe(c, func(n *node) { n.add(tokens) })
}

// RecordCensored adds a generation of class c that was cut off after the given
// number of tokens. The censored sample is distributed over the longer lengths in
// proportion to their estimated probability.
func (e *Estimator) RecordCensored(c Class, tokens int) {
	e.observe(c, func(n *node) { n.addCensored(tokens) })
}

// observe applies add to class c and all coarser classes.
func (e *Estimator) observe(c Class, add func(*node)) {
	e.recordCount++
	for n := e.node(c); n != nil; n = n.parent {
		add(n)
		n.lastRecord = e.recordCount
		n.stale = true
	}
}

// Distribution returns the current distribution of class c.
func (e *Estimator) Distribution(c Class) *Distribution {
	return e.node(c).distribution(e.recordCount)
}

// Samples returns the decayed number of samples of class c, without its prior.
func (e *Estimator) Samples(c Class) float64 {
	n, ok := e.classes[c]
	if !ok {
		return 0
	}
	return n.slow.total
}

// node returns the node of class c and creates it if it does not exist.
func (e *Estimator) node(c Class) *node {
	if n, ok := e.classes[c]; ok {
		return n
	}
	if len(e.classes) >= maxClasses {
		e.evict()
	}
	n := &node{prior: e.prior, lastRecord: e.recordCount, halfLife: coarseHalfLife}
	if c.Customer != "" {
		n.halfLife = customerHalfLife
	}
	if p, ok := c.parent(); ok {
		n.parent = e.node(p)
	}
	e.classes[c] = n
	return n
}

// ClassCount returns the number of classes.
func (e *Estimator) ClassCount() int { return len(e.classes) }

// evict removes the evictable classes that were recorded least recently: those
// whose last record is not later than the mean of the last records.
func (e *Estimator) evict() {
	var sum, count uint64
	for c, n := range e.classes {
		if c.evictable() {
			sum += n.lastRecord
			count++
		}
	}
	for c, n := range e.classes {
		if c.evictable() && n.lastRecord <= sum/max(count, 1) {
			delete(e.classes, c)
		}
	}
}

// evictable reports whether c is finer than a model. The number of customer and kind
// names is unlimited, since clients may send any kind; that of model names is not.
func (c Class) evictable() bool { return c.Customer != "" || c.Kind != "" }
