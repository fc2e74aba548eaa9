package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/estimator"
)

// permitStage is the state of a permit as the actions so far imply it.
type permitStage int

const (
	queued permitStage = iota
	active
	refused
	ended
)

// ownerMachine applies random events to an Owner and checks each action against
// the earlier answers for the same permit.
type ownerMachine struct {
	owner        *admitter.Owner
	now          time.Time
	stages       map[admitter.PermitID]permitStage
	reqs         map[admitter.PermitID]admitter.Request
	answers      map[admitter.PermitID]admitter.Action
	ids          []admitter.PermitID
	orphanedAt   map[admitter.PermitID]time.Time
	running      map[string]int
	shuttingDown bool
	preemptions  int // Total in the load reports so far.
}

const (
	machineResumeGrace = 5 * time.Second
	machineMaxRunning  = 6 // MaxRunning of each customer.
)

// newOwnerMachine returns an ownerMachine with a new Owner.
func newOwnerMachine() *ownerMachine {
	return &ownerMachine{
		owner: admitter.NewOwner(admitter.Config{
			MemoryTokens: 8000, ResumeGrace: machineResumeGrace, MaxQueueWait: 10 * time.Second,
		}, estimator.New()),
		now:        testStart,
		stages:     make(map[admitter.PermitID]permitStage),
		reqs:       make(map[admitter.PermitID]admitter.Request),
		answers:    make(map[admitter.PermitID]admitter.Action),
		orphanedAt: make(map[admitter.PermitID]time.Time),
		running:    make(map[string]int),
	}
}

// checkActions checks actions and applies them to the stages.
func (m *ownerMachine) checkActions(t *rapid.T, actions []admitter.Action) {
	for _, a := range actions {
		s, ok := m.stages[a.ID]
		if !ok {
			t.Fatalf("%v of unknown %s", a.Kind, a.ID)
		}
		switch a.Kind {
		case admitter.Grant:
			m.checkGrant(t, a, s)
		case admitter.Refuse:
			m.checkRefusal(t, a, s)
		case admitter.Cancel:
			at, orphaned := m.orphanedAt[a.ID]
			if s != active || !orphaned || m.now.Sub(at) < machineResumeGrace {
				t.Fatalf("cancelled %s in stage %d", a.ID, s)
			}
			m.end(a.ID)
		}
	}
}

func (m *ownerMachine) checkGrant(t *rapid.T, a admitter.Action, s permitStage) {
	if s != queued || m.shuttingDown {
		t.Fatalf("granted %s in stage %d, shutting down %v", a.ID, s, m.shuttingDown)
	}
	m.stages[a.ID] = active
	m.answers[a.ID] = a
	c := m.reqs[a.ID].Customer
	m.running[c]++
	if m.running[c] > machineMaxRunning {
		t.Fatalf("%d running permits of customer %s", m.running[c], c)
	}
}

func (m *ownerMachine) checkRefusal(t *rapid.T, a admitter.Action, s permitStage) {
	if s != queued {
		t.Fatalf("refused %s in stage %d", a.ID, s)
	}
	r := m.reqs[a.ID]
	if a.Reason == admitter.ReasonDeadline && a.RetryAfter <= 0 {
		t.Fatalf("refused %s for its deadline without RetryAfter", a.ID)
	}
	if m.now.After(r.Deadline) {
		t.Fatalf("refused %s after its deadline", a.ID)
	}
	m.stages[a.ID] = refused
	m.answers[a.ID] = a
}

// end marks a permit as ended.
func (m *ownerMachine) end(id admitter.PermitID) {
	if m.stages[id] == active {
		m.running[m.reqs[id].Customer]--
	}
	m.stages[id] = ended
}

// drawID draws the ID of a known permit.
func (m *ownerMachine) drawID(t *rapid.T) admitter.PermitID {
	if len(m.ids) == 0 {
		t.Skip("no permit yet")
	}
	return rapid.SampledFrom(m.ids).Draw(t, "id")
}

// advance moves the clock to the next wake-up or by up to 90 ms, and calls Tick.
func (m *ownerMachine) advance(t *rapid.T) {
	if rapid.Bool().Draw(t, "wake") {
		m.now = m.owner.NextWake(m.now)
	} else {
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond)
	}
	m.checkActions(t, m.owner.Tick(m.now))
}

func (m *ownerMachine) enqueue(t *rapid.T) {
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
		Limits:       admitter.Limits{MaxRunning: machineMaxRunning, MaxQueued: 20},
	}
	m.ids = append(m.ids, id)
	m.stages[id], m.reqs[id] = queued, r
	m.checkActions(t, m.owner.Enqueue(m.now, r))
}

