package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/matcher"
)

// Guards against jobs, backups and migrations on engines outside the allowed regions of a job, and
// against engines whose memory is kept free for a peer's queued job that they may not get.
func TestJobsStayInAllowedRegions(t *testing.T) {
	all := append(engines(2, "a"), engines(2, "b")...)
	regional := cfg
	regional.Regions = matcher.Regions{"a": "eu"} // That of b is not known.
	p := placer.New(regional, rand.New(rand.NewPCG(1, 1)))
	p.SetEngines(all, start)
	recordLengths(p, 0)
	for i := range 8 {
		j := job(fmt.Sprint("r", i), 1000, 0, start)
		j.AllowedRegions = []string{"eu"}
		pl, ok := p.Submit(j, nil, start)
		assert.Assert(t, ok && pl.Engine.Domain == "a" && pl.Backup.Domain != "b", "%+v", pl)
		to, ok := p.MigrationTarget(j, pl.Engine, start)
		assert.Assert(t, ok && to.Domain == "a")
	}
	j := job("none", 1000, 0, start)
	j.AllowedRegions = []string{"us"}
	_, ok := p.Submit(j, nil, start)
	assert.Assert(t, !ok)
	var queued []placer.Update
	for _, u := range p.TakeUpdates() {
		if u.Event == placer.Queued {
			queued = append(queued, u)
		}
	}
	assert.DeepEqual(t, queued[0].AllowedRegions, []string{"us"})
	peerOf := func(updates []placer.Update) int {
		other := placer.New(regional, rand.New(rand.NewPCG(2, 1)))
		other.SetEngines(all[2:], start)
		recordLengths(other, 0)
		recordLengths(other, 1)
		for i := range 12 {
			for _, u := range updates {
				u.JobID, u.PromptTokens, u.FirstEventIn = fmt.Sprint("q", i), 9000, time.Minute
				other.ApplyUpdates([]placer.Update{u}, start)
			}
		}
		for n := 0; ; n++ {
			if _, ok := other.Submit(jobWithLateTarget(fmt.Sprint("x", n), 1, start), nil, start); !ok {
				return n
			}
		}
	}
	assert.Equal(t, peerOf(queued), peerOf(nil))
	queued[0].AllowedRegions = nil
	assert.Assert(t, peerOf(queued) < peerOf(nil), "%d, %d", peerOf(queued), peerOf(nil))
}
