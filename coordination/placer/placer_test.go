package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cfg describes engines like those of customers, with memory for about ten jobs.
var cfg = placer.Config{
	Domain: "a", Slots: 24, MemoryTokens: 34298, BlockTokens: 16, TokensPerEvent: 4, StepTime: 8 * time.Millisecond,
	PrefillTokensPerMs: 14, ReportLag: 500 * time.Millisecond, Deviations: 0.5,
}

func engines(n int, domain string) []registrar.Endpoint {
	var all []registrar.Endpoint
	for i := range n {
		all = append(all, registrar.Endpoint{
			Identity: registrar.Identity{Name: fmt.Sprint(domain, i)}, Domain: domain, Addr: fmt.Sprint("10.0.0.", i, ":80"), Slots: 24,
		})
	}
	return all
}

func newPlacer(seed uint64, all []registrar.Endpoint) *placer.Placer {
	p := placer.New(cfg, rand.New(rand.NewPCG(seed, 1)))
	p.SetEngines(all, start)
	return p
}

func job(id string, prompt, priority int, now time.Time) placer.Job {
	return placer.Job{
		ID: id, Class: placer.ClassOf("m", priority), PromptTokens: prompt, MaxTokens: 2200, Priority: priority,
		FirstEventDue: now.Add(1800 * time.Millisecond), Deadline: now.Add(39 * time.Second), AllowBackup: true,
	}
}

// jobWithLateTarget returns a job whose first event is due late, so that its
// placement depends on memory alone.
func jobWithLateTarget(id string, priority int, now time.Time) placer.Job {
	j := job(id, 3000, priority, now)
	j.FirstEventDue = now.Add(time.Minute)
	return j
}

// recordLengths records jobs with outputs of 400 to 1,300 tokens.
func recordLengths(p *placer.Placer, priority int) {
	for i := range 200 {
		p.RecordEnd(job(fmt.Sprint("past", i), 3000, priority, start), 400+900*i/200, true, start)
	}
	p.TakeUpdates()
}

// Herding: seven daemons place jobs at the same time, on eleven busy engines and
// one that has just been added. Without updates about each other's placements at
// least one job of each daemon is placed on the new engine; with updates, only a
// few.
func TestUpdatesPreventHerding(t *testing.T) {
	withUpdates, withoutUpdates := placementsOnNewEngine(t, true), placementsOnNewEngine(t, false)
	// At least the first job of each daemon.
	assert.Assert(t, withoutUpdates >= 7, "%d", withoutUpdates)
	assert.Assert(t, withUpdates <= 4, "%d", withUpdates)
}

// placementsOnNewEngine returns how many of 14 placements by 7 daemons are on the
// one empty engine of 12.
func placementsOnNewEngine(t *testing.T, exchange bool) int {
	t.Helper()
	all := engines(12, "a")
	var daemons []*placer.Placer
	for i := range 7 {
		p := newPlacer(uint64(i+1), all)
		recordLengths(p, 0)
		for k, e := range all[1:] {
			p.Observe(e.Identity, busyReport(k), start)
		}
		daemons = append(daemons, p)
	}
	got := 0
	for i := range 14 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		p := daemons[i%7]
		pl, ok := p.Submit(job(fmt.Sprint("j", i), 3000, 0, now), nil, now)
		assert.Assert(t, ok)
		if pl.Engine.Name == all[0].Name {
			got++
		}
		updates := p.TakeUpdates()
		for _, other := range daemons {
			if exchange && other != p {
				other.ApplyUpdates(updates, now)
			}
		}
	}
	return got
}

// busyReport returns a report of six running sequences.
func busyReport(k int) placer.Report {
	r := placer.Report{Running: 6, MemoryUsed: 20000, MemoryTotal: 34298}
	for i := range 6 {
		r.Sequences = append(r.Sequences, placer.Sequence{ID: fmt.Sprint("o", k, "-", i), Tokens: 3300, Events: 75})
	}
	return r
}

