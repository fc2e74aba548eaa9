package quarantiner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func engine(i int) registrar.Identity {
	return registrar.Identity{Name: fmt.Sprint("e-", i), Started: int64(i)}
}

// prompt returns the parts of a prompt as suspects.
func prompt(parts ...Subject) []Suspect {
	list := make([]Suspect, len(parts))
	for i, p := range parts {
		list[i] = Suspect{Subject: p, Depth: i}
	}
	return list
}

// blamed returns the parts that are blocked.
func blamed(q *Quarantine, now time.Time) []Subject {
	var parts []Subject
	for _, v := range q.Blamed(now) {
		parts = append(parts, v.Subject)
	}
	return parts
}

// exchange lets two daemons exchange all evidence.
func exchange(t *testing.T, a, b *Quarantine, now time.Time) {
	t.Helper()
	a.Apply(b.Snapshot(now), false, now)
	b.Apply(a.Snapshot(now), false, now)
	assert.Equal(t, a.Digest(now), b.Digest(now))
}

// deliver sends what a daemon has to say to others.
func deliver(from *Quarantine, now time.Time, to ...*Quarantine) {
	for {
		e, _ := from.TakeUpdates(now)
		if e.Empty() {
			return
		}
		for _, q := range to {
			q.Apply(e, false, now)
		}
	}
}

func TestBlamesPartCommonToCrashes(t *testing.T) {
	q := New(Config{})
	for i := range 3 {
		_, ok := q.Check([]Subject{1, 2}, at(0))
		assert.Check(t, !ok)
		q.RecordCrash(engine(i), prompt(1, 2, Subject(10+i)), at(time.Duration(i)*time.Second))
		q.RecordProgress([]Subject{1}, at(time.Duration(i)*time.Second))
	}
	_, ok := q.Check([]Subject{1, 2, 99}, at(2*time.Second))
	assert.Check(t, !ok, "the block begins a moment later")
	now := at(3 * time.Second)
	v, ok := q.Check([]Subject{1, 2, 99}, now)
	assert.Check(t, ok)
	assert.Equal(t, v.Subject, Subject(2))
	assert.Equal(t, v.Crashes, 3)
	assert.Equal(t, v.Depth, 1)
	assert.DeepEqual(t, v.Engines, []registrar.Identity{engine(0), engine(1), engine(2)})
	assert.Equal(t, v.Since, at(0))
	assert.Equal(t, v.RetryAfter, time.Minute)
	_, ok = q.Check([]Subject{1, 10}, now)
	assert.Check(t, !ok)
}

func TestEvidenceSurvivesEncoding(t *testing.T) {
	q := New(Config{})
	q.RecordCrash(engine(1), prompt(PartOf("s", "1"), PartOf("s", "2")), at(0))
	e, _ := q.TakeUpdates(at(0))
	assert.Check(t, !e.Empty())
	b, err := msgpack.Marshal(e)
	assert.NilError(t, err)
	t.Logf("%d bytes", len(b))
	var got Evidence
	assert.NilError(t, msgpack.Unmarshal(b, &got))
	o := New(Config{})
	assert.Check(t, o.Apply(got, false, at(0)))
	assert.Equal(t, o.Digest(at(0)), q.Digest(at(0)))
}

// A daemon that joins late reaches the verdict of the others.
func TestLateDaemonConverges(t *testing.T) {
	a, b, late := New(Config{Self: "a"}), New(Config{Self: "b"}), New(Config{Self: "c"})
	for i := range 3 {
		now := at(time.Duration(i) * time.Second)
		a.RecordCrash(engine(i), prompt(1, 2), now)
		deliver(a, now, b)
	}
	now := at(20 * time.Second)
	assert.DeepEqual(t, blamed(b, now), []Subject{2})
	exchange(t, b, late, now)
	assert.DeepEqual(t, blamed(late, now), []Subject{2})
}

