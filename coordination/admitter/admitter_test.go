package admitter_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/estimator"

	"monsoonspar.example/state/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 1000)) }

// fastPrefill is a step model in which prefill takes practically no time.
var fastPrefill = admitter.StepModel{PerPrefillToken: time.Nanosecond}

// testStart is the time of the first event of each test.
var testStart = time.Unix(1_000_000, 0)

// shortRequest returns a request whose kind, check, has short outputs.
func shortRequest(id string) admitter.Request {
	return admitter.Request{
		ID: admitter.PermitID(id), Daemon: "d1", Customer: "c1", Model: "m", Kind: "check",
		PromptTokens: 200, MaxTokens: 128, Arrived: testStart, Deadline: testStart.Add(time.Minute),
	}
}

// longRequest returns a request whose kind, draft, has long outputs.
func longRequest(id string) admitter.Request {
	r := shortRequest(id)
	r.Kind, r.MaxTokens, r.Deadline = "draft", 8000, testStart.Add(10*time.Minute)
	return r
}

// trainedEstimator returns an estimator with samples of short and long outputs.
func trainedEstimator() *estimator.Estimator {
	e := estimator.New()
	for i := range 400 {
		e.Record(estimator.Class{Model: "m", Customer: "c1", Kind: "check"}, 30+i*7%20)
		e.Record(estimator.Class{Model: "m", Customer: "c1", Kind: "draft"}, 1000+10*(i*37%100))
	}
	return e
}

// countKinds returns the number of actions of each kind.
func countKinds(actions []admitter.Action) map[admitter.ActionKind]int {
	n := make(map[admitter.ActionKind]int)
	for _, a := range actions {
		n[a.Kind]++
	}
	return n
}

func ExampleOwner() {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 50_000}, estimator.New())
	for _, a := range o.Enqueue(testStart, shortRequest("a")) {
		fmt.Println(a.Kind, a.ID)
	}
	// A repeat gets the same answer.
	for _, a := range o.Enqueue(testStart.Add(time.Second), shortRequest("a")) {
		fmt.Println(a.Kind, a.ID)
	}
	o.Release(testStart.Add(2*time.Second), "a", admitter.Result{Produced: 40, Finished: true})
	for _, a := range o.StopAdmission(testStart.Add(3 * time.Second)) {
		fmt.Println(a.Kind, a.ID)
	}
	for _, a := range o.Enqueue(testStart.Add(4*time.Second), shortRequest("b")) {
		fmt.Println(a.Kind, a.ID, a.Reason)
	}
	// Output:
	// grant a
	// grant a
	// refuse b leaving
}

func TestGrantsByForecastRatherThanMaxTokens(t *testing.T) {
	// Reserving MaxTokens for each of the 8 requests would take 65,600 tokens.
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, LongShare: 1, Step: fastPrefill}, trainedEstimator())
	granted := 0
	for i := range 8 {
		granted += countKinds(o.Enqueue(testStart, longRequest(fmt.Sprint(i))))[admitter.Grant]
	}
	assert.Assert(t, granted >= 7, "granted %d", granted)
}

func TestRunningLengthsAreExtrapolated(t *testing.T) {
	cfg := admitter.Config{MemoryTokens: 10_000, LongShare: 1, Step: fastPrefill}
	o := admitter.NewOwner(cfg, trainedEstimator())
	var ungranted admitter.Request
	for i := range 20 {
		r := longRequest(fmt.Sprint(i))
		if countKinds(o.Enqueue(testStart, r))[admitter.Grant] == 0 {
			ungranted = r
			break
		}
	}
	assert.Assert(t, ungranted.ID != "")
	before := o.Estimate(testStart, longRequest("estimate"))
	later := o.Estimate(testStart.Add(20*time.Second), longRequest("estimate"))
	assert.Assert(t, later.QueueWait < before.QueueWait, "%v then %v", before.QueueWait, later.QueueWait)
}

