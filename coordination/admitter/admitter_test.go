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

// fastPrefill is a step model in which prompts cost nothing.
var fastPrefill = admitter.StepModel{PerPrefillToken: time.Nanosecond}

// start is when the tests begin.
var start = time.Unix(1_000_000, 0)

// check returns a short request.
func check(id string) admitter.Request {
	return admitter.Request{
		ID: admitter.PermitID(id), Daemon: "d1", Customer: "c1", Model: "m", Kind: "check",
		PromptTokens: 200, MaxTokens: 128, Arrived: start, Deadline: start.Add(time.Minute),
	}
}

// draft returns a long request.
func draft(id string) admitter.Request {
	r := check(id)
	r.Kind, r.MaxTokens, r.Deadline = "draft", 8000, start.Add(10*time.Minute)
	return r
}

// learned returns an estimator that knows checks and drafts.
func learned() *estimator.Estimator {
	e := estimator.New()
	for i := range 400 {
		e.Record(estimator.Class{Model: "m", Customer: "c1", Kind: "check"}, 30+i*7%20)
		e.Record(estimator.Class{Model: "m", Customer: "c1", Kind: "draft"}, 1000+10*(i*37%100))
	}
	return e
}

// kinds counts the actions of each kind.
func kinds(actions []admitter.Action) map[admitter.ActionKind]int {
	n := make(map[admitter.ActionKind]int)
	for _, a := range actions {
		n[a.Kind]++
	}
	return n
}

func ExampleOwner() {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 50_000}, estimator.New())
	for _, a := range o.Enqueue(start, check("a")) {
		fmt.Println(a.Kind, a.ID)
	}
	// A repeat gets the same answer.
	for _, a := range o.Enqueue(start.Add(time.Second), check("a")) {
		fmt.Println(a.Kind, a.ID)
	}
	o.Release(start.Add(2*time.Second), "a", admitter.Result{Produced: 40, Finished: true})
	for _, a := range o.Leave(start.Add(3 * time.Second)) {
		fmt.Println(a.Kind, a.ID)
	}
	for _, a := range o.Enqueue(start.Add(4*time.Second), check("b")) {
		fmt.Println(a.Kind, a.ID, a.Reason)
	}
	// Output:
	// grant a
	// grant a
	// refuse b leaving
}

func TestGrantsByForecastNotByMaxTokens(t *testing.T) {
	// Eight drafts of at most 8,000 tokens would reserve 65,600.
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, LongShare: 1, Step: fastPrefill}, learned())
	granted := 0
	for i := range 8 {
		granted += kinds(o.Enqueue(start, draft(fmt.Sprint(i))))[admitter.Grant]
	}
	assert.Assert(t, granted >= 7, "granted %d", granted)
}

func TestRunningLengthsAreDeadReckoned(t *testing.T) {
	cfg := admitter.Config{MemoryTokens: 10_000, LongShare: 1, Step: fastPrefill}
	o := admitter.NewOwner(cfg, learned())
	var waiting admitter.Request
	for i := range 20 {
		r := draft(fmt.Sprint(i))
		if kinds(o.Enqueue(start, r))[admitter.Grant] == 0 {
			waiting = r
			break
		}
	}
	assert.Assert(t, waiting.ID != "")
	near := o.Quote(start, draft("quote"))
	later := o.Quote(start.Add(20*time.Second), draft("quote"))
	assert.Assert(t, later.Wait < near.Wait, "%v then %v", near.Wait, later.Wait)
}

