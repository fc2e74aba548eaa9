package leaser

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"monsoonspar.example/state/seeder"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 1000)) }

// step is the time by which a history advances at once.
const step = 500 * time.Millisecond

// simulation is a lease object and daemons that contend for it. Their clocks have
// different offsets and rates, each up to 2 % fast or slow.
type simulation struct {
	t         *rapid.T
	now       time.Duration
	lease     Lease
	version   uint64
	exists    bool
	daemons   []*daemon
	violation error
}

type daemon struct {
	l         *Leaser
	offset    time.Duration
	rate      float64
	paused    bool
	calls     []*call
	stepsHeld int // Steps in which the daemon held the lease.
}

// call is a call to the platform. Its times are on the clock of the simulation.
type call struct {
	action   Action
	effectAt time.Duration // When it takes effect; negative if never.
	answerAt time.Duration
	lost     bool
	refused  bool
	applied  bool
	answered bool
	write    WriteResult
	read     ReadResult
}

func (sim *simulation) localTime(d *daemon) time.Time {
	return time.Unix(1000, 0).Add(d.offset + time.Duration(float64(sim.now)*d.rate))
}

func newSimulation(t *rapid.T, disabled mechanisms) *simulation {
	sim := &simulation{t: t}
	seed := uint64(seeder.DrawUniform(t, "seed", 1<<20))
	for i := range rapid.IntRange(2, 4).Draw(t, "daemons") {
		cfg := DefaultSettings()
		cfg.disabled = disabled
		d := &daemon{
			offset: time.Duration(seeder.DrawUniform(t, "offset", 10_000_000)) * time.Millisecond,
			rate:   1 + float64(seeder.DrawUniform(t, "rate", 41)-20)/1000,
		}
		d.l = New(cfg, fmt.Sprintf("d%d", i), fmt.Sprintf("life%d", i), rand.New(rand.NewPCG(seed, uint64(i))))
		d.l.SetCandidate(true)
		sim.daemons = append(sim.daemons, d)
	}
	return sim
}

// startCall starts a call with a random outcome or, if faultless, one that takes
// effect and is answered at once.
func (sim *simulation) startCall(d *daemon, act Action, faultless bool) {
	if act == nil {
		return
	}
	c := &call{action: act, effectAt: sim.now, answerAt: sim.now}
	if !faultless {
		sim.injectFault(c)
	}
	d.calls = append(d.calls, c)
}

func (sim *simulation) injectFault(c *call) {
	delay := func(label string, most int) time.Duration {
		return time.Duration(seeder.DrawUniform(sim.t, label, most+1)) * step
	}
	switch seeder.DrawUniform(sim.t, "fate", 8) {
	case 0: // Refused.
		c.effectAt, c.refused = -1, true
	case 1: // Lost before it takes effect.
		c.effectAt, c.lost = -1, true
	case 2: // Takes effect, and the response is lost.
		c.lost = true
		c.answerAt += delay("give up", 6)
	case 3: // Takes effect after the sender has timed out.
		c.lost = true
		c.answerAt += delay("give up", 6)
		c.effectAt = c.answerAt + delay("late", 60)
	case 4: // Takes effect late; the response arrives later.
		c.effectAt += delay("effect", 30)
		c.answerAt = c.effectAt + delay("answer", 30)
	}
}

func (sim *simulation) apply(c *call) {
	c.applied = true
	switch act := c.action.(type) {
	case Read:
		c.read = ReadResult{Result: ResultNotFound}
		if sim.exists {
			c.read = ReadResult{Result: ResultOK, Version: sim.version, Lease: sim.lease}
		}
	case Create:
		c.write = WriteResult{Result: ResultConflict}
		if !sim.exists {
			sim.store(c, act.Lease)
		}
	case Update:
		c.write = WriteResult{Result: ResultConflict}
		if sim.exists && sim.version == act.Version {
			sim.store(c, act.Lease)
		}
	}
}

func (sim *simulation) store(c *call, l Lease) {
	sim.exists = true
	sim.lease = l
	sim.version++
	c.write = WriteResult{Result: ResultOK, Version: sim.version}
}