func TestLoadReportIsComparedAtItsOwnTime(t *testing.T) {
	cfg := admitter.Config{MemoryTokens: 100_000}
	waitAfter := func(delay time.Duration) time.Duration {
		o := admitter.NewOwner(cfg, trainedEstimator())
		for i := range 40 {
			o.Enqueue(testStart, longRequest(fmt.Sprint(i)))
		}
		var seqs []admitter.Sequence
		for i := range 40 {
			seqs = append(seqs, admitter.Sequence{ID: admitter.PermitID(fmt.Sprint(i)), Produced: 500, PromptTokens: 200})
		}
		for at := time.Duration(0); at <= 10*time.Second+delay; at += 100 * time.Millisecond {
			o.Tick(testStart.Add(at))
		}
		now := testStart.Add(10*time.Second + delay)
		o.Observe(now, admitter.LoadReport{At: testStart.Add(10 * time.Second), Running: 40, Sequences: seqs})
		for at := delay; at <= 5*time.Second; at += 100 * time.Millisecond {
			o.Tick(testStart.Add(10*time.Second + at))
		}
		big := longRequest("estimate")
		big.PromptTokens = 40_000
		return o.Estimate(testStart.Add(15*time.Second), big).QueueWait
	}
	immediate, delayed := waitAfter(0), waitAfter(3*time.Second)
	difference := (immediate - delayed).Abs()
	assert.Assert(t, difference <= immediate/10+100*time.Millisecond, "%v against %v", immediate, delayed)
}

func TestInfeasibleDeadlineIsRefusedOnArrival(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 10_000}, trainedEstimator())
	r := longRequest("late")
	r.Deadline = testStart.Add(5 * time.Second)
	actions := o.Enqueue(testStart, r)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Kind, admitter.Refuse)
	assert.Equal(t, actions[0].Reason, admitter.ReasonDeadline)
	assert.Assert(t, actions[0].RetryAfter > 0)
	assert.DeepEqual(t, o.Enqueue(testStart.Add(time.Second), r), actions)
}

func TestQueuedRequestIsRefusedAtItsLatestStart(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 2400, LongShare: 1, MinDeadlineProbability: 0.5}, trainedEstimator())
	o.Enqueue(testStart, longRequest("first"))
	r := longRequest("second")
	r.Deadline = testStart.Add(100 * time.Second)
	assert.Equal(t, len(o.Enqueue(testStart, r)), 0)
	for at := time.Duration(0); at < 100*time.Second; at += 100 * time.Millisecond {
		actions := o.Tick(testStart.Add(at))
		if len(actions) == 0 {
			continue
		}
		assert.Equal(t, actions[0].Kind, admitter.Refuse)
		assert.Assert(t, r.Deadline.Sub(testStart.Add(at)) > 15*time.Second, "refused after %v", at)
		return
	}
	t.Fatal("the request was never refused")
}

func TestTooLargePromptIsRefused(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 10_000}, trainedEstimator())
	r := shortRequest("large")
	r.PromptTokens = 10_000
	actions := o.Enqueue(testStart, r)
	assert.Equal(t, actions[0].Reason, admitter.ReasonTooLarge)
	assert.Equal(t, actions[0].RetryAfter, time.Duration(0))
}

func TestCustomerLimits(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{}, trainedEstimator())
	limited := func(id string) admitter.Request {
		r := shortRequest(id)
		r.Limits = admitter.Limits{MaxQueued: 2, MaxRunning: 1}
		return r
	}
	assert.Equal(t, countKinds(o.Enqueue(testStart, limited("a")))[admitter.Grant], 1)
	assert.Equal(t, len(o.Enqueue(testStart, limited("b"))), 0)
	assert.Equal(t, len(o.Enqueue(testStart, limited("c"))), 0)
	refused := o.Enqueue(testStart, limited("d"))
	assert.Equal(t, refused[0].Reason, admitter.ReasonQueueFull)
	assert.Assert(t, refused[0].RetryAfter > 0)
	granted := o.Release(testStart.Add(time.Second), "a", admitter.Result{Produced: 30, Finished: true})
	assert.Equal(t, len(granted), 1)
	assert.Equal(t, granted[0].ID, admitter.PermitID("b"))
}

func TestRateLimitedRequestIsGrantedWhenAllowanceRefills(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{}, trainedEstimator())
	limited := func(id string) admitter.Request {
		r := shortRequest(id)
		r.Limits.TokensPerSecond = 30
		return r
	}
	assert.Equal(t, countKinds(o.Enqueue(testStart, limited("a")))[admitter.Grant], 1)
	assert.Equal(t, len(o.Enqueue(testStart, limited("b"))), 0)
	now := testStart
	for range 1000 {
		now = o.NextWake(now)
		if countKinds(o.Tick(now))[admitter.Grant] == 1 {
			// At 30 tokens/s, request a is charged 200 prompt tokens and up to 127
			// extrapolated output tokens, less the initial allowance of 4 s.
			assert.Assert(t, now.Sub(testStart) > 6500*time.Millisecond && now.Sub(testStart) < 7500*time.Millisecond, "after %v", now.Sub(testStart))
			return
		}
	}
	t.Fatal("the request was never granted")
}