// When all engines are full, jobs are queued until memory becomes free. Those that
// can still be on time are then placed first, the more urgent before the less
// urgent.
func TestFullEnginesQueueJobsInOrder(t *testing.T) {
	p := newPlacer(1, engines(1, "a"))
	recordLengths(p, 0)
	recordLengths(p, 1)
	placed := fillEngines(p)
	assert.Assert(t, placed >= 6 && placed <= 11, "%d", placed)
	for i := range placed {
		p.RecordFirstEvent(fmt.Sprint("f", i), start)
	}
	assert.Equal(t, len(pollNext(p, start)), 0)
	_, ok := p.Submit(job("urgent", 2000, 0, start), nil, start)
	assert.Assert(t, !ok)
	queued := p.QueueLength()
	now := start.Add(100 * time.Millisecond)
	p.RecordEnd(job("f0", 3000, 1, start), 900, true, now)
	outcomes := pollNext(p, now)
	assert.Assert(t, len(outcomes) > 0 && len(outcomes) < queued, "%d", len(outcomes))
	assert.Equal(t, outcomes[0].Job.ID, "urgent")
}

// pollNext calls Next up to 40 times, until there are outcomes.
func pollNext(p *placer.Placer, now time.Time) []placer.Outcome {
	for range 40 {
		if outcomes := p.Next(now); len(outcomes) > 0 {
			return outcomes
		}
	}
	return nil
}

// fillEngines submits jobs until one is queued, and returns how many were placed.
func fillEngines(p *placer.Placer) int {
	for i := 0; ; i++ {
		if _, ok := p.Submit(jobWithLateTarget(fmt.Sprint("f", i), 1, start), nil, start); !ok {
			return i
		}
	}
}

// A job that can't be answered before its deadline is refused at once, with a
// time to retry after.
func TestJobThatMissesItsDeadlineIsRefused(t *testing.T) {
	p := newPlacer(1, engines(1, "a"))
	recordLengths(p, 1)
	fillEngines(p)
	late := job("late", 3000, 0, start)
	late.Deadline = start.Add(200 * time.Millisecond)
	_, ok := p.Submit(late, nil, start)
	assert.Assert(t, !ok)
	outcomes := pollNext(p, start)
	assert.Equal(t, len(outcomes), 1)
	assert.Equal(t, outcomes[0].Job.ID, "late")
	assert.Assert(t, outcomes[0].Refused && outcomes[0].RetryAfter > 0)
}

// Engines free memory bit by bit, so a large job has to be first in the queue earlier
// than a small one, or it is late before there is enough.
func TestLargeJobIsQueuedAheadOfSmallerOneThatIsDueABitEarlier(t *testing.T) {
	p := newPlacer(1, engines(1, "a"))
	recordLengths(p, 1)
	n := fillEngines(p)
	p.Withdraw(fmt.Sprint("f", n))
	small, large := job("small", 2500, 1, start), job("large", 5000, 1, start.Add(500*time.Millisecond))
	for _, j := range []placer.Job{small, large} {
		_, ok := p.Submit(j, nil, start)
		assert.Assert(t, !ok)
	}
	p.Next(start)
	assert.Equal(t, p.Withdraw("large").JobsAhead, 0)
}

// lateJob returns a job whose first event was due earlier and whose client leaves
// after the given time.
func lateJob(id string, leavesIn time.Duration) placer.Job {
	j := job(id, 3000, 1, start)
	j.FirstEventDue, j.FirstEventLimit = start.Add(-time.Second), start.Add(leavesIn)
	return j
}

