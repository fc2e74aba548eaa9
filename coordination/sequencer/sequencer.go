// Package sequencer decides which tokens of which attempt reach a caller, so
// that each token is delivered once, in order, from a single generation.
package sequencer

import (
	"fmt"

	"monsoonspar.example/state/asserter"

	"github.com/pkg/errors"
)

// Errors of a Sequencer.
var (
	ErrDelivered = errors.New("sequencer: tokens of the generation were delivered")
	ErrFinished  = errors.New("sequencer: the answer is complete")
)

// AttemptID names one generation of an answer at one endpoint.
type AttemptID string

// Token is one piece of an answer.
type Token struct {
	Attempt AttemptID
	Index   int // Position in the answer, from 0.
	Text    string
	Finish  string // Reason why the answer ends here, or empty.
}

// Verdict tells what to do with a token that has come.
type Verdict int

// The verdicts.
const (
	Deliver   Verdict = iota + 1
	Duplicate         // The token was delivered before.
	Foreign           // The token is of another attempt.
	Gap               // Tokens before this one are missing; resume at Next.
	Surplus           // The token comes after the end of the answer.
)

// Counts counts the tokens that were not delivered, by verdict.
type Counts struct {
	Duplicate, Foreign, Gap, Surplus int
}

// Sequencer keeps the position in one answer. It is not safe for concurrent use.
type Sequencer struct {
	attempt   AttemptID
	next      int
	delivered bool
	finished  bool
	dropped   Counts
}

// New returns a Sequencer for the answer of attempt from the token at next on.
// A next above 0 continues an answer whose first tokens were delivered before.
func New(attempt AttemptID, next int) *Sequencer {
	return &Sequencer{attempt: attempt, next: next, delivered: next > 0}
}

// Next returns the index of the token to be delivered next.
func (s *Sequencer) Next() int { return s.next }

// Attempt returns the attempt that the answer comes from.
func (s *Sequencer) Attempt() AttemptID { return s.attempt }

// Finished reports whether the whole answer was delivered.
func (s *Sequencer) Finished() bool { return s.finished }

// Dropped returns the counts of tokens that were not delivered.
func (s *Sequencer) Dropped() Counts { return s.dropped }

// Offer decides about a token and, if it is to be delivered, moves past it.
func (s *Sequencer) Offer(t Token) Verdict {
	switch {
	case t.Attempt != s.attempt:
		s.dropped.Foreign++
		return Foreign
	case s.finished:
		s.dropped.Surplus++
		return Surplus
	case t.Index < s.next:
		s.dropped.Duplicate++
		return Duplicate
	case t.Index > s.next:
		s.dropped.Gap++
		return Gap
	}
	s.next++
	s.delivered = true
	s.finished = t.Finish != ""
	return Deliver
}

// Restart begins the answer anew with another attempt. It fails once a token
// was delivered.
func (s *Sequencer) Restart(attempt AttemptID) error {
	if s.finished {
		return ErrFinished
	}
	if s.delivered {
		return ErrDelivered
	}
	s.attempt = attempt
	s.next = 0
	return nil
}

// Ledger checks what is written to one caller. It shares nothing with the
// Sequencer, so that a fault there is found. The zero value is ready to use.
type Ledger struct {
	attempt AttemptID
	next    int
	started bool
}

// NewLedger returns a ledger for an answer that goes on at the token next.
func NewLedger(attempt AttemptID, next int) *Ledger {
	return &Ledger{attempt: attempt, next: next, started: next > 0}
}

// Write asserts that t is the next token of the same generation.
func (l *Ledger) Write(t Token) {
	// The details are formatted only for a violation, since this runs for each token.
	if l.started && t.Attempt != l.attempt {
		asserter.That(false, asserter.OneGeneration,
			fmt.Sprintf("token %d of %s after tokens of %s", t.Index, t.Attempt, l.attempt))
	}
	if t.Index != l.next {
		asserter.That(false, asserter.TokensInOrder,
			fmt.Sprintf("token %d of %s written in place of token %d", t.Index, t.Attempt, l.next))
	}
	l.attempt = t.Attempt
	l.next = t.Index + 1
	l.started = true
}