// crashAll records crashes of engines from first on, a second apart, with the same suspects.
func crashAll(q *Quarantine, first, n int, from time.Duration, suspects ...Subject) {
	for i := range n {
		q.RecordCrash(engine(first+i), prompt(suspects...), at(from+time.Duration(i)*time.Second))
	}
}

const settled = 1100 * time.Millisecond

func TestProgressProvesPartSound(t *testing.T) {
	for _, c := range []struct {
		name     string
		progress time.Duration
		want     []Subject
	}{
		{name: "long before", progress: -2 * time.Minute, want: []Subject{1}},
		{name: "shortly before", progress: -30 * time.Second, want: []Subject{1}},
		{name: "between the crashes", progress: 1500 * time.Millisecond, want: []Subject{1}},
		{name: "after the crashes", progress: 10 * time.Second, want: []Subject{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, o := New(Config{Self: "a"}), New(Config{Self: "b"})
			if c.progress < 2*time.Second {
				o.RecordProgress([]Subject{2}, at(c.progress))
			}
			crashAll(q, 0, 3, 0, 1, 2)
			now := at(2 * time.Second)
			deliver(q, now, o)
			if c.progress >= 2*time.Second {
				o.RecordProgress([]Subject{2}, at(c.progress))
			}
			now = now.Add(20 * time.Second)
			deliver(o, now, q)
			assert.DeepEqual(t, blamed(q, now), c.want)
			assert.DeepEqual(t, blamed(o, now), c.want)
			assert.Equal(t, q.Digest(now), o.Digest(now))
		})
	}
}

// Guards against progress long ago that proves a part sound for good: it only makes another part more likely that explains the same
// crashes.
func TestOldProgressProvesNothing(t *testing.T) {
	q, o := New(Config{Self: "a"}), New(Config{Self: "b"})
	o.RecordProgress([]Subject{2}, at(-2*time.Minute))
	for i := range 3 {
		crashAll(q, i, 1, time.Duration(i)*time.Second, Subject(10+i), 2)
	}
	now := at(3 * time.Second)
	deliver(q, now, o)
	now = now.Add(20 * time.Second)
	deliver(o, now, q)
	for _, d := range []*Quarantine{q, o} {
		assert.DeepEqual(t, blamed(d, now), []Subject{2})
	}
	assert.Equal(t, q.Digest(now), o.Digest(now))
}

// A part with progress at the daemon that reports a crash is not reported.
func TestReportsNoSoundParts(t *testing.T) {
	q := New(Config{})
	q.RecordProgress([]Subject{1, 2}, at(0))
	q.RecordCrash(engine(1), prompt(1, 2, 3), at(time.Second))
	q.RecordCrash(engine(2), prompt(1, 2), at(time.Second))
	e, _ := q.TakeUpdates(at(time.Second))
	assert.DeepEqual(t, e, Evidence{Crashes: []Crash{{Engine: engine(1), Suspects: []Suspect{{Subject: 3, Depth: 2}}, At: at(time.Second)}}})
}

// Only suspicions of several crashes are refuted, once, and by few of many daemons.
func TestRefutesSuspicionsOnce(t *testing.T) {
	reporter := New(Config{Self: "r"})
	var others []*Quarantine
	for i := range 300 {
		o := New(Config{Self: fmt.Sprint("d-", i)})
		o.RecordProgress([]Subject{1}, at(0))
		others = append(others, o)
	}
	answers := 0
	step := func(now time.Time) {
		deliver(reporter, now, others...)
		for _, o := range others {
			e, _ := o.TakeUpdates(now)
			answers += len(e.Progress)
			if e.Empty() {
				continue
			}
			reporter.Apply(e, false, now)
			for _, p := range others {
				p.Apply(e, false, now)
			}
		}
	}
	for i, want := range []struct{ least, most int }{{0, 0}, {1, 1}, {1, 1}, {1, 1}} {
		from := time.Duration(i) * time.Second
		reporter.RecordCrash(engine(i), prompt(1, 2), at(from))
		for d := time.Duration(0); d < time.Second; d += 20 * time.Millisecond {
			step(at(from + d))
		}
		assert.Check(t, answers >= want.least && answers <= want.most, "crash %d: %d answers", i, answers)
	}
	assert.DeepEqual(t, blamed(others[0], at(4*time.Second)), []Subject{2})
}

