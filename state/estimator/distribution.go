package estimator

import "sort"

// Distribution is an immutable distribution of output lengths, in tokens.
type Distribution struct {
	survival [bucketCount]float64 // P(length >= lowerBound(i)).
	area     [bucketCount]float64 // Integral of the survival function from lowerBound(i).
	moment   [bucketCount]float64 // Integral of x times the survival function from lowerBound(i).
}

// tailFactor is the length at which the survival function reaches zero, as a
// multiple of the largest lower bound.
const tailFactor = 2

// newDistribution returns the distribution in which the probability of bucket i
// is proportional to mass[i].
func newDistribution(mass *[bucketCount]float64) *Distribution {
	d := &Distribution{}
	sum := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		sum += mass[i]
		d.survival[i] = sum
	}
	for i := range d.survival {
		d.survival[i] /= sum
	}
	for i := bucketCount - 1; i >= 0; i-- {
		x0, x1, s1 := float64(lowerBound(i)), upperBound(i), 0.0
		if i+1 < bucketCount {
			s1 = d.survival[i+1]
			d.area[i], d.moment[i] = d.area[i+1], d.moment[i+1]
		}
		area, moment := integrate(x0, x1, d.survival[i], s1)
		d.area[i] += area
		d.moment[i] += moment
	}
	return d
}

// upperBound returns the end of bucket i.
func upperBound(i int) float64 {
	if i+1 < bucketCount {
		return float64(lowerBound(i + 1))
	}
	return float64(tailFactor * lowerBound(i))
}

// integrate returns the integrals of s and of x*s over [x0, x1], where s is linear
// from s0 to s1.
func integrate(x0, x1, s0, s1 float64) (area, moment float64) {
	w := x1 - x0
	area = w * (s0 + s1) / 2
	moment = w * (x0*(2*s0+s1) + x1*(s0+2*s1)) / 6
	return area, moment
}

// Survival returns the probability of a length of at least n.
func (d *Distribution) Survival(n int) float64 {
	i := bucketIndex(n)
	if i < subCount {
		return d.survival[i]
	}
	s0, s1 := d.survival[i], 0.0
	if i+1 < bucketCount {
		s1 = d.survival[i+1]
	}
	x0, x1 := float64(lowerBound(i)), upperBound(i)
	x := min(float64(n), x1)
	return s0 + (s1-s0)*(x-x0)/(x1-x0)
}

// integrals returns the integrals of the survival function and of x times the
// survival function from n.
func (d *Distribution) integrals(n int) (area, moment float64) {
	i := bucketIndex(n)
	x1, s1 := upperBound(i), 0.0
	if i+1 < bucketCount {
		s1 = d.survival[i+1]
		area, moment = d.area[i+1], d.moment[i+1]
	}
	x0 := min(float64(n), x1)
	a, m := integrate(x0, x1, d.Survival(n), s1)
	return area + a, moment + m
}

// Bounded is a Distribution truncated at the output limit of one request. A Limit
// of zero means no limit.
type Bounded struct {
	Dist  *Distribution
	Limit int // Tokens.
}

// Survival returns the conditional survival probability: the probability that a
// generation that is unfinished after produced tokens is still unfinished after
// further more tokens.
func (b Bounded) Survival(produced, further int) float64 {
	if b.Limit > 0 && produced+further >= b.Limit {
		return 0
	}
	current := b.Dist.Survival(produced + 1)
	if current <= 0 {
		return 0
	}
	return b.Dist.Survival(produced+further+1) / current
}

// SurvivalAt sets out[i] to Survival(produced, further[i]). The slices have the same
// length, and further is in ascending order.
func (b Bounded) SurvivalAt(produced int, further []int, out []float64) {
	clear(out)
	current := b.Dist.Survival(produced + 1)
	if current <= 0 {
		return
	}
	scale := 1 / current
	for i, n := range further {
		if b.Limit > 0 && produced+n >= b.Limit {
			return
		}
		out[i] = b.Dist.Survival(produced+n+1) * scale
	}
}

// Residual returns the mean and the variance of the number of remaining tokens of
// a generation that has produced the given number of tokens.
func (b Bounded) Residual(produced int) (mean, variance float64) {
	current := b.Dist.Survival(produced + 1)
	if current <= 0 || (b.Limit > 0 && produced >= b.Limit) {
		return 1, 0
	}
	area, moment := b.Dist.integrals(produced + 1)
	if b.Limit > 0 {
		a, m := b.Dist.integrals(b.Limit)
		area, moment = area-a, moment-m
	}
	mean = area / current
	secondMoment := 2 * (moment - float64(produced+1)*area) / current
	return 1 + mean, max(secondMoment-mean*mean, 0)
}

// Quantile returns the smallest number of further tokens within which a generation
// that has produced the given number of tokens finishes with a probability of at
// least q.
func (b Bounded) Quantile(produced int, q float64) int {
	maxTokens := tailFactor << maxOctave
	if b.Limit > 0 {
		maxTokens = max(b.Limit-produced, 0)
	}
	return sort.Search(maxTokens, func(n int) bool {
		return b.Survival(produced, n) <= 1-q
	})
}