// Late jobs that will probably not get memory before their clients leave are refused
// at once, rather than wait in vain. Those that were late first stay, as many as
// will be placed at the rate of the last seconds.
func TestLateJobsWithoutProspectAreRefused(t *testing.T) {
	all := engines(2, "a")
	p := newPlacer(1, all[:1])
	recordLengths(p, 1)
	fillEngines(p)
	for i := range 8 {
		_, ok := p.Submit(lateJob(fmt.Sprint("late", i), 5*time.Second), nil, start)
		assert.Assert(t, !ok)
	}
	for i := range 3 { // One per second within the window of 3 s.
		id := fmt.Sprint("remote", i)
		p.ApplyUpdates([]placer.Update{{JobID: id, Event: placer.Queued, PromptTokens: 3000, Model: "m", FirstEventIn: -time.Minute}}, start)
		p.ApplyUpdates([]placer.Update{{JobID: id, Event: placer.Placed, Engine: all[1].Identity, PromptTokens: 3000, Model: "m"}}, start)
	}
	var refused []string
	for _, o := range p.Next(start) {
		refused = append(refused, o.Job.ID)
		// Clients return only within a third of the time that they have left.
		assert.Assert(t, o.Refused && o.RetryAfter > 0 && o.RetryAfter <= o.Job.Deadline.Sub(start)/3)
	}
	assert.DeepEqual(t, refused, []string{"late5", "late6", "late7"})
	later := start.Add(3500 * time.Millisecond)
	assert.Equal(t, len(p.Next(later)), 5) // No late job was placed within the window.
}

// A job that is late already must not be placed behind so many prompts that its
// client leaves before the first event.
func TestLateJobsDoNotPileUpOnOneEngine(t *testing.T) {
	p := newPlacer(1, engines(1, "a"))
	recordLengths(p, 1)
	for i := range 6 {
		_, ok := p.Submit(lateJob(fmt.Sprint("late", i), 1500*time.Millisecond), nil, start)
		assert.Assert(t, ok == (i < 3), "job %d", i) // 430 ms of prefill each.
	}
}

// When a failure domain is unreachable, jobs stay queued for the engines of the
// other one rather than be sent to unreachable ones, until the backoff is over.
func TestUnreachableEnginesAreNotTried(t *testing.T) {
	near, far := engines(1, "a"), engines(2, "b")
	p := newPlacer(1, append(near, far...))
	recordLengths(p, 1)
	for _, e := range far {
		p.MarkUnreachable(e.Identity, start)
	}
	n := fillEngines(p)
	assert.Assert(t, n >= 6 && n <= 11, "%d", n)
	assert.Equal(t, len(p.Next(start.Add(time.Second))), 0)
	outcomes := p.Next(start.Add(2 * time.Second))
	assert.Equal(t, len(outcomes), 1)
	assert.Equal(t, outcomes[0].Placement.Engine.Domain, "b")
}

// Five daemons place jobs on the same engine before they receive each other's
// updates. All daemons must agree on the jobs that don't fit and are withdrawn.
func TestConcurrentPlacementsAreResolvedAlike(t *testing.T) {
	all := engines(1, "a")
	var daemons []*placer.Placer
	for i := range 5 {
		p := newPlacer(uint64(i+1), all)
		recordLengths(p, 0)
		_, ok := p.Submit(job(fmt.Sprint("j", i), 3500, 0, start), nil, start)
		assert.Assert(t, ok)
		daemons = append(daemons, p)
	}
	exchangeUpdates(daemons, start.Add(10*time.Millisecond))
	var kept []string
	for i, p := range daemons {
		if id := fmt.Sprint("j", i); p.Confirm(id, start.Add(20*time.Millisecond)) {
			kept = append(kept, id)
		}
	}
	assert.DeepEqual(t, kept, []string{"j0", "j1", "j2"}) // 500 ms of prefill each, due in 1,800 ms.
	exchangeUpdates(daemons, start.Add(30*time.Millisecond))
	_, ok := daemons[4].Submit(job("j4", 3500, 0, start), nil, start.Add(30*time.Millisecond))
	assert.Assert(t, !ok)
}

