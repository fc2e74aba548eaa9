package orderer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"monsoonspar.example/coordination/leaser"
	"monsoonspar.example/state/cataloger"

	"monsoonspar.example/state/seeder"
)

// stepDuration is the simulated time that passes in one step.
const stepDuration = 500 * time.Millisecond

// simulation is a failure domain with its lease, daemons that may be paused at
// any moment, and endpoints of which some do not check the fencing token.
type simulation struct {
	t            *rapid.T
	disabled     mechanisms
	rand         *rand.Rand // Random choices within a history; too many to draw each with rapid.
	handovers    bool       // Force regular changes of the lease holder in place of random faults.
	rateLimited  bool       // The weight store limits the rate of loads.
	now          time.Time
	lease        leaser.Lease
	leaseVersion uint64
	daemons      []*daemon
	endpoints    []*endpoint
	desired      []Desired
	traffic      []cataloger.Placement
	loadTimes    []time.Time // Times at which loads were planned.
	termStarts   []time.Time // Times at which terms started.
	failure      error
}

type daemon struct {
	leaser      *leaser.Leaser
	orderer     *Orderer
	paused      bool
	partitioned bool    // Cannot reach the platform.
	stopping    bool    // Releases the lease, and is then replaced by a new process.
	starts      int     // Number of processes so far.
	outbox      []Order // Orders planned but not yet written.
	sent        []*sentOrder
	reports     []Observed
	lastFence   uint64
}

// sentOrder is an order that was written to the connection.
type sentOrder struct {
	Order
	arrivesAt    time.Time
	responseLost bool // The response does not reach the sender.
	timesOutAt   time.Time
	timedOut     bool // The sender has recorded ResultUnknown.
	applied      bool
	result       Result
}

type endpoint struct {
	name        string
	checksFence bool
	ready       []cataloger.Placement
	fence       uint64
}

var placements = []cataloger.Placement{
	{Model: "redazione", Version: "1"}, {Model: "redazione", Version: "2"}, {Model: "verifica", Version: "1"},
}

func newSimulation(t *rapid.T, disabled mechanisms) *simulation {
	sim := &simulation{t: t, disabled: disabled, now: time.Unix(1000, 0), rateLimited: rapid.Bool().Draw(t, "limited"), handovers: rapid.Bool().Draw(t, "handovers")}
	seed := uint64(seeder.DrawUniform(t, "seed", 1<<20))
	sim.rand = rand.New(rand.NewPCG(seed, 99))
	for i := range 3 {
		d := &daemon{}
		sim.start(d, i, seed)
		sim.daemons = append(sim.daemons, d)
	}
	for i := range 3 {
		e := &endpoint{name: fmt.Sprintf("e%d", i), checksFence: rapid.Bool().Draw(t, "checks")}
		e.ready = slices.Clone(placements[:rapid.IntRange(0, len(placements)).Draw(t, "ready")])
		sim.endpoints = append(sim.endpoints, e)
		sim.desired = append(sim.desired, Desired{Endpoint: e.name, ChecksFence: e.checksFence})
	}
	for _, p := range placements {
		if rapid.Bool().Draw(t, "traffic") {
			sim.traffic = append(sim.traffic, p)
		}
	}
	sim.drawDesired()
	return sim
}

// start starts a new process of d, which knows nothing of the orders of the one before.
func (sim *simulation) start(d *daemon, i int, seed uint64) {
	d.starts++
	cfg := leaser.DefaultSettings()
	cfg.RenewInterval = time.Second // A short interval, so that a new holder follows soon after the last term.
	d.leaser = leaser.New(cfg, fmt.Sprintf("d%d", i), fmt.Sprintf("life%d-%d", i, d.starts), rand.New(rand.NewPCG(seed, uint64(i))))
	d.leaser.SetCandidate(true)
	d.orderer, d.outbox, d.reports, d.stopping = New(sim.settings()), nil, nil, false
}

