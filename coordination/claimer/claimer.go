// Package claimer decides how a keyed non-idempotent request runs at most once.
//
// Before such a request is sent, a Claim is created for it in the platform's
// object API. Creation is conditional, so that of several attempts one wins;
// the others attach to its generation or are told its outcome. A claim is
// taken over only once its holder has recorded that nothing ran.
//
// A Claimer does no I/O. Events go into Handle and actions come out; each
// Create, Read, Update, Send, Attach and Wait is answered by exactly one event
// before the next one is asked for. Losing a Claimer at any moment is safe: its
// claim then stays pending, and the request is never run again.
package claimer

import (
	"math/rand/v2"
	"time"

	"monsoonspar.example/state/asserter"

	"github.com/pkg/errors"
)

// ErrBadSettings is wrapped by the errors of Settings.Validate.
var ErrBadSettings = errors.New("bad claim settings")

// Settings are the limits of claims. They are the same for all requests.
type Settings struct {
	MaxTries       int           // Platform calls before a request is refused.
	Backoff        time.Duration // Pause before the first retry of a platform call.
	MaxBackoff     time.Duration
	RetryAfter     time.Duration // When a refused caller should come back.
	SendWindow     time.Duration // Longest time from Begin to Send.
	RecordWindow   time.Duration // Longest time spent on recording an outcome.
	Grace          time.Duration // Time past a claim's timeout before its outcome counts as unknown.
	MaxAnswerBytes int           // Largest answer body kept in a claim.

	off mechanisms
}

// mechanisms are parts that tests switch off to show what they are for.
type mechanisms struct {
	claimFirst   bool // Send only after the claim is made.
	readBack     bool // Read the claim after a lost answer.
	pendingFinal bool // Never take over a pending claim.
	numbered     bool // Tell the writes of an attempt apart.
	settle       bool // Bar a claim in doubt before giving up on it.
}

// DefaultSettings returns the settings of a deployment that sets none.
func DefaultSettings() Settings {
	return Settings{
		MaxTries:       4,
		Backoff:        50 * time.Millisecond,
		MaxBackoff:     5 * time.Second,
		RetryAfter:     2 * time.Second,
		SendWindow:     10 * time.Second,
		RecordWindow:   10 * time.Minute,
		Grace:          5 * time.Second,
		MaxAnswerBytes: 16 << 10,
	}
}

// Validate reports whether the settings can work. Retention is the time after
// which claims are removed; a claim must outlive every send that it covers.
func (s Settings) Validate(retention time.Duration) error {
	switch {
	case s.MaxTries < 1:
		return errors.Wrap(ErrBadSettings, "no platform call is allowed")
	case s.Backoff <= 0 || s.MaxBackoff < s.Backoff:
		return errors.Wrap(ErrBadSettings, "backoff is not positive or above its maximum")
	case retention < 2*(s.SendWindow+s.RecordWindow):
		return errors.Wrapf(ErrBadSettings, "retention %v is below twice the send and record windows", retention)
	}
	return nil
}

