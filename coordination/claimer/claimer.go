// Package claimer ensures that a non-idempotent request with an idempotency key
// runs at most once.
//
// Before such a request is sent, a Claim is created for it in the platform's
// object API. Creation is conditional, so only one of several attempts
// succeeds; the others attach to its stream or receive its outcome. A claim is
// taken over only after its holder, the daemon that runs the attempt, has
// recorded that the request did not run. A later attempt with the same key is
// called a repeat.
//
// A Claimer does no I/O: Handle takes events and returns actions. Each Create,
// Read, Update, Send, Attach and Wait is answered by exactly one event before
// the next of them is issued. A Claimer may be lost at any time, for example in
// a crash: its claim then stays pending, and the request is never run again.
package claimer

import (
	"math/rand/v2"
	"time"

	"monsoonspar.example/state/asserter"

	"github.com/pkg/errors"
)

// ErrBadSettings is wrapped by the errors of Settings.Validate.
var ErrBadSettings = errors.New("invalid claim settings")

// Settings are the limits and intervals of claims. They are the same for all
// requests.
type Settings struct {
	MaxPlatformCalls int           // Platform calls made before a request is refused.
	InitialBackoff   time.Duration // Delay before the first retry of a platform call.
	MaxBackoff       time.Duration
	RetryAfter       time.Duration // Minimum delay before a refused caller retries; the maximum is twice as long.
	SendWindow       time.Duration // Maximum time from Begin to Send.
	RecordWindow     time.Duration // Maximum time spent on recording an outcome.
	OverdueGrace     time.Duration // Time after a claim's timeout before a pending claim's outcome is reported as unknown.
	MaxAnswerBytes   int           // Largest answer body stored in a claim.

	disabled mechanisms
}

// mechanisms are safety mechanisms that tests disable to show that each is
// needed.
type mechanisms struct {
	createBeforeSend   bool // Send only after the claim has been created.
	readAfterLostWrite bool // Read the claim after a write whose response was lost.
	protectPending     bool // Never take over a pending claim.
	numberWrites       bool // Number the writes of an attempt.
	settleInDoubt      bool // When refusing, record as not run a claim that is held or that a write in doubt may still change.
}

// DefaultSettings returns the settings of a deployment that configures none.
func DefaultSettings() Settings {
	return Settings{
		MaxPlatformCalls: 4,
		InitialBackoff:   50 * time.Millisecond,
		MaxBackoff:       5 * time.Second,
		RetryAfter:       2 * time.Second,
		SendWindow:       10 * time.Second,
		RecordWindow:     10 * time.Minute,
		OverdueGrace:     5 * time.Second,
		MaxAnswerBytes:   16 << 10,
	}
}

// Validate reports whether the settings are usable. Claims are removed after
// retention; a claim must outlive every send that it covers.
func (s Settings) Validate(retention time.Duration) error {
	switch {
	case s.MaxPlatformCalls < 1:
		return errors.Wrap(ErrBadSettings, "MaxPlatformCalls is below one")
	case s.InitialBackoff <= 0 || s.MaxBackoff < s.InitialBackoff:
		return errors.Wrap(ErrBadSettings, "initial backoff is not positive or exceeds the maximum backoff")
	case retention < 2*(s.SendWindow+s.RecordWindow):
		return errors.Wrapf(ErrBadSettings, "retention %v is below twice the sum of the send and record windows", retention)
	}
	return nil
}

// Request describes one attempt of a caller to run a keyed request.
type Request struct {
	Customer    string
	Key         string
	Fingerprint string
	Writer      string // Unique ID of this attempt.
	Holder      string // Name of this daemon.
	Target      Target
	Deadline    time.Time // On the clock whose times are passed to Handle.
}

type phase int

const (
	phaseIdle phase = iota
	phaseCreating
	phaseReading
	phaseTakingOver
	phaseRetargeting
	phaseSending
	phaseAttaching
	phaseRecording
	phaseDone
)

// Claimer is the state machine of one Request. It is not safe for concurrent
// use.
type Claimer struct {
	settings   Settings
	request    Request
	objectName string
	rand       *rand.Rand

	phase         phase
	startedAt     time.Time
	lookup        bool // The request can't be sent.
	platformCalls int
	claim         Claim  // The claim as this attempt writes it.
	heldVersion   uint64 // Version of the claim while held.
	held          bool   // The claim is pending and names this attempt as its writer.
	writeInDoubt  bool   // A write of this attempt may still take effect.
	possibleRuns  int    // Sends not proven to have failed; at most one.

	existing  ReadResult // The claim that was found in the platform.
	recording outcomeRecord
}

