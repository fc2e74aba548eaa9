package placer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/emulator"
	"monsoonspar.example/state/registrar"
)

// kind describes the jobs of one route in a simulation.
type kind struct {
	name      string
	perSecond float64
	prompt    lognormal
	output    lognormal
	target    time.Duration // Of the first event.
	patience  time.Duration // The client leaves if it has no event by then.
	deadline  time.Duration
	priority  int
}

// lognormal is a log-normal distribution, truncated at limit.
type lognormal struct{ mean, sigma, limit float64 }

func (l lognormal) sample(r *rand.Rand) int {
	return int(min(max(l.mean*math.Exp(l.sigma*r.NormFloat64()-l.sigma*l.sigma/2), 1), l.limit))
}

// Long drafts, which hold memory for seconds, and short checks of lower priority,
// which hold it for little longer than their prefill.
func draftsAndChecks() []kind {
	return []kind{
		{
			name: "drafts", perSecond: 7.4, prompt: lognormal{3080, 0.35, 6080}, output: lognormal{752, 1, 1780},
			target: 1800 * time.Millisecond, patience: 7200 * time.Millisecond, deadline: 39 * time.Second, priority: 0,
		},
		{
			name: "checks", perSecond: 8.4, prompt: lognormal{2550, 0.6, 6560}, output: lognormal{9, 0.8, 33},
			target: 1500 * time.Millisecond, patience: 6 * time.Second, deadline: 6 * time.Second, priority: 1,
		},
	}
}

// Parameters of the simulation.
const (
	simulatedDaemons = 8
	arrivalTime      = 40 * time.Second // Clients arrive until then.
	updateLatency    = 15 * time.Millisecond
	tickInterval     = 50 * time.Millisecond
	reportInterval   = 400 * time.Millisecond
	engineMemory     = 21852
)

// fleet simulates daemons that share engines, and their clients.
type fleet struct {
	loop    emulator.Loop
	rand    *rand.Rand
	engines map[registrar.Identity]*emulator.Engine
	daemons []*placer.Placer
	clients []*client
	queued  map[string]*client // By job ID.
}

// client has one job. A refused client returns once, if it has the time.
type client struct {
	f            *fleet
	kind         *kind
	job          placer.Job
	outputTokens int
	daemon       *placer.Placer
	arrived      time.Time
	firstEventAt time.Time
	returned     bool
	refused      bool
	gone         bool
	answered     bool
}

// playFleet plays the kinds on a fleet with the given number of engines, whose
// daemons know the output lengths, and returns the clients. Plays with one seed
// have the same arrivals until the first refusal, but may differ in placements,
// since a Placer iterates over maps.
func playFleet(seed uint64, engineCount int, kinds []kind) []*client {
	return playSpeeds(seed, make([]float64, engineCount), kinds).clients
}

// playSpeeds is playFleet with the given speeds of the engines, in relation to the usual one; zero
// is the usual one.
func playSpeeds(seed uint64, speeds []float64, kinds []kind) *fleet {
	engineCount := len(speeds)
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), engines: map[registrar.Identity]*emulator.Engine{}, queued: map[string]*client{}}
	endpoints := engines(engineCount, "a")
	for i, ep := range endpoints {
		f.engines[ep.Identity] = emulator.New(emulator.Config{
			Name: ep.Name, MemoryTokens: engineMemory, BlockTokens: 16, MaxBatch: 24, MaxPrefillTokens: 112,
			Step: stepModel(speeds[i]),
		}, &f.loop)
		f.every(reportInterval, time.Duration(i)*reportInterval/time.Duration(engineCount), func() { f.report(ep.Identity) })
	}
	engineCfg := cfg
	engineCfg.MemoryTokens, engineCfg.Deviations = engineMemory, 1.2
	for i := range simulatedDaemons {
		p := placer.New(engineCfg, rand.New(rand.NewPCG(seed, uint64(i+2))))
		p.SetEngines(endpoints, start)
		for k := range kinds {
			for n := range 100 {
				c := f.newClient(&kinds[k], fmt.Sprint("past", n))
				p.RecordEnd(c.job, c.outputTokens, true, start)
			}
		}
		p.TakeUpdates()
		f.daemons = append(f.daemons, p)
		f.every(tickInterval, time.Duration(i)*tickInterval/simulatedDaemons, func() { f.deliverOutcomes(p) })
	}
	f.every(updateLatency, 0, func() { exchangeUpdates(f.daemons, f.now()) })
	for i := range kinds {
		f.arrive(&kinds[i])
	}
	f.loop.Run(arrivalTime + 39*time.Second)
	return f
}