func (m *ownerMachine) repeat(t *rapid.T) {
	id := m.drawID(t)
	actions := m.owner.Enqueue(m.now, m.reqs[id])
	switch m.stages[id] {
	case queued:
		if len(actions) != 0 {
			t.Fatalf("repeat of queued %s: %v", id, actions)
		}
	case active:
		delete(m.orphanedAt, id)
		if len(actions) != 1 || actions[0] != m.answers[id] {
			t.Fatalf("repeat of %s: %v after %v", id, actions, m.answers[id])
		}
	case refused:
		if len(actions) != 1 || actions[0] != m.answers[id] {
			t.Fatalf("repeat of %s: %v after %v", id, actions, m.answers[id])
		}
	case ended:
		if len(actions) != 1 || actions[0].Reason != admitter.ReasonEnded {
			t.Fatalf("repeat of ended %s: %v", id, actions)
		}
	}
}

func (m *ownerMachine) release(t *rapid.T) {
	id := m.drawID(t)
	if m.stages[id] == refused {
		t.Skip("not held")
	}
	m.end(id)
	produced := rapid.IntRange(0, m.reqs[id].MaxTokens).Draw(t, "produced")
	m.checkActions(t, m.owner.Release(m.now, id, admitter.Result{Produced: produced, Finished: rapid.Bool().Draw(t, "finished")}))
}

func (m *ownerMachine) observe(t *rapid.T) {
	r := admitter.LoadReport{
		At:       m.now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "lag")) * time.Millisecond),
		StepTime: time.Duration(rapid.IntRange(5, 60).Draw(t, "step")) * time.Millisecond,
	}
	m.preemptions += rapid.IntRange(0, 1).Draw(t, "preemptions")
	r.Preemptions = m.preemptions
	for _, id := range m.ids {
		if m.stages[id] == active && rapid.IntRange(0, 9).Draw(t, "listed") > 0 {
			r.Sequences = append(r.Sequences, admitter.Sequence{
				ID: id, PromptTokens: m.reqs[id].PromptTokens,
				Produced: rapid.IntRange(0, m.reqs[id].MaxTokens).Draw(t, "produced"),
			})
		}
	}
	r.Running = len(r.Sequences)
	m.checkActions(t, m.owner.Observe(m.now, r))
}

func (m *ownerMachine) removeDaemon(t *rapid.T) {
	daemon := rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "daemon")
	for _, id := range m.ids {
		if m.reqs[id].Daemon != daemon {
			continue
		}
		if _, orphaned := m.orphanedAt[id]; m.stages[id] == active && !orphaned {
			m.orphanedAt[id] = m.now
		}
		if m.stages[id] == queued {
			m.stages[id] = ended
		}
	}
	m.checkActions(t, m.owner.RemoveDaemon(m.now, daemon))
}

func (m *ownerMachine) restore(t *rapid.T) {
	daemon := rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "daemon")
	var held []admitter.HeldPermit
	for _, id := range m.ids {
		r := m.reqs[id]
		if r.Daemon == daemon && m.stages[id] == active {
			held = append(held, admitter.HeldPermit{Request: r, Produced: 1})
			delete(m.orphanedAt, id)
		}
	}
	m.owner.AwaitRestore(m.now, []string{daemon})
	m.checkActions(t, m.owner.Restore(m.now, daemon, held))
}

func (m *ownerMachine) shutDown(t *rapid.T) {
	if rapid.IntRange(0, 30).Draw(t, "shutDown") > 0 {
		t.Skip("rare")
	}
	m.shuttingDown = true
	m.checkActions(t, m.owner.StopAdmission(m.now))
}

// endAll releases the granted permits until each queued request has been answered,
// and checks that this takes at most 5,000 wake-ups.
func (m *ownerMachine) endAll(t *rapid.T) {
	for range 5000 {
		pending := 0
		for _, id := range m.ids {
			switch m.stages[id] {
			case active:
				m.end(id)
				m.checkActions(t, m.owner.Release(m.now, id, admitter.Result{Produced: 1, Finished: true}))
				pending++
			case queued:
				pending++
			case refused, ended:
			}
		}
		if pending == 0 {
			return
		}
		m.now = m.owner.NextWake(m.now)
		m.checkActions(t, m.owner.Tick(m.now))
	}
	t.Fatal("requests without an answer after 5,000 wake-ups")
}

func TestOwnerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnerMachine()
		// rapid draws from the sorted names: other names would give each seed other
		// histories.
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.enqueue, "enqueue2": m.enqueue, "enqueue3": m.enqueue,
			"step": m.advance, "step2": m.advance,
			"repeat": m.repeat, "release": m.release, "observe": m.observe,
			"lose": m.removeDaemon, "restore": m.restore, "leave": m.shutDown,
		})
		m.endAll(t)
	})
}
