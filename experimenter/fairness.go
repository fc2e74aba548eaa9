package experimenter

import "math"

// fairness follows the service that customers get at one endpoint. The service
// gap of two customers is the difference of the output tokens that they got,
// each over its weight, since both have had requests waiting without a break.
// This is the service that the owner charges.
type fairness struct {
	customers []Customer
	waiting   []int
	served    []float64 // Tokens over weight.
	pairs     []pair
	largest   float64
}

// pair holds the service of two customers when their common backlog began.
type pair struct {
	a, b   int
	active bool
	ahead  float64 // Of a over b.
}

func newFairness(cs []Customer) *fairness {
	x := &fairness{
		customers: cs,
		waiting:   make([]int, len(cs)),
		served:    make([]float64, len(cs)),
	}
	for i := range cs {
		for k := range i {
			x.pairs = append(x.pairs, pair{a: k, b: i})
		}
	}
	return x
}

// wait adds n requests to the backlog of customer i.
func (x *fairness) wait(i, n int) { x.waiting[i] += n }

// serve counts a token produced for customer i.
func (x *fairness) serve(i int) { x.served[i] += 1 / x.customers[i].Weight }

// sample looks at all pairs once.
func (x *fairness) sample() {
	for i := range x.pairs {
		p := &x.pairs[i]
		ahead := x.served[p.a] - x.served[p.b]
		both := x.waiting[p.a] > 0 && x.waiting[p.b] > 0
		if both && p.active {
			x.largest = max(x.largest, math.Abs(ahead-p.ahead))
		}
		if both && !p.active {
			p.ahead = ahead
		}
		p.active = both
	}
}
