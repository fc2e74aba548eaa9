package claimer

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"monsoonspar.example/state/seeder"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 1000)) }

func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(t, mechanisms{}, false); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a repeat that is told that its request was not run, since it could not be sent
// and the claim of an earlier attempt was not looked at.
func TestLookupHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(t, mechanisms{}, true); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsAreNeeded checks that some history violates the guarantees when
// a mechanism is disabled.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled mechanisms
		want     string
	}{
		{"create before send", mechanisms{createBeforeSend: true}, "runs twice"},
		{"read after a lost write response", mechanisms{readAfterLostWrite: true}, "runs twice"},
		{"pending claims are never taken over", mechanisms{protectPending: true}, "runs twice"},
		{"writes of an attempt are numbered", mechanisms{numberWrites: true}, "nothing ran, but a repeat got"},
		{"a claim in doubt is settled", mechanisms{settleInDoubt: true}, "nothing ran, but a repeat got"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed, err := seeder.FirstFailure(func(t *rapid.T) error { return runHistory(t, tc.disabled, false) }, tc.want, 20000)
			assert.Assert(t, err != nil, "no history fails")
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

var startTime = time.Unix(100, 0)

func request(writer string) Request {
	return Request{
		Customer: "c", Key: "k", Fingerprint: "f", Writer: writer, Holder: "d1",
		Target:   Target{Endpoint: "e1", AttemptID: "g1"},
		Deadline: startTime.Add(20 * time.Second),
	}
}

func newClaimer(req Request) *Claimer {
	return New(DefaultSettings(), req, rand.New(rand.NewPCG(1, 1)))
}

// existingClaim returns the claim of another attempt at the same request.
func existingClaim(writer string, s State) Claim {
	c := newClaimer(request(writer)).claim
	c.Timeout = 20 * time.Second
	c.State = s
	c.WriteNumber = 1
	return c
}

// withWriteNumber returns c with write number n.
func withWriteNumber(c Claim, n uint64) Claim {
	c.WriteNumber = n
	return c
}

// actionsOnExisting returns the actions of a repeat that reads the claim in
// res.
func actionsOnExisting(t *testing.T, req Request, res ReadResult) []Action {
	t.Helper()
	c := newClaimer(req)
	c.Handle(startTime, Begin{})
	acts := c.Handle(startTime, CreateResult{Result: ResultExists})
	assert.DeepEqual(t, acts, []Action{Read{Name: Name("c", "k")}})
	return c.Handle(startTime, res)
}

func TestRepeatFindsClaim(t *testing.T) {
	stored := &StoredAnswer{Status: 201, Body: []byte("filed")}
	ran := existingClaim("w1", StateRan)
	ran.Answer = stored
	stream := existingClaim("w1", StatePending)
	stream.Target.Resumable = true
	for _, tc := range []struct {
		name string
		res  ReadResult
		want Action
	}{
		{"ran", ReadResult{Claim: ran}, Answer{Outcome: OutcomeRan, Stored: stored, Replayed: true}},
		{"unknown", ReadResult{Claim: existingClaim("w1", StateUnknown)}, Answer{Outcome: OutcomeUnknown, Replayed: true}},
		{"holder failed", ReadResult{Claim: existingClaim("w1", StatePending)}, Answer{Outcome: OutcomeUnknown, Replayed: true}},
		{
			"overdue",
			ReadResult{Claim: existingClaim("w1", StatePending), HolderAlive: true, Age: time.Minute},
			Answer{Outcome: OutcomeUnknown, Replayed: true},
		},
		{"stream", ReadResult{Claim: stream}, Attach{Target: stream.Target}},
		{"not run", ReadResult{Claim: existingClaim("w1", StateNotRun), Version: 7}, Update{
			Name: Name("c", "k"), Version: 7, Claim: withWriteNumber(existingClaim("w2", StatePending), 2),
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			acts := actionsOnExisting(t, request("w2"), tc.res)
			assert.DeepEqual(t, acts[0], tc.want)
		})
	}
}

// TestRepeatWhileFirstRuns checks that a repeat is refused as in progress once
// its platform calls are used up, if the claim stays pending or can no longer
// be read.
func TestRepeatWhileFirstRuns(t *testing.T) {
	pending := ReadResult{Claim: existingClaim("w1", StatePending), HolderAlive: true}
	for _, later := range []ReadResult{pending, {Result: ResultUnavailable}, {Result: ResultNotFound}} {
		c, acts := repeatRequest(pending)
		reads := 1
		for ; !c.Finished(); reads++ {
			_, waits := acts[0].(Wait)
			assert.Assert(t, waits, "%v", acts)
			assert.DeepEqual(t, c.Handle(startTime, Tick{}), []Action{Read{Name: Name("c", "k")}})
			acts = c.Handle(startTime, later)
		}
		assert.Equal(t, reads, DefaultSettings().MaxPlatformCalls-1)
		refusal := acts[0].(Refuse)
		assert.Equal(t, refusal.Reason, ReasonInProgress)
		assert.Equal(t, refusal.Outcome, OutcomeUnknown)
		assert.Assert(t, refusal.RetryAfter > 0)
	}
}

// TestRepeatBeforeRecordingGetsAnswer repeats a request whose caller has been
// answered while the outcome is still being recorded.
func TestRepeatBeforeRecordingGetsAnswer(t *testing.T) {
	c, acts := repeatRequest(ReadResult{Claim: existingClaim("w1", StatePending), HolderAlive: true})
	_, waits := acts[0].(Wait)
	assert.Assert(t, waits, "%v", acts)
	c.Handle(startTime, Tick{})
	ran := existingClaim("w1", StateRan)
	ran.Answer = &StoredAnswer{Status: 201, Body: []byte("filed")}
	acts = c.Handle(startTime, ReadResult{Claim: ran, HolderAlive: true})
	assert.DeepEqual(t, acts[0], Answer{Outcome: OutcomeRan, Stored: ran.Answer, Replayed: true})
}

// repeatRequest returns a repeat that has read res, and its next actions.
func repeatRequest(res ReadResult) (*Claimer, []Action) {
	c := newClaimer(request("w2"))
	c.Handle(startTime, Begin{})
	c.Handle(startTime, CreateResult{Result: ResultExists})
	return c, c.Handle(startTime, res)
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	req := request("w2")
	req.Fingerprint = "other"
	acts := actionsOnExisting(t, req, ReadResult{Claim: existingClaim("w1", StateRan)})
	assert.DeepEqual(t, acts, []Action{
		Refuse{Reason: ReasonKeyReused, Outcome: OutcomeNotRun}, Done{},
	})
}

func TestPlatformUnreachableIsNotRun(t *testing.T) {
	c := newClaimer(request("w1"))
	c.Handle(startTime, Begin{})
	var acts []Action
	for {
		acts = c.Handle(startTime, CreateResult{Result: ResultUnavailable})
		if _, ok := acts[0].(Wait); !ok {
			break
		}
		c.Handle(startTime, Tick{})
	}
	refusal := acts[0].(Refuse)
	assert.Equal(t, refusal.Reason, ReasonPlatformUnavailable)
	assert.Equal(t, refusal.Outcome, OutcomeNotRun)
	assert.Assert(t, refusal.RetryAfter >= DefaultSettings().RetryAfter)
	assert.Assert(t, c.Finished())
}

func TestHolderPausedPastItsWindowDoesNotSend(t *testing.T) {
	c := newClaimer(request("w1"))
	c.Handle(startTime, Begin{})
	acts := c.Handle(startTime.Add(time.Hour), CreateResult{Result: ResultOK, Version: 3})
	assert.Equal(t, acts[0].(Refuse).Reason, ReasonTooLate)
	update := acts[1].(Update)
	assert.Equal(t, update.Version, uint64(3))
	assert.Equal(t, update.Claim.State, StateNotRun)
}

func TestLargeAnswerBodyIsNotStored(t *testing.T) {
	c := newClaimer(request("w1"))
	c.Handle(startTime, Begin{})
	c.Handle(startTime, CreateResult{Result: ResultOK, Version: 1})
	big := &StoredAnswer{Status: 200, Body: make([]byte, DefaultSettings().MaxAnswerBytes+1)}
	acts := c.Handle(startTime, SendResult{Outcome: OutcomeRan, Answer: big})
	assert.DeepEqual(t, acts[0], Answer{Outcome: OutcomeRan, Stored: big})
	assert.DeepEqual(t, acts[1].(Update).Claim.Answer, &StoredAnswer{Status: 200, Truncated: true})
}

func TestSettingsAreChecked(t *testing.T) {
	assert.NilError(t, DefaultSettings().Validate(24*time.Hour))
	assert.ErrorIs(t, DefaultSettings().Validate(time.Second), ErrBadSettings)
	assert.ErrorIs(t, Settings{}.Validate(time.Hour), ErrBadSettings)
}

func TestRemoverKeepsToItsBudget(t *testing.T) {
	r := NewRemover(RemoverSettings{Retention: time.Hour, PassInterval: time.Minute, PageSize: 100, RemovalsPerSecond: 5, ListRetryDelay: time.Second})
	now := startTime
	_, list := r.Tick(now)
	assert.DeepEqual(t, list, &ListClaims{Limit: 100})
	page := Page{OK: true, Claims: []ListedClaim{{Name: "fresh", State: StateRan, Age: time.Minute}, {Name: "paused", State: StatePending, Age: 90 * time.Minute}}}
	for i := range 40 {
		page.Claims = append(page.Claims, ListedClaim{Name: "old", Version: uint64(i), State: StateRan, Age: 2 * time.Hour})
	}
	r.HandlePage(now, page)
	removed := 0
	for range 4 {
		now = now.Add(time.Second)
		due, again := r.Tick(now)
		assert.Assert(t, len(due) <= 5)
		assert.Assert(t, again == nil)
		for _, d := range due {
			assert.Equal(t, d.Name, "old")
			removed++
		}
	}
	assert.Equal(t, removed, 20)
}

func BenchmarkClaim(b *testing.B) {
	b.ReportAllocs()
	r := rand.New(rand.NewPCG(1, 1))
	answer := &StoredAnswer{Status: 200}
	for b.Loop() {
		c := New(DefaultSettings(), request("w1"), r)
		c.Handle(startTime, Begin{})
		c.Handle(startTime, CreateResult{Result: ResultOK, Version: 1})
		c.Handle(startTime, SendResult{Outcome: OutcomeRan, Answer: answer})
		c.Handle(startTime, UpdateResult{Result: ResultOK, Version: 2})
	}
}
