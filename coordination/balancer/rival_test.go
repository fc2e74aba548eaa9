package balancer

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"monsoonspar.example/state/gauger"
	"monsoonspar.example/state/registrar"
)

// rival is one of the policies that the design page compares with the balancer.
type rival struct {
	kind   string
	domain string
	rand   *rand.Rand
	states map[registrar.Identity]*rivalState
}

type rivalState struct {
	inFlight             int
	load                 Load
	loadAt, at           time.Time
	latency, best, limit float64
}

func newRival(kind string) func(string, *rand.Rand) modelPick {
	return func(domain string, r *rand.Rand) modelPick {
		return &rival{kind: kind, domain: domain, rand: r, states: map[registrar.Identity]*rivalState{}}
	}
}

// PickFor implements modelPick.
func (v *rival) PickFor(_ Request, all []registrar.Endpoint, _ map[registrar.Identity]bool, now time.Time) (registrar.Endpoint, bool) {
	fastest := math.Inf(1)
	for _, e := range all {
		if v.states[e.Identity] == nil {
			v.states[e.Identity] = &rivalState{limit: float64(e.Slots)}
		}
		if s := v.states[e.Identity]; s.latency > 0 {
			fastest = min(fastest, s.latency)
		}
	}
	var best registrar.Endpoint
	bestCost := math.Inf(1)
	for _, e := range all {
		s := v.states[e.Identity]
		load := float64(s.inFlight)
		if age := now.Sub(s.loadAt); age < 8*loadHalfLife {
			load = max(load, float64(s.load.Running+s.load.Queued)/float64(int64(1)<<(age/loadHalfLife)))
		}
		cost := load/float64(e.Slots) + jitterLoad*v.rand.Float64()
		switch v.kind {
		case "before":
			if s.latency > 0 {
				cost += (min(s.latency/fastest, maxSlowRatio) - 1) / float64(e.Slots) * math.Exp2(-now.Sub(s.at).Seconds()/latencyHalfLife.Seconds())
			}
		case "gradient", "aimd":
			cost = load/s.limit + jitterLoad*v.rand.Float64()
		}
		if e.Domain != v.domain {
			cost += otherDomainLoad
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	v.states[best.Identity].inFlight++
	return best, true
}

// Done implements modelPick. The gradient is that of published limits on concurrency: the limit
// times the ratio of the lowest latency, with a tolerance of 1.5, to the present one, plus the root
// of the limit. Additive increase and multiplicative decrease react to twice the lowest latency
// of all endpoints.
func (v *rival) Done(id registrar.Identity, r Result, now time.Time) {
	s := v.states[id]
	s.inFlight--
	s.load, s.loadAt = *r.Load, now
	l := r.Latency.Seconds()
	if s.latency == 0 {
		s.latency, s.best = l, l
	}
	s.latency += newResultWeight * (l - s.latency)
	s.best, s.at = min(s.best, l), now
	lowest := math.Inf(1)
	for _, o := range v.states {
		if o.best > 0 {
			lowest = min(lowest, o.best)
		}
	}
	switch {
	case v.kind == "gradient":
		next := s.limit*min(max(1.5*s.best/l, 0.5), 1) + math.Sqrt(s.limit)
		s.limit = min(max(s.limit+0.2*(next-s.limit), 1), 64)
	case v.kind == "aimd" && l > 2*lowest:
		s.limit = max(s.limit*0.9, 0.5)
	case v.kind == "aimd":
		s.limit = min(s.limit+1/s.limit, 64)
	}
}

// sharing returns a policy whose daemons share their estimates at no delay and no cost, which
// bounds what updates about estimates could gain.
func sharing() func(string, *rand.Rand) modelPick {
	gauges := map[string]*gauger.Endpoint{}
	return func(domain string, r *rand.Rand) modelPick {
		b := New(domain, r)
		for i := range pageFleet() {
			id := registrar.Identity{Name: fmt.Sprint(i)}
			if gauges[id.Name] == nil {
				gauges[id.Name] = &gauger.Endpoint{}
			}
			b.state(id).gauge = gauges[id.Name]
		}
		return b
	}
}

var printTable = flag.Bool("table", false, "measure the table of docs/design/capacity.md")

// TestTable measures the table of docs/design/capacity.md.
func TestTable(t *testing.T) {
	if !*printTable {
		t.Skip("measures for minutes; run with -table")
	}
	for _, name := range []string{"ours", "ours, shared", "before", "report", "gradient", "aimd"} {
		policy := func() func(string, *rand.Rand) modelPick {
			switch name {
			case "ours":
				return ours
			case "ours, shared":
				return sharing()
			}
			return newRival(name)
		}
		for _, daemons := range []int{1, 60, 195} {
			newModel := func(load float64) *model {
				m := &model{endpoints: pageFleet(), daemons: daemons, workMs: 60, spread: 0.1, goalMs: 300, seconds: 60, from: 30}
				total, _ := m.capacity(0)
				m.rate = load * total
				return m
			}
			in, p95, p99, slow, seeds := 0.0, 0.0, 0.0, 0.0, 5.0
			for seed := range uint64(seeds) {
				m := newModel(0.85)
				_, each := m.capacity(0)
				r := m.run(seed, policy())
				in, p95, p99, slow = in+r.inGoal/seeds, p95+r.p95/seeds, p99+r.p99/seeds, slow+r.shares[2]*m.rate/each[2]/seeds
			}
			falls := 0.0
			for load := 0.3; load < 1.2; load += 0.05 {
				if newModel(load).run(1, policy()).inGoal < 0.99 {
					break
				}
				falls = load
			}
			t.Logf("| %s | %d | %.2f%% | %.0f | %.0f | %.2f | %.2f | %s | %s |", name, daemons, 100*in, p95, p99, slow, falls,
				adaptTime(newModel(0.7), policy(), 1, 0.25), adaptTime(newModel(0.7), policy(), 0.25, 1))
		}
	}
}

// adaptTime returns the time after which the share of the third endpoint is within a tenth of the
// change to its final value, when its speed changes after 60 s.
func adaptTime(m *model, policy func(string, *rand.Rand) modelPick, from, to float64) string {
	m.seconds, m.from = 180, 120
	m.endpoints[2].speed = func(t float64) float64 {
		if t < 60 {
			return from
		}
		return to
	}
	r := m.run(1, policy)
	share := func(first, last int) float64 {
		n, total := 0, 0
		for _, s := range r.bySecond[first:last] {
			n += s[2]
			for _, c := range s {
				total += c
			}
		}
		return float64(n) / float64(total)
	}
	before, after := share(40, 60), share(120, 180)
	if math.Abs(after-before) < 0.03 {
		return "no change"
	}
	for s := 60; s < 120; s++ {
		if (share(s, s+2)-before)/(after-before) >= 0.9 {
			return (time.Duration(s-59) * time.Second).String()
		}
	}
	return "over 60 s"
}
