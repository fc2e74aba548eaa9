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

// step is how far a history moves on at once.
const step = 500 * time.Millisecond

// world is a lease object and some daemons that contend for it. Their clocks
// start apart and run at rates that differ by up to two percent.
type world struct {
	t       *rapid.T
	now     time.Duration
	lease   Lease
	version uint64
	exists  bool
	daemons []*daemon
	broken  error
}

type daemon struct {
	l      *Leaser
	offset time.Duration
	rate   float64
	paused bool
	calls  []*call
	held   int // Steps for which the lease was held.
}

// call is one call to the platform, on the world's clock.
type call struct {
	act      Action
	effect   time.Duration // When it takes effect; negative if never.
	answer   time.Duration
	lost     bool
	refused  bool
	applied  bool
	answered bool
	write    WriteResult
	read     ReadResult
}

func (w *world) local(d *daemon) time.Time {
	return time.Unix(1000, 0).Add(d.offset + time.Duration(float64(w.now)*d.rate))
}

func newWorld(t *rapid.T, off mechanisms) *world {
	w := &world{t: t}
	seed := uint64(seeder.Pick(t, "seed", 1<<20))
	for i := range rapid.IntRange(2, 4).Draw(t, "daemons") {
		cfg := DefaultSettings()
		cfg.off = off
		d := &daemon{
			offset: time.Duration(seeder.Pick(t, "offset", 10_000_000)) * time.Millisecond,
			rate:   1 + float64(seeder.Pick(t, "rate", 41)-20)/1000,
		}
		d.l = New(cfg, fmt.Sprintf("d%d", i), fmt.Sprintf("life%d", i), rand.New(rand.NewPCG(seed, uint64(i))))
		d.l.SetCandidate(true)
		w.daemons = append(w.daemons, d)
	}
	return w
}

// issue draws what becomes of a call.
func (w *world) issue(d *daemon, act Action, calm bool) {
	if act == nil {
		return
	}
	c := &call{act: act, effect: w.now, answer: w.now}
	if !calm {
		w.disturb(c)
	}
	d.calls = append(d.calls, c)
}

func (w *world) disturb(c *call) {
	delay := func(label string, most int) time.Duration {
		return time.Duration(seeder.Pick(w.t, label, most+1)) * step
	}
	switch seeder.Pick(w.t, "fate", 8) {
	case 0: // Refused.
		c.effect, c.refused = -1, true
	case 1: // Lost before it takes effect.
		c.effect, c.lost = -1, true
	case 2: // Takes effect, and the answer is lost.
		c.lost = true
		c.answer += delay("give up", 6)
	case 3: // Takes effect after its sender gave it up.
		c.lost = true
		c.answer += delay("give up", 6)
		c.effect = c.answer + delay("late", 60)
	case 4: // Takes effect late, and is answered later.
		c.effect += delay("effect", 30)
		c.answer = c.effect + delay("answer", 30)
	}
}

func (w *world) apply(c *call) {
	c.applied = true
	switch act := c.act.(type) {
	case Read:
		c.read = ReadResult{Result: ResultNotFound}
		if w.exists {
			c.read = ReadResult{Result: ResultOK, Version: w.version, Lease: w.lease}
		}
	case Create:
		c.write = WriteResult{Result: ResultConflict}
		if !w.exists {
			w.put(c, act.Lease)
		}
	case Update:
		c.write = WriteResult{Result: ResultConflict}
		if w.exists && w.version == act.Version {
			w.put(c, act.Lease)
		}
	}
}

func (w *world) put(c *call, l Lease) {
	w.exists = true
	w.lease = l
	w.version++
	c.write = WriteResult{Result: ResultOK, Version: w.version}
}