func TestReconfigureKeepsPermitsAndAppliesLimits(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MaxBatch: 1}, trainedEstimator())
	assert.Equal(t, countKinds(o.Enqueue(testStart, shortRequest("a")))[admitter.Grant], 1)
	assert.Equal(t, len(o.Enqueue(testStart, shortRequest("b"))), 0)
	actions := o.Reconfigure(testStart.Add(time.Second), admitter.Config{MaxBatch: 2})
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].ID, admitter.PermitID("b"))
	assert.Equal(t, len(o.Enqueue(testStart.Add(time.Second), shortRequest("c"))), 0)
}

func TestRequestIsRefusedAtMaxQueueWait(t *testing.T) {
	cfg := admitter.Config{MemoryTokens: 4000, LongShare: 1, MaxQueueWait: 20 * time.Second}
	o := admitter.NewOwner(cfg, trainedEstimator())
	r := longRequest("first")
	r.PromptTokens = 3000
	o.Enqueue(testStart, r)
	r = longRequest("second")
	r.Deadline = time.Time{}
	now, actions := testStart, o.Enqueue(testStart, r)
	for len(actions) == 0 {
		now = o.NextWake(now)
		actions = o.Tick(now)
	}
	assert.Equal(t, actions[0].ID, admitter.PermitID("second"))
	assert.Equal(t, actions[0].Reason, admitter.ReasonBusy)
	assert.Assert(t, actions[0].RetryAfter > 0)
	assert.Assert(t, now.Sub(testStart) <= cfg.MaxQueueWait+100*time.Millisecond, "after %v", now.Sub(testStart))
}

func TestNextWakeDoesNotSpin(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{}, trainedEstimator())
	limited := shortRequest("a")
	limited.Limits.MaxRunning = 1
	o.Enqueue(testStart, limited)
	limited.ID = "b"
	o.Enqueue(testStart, limited)
	now, wakes := testStart, 0
	for now.Sub(testStart) < 10*time.Second {
		now = o.NextWake(now)
		o.Tick(now)
		wakes++
	}
	assert.Assert(t, wakes <= 110, "%d wake-ups in 10 s", wakes)
}

func TestOrphansAreCancelledAfterResumeGrace(t *testing.T) {
	cfg := admitter.Config{ResumeGrace: 10 * time.Second}
	o := admitter.NewOwner(cfg, trainedEstimator())
	o.Enqueue(testStart, longRequest("kept"))
	o.Enqueue(testStart, longRequest("orphan"))
	o.RemoveDaemon(testStart.Add(time.Second), "d1")
	o.Restore(testStart.Add(2*time.Second), "d2", []admitter.HeldPermit{{Request: longRequest("kept"), Produced: 10}})
	assert.Equal(t, len(o.Tick(testStart.Add(10*time.Second))), 0)
	actions := o.Tick(testStart.Add(11 * time.Second))
	assert.DeepEqual(t, actions, []admitter.Action{{Kind: admitter.Cancel, ID: "orphan", Reason: admitter.ReasonOrphan}})
	assert.Equal(t, len(o.Tick(testStart.Add(time.Hour))), 0)
}

func TestNewOwnerAdmitsConservativelyUntilAllRestored(t *testing.T) {
	grants := func(prepare func(o *admitter.Owner)) int {
		o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, LongShare: 1, Step: fastPrefill}, trainedEstimator())
		o.AwaitRestore(testStart, []string{"d1", "d2"})
		prepare(o)
		n := 0
		for i := range 30 {
			n += countKinds(o.Enqueue(testStart, longRequest(fmt.Sprint(i))))[admitter.Grant]
		}
		return n
	}
	noneRestored := grants(func(*admitter.Owner) {})
	oneRestored := grants(func(o *admitter.Owner) { o.Restore(testStart, "d1", nil) })
	allRestored := grants(func(o *admitter.Owner) {
		o.Restore(testStart, "d1", nil)
		o.Restore(testStart, "d2", nil)
	})
	timedOut := grants(func(o *admitter.Owner) { o.Tick(testStart.Add(time.Minute)) })
	assert.Equal(t, oneRestored, noneRestored)
	assert.Assert(t, noneRestored < allRestored, "%d, then %d", noneRestored, allRestored)
	assert.Equal(t, timedOut, allRestored)
}

