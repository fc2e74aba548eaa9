package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/estimator"
)

// stage is what the callers of the machine know of a permit.
type stage int

const (
	waiting stage = iota
	holding
	refused
	over
)

// machine drives an Owner by random events and checks its answers against what
// was answered before.
type machine struct {
	o       *admitter.Owner
	now     time.Time
	stages  map[admitter.PermitID]stage
	reqs    map[admitter.PermitID]admitter.Request
	answers map[admitter.PermitID]admitter.Action
	ids     []admitter.PermitID
	lostAt  map[admitter.PermitID]time.Time
	running map[string]int
	leaving bool
	total   int // Preemptions.
}

const (
	machineGrace   = 5 * time.Second
	machineRunning = 6 // MaxRunning of each customer.
)

// newMachine returns a machine with a fresh Owner.
func newMachine() *machine {
	return &machine{
		o: admitter.NewOwner(admitter.Config{
			MemoryTokens: 8000, ResumeGrace: machineGrace, AgeBound: 10 * time.Second,
		}, estimator.New()),
		now:     start,
		stages:  make(map[admitter.PermitID]stage),
		reqs:    make(map[admitter.PermitID]admitter.Request),
		answers: make(map[admitter.PermitID]admitter.Action),
		lostAt:  make(map[admitter.PermitID]time.Time),
		running: make(map[string]int),
	}
}

// take checks actions and notes them.
func (m *machine) take(t *rapid.T, actions []admitter.Action) {
	for _, a := range actions {
		s, ok := m.stages[a.ID]
		if !ok {
			t.Fatalf("%v of unknown %s", a.Kind, a.ID)
		}
		switch a.Kind {
		case admitter.Grant:
			m.granted(t, a, s)
		case admitter.Refuse:
			m.refused(t, a, s)
		case admitter.Cancel:
			at, lost := m.lostAt[a.ID]
			if s != holding || !lost || m.now.Sub(at) < machineGrace {
				t.Fatalf("cancelled %s in stage %d", a.ID, s)
			}
			m.finish(a.ID)
		}
	}
}

func (m *machine) granted(t *rapid.T, a admitter.Action, s stage) {
	if s != waiting || m.leaving {
		t.Fatalf("granted %s in stage %d, leaving %v", a.ID, s, m.leaving)
	}
	m.stages[a.ID] = holding
	m.answers[a.ID] = a
	c := m.reqs[a.ID].Customer
	m.running[c]++
	if m.running[c] > machineRunning {
		t.Fatalf("%d of customer %s run", m.running[c], c)
	}
}

func (m *machine) refused(t *rapid.T, a admitter.Action, s stage) {
	if s != waiting {
		t.Fatalf("refused %s in stage %d", a.ID, s)
	}
	r := m.reqs[a.ID]
	if a.Reason == admitter.ReasonDeadline && a.RetryAfter <= 0 {
		t.Fatalf("refused %s without a time to return", a.ID)
	}
	if m.now.After(r.Deadline) {
		t.Fatalf("refused %s after its deadline", a.ID)
	}
	m.stages[a.ID] = refused
	m.answers[a.ID] = a
}

// finish notes that a held permit is over.
func (m *machine) finish(id admitter.PermitID) {
	if m.stages[id] == holding {
		m.running[m.reqs[id].Customer]--
	}
	m.stages[id] = over
}

// pick draws a known permit.
func (m *machine) pick(t *rapid.T) admitter.PermitID {
	if len(m.ids) == 0 {
		t.Skip("no permit yet")
	}
	return rapid.SampledFrom(m.ids).Draw(t, "id")
}

// step moves the clock to the next wake-up or a little.
func (m *machine) step(t *rapid.T) {
	if rapid.Bool().Draw(t, "wake") {
		m.now = m.o.NextWake(m.now)
	} else {
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond)
	}
	m.take(t, m.o.Tick(m.now))
}

func (m *machine) enqueue(t *rapid.T) {
	id := admitter.PermitID(fmt.Sprint(len(m.ids)))
	r := admitter.Request{
		ID: id, Model: "m",
		Daemon:       rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "daemon"),
		Customer:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Kind:         rapid.SampledFrom([]string{"check", "draft"}).Draw(t, "kind"),
		Level:        0,
		PromptTokens: rapid.IntRange(0, 3000).Draw(t, "prompt"),
		MaxTokens:    rapid.IntRange(1, 4000).Draw(t, "max"),
		Arrived:      m.now,
		Deadline:     m.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second),
		Limits:       admitter.Limits{MaxRunning: machineRunning, MaxQueued: 20},
	}
	m.ids = append(m.ids, id)
	m.stages[id], m.reqs[id] = waiting, r
	m.take(t, m.o.Enqueue(m.now, r))
}