// stepModel returns the steps of an engine with the given speed.
func stepModel(speed float64) emulator.StepModel {
	if speed == 0 {
		speed = 1
	}
	slowed := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
	return emulator.StepModel{Base: slowed(7 * time.Millisecond), PerSequence: slowed(120 * time.Microsecond), PerPrefillToken: slowed(time.Millisecond / 14)}
}

func (f *fleet) now() time.Time { return start.Add(f.loop.Now()) }

// every calls fn at the given interval, for the first time after a delay.
func (f *fleet) every(interval, delay time.Duration, fn func()) {
	f.loop.After(delay, func() {
		fn()
		f.every(interval, interval, fn)
	})
}

// report delivers the present report of an engine to all daemons after its lag.
func (f *fleet) report(id registrar.Identity) {
	from := f.engines[id].Report()
	r := placer.Report{Running: from.Running, Queued: from.Waiting, MemoryUsed: from.UsedTokens, MemoryTotal: engineMemory}
	for _, s := range from.Sequences {
		if s.Produced > 0 {
			r.Sequences = append(r.Sequences, placer.Sequence{ID: s.ID, Tokens: s.PromptTokens + s.Produced, Events: s.Produced / cfg.TokensPerEvent})
		}
	}
	f.loop.After(cfg.ReportLag, func() {
		for _, p := range f.daemons {
			p.Observe(id, r, f.now())
		}
	})
}

// arrive lets clients of a kind arrive at random times.
func (f *fleet) arrive(k *kind) {
	f.loop.After(time.Duration(f.rand.ExpFloat64()/k.perSecond*float64(time.Second)), func() {
		if f.loop.Now() > arrivalTime {
			return
		}
		c := f.newClient(k, fmt.Sprintf("%016x", f.rand.Uint64()))
		f.clients = append(f.clients, c)
		c.submit()
		f.arrive(k)
	})
}

// newClient returns a client that arrives now.
func (f *fleet) newClient(k *kind, id string) *client {
	return &client{f: f, kind: k, arrived: f.now(), outputTokens: k.output.sample(f.rand), job: placer.Job{
		ID: id, Class: placer.ClassOf("m", k.priority), PromptTokens: k.prompt.sample(f.rand), MaxTokens: int(k.output.limit), Priority: k.priority,
		FirstEventDue: f.now().Add(k.target), FirstEventLimit: f.now().Add(k.patience), Deadline: f.now().Add(k.deadline),
	}}
}

// submit submits the job to a random daemon.
func (c *client) submit() {
	c.daemon = c.f.daemons[c.f.rand.IntN(len(c.f.daemons))]
	c.place()
	id := c.job.ID
	c.f.loop.After(c.kind.patience, func() {
		if c.job.ID == id && c.firstEventAt.IsZero() && !c.refused {
			c.gone = true
			delete(c.f.queued, id)
			c.daemon.Withdraw(id)
		}
	})
}

// place submits the job to the daemon of the client.
func (c *client) place() {
	if pl, ok := c.daemon.Submit(c.job, nil, c.f.now()); ok {
		c.send(pl)
		return
	}
	c.f.queued[c.job.ID] = c
}

// send sends the job to its engine once concurrent placements are known.
func (c *client) send(pl placer.Placement) {
	c.f.loop.After(20*time.Millisecond, func() {
		if !c.daemon.Confirm(c.job.ID, c.f.now()) {
			c.place()
			return
		}
		c.f.engines[pl.Engine.Identity].Submit(&emulator.Sequence{
			ID: c.job.ID, Priority: 1, PromptTokens: c.job.PromptTokens, OutputTokens: c.outputTokens, Listener: c,
		})
	})
}