func TestReportIsComparedAtItsOwnTime(t *testing.T) {
	cfg := admitter.Config{MemoryTokens: 100_000}
	on := func(delay time.Duration) time.Duration {
		o := admitter.NewOwner(cfg, learned())
		for i := range 40 {
			o.Enqueue(start, draft(fmt.Sprint(i)))
		}
		var seqs []admitter.Sequence
		for i := range 40 {
			seqs = append(seqs, admitter.Sequence{ID: admitter.PermitID(fmt.Sprint(i)), Produced: 500, Prompt: 200})
		}
		for at := time.Duration(0); at <= 10*time.Second+delay; at += 100 * time.Millisecond {
			o.Tick(start.Add(at))
		}
		now := start.Add(10*time.Second + delay)
		o.Observe(now, admitter.LoadReport{At: start.Add(10 * time.Second), Running: 40, Sequences: seqs})
		for at := delay; at <= 5*time.Second; at += 100 * time.Millisecond {
			o.Tick(start.Add(10*time.Second + at))
		}
		big := draft("quote")
		big.PromptTokens = 40_000
		return o.Quote(start.Add(15*time.Second), big).Wait
	}
	prompt, late := on(0), on(3*time.Second)
	difference := (prompt - late).Abs()
	assert.Assert(t, difference <= prompt/10+100*time.Millisecond, "%v against %v", prompt, late)
}

func TestRefusesAtOnceWhatCannotBeInTime(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 10_000}, learned())
	r := draft("late")
	r.Deadline = start.Add(5 * time.Second)
	actions := o.Enqueue(start, r)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Kind, admitter.Refuse)
	assert.Equal(t, actions[0].Reason, admitter.ReasonDeadline)
	assert.Assert(t, actions[0].RetryAfter > 0)
	assert.DeepEqual(t, o.Enqueue(start.Add(time.Second), r), actions)
}

func TestQueuedRequestIsRefusedAtItsLatestStart(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 2400, LongShare: 1, MinChance: 0.5}, learned())
	o.Enqueue(start, draft("first"))
	r := draft("second")
	r.Deadline = start.Add(100 * time.Second)
	assert.Equal(t, len(o.Enqueue(start, r)), 0)
	for at := time.Duration(0); at < 100*time.Second; at += 100 * time.Millisecond {
		actions := o.Tick(start.Add(at))
		if len(actions) == 0 {
			continue
		}
		assert.Equal(t, actions[0].Kind, admitter.Refuse)
		assert.Assert(t, r.Deadline.Sub(start.Add(at)) > 15*time.Second, "refused after %v", at)
		return
	}
	t.Fatal("never refused")
}

func TestTooLargePromptIsRefused(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 10_000}, learned())
	r := check("large")
	r.PromptTokens = 10_000
	actions := o.Enqueue(start, r)
	assert.Equal(t, actions[0].Reason, admitter.ReasonTooLarge)
	assert.Equal(t, actions[0].RetryAfter, time.Duration(0))
}

func TestCustomerLimits(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{}, learned())
	limited := func(id string) admitter.Request {
		r := check(id)
		r.Limits = admitter.Limits{MaxQueued: 2, MaxRunning: 1}
		return r
	}
	assert.Equal(t, kinds(o.Enqueue(start, limited("a")))[admitter.Grant], 1)
	assert.Equal(t, len(o.Enqueue(start, limited("b"))), 0)
	assert.Equal(t, len(o.Enqueue(start, limited("c"))), 0)
	refused := o.Enqueue(start, limited("d"))
	assert.Equal(t, refused[0].Reason, admitter.ReasonQueueFull)
	assert.Assert(t, refused[0].RetryAfter > 0)
	granted := o.Release(start.Add(time.Second), "a", admitter.Result{Produced: 30, Finished: true})
	assert.Equal(t, len(granted), 1)
	assert.Equal(t, granted[0].ID, admitter.PermitID("b"))
}

func TestRateLimitFreesItself(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{}, learned())
	limited := func(id string) admitter.Request {
		r := check(id)
		r.Limits.TokensPerSecond = 30
		return r
	}
	assert.Equal(t, kinds(o.Enqueue(start, limited("a")))[admitter.Grant], 1)
	assert.Equal(t, len(o.Enqueue(start, limited("b"))), 0)
	now := start
	for range 1000 {
		now = o.NextWake(now)
		if kinds(o.Tick(now))[admitter.Grant] == 1 {
			// 200 tokens of prompt and some 32 of output at 30 a second, less a
			// second's allowance.
			assert.Assert(t, now.Sub(start) > 6500*time.Millisecond && now.Sub(start) < 7500*time.Millisecond, "after %v", now.Sub(start))
			return
		}
	}
	t.Fatal("never granted")
}

