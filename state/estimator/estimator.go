// Package estimator learns how long the outputs of generations are.
//
// An Estimator keeps a decaying histogram of output lengths for each class of
// jobs: model, customer and kind. A class that has seen little borrows from the
// coarser one, model and kind, that one from the model, and a model from a
// log-uniform prior. The borrowed part is a pseudo-count, so that it fades as a
// class learns and still speaks for lengths beyond any that the class has seen.
//
// A Distribution is the state of a class at one time. Bounded gives the
// residual distribution of one generation: conditional on the tokens produced
// so far, and bounded by its limit of output tokens.
package estimator

// Class names jobs whose outputs are alike.
type Class struct {
	Model    string
	Customer string
	Kind     string
}

// parent returns the next coarser class. It reports false for a model.
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
	priorLongest   = 1 << 13 // Length up to which the prior is log-uniform.
	priorTail      = 0.05    // Weight of each longer bucket, relative to the others.
	borrowedWeight = 6.0     // Pseudo-count of the coarser class.
	halfLife       = 250.0   // Samples after which a sample of a customer's class counts half.
	coarseHalfLife = 1500.0  // The same for coarser classes.
	fastHalfLife   = 12.0    // The same for the histogram that replaces a stale one.
	maxClasses     = 4096
	staleAfter     = 32 // Records elsewhere after which a class is computed anew.
)

// Estimator holds the classes. It is not safe for concurrent use.
type Estimator struct {
	classes map[Class]*node
	prior   *Distribution
	records uint64 // Records so far.
}

// New returns an Estimator that has seen nothing.
func New() *Estimator {
	e := &Estimator{classes: make(map[Class]*node)}
	var mass [bucketCount]float64
	for i := 1; i < bucketCount; i++ {
		mass[i] = (upperBound(i) - float64(lowerBound(i))) / float64(lowerBound(i))
		if lowerBound(i) >= priorLongest {
			mass[i] *= priorTail
		}
	}
	e.prior = newDistribution(&mass)
	return e
}

// Record notes that a generation of class c ended by itself after tokens.
func (e *Estimator) Record(c Class, tokens int) {
	e.observe(c, func(n *node) { n.add(tokens) })
}

// RecordCensored notes that a generation of class c was cut off after tokens.
// The sample counts for the lengths beyond, as the class expects them.
func (e *Estimator) RecordCensored(c Class, tokens int) {
	e.observe(c, func(n *node) { n.addBeyond(tokens) })
}

// observe applies add to the class and to all coarser ones.
func (e *Estimator) observe(c Class, add func(*node)) {
	e.records++
	for n := e.node(c); n != nil; n = n.parent {
		add(n)
		n.records = e.records
		n.stale = true
	}
}

// Distribution returns what is known of class c.
func (e *Estimator) Distribution(c Class) *Distribution {
	return e.node(c).distribution(e.records)
}

// Samples returns the decayed number of samples of class c itself.
func (e *Estimator) Samples(c Class) float64 {
	n, ok := e.classes[c]
	if !ok {
		return 0
	}
	return n.slow.total
}

// node returns the node of class c, made if needed.
func (e *Estimator) node(c Class) *node {
	if n, ok := e.classes[c]; ok {
		return n
	}
	if len(e.classes) >= maxClasses {
		e.evict()
	}
	n := &node{prior: e.prior, records: e.records, halfLife: coarseHalfLife}
	if c.Customer != "" {
		n.halfLife = halfLife
	}
	if p, ok := c.parent(); ok {
		n.parent = e.node(p)
	}
	e.classes[c] = n
	return n
}

// Classes returns the number of classes held.
func (e *Estimator) Classes() int { return len(e.classes) }

// evict removes the classes below a model that were recorded least recently:
// those not recorded since the mean time of the last records.
func (e *Estimator) evict() {
	var sum, count uint64
	for c, n := range e.classes {
		if c.evictable() {
			sum += n.records
			count++
		}
	}
	for c, n := range e.classes {
		if c.evictable() && n.records <= sum/max(count, 1) {
			delete(e.classes, c)
		}
	}
}

// evictable reports whether c is not a whole model. The names of customers and
// kinds may come from callers without end, those of models don't.
func (c Class) evictable() bool { return c.Customer != "" || c.Kind != "" }
