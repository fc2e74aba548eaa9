package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

// Guards against new jobs, backups and migrations on engines of an evacuated domain, and against a
// placement made just before that is sent after it.
func TestEvacuatedEnginesGetNoWork(t *testing.T) {
	all := append(engines(3, "a"), engines(3, "b")[2])
	all[3].Name = "other"
	p := newPlacer(1, all)
	recordLengths(p, 0)
	j := job("before", 1000, 0, start)
	_, ok := p.Submit(j, map[registrar.Identity]bool{all[3].Identity: true}, start)
	assert.Assert(t, ok && p.Confirm("before", start))
	p.SetEvacuated([]string{"a"})
	assert.Assert(t, !p.Confirm("before", start))
	for i := range 12 {
		j := job(fmt.Sprint("r", i), 1000, 0, start)
		j.AllowBackup = true
		pl, ok := p.Submit(j, nil, start)
		assert.Assert(t, ok && pl.Engine.Name == "other" && pl.Backup.Name == "", "%+v", pl)
	}
	to, ok := p.MigrationTarget(job("m", 1000, 0, start), all[0], start)
	assert.Assert(t, ok && to.Name == "other")
	p.SetEvacuated(nil)
	_, ok = p.MigrationTarget(job("m", 1000, 0, start), all[3], start)
	assert.Assert(t, ok)
}

// Guards against memory that is kept free for the runs of evacuated engines, which do not migrate, and
// against an engine that is forgotten, with its runs, if its evacuation lasts for long.
func TestRunsOnEvacuatedEnginesAreKept(t *testing.T) {
	all := engines(4, "a")
	all[0].Domain = "z0"
	capacity := func(change func(p *placer.Placer)) int {
		p := newPlacer(1, all)
		recordLengths(p, 0)
		recordLengths(p, 1)
		for k := range 8 {
			p.ApplyUpdates([]placer.Update{{JobID: fmt.Sprint("r", k), Event: placer.Placed, Engine: all[0].Identity, PromptTokens: 3000, Model: "m", Running: true}}, start)
		}
		change(p)
		p.SetEngines(all, start.Add(time.Minute))
		assert.Equal(t, len(p.EvacuationTurns(all[0].Identity, 19e9/8, 131072, start.Add(time.Minute))), 8)
		for i := 0; ; i++ {
			if _, ok := p.Submit(jobWithLateTarget(fmt.Sprint("f", i), 1, start), map[registrar.Identity]bool{all[0].Identity: true}, start); !ok {
				return i
			}
		}
	}
	before := capacity(func(*placer.Placer) {})
	during := capacity(func(p *placer.Placer) { p.SetEvacuated([]string{"z0"}) })
	t.Logf("%d jobs fit on the other engines before the evacuation, %d during it", before, during)
	assert.Equal(t, during, before)
}
