package gauger

import (
	"math"
	"time"
)

// Rate is the estimate of a positive quantity. The zero value knows nothing.
type Rate struct{ average }

// Record records a value. Values that are not positive and finite are ignored.
func (r *Rate) Record(value float64, now time.Time) {
	if !(value > 0) || math.IsInf(value, 0) {
		return
	}
	x := math.Log(value)
	if r.count == 0 {
		r.mean = x
	}
	residual := min(max(x-r.mean, -maxResidual), maxResidual)
	r.mean += r.weightWith(changedRate, residual, now) * residual
	r.learn(residual, now)
}

// rateHalfLife is the half-life of a difference without new values: an engine that gets no work since
// it was slow is tried again.
const rateHalfLife = 30 * time.Second

// Measured returns the estimate at now.
func (r *Rate) Measured(now time.Time) Measured {
	if r.count < minValues {
		return Measured{Deviation: math.Inf(1)}
	}
	return Measured{Value: math.Exp(r.mean), Deviation: r.uncertainty(now), Memory: math.Exp2(-max(now.Sub(r.at), 0).Seconds() / rateHalfLife.Seconds())}
}

// Measured is an estimated quantity.
type Measured struct {
	Value     float64 // Zero if unknown.
	Deviation float64 // Relative standard deviation.
	Memory    float64 // Weight of the difference to other endpoints, which falls with the age of the newest value; 1 for a new one.
}

// Normalize divides quantities of several endpoints by the mean of the known ones.
func Normalize(all []Measured) {
	sum, n := 0.0, 0
	for _, m := range all {
		if m.Value > 0 {
			sum += m.Value
			n++
		}
	}
	for i := range all {
		if all[i].Value > 0 {
			all[i].Value *= float64(n) / sum
		}
	}
}

// Combine returns the mean of two normalized quantities, weighted by their precision,
// or 1 if it equals 1 within its uncertainty. The errors of the two are correlated, since both contain the load
// of the engine, so that the mean is not more certain than the better one.
func Combine(a, b Measured) float64 {
	x, weight := 0.0, 0.0
	deviation := math.Inf(1)
	for _, m := range [...]Measured{a, b} {
		if m.Value > 0 {
			w := 1 / (m.Deviation * m.Deviation)
			x += w * m.Memory * math.Log(m.Value)
			weight += w
			deviation = min(deviation, m.Deviation)
		}
	}
	if weight == 0 {
		return 1
	}
	margin := slowerMargin
	if x > 0 {
		margin = fasterMargin
	}
	return math.Exp(significantBeyond(margin, x/weight, deviation))
}