func TestUntrackedSequencesUseMemory(t *testing.T) {
	grants := func(seqs []admitter.Sequence) int {
		o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, LongShare: 1, Step: fastPrefill}, trainedEstimator())
		o.Observe(testStart, admitter.LoadReport{At: testStart, Running: len(seqs), Sequences: seqs})
		n := 0
		for i := range 30 {
			n += countKinds(o.Enqueue(testStart, longRequest(fmt.Sprint(i))))[admitter.Grant]
		}
		return n
	}
	assert.Assert(t, grants([]admitter.Sequence{{ID: "x", PromptTokens: 5000}, {ID: "y", PromptTokens: 5000}}) < grants(nil))
}

func TestPreemptionsIncreaseTheMargin(t *testing.T) {
	grants := func(preemptions int) int {
		o := admitter.NewOwner(admitter.Config{MemoryTokens: 40_000, LongShare: 1, Step: fastPrefill}, trainedEstimator())
		for i := range 5 {
			at := testStart.Add(time.Duration(i) * time.Second)
			o.Observe(at, admitter.LoadReport{At: at, Preemptions: i * preemptions})
		}
		n := 0
		for i := range 60 {
			r := longRequest(fmt.Sprint(i))
			r.Arrived = testStart.Add(5 * time.Second)
			n += countKinds(o.Enqueue(testStart.Add(5*time.Second), r))[admitter.Grant]
		}
		return n
	}
	assert.Assert(t, grants(1) < grants(0), "%d, %d", grants(1), grants(0))
}

func TestShortJobIsGrantedBesideLongJobs(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, LongShare: 0.8, Step: fastPrefill}, trainedEstimator())
	for i := range 30 {
		o.Enqueue(testStart, longRequest(fmt.Sprint("draft", i)))
	}
	assert.Equal(t, countKinds(o.Enqueue(testStart, shortRequest("check")))[admitter.Grant], 1)
}

func TestLongJobIsNotStarvedByShortJobs(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, Step: fastPrefill}, trainedEstimator())
	var held []admitter.PermitID
	now, enqueued := testStart, 0
	enqueueShort := func(n int) {
		for range n {
			enqueued++
			for _, a := range o.Enqueue(now, shortRequest(fmt.Sprint("check", enqueued))) {
				held = append(held, a.ID)
			}
		}
	}
	enqueueShort(300)
	assert.Equal(t, len(o.Enqueue(now, longRequest("draft"))), 0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		enqueueShort(1)
		for _, a := range o.Release(now, held[0], admitter.Result{Produced: 40, Finished: true}) {
			if a.ID == "draft" {
				return
			}
			held = append(held, a.ID)
		}
		held = held[1:]
	}
	t.Fatal("the long job was not granted before short jobs that arrived later")
}

func TestSharedPrefixCountsOnce(t *testing.T) {
	grants := func(prefix uint64) int {
		o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, Step: fastPrefill}, trainedEstimator())
		n := 0
		for i := range 60 {
			r := shortRequest(fmt.Sprint(i))
			r.PromptTokens, r.CachedTokens, r.Prefix = 2000, 1900, prefix
			n += countKinds(o.Enqueue(testStart, r))[admitter.Grant]
		}
		return n
	}
	assert.Assert(t, grants(7) > 3*grants(0), "%d, %d", grants(7), grants(0))
}

func TestBatchKeepsTheTokenGapTarget(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{
		MemoryTokens: 10_000_000, MaxBatch: 1000, TokenGapTarget: 50 * time.Millisecond,
		Step: admitter.StepModel{Base: 20 * time.Millisecond, PerSequence: time.Millisecond, PerPrefillToken: time.Nanosecond},
	}, trainedEstimator())
	granted, now := 0, testStart
	for i := range 200 {
		granted += countKinds(o.Enqueue(now, shortRequest(fmt.Sprint(i))))[admitter.Grant]
	}
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		granted += countKinds(o.Tick(now))[admitter.Grant]
	}
	assert.Equal(t, granted, 17) // 20 ms + 17 * 1 ms is within 0.75 * 50 ms.
}
