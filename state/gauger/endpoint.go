package gauger

import (
	"math"
	"slices"
	"time"
)

// Parameters of the estimate of an endpoint.
const (
	kneeShare        = 0.7                    // Part of a residual beyond the knee that changes the knee; the rest changes the unit.
	minKnee          = 0.5                    // A knee is at least this load.
	kneeMemory       = 2 * time.Second        // Time constant of the knee that is used for decisions.
	kneeHalfLife     = 30 * time.Second       // In which the knee returns half of the way to the slots without results beyond it.
	slowdownHalfLife = 300 * time.Millisecond // Of a reported slowdown, which changes many times per second.
	slowdownMemory   = 5 * time.Second        // Time constant of the mean slowdown, to which the estimate returns.
	errorWeight      = 0.05                   // Weight of a result in the errors that tell whether reported slowdowns are true.
	minLoadMemory    = 5 * time.Millisecond   // Shortest time over which the load that a request met is averaged.
	maxLoadWeight    = 0.25                   // Largest weight of a load in the mean load.
	loadHalfLife     = 5 * time.Second        // Of the mean load without new loads.
	utilizationTime  = time.Second            // Time constant of the mean load.
)

// curve is the time of a unit of work as a function of the load.
type curve struct {
	unit   average // Logarithm of the time up to the knee.
	knee   float64 // Zero before the first value.
	kneeAt time.Time
	// steadyKnee is the mean of the knee over kneeMemory, which is what Estimate returns. The
	// knee itself follows single results.
	steadyKnee float64
}

// residual returns the difference of a value, as a logarithm, to that expected at a
// load. The first value is taken for what is expected.
func (c *curve) residual(x, load float64, slots int, now time.Time) float64 {
	elapsed := max(now.Sub(c.kneeAt), 0)
	c.relaxKnee(slots, now)
	if c.steadyKnee == 0 {
		c.steadyKnee = c.knee
	}
	c.steadyKnee += (1 - math.Exp(-elapsed.Seconds()/kneeMemory.Seconds())) * (c.knee - c.steadyKnee)
	x -= math.Log(max(load/c.knee, 1))
	if c.unit.count == 0 {
		c.unit.mean = x
	}
	return min(max(x-c.unit.mean, -maxResidual), maxResidual)
}

// relaxKnee moves the knee toward the number of slots, since it shows only while the
// load is beyond it.
func (c *curve) relaxKnee(slots int, now time.Time) {
	s := max(float64(slots), 1)
	if c.knee == 0 {
		c.knee, c.kneeAt = s, now
	}
	old := math.Exp2(-max(now.Sub(c.kneeAt), 0).Seconds() / kneeHalfLife.Seconds())
	c.knee, c.kneeAt = min(s+(c.knee-s)*old, s), now
}

// learn moves the curve by a residual with weight w. Beyond the knee, most of it moves
// the knee, unless the knee already is at the slots and can't explain it.
func (c *curve) learn(residual, w, load float64, slots int, now time.Time) {
	share := 0.0
	s := max(float64(slots), 1)
	if load > c.knee && (residual > 0 || c.knee < s) {
		share = kneeShare
		c.knee = min(max(c.knee*math.Exp(-w*share*residual), minKnee), s)
	}
	c.unit.mean += w * (1 - share) * residual
	c.unit.learn(residual, now)
}

// Endpoint is the estimate of one endpoint of a plain service. The zero value knows
// nothing.
type Endpoint struct {
	times    curve   // Of the daemon's results, in seconds.
	load     float64 // Average load over the time of a unit of work.
	meanLoad float64 // The same over utilizationTime.
	lastLoad float64
	loadAt   time.Time

	slowdowns curve   // Of the reported slowdowns.
	transient float64 // Logarithm of the ratio of the last slowdown to the one expected at its load.
	// Mean squares of the residuals with and without the transient.
	transientError, meanError float64
}

// Estimate is what is believed of an endpoint at one time.
type Estimate struct {
	Unit      float64 // Seconds that a unit of work takes up to the knee; zero if unknown.
	Knee      float64 // Load from which more load only adds waiting, in requests; zero if unknown.
	Deviation float64 // Relative standard deviation of Unit.
	Slowdown  float64 // Factor of Unit that is due to the last report; 1 if it was as usual for the endpoint.
}

// RecordLoad records the load of the endpoint, in requests.
func (e *Endpoint) RecordLoad(load float64, now time.Time) {
	if e.loadAt.IsZero() {
		e.load, e.meanLoad = load, load
	} else {
		elapsed := max(now.Sub(e.loadAt), 0).Seconds()
		memory := max(math.Exp(e.times.unit.mean+e.transientAt(now)), minLoadMemory.Seconds())
		e.load = e.lastLoad + (e.load-e.lastLoad)*math.Exp(-elapsed/memory)
		if elapsed > 2*memory { // The load in between is not known.
			e.load = load
		}
		e.meanLoad += min(1-math.Exp(-elapsed/utilizationTime.Seconds()), maxLoadWeight) * (load - e.meanLoad)
	}
	e.lastLoad, e.loadAt = load, now
}