// The state of a queued job tells engines without free memory from those whose
// prefill backlog would make the first event late.
func TestQueueStateTellsMemoryFromPrefill(t *testing.T) {
	full := newPlacer(1, engines(1, "a"))
	recordLengths(full, 1)
	fillEngines(full)
	_, ok := full.Submit(job("j", 3000, 1, start), nil, start)
	assert.Assert(t, !ok)
	full.Next(start)
	assert.Equal(t, full.Withdraw("j"), placer.QueueState{EnginesFull: 1})

	busy := newPlacer(1, engines(1, "a"))
	recordLengths(busy, 1)
	for i := range 6 {
		busy.Submit(job(fmt.Sprint("j", i), 3000, 1, start), nil, start)
	}
	busy.Next(start)
	assert.Equal(t, busy.Withdraw("j5"), placer.QueueState{JobsAhead: 1, EnginesBusy: 1})
	assert.Equal(t, busy.Withdraw("unknown"), placer.QueueState{})
}

// A client's estimate far above the limit on the output must not get a job
// refused.
func TestLargeEstimateIsNotRefused(t *testing.T) {
	p := newPlacer(1, engines(1, "a"))
	recordLengths(p, 1)
	fillEngines(p)
	j := job("wild", 3000, 0, start)
	j.EstimatedTokens = 50_000
	_, ok := p.Submit(j, nil, start)
	assert.Assert(t, !ok)
	assert.Equal(t, len(p.Next(start)), 0)
	assert.Equal(t, p.Next(start.Add(35 * time.Second))[0].Job.ID, "wild")
}

// Engines in the daemon's own failure domain are preferred, so that a partition
// between domains interrupts few streams.
func TestOwnFailureDomainIsPreferred(t *testing.T) {
	p := newPlacer(1, append(engines(4, "a"), engines(8, "b")...))
	recordLengths(p, 0)
	for i := range 8 {
		j := job(fmt.Sprint("j", i), 3000, 0, start)
		j.AllowBackup = false
		pl, ok := p.Submit(j, nil, start)
		assert.Assert(t, ok)
		assert.Equal(t, pl.Engine.Domain, "a")
		p.RecordFirstEvent(fmt.Sprint("j", i), start)
	}
}

// A report shows all the memory of a prompt from the start of its prefill, not the
// progress. Of two engines with the same memory in use, a job must be placed on
// the one where all runs have finished their prefill.
func TestUnprocessedPromptsCount(t *testing.T) {
	for seed := range uint64(20) {
		all := engines(2, "a")
		p := newPlacer(seed+1, all)
		recordLengths(p, 0)
		for k, e := range all {
			r := placer.Report{MemoryUsed: 12000, MemoryTotal: 34298}
			for i := range 4 {
				id := fmt.Sprint("o", k, "-", i)
				p.ApplyUpdates([]placer.Update{{JobID: id, Event: placer.Placed, Engine: e.Identity, PromptTokens: 3000, Model: "m"}}, start)
				if k == 1 {
					p.ApplyUpdates([]placer.Update{{JobID: id, Event: placer.Started}}, start)
				}
				r.Sequences = append(r.Sequences, placer.Sequence{ID: id, Tokens: 3000})
			}
			p.Observe(e.Identity, r, start)
		}
		now := start.Add(50 * time.Millisecond)
		pl, ok := p.Submit(job("j", 3000, 0, now), nil, now)
		assert.Assert(t, ok)
		assert.Equal(t, pl.Engine.Name, all[1].Name)
	}
}

