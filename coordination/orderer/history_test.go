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

// step is how far a history moves on at once.
const step = 500 * time.Millisecond

// world is a failure domain: its lease, some daemons that are paused at any
// moment, and endpoints of which some ignore fencing.
type world struct {
	t         *rapid.T
	off       mechanisms
	rand      *rand.Rand // Chances within a history, too many to be drawn.
	handovers bool       // The history is one of handovers.
	limited   bool       // The weight store has a rate.
	now       time.Time
	lease     leaser.Lease
	version   uint64
	daemons   []*daemon
	endpoints []*endpoint
	desired   []Desired
	traffic   []cataloger.Placement
	loads     []time.Time // When loads were planned.
	terms     []time.Time // When terms began.
	broken    error
}

type daemon struct {
	l        *leaser.Leaser
	o        *Orderer
	paused   bool
	cut      bool    // From the platform.
	outbox   []Order // Planned and not yet written.
	sent     []*sent
	reports  []Observed
	lastTerm uint64
}

// sent is an order on its way.
type sent struct {
	Order
	arrives time.Time
	lost    bool // The answer is lost.
	gaveUp  time.Time
	told    bool // Its sender counts it as lost.
	applied bool
	result  Result
}

type endpoint struct {
	name   string
	checks bool
	ready  []cataloger.Placement
	fence  uint64
}

var placements = []cataloger.Placement{
	{Model: "redazione", Version: "1"}, {Model: "redazione", Version: "2"}, {Model: "verifica", Version: "1"},
}

func newWorld(t *rapid.T, off mechanisms) *world {
	w := &world{t: t, off: off, now: time.Unix(1000, 0), limited: rapid.Bool().Draw(t, "limited"), handovers: rapid.Bool().Draw(t, "handovers")}
	seed := uint64(seeder.Pick(t, "seed", 1<<20))
	w.rand = rand.New(rand.NewPCG(seed, 99))
	for i := range 3 {
		d := &daemon{o: New(w.settings())}
		cfg := leaser.DefaultSettings()
		cfg.Renew = time.Second // Handovers follow closely on the last term.
		d.l = leaser.New(cfg, fmt.Sprintf("d%d", i), fmt.Sprintf("life%d", i), rand.New(rand.NewPCG(seed, uint64(i))))
		d.l.SetCandidate(true)
		w.daemons = append(w.daemons, d)
	}
	for i := range 3 {
		e := &endpoint{name: fmt.Sprintf("e%d", i), checks: rapid.Bool().Draw(t, "checks")}
		e.ready = slices.Clone(placements[:rapid.IntRange(0, len(placements)).Draw(t, "ready")])
		w.endpoints = append(w.endpoints, e)
		w.desired = append(w.desired, Desired{Endpoint: e.name, ChecksFence: e.checks})
	}
	for _, p := range placements {
		if rapid.Bool().Draw(t, "traffic") {
			w.traffic = append(w.traffic, p)
		}
	}
	w.redesire()
	return w
}

func (w *world) settings() Settings {
	cfg := DefaultSettings()
	cfg.off = w.off
	if !w.limited {
		cfg.LoadsPerMinute = 0
	}
	return cfg
}

func (w *world) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
	}
}

// redesire draws a new manifest.
func (w *world) redesire() {
	for i := range w.desired {
		w.desired[i].Placements = nil
		for _, p := range placements {
			if w.rand.IntN(2) == 0 {
				w.desired[i].Placements = append(w.desired[i].Placements, p)
			}
		}
	}
}

// platform serves a call of d, at once and without faults.
func (w *world) platform(d *daemon, act leaser.Action) {
	for act != nil {
		if d.cut {
			d.refuse(w.now, act)
			return
		}
		var ev leaser.Event
		switch a := act.(type) {
		case leaser.Read:
			ev = leaser.ReadResult{Result: leaser.ResultNotFound}
			if w.version > 0 {
				ev = leaser.ReadResult{Result: leaser.ResultOK, Version: w.version, Lease: w.lease}
			}
		case leaser.Create:
			ev = w.put(0, a.Lease)
		case leaser.Update:
			ev = w.put(a.Version, a.Lease)
		}
		act = d.l.Handle(w.now, ev)
	}
}