func TestReconfigureKeepsPermitsAndTakesLimits(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MaxBatch: 1}, learned())
	assert.Equal(t, kinds(o.Enqueue(start, check("a")))[admitter.Grant], 1)
	assert.Equal(t, len(o.Enqueue(start, check("b"))), 0)
	actions := o.Reconfigure(start.Add(time.Second), admitter.Config{MaxBatch: 2})
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].ID, admitter.PermitID("b"))
	assert.Equal(t, len(o.Enqueue(start.Add(time.Second), check("c"))), 0)
}

func TestRequestIsRefusedAtTheAgeBound(t *testing.T) {
	cfg := admitter.Config{MemoryTokens: 4000, LongShare: 1, AgeBound: 20 * time.Second}
	o := admitter.NewOwner(cfg, learned())
	r := draft("first")
	r.PromptTokens = 3000
	o.Enqueue(start, r)
	r = draft("second")
	r.Deadline = time.Time{}
	now, actions := start, o.Enqueue(start, r)
	for len(actions) == 0 {
		now = o.NextWake(now)
		actions = o.Tick(now)
	}
	assert.Equal(t, actions[0].ID, admitter.PermitID("second"))
	assert.Equal(t, actions[0].Reason, admitter.ReasonBusy)
	assert.Assert(t, actions[0].RetryAfter > 0)
	assert.Assert(t, now.Sub(start) <= cfg.AgeBound+100*time.Millisecond, "after %v", now.Sub(start))
}

func TestNextWakeDoesNotSpin(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{}, learned())
	limited := check("a")
	limited.Limits.MaxRunning = 1
	o.Enqueue(start, limited)
	limited.ID = "b"
	o.Enqueue(start, limited)
	now, wakes := start, 0
	for now.Sub(start) < 10*time.Second {
		now = o.NextWake(now)
		o.Tick(now)
		wakes++
	}
	assert.Assert(t, wakes <= 110, "%d wake-ups in 10 s", wakes)
}

func TestLostDaemon(t *testing.T) {
	cfg := admitter.Config{ResumeGrace: 10 * time.Second}
	o := admitter.NewOwner(cfg, learned())
	o.Enqueue(start, draft("kept"))
	o.Enqueue(start, draft("orphan"))
	o.Lose(start.Add(time.Second), "d1")
	o.Restore(start.Add(2*time.Second), "d2", []admitter.Held{{Request: draft("kept"), Produced: 10}})
	assert.Equal(t, len(o.Tick(start.Add(10*time.Second))), 0)
	actions := o.Tick(start.Add(11 * time.Second))
	assert.DeepEqual(t, actions, []admitter.Action{{Kind: admitter.Cancel, ID: "orphan", Reason: admitter.ReasonOrphan}})
	assert.Equal(t, len(o.Tick(start.Add(time.Hour))), 0)
}

func TestNewOwnerIsCautiousUntilHeardFromAll(t *testing.T) {
	grants := func(prepare func(o *admitter.Owner)) int {
		o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, LongShare: 1, Step: fastPrefill}, learned())
		o.Expect(start, []string{"d1", "d2"})
		prepare(o)
		n := 0
		for i := range 30 {
			n += kinds(o.Enqueue(start, draft(fmt.Sprint(i))))[admitter.Grant]
		}
		return n
	}
	cautious := grants(func(*admitter.Owner) {})
	half := grants(func(o *admitter.Owner) { o.Restore(start, "d1", nil) })
	heard := grants(func(o *admitter.Owner) {
		o.Restore(start, "d1", nil)
		o.Restore(start, "d2", nil)
	})
	late := grants(func(o *admitter.Owner) { o.Tick(start.Add(time.Minute)) })
	assert.Equal(t, half, cautious)
	assert.Assert(t, cautious < heard, "%d, then %d", cautious, heard)
	assert.Equal(t, late, heard)
}

