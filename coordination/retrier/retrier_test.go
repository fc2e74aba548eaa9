package retrier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/coordination/retrier"
)

var start = time.Unix(0, 0).UTC()

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func ExampleRetrier() {
	r := retrier.New(retrier.Config{})
	rnd := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	_, err := r.Retry(retrier.Attempt{Number: 1, Outcome: retrier.NotRun}, rnd, now)
	fmt.Println(err)
	_, err = r.Retry(retrier.Attempt{Number: 1, Outcome: retrier.Unknown}, rnd, now)
	fmt.Println(err)
	// Output:
	// <nil>
	// attempt may have run and is not idempotent
}

func TestRetry(t *testing.T) {
	tests := []struct {
		name string
		a    retrier.Attempt
		want error
	}{
		{"not run", retrier.Attempt{Number: 1, Outcome: retrier.NotRun}, nil},
		{"unknown outcome, idempotent", retrier.Attempt{Number: 1, Idempotent: true}, nil},
		{"zero value", retrier.Attempt{}, retrier.ErrUnknownOutcome},
		{"last attempt", retrier.Attempt{Number: 3, Outcome: retrier.NotRun}, retrier.ErrAttemptsExhausted},
		{
			"minimum duration exceeds the deadline",
			retrier.Attempt{Number: 1, Outcome: retrier.NotRun, Deadline: start.Add(time.Second), MinDuration: time.Second},
			retrier.ErrDeadlineExceeded,
		},
		{
			"requested delay exceeds the deadline",
			retrier.Attempt{Number: 1, Outcome: retrier.NotRun, Deadline: start.Add(time.Second), RetryAfter: time.Second},
			retrier.ErrDeadlineExceeded,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := retrier.New(retrier.Config{}).Retry(tt.a, newRand(1), start)
			assert.ErrorIs(t, err, tt.want)
		})
	}
}

func TestBudgetIsATenthOfTheRequests(t *testing.T) {
	r := retrier.New(retrier.Config{Burst: 1})
	retries := 0
	for range 1000 {
		r.RecordRequest()
		a := retrier.Attempt{Number: 1, Outcome: retrier.NotRun}
		if _, err := r.Retry(a, newRand(1), start); err == nil {
			retries++
		} else {
			assert.ErrorIs(t, err, retrier.ErrBudgetExhausted)
		}
	}
	assert.Assert(t, retries >= 90 && retries <= 101, "%d retries", retries)
}

func TestRetriesAreSafeAndWithinDeadline(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := retrier.New(retrier.Config{})
		a := retrier.Attempt{
			Number:      rapid.IntRange(0, 4).Draw(rt, "number"),
			Outcome:     retrier.Outcome(rapid.IntRange(0, 1).Draw(rt, "outcome")),
			Idempotent:  rapid.Bool().Draw(rt, "idempotent"),
			Deadline:    start.Add(time.Duration(rapid.Int64Range(0, 2e9).Draw(rt, "deadline"))),
			MinDuration: time.Duration(rapid.Int64Range(0, 1e9).Draw(rt, "needs")),
			RetryAfter:  time.Duration(rapid.Int64Range(0, 1e9).Draw(rt, "after")),
		}
		delay, err := r.Retry(a, newRand(rapid.Uint64().Draw(rt, "seed")), start)
		if err != nil {
			return
		}
		assert.Assert(rt, a.Idempotent || a.Outcome == retrier.NotRun)
		assert.Assert(rt, delay >= a.RetryAfter)
		assert.Assert(rt, start.Add(delay+a.MinDuration).Before(a.Deadline))
	})
}
