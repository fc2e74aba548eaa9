package claimer

import "time"

// meet goes on from a claim that stands in the platform.
func (c *Claimer) meet(now time.Time, res ReadResult) []Action {
	met := res.Claim
	if met.Writer == c.req.Writer && met.State == StatePending {
		return c.meetOwn(now, res)
	}
	if c.isOther(met) {
		c.inDoubt = false
		return c.refuse(now, ReasonMismatch, 0)
	}
	c.seen = res
	switch met.State {
	case StateNotRun:
		return c.takeOver(res.Version)
	case StateRan:
		return c.meetRan(met)
	case StateUnknown:
		if met.Target.Resumable {
			return c.attach(met.Target)
		}
		return c.replay(OutcomeUnknown, nil)
	default:
		return c.meetPending(res)
	}
}

// meetOwn goes on after a write without an answer that did take effect. A
// further target whose write did not is written again.
func (c *Claimer) meetOwn(now time.Time, res ReadResult) []Action {
	if res.Claim.Target == c.claim.Target {
		return c.own(now, res.Version)
	}
	c.phase = phaseRetargeting
	return []Action{c.update(res.Version)}
}

// isOther reports whether met is the claim of another request.
func (c *Claimer) isOther(met Claim) bool {
	return met.Customer != c.req.Customer ||
		met.KeyHash != c.claim.KeyHash ||
		met.Fingerprint != c.req.Fingerprint
}

// takeOver makes a claim that is proven not to have run this attempt's own.
func (c *Claimer) takeOver(version uint64) []Action {
	c.phase = phaseTakingOver
	return []Action{c.update(version)}
}

func (c *Claimer) meetRan(met Claim) []Action {
	whole := met.Answer != nil && !met.Answer.Truncated
	if met.Target.Resumable && !whole {
		return c.attach(met.Target)
	}
	return c.replay(OutcomeRan, met.Answer)
}

func (c *Claimer) meetPending(res ReadResult) []Action {
	if c.cfg.off.pendingFinal && !res.HolderAlive {
		return c.takeOver(res.Version)
	}
	if res.Claim.Target.Resumable {
		return c.attach(res.Claim.Target)
	}
	return c.pendingVerdict()
}

// pendingVerdict tells the caller about a claim that is still pending. A
// holder that died may have sent the request, so its outcome is unknown.
func (c *Claimer) pendingVerdict() []Action {
	overdue := c.seen.Age > c.seen.Claim.Timeout+c.cfg.Grace
	if overdue || !c.seen.HolderAlive {
		return c.replay(OutcomeUnknown, nil)
	}
	return c.awaitRecord()
}

// awaitRecord reads the pending claim again after a pause, since a holder
// answers its caller before it records the outcome. A claim that stays pending
// is in progress.
func (c *Claimer) awaitRecord() []Action {
	if c.tries >= c.cfg.MaxTries {
		return c.inProgress()
	}
	c.phase = phaseReading
	return []Action{Wait{Duration: c.backoff(c.tries)}}
}

func (c *Claimer) inProgress() []Action {
	c.phase = phaseDone
	return []Action{
		Refuse{Reason: ReasonInProgress, Outcome: OutcomeUnknown, RetryAfter: c.retryAfter()},
		Done{},
	}
}

// replay tells the caller the outcome of an earlier attempt.
func (c *Claimer) replay(o Outcome, stored *StoredAnswer) []Action {
	c.phase = phaseDone
	return []Action{Answer{Outcome: o, Stored: stored, Replayed: true}, Done{}}
}

func (c *Claimer) attach(t Target) []Action {
	c.phase = phaseAttaching
	return []Action{Attach{Target: t}}
}

func (c *Claimer) onAttaching(ev Event) []Action {
	res, ok := ev.(AttachResult)
	if !ok {
		return nil
	}
	switch {
	case res.Result == AttachStreaming:
		c.phase = phaseDone
		return []Action{Done{}}
	case res.Result == AttachUnreachable:
		return c.inProgress()
	case c.seen.Claim.State == StateRan:
		return c.replay(OutcomeRan, c.seen.Claim.Answer)
	case c.seen.Claim.State == StateUnknown:
		return c.replay(OutcomeUnknown, nil)
	default:
		return c.pendingVerdict()
	}
}