// A daemon that knows of progress says so at once when a part is blamed.
func TestRefutesBlameAtOnce(t *testing.T) {
	q, o := New(Config{Self: "a"}), New(Config{Self: "b"})
	o.RecordProgress([]Subject{1}, at(0))
	crashAll(q, 0, 3, time.Second, 1)
	now := at(3*time.Second + settled)
	assert.DeepEqual(t, blamed(q, now), []Subject{1})
	deliver(q, now, o)
	_, ok := o.Check([]Subject{1}, now)
	assert.Check(t, !ok)
	deliver(o, now, q)
	assert.DeepEqual(t, blamed(q, now), []Subject(nil))
}

func TestCrashesCloseToEachOtherAreOneIncident(t *testing.T) {
	q := New(Config{})
	for i := range 40 {
		q.RecordCrash(engine(i), prompt(1, Subject(100+i)), at(time.Duration(i)*5*time.Millisecond))
	}
	assert.DeepEqual(t, blamed(q, at(settled)), []Subject(nil))
	q.RecordCrash(engine(40), prompt(1), at(time.Second))
	assert.DeepEqual(t, blamed(q, at(time.Second)), []Subject{1}) // Many crashes in two incidents.
}

func TestStaggeredCrashesWithoutCommonPartBlameNobody(t *testing.T) {
	q := New(Config{})
	for i := range 60 {
		q.RecordCrash(engine(i), prompt(Subject(i%7), Subject(100+i)), at(time.Duration(i)*time.Second))
	}
	assert.DeepEqual(t, blamed(q, at(time.Minute+settled)), []Subject(nil))
}

// Reports of several daemons about the same engine are one crash.
func TestMergesReportsOfOneEngine(t *testing.T) {
	a, b := New(Config{Self: "a"}), New(Config{Self: "b"})
	for i := range 2 {
		for range 3 {
			a.RecordCrash(engine(i), prompt(1, 2), at(time.Duration(i)*time.Second))
			b.RecordCrash(engine(i), prompt(1, 3), at(time.Duration(i)*time.Second+settled))
		}
	}
	now := at(3 * time.Second)
	exchange(t, a, b, now)
	assert.DeepEqual(t, blamed(a, now), []Subject(nil))
	s := a.Snapshot(now)
	assert.Equal(t, len(s.Crashes), 2)
	assert.DeepEqual(t, s.Crashes[0], Crash{Engine: engine(0), At: at(0), Suspects: []Suspect{{Subject: 1}, {Subject: 2, Depth: 1}, {Subject: 3, Depth: 1}}})
}

func TestFindsTwoPartsAtOnce(t *testing.T) {
	q := New(Config{})
	for i := range 6 {
		q.RecordCrash(engine(i), prompt(1, Subject(2+i%2), Subject(100+i)), at(time.Duration(i)*time.Second))
		q.RecordProgress([]Subject{1}, at(time.Duration(i)*time.Second))
	}
	assert.DeepEqual(t, blamed(q, at(6*time.Second)), []Subject{2, 3})
}

// Guards against sound parts whose first runs were all on engines that were killed: a crash with
// which they have nothing in common shows that engines are killed.
func TestUnrelatedCrashDefersBlame(t *testing.T) {
	q := New(Config{})
	crashAll(q, 0, 2, 0, 1)
	q.RecordCrash(engine(9), prompt(7), at(1500*time.Millisecond))
	crashAll(q, 2, 2, 2*time.Second, 1)
	assert.DeepEqual(t, blamed(q, at(4*time.Second)), []Subject(nil))
	crashAll(q, 4, 1, 4*time.Second, 1)
	assert.DeepEqual(t, blamed(q, at(4*time.Second)), []Subject{1})
}

