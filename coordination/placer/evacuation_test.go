package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

// When the platform reclaims an engine, concurrent migrations would slow each
// other on its link. The runs therefore migrate in turns, and all daemons compute
// the same ones.
func TestEvacuationTurns(t *testing.T) {
	all := engines(2, "a")
	p, other := newPlacer(1, all[:1]), newPlacer(2, all[:1])
	recordLengths(p, 0)
	recordLengths(other, 0)
	for i := range 4 {
		pl, ok := p.Submit(job(fmt.Sprint("r", i), 3000, 0, start), nil, start)
		assert.Assert(t, ok && pl.Backup.Name == "")
		p.RecordFirstEvent(fmt.Sprint("r", i), start)
	}
	other.ApplyUpdates(p.TakeUpdates(), start)
	p.SetEngines(all[1:], start)
	other.SetEngines(all[1:], start)
	const linkBytes, tokenBytes = 19e9 / 8, 131072
	turns := p.EvacuationTurns(all[0].Identity, linkBytes, tokenBytes, start)
	theirs := other.EvacuationTurns(all[0].Identity, linkBytes, tokenBytes, start)
	assert.Equal(t, len(turns), 4)
	seen := map[int]bool{}
	for id, turn := range turns {
		assert.Assert(t, turn.Local && !theirs[id].Local)
		assert.Equal(t, turn.StartAfter, theirs[id].StartAfter)
		assert.Assert(t, turn.StartAfter >= time.Duration(turn.RunsAhead)*165*time.Millisecond)
		assert.Assert(t, turn.TimeNeeded >= time.Duration(4-turn.RunsAhead)*165*time.Millisecond)
		assert.Assert(t, turn.StartAfter+turn.TimeNeeded < 4*330*time.Millisecond)
		seen[turn.RunsAhead] = true
	}
	assert.Equal(t, len(seen), 4)
}

// Memory on the target is reserved while a run migrates, at this daemon and at its
// peers, and released when the migration fails.
func TestMigrationReservesMemory(t *testing.T) {
	all := engines(2, "a")
	p, other := newPlacer(1, all), newPlacer(2, all)
	for _, x := range []*placer.Placer{p, other} {
		recordLengths(x, 0)
	}
	const fits = 11 // Runs of 3,008 tokens in 34,298.
	for i := range fits + 1 {
		to, ok := p.MigrationTarget(job(fmt.Sprint("m", i), 3000, 0, start), all[0], start)
		assert.Assert(t, ok == (i < fits), "migration %d", i)
		assert.Assert(t, !ok || to.Name == all[1].Name)
	}
	other.ApplyUpdates(p.TakeUpdates(), start)
	x := job("x", 3000, 0, start)
	_, ok := other.MigrationTarget(x, all[0], start)
	assert.Assert(t, !ok)
	p.MigrationFailed("m0", false, start)
	other.ApplyUpdates(p.TakeUpdates(), start)
	_, ok = other.MigrationTarget(x, all[0], start)
	assert.Assert(t, ok)
}

// When an engine is reclaimed and the forecast is full on all others, its runs
// would be lost without a target. A run then migrates to an engine where its memory
// fits now. An engine that has just refused a migration is not tried again until
// a backoff is over.
func TestMigrationToAFullEngine(t *testing.T) {
	all := engines(3, "a")
	p := newPlacer(1, all)
	recordLengths(p, 0)
	fillEngines(p) // All three engines, up to the limit of the forecast peak.
	run := job("run", 1000, 0, start)
	run.OutputTokens = 600
	to, ok := p.MigrationTarget(run, all[0], start)
	assert.Assert(t, ok)
	p.MigrationFailed("run", true, start)
	next, ok := p.MigrationTarget(run, all[0], start)
	assert.Assert(t, ok && next.Name != to.Name)
	p.MigrationFailed("run", true, start)
	_, ok = p.MigrationTarget(run, all[0], start)
	assert.Assert(t, !ok)
	_, ok = p.MigrationTarget(run, all[0], start.Add(300*time.Millisecond))
	assert.Assert(t, ok)
}

// When several engines are reclaimed at once, daemons choose targets before they
// receive each other's updates. The runs must still spread over several targets.
func TestSimultaneousEvacuationsSpreadRuns(t *testing.T) {
	all := engines(16, "a")
	runsByTarget := map[string]int{}
	for i := range 4 {
		p := newPlacer(uint64(i+1), all)
		recordLengths(p, 0)
		for k := range 4 { // One run on each engine that shuts down.
			p.ApplyUpdates([]placer.Update{{JobID: fmt.Sprint("r", k), Event: placer.Placed, Engine: all[k].Identity, PromptTokens: 3000, Model: "m", Running: true}}, start)
		}
		p.SetEngines(all[4:], start)
		to, ok := p.MigrationTarget(job(fmt.Sprint("r", i), 3000, 0, start), all[i], start)
		assert.Assert(t, ok)
		runsByTarget[to.Name]++
	}
	assert.Assert(t, len(runsByTarget) >= 3, "%v", runsByTarget)
}

// While the runs of a reclaimed engine must migrate, queued jobs must not take all
// the free memory of the other engines.
func TestNewJobsLeaveMemoryForEvacuations(t *testing.T) {
	capacity := func(shutdown bool) int {
		all := engines(4, "a")
		p := newPlacer(1, all)
		recordLengths(p, 0)
		recordLengths(p, 1)
		for k := range 8 {
			p.ApplyUpdates([]placer.Update{{JobID: fmt.Sprint("r", k), Event: placer.Placed, Engine: all[0].Identity, PromptTokens: 3000, Model: "m", Running: true}}, start)
		}
		if shutdown {
			p.SetEngines(all[1:], start)
		}
		placed := map[string]int{}
		for i := 0; ; i++ {
			pl, ok := p.Submit(jobWithLateTarget(fmt.Sprint("f", i), 1, start), map[registrar.Identity]bool{all[0].Identity: true}, start)
			if !ok {
				return len(placed) * placed[all[1].Name]
			}
			placed[pl.Engine.Name]++
		}
	}
	before, during := capacity(false), capacity(true)
	assert.Assert(t, during <= before-3 && during > 0, "%d, then %d", before, during)
}