// refuse answers a call of a daemon that is cut off from the platform.
func (d *daemon) refuse(now time.Time, act leaser.Action) {
	if _, ok := act.(leaser.Read); ok {
		d.l.Handle(now, leaser.ReadResult{Result: leaser.ResultUnavailable})
		return
	}
	d.l.Handle(now, leaser.WriteResult{Result: leaser.ResultUnavailable})
}

func (w *world) put(version uint64, l leaser.Lease) leaser.Event {
	if w.version != version {
		return leaser.WriteResult{Result: leaser.ResultConflict}
	}
	w.lease = l
	w.version++
	return leaser.WriteResult{Result: leaser.ResultOK, Version: w.version}
}

// advance moves all on by one step.
func (w *world) advance(calm bool) {
	w.now = w.now.Add(step)
	w.arrive()
	for _, d := range w.daemons {
		if !d.paused {
			w.runDaemon(d, calm)
		}
	}
}

// runDaemon writes what was planned before a pause as well, as a real one may.
func (w *world) runDaemon(d *daemon, calm bool) {
	w.write(d, calm)
	w.finish(d)
	w.platform(d, d.l.Handle(w.now, leaser.Tick{}))
	w.poll(d, calm)
	term, held := d.l.Term(w.now)
	if !held {
		return
	}
	if term.Fence != d.lastTerm {
		d.lastTerm = term.Fence
		w.terms = append(w.terms, w.now)
	}
	orders := d.o.Plan(w.now, term, View{Desired: w.desired, Observed: d.reports, Traffic: w.traffic})
	d.outbox = append(d.outbox, orders...)
	w.noteLoads(orders)
	if calm || w.rand.IntN(4) > 0 {
		w.write(d, calm)
	}
}

func (w *world) noteLoads(orders []Order) {
	for _, o := range orders {
		if o.Kind == KindLoad {
			w.loads = append(w.loads, w.now)
		}
	}
	w.checkRate()
}

// checkRate allows a load for each ten seconds of the last minute, and one.
func (w *world) checkRate() {
	n := 0
	for _, at := range w.loads {
		if w.now.Sub(at) < time.Minute {
			n++
		}
	}
	if w.limited && n > 7 {
		w.fail("%d loads within a minute", n)
	}
}

// poll reads the load of each endpoint, with a lag.
func (w *world) poll(d *daemon, calm bool) {
	for _, e := range w.endpoints {
		if !calm && w.rand.IntN(8) > 0 {
			continue
		}
		ob := Observed{Endpoint: e.name, At: w.now, Ready: slices.Clone(e.ready)}
		i := slices.IndexFunc(d.reports, func(o Observed) bool { return o.Endpoint == e.name })
		if i < 0 {
			d.reports = append(d.reports, ob)
			continue
		}
		d.reports[i] = ob
	}
}

// write sends the outbox, or reports orders that are past their time as failed.
func (w *world) write(d *daemon, calm bool) {
	for _, o := range d.outbox {
		if w.now.After(o.By) {
			d.o.Finish(w.now, o, ResultFailed)
			continue
		}
		s := &sent{Order: o, arrives: w.now, gaveUp: w.now.Add(o.Timeout)}
		if !calm {
			s.arrives = w.now.Add(w.delay(o))
			s.lost = w.rand.IntN(10) == 0
		}
		w.checkSerial(o)
		d.sent = append(d.sent, s)
	}
	d.outbox = nil
}

// delay returns how long an order is under way. A stalled link, or a pause of
// the sender in its write, delivers one after its timeout.
func (w *world) delay(o Order) time.Duration {
	if w.rand.IntN(5) == 0 {
		return o.Timeout + w.settings().Late - step
	}
	return time.Duration(w.rand.IntN(4)) * step
}

// checkSerial fails if an endpoint that ignores fencing has two orders under
// way, or is sent an order of an earlier term than the last.
func (w *world) checkSerial(o Order) {
	for _, d := range w.daemons {
		for _, s := range d.sent {
			if s.Endpoint == o.Endpoint && !s.applied && !w.endpoint(o.Endpoint).checks {
				w.fail("two orders under way at %s: %s and %s", o.Endpoint, s.ID, o.ID)
			}
		}
	}
}

func (w *world) endpoint(name string) *endpoint {
	return w.endpoints[slices.IndexFunc(w.endpoints, func(e *endpoint) bool { return e.name == name })]
}