// A sequence in prefill counts in the memory of the engine's report, but is not in
// its list of sequences. It must not count twice.
func TestPrefillCountsOnce(t *testing.T) {
	all := engines(1, "a")
	placed := func(r placer.Report) int {
		p := newPlacer(1, all)
		recordLengths(p, 1)
		p.ApplyUpdates([]placer.Update{{JobID: "o", Event: placer.Placed, Engine: all[0].Identity, PromptTokens: 3000, Model: "m", Priority: 1}}, start)
		now := start.Add(600 * time.Millisecond)
		r.MemoryTotal = 34298
		p.Observe(all[0].Identity, r, now)
		return fillEngines(p)
	}
	assert.Equal(t, placed(placer.Report{Running: 1, MemoryUsed: 3008}), placed(placer.Report{}))
	assert.Assert(t, placed(placer.Report{Running: 1, MemoryUsed: 6016}) < placed(placer.Report{}))
}

// The report of a new engine must not appear old, or all daemons would request its
// report at once.
func TestNewEngineHasNoOldReport(t *testing.T) {
	all := engines(2, "a")
	p := newPlacer(1, all[:1])
	now := start.Add(time.Minute)
	p.SetEngines(all, now)
	assert.Equal(t, p.ReportAge(all[1].Identity, now), time.Duration(0))
	assert.Equal(t, p.ReportAge(all[1].Identity, now.Add(2*time.Second)), 2*time.Second)
}

// Reported sequences of unknown jobs count, with the growth since the report.
func TestReportedSequencesCount(t *testing.T) {
	all := engines(2, "a")
	p := newPlacer(1, all)
	recordLengths(p, 0)
	r := placer.Report{Running: 9, MemoryUsed: 33000, MemoryTotal: 34298}
	for i := range 9 {
		r.Sequences = append(r.Sequences, placer.Sequence{ID: fmt.Sprint("o", i), Tokens: 3600, Events: 150})
	}
	p.Observe(all[0].Identity, r, start)
	p.Observe(all[1].Identity, placer.Report{MemoryTotal: 34298}, start)
	for i := range 5 {
		pl, ok := p.Submit(jobWithLateTarget(fmt.Sprint("j", i), 0, start), nil, start)
		assert.Assert(t, ok)
		assert.Equal(t, pl.Engine.Name, all[1].Name)
	}
}

// A peer that fails sends no updates about the end of its jobs. They are removed
// when reports no longer list them.
func TestJobsOfAFailedPeerAreRemoved(t *testing.T) {
	all := engines(1, "a")
	p, failed := newPlacer(1, all), newPlacer(2, all)
	recordLengths(p, 1)
	recordLengths(failed, 1)
	fillEngines(failed)
	p.ApplyUpdates(failed.TakeUpdates(), start)
	_, ok := p.Submit(job("j", 3000, 1, start), nil, start)
	assert.Assert(t, !ok)
	later := start.Add(4 * time.Second)
	p.Observe(all[0].Identity, placer.Report{MemoryTotal: 34298}, later)
	outcomes := pollNext(p, later)
	assert.Equal(t, len(outcomes), 1)
	assert.Equal(t, outcomes[0].Placement.Engine.Name, all[0].Name)
}

// When an engine is added, the daemons with queued jobs must not all place one on
// it.
func TestQueuedJobsDoNotHerdToANewEngine(t *testing.T) {
	all := engines(2, "a")
	var daemons []*placer.Placer
	first := newPlacer(1, all[:1])
	recordLengths(first, 0)
	fillEngines(first)
	updates := first.TakeUpdates()
	for i := range 20 {
		p := newPlacer(uint64(i+2), all[:1])
		recordLengths(p, 0)
		p.ApplyUpdates(updates, start)
		_, ok := p.Submit(jobWithLateTarget(fmt.Sprint("w", i), 0, start), nil, start)
		assert.Assert(t, !ok)
		daemons = append(daemons, p)
	}
	placed := 0
	for ms := 0; ms <= 400; ms += 25 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms == 25 {
			for _, p := range daemons {
				p.SetEngines(all, now)
			}
		}
		for _, p := range daemons {
			placed += len(p.Next(now))
		}
		exchangeUpdates(daemons, now) // After all have decided, as with network latency.
	}
	assert.Assert(t, placed >= 6 && placed <= 13, "%d", placed)
}