// Guards against a block that ends when crashes expire on which the verdict depends.
func TestBlameOutlivesCrashesOfItsContext(t *testing.T) {
	q := New(Config{})
	for i, p := range []Subject{1, 7, 1, 7, 1} {
		q.RecordCrash(engine(i), prompt(p), at(time.Duration(i)*time.Second))
	}
	assert.DeepEqual(t, blamed(q, at(6*time.Second)), []Subject{1})
	for d := 5 * time.Minute; d < 5*time.Minute+5*time.Second; d += 500 * time.Millisecond {
		assert.DeepEqual(t, blamed(q, at(d)), []Subject{1})
	}
}

// Guards against a sound part that is blocked because the daemon whose run ended the last engine
// reports it later than those whose other runs ended with it, as in soak seed 136.
func TestLateReportOfBadPartBlocksNoOther(t *testing.T) {
	q := New(Config{})
	for i := range 8 {
		q.RecordCrash(engine(i), prompt(1, 2), at(time.Duration(i)*20*time.Millisecond))
	}
	q.RecordCrash(engine(8), prompt(1), at(time.Second))
	assert.DeepEqual(t, blamed(q, at(1200*time.Millisecond)), []Subject(nil))
	q.RecordCrash(engine(8), prompt(1, 2), at(1200*time.Millisecond))
	assert.DeepEqual(t, blamed(q, at(1200*time.Millisecond)), []Subject{2})
}

func TestPrefersDeeperPart(t *testing.T) {
	q := New(Config{})
	crashAll(q, 0, 3, 0, 9, 5, 7)
	assert.DeepEqual(t, blamed(q, at(3*time.Second)), []Subject{7})
}

// Guards against a part of many sound requests that is blamed for the crashes of another one, since its progress is a minute old
// and it stands behind that one in each prompt. The block would keep any new progress away.
func TestPartWithProgressIsNotBlamedForNewOne(t *testing.T) {
	const instructions, document, question, footer = 1, 2, 3, 4
	for _, behind := range [][]Subject{{question}, {question, footer}} {
		for _, crashes := range []int{3, 4, 6} {
			a, b := New(Config{Self: "a"}), New(Config{Self: "b"})
			a.RecordProgress(slices.Concat([]Subject{instructions, 10}, behind), at(0))
			b.RecordProgress([]Subject{instructions, 11}, at(0))
			idle := 2 * time.Minute
			now := at(idle)
			for i := range crashes {
				now = at(idle + time.Duration(i)*700*time.Millisecond)
				b.RecordCrash(engine(i), prompt(slices.Concat([]Subject{instructions, document}, behind)...), now)
				deliver(b, now, a)
				deliver(a, now, b)
				now = now.Add(400 * time.Millisecond) // Answers are late.
				deliver(a, now, b)
			}
			now = now.Add(time.Second)
			for _, q := range []*Quarantine{a, b} {
				assert.DeepEqual(t, blamed(q, now), []Subject{document})
				_, blocked := q.Check(slices.Concat([]Subject{instructions, 12}, behind), now)
				assert.Assert(t, !blocked)
			}
			assert.Equal(t, a.Digest(now), b.Digest(now))
		}
	}
}

