package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
)

// Guards against updates that arrive in another order over relays than they were published, so that
// a daemon forgets a run, or keeps one that has ended: of each history, every order in which the
// urgent updates keep theirs has to end in the same state as the order of the history.
func TestUpdatesInAnyOrderEndInTheSameState(t *testing.T) {
	all := engines(2, "a")
	placed := placer.Update{Event: placer.Placed, Engine: all[0].Identity, PromptTokens: 12_000, Model: "m"}
	again := placed
	again.Engine = all[1].Identity
	migrating := again
	migrating.Event = placer.Migrating
	started, ended := placer.Update{Event: placer.Started}, placer.Update{Event: placer.Ended}
	queued := placer.Update{Event: placer.Queued, PromptTokens: 12_000, Model: "m", FirstEventIn: time.Second}
	taken := again
	taken.Owner = "d-2"
	for name, history := range map[string][]placer.Update{
		"ended":               {queued, placed, started, ended},
		"refused, then again": {placed, ended, again, started},
		"migrated":            {placed, started, migrating, again},
		"migrated, ended":     {placed, started, migrating, again, ended},
		"withdrawn":           {queued, ended},
		"withdrawn, again":    {queued, ended, queued},
		"taken over":          {placed, started, ended, taken},
	} {
		for i := range history {
			history[i].JobID, history[i].Number = "j", i+1
			if history[i].Owner == "" {
				history[i].Owner = "d-1"
			}
		}
		want := stateAfter(history)
		for _, order := range orders(history) {
			assert.Equal(t, stateAfter(order), want, "%s: %v", name, order)
		}
	}
}

// orders returns the orders of updates in which the urgent ones of one daemon keep theirs. Those of a
// daemon that takes a job over come after all placements of the former one.
func orders(rest []placer.Update) [][]placer.Update {
	if len(rest) == 0 {
		return [][]placer.Update{nil}
	}
	var all [][]placer.Update
	urgentSeen := false
	for i, u := range rest {
		delayed := u.Event == placer.Started || u.Event == placer.Ended
		if !delayed && urgentSeen {
			continue
		}
		urgentSeen = urgentSeen || !delayed
		others := append(append([]placer.Update{}, rest[:i]...), rest[i+1:]...)
		for _, o := range orders(others) {
			all = append(all, append([]placer.Update{u}, o...))
		}
	}
	return all
}

// stateAfter applies the updates, 10 ms after one another, and describes which of two engines holds
// the job, and whether its prompt is still to be read.
func stateAfter(updates []placer.Update) string {
	p := newPlacer(1, engines(2, "a"))
	now := start
	for i := range updates {
		p.ApplyUpdates(updates[i:i+1], now)
		now = now.Add(10 * time.Millisecond)
	}
	return p.Describe("j")
}

// Guards against a daemon that restarts and numbers its updates from one again: its jobs must not be
// ignored for longer than updates may overtake each other.
func TestNumbersOfRestartedDaemonAreAccepted(t *testing.T) {
	p := newPlacer(1, engines(2, "a"))
	u := placer.Update{JobID: "j", Event: placer.Placed, Engine: engines(2, "a")[0].Identity, PromptTokens: 100, Owner: "d", Number: 900}
	p.ApplyUpdates([]placer.Update{u}, start)
	u.Engine, u.Number = engines(2, "a")[1].Identity, 1
	p.ApplyUpdates([]placer.Update{u}, start.Add(3*time.Second))
	assert.Equal(t, p.Describe("j"), fmt.Sprintf("on %s", u.Engine.Name))
}