// New returns a Claimer for req, which starts at the event Begin or Lookup.
func New(cfg Settings, req Request, r *rand.Rand) *Claimer {
	return &Claimer{
		settings:   cfg,
		request:    req,
		objectName: Name(req.Customer, req.Key),
		rand:       r,
		claim: Claim{
			Customer:    req.Customer,
			KeyHash:     KeyHash(req.Key),
			Fingerprint: req.Fingerprint,
			Writer:      req.Writer,
			Holder:      req.Holder,
			Target:      req.Target,
			State:       StatePending,
		},
	}
}

// Handle processes ev at the time now and returns the resulting actions, in
// order. An event that is not expected in the current phase is ignored.
func (c *Claimer) Handle(now time.Time, ev Event) []Action {
	switch c.phase {
	case phaseIdle:
		return c.onIdle(now, ev)
	case phaseCreating:
		return c.onCreating(now, ev)
	case phaseReading:
		return c.onReading(now, ev)
	case phaseTakingOver, phaseRetargeting:
		return c.onUpdating(now, ev)
	case phaseSending:
		return c.onSending(now, ev)
	case phaseAttaching:
		return c.onAttaching(ev)
	case phaseRecording:
		return c.onRecording(now, ev)
	default:
		return nil
	}
}

// Finished reports whether the Claimer needs no more events.
func (c *Claimer) Finished() bool { return c.phase == phaseDone }

func (c *Claimer) onIdle(now time.Time, ev Event) []Action {
	switch ev.(type) {
	case Begin:
	case Lookup:
		c.lookup = true
		return c.read()
	default:
		return nil
	}
	c.startedAt = now
	c.claim.Timeout = max(c.request.Deadline.Sub(now), 0)
	if now.After(c.sendDeadline()) {
		return c.refuse(now, ReasonTooLate, 0)
	}
	return c.create()
}

func (c *Claimer) create() []Action {
	c.phase = phaseCreating
	return []Action{Create{Name: c.objectName, Claim: c.nextWrite()}}
}

// nextWrite returns the claim with the number of its next write, by which a
// write whose response was lost is identified when the claim is read.
func (c *Claimer) nextWrite() Claim {
	if !c.settings.disabled.numberWrites {
		c.claim.WriteNumber++
	}
	return c.claim
}

func (c *Claimer) read() []Action {
	c.phase = phaseReading
	return []Action{Read{Name: c.objectName}}
}

func (c *Claimer) onCreating(now time.Time, ev Event) []Action {
	if _, ok := ev.(Tick); ok {
		return c.create()
	}
	res, ok := ev.(CreateResult)
	if !ok {
		return nil
	}
	c.platformCalls++
	switch res.Result {
	case ResultOK:
		return c.proceedWithClaim(now, res.Version)
	case ResultUnknown:
		c.writeInDoubt = true
		if c.settings.disabled.readAfterLostWrite {
			return c.proceedWithClaim(now, 0)
		}
		return c.retry(now, phaseReading)
	case ResultUnavailable:
		if c.settings.disabled.createBeforeSend {
			return c.proceedWithClaim(now, 0)
		}
		return c.retry(now, phaseCreating)
	default:
		return c.read()
	}
}

func (c *Claimer) onReading(now time.Time, ev Event) []Action {
	if _, ok := ev.(Tick); ok {
		return c.read()
	}
	res, ok := ev.(ReadResult)
	if !ok {
		return nil
	}
	c.platformCalls++
	switch {
	case res.Result == ResultOK:
		return c.handleExisting(now, res)
	case c.existing.Claim.State == StatePending:
		return c.awaitOutcome()
	case c.lookup && res.Result == ResultNotFound:
		return c.refuse(now, ReasonNotSendable, 0)
	case c.lookup:
		return c.refuse(now, ReasonPlatformUnavailable, c.retryAfter())
	case res.Result == ResultNotFound && c.platformCalls < c.settings.MaxPlatformCalls:
		return c.create()
	default:
		return c.retry(now, phaseReading)
	}
}

// retry returns to phase next after a backoff, or refuses the request once the
// platform calls are used up.
func (c *Claimer) retry(now time.Time, next phase) []Action {
	if c.platformCalls >= c.settings.MaxPlatformCalls {
		return c.refuse(now, ReasonPlatformUnavailable, c.retryAfter())
	}
	c.phase = next
	return []Action{Wait{Duration: c.backoff(c.platformCalls)}}
}

func (c *Claimer) backoff(failures int) time.Duration {
	ceiling := c.settings.MaxBackoff
	if shift := failures - 1; shift < 16 {
		ceiling = min(c.settings.InitialBackoff<<shift, c.settings.MaxBackoff)
	}
	return ceiling/2 + time.Duration(c.rand.Int64N(int64(ceiling/2)+1))
}

