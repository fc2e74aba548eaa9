// Package attempter decides what follows when an attempt to serve a request
// fails: resume the same generation, begin another attempt, or give up with an
// outcome that is true.
package attempter

import (
	"fmt"
	"time"

	"monsoonspar.example/state/asserter"
)

// Outcome tells a caller what became of its request.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not_run" // Proven not to have run.
	Unknown Outcome = "unknown" // May have run.
	Ran     Outcome = "ran"     // Ran.
)

// Failure tells how an attempt failed.
type Failure int

// The failures.
const (
	NotSent Failure = iota + 1 // Nothing was written that could have been read.
	Refused                    // The endpoint refused before running it.
	Broken                     // The connection was lost after the request was written.
	Silent                     // No bytes came within the token timeout.
	Gone                       // The endpoint does not know the stream.
	Cut                        // The stream ended before the answer was complete.
)

// proven reports whether f proves that the attempt did not run.
func (f Failure) proven() bool { return f == NotSent || f == Refused }

// Step is what to do next.
type Step int

// The steps.
const (
	Resume Step = iota + 1 // Continue the same generation on a fresh connection.
	Again                  // Begin another attempt; the present one is abandoned.
	GiveUp                 // End the request with Decision.Outcome.
)

// Decision is the answer to a failure.
type Decision struct {
	Step    Step
	Outcome Outcome       // Set for GiveUp.
	Delay   time.Duration // Wait before the next attempt, for Again.
}

// Config describes one request.
type Config struct {
	Streamed      bool // Tokens reach the caller as they come.
	NonIdempotent bool // The request runs at most once.
	Resumable     bool // The endpoint keeps streams for resuming.
	Deadline      time.Time
	MaxAttempts   int // Bound on attempts, the first included.
	MaxResumes    int // Bound on resumes in a row that bring no token.
}

// Budget limits retries across requests. It is a policy of the caller.
type Budget interface {
	// Retry takes one retry out of the budget. It returns the delay before the
	// next attempt, or false if there is no retry left.
	Retry(now time.Time, attempt int, deadline time.Time) (time.Duration, bool)
}

// Attempter follows the attempts of one request. It is not safe for concurrent
// use.
type Attempter struct {
	cfg       Config
	budget    Budget
	attempts  int
	resumes   int
	resuming  bool // The last step was Resume, so a refusal proves nothing.
	delivered bool
	earlier   bool // An abandoned attempt may have run.
	current   bool // The present attempt may have run.
}

// New returns an Attempter for a request that has had no attempt.
func New(cfg Config, budget Budget) *Attempter {
	return &Attempter{cfg: cfg, budget: budget}
}

// Sending notes that an attempt is about to be written to an endpoint. It must
// be called before the first byte is written.
func (a *Attempter) Sending() {
	a.earlier = a.MayHaveRun()
	asserter.That(!a.cfg.NonIdempotent || !a.earlier, asserter.AtMostOnce,
		fmt.Sprintf("attempt %d of a non-idempotent request that may have run", a.attempts+1))
	a.attempts++
	a.resumes = 0
	a.resuming = false
	a.current = true
}

// Delivered notes that a token has come and whether it reached the caller.
func (a *Attempter) Delivered(reached bool) {
	a.resumes = 0
	a.resuming = false
	a.delivered = a.delivered || reached
}

// MayHaveRun reports whether an attempt may have run.
func (a *Attempter) MayHaveRun() bool { return a.earlier || a.current }

// Failed decides what follows a failed attempt.
func (a *Attempter) Failed(now time.Time, f Failure) Decision {
	if f.proven() && !a.resuming && !a.delivered {
		a.current = false
		return a.again(now)
	}
	if a.canResume(now, f) {
		a.resumes++
		a.resuming = true
		return Decision{Step: Resume}
	}
	if a.delivered || (a.cfg.NonIdempotent && a.current) {
		return a.giveUp()
	}
	return a.again(now)
}

// canResume reports whether the same generation may still be reached.
func (a *Attempter) canResume(now time.Time, f Failure) bool {
	if !a.cfg.Resumable || f == Gone {
		return false
	}
	return a.resumes < a.cfg.MaxResumes && now.Before(a.cfg.Deadline)
}

// again begins another attempt if bounds and budget allow it.
func (a *Attempter) again(now time.Time) Decision {
	if a.attempts >= a.cfg.MaxAttempts || !now.Before(a.cfg.Deadline) {
		return a.giveUp()
	}
	delay, ok := a.budget.Retry(now, a.attempts, a.cfg.Deadline)
	if !ok {
		return a.giveUp()
	}
	return Decision{Step: Again, Delay: delay}
}

// giveUp ends the request with the strongest outcome that is true.
func (a *Attempter) giveUp() Decision {
	if a.MayHaveRun() {
		return Decision{Step: GiveUp, Outcome: Unknown}
	}
	return Decision{Step: GiveUp, Outcome: NotRun}
}

// Say asserts that an outcome is true before the caller is told.
func (a *Attempter) Say(o Outcome) {
	asserter.That(o != NotRun || !a.MayHaveRun(), asserter.NotRunIsTrue,
		fmt.Sprintf("not_run after %d attempts that may have run", a.attempts))
}
