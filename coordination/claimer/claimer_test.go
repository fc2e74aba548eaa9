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
		if err := history(t, mechanisms{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsAreNeeded shows that the histories fail without each mechanism.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, tc := range []struct {
		name string
		off  mechanisms
		want string
	}{
		{"claim before sending", mechanisms{claimFirst: true}, "runs twice"},
		{"read back after a lost answer", mechanisms{readBack: true}, "runs twice"},
		{"pending claims are never taken over", mechanisms{pendingFinal: true}, "runs twice"},
		{"writes of an attempt are told apart", mechanisms{numbered: true}, "nothing ran, and a repeat is told"},
		{"a claim in doubt is settled", mechanisms{settle: true}, "nothing ran, and a repeat is told"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed, err := seeder.FirstFailure(func(t *rapid.T) error { return history(t, tc.off) }, tc.want, 20000)
			assert.Assert(t, err != nil, "no history fails")
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

var begin = time.Unix(100, 0)

func request(writer string) Request {
	return Request{
		Customer: "c", Key: "k", Fingerprint: "f", Writer: writer, Holder: "d1",
		Target:   Target{Endpoint: "e1", Generation: "g1"},
		Deadline: begin.Add(20 * time.Second),
	}
}

func newClaimer(req Request) *Claimer {
	return New(DefaultSettings(), req, rand.New(rand.NewPCG(1, 1)))
}

// claimOf returns the claim that another attempt at the same request made.
func claimOf(writer string, s State) Claim {
	c := newClaimer(request(writer)).claim
	c.Timeout = 20 * time.Second
	c.State = s
	c.Write = 1
	return c
}

// written returns c as the write of number n.
func written(c Claim, n uint64) Claim {
	c.Write = n
	return c
}

// met returns what a repeat does when it meets res.
func met(t *testing.T, req Request, res ReadResult) []Action {
	t.Helper()
	c := newClaimer(req)
	c.Handle(begin, Begin{})
	acts := c.Handle(begin, CreateResult{Result: ResultExists})
	assert.DeepEqual(t, acts, []Action{Read{Name: Name("c", "k")}})
	return c.Handle(begin, res)
}

func TestRepeatMeetsClaim(t *testing.T) {
	stored := &StoredAnswer{Status: 201, Body: []byte("filed")}
	ran := claimOf("w1", StateRan)
	ran.Answer = stored
	stream := claimOf("w1", StatePending)
	stream.Target.Resumable = true
	for _, tc := range []struct {
		name string
		res  ReadResult
		want Action
	}{
		{"ran", ReadResult{Claim: ran}, Answer{Outcome: OutcomeRan, Stored: stored, Replayed: true}},
		{"unknown", ReadResult{Claim: claimOf("w1", StateUnknown)}, Answer{Outcome: OutcomeUnknown, Replayed: true}},
		{"holder dead", ReadResult{Claim: claimOf("w1", StatePending)}, Answer{Outcome: OutcomeUnknown, Replayed: true}},
		{
			"overdue",
			ReadResult{Claim: claimOf("w1", StatePending), HolderAlive: true, Age: time.Minute},
			Answer{Outcome: OutcomeUnknown, Replayed: true},
		},
		{"stream", ReadResult{Claim: stream}, Attach{Target: stream.Target}},
		{"not run", ReadResult{Claim: claimOf("w1", StateNotRun), Version: 7}, Update{
			Name: Name("c", "k"), Version: 7, Claim: written(claimOf("w2", StatePending), 2),
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			acts := met(t, request("w2"), tc.res)
			assert.DeepEqual(t, acts[0], tc.want)
		})
	}
}

// TestRepeatWhileFirstRuns reads a claim that stays pending, and one that can't
// be read any more, until the tries are used up.
func TestRepeatWhileFirstRuns(t *testing.T) {
	pending := ReadResult{Claim: claimOf("w1", StatePending), HolderAlive: true}
	for _, later := range []ReadResult{pending, {Result: ResultUnavailable}, {Result: ResultNotFound}} {
		c, acts := repeatOf(pending)
		reads := 1
		for ; !c.Finished(); reads++ {
			_, waits := acts[0].(Wait)
			assert.Assert(t, waits, "%v", acts)
			assert.DeepEqual(t, c.Handle(begin, Tick{}), []Action{Read{Name: Name("c", "k")}})
			acts = c.Handle(begin, later)
		}
		assert.Equal(t, reads, DefaultSettings().MaxTries-1)
		ref := acts[0].(Refuse)
		assert.Equal(t, ref.Reason, ReasonInProgress)
		assert.Equal(t, ref.Outcome, OutcomeUnknown)
		assert.Assert(t, ref.RetryAfter > 0)
	}
}

// TestRepeatBeforeTheRecordGetsTheAnswer repeats a request whose caller has its
// answer while the outcome is still being written to the store.
func TestRepeatBeforeTheRecordGetsTheAnswer(t *testing.T) {
	c, acts := repeatOf(ReadResult{Claim: claimOf("w1", StatePending), HolderAlive: true})
	_, waits := acts[0].(Wait)
	assert.Assert(t, waits, "%v", acts)
	c.Handle(begin, Tick{})
	ran := claimOf("w1", StateRan)
	ran.Answer = &StoredAnswer{Status: 201, Body: []byte("filed")}
	acts = c.Handle(begin, ReadResult{Claim: ran, HolderAlive: true})
	assert.DeepEqual(t, acts[0], Answer{Outcome: OutcomeRan, Stored: ran.Answer, Replayed: true})
}

// repeatOf returns a repeat that has met res, and what it does next.
func repeatOf(res ReadResult) (*Claimer, []Action) {
	c := newClaimer(request("w2"))
	c.Handle(begin, Begin{})
	c.Handle(begin, CreateResult{Result: ResultExists})
	return c, c.Handle(begin, res)
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	req := request("w2")
	req.Fingerprint = "other"
	acts := met(t, req, ReadResult{Claim: claimOf("w1", StateRan)})
	assert.DeepEqual(t, acts, []Action{
		Refuse{Reason: ReasonMismatch, Outcome: OutcomeNotRun}, Done{},
	})
}

func TestPlatformUnreachableIsNotRun(t *testing.T) {
	c := newClaimer(request("w1"))
	c.Handle(begin, Begin{})
	var acts []Action
	for {
		acts = c.Handle(begin, CreateResult{Result: ResultUnavailable})
		if _, ok := acts[0].(Wait); !ok {
			break
		}
		c.Handle(begin, Tick{})
	}
	ref := acts[0].(Refuse)
	assert.Equal(t, ref.Reason, ReasonPlatform)
	assert.Equal(t, ref.Outcome, OutcomeNotRun)
	assert.Assert(t, ref.RetryAfter >= DefaultSettings().RetryAfter)
	assert.Assert(t, c.Finished())
}

func TestHolderPausedPastItsWindowDoesNotSend(t *testing.T) {
	c := newClaimer(request("w1"))
	c.Handle(begin, Begin{})
	acts := c.Handle(begin.Add(time.Hour), CreateResult{Result: ResultOK, Version: 3})
	assert.Equal(t, acts[0].(Refuse).Reason, ReasonTooLate)
	up := acts[1].(Update)
	assert.Equal(t, up.Version, uint64(3))
	assert.Equal(t, up.Claim.State, StateNotRun)
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	c := newClaimer(request("w1"))
	c.Handle(begin, Begin{})
	c.Handle(begin, CreateResult{Result: ResultOK, Version: 1})
	big := &StoredAnswer{Status: 200, Body: make([]byte, DefaultSettings().MaxAnswerBytes+1)}
	acts := c.Handle(begin, SendResult{Outcome: OutcomeRan, Answer: big})
	assert.DeepEqual(t, acts[0], Answer{Outcome: OutcomeRan, Stored: big})
	assert.DeepEqual(t, acts[1].(Update).Claim.Answer, &StoredAnswer{Status: 200, Truncated: true})
}

func TestSettingsAreChecked(t *testing.T) {
	assert.NilError(t, DefaultSettings().Validate(24*time.Hour))
	assert.ErrorIs(t, DefaultSettings().Validate(time.Second), ErrBadSettings)
	assert.ErrorIs(t, Settings{}.Validate(time.Hour), ErrBadSettings)
}

func TestRemoverKeepsToItsBudget(t *testing.T) {
	r := NewRemover(RemoverSettings{Retention: time.Hour, Pause: time.Minute, Batch: 100, PerSecond: 5, RetryAfter: time.Second})
	now := begin
	_, list := r.Tick(now)
	assert.DeepEqual(t, list, &List{Limit: 100})
	page := Page{OK: true, Claims: []Listed{{Name: "fresh", State: StateRan, Age: time.Minute}, {Name: "paused", State: StatePending, Age: 90 * time.Minute}}}
	for i := range 40 {
		page.Claims = append(page.Claims, Listed{Name: "old", Version: uint64(i), State: StateRan, Age: 2 * time.Hour})
	}
	r.Take(now, page)
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
		c.Handle(begin, Begin{})
		c.Handle(begin, CreateResult{Result: ResultOK, Version: 1})
		c.Handle(begin, SendResult{Outcome: OutcomeRan, Answer: answer})
		c.Handle(begin, UpdateResult{Result: ResultOK, Version: 2})
	}
}