// event returns the result of c.
func (c *call) event() Event {
	res := ResultOK
	switch {
	case c.refused:
		res = ResultUnavailable
	case c.lost:
		res = ResultUnknown
	}
	if _, ok := c.action.(Read); ok {
		if res != ResultOK {
			return ReadResult{Result: res}
		}
		return c.read
	}
	if res != ResultOK {
		return WriteResult{Result: res}
	}
	return c.write
}

// advance advances the simulation by one step.
func (sim *simulation) advance(faultless bool) {
	sim.now += step
	for _, d := range sim.daemons {
		for _, c := range d.calls {
			if !c.applied && c.effectAt >= 0 && c.effectAt <= sim.now {
				sim.apply(c)
			}
		}
	}
	for _, d := range sim.daemons {
		if d.paused {
			continue
		}
		d.answerCalls(sim, faultless)
		sim.startCall(d, d.l.Handle(sim.localTime(d), Tick{}), faultless)
	}
	sim.check()
}

func (d *daemon) answerCalls(sim *simulation, faultless bool) {
	for _, c := range d.calls {
		if c.answered || c.answerAt > sim.now || (!c.applied && !c.lost && !c.refused) {
			continue
		}
		c.answered = true
		sim.startCall(d, d.l.Handle(sim.localTime(d), c.event()), faultless)
	}
	kept := d.calls[:0]
	for _, c := range d.calls {
		if !c.answered || (!c.applied && c.effectAt >= 0) {
			kept = append(kept, c)
		}
	}
	d.calls = kept
}

// check records a violation if two daemons hold the lease at the same time.
func (sim *simulation) check() {
	holders := 0
	for _, d := range sim.daemons {
		if _, ok := d.l.Term(sim.localTime(d)); ok {
			holders++
			d.stepsHeld++
		}
	}
	if holders > 1 && sim.violation == nil {
		sim.violation = fmt.Errorf("%d holders at %v", holders, sim.now)
	}
}

func runHistory(t *rapid.T, disabled mechanisms) (err error) {
	defer func() {
		if r := recover(); r != nil && strings.Contains(fmt.Sprint(r), "fence_monotonic") {
			err = fmt.Errorf("asserted: %v", r)
		} else if r != nil {
			panic(r)
		}
	}()
	sim := newSimulation(t, disabled)
	for range rapid.IntRange(20, 300).Draw(t, "steps") {
		if i := seeder.DrawUniform(t, "pause", 20*len(sim.daemons)); i < len(sim.daemons) {
			sim.daemons[i].paused = !sim.daemons[i].paused
		}
		sim.advance(false)
		if sim.violation != nil {
			return sim.violation
		}
	}
	return sim.checkRecovery()
}

// checkRecovery ends all faults and checks that a daemon then acquires the lease.
func (sim *simulation) checkRecovery() error {
	for _, d := range sim.daemons {
		d.paused = false
	}
	for range int(2 * time.Minute / step) {
		sim.advance(true)
		if sim.violation != nil {
			return sim.violation
		}
	}
	for _, d := range sim.daemons {
		if _, ok := d.l.Term(sim.localTime(d)); ok {
			return nil
		}
	}
	return fmt.Errorf("no daemon holds the lease 2 min after the faults ended: %+v", sim.lease)
}

