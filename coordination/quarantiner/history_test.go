package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// history drives a few daemons through random events.
type history struct {
	now     time.Time
	daemons []*Quarantine
	engines int
	sound   map[Subject]time.Time // Last progress of each part at any daemon.
}

const (
	historyParts   = 6
	historyDaemons = 3
)

func newHistory() *history {
	h := &history{now: start, sound: map[Subject]time.Time{}}
	for i := range historyDaemons {
		h.daemons = append(h.daemons, New(Config{Self: fmt.Sprint("d-", i)}))
	}
	return h
}

func drawParts(t *rapid.T) []Subject {
	return rapid.SliceOfNDistinct(rapid.Map(rapid.IntRange(1, historyParts), func(i int) Subject { return Subject(i) }), 1, 4, rapid.ID).Draw(t, "parts")
}

// actions returns the events.
func (h *history) actions() map[string]func(*rapid.T) {
	daemon := func(t *rapid.T) *Quarantine { return h.daemons[rapid.IntRange(0, historyDaemons-1).Draw(t, "daemon")] }
	return map[string]func(*rapid.T){
		"crash": func(t *rapid.T) {
			q, parts := daemon(t), drawParts(t)
			h.engines++
			q.RecordCrash(engine(h.engines), prompt(parts...), h.now)
		},
		"report again": func(t *rapid.T) {
			daemon(t).RecordCrash(engine(rapid.IntRange(1, h.engines+1).Draw(t, "engine")), prompt(drawParts(t)...), h.now)
		},
		"progress": func(t *rapid.T) {
			parts := drawParts(t)
			daemon(t).RecordProgress(parts, h.now)
			for _, p := range parts {
				h.sound[p] = h.now
			}
		},
		"retract": func(t *rapid.T) {
			daemon(t).Retract(engine(rapid.IntRange(1, h.engines+1).Draw(t, "engine")), h.now)
		},
		"trial": func(t *rapid.T) {
			daemon(t).TryTrial(Subject(rapid.IntRange(1, historyParts).Draw(t, "part")), true, h.now)
		},
		"exchange": func(t *rapid.T) {
			h.exchange(daemon(t), daemon(t))
		},
		"updates": func(t *rapid.T) {
			from, to := daemon(t), daemon(t)
			own, relayed := from.TakeUpdates(h.now)
			to.Apply(own, true, h.now)
			to.Apply(relayed, false, h.now)
		},
		"pass": func(t *rapid.T) {
			h.now = h.now.Add(time.Duration(rapid.SampledFrom([]int64{20, 300, 1000, 20_000, 200_000, 700_000}).Draw(t, "ms")) * time.Millisecond)
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, historyDaemons-1).Draw(t, "daemon")
			h.daemons[i] = New(Config{Self: fmt.Sprint("d-", i)})
		},
	}
}

func (h *history) exchange(a, b *Quarantine) {
	x, y := a.Snapshot(h.now), b.Snapshot(h.now)
	a.Apply(y, false, h.now)
	b.Apply(x, false, h.now)
}

// settle lets the daemons exchange everything.
func (h *history) settle() {
	for range 4 {
		h.now = h.now.Add(time.Second)
		for i, a := range h.daemons {
			own, relayed := a.TakeUpdates(h.now)
			for j, b := range h.daemons {
				if j == i {
					continue
				}
				b.Apply(own, false, h.now)
				b.Apply(relayed, false, h.now)
				h.exchange(a, b)
			}
		}
	}
}

// Whatever happened before, daemons that exchange all evidence reach equal verdicts.
func TestHistoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		t.Repeat(h.actions())
		h.settle()
		for _, q := range h.daemons[1:] {
			assert.Equal(t, q.Digest(h.now), h.daemons[0].Digest(h.now))
			assert.DeepEqual(t, q.Blamed(h.now), h.daemons[0].Blamed(h.now))
		}
	})
}

// A part that made progress at a daemon is not blocked there within the retention.
func TestHistoriesNeverBlockSoundPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		q := h.daemons[0]
		actions := h.actions()
		delete(actions, "restart")
		delete(actions, "progress")
		var part Subject
		var progress time.Time
		actions["progress here"] = func(t *rapid.T) {
			part, progress = drawParts(t)[0], h.now
			q.RecordProgress([]Subject{part}, h.now)
		}
		actions[""] = func(t *rapid.T) {
			if progress.IsZero() || h.now.Sub(progress) > time.Minute {
				return
			}
			v, ok := q.Check([]Subject{part}, h.now)
			assert.Check(t, !ok, "%v", v)
		}
		t.Repeat(actions)
	})
}

// The order in which evidence arrives doesn't matter.
func TestVerdictsDependOnEvidenceOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(time.Minute)
		var facts []Evidence
		for i := range rapid.IntRange(1, 30).Draw(t, "facts") {
			when := at(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				facts = append(facts, Evidence{Progress: []Progress{{Subject: drawParts(t)[0], At: when}}})
				continue
			}
			facts = append(facts, Evidence{Crashes: []Crash{{Engine: engine(i / 2), Suspects: prompt(drawParts(t)...), At: when}}})
		}
		a, b := New(Config{}), New(Config{})
		for _, e := range facts {
			a.Apply(e, false, now)
			a.Check([]Subject{1}, now)
		}
		for _, e := range rapid.Permutation(facts).Draw(t, "order") {
			b.Apply(e, false, now)
		}
		assert.Equal(t, a.Digest(now), b.Digest(now))
		assert.DeepEqual(t, a.Blamed(now), b.Blamed(now))
	})
}
