// Package sequencer decides which tokens of which attempt are delivered to a
// caller, so that each token is delivered once, in order, from a single
// generation.
package sequencer

import (
	"fmt"

	"monsoonspar.example/state/asserter"

	"github.com/pkg/errors"
)

// Errors returned by Sequencer.Restart.
var (
	ErrAlreadyDelivered = errors.New("sequencer: tokens of the generation were delivered")
	ErrFinished         = errors.New("sequencer: the answer is complete")
)

// AttemptID identifies one generation of an answer at one endpoint.
type AttemptID string

// Token is one piece of an answer.
type Token struct {
	Attempt AttemptID
	Index   int // Position in the answer, from 0.
	Text    string
	Finish  string // Finish reason if this token is the last, otherwise empty.
}

// Verdict is the decision about a received token.
type Verdict int

// The verdicts.
const (
	Deliver      Verdict = iota + 1
	Duplicate            // The token was already delivered.
	OtherAttempt         // The token belongs to another attempt.
	Gap                  // Tokens before this one are missing; resume at Next.
	AfterEnd             // The token follows the end of the answer.
)

// DropCounts are the numbers of tokens that were not delivered, by verdict.
type DropCounts struct {
	Duplicate, OtherAttempt, Gap, AfterEnd int
}

// Sequencer tracks the position in one answer. It is not safe for concurrent
// use.
type Sequencer struct {
	attempt   AttemptID
	next      int
	delivered bool
	finished  bool
	dropped   DropCounts
}

// New returns a Sequencer for the answer of attempt that starts at token next.
// If next is above 0, the tokens before it have already been delivered.
func New(attempt AttemptID, next int) *Sequencer {
	return &Sequencer{attempt: attempt, next: next, delivered: next > 0}
}

// Next returns the index of the next token to deliver.
func (s *Sequencer) Next() int { return s.next }

// Attempt returns the attempt that generates the answer.
func (s *Sequencer) Attempt() AttemptID { return s.attempt }

// Finished reports whether the complete answer was delivered.
func (s *Sequencer) Finished() bool { return s.finished }

// Dropped returns the numbers of tokens that were not delivered.
func (s *Sequencer) Dropped() DropCounts { return s.dropped }

// Offer decides about a token and advances past it if it is to be delivered.
func (s *Sequencer) Offer(t Token) Verdict {
	switch {
	case t.Attempt != s.attempt:
		s.dropped.OtherAttempt++
		return OtherAttempt
	case s.finished:
		s.dropped.AfterEnd++
		return AfterEnd
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

// Restart starts the answer again with another attempt. It fails once a token
// has been delivered.
func (s *Sequencer) Restart(attempt AttemptID) error {
	if s.finished {
		return ErrFinished
	}
	if s.delivered {
		return ErrAlreadyDelivered
	}
	s.attempt = attempt
	s.next = 0
	return nil
}

// DeliveryChecker checks the tokens that are written to one caller. It shares no
// state with the Sequencer, so that it detects faults there. The zero value is
// ready to use.
type DeliveryChecker struct {
	attempt AttemptID
	next    int
	started bool
}

// NewDeliveryChecker returns a DeliveryChecker for an answer that continues at
// token next.
func NewDeliveryChecker(attempt AttemptID, next int) *DeliveryChecker {
	return &DeliveryChecker{attempt: attempt, next: next, started: next > 0}
}

// Check asserts that t is the next token of the same generation.
func (c *DeliveryChecker) Check(t Token) {
	// Details are formatted only on a violation, since Check runs for each token.
	if c.started && t.Attempt != c.attempt {
		asserter.That(false, asserter.OneGeneration,
			fmt.Sprintf("token %d of %s after tokens of %s", t.Index, t.Attempt, c.attempt))
	}
	if t.Index != c.next {
		asserter.That(false, asserter.TokensInOrder,
			fmt.Sprintf("token %d of %s written in place of token %d", t.Index, t.Attempt, c.next))
	}
	c.attempt = t.Attempt
	c.next = t.Index + 1
	c.started = true
}
