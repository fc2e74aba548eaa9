package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonspar.example/state/registrar"
)

// modelStart is the time at which a model begins.
var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// modelEndpoint is an endpoint of the model. It runs up to slots requests at a time; more
// than knee of them share the speed of knee.
type modelEndpoint struct {
	slots int
	knee  float64
	speed func(t float64) float64 // By the time in seconds; 1 is usual.

	running, queue []*modelRequest
	pastKneeMost   float64 // Longest time with more than the knee, in ms.
	pastKneeNow    float64
}

// factor returns the speed of each running request.
func (e *modelEndpoint) factor(t float64) float64 {
	return e.speed(t) * min(1, e.knee/float64(max(len(e.running), 1)))
}

// modelRequest is a request of the model; times are in ms.
type modelRequest struct {
	daemon, endpoint int
	left             float64
	sent             float64
}

// model is a fleet in virtual time, in steps of 1 ms.
type model struct {
	endpoints []*modelEndpoint
	daemons   int
	rate      float64 // Requests per second.
	workMs    float64
	spread    float64 // Standard deviation of the work, relative.
	goalMs    float64
	seconds   int
	slowdowns int                                             // 0: no fourth figure, 1: speed alone, 2: with the waiting beyond the knee.
	falsify   func(endpoint int, l *Load)                     // Changes a report.
	unsafe    bool                                            // No request may be repeated.
	second    func(m *model, second int, pickers []modelPick) // Called each second.
	from      int                                             // First second that counts.
}

// modelPick is a policy at one daemon.
type modelPick interface {
	PickFor(q Request, endpoints []registrar.Endpoint, exclude map[registrar.Identity]bool, now time.Time) (registrar.Endpoint, bool)
	Done(id registrar.Identity, r Result, now time.Time)
}

// modelResult is what a model measures.
type modelResult struct {
	inGoal   float64 // Share of the requests.
	p95, p99 float64 // In ms.
	shares   []float64
	bySecond [][]int // Requests of each endpoint, by second.
}

// capacity returns the requests per second that the endpoints can carry at time t.
func (m *model) capacity(t float64) (total float64, each []float64) {
	for _, e := range m.endpoints {
		c := min(e.knee, float64(e.slots)) * e.speed(t) * 1000 / m.workMs
		each = append(each, c)
		total += c
	}
	return total, each
}

// list returns the endpoints as the registrar has them.
func (m *model) list() []registrar.Endpoint {
	var all []registrar.Endpoint
	for i, e := range m.endpoints {
		all = append(all, registrar.Endpoint{Identity: registrar.Identity{Name: fmt.Sprint(i)}, Slots: e.slots, Domain: fmt.Sprint("d", i%3)})
	}
	return all
}

// step lets the requests run for 1 ms and returns those that have ended.
func (m *model) step(t float64) (ended []*modelRequest) {
	for _, e := range m.endpoints {
		f := e.factor(t)
		e.running = slices.DeleteFunc(e.running, func(r *modelRequest) bool {
			r.left -= f
			if r.left <= 0 {
				ended = append(ended, r)
			}
			return r.left <= 0
		})
		for len(e.queue) > 0 && len(e.running) < e.slots {
			e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
		}
		if float64(len(e.running)+len(e.queue)) >= e.knee+1 {
			e.pastKneeNow++
			e.pastKneeMost = max(e.pastKneeMost, e.pastKneeNow)
		} else {
			e.pastKneeNow = 0
		}
	}
	return ended
}

// report returns the load that an endpoint reports.
func (m *model) report(i int, t float64) *Load {
	e := m.endpoints[i]
	l := &Load{Running: len(e.running), Queued: len(e.queue), Slots: e.slots}
	switch m.slowdowns {
	case 1:
		l.Slowdown = 1 / e.speed(t)
	case 2:
		l.Slowdown = 1 / e.factor(t)
	}
	if m.falsify != nil {
		m.falsify(i, l)
	}
	return l
}