// Guards against a part that begins to crash engines and goes free since it made progress before.
func TestPartThatTurnsBadIsBlamed(t *testing.T) {
	q := New(Config{Self: "a"})
	q.RecordProgress([]Subject{1, 2, 3}, at(0))
	crashAll(q, 0, 3, 2*time.Minute, 1, 7, 2) // 2 has turned bad; 7 is new and comes with it by chance.
	now := at(2*time.Minute + 3*time.Second)
	assert.DeepEqual(t, blamed(q, now), []Subject{7})
	for i := range 3 {
		crashAll(q, 10+i, 1, 2*time.Minute+time.Duration(4+i)*time.Second, 1, Subject(20+i), 2)
	}
	q.RecordProgress([]Subject{1}, at(2*time.Minute+7*time.Second))
	now = at(2*time.Minute + 9*time.Second)
	assert.DeepEqual(t, blamed(q, now), []Subject{2})
	_, blocked := q.Check([]Subject{1, 7}, now)
	assert.Assert(t, !blocked, "the part that came with it is free")
}

// A part that came with the bad one by chance was blamed until the bad one came without it.
func TestCommonPartSupersedesPartsThatCameWithIt(t *testing.T) {
	q := New(Config{})
	crashAll(q, 0, 3, 0, 1, 2, 3)
	assert.DeepEqual(t, blamed(q, at(3*time.Second)), []Subject{3})
	crashAll(q, 10, 3, 5*time.Second, 1, 2, 4)
	q.RecordProgress([]Subject{1, 4}, at(5*time.Second))
	assert.DeepEqual(t, blamed(q, at(8*time.Second)), []Subject{2})
	_, ok := q.Check([]Subject{1, 3}, at(8*time.Second))
	assert.Check(t, !ok)
}

func TestExplainedCrashesBlameNoOtherPart(t *testing.T) {
	q := New(Config{})
	q.RecordProgress([]Subject{1}, at(0))
	crashAll(q, 0, 3, 0, 1, 2)
	crashAll(q, 10, 10, 5*time.Second, 7, 2, 8)
	assert.DeepEqual(t, blamed(q, at(20*time.Second)), []Subject{2})
}

func TestRetractedCrashIsNoEvidence(t *testing.T) {
	a, b := New(Config{Self: "a"}), New(Config{Self: "b"})
	crashAll(a, 0, 3, 0, 1)
	now := at(3 * time.Second)
	deliver(a, now, b)
	assert.DeepEqual(t, blamed(b, now), []Subject{1})
	b.Retract(engine(1), now)
	deliver(b, now, a)
	assert.DeepEqual(t, blamed(a, now), []Subject(nil))
	assert.DeepEqual(t, blamed(b, now), []Subject(nil))
	a.RecordCrash(engine(1), prompt(1), now.Add(time.Second)) // A late report of the same crash.
	assert.DeepEqual(t, blamed(a, now.Add(2*time.Second)), []Subject(nil))
	a.RecordCrash(engine(1), prompt(1), now.Add(time.Minute)) // It ran, and crashed later.
	assert.DeepEqual(t, blamed(a, now.Add(time.Minute+settled)), []Subject{1})
}

// A daemon that found an engine running ignored all its later crashes.
func TestCrashAfterRetractionIsEvidence(t *testing.T) {
	a, b := New(Config{Self: "a"}), New(Config{Self: "b"})
	a.Retract(engine(0), at(0))
	crashAll(a, 0, 3, time.Minute, 1)
	now := at(time.Minute + 10*time.Second)
	assert.DeepEqual(t, blamed(a, now), []Subject{1})
	deliver(a, now, b)
	b.Retract(engine(0), at(0))
	deliver(b, now.Add(time.Second), a)
	assert.DeepEqual(t, blamed(a, now.Add(time.Second)), []Subject{1})
}

func TestIgnoresEvidenceOfTheFuture(t *testing.T) {
	q := New(Config{})
	crashAll(q, 0, 3, 0, 1)
	now := at(10 * time.Second)
	future := at(time.Hour)
	assert.Check(t, !q.Apply(Evidence{
		Crashes:  []Crash{{Engine: engine(9), Suspects: prompt(2), At: future}},
		Progress: []Progress{{Subject: 1, At: future}},
		Trials:   []Trial{{Subject: 1, Round: 9, At: future}},
	}, true, now))
	assert.DeepEqual(t, blamed(q, now), []Subject{1})
}

