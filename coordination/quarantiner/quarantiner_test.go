package quarantiner

import (
	"fmt"
	"testing"
	"time"

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
func prompt(parts ...Part) []Suspect {
	list := make([]Suspect, len(parts))
	for i, p := range parts {
		list[i] = Suspect{Part: p, Depth: i}
	}
	return list
}

// blamed returns the parts that are blocked.
func blamed(q *Quarantine, now time.Time) []Part {
	var parts []Part
	for _, v := range q.Blamed(now) {
		parts = append(parts, v.Part)
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
		_, ok := q.Check([]Part{1, 2}, at(0))
		assert.Check(t, !ok)
		q.RecordCrash(engine(i), prompt(1, 2, Part(10+i)), at(time.Duration(i)*time.Second))
		q.RecordProgress([]Part{1}, at(time.Duration(i)*time.Second))
	}
	now := at(2 * time.Second)
	v, ok := q.Check([]Part{1, 2, 99}, now)
	assert.Check(t, ok)
	assert.Equal(t, v.Part, Part(2))
	assert.Equal(t, v.Crashes, 3)
	assert.Equal(t, v.Depth, 1)
	assert.DeepEqual(t, v.Engines, []registrar.Identity{engine(0), engine(1), engine(2)})
	assert.Equal(t, v.Since, at(0))
	assert.Equal(t, v.RetryAfter, time.Minute+time.Second)
	_, ok = q.Check([]Part{1, 10}, now)
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
	assert.DeepEqual(t, blamed(b, now), []Part{2})
	exchange(t, b, late, now)
	assert.DeepEqual(t, blamed(late, now), []Part{2})
}
