package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
)

// Guards against jobs, backups and migrations at an engine that wants no requests.
func TestDeferredEngineGetsNothing(t *testing.T) {
	all := engines(2, "a")
	p := newPlacer(1, all)
	recordLengths(p, 0)
	p.Defer(all[0].Identity, start.Add(5*time.Second))
	p.Defer(all[0].Identity, start.Add(time.Second)) // A deferral is not shortened.
	for i := range 3 {
		pl, ok := p.Submit(jobWithLateTarget(string(rune('a'+i)), 0, start), nil, start.Add(time.Duration(i)*time.Second))
		assert.Assert(t, ok)
		assert.Equal(t, pl.Engine.Name, all[1].Name)
		assert.Equal(t, pl.Backup.Name, "")
	}
	_, ok := p.MigrationTarget(jobWithLateTarget("a", 0, start), all[1], start)
	assert.Assert(t, !ok)
	pl, ok := p.Submit(jobWithLateTarget("d", 0, start), nil, start.Add(5*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, pl.Engine.Name, all[0].Name)
}

// Guards against queued jobs that wait for their deadlines although all engines want no
// requests until then.
func TestQueuedJobsAreRefusedWhenAllEnginesDefer(t *testing.T) {
	all := engines(2, "a")
	p := newPlacer(1, all)
	for _, e := range all {
		p.MarkUnreachable(e.Identity, start)
	}
	soon := jobWithLateTarget("soon", 0, start)
	soon.Deadline = start.Add(10 * time.Second)
	for _, j := range []placer.Job{jobWithLateTarget("late", 0, start), soon} {
		_, ok := p.Submit(j, nil, start)
		assert.Assert(t, !ok)
	}
	assert.Equal(t, len(p.Next(start)), 0)
	p.Defer(all[0].Identity, start.Add(20*time.Second))
	assert.Equal(t, len(p.Next(start)), 0)
	p.Defer(all[1].Identity, start.Add(30*time.Second))
	outcomes := p.Next(start)
	assert.Equal(t, len(outcomes), 1)
	assert.Assert(t, outcomes[0].Refused)
	assert.Equal(t, outcomes[0].Job.ID, "soon")
	assert.Equal(t, outcomes[0].RetryAfter, 20*time.Second)
}