// A daemon that knew the cause of an end before another one reported it says so.
func TestRetractsReportsOfOthers(t *testing.T) {
	a, b := New(Config{Self: "a"}), New(Config{Self: "b"})
	b.Retract(engine(1), at(0))
	e, _ := b.TakeUpdates(at(0))
	assert.Check(t, e.Empty())
	crashAll(a, 0, 3, 0, 1)
	now := at(3 * time.Second)
	deliver(a, now, b)
	now = now.Add(time.Second)
	deliver(b, now, a)
	assert.DeepEqual(t, blamed(a, now), []Subject(nil))
	assert.Equal(t, a.Digest(now), b.Digest(now))
}

func TestTrialIsForOneRequestOfOneDaemon(t *testing.T) {
	a, b := New(Config{Self: "a"}), New(Config{Self: "b"})
	crashAll(a, 0, 3, 0, 1)
	deliver(a, at(2*time.Second), b)
	last := 2 * time.Second
	assert.Check(t, !a.TryTrial(1, true, at(last+59*time.Second)), "not due")
	now := at(last + time.Minute)
	assert.Check(t, !b.TryTrial(1, false, now), "not chosen")
	assert.Check(t, a.TryTrial(1, true, now))
	assert.Check(t, !a.TryTrial(1, true, now), "only once")
	deliver(a, now, b)
	assert.Check(t, !b.TryTrial(1, true, now))
	v, ok := b.Check([]Subject{1}, now)
	assert.Check(t, ok)
	assert.Equal(t, v.Trials, 1)
	assert.Equal(t, v.RetryAfter, 2*time.Minute+time.Second)

	// One crash extends the block.
	now = now.Add(time.Second)
	a.RecordCrash(engine(5), prompt(1), now)
	deliver(a, now, b)
	v, ok = b.Check([]Subject{1}, now)
	assert.Check(t, ok)
	assert.Equal(t, v.Crashes, 4)
	assert.Equal(t, v.RetryAfter, 2*time.Minute+time.Second)

	// Progress ends it.
	now = now.Add(2 * time.Minute)
	assert.Check(t, b.TryTrial(1, true, now))
	b.RecordProgress([]Subject{1}, now.Add(time.Second))
	deliver(b, now.Add(time.Second), a)
	for _, q := range []*Quarantine{a, b} {
		_, ok = q.Check([]Subject{1}, now.Add(time.Second))
		assert.Check(t, !ok)
	}
}

func TestBlocksGrowToLimit(t *testing.T) {
	q := New(Config{})
	crashAll(q, 0, 3, 0, 1)
	now := at(2 * time.Second)
	for i, want := range []time.Duration{1, 2, 4, 8, 15, 15} {
		v, _ := q.Check([]Subject{1}, now.Add(settled))
		assert.Equal(t, v.RetryAfter+settled, want*time.Minute+time.Second)
		now = now.Add(want * time.Minute)
		assert.Check(t, q.TryTrial(1, true, now))
		now = now.Add(time.Second)
		q.RecordCrash(engine(10+i), prompt(1), now)
	}
}

// The chosen daemon may have no request with the part.
func TestOtherDaemonTriesLater(t *testing.T) {
	q := New(Config{Self: "a"})
	crashAll(q, 0, 3, 0, 1)
	due := at(2*time.Second + time.Minute)
	assert.Check(t, !q.TryTrial(1, false, due.Add(14*time.Second)))
	assert.Check(t, q.TryTrial(1, false, due.Add(30*time.Second)))
}

