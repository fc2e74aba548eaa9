package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

// uniform returns endpoints with 6 slots and the given speeds.
func uniform(speeds ...func(float64) float64) []*modelEndpoint {
	var all []*modelEndpoint
	for _, s := range speeds {
		all = append(all, &modelEndpoint{slots: 6, knee: 6, speed: s})
	}
	return all
}

// declining returns a speed that falls from 1 to 0.4 between 10 and 50 s.
func declining(t float64) float64 { return 1 - 0.6*min(max((t-10)/40, 0), 1) }

// Guards against an endpoint that is overloaded, or that carries far less than it can, because its
// speed or its knee is believed wrongly.
func TestEndpointsCarryWhatTheyCan(t *testing.T) {
	one := steadySpeed(1)
	periods := uniform(slowPeriods(0), slowPeriods(1), slowPeriods(2), slowPeriods(3))
	for name, c := range map[string]struct {
		model
		load    float64 // In relation to the capacity at the end.
		carried float64 // What each endpoint carries at least, in relation to its capacity.
	}{
		"page fleet, 234 requests/s":                           {model{endpoints: pageFleet(), daemons: 1}, 0.85, 0.8},
		"page fleet, fourth figure with the waiting":           {model{endpoints: pageFleet(), daemons: 1, slowdowns: 2}, 0.85, 0.8},
		"speeds 0.7 and 1.7":                                   {model{endpoints: uniform(steadySpeed(0.7), steadySpeed(0.7), steadySpeed(0.7), steadySpeed(1.7), steadySpeed(1.7)), daemons: 1}, 0.85, 0.8},
		"2.5 times slower for 600 ms of 4 s":                   {model{endpoints: periods, daemons: 1}, 0.7, 0.65},
		"2.5 times slower for 600 ms of 4 s, fourth figure":    {model{endpoints: periods, daemons: 1, slowdowns: 1}, 0.7, 0.65},
		"slow decline to 0.4":                                  {model{endpoints: uniform(declining, one, one), daemons: 1}, 0.85, 0.7},
		"one reports that it is idle":                          {model{endpoints: pageFleet(), daemons: 1, falsify: func(i int, l *Load) { *l = Load{Running: min(l.Running, i*9), Slots: 6} }}, 0.85, 0.7},
		"one reports a slowdown of 100 or 0.01":                {model{endpoints: pageFleet(), daemons: 1, slowdowns: 1, falsify: func(i int, l *Load) { l.Slowdown *= math.Pow(100, float64(l.Running%3-1)*float64(i/3)) }}, 0.85, 0.7},
		"195 daemons, one result a second each":                {model{endpoints: pageFleet(), daemons: 195}, 195 / 275.0, 0.3},
		"60 daemons, 234 requests/s":                           {model{endpoints: pageFleet(), daemons: 60}, 0.85, 0.3},
		"7 alike endpoints, 60 daemons, work scattered by 50%": {model{endpoints: uniform(one, one, one, one, one, one, one), daemons: 60, spread: 0.5}, 0.7, 0.65},
	} {
		t.Run(name, func(t *testing.T) {
			m := c.model
			m.workMs, m.goalMs, m.seconds, m.from = 60, 300, 80, 40
			if m.spread == 0 {
				m.spread = 0.1
			}
			total, each := m.capacity(float64(m.seconds) - 0.1)
			m.rate = c.load * total
			r := m.run(1, ours)
			t.Logf("%.0f requests/s: %.4f in the goal, p95 %.0f ms, p99 %.0f ms, past the knee for %.0f ms", m.rate, r.inGoal, r.p95, r.p99, m.endpoints[len(m.endpoints)-1].pastKneeMost)
			assert.Assert(t, r.inGoal >= 0.99, "%.4f", r.inGoal)
			for i := range each {
				carried := r.shares[i] * m.rate / each[i]
				t.Logf("endpoint %d carries %.2f", i, carried)
				assert.Assert(t, carried >= c.carried, "endpoint %d: %.2f", i, carried)
				if knee := m.endpoints[i]; m.daemons == 1 && knee.knee < 6 {
					assert.Assert(t, knee.pastKneeMost <= 1000, "%.0f ms", knee.pastKneeMost)
				}
			}
		})
	}
}