func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(t, mechanisms{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsAreNeeded shows that the histories fail without each mechanism.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled mechanisms
	}{
		{"lease measured from before the send", mechanisms{measureFromSend: true}},
		{"read after a lost response", mechanisms{readAfterLostWrite: true}},
		{"wait for the full duration", mechanisms{awaitExpiry: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed, err := seeder.FirstFailure(func(t *rapid.T) error { return runHistory(t, tc.disabled) }, "", 1000)
			assert.Assert(t, err != nil, "no history fails")
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

var begin = time.Unix(100, 0)

func newLeaser() *Leaser {
	l := New(DefaultSettings(), "d1", "life1", rand.New(rand.NewPCG(1, 1)))
	l.SetCandidate(true)
	return l
}

func TestTermIsMeasuredFromBeforeTheWrite(t *testing.T) {
	l := newLeaser()
	l.Handle(begin, Tick{})
	now := begin
	_, ok := l.Handle(now, ReadResult{Result: ResultNotFound}).(Create)
	assert.Assert(t, ok)
	l.Handle(now.Add(time.Second), WriteResult{Result: ResultOK, Version: 7})
	term, held := l.Term(now.Add(time.Second))
	assert.Assert(t, held)
	assert.Equal(t, term.FencingToken, uint64(7))
	assert.Equal(t, term.Until, now.Add(19*time.Second))
	_, held = l.Term(now.Add(20 * time.Second))
	assert.Assert(t, !held)
}

func TestExpiredLeaseIsTakenOverAfterItsDuration(t *testing.T) {
	l := newLeaser()
	other := ReadResult{Result: ResultOK, Version: 3, Lease: Lease{Holder: "d2", Duration: 20 * time.Second}}
	now := begin
	for ; now.Sub(begin) < time.Minute; now = now.Add(TickInterval) {
		switch act := l.Handle(now, Tick{}).(type) {
		case Read:
			l.Handle(now, other)
		case Update:
			assert.Equal(t, act.Version, uint64(3))
			assert.Assert(t, now.Sub(begin) > 21*time.Second)
			l.Handle(now, WriteResult{Result: ResultOK, Version: 9})
			term, held := l.Term(now)
			assert.Assert(t, held)
			assert.Equal(t, term.SafeFrom, now.Add(6*time.Second))
			return
		}
	}
	t.Fatal("the expired lease was not taken over within a minute")
}

func TestReleasedLeaseIsTakenOverAtOnce(t *testing.T) {
	l := newLeaser()
	l.Handle(begin, Tick{})
	now := begin
	l.Handle(now, ReadResult{Result: ResultNotFound})
	l.Handle(now, WriteResult{Result: ResultOK, Version: 7})
	l.Release()
	_, held := l.Term(now)
	assert.Assert(t, !held)
	release := l.Handle(now, Tick{}).(Update)
	assert.Equal(t, release.Lease.Holder, "")
	l.Handle(now, WriteResult{Result: ResultOK, Version: 8})
	assert.Assert(t, l.Idle())

	next := New(DefaultSettings(), "d2", "life2", rand.New(rand.NewPCG(1, 1)))
	next.SetCandidate(true)
	next.Handle(now, Tick{})
	next.Handle(now, ReadResult{Result: ResultOK, Version: 8, Lease: release.Lease})
	next.Handle(now, WriteResult{Result: ResultOK, Version: 9})
	term, held := next.Term(now)
	assert.Assert(t, held)
	assert.Equal(t, term.SafeFrom, now)
}

// Guards against orders of two holders in flight: a holder that took over an expired lease
// and stops at once must not let the next one send before the orders of the first have ended.
func TestReleaseAwaitsOrdersOfEarlierHolders(t *testing.T) {
	l := newLeaser()
	l.Handle(begin, Tick{})
	now := begin
	l.Handle(now, ReadResult{Result: ResultOK, Version: 3, Lease: Lease{Holder: "d2", Duration: 20 * time.Second}})
	now = now.Add(22 * time.Second)
	_, ok := l.Handle(now, Tick{}).(Update)
	assert.Assert(t, ok)
	l.Handle(now, WriteResult{Result: ResultOK, Version: 4})
	term, held := l.Term(now)
	assert.Assert(t, held && now.Before(term.SafeFrom))
	l.Release()
	for ; now.Before(term.SafeFrom); now = now.Add(TickInterval) {
		assert.Assert(t, l.Handle(now, Tick{}) == nil)
		assert.Assert(t, !l.Idle())
	}
	release := l.Handle(now, Tick{}).(Update)
	assert.Equal(t, release.Lease.Holder, "")
}

func TestNonCandidateMakesNoCalls(t *testing.T) {
	l := New(DefaultSettings(), "d1", "life1", rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, l.Handle(begin, Tick{}) == nil)
	assert.Assert(t, l.Idle())
}

func TestSettingsAreChecked(t *testing.T) {
	assert.NilError(t, DefaultSettings().Validate())
	assert.ErrorIs(t, Settings{}.Validate(), ErrBadSettings)
	long := DefaultSettings()
	long.OrderTimeout = time.Minute
	assert.ErrorIs(t, long.Validate(), ErrBadSettings)
}

func BenchmarkTick(b *testing.B) {
	b.ReportAllocs()
	l := newLeaser()
	l.Handle(begin, Tick{})
	now := begin
	l.Handle(now, ReadResult{Result: ResultNotFound})
	l.Handle(now, WriteResult{Result: ResultOK, Version: 7})
	for b.Loop() {
		l.Handle(now, Tick{})
	}
}