func TestEvidenceAges(t *testing.T) {
	q := New(Config{})
	crashAll(q, 0, 2, 0, 1)
	crashAll(q, 10, 1, 6*time.Minute, 1)
	assert.DeepEqual(t, blamed(q, at(7*time.Minute)), []Subject(nil)) // The crashes are too far apart.

	crashAll(q, 20, 3, 20*time.Minute, 1)
	last := 20*time.Minute + 2*time.Second
	assert.DeepEqual(t, blamed(q, at(last+10*time.Minute)), []Subject{1})
	assert.DeepEqual(t, blamed(q, at(last+15*time.Minute+59*time.Second)), []Subject{1})
	assert.DeepEqual(t, blamed(q, at(last+16*time.Minute+time.Second)), []Subject(nil))
	assert.Equal(t, q.Digest(at(last+16*time.Minute+time.Second)), uint64(0))
	assert.Check(t, q.Snapshot(at(time.Hour)).Empty())
}

func TestEvidenceIsBounded(t *testing.T) {
	q := New(Config{})
	now := at(0)
	for i := range 700 {
		now = at(time.Duration(i) * 10 * time.Millisecond)
		var parts []Subject
		for j := range 100 {
			parts = append(parts, Subject(i*100+j+1000))
		}
		q.RecordCrash(engine(i), prompt(append(parts, Subject(i%50))...), now)
		q.Apply(Evidence{Progress: []Progress{{Subject: parts[0], At: now}}, Trials: []Trial{{Subject: parts[1], Round: 1, At: now}}}, true, now)
		q.Retract(engine(100000+i), now)
	}
	s := q.Snapshot(now)
	assert.Check(t, len(s.Crashes) <= maxCrashes, "%d crashes", len(s.Crashes))
	assert.Check(t, len(s.Progress) <= maxProgress)
	assert.Check(t, len(s.Trials) <= maxTrials)
	assert.Check(t, len(q.retracted) <= maxRetracted)
	t.Logf("%d bytes of a snapshot of %d crashes", encodedSize(s), len(s.Crashes))
	for i := 0; ; i++ {
		own, relayed := q.TakeUpdates(now)
		if own.Empty() && relayed.Empty() {
			break
		}
		assert.Check(t, encodedSize(own) < 16<<10, "%d bytes", encodedSize(own))
		assert.Check(t, i < 1000)
	}
}

// A blame survives many crashes of other causes, and many of its own.
func TestBlameOutlivesOtherCrashes(t *testing.T) {
	q := New(Config{})
	crashAll(q, 0, 3, 0, 1)
	for i := range 600 {
		q.RecordCrash(engine(100+i), prompt(Subject(1000+i)), at(3*time.Second+time.Duration(i)*20*time.Millisecond))
		q.RecordCrash(engine(1000+i), prompt(1, Subject(2000+i)), at(3*time.Second+time.Duration(i)*20*time.Millisecond))
	}
	assert.DeepEqual(t, blamed(q, at(20*time.Second)), []Subject{1})
	assert.Check(t, len(q.Snapshot(at(20*time.Second)).Crashes) <= maxCrashes)
}

// What a daemon drops at once it doesn't relay, or daemons would relay it forever.
func TestRelaysOnlyWhatIsNew(t *testing.T) {
	a, b := New(Config{Self: "a"}), New(Config{Self: "b"})
	crashAll(a, 0, 20, 0, 1)
	now := at(20 * time.Second)
	own, _ := a.TakeUpdates(now)
	assert.Check(t, b.Apply(own, true, now))
	own, relayed := b.TakeUpdates(now)
	assert.Check(t, own.Empty())
	assert.Check(t, len(relayed.Crashes) > 0)
	for range 3 {
		assert.Check(t, !b.Apply(relayed, true, now))
		assert.Check(t, !a.Apply(relayed, true, now))
		old := Evidence{
			Crashes:  []Crash{{Engine: engine(99), Suspects: prompt(7), At: at(-time.Hour)}, {Engine: engine(5), Suspects: prompt(1), At: at(5 * time.Second)}},
			Progress: []Progress{{Subject: 7, At: at(-time.Hour)}},
			Trials:   []Trial{{Subject: 7, At: at(-time.Hour)}},
		}
		assert.Check(t, !b.Apply(old, true, now))
	}
	own, relayed = b.TakeUpdates(now)
	assert.Check(t, own.Empty() && relayed.Empty())
}