// stop takes one step of stopping d: it waits until its orders have been answered or have
// timed out and until the lease may be released, releases it, and ends.
func (sim *simulation) stop(d *daemon) {
	for _, s := range d.sent {
		if !s.timedOut && !s.applied {
			return
		}
	}
	if !d.orderer.MayRelease(sim.now) {
		return
	}
	d.leaser.Release()
	sim.serveCall(d, d.leaser.Handle(sim.now, leaser.Tick{}))
	if d.leaser.Idle() {
		sim.start(d, slices.Index(sim.daemons, d), uint64(sim.rand.Int64()))
	}
}

func (sim *simulation) settings() Settings {
	cfg := DefaultSettings()
	cfg.disabled = sim.disabled
	if !sim.rateLimited {
		cfg.LoadsPerMinute = 0
	}
	return cfg
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == nil {
		sim.failure = fmt.Errorf(format, args...)
	}
}

// drawDesired draws a new manifest.
func (sim *simulation) drawDesired() {
	for i := range sim.desired {
		sim.desired[i].Placements = nil
		for _, p := range placements {
			if sim.rand.IntN(2) == 0 {
				sim.desired[i].Placements = append(sim.desired[i].Placements, p)
			}
		}
	}
}

// serveCall serves a platform call of d immediately and without faults, unless
// d is partitioned from the platform.
func (sim *simulation) serveCall(d *daemon, act leaser.Action) {
	for act != nil {
		if d.partitioned {
			d.rejectCall(sim.now, act)
			return
		}
		var ev leaser.Event
		switch a := act.(type) {
		case leaser.Read:
			ev = leaser.ReadResult{Result: leaser.ResultNotFound}
			if sim.leaseVersion > 0 {
				ev = leaser.ReadResult{Result: leaser.ResultOK, Version: sim.leaseVersion, Lease: sim.lease}
			}
		case leaser.Create:
			ev = sim.putLease(0, a.Lease)
		case leaser.Update:
			ev = sim.putLease(a.Version, a.Lease)
		}
		act = d.leaser.Handle(sim.now, ev)
	}
}

// rejectCall answers a platform call of a partitioned daemon as unavailable.
func (d *daemon) rejectCall(now time.Time, act leaser.Action) {
	if _, ok := act.(leaser.Read); ok {
		d.leaser.Handle(now, leaser.ReadResult{Result: leaser.ResultUnavailable})
		return
	}
	d.leaser.Handle(now, leaser.WriteResult{Result: leaser.ResultUnavailable})
}

func (sim *simulation) putLease(version uint64, l leaser.Lease) leaser.Event {
	if sim.leaseVersion != version {
		return leaser.WriteResult{Result: leaser.ResultConflict}
	}
	sim.lease = l
	sim.leaseVersion++
	return leaser.WriteResult{Result: leaser.ResultOK, Version: sim.leaseVersion}
}

// advance advances the simulation by one step.
func (sim *simulation) advance(faultFree bool) {
	sim.now = sim.now.Add(stepDuration)
	sim.deliverOrders()
	for _, d := range sim.daemons {
		if !d.paused {
			sim.runDaemon(d, faultFree)
		}
	}
}

// runDaemon runs one step of a daemon. It first writes what was planned before
// a pause, as a real daemon may.
func (sim *simulation) runDaemon(d *daemon, faultFree bool) {
	sim.sendOutbox(d, faultFree)
	sim.reportResults(d)
	if d.stopping {
		sim.stop(d)
		return
	}
	sim.serveCall(d, d.leaser.Handle(sim.now, leaser.Tick{}))
	sim.pollEndpoints(d, faultFree)
	term, held := d.leaser.Term(sim.now)
	if !held {
		return
	}
	if term.FencingToken != d.lastFence {
		d.lastFence = term.FencingToken
		sim.termStarts = append(sim.termStarts, sim.now)
	}
	orders := d.orderer.Plan(sim.now, term, View{Desired: sim.desired, Observed: d.reports, Traffic: sim.traffic})
	d.outbox = append(d.outbox, orders...)
	sim.recordLoads(orders)
	if faultFree || sim.rand.IntN(4) > 0 {
		sim.sendOutbox(d, faultFree)
	}
}