// deliverOutcomes lets a daemon decide about its queue.
func (f *fleet) deliverOutcomes(p *placer.Placer) {
	for _, o := range p.Next(f.now()) {
		c := f.queued[o.Job.ID]
		delete(f.queued, o.Job.ID)
		switch {
		case c == nil: // The client has left.
		case o.Refused:
			c.handleRefusal(o.RetryAfter)
		default:
			c.send(o.Placement)
		}
	}
}

// handleRefusal returns to the fleet after the given time, if at least twice as
// much is left then.
func (c *client) handleRefusal(retryAfter time.Duration) {
	c.refused = true
	if c.returned || retryAfter > c.job.Deadline.Sub(c.f.now())/3 {
		return
	}
	c.f.loop.After(retryAfter, func() {
		c.returned, c.refused = true, false
		c.job.ID += "-again"
		c.job.FirstEventDue, c.job.FirstEventLimit = c.f.now().Add(c.kind.target), c.f.now().Add(c.kind.patience)
		c.submit()
	})
}

// Started, Token, Preempted and Finished implement emulator.Listener.
func (c *client) Started(*emulator.Sequence)   {}
func (c *client) Preempted(*emulator.Sequence) {}
func (c *client) Token(*emulator.Sequence) {
	if c.firstEventAt.IsZero() && !c.gone {
		c.firstEventAt = c.f.now()
		c.daemon.RecordFirstEvent(c.job.ID, c.f.now())
	}
}

func (c *client) Finished(*emulator.Sequence) {
	c.answered = !c.gone
	c.daemon.RecordEnd(c.job, c.outputTokens, true, c.f.now())
}

// answeredShare returns the fraction of the clients that were answered.
func answeredShare(clients []*client) float64 {
	answered := 0
	for _, c := range clients {
		if c.answered {
			answered++
		}
	}
	return float64(answered) / float64(max(len(clients), 1))
}

// overload returns the clients of several plays of drafts and checks, by the number
// of engines, which are too few for all jobs.
var overload = sync.OnceValue(func() map[int][]*client {
	plays := map[int][]*client{}
	for _, engineCount := range []int{7, 8} {
		for seed := range uint64(4) {
			plays[engineCount] = append(plays[engineCount], playFleet(seed+1, engineCount, draftsAndChecks())...)
		}
	}
	return plays
})

// assertSizesServed checks that under overload the largest tenth of the named kind
// and the fifth below it are served at least half as often as the whole kind.
func assertSizesServed(t *testing.T, kindName string) {
	t.Helper()
	for engineCount, all := range overload() {
		clients := slices.DeleteFunc(slices.Clone(all), func(c *client) bool { return c.kind.name != kindName })
		slices.SortFunc(clients, func(a, b *client) int { return b.job.PromptTokens - a.job.PromptTokens })
		n := len(clients)
		whole, tenth, fifth := answeredShare(clients), answeredShare(clients[:n/10]), answeredShare(clients[n/10:n*3/10])
		t.Logf("%d engines: answered %.3f of all %d, %.3f of the largest tenth, %.3f of the fifth below", engineCount, whole, n, tenth, fifth)
		assert.Check(t, tenth >= whole/2 && fifth >= whole/2)
	}
}

// Jobs of higher priority take the memory that engines free before a large short
// job fits, and smaller short jobs fit into what they leave. The large ones must
// not wait in vain.
func TestLargeShortJobsAreServed(t *testing.T) { assertSizesServed(t, "checks") }

// Large long jobs must not wait in vain behind the smaller ones.
func TestLargeLongJobsAreServed(t *testing.T) { assertSizesServed(t, "drafts") }

// A flood of short jobs must not keep all long jobs waiting until their clients leave.
func TestFloodOfShortJobsDoesNotStarveLongOnes(t *testing.T) {
	kinds := draftsAndChecks()
	kinds[1].perSecond *= 6
	clients := playFleet(1, 9, kinds)
	drafts := slices.DeleteFunc(slices.Clone(clients), func(c *client) bool { return c.kind.name != "drafts" })
	t.Logf("answered %.3f of all, %.3f of the drafts", answeredShare(clients), answeredShare(drafts))
	assert.Assert(t, answeredShare(drafts) >= answeredShare(clients)/2)
}