func TestSyncsWhenEvidenceStaysDifferent(t *testing.T) {
	a, late := New(Config{Self: "a"}), New(Config{Self: "b"})
	assert.Check(t, !a.ShouldSync(0, at(0)))
	crashAll(a, 0, 1, 0, 1)
	assert.Check(t, late.ShouldSync(a.Digest(at(0)), at(0)), "a daemon without evidence")
	other := a.Digest(at(0)) + 1
	assert.Check(t, !a.ShouldSync(other, at(100*time.Millisecond)), "evidence still spreads")
	assert.Check(t, a.ShouldSync(other, at(1100*time.Millisecond)))
	assert.Check(t, !a.ShouldSync(other, at(1200*time.Millisecond)), "an exchange was begun")
}

func TestCheckAllocatesNothing(t *testing.T) {
	q := New(Config{})
	parts := []Subject{1, 2, 3, 4}
	q.RecordProgress(parts, at(0))
	crashAll(q, 0, 2, 0, 5)
	q.Check(parts, at(time.Second))
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		q.Check(parts, at(time.Second))
		q.RecordProgress(parts, at(time.Second))
	}), 0.0)
}

func TestProgressTableKeepsNewest(t *testing.T) {
	var table progressTable
	for i := range 200_000 {
		table.record(PartOf("s", fmt.Sprint(i)), 0, at(time.Duration(i)*time.Millisecond))
		table.record(1, 0, at(time.Duration(i)*time.Millisecond))
	}
	got, ok := table.last(1)
	assert.Check(t, ok)
	assert.Equal(t, got.Sub(start), 199_999*time.Millisecond)
	kept := 0
	for i := 198_000; i < 200_000; i++ {
		if _, ok := table.last(PartOf("s", fmt.Sprint(i))); ok {
			kept++
		}
	}
	assert.Check(t, kept > 1900, "%d of 2000 kept", kept)
}

// Guards against a part of hundreds of sound requests that is forgotten while others pass by once each.
func TestProgressTableKeepsRepeatedParts(t *testing.T) {
	var table progressTable
	for i := range 20 {
		table.record(1, PartOf("s", fmt.Sprint(i))|requestBit, at(time.Duration(i)*time.Millisecond))
	}
	once := PartOf("s", "once")
	for i := range 20 { // Of one request, which made progress for some time.
		table.record(once, 7|requestBit, at(time.Duration(i)*time.Millisecond))
	}
	for i := range 200_000 {
		table.record(PartOf("t", fmt.Sprint(i)), PartOf("t", fmt.Sprint(i))|requestBit, at(time.Duration(i)*time.Millisecond))
	}
	got, ok := table.last(1)
	assert.Check(t, ok)
	assert.Equal(t, got.Sub(start), 19*time.Millisecond)
	_, ok = table.last(once)
	assert.Check(t, !ok)
}

func TestConcurrentUse(t *testing.T) {
	q := New(Config{Self: "a"})
	var wg conc.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 200 {
				now := at(time.Duration(i) * 20 * time.Millisecond)
				q.RecordCrash(engine(g*1000+i), prompt(1, 2, Subject(1000+i)), now)
				q.RecordProgress([]Subject{1, Subject(1000 + i)}, now)
				q.Check([]Subject{1, 2, 3}, now)
				q.TryTrial(2, true, now.Add(time.Minute))
				own, _ := q.TakeUpdates(now)
				q.Apply(own, true, now)
				q.Retract(engine(g*1000+2*i), now)
				q.Digest(now)
				q.Blamed(now)
			}
		})
	}
	wg.Wait()
	assert.DeepEqual(t, blamed(q, at(4*time.Second)), []Subject{2})
}