func (sim *simulation) recordLoads(orders []Order) {
	for _, o := range orders {
		if o.Kind == KindLoad {
			sim.loadTimes = append(sim.loadTimes, sim.now)
		}
	}
	sim.checkLoadRate()
}

// checkLoadRate allows at most seven loads within a minute: one for each ten
// seconds, plus one.
func (sim *simulation) checkLoadRate() {
	n := 0
	for _, at := range sim.loadTimes {
		if sim.now.Sub(at) < time.Minute {
			n++
		}
	}
	if sim.rateLimited && n > 7 {
		sim.fail("%d loads within a minute", n)
	}
}

// pollEndpoints refreshes the reports of d. Unless faultFree is set, each
// report is refreshed with a probability of 1/8, so that most lag behind.
func (sim *simulation) pollEndpoints(d *daemon, faultFree bool) {
	for _, e := range sim.endpoints {
		if !faultFree && sim.rand.IntN(8) > 0 {
			continue
		}
		ob := Observed{Endpoint: e.name, At: sim.now, Ready: slices.Clone(e.ready)}
		i := slices.IndexFunc(d.reports, func(o Observed) bool { return o.Endpoint == e.name })
		if i < 0 {
			d.reports = append(d.reports, ob)
			continue
		}
		d.reports[i] = ob
	}
}

// sendOutbox writes the planned orders, and reports those past their send
// deadline as failed.
func (sim *simulation) sendOutbox(d *daemon, faultFree bool) {
	for _, o := range d.outbox {
		if sim.now.After(o.SendDeadline) {
			d.orderer.Finish(sim.now, o, ResultFailed)
			continue
		}
		s := &sentOrder{Order: o, arrivesAt: sim.now, timesOutAt: sim.now.Add(o.Timeout)}
		if !faultFree {
			s.arrivesAt = sim.now.Add(sim.drawDelay(o))
			s.responseLost = sim.rand.IntN(10) == 0
		}
		sim.checkSerial(o)
		d.sent = append(d.sent, s)
	}
	d.outbox = nil
}

// drawDelay returns the time until an order arrives. A stalled connection, or a
// sender paused during its write, delivers an order after its timeout.
func (sim *simulation) drawDelay(o Order) time.Duration {
	if sim.rand.IntN(5) == 0 {
		return o.Timeout + sim.settings().MaxOverrun - stepDuration
	}
	return time.Duration(sim.rand.IntN(4)) * stepDuration
}

// checkSerial fails if an endpoint that does not check the fencing token would
// have two orders in flight.
func (sim *simulation) checkSerial(o Order) {
	for _, d := range sim.daemons {
		for _, s := range d.sent {
			if s.Endpoint == o.Endpoint && !s.applied && !sim.endpoint(o.Endpoint).checksFence {
				sim.fail("two orders in flight to %s: %s and %s", o.Endpoint, s.ID, o.ID)
			}
		}
	}
}

func (sim *simulation) endpoint(name string) *endpoint {
	return sim.endpoints[slices.IndexFunc(sim.endpoints, func(e *endpoint) bool { return e.name == name })]
}

// deliverOrders applies the orders that arrive at their endpoints.
func (sim *simulation) deliverOrders() {
	for _, d := range sim.daemons {
		for _, s := range d.sent {
			if !s.applied && !sim.now.Before(s.arrivesAt) {
				s.applied = true
				s.result = sim.apply(sim.endpoint(s.Endpoint), s.Order)
			}
		}
	}
}

// apply applies an order at an endpoint. It fails if an endpoint that does not
// check the fencing token receives an order of an earlier term than the last
// one.
func (sim *simulation) apply(e *endpoint, o Order) Result {
	if o.FencingToken < e.fence {
		if e.checksFence {
			return ResultFenced
		}
		sim.fail("%s applied an order of term %d after one of term %d", e.name, o.FencingToken, e.fence)
	}
	e.fence = max(e.fence, o.FencingToken)
	i := slices.Index(e.ready, o.Placement)
	switch {
	case o.Kind == KindLoad && i < 0:
		e.ready = append(e.ready, o.Placement)
	case o.Kind == KindUnload && i >= 0:
		e.ready = slices.Delete(e.ready, i, i+1)
		sim.checkLastCopy(o)
	}
	return ResultDone
}