func (m *machine) repeat(t *rapid.T) {
	id := m.pick(t)
	actions := m.o.Enqueue(m.now, m.reqs[id])
	switch m.stages[id] {
	case waiting:
		if len(actions) != 0 {
			t.Fatalf("repeat of queued %s: %v", id, actions)
		}
	case holding:
		delete(m.lostAt, id)
		if len(actions) != 1 || actions[0] != m.answers[id] {
			t.Fatalf("repeat of %s: %v after %v", id, actions, m.answers[id])
		}
	case refused:
		if len(actions) != 1 || actions[0] != m.answers[id] {
			t.Fatalf("repeat of %s: %v after %v", id, actions, m.answers[id])
		}
	case over:
		if len(actions) != 1 || actions[0].Reason != admitter.ReasonEnded {
			t.Fatalf("repeat of ended %s: %v", id, actions)
		}
	}
}

func (m *machine) release(t *rapid.T) {
	id := m.pick(t)
	if m.stages[id] == refused {
		t.Skip("not held")
	}
	m.finish(id)
	produced := rapid.IntRange(0, m.reqs[id].MaxTokens).Draw(t, "produced")
	m.take(t, m.o.Release(m.now, id, admitter.Result{Produced: produced, Finished: rapid.Bool().Draw(t, "finished")}))
}

func (m *machine) observe(t *rapid.T) {
	r := admitter.LoadReport{
		At:   m.now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "lag")) * time.Millisecond),
		Step: time.Duration(rapid.IntRange(5, 60).Draw(t, "step")) * time.Millisecond,
	}
	m.total += rapid.IntRange(0, 1).Draw(t, "preemptions")
	r.Preemptions = m.total
	for _, id := range m.ids {
		if m.stages[id] == holding && rapid.IntRange(0, 9).Draw(t, "listed") > 0 {
			r.Sequences = append(r.Sequences, admitter.Sequence{
				ID: id, Prompt: m.reqs[id].PromptTokens,
				Produced: rapid.IntRange(0, m.reqs[id].MaxTokens).Draw(t, "produced"),
			})
		}
	}
	r.Running = len(r.Sequences)
	m.take(t, m.o.Observe(m.now, r))
}

func (m *machine) lose(t *rapid.T) {
	daemon := rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "daemon")
	for _, id := range m.ids {
		if m.reqs[id].Daemon != daemon {
			continue
		}
		if _, lost := m.lostAt[id]; m.stages[id] == holding && !lost {
			m.lostAt[id] = m.now
		}
		if m.stages[id] == waiting {
			m.stages[id] = over
		}
	}
	m.take(t, m.o.Lose(m.now, daemon))
}

func (m *machine) restore(t *rapid.T) {
	daemon := rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "daemon")
	var held []admitter.Held
	for _, id := range m.ids {
		r := m.reqs[id]
		if r.Daemon == daemon && m.stages[id] == holding {
			held = append(held, admitter.Held{Request: r, Produced: 1})
			delete(m.lostAt, id)
		}
	}
	m.o.Expect(m.now, []string{daemon})
	m.take(t, m.o.Restore(m.now, daemon, held))
}

func (m *machine) leave(t *rapid.T) {
	if rapid.IntRange(0, 30).Draw(t, "leave") > 0 {
		t.Skip("rare")
	}
	m.leaving = true
	m.take(t, m.o.Leave(m.now))
}

// drain lets all that runs end and checks that all that waits is answered in
// time.
func (m *machine) drain(t *rapid.T) {
	for range 5000 {
		pending := 0
		for _, id := range m.ids {
			switch m.stages[id] {
			case holding:
				m.finish(id)
				m.take(t, m.o.Release(m.now, id, admitter.Result{Produced: 1, Finished: true}))
				pending++
			case waiting:
				pending++
			case refused, over:
			}
		}
		if pending == 0 {
			return
		}
		m.now = m.o.NextWake(m.now)
		m.take(t, m.o.Tick(m.now))
	}
	t.Fatal("requests are left without an answer")
}

func TestOwnerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.enqueue, "enqueue2": m.enqueue, "enqueue3": m.enqueue,
			"step": m.step, "step2": m.step,
			"repeat": m.repeat, "release": m.release, "observe": m.observe,
			"lose": m.lose, "restore": m.restore, "leave": m.leave,
		})
		m.drain(t)
	})
}