// Guards against work that does not return after a slow endpoint has recovered, and against requests
// that may not be repeated and try an endpoint that is believed to miss their goal. The load is 190
// requests/s at three endpoints with 100 each, one of which needs 600 ms until 40 s.
func TestWorkReturnsAfterRecovery(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		one := steadySpeed(1)
		m := &model{endpoints: uniform(one, one, func(t float64) float64 {
			if t < 40 {
				return 0.1
			}
			return 1
		}), daemons: 1, workMs: 60, spread: 0.1, goalMs: 300, seconds: 70, from: 20, rate: 150, unsafe: unsafe}
		r := m.run(1, ours)
		before, soon := 0, 0
		for s, got := range r.bySecond {
			if s >= 20 && s < 40 {
				before += got[2]
			}
			if s == 50 {
				soon = got[2]
			}
		}
		t.Logf("unsafe %v: %.4f in the goal, %d of 3000 before the recovery, %d in the second 10 s after it", unsafe, r.inGoal, before, soon)
		assert.Assert(t, before <= 30, "%d", before)
		if unsafe {
			assert.Equal(t, before, 0)
		} else {
			assert.Assert(t, soon >= 40, "%d", soon)
		}
	}
}

// Guards against shares that swing under a steady load of 234 requests/s: an endpoint with a knee
// would be judged fast and slow by turns.
func TestShareIsSteady(t *testing.T) {
	last := make([]float64, 4)
	worst := 0.0
	m := &model{endpoints: pageFleet(), daemons: 1, workMs: 60, spread: 0.1, goalMs: 300, seconds: 80, rate: 234}
	m.second = func(m *model, second int, pickers []modelPick) {
		b := pickers[0].(*Balancer)
		b.relate(m.list(), modelStart.Add(time.Duration(second+1)*time.Second))
		total := 0.0
		for _, r := range b.relations {
			total += r.Knee / r.Slowness
		}
		for i, r := range b.relations {
			share := r.Knee / r.Slowness / total
			if second >= 20 {
				worst = max(worst, math.Abs(share/last[i]-1))
			}
			last[i] = share
		}
	}
	m.run(1, ours)
	t.Logf("largest change of a share from one second to the next: %.3f", worst)
	assert.Assert(t, worst < 0.1, "%.3f", worst)
}

// Guards against decisions that change where all endpoints are alike: shares and latencies must be
// those of the load alone. The load is 245 requests/s at three endpoints with 100 each.
func TestAlikeEndpointsAreChosenByLoad(t *testing.T) {
	one := steadySpeed(1)
	newModel := func() *model {
		return &model{endpoints: uniform(one, one, one), daemons: 1, workMs: 60, spread: 0.3, goalMs: 300, seconds: 60, from: 10, rate: 245}
	}
	got, want := newModel().run(1, ours), newModel().run(1, newRival("report"))
	for i := range want.shares {
		assert.Assert(t, math.Abs(got.shares[i]/want.shares[i]-1) < 0.02, "%v, by load alone %v", got.shares, want.shares)
	}
	assert.Assert(t, got.p99 <= want.p99*1.05, "%.0f ms, by load alone %.0f ms", got.p99, want.p99)
}

// Guards against a high load, reported before the network was cut, that keeps requests away after it.
// The load is 40 requests/s, one at a time, at endpoints that are not alike.
func TestStaleReportIsForgotten(t *testing.T) {
	b := New("d0", rand.New(rand.NewPCG(1, 1)))
	m := &model{endpoints: pageFleet()}
	all, now := m.list(), modelStart
	send := func(n int, load Load) (got int) {
		for range n {
			e, _ := b.Pick(all, nil, now)
			now = now.Add(25 * time.Millisecond)
			r := Result{Latency: 20 * time.Millisecond, Load: &Load{Running: 4, Slots: 6}}
			if e.Name == "0" {
				got++
				r.Load = &load
			}
			if e.Name == "2" {
				r.Latency *= 4
			}
			b.Done(e.Identity, r, now)
		}
		return got
	}
	send(400, Load{Running: 4, Slots: 6})
	b.PickFor(Request{}, all[:1], nil, now)
	b.Done(registrar.Identity{Name: "0"}, Result{Latency: time.Second, Load: &Load{Running: 6, Queued: math.MaxInt, Slots: 6}}, now)
	now = now.Add(10 * time.Second)
	got := send(400, Load{Running: 4, Slots: 6})
	assert.Assert(t, got >= 40, "%d of 400", got)
}

// BenchmarkPick measures a decision and its result among endpoints that are not alike.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 60} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New("d0", rand.New(rand.NewPCG(1, 1)))
			m := &model{}
			for len(m.endpoints) < n {
				m.endpoints = append(m.endpoints, pageFleet()...)
			}
			all, now := m.list(), modelStart
			speeds := map[registrar.Identity]float64{}
			for i, e := range all {
				speeds[e.Identity] = m.endpoints[i].speed(0)
			}
			for i := range b.N + 1000 {
				if i == 1000 {
					b.ReportAllocs()
					b.ResetTimer()
				}
				e, _ := p.Pick(all, nil, now)
				now = now.Add(time.Millisecond)
				p.Done(e.Identity, Result{Latency: time.Duration(60/speeds[e.Identity]) * time.Millisecond, Load: &Load{Running: 3, Slots: 6}}, now)
			}
		})
	}
}