func TestSequencesOfOtherOwnersCount(t *testing.T) {
	room := func(seqs []admitter.Sequence) int {
		o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, LongShare: 1, Step: fastPrefill}, learned())
		o.Observe(start, admitter.LoadReport{At: start, Running: len(seqs), Sequences: seqs})
		n := 0
		for i := range 30 {
			n += kinds(o.Enqueue(start, draft(fmt.Sprint(i))))[admitter.Grant]
		}
		return n
	}
	assert.Assert(t, room([]admitter.Sequence{{ID: "x", Prompt: 5000}, {ID: "y", Prompt: 5000}}) < room(nil))
}

func TestPreemptionsMakeItCautious(t *testing.T) {
	room := func(preemptions int) int {
		o := admitter.NewOwner(admitter.Config{MemoryTokens: 40_000, LongShare: 1, Step: fastPrefill}, learned())
		for i := range 5 {
			at := start.Add(time.Duration(i) * time.Second)
			o.Observe(at, admitter.LoadReport{At: at, Preemptions: i * preemptions})
		}
		n := 0
		for i := range 60 {
			r := draft(fmt.Sprint(i))
			r.Arrived = start.Add(5 * time.Second)
			n += kinds(o.Enqueue(start.Add(5*time.Second), r))[admitter.Grant]
		}
		return n
	}
	assert.Assert(t, room(1) < room(0), "%d, %d", room(1), room(0))
}

func TestShortChecksPassBesideDrafts(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, LongShare: 0.8, Step: fastPrefill}, learned())
	for i := range 30 {
		o.Enqueue(start, draft(fmt.Sprint("draft", i)))
	}
	assert.Equal(t, kinds(o.Enqueue(start, check("check")))[admitter.Grant], 1)
}

func TestFloodOfChecksLetsADraftPass(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, Step: fastPrefill}, learned())
	var held []admitter.PermitID
	now, made := start, 0
	flood := func(n int) {
		for range n {
			made++
			for _, a := range o.Enqueue(now, check(fmt.Sprint("check", made))) {
				held = append(held, a.ID)
			}
		}
	}
	flood(300)
	assert.Equal(t, len(o.Enqueue(now, draft("draft"))), 0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		flood(1)
		for _, a := range o.Release(now, held[0], admitter.Result{Produced: 40, Finished: true}) {
			if a.ID == "draft" {
				return
			}
			held = append(held, a.ID)
		}
		held = held[1:]
	}
	t.Fatal("the draft waits behind later checks")
}

func TestSharedPrefixCountsOnce(t *testing.T) {
	room := func(prefix uint64) int {
		o := admitter.NewOwner(admitter.Config{MemoryTokens: 20_000, Step: fastPrefill}, learned())
		n := 0
		for i := range 60 {
			r := check(fmt.Sprint(i))
			r.PromptTokens, r.CachedTokens, r.Prefix = 2000, 1900, prefix
			n += kinds(o.Enqueue(start, r))[admitter.Grant]
		}
		return n
	}
	assert.Assert(t, room(7) > 3*room(0), "%d, %d", room(7), room(0))
}

func TestBatchKeepsTheGapTarget(t *testing.T) {
	o := admitter.NewOwner(admitter.Config{
		MemoryTokens: 10_000_000, MaxBatch: 1000, GapTarget: 50 * time.Millisecond,
		Step: admitter.StepModel{Base: 20 * time.Millisecond, PerSequence: time.Millisecond, PerPrefillToken: time.Nanosecond},
	}, learned())
	granted, now := 0, start
	for i := range 200 {
		granted += kinds(o.Enqueue(now, check(fmt.Sprint(i))))[admitter.Grant]
	}
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		granted += kinds(o.Tick(now))[admitter.Grant]
	}
	assert.Equal(t, granted, 17) // 20 ms + 17 * 1 ms is within 0.75 of the target.
}