// exchangeUpdates applies the updates of each daemon to the others.
func exchangeUpdates(daemons []*placer.Placer, now time.Time) {
	for i, p := range daemons {
		updates := p.TakeUpdates()
		for k, other := range daemons {
			if k != i {
				other.ApplyUpdates(updates, now)
			}
		}
	}
}

// Under sustained overload, memory that becomes free is given to the first job
// among those queued at all daemons, and not to one that is already late.
func TestFreeMemoryIsGivenToTheFirstJobOfAllDaemons(t *testing.T) {
	all := engines(1, "a")
	first := newPlacer(1, all)
	recordLengths(first, 1)
	daemons := []*placer.Placer{first}
	n := fillEngines(first)
	first.Withdraw(fmt.Sprint("f", n))
	for i := range 12 {
		p := newPlacer(uint64(i+2), all)
		recordLengths(p, 1)
		daemons = append(daemons, p)
	}
	exchangeUpdates(daemons, start)
	for i, p := range daemons[1:] {
		j := job(fmt.Sprint("w", i), 3000, 1, start.Add(time.Duration(i-6)*300*time.Millisecond))
		_, ok := p.Submit(j, nil, start)
		assert.Assert(t, !ok)
	}
	exchangeUpdates(daemons, start)
	now := start.Add(50 * time.Millisecond)
	for i := range n {
		first.RecordEnd(job(fmt.Sprint("f", i), 3000, 1, start), 900, true, now)
	}
	exchangeUpdates(daemons, now)
	var placed []string
	for _, p := range daemons {
		for _, o := range p.Next(now) {
			if o.Job.ID != "w0" && o.Job.ID != "w1" {
				placed = append(placed, o.Job.ID)
			}
		}
	}
	// They are due in 0, 300, 600 ms and so on. Prefill takes 430 ms each: w0 and w1
	// are already late and get the remaining memory, and w3 would be late after w2.
	assert.DeepEqual(t, placed[:4], []string{"w2", "w4", "w5", "w6"})
}

// A burst of jobs must not all be placed on a new engine beside full ones. It gets
// as many as can finish their prefill in time; the others stay queued for other
// engines until they can't be on time any more.
func TestNewEngineGetsNoMoreThanItCanPrefillInTime(t *testing.T) {
	p := newPlacer(1, engines(1, "a"))
	recordLengths(p, 1)
	for i := range 9 {
		_, ok := p.Submit(job(fmt.Sprint("j", i), 3000, 1, start), nil, start)
		assert.Assert(t, ok == (i < 4), "job %d", i) // 430 ms of prefill each, due in 1,800 ms.
	}
	outcomes := p.Next(start.Add(1600 * time.Millisecond))
	assert.Assert(t, len(outcomes) >= 2, "%d", len(outcomes))
}

// Output lengths in the updates of peers are used for estimates.
func TestOutputLengthsOfPeersAreUsed(t *testing.T) {
	all := engines(2, "a")
	p, other := newPlacer(1, all), newPlacer(2, all)
	for i := range 50 {
		id := fmt.Sprint("j", i)
		_, ok := other.Submit(job(id, 3000, 0, start), nil, start)
		assert.Assert(t, ok)
		other.RecordEnd(job(id, 3000, 0, start), 100, true, start)
	}
	j := job("x", 3000, 0, start)
	before := p.SurvivalProbability(j, 0, 4*time.Second)
	p.ApplyUpdates(other.TakeUpdates(), start)
	assert.Assert(t, before > 0.3 && p.SurvivalProbability(j, 0, 4*time.Second) < 0.1)
}

