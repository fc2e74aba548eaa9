package attempter_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/state/seeder"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// unlimitedBudget allows every retry.
type unlimitedBudget struct{}

func (unlimitedBudget) Retry(time.Time, int, time.Time) (time.Duration, bool) { return 0, true }

var epoch = time.Unix(0, 0)

func ExampleAttempter() {
	a := attempter.New(attempter.Config{
		NonIdempotent: true, Deadline: epoch.Add(time.Second), MaxAttempts: 3,
	}, unlimitedBudget{})
	a.RecordSend()
	d := a.HandleFailure(epoch, attempter.ConnectionLost)
	fmt.Println(d.Step == attempter.GiveUp, d.Outcome)
	// Output: true unknown
}

func TestHandleFailure(t *testing.T) {
	stream := attempter.Config{Streamed: true, Resumable: true, Deadline: epoch.Add(time.Second), MaxAttempts: 2, MaxResumes: 1}
	nonIdempotent := attempter.Config{NonIdempotent: true, Deadline: epoch.Add(time.Second), MaxAttempts: 2}
	tests := []struct {
		name      string
		cfg       attempter.Config
		delivered bool
		now       time.Time
		failures  []attempter.Failure
		want      attempter.Decision
	}{
		{"refused starts another attempt", stream, false, epoch, []attempter.Failure{attempter.Refused}, attempter.Decision{Step: attempter.Retry}},
		{"connection lost resumes first", stream, false, epoch, []attempter.Failure{attempter.ConnectionLost}, attempter.Decision{Step: attempter.Resume}},
		{"resume fails before the first token", stream, false, epoch, []attempter.Failure{attempter.ConnectionLost, attempter.StreamNotFound}, attempter.Decision{Step: attempter.Retry}},
		{"resume fails after a token", stream, true, epoch, []attempter.Failure{attempter.ConnectionLost, attempter.StreamNotFound}, attempter.Decision{Step: attempter.GiveUp, Outcome: attempter.Unknown}},
		{"deadline has passed", stream, false, epoch.Add(time.Second), []attempter.Failure{attempter.Refused}, attempter.Decision{Step: attempter.GiveUp, Outcome: attempter.NotRun}},
		{"non-idempotent request not sent may be retried", nonIdempotent, false, epoch, []attempter.Failure{attempter.NotSent}, attempter.Decision{Step: attempter.Retry}},
		{"non-idempotent request with connection lost is unknown", nonIdempotent, false, epoch, []attempter.Failure{attempter.ConnectionLost}, attempter.Decision{Step: attempter.GiveUp, Outcome: attempter.Unknown}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := attempter.New(tt.cfg, unlimitedBudget{})
			a.RecordSend()
			if tt.delivered {
				a.RecordToken(true)
			}
			var got attempter.Decision
			for _, f := range tt.failures {
				got = a.HandleFailure(tt.now, f)
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// Guards against a generation that is given up because its endpoint is silent for longer than
// some token timeouts, and against one that waits for it for ever.
func TestSilentEndpointIsAwaited(t *testing.T) {
	cfg := attempter.Config{
		Streamed: true, Resumable: true, Deadline: epoch.Add(time.Hour), MaxAttempts: 2, MaxResumes: 3, MaxSilence: 30 * time.Second,
	}
	for _, c := range []struct {
		name      string
		delivered bool
		failure   attempter.Failure
		resumes   int // Before another step is taken.
		step      attempter.Step
	}{
		{"silent", true, attempter.TokenTimeout, 10 + 3, attempter.GiveUp},
		{"connection lost", true, attempter.ConnectionLost, 3, attempter.GiveUp},
		{"another attempt is possible", false, attempter.TokenTimeout, 3, attempter.Retry},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := attempter.New(cfg, unlimitedBudget{})
			a.RecordSend()
			if c.delivered {
				a.RecordToken(true)
			}
			now, resumes := epoch, 0
			d := a.HandleFailure(now, c.failure)
			for ; d.Step == attempter.Resume; resumes++ {
				now = now.Add(3 * time.Second)
				d = a.HandleFailure(now, c.failure)
			}
			assert.Equal(t, d.Step, c.step)
			assert.Equal(t, resumes, c.resumes)
		})
	}
}

// Guards against a request that may have run and is reported as not run, since another attempt
// was not sent: its endpoint was leaving.
func TestUnsentAttemptSaysNothingOfEarlierOnes(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		cfg := attempter.Config{Resumable: resumable, Deadline: epoch.Add(time.Second), MaxAttempts: 3, MaxResumes: 1}
		a := attempter.New(cfg, unlimitedBudget{})
		a.RecordSend()
		d := a.HandleFailure(epoch, attempter.ConnectionLost)
		if resumable {
			d = a.HandleFailure(epoch, attempter.StreamNotFound)
		}
		assert.Equal(t, d.Step, attempter.Retry)
		assert.Equal(t, a.HandleFailure(epoch, attempter.NotSent).Step, attempter.Retry)
		d = a.HandleFailure(cfg.Deadline, attempter.NotSent)
		assert.Equal(t, d, attempter.Decision{Step: attempter.GiveUp, Outcome: attempter.Unknown})
	}
}

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 2000)) }

// TestRandomFailures applies random failures to requests. Whether an attempt
// ran is drawn consistently with the failure, so that the test detects a wrong
// outcome and a second run of a non-idempotent request.
func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := attempter.Config{
			Streamed:      rapid.Bool().Draw(t, "streamed"),
			NonIdempotent: rapid.Bool().Draw(t, "non_idempotent"),
			Resumable:     rapid.Bool().Draw(t, "resumable"),
			Deadline:      epoch.Add(10 * time.Second),
			MaxAttempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
			MaxResumes:    rapid.IntRange(0, 3).Draw(t, "resumes"),
		}
		a := attempter.New(cfg, unlimitedBudget{})
		now, runs := epoch, 0
		a.RecordSend()
		unsent := false // The attempt failed before its send was recorded.
		for {
			f := attempter.Failure(rapid.IntRange(int(attempter.NotSent), int(attempter.StreamTruncated)).Draw(t, "failure"))
			if unsent {
				f = attempter.NotSent
			}
			ran := f > attempter.Refused && rapid.Bool().Draw(t, "ran")
			if ran {
				runs++
				if rapid.Bool().Draw(t, "token") {
					a.RecordToken(cfg.Streamed)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			d := a.HandleFailure(now, f)
			if d.Step == attempter.Retry {
				if unsent = rapid.Bool().Draw(t, "unsent"); !unsent {
					a.RecordSend()
				}
				continue
			}
			assert.Assert(t, !unsent || d.Step != attempter.Resume, "resume of an attempt that was not sent")
			if d.Step == attempter.Resume {
				continue
			}
			a.AssertOutcome(d.Outcome)
			if d.Outcome == attempter.NotRun && runs > 0 {
				t.Fatalf("reported not_run after %d runs", runs)
			}
			return
		}
	})
}
