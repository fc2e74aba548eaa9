// Package attempter decides how to continue after an attempt to serve a request
// has failed: resume the same generation, start another attempt, or give up and
// report an outcome that is certain to be correct.
package attempter

import (
	"fmt"
	"time"

	"monsoonspar.example/state/asserter"
)

// Outcome reports to a caller whether its request ran.
type Outcome string

// The outcomes of a request.
const (
	NotRun  Outcome = "not_run" // Certainly did not run.
	Unknown Outcome = "unknown" // May have run.
	Ran     Outcome = "ran"     // Certainly ran.
)

// Failure is the way in which an attempt failed.
type Failure int

// The ways in which an attempt fails.
const (
	NotSent         Failure = iota + 1 // No byte that the endpoint could have read was written.
	Refused                            // The endpoint refused the attempt before running it.
	ConnectionLost                     // The connection was lost after the request was written.
	TokenTimeout                       // No bytes were received within the token timeout.
	StreamNotFound                     // The endpoint does not know the stream.
	StreamTruncated                    // The stream ended before the answer was complete.
)

// provesNotRun reports whether f proves that the attempt did not run.
func (f Failure) provesNotRun() bool { return f == NotSent || f == Refused }

// Step is the action to take after a failure.
type Step int

// The steps after a failure.
const (
	Resume Step = iota + 1 // Continue the same generation on a new connection.
	Retry                  // Abandon this attempt and start another one.
	GiveUp                 // End the request and report Decision.Outcome.
)

// Decision is the step to take after a failure, with its parameters.
type Decision struct {
	Step    Step
	Outcome Outcome       // Set for GiveUp.
	Delay   time.Duration // Delay before the next attempt, if another is to be started.
}

// Config describes one request.
type Config struct {
	Streamed      bool // Tokens are delivered to the caller as they are generated.
	NonIdempotent bool // The request must run at most once.
	Resumable     bool // The endpoint retains streams so that they can be resumed.
	Deadline      time.Time
	MaxAttempts   int // Maximum number of attempts, including the first.
	MaxResumes    int // Maximum number of consecutive resumes without a token.
	// MaxSilence is the time for which a silent endpoint is waited for if no other attempt
	// can be started. In this time token timeouts don't count as resumes.
	MaxSilence time.Duration
}

// Budget limits retries across requests. The caller supplies the policy.
type Budget interface {
	// Retry takes one retry from the budget. It returns the delay before the
	// next attempt, or false if the budget is exhausted.
	Retry(now time.Time, attempt int, deadline time.Time) (time.Duration, bool)
}

// Attempter tracks the attempts of one request. It is not safe for concurrent
// use.
type Attempter struct {
	cfg               Config
	budget            Budget
	attempts          int
	resumes           int
	silentSince       time.Time // Time of the first token timeout since the last token; zero if there was none.
	resuming          bool      // The last step was Resume, so a refusal does not prove that nothing ran.
	delivered         bool
	earlierMayHaveRun bool // An abandoned attempt may have run.
	currentMayHaveRun bool // The current attempt may have run.
}

// New returns an Attempter for a request that has not been attempted.
func New(cfg Config, budget Budget) *Attempter {
	return &Attempter{cfg: cfg, budget: budget}
}

// RecordSend records that an attempt is about to be written to an endpoint. It
// must be called before the first byte is written.
func (a *Attempter) RecordSend() {
	a.earlierMayHaveRun = a.MayHaveRun()
	asserter.That(!a.cfg.NonIdempotent || !a.earlierMayHaveRun, asserter.AtMostOnce,
		fmt.Sprintf("attempt %d of a non-idempotent request that may have run", a.attempts+1))
	a.attempts++
	a.resumes, a.silentSince = 0, time.Time{}
	a.resuming = false
	a.currentMayHaveRun = true
}

// RecordToken records that a token was received, and whether it was delivered to
// the caller.
func (a *Attempter) RecordToken(toCaller bool) {
	a.resumes, a.silentSince = 0, time.Time{}
	a.resuming = false
	a.delivered = a.delivered || toCaller
}

// MayHaveRun reports whether any attempt may have run.
func (a *Attempter) MayHaveRun() bool { return a.earlierMayHaveRun || a.currentMayHaveRun }

// HandleFailure decides how to continue after the current attempt has failed.
func (a *Attempter) HandleFailure(now time.Time, f Failure) Decision {
	if f.provesNotRun() && !a.resuming && !a.delivered {
		a.currentMayHaveRun = false
		return a.retry(now)
	}
	if f == TokenTimeout && a.silentSince.IsZero() {
		a.silentSince = now
	}
	if a.canResume(now, f) {
		if !a.awaitsSilent(now, f) {
			a.resumes++
		}
		a.resuming = true
		return Decision{Step: Resume}
	}
	if a.isBound() {
		return a.giveUp()
	}
	return a.retry(now)
}

// isBound reports whether no other attempt may be started.
func (a *Attempter) isBound() bool {
	return a.delivered || (a.cfg.NonIdempotent && a.currentMayHaveRun)
}

// awaitsSilent reports whether f is a token timeout that does not count as a resume.
func (a *Attempter) awaitsSilent(now time.Time, f Failure) bool {
	return f == TokenTimeout && a.isBound() && now.Sub(a.silentSince) < a.cfg.MaxSilence
}

// canResume reports whether the same generation may still be resumed.
func (a *Attempter) canResume(now time.Time, f Failure) bool {
	if !a.cfg.Resumable || f == StreamNotFound {
		return false
	}
	return (a.resumes < a.cfg.MaxResumes || a.awaitsSilent(now, f)) && now.Before(a.cfg.Deadline)
}

// retry starts another attempt if the limits and the budget permit it.
func (a *Attempter) retry(now time.Time) Decision {
	if a.attempts >= a.cfg.MaxAttempts || !now.Before(a.cfg.Deadline) {
		return a.giveUp()
	}
	delay, ok := a.budget.Retry(now, a.attempts, a.cfg.Deadline)
	if !ok {
		return a.giveUp()
	}
	// A failure of the next attempt says nothing of this one, also if it comes before RecordSend.
	a.earlierMayHaveRun, a.currentMayHaveRun = a.MayHaveRun(), false
	a.resuming = false
	return Decision{Step: Retry, Delay: delay}
}

// giveUp ends the request with the most specific outcome that is certain.
func (a *Attempter) giveUp() Decision {
	if a.MayHaveRun() {
		return Decision{Step: GiveUp, Outcome: Unknown}
	}
	return Decision{Step: GiveUp, Outcome: NotRun}
}

// AssertOutcome asserts that an outcome is correct. It must be called before the
// outcome is reported to the caller.
func (a *Attempter) AssertOutcome(o Outcome) {
	asserter.That(o != NotRun || !a.MayHaveRun(), asserter.NotRunIsTrue,
		fmt.Sprintf("not_run after %d attempts that may have run", a.attempts))
}