// Short jobs get no backup, since they end within the shutdown notice of an
// engine.
func TestOnlyLongJobsGetABackup(t *testing.T) {
	all := engines(4, "a")
	p := newPlacer(1, all)
	recordLengths(p, 0)
	for i := range 200 {
		p.RecordEnd(job(fmt.Sprint("short", i), 2500, 1, start), 12, true, start)
	}
	long, _ := p.Submit(job("long", 3000, 0, start), nil, start)
	assert.Assert(t, long.Backup.Name != "" && long.Backup.Name != long.Engine.Name)
	short, _ := p.Submit(job("short", 3000, 1, start), nil, start)
	assert.Equal(t, short.Backup.Name, "")
}

// Load: engines that are half full when they are reclaimed. Guards against runs without a backup whose engine
// can't copy all of its runs within the shutdown notice, and runs behind the border of a failure domain that
// is cut off.
func TestExposedRunsGetABackup(t *testing.T) {
	exposed := cfg
	exposed.ExposedBackupPeak, exposed.LinkTokensPerSecond = 0.6, 9_000
	fill := func(c placer.Config, all []registrar.Endpoint, jobs int) (placements []placer.Placement) {
		p := placer.New(c, rand.New(rand.NewPCG(1, 1)))
		p.SetEngines(all, start)
		recordLengths(p, 0)
		for i := range jobs {
			pl, placed := p.Submit(job(fmt.Sprint("r", i), 3000, 0, start), nil, start)
			assert.Assert(t, placed)
			placements = append(placements, pl)
		}
		return placements
	}
	withBackup := func(placements []placer.Placement) (n int) {
		for _, pl := range placements {
			if pl.Backup.Name != "" {
				n++
			}
		}
		return n
	}
	const jobs = 30
	without, with := withBackup(fill(cfg, engines(10, "a"), jobs)), withBackup(fill(exposed, engines(10, "a"), jobs))
	t.Logf("%d of %d runs have a backup, %d without the rule", with, jobs, without)
	assert.Assert(t, with > without)

	remote := fill(exposed, append(engines(1, "a"), engines(9, "b")...), 12)
	for _, pl := range remote {
		if pl.Engine.Domain == "b" {
			assert.Assert(t, pl.Backup.Name != "", "a run in another failure domain has no backup")
		}
	}
}

// Load: a failure domain with a third of the engines and half of the callers. Guards against generations that cross
// the border of their failure domain for a gain that their callers don't notice; a partition cuts them.
func TestGenerationsStayInTheirFailureDomain(t *testing.T) {
	crossings := func(share float64) (n int) {
		c := cfg
		c.CrossingShare = share
		p := placer.New(c, rand.New(rand.NewPCG(1, 1)))
		p.SetEngines(append(engines(4, "a"), engines(8, "b")...), start)
		recordLengths(p, 0)
		for i := range 20 {
			now := start.Add(time.Duration(i) * 300 * time.Millisecond)
			j := job(fmt.Sprint("r", i), 3000, 0, now)
			j.AllowBackup = false
			pl, placed := p.Submit(j, nil, now)
			assert.Assert(t, placed)
			p.RecordFirstEvent(j.ID, now.Add(250*time.Millisecond))
			if pl.Engine.Domain != "a" {
				n++
			}
		}
		return n
	}
	without, with := crossings(0), crossings(0.4)
	t.Logf("%d of 20 generations cross the border, %d without the rule", with, without)
	assert.Assert(t, with < without)
	assert.Assert(t, with > 0, "the engines of the domain are full")
}

func BenchmarkSubmit(b *testing.B) {
	all := append(engines(15, "a"), engines(30, "b")...)
	p := newPlacer(1, all)
	recordLengths(p, 0)
	for i := range 180 {
		p.Submit(job(fmt.Sprint("r", i), 3000, 0, start), nil, start)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint("b", i)
		j := job(id, 3000, 0, start)
		p.Submit(j, nil, start)
		p.Withdraw(id)
		p.RecordEnd(j, 0, false, start)
		p.TakeUpdates()
	}
}