// run runs the model with a policy for each daemon.
func (m *model) run(seed uint64, policy func(domain string, r *rand.Rand) modelPick) modelResult {
	r := rand.New(rand.NewPCG(seed, 7))
	var pickers []modelPick
	for i := range m.daemons {
		pickers = append(pickers, policy(fmt.Sprint("d", i%3), rand.New(rand.NewPCG(seed, uint64(i)))))
	}
	all := m.list()
	res := modelResult{}
	var times []float64
	counted, inGoal := 0, 0
	got := make([]int, len(all))
	next := 0.0
	for ms := 0.0; ms < float64(m.seconds)*1000; ms++ {
		now := modelStart.Add(time.Duration(ms * float64(time.Millisecond)))
		for ; next <= ms; next += r.ExpFloat64() * 1000 / m.rate {
			d := r.IntN(m.daemons)
			e, _ := pickers[d].PickFor(Request{Goal: time.Duration(m.goalMs * float64(time.Millisecond)), Unsafe: m.unsafe}, all, nil, now)
			i := slices.IndexFunc(all, func(o registrar.Endpoint) bool { return o.Name == e.Name })
			work := m.workMs * max(1+m.spread*r.NormFloat64(), 0.2)
			m.endpoints[i].queue = append(m.endpoints[i].queue, &modelRequest{daemon: d, endpoint: i, left: work, sent: ms})
			got[i]++
		}
		for _, q := range m.step(ms / 1000) {
			took := ms - q.sent
			pickers[q.daemon].Done(all[q.endpoint].Identity, Result{Latency: time.Duration(took * float64(time.Millisecond)), Load: m.report(q.endpoint, ms/1000)}, now)
			if q.sent < float64(m.from)*1000 {
				continue
			}
			counted++
			times = append(times, took)
			if took <= m.goalMs {
				inGoal++
			}
		}
		if int(ms)%1000 == 999 {
			res.bySecond = append(res.bySecond, slices.Clone(got))
			clear(got)
			if m.second != nil {
				m.second(m, int(ms)/1000, pickers)
			}
			if int(ms)/1000 == m.from {
				for _, e := range m.endpoints {
					e.pastKneeMost = 0
				}
			}
		}
	}
	res.finish(m, times, counted, inGoal, r)
	return res
}

// finish computes the figures. Requests that never ended count as late.
func (res *modelResult) finish(m *model, times []float64, counted, inGoal int, _ *rand.Rand) {
	late := 0
	for _, e := range m.endpoints {
		late += len(e.queue)
	}
	slices.Sort(times)
	if len(times) > 0 {
		res.p95, res.p99 = times[len(times)*95/100], times[len(times)*99/100]
	}
	res.inGoal = float64(inGoal) / math.Max(float64(counted+late), 1)
	total := 0.0
	res.shares = make([]float64, len(m.endpoints))
	for s := m.from; s < len(res.bySecond); s++ {
		for i, n := range res.bySecond[s] {
			res.shares[i] += float64(n)
			total += float64(n)
		}
	}
	for i := range res.shares {
		res.shares[i] /= total
	}
}

func steadySpeed(v float64) func(float64) float64 { return func(float64) float64 { return v } }

// slowPeriods returns a speed of 1 that is 2.5 times lower for 600 ms of every 4 s.
func slowPeriods(offset float64) func(float64) float64 {
	return func(t float64) float64 {
		if math.Mod(t+offset, 4) < 0.6 {
			return 1 / 2.5
		}
		return 1
	}
}

// pageFleet is the fleet of the design page: two usual endpoints, one four times slower, and one
// with its knee at three of six requests.
func pageFleet() []*modelEndpoint {
	return []*modelEndpoint{
		{slots: 6, knee: 6, speed: steadySpeed(1)},
		{slots: 6, knee: 6, speed: steadySpeed(1)},
		{slots: 6, knee: 6, speed: steadySpeed(0.25)},
		{slots: 6, knee: 3, speed: steadySpeed(1)},
	}
}

func ours(domain string, r *rand.Rand) modelPick { return New(domain, r) }
