package experimenter

import "math"

// fairness measures the service that customers receive at one endpoint. The
// service gap of two customers is the difference between their output tokens,
// each divided by the customer's weight, since both became continuously
// backlogged. Output tokens are also what the admission owner charges.
type fairness struct {
	customers []Customer
	backlog   []int
	served    []float64 // Output tokens divided by weight.
	pairs     []pair
	maxGap    float64
}

// pair compares the service of two customers since both became backlogged.
type pair struct {
	a, b        int
	backlogged  bool
	initialLead float64 // Service of a minus that of b when both became backlogged.
}

func newFairness(cs []Customer) *fairness {
	x := &fairness{
		customers: cs,
		backlog:   make([]int, len(cs)),
		served:    make([]float64, len(cs)),
	}
	for i := range cs {
		for k := range i {
			x.pairs = append(x.pairs, pair{a: k, b: i})
		}
	}
	return x
}

// addBacklog adds n requests, which may be negative, to the backlog of customer i.
func (x *fairness) addBacklog(i, n int) { x.backlog[i] += n }

// addToken counts an output token for customer i.
func (x *fairness) addToken(i int) { x.served[i] += 1 / x.customers[i].Weight }

// sample updates the pairs and the largest service gap.
func (x *fairness) sample() {
	for i := range x.pairs {
		p := &x.pairs[i]
		lead := x.served[p.a] - x.served[p.b]
		bothBacklogged := x.backlog[p.a] > 0 && x.backlog[p.b] > 0
		if bothBacklogged && p.backlogged {
			x.maxGap = max(x.maxGap, math.Abs(lead-p.initialLead))
		}
		if bothBacklogged && !p.backlogged {
			p.initialLead = lead
		}
		p.backlogged = bothBacklogged
	}
}