// Request is one attempt of a caller at a keyed request.
type Request struct {
	Customer    string
	Key         string
	Fingerprint string
	Writer      string // Unique to this attempt.
	Holder      string // Name of this daemon.
	Target      Target
	Deadline    time.Time // On the clock whose times Handle is given.
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

// Claimer runs one Request. It is not safe for concurrent use.
type Claimer struct {
	cfg  Settings
	req  Request
	name string
	rand *rand.Rand

	phase   phase
	began   time.Time
	tries   int
	claim   Claim  // As this attempt writes it.
	version uint64 // Version of the claim while held.
	held    bool   // The claim names this attempt and is pending.
	inDoubt bool   // A write of this attempt may still take effect.
	unsent  int    // Sends not proven to have failed; at most one.

	seen ReadResult // The claim that was met.
	rec  recorder
}

// New returns the machine of req, which waits for Begin.
func New(cfg Settings, req Request, r *rand.Rand) *Claimer {
	return &Claimer{
		cfg:  cfg,
		req:  req,
		name: Name(req.Customer, req.Key),
		rand: r,
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

// Handle takes in ev at the time now and returns what to do, in order. An event
// that the machine does not wait for is ignored.
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

// Finished reports whether the machine needs no more events.
func (c *Claimer) Finished() bool { return c.phase == phaseDone }

func (c *Claimer) onIdle(now time.Time, ev Event) []Action {
	if _, ok := ev.(Begin); !ok {
		return nil
	}
	c.began = now
	c.claim.Timeout = max(c.req.Deadline.Sub(now), 0)
	if now.After(c.sendBy()) {
		return c.refuse(now, ReasonTooLate, 0)
	}
	return c.create()
}

func (c *Claimer) create() []Action {
	c.phase = phaseCreating
	return []Action{Create{Name: c.name, Claim: c.stamped()}}
}

// stamped returns the claim as it is written next. Each write is told apart, so
// that one without an answer can be found by reading back.
func (c *Claimer) stamped() Claim {
	if !c.cfg.off.numbered {
		c.claim.Write++
	}
	return c.claim
}

func (c *Claimer) read() []Action {
	c.phase = phaseReading
	return []Action{Read{Name: c.name}}
}

func (c *Claimer) onCreating(now time.Time, ev Event) []Action {
	if _, ok := ev.(Tick); ok {
		return c.create()
	}
	res, ok := ev.(CreateResult)
	if !ok {
		return nil
	}
	c.tries++
	switch res.Result {
	case ResultOK:
		return c.own(now, res.Version)
	case ResultLost:
		c.inDoubt = true
		if c.cfg.off.readBack {
			return c.own(now, 0)
		}
		return c.retry(now, phaseReading)
	case ResultUnavailable:
		if c.cfg.off.claimFirst {
			return c.own(now, 0)
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
	c.tries++
	switch {
	case res.Result == ResultOK:
		return c.meet(now, res)
	case c.seen.Claim.State == StatePending:
		return c.awaitRecord()
	case res.Result == ResultNotFound && c.tries < c.cfg.MaxTries:
		return c.create()
	default:
		return c.retry(now, phaseReading)
	}
}

// retry waits and returns to p, or refuses once the tries are used up.
func (c *Claimer) retry(now time.Time, p phase) []Action {
	if c.tries >= c.cfg.MaxTries {
		return c.refuse(now, ReasonPlatform, c.retryAfter())
	}
	c.phase = p
	return []Action{Wait{Duration: c.backoff(c.tries)}}
}

func (c *Claimer) backoff(tries int) time.Duration {
	d := c.cfg.MaxBackoff
	if shift := tries - 1; shift < 16 {
		d = min(c.cfg.Backoff<<shift, c.cfg.MaxBackoff)
	}
	return d/2 + time.Duration(c.rand.Int64N(int64(d/2)+1))
}

// retryAfter spreads the return of callers that were refused together.
func (c *Claimer) retryAfter() time.Duration {
	return c.cfg.RetryAfter + time.Duration(c.rand.Int64N(int64(c.cfg.RetryAfter)+1))
}

// own goes on once the claim names this attempt.
func (c *Claimer) own(now time.Time, version uint64) []Action {
	c.held = true
	c.inDoubt = false
	c.version = version
	if now.After(c.sendBy()) {
		return c.refuse(now, ReasonTooLate, c.retryAfter())
	}
	return c.send()
}

func (c *Claimer) sendBy() time.Time {
	by := c.began.Add(c.cfg.SendWindow)
	if c.req.Deadline.Before(by) {
		return c.req.Deadline
	}
	return by
}

func (c *Claimer) send() []Action {
	c.phase = phaseSending
	c.unsent++
	asserter.That(c.held && c.unsent == 1, asserter.AtMostOnce, "send without a claim of its own: "+c.name)
	return []Action{Send{Target: c.claim.Target, By: c.sendBy()}}
}

func (c *Claimer) onUpdating(now time.Time, ev Event) []Action {
	res, ok := ev.(UpdateResult)
	if !ok {
		return nil
	}
	c.tries++
	switch res.Result {
	case ResultOK:
		return c.own(now, res.Version)
	case ResultConflict, ResultExists, ResultNotFound:
		if c.phase == phaseRetargeting {
			c.held = false
			return c.refuse(now, ReasonContention, c.retryAfter())
		}
		return c.readAgain(now)
	case ResultLost:
		c.inDoubt = true
		if c.cfg.off.readBack {
			return c.own(now, 0)
		}
		return c.readAgain(now)
	default:
		return c.readAgain(now)
	}
}

func (c *Claimer) readAgain(now time.Time) []Action {
	if c.tries >= c.cfg.MaxTries {
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
		c.claim.Answer = c.cfg.keep(res.Answer)
		return c.finish(now, StateRan, Answer{Outcome: OutcomeRan, Stored: res.Answer})
	case OutcomeNotRun:
		c.unsent--
		if res.Next != nil && now.Before(c.sendBy()) {
			return c.retarget(*res.Next)
		}
		return c.finish(now, StateNotRun, Answer{Outcome: OutcomeNotRun})
	default:
		return c.finish(now, StateUnknown, Answer{Outcome: OutcomeUnknown})
	}
}

// keep returns the part of a that fits into a claim.
func (s Settings) keep(a *StoredAnswer) *StoredAnswer {
	if a == nil || len(a.Body) <= s.MaxAnswerBytes {
		return a
	}
	return &StoredAnswer{Status: a.Status, ContentType: a.ContentType, Truncated: true}
}

// retarget records a further attempt before it is sent, so that a repeat
// attaches to the right stream.
func (c *Claimer) retarget(t Target) []Action {
	c.phase = phaseRetargeting
	c.tries = 0
	c.claim.Target = t
	return []Action{c.update(c.version)}
}

// finish gives the caller its answer and records s in the claim.
func (c *Claimer) finish(now time.Time, s State, a Answer) []Action {
	return append([]Action{a}, c.record(now, s)...)
}

// refuse gives the caller its refusal. A claim that is held, or that may still
// come into being, is settled as not run, so that a repeat can run it.
func (c *Claimer) refuse(now time.Time, why Reason, after time.Duration) []Action {
	acts := []Action{Refuse{Reason: why, Outcome: OutcomeNotRun, RetryAfter: after}}
	if (c.held || c.inDoubt) && !c.cfg.off.settle {
		return append(acts, c.record(now, StateNotRun)...)
	}
	c.phase = phaseDone
	return append(acts, Done{})
}