// retryAfter returns a random delay, so that callers refused together
// do not retry together.
func (c *Claimer) retryAfter() time.Duration {
	return c.settings.RetryAfter + time.Duration(c.rand.Int64N(int64(c.settings.RetryAfter)+1))
}

// proceedWithClaim sends the request, now that the claim names this attempt.
// Past the send deadline it refuses the request instead.
func (c *Claimer) proceedWithClaim(now time.Time, version uint64) []Action {
	c.held = true
	c.writeInDoubt = false
	c.heldVersion = version
	if now.After(c.sendDeadline()) {
		return c.refuse(now, ReasonTooLate, c.retryAfter())
	}
	return c.send()
}

// sendDeadline returns the latest time at which the request may be sent.
func (c *Claimer) sendDeadline() time.Time {
	deadline := c.startedAt.Add(c.settings.SendWindow)
	if c.request.Deadline.Before(deadline) {
		return c.request.Deadline
	}
	return deadline
}

func (c *Claimer) send() []Action {
	c.phase = phaseSending
	c.possibleRuns++
	asserter.That(c.held && c.possibleRuns == 1, asserter.AtMostOnce, "request sent without holding its claim: "+c.objectName)
	return []Action{Send{Target: c.claim.Target, Deadline: c.sendDeadline()}}
}

func (c *Claimer) onUpdating(now time.Time, ev Event) []Action {
	res, ok := ev.(UpdateResult)
	if !ok {
		return nil
	}
	c.platformCalls++
	switch res.Result {
	case ResultOK:
		return c.proceedWithClaim(now, res.Version)
	case ResultConflict, ResultExists, ResultNotFound:
		if c.phase == phaseRetargeting {
			c.held = false
			return c.refuse(now, ReasonContention, c.retryAfter())
		}
		return c.rereadOrRefuse(now)
	case ResultUnknown:
		c.writeInDoubt = true
		if c.settings.disabled.readAfterLostWrite {
			return c.proceedWithClaim(now, 0)
		}
		return c.rereadOrRefuse(now)
	default:
		return c.rereadOrRefuse(now)
	}
}

// rereadOrRefuse reads the claim again, or refuses the request once the
// platform calls are used up.
func (c *Claimer) rereadOrRefuse(now time.Time) []Action {
	if c.platformCalls >= c.settings.MaxPlatformCalls {
		return c.refuse(now, ReasonContention, c.retryAfter())
	}
	return c.read()
}

func (c *Claimer) onSending(now time.Time, ev Event) []Action {
	res, ok := ev.(SendResult)
	if !ok {
		return nil
	}
	switch res.Outcome {
	case OutcomeRan:
		c.claim.Answer = c.settings.storableAnswer(res.Answer)
		return c.finish(now, StateRan, Answer{Outcome: OutcomeRan, Stored: res.Answer})
	case OutcomeNotRun:
		c.possibleRuns--
		if res.NextTarget != nil && now.Before(c.sendDeadline()) {
			return c.retarget(*res.NextTarget)
		}
		return c.finish(now, StateNotRun, Answer{Outcome: OutcomeNotRun})
	default:
		return c.finish(now, StateUnknown, Answer{Outcome: OutcomeUnknown})
	}
}

// storableAnswer returns answer as it is stored in a claim: without its body if
// the body exceeds MaxAnswerBytes.
func (s Settings) storableAnswer(answer *StoredAnswer) *StoredAnswer {
	if answer == nil || len(answer.Body) <= s.MaxAnswerBytes {
		return answer
	}
	return &StoredAnswer{Status: answer.Status, ContentType: answer.ContentType, ContentEncoding: answer.ContentEncoding, Truncated: true}
}

// retarget records a further attempt in the claim before it is sent, so that a
// repeat attaches to the right stream.
func (c *Claimer) retarget(target Target) []Action {
	c.phase = phaseRetargeting
	c.platformCalls = 0
	c.claim.Target = target
	return []Action{c.update(c.heldVersion)}
}

// finish answers the caller and records state in the claim.
func (c *Claimer) finish(now time.Time, state State, answer Answer) []Action {
	return append([]Action{answer}, c.record(now, state)...)
}

// refuse refuses the request. A claim that is held, or that a write in doubt
// may still create, is recorded as not run, so that a repeat can run the
// request.
func (c *Claimer) refuse(now time.Time, reason Reason, retryAfter time.Duration) []Action {
	actions := []Action{Refuse{Reason: reason, Outcome: OutcomeNotRun, RetryAfter: retryAfter}}
	if (c.held || c.writeInDoubt) && !c.settings.disabled.settleInDoubt {
		return append(actions, c.record(now, StateNotRun)...)
	}
	c.phase = phaseDone
	return append(actions, Done{})
}