// event returns the answer to c.
func (c *call) event() Event {
	res := ResultOK
	switch {
	case c.refused:
		res = ResultUnavailable
	case c.lost:
		res = ResultLost
	}
	if _, ok := c.act.(Read); ok {
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

// advance moves all on by one step.
func (w *world) advance(calm bool) {
	w.now += step
	for _, d := range w.daemons {
		for _, c := range d.calls {
			if !c.applied && c.effect >= 0 && c.effect <= w.now {
				w.apply(c)
			}
		}
	}
	for _, d := range w.daemons {
		if d.paused {
			continue
		}
		d.answerCalls(w, calm)
		w.issue(d, d.l.Handle(w.local(d), Tick{}), calm)
	}
	w.check()
}

func (d *daemon) answerCalls(w *world, calm bool) {
	for _, c := range d.calls {
		if c.answered || c.answer > w.now || (!c.applied && !c.lost && !c.refused) {
			continue
		}
		c.answered = true
		w.issue(d, d.l.Handle(w.local(d), c.event()), calm)
	}
	kept := d.calls[:0]
	for _, c := range d.calls {
		if !c.answered || (!c.applied && c.effect >= 0) {
			kept = append(kept, c)
		}
	}
	d.calls = kept
}

// check fails the history if two daemons trust the lease at once.
func (w *world) check() {
	holders := 0
	for _, d := range w.daemons {
		if _, ok := d.l.Term(w.local(d)); ok {
			holders++
			d.held++
		}
	}
	if holders > 1 && w.broken == nil {
		w.broken = fmt.Errorf("%d holders at %v", holders, w.now)
	}
}

func history(t *rapid.T, off mechanisms) (err error) {
	defer func() {
		if r := recover(); r != nil && strings.Contains(fmt.Sprint(r), "fence_monotonic") {
			err = fmt.Errorf("asserted: %v", r)
		} else if r != nil {
			panic(r)
		}
	}()
	w := newWorld(t, off)
	for range rapid.IntRange(20, 300).Draw(t, "steps") {
		if i := seeder.Pick(t, "pause", 20*len(w.daemons)); i < len(w.daemons) {
			w.daemons[i].paused = !w.daemons[i].paused
		}
		w.advance(false)
		if w.broken != nil {
			return w.broken
		}
	}
	return w.recover()
}

// recover ends all faults; one daemon must then come to hold the lease.
func (w *world) recover() error {
	for _, d := range w.daemons {
		d.paused = false
	}
	for range int(2 * time.Minute / step) {
		w.advance(true)
		if w.broken != nil {
			return w.broken
		}
	}
	for _, d := range w.daemons {
		if _, ok := d.l.Term(w.local(d)); ok {
			return nil
		}
	}
	return fmt.Errorf("nobody holds the lease after recovery: %+v", w.lease)
}

func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := history(t, mechanisms{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsAreNeeded shows that the histories fail without each mechanism.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, tc := range []struct {
		name string
		off  mechanisms
	}{
		{"time from before the send", mechanisms{fromSend: true}},
		{"read back after a lost answer", mechanisms{readBack: true}},
		{"waiting for the whole duration", mechanisms{observe: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed, err := seeder.FirstFailure(func(t *rapid.T) error { return history(t, tc.off) }, "", 1000)
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

func TestTrustEndsWithPause(t *testing.T) {
	l := newLeaser()
	l.Handle(begin, Tick{})
	now := begin
	_, ok := l.Handle(now, ReadResult{Result: ResultNotFound}).(Create)
	assert.Assert(t, ok)
	l.Handle(now.Add(time.Second), WriteResult{Result: ResultOK, Version: 7})
	term, held := l.Term(now.Add(time.Second))
	assert.Assert(t, held)
	assert.Equal(t, term.Fence, uint64(7))
	assert.Equal(t, term.Until, now.Add(19*time.Second))
	_, held = l.Term(now.Add(20 * time.Second))
	assert.Assert(t, !held)
}

func TestLapsedLeaseIsTakenAfterItsDuration(t *testing.T) {
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
			assert.Equal(t, term.Quiet, now.Add(6*time.Second))
			return
		}
	}
	t.Fatal("the lease is not taken")
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	l := newLeaser()
	l.Handle(begin, Tick{})
	now := begin
	l.Handle(now, ReadResult{Result: ResultNotFound})
	l.Handle(now, WriteResult{Result: ResultOK, Version: 7})
	l.Release()
	_, held := l.Term(now)
	assert.Assert(t, !held)
	up := l.Handle(now, Tick{}).(Update)
	assert.Equal(t, up.Lease.Holder, "")
	l.Handle(now, WriteResult{Result: ResultOK, Version: 8})
	assert.Assert(t, l.Idle())

	next := New(DefaultSettings(), "d2", "life2", rand.New(rand.NewPCG(1, 1)))
	next.SetCandidate(true)
	next.Handle(now, Tick{})
	next.Handle(now, ReadResult{Result: ResultOK, Version: 8, Lease: up.Lease})
	next.Handle(now, WriteResult{Result: ResultOK, Version: 9})
	term, held := next.Term(now)
	assert.Assert(t, held)
	assert.Equal(t, term.Quiet, now)
}

func TestNoCandidateMakesNoCalls(t *testing.T) {
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