// MeanLoad returns the mean load of the last second or so, in requests. It decreases
// without new loads, so that a load that was high once does not keep requests away.
func (e *Endpoint) MeanLoad(now time.Time) float64 {
	return e.meanLoad * math.Exp2(-max(now.Sub(e.loadAt), 0).Seconds()/loadHalfLife.Seconds())
}

// RecordSlowdown records a slowdown that the endpoint reports with its load in
// requests; 1 is usual. Whether reported slowdowns include the waiting beyond the knee
// is learned.
func (e *Endpoint) RecordSlowdown(slowdown, load float64, slots int, now time.Time) {
	if !(slowdown > 0) || math.IsInf(slowdown, 0) {
		return
	}
	c := &e.slowdowns
	residual := c.residual(math.Log(slowdown), max(load, 1), slots, now)
	w := 1.0
	if c.unit.count > 0 {
		w = 1 - math.Exp(-max(now.Sub(c.unit.at), 0).Seconds()/slowdownMemory.Seconds())
	}
	c.learn(residual, w, load, slots, now)
	e.transient = residual
}

// transientAt returns the logarithm of the factor of the unit at now that is due to the
// last reported slowdown. It is zero if the reports don't explain the results.
func (e *Endpoint) transientAt(now time.Time) float64 {
	if e.slowdowns.unit.count == 0 || e.transientError > e.meanError {
		return 0
	}
	return e.transient * math.Exp2(-max(now.Sub(e.slowdowns.unit.at), 0).Seconds()/slowdownHalfLife.Seconds())
}

// RecordResult records that a request took the given time at an endpoint with the
// given number of slots. The load and the slowdown have to be recorded before.
func (e *Endpoint) RecordResult(took time.Duration, slots int, now time.Time) {
	if took <= 0 {
		return
	}
	load := max((e.load+e.lastLoad)/2, 1)
	transient := e.transientAt(now)
	c := &e.times
	residual := c.residual(math.Log(took.Seconds())-transient, load, slots, now)
	e.compareTransient(residual + transient)
	if load > float64(slots) && residual < 0 {
		// While a queue grows, a request met a shorter one than it left, and looks fast. Taken
		// for speed, that would draw ever more requests to the queue.
		return
	}
	c.learn(residual, c.unit.weight(residual, now), load, slots, now)
}

// compareTransient records a residual without the transient, to find out whether the
// reported slowdowns explain the results.
func (e *Endpoint) compareTransient(residual float64) {
	if e.slowdowns.unit.count > 0 {
		with := residual - e.transient
		e.transientError += errorWeight * (with*with - e.transientError)
		e.meanError += errorWeight * (residual*residual - e.meanError)
	}
}

// Estimate returns what is believed at now.
func (e *Endpoint) Estimate(now time.Time) Estimate {
	if e.times.unit.count < minValues {
		return Estimate{}
	}
	transient := e.transientAt(now)
	return Estimate{
		Unit: math.Exp(e.times.unit.mean + transient), Knee: e.times.steadyKnee,
		Deviation: e.times.unit.uncertainty(now), Slowdown: math.Exp(transient),
	}
}

// Results returns the number of results that were recorded.
func (e *Endpoint) Results() int { return e.times.unit.count }

// Relation is an estimate in relation to those of the other endpoints of a service.
type Relation struct {
	Slowness float64 // Ratio of the time of a unit of work to that of the typical endpoint.
	Knee     float64 // In requests.
	Unit     float64 // Seconds; zero if unknown.
}

// Relate relates estimates to their median, and appends the relations to dst. An
// unknown estimate, and one that equals the median within its uncertainty, has a
// slowness of 1. The knee is the number of slots unless its share of the slots differs
// from the median share.
func Relate(dst []Relation, estimates []Estimate, slots []int) []Relation {
	typicalUnit := median(estimates, func(e *Estimate, _ int) float64 { return e.Unit }, slots)
	typicalShare := median(estimates, func(e *Estimate, slots int) float64 { return e.Knee / float64(max(slots, 1)) }, slots)
	for i, e := range estimates {
		s := max(float64(slots[i]), 1)
		r := Relation{Slowness: 1, Knee: s, Unit: e.Unit}
		if e.Unit > 0 {
			r.Slowness = math.Exp(significant(math.Log(e.Unit/typicalUnit), e.Deviation))
			r.Knee = min(s*math.Exp(significant(math.Log(e.Knee/s/typicalShare), kneeDeviations*e.Deviation)), s)
		}
		dst = append(dst, r)
	}
	return dst
}

// kneeDeviations is the ratio of the uncertainty of the knee to that of the unit. Few
// results are beyond the knee.
const kneeDeviations = 2.0

// median returns the lower median of a quantity of the known estimates, or 1 if none is
// known.
func median(estimates []Estimate, quantity func(e *Estimate, slots int) float64, slots []int) float64 {
	var buffer [64]float64
	values := buffer[:0]
	for i := range estimates {
		if estimates[i].Unit > 0 {
			values = append(values, quantity(&estimates[i], slots[i]))
		}
	}
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