func (sim *simulation) checkLastCopy(o Order) {
	if !slices.Contains(sim.traffic, o.Placement) {
		return
	}
	for _, e := range sim.endpoints {
		if slices.Contains(e.ready, o.Placement) {
			return
		}
	}
	sim.fail("%s unloads the last ready copy of %v", o.ID, o.Placement)
}

// reportResults reports responses and timeouts to d.
func (sim *simulation) reportResults(d *daemon) {
	unfinished := d.sent[:0]
	for _, s := range d.sent {
		switch {
		case s.applied && !s.responseLost && !s.timedOut:
			if d.orderer.Finish(sim.now, s.Order, s.result) {
				d.leaser.ObserveHigherToken()
			}
		case !s.timedOut && !sim.now.Before(s.timesOutAt):
			s.timedOut = true
			d.orderer.Finish(sim.now, s.Order, ResultUnknown)
			unfinished = append(unfinished, s)
		case !s.timedOut || !s.applied:
			unfinished = append(unfinished, s)
		}
	}
	d.sent = unfinished
}

// handoverInterval is the number of steps between two forced changes of the
// lease holder.
const handoverInterval = 100

// injectFaults pauses daemons and partitions them from the platform at random.
// If handovers is set, it instead partitions each holder in turn while the
// manifest changes often.
func (sim *simulation) injectFaults(i int) {
	changeOdds := 8
	if sim.handovers {
		changeOdds = 2
		sim.forceHandover(i)
	} else {
		if i := sim.rand.IntN(60 * len(sim.daemons)); i < len(sim.daemons) {
			sim.daemons[i].paused = !sim.daemons[i].paused
		}
		if i := sim.rand.IntN(40 * len(sim.daemons)); i < len(sim.daemons) {
			sim.daemons[i].partitioned = !sim.daemons[i].partitioned
		}
	}
	if i := sim.rand.IntN(60 * len(sim.daemons)); i < len(sim.daemons) {
		sim.daemons[i].stopping = true
	}
	if sim.rand.IntN(changeOdds) == 0 {
		sim.drawDesired()
	}
}

func (sim *simulation) forceHandover(i int) {
	if i%handoverInterval != handoverInterval/4 {
		return
	}
	for _, d := range sim.daemons {
		_, held := d.leaser.Term(sim.now)
		d.partitioned = held
	}
}

func runHistory(t *rapid.T, disabled mechanisms) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if v, ok := r.(error); ok {
				err = v
				return
			}
			panic(r)
		}
	}()
	sim := newSimulation(t, disabled)
	for i := range rapid.IntRange(50, 300).Draw(t, "steps") {
		sim.injectFaults(i)
		sim.advance(false)
		if sim.failure != nil {
			return sim.failure
		}
	}
	return sim.converge()
}

// converge ends all faults and checks that the endpoints then hold what the
// manifest specifies, apart from last copies, which must be kept.
func (sim *simulation) converge() error {
	for _, d := range sim.daemons {
		d.paused, d.partitioned = false, false
	}
	for range int(4 * time.Minute / stepDuration) {
		sim.advance(true)
		if sim.failure != nil {
			return sim.failure
		}
	}
	for i, d := range sim.desired {
		e := sim.endpoints[i]
		for _, p := range d.Placements {
			if !slices.Contains(e.ready, p) {
				return fmt.Errorf("%s lacks %v", e.name, p)
			}
		}
		for _, p := range e.ready {
			if !slices.Contains(d.Placements, p) && !sim.isLastCopy(e, p) {
				return fmt.Errorf("%s still holds %v", e.name, p)
			}
		}
	}
	return nil
}

func (sim *simulation) isLastCopy(holder *endpoint, p cataloger.Placement) bool {
	if !slices.Contains(sim.traffic, p) {
		return false
	}
	for _, e := range sim.endpoints {
		if e != holder && slices.Contains(e.ready, p) {
			return false
		}
	}
	return true
}