// arrive applies the orders that reach their endpoints.
func (w *world) arrive() {
	for _, d := range w.daemons {
		for _, s := range d.sent {
			if !s.applied && !w.now.Before(s.arrives) {
				s.applied = true
				s.result = w.apply(w.endpoint(s.Endpoint), s.Order)
			}
		}
	}
}

func (w *world) apply(e *endpoint, o Order) Result {
	if o.Fence < e.fence {
		if e.checks {
			return ResultFenced
		}
		w.fail("%s takes an order of term %d after one of term %d", e.name, o.Fence, e.fence)
	}
	e.fence = max(e.fence, o.Fence)
	i := slices.Index(e.ready, o.Placement)
	switch {
	case o.Kind == KindLoad && i < 0:
		e.ready = append(e.ready, o.Placement)
	case o.Kind == KindUnload && i >= 0:
		e.ready = slices.Delete(e.ready, i, i+1)
		w.checkCopies(o)
	}
	return ResultDone
}

func (w *world) checkCopies(o Order) {
	if !slices.Contains(w.traffic, o.Placement) {
		return
	}
	for _, e := range w.endpoints {
		if slices.Contains(e.ready, o.Placement) {
			return
		}
	}
	w.fail("%s takes the last ready copy of %v", o.ID, o.Placement)
}

// finish tells d of its answers.
func (w *world) finish(d *daemon) {
	kept := d.sent[:0]
	for _, s := range d.sent {
		switch {
		case s.applied && !s.lost && !s.told:
			if d.o.Finish(w.now, s.Order, s.result) {
				d.l.Fenced()
			}
		case !s.told && !w.now.Before(s.gaveUp):
			s.told = true
			d.o.Finish(w.now, s.Order, ResultLost)
			kept = append(kept, s)
		case !s.told || !s.applied:
			kept = append(kept, s)
		}
	}
	d.sent = kept
}

// handoverSteps is the time between two handovers in histories of handovers.
const handoverSteps = 100

// disturb pauses daemons and cuts them off from the platform at random, or in
// every other history cuts off one holder after the other while it is busy.
func (w *world) disturb(i int) {
	busy := 8
	if w.handovers {
		busy = 2
		w.handOver(i)
	} else {
		if i := w.rand.IntN(60 * len(w.daemons)); i < len(w.daemons) {
			w.daemons[i].paused = !w.daemons[i].paused
		}
		if i := w.rand.IntN(40 * len(w.daemons)); i < len(w.daemons) {
			w.daemons[i].cut = !w.daemons[i].cut
		}
	}
	if w.rand.IntN(busy) == 0 {
		w.redesire()
	}
}

func (w *world) handOver(i int) {
	if i%handoverSteps != handoverSteps/4 {
		return
	}
	for _, d := range w.daemons {
		_, held := d.l.Term(w.now)
		d.cut = held
	}
}

func history(t *rapid.T, off mechanisms) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if v, ok := r.(error); ok {
				err = v
				return
			}
			panic(r)
		}
	}()
	w := newWorld(t, off)
	for i := range rapid.IntRange(50, 300).Draw(t, "steps") {
		w.disturb(i)
		w.advance(false)
		if w.broken != nil {
			return w.broken
		}
	}
	return w.settle()
}

// settle ends all faults; what is observed must then come to be what is
// desired, but for last copies.
func (w *world) settle() error {
	for _, d := range w.daemons {
		d.paused, d.cut = false, false
	}
	for range int(4 * time.Minute / step) {
		w.advance(true)
		if w.broken != nil {
			return w.broken
		}
	}
	for i, d := range w.desired {
		e := w.endpoints[i]
		for _, p := range d.Placements {
			if !slices.Contains(e.ready, p) {
				return fmt.Errorf("%s lacks %v", e.name, p)
			}
		}
		for _, p := range e.ready {
			if !slices.Contains(d.Placements, p) && !w.lastCopy(e, p) {
				return fmt.Errorf("%s still holds %v", e.name, p)
			}
		}
	}
	return nil
}

func (w *world) lastCopy(but *endpoint, p cataloger.Placement) bool {
	if !slices.Contains(w.traffic, p) {
		return false
	}
	for _, e := range w.endpoints {
		if e != but && slices.Contains(e.ready, p) {
			return false
		}
	}
	return true
}
