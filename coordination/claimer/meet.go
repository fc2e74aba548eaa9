package claimer

import "time"

// handleExisting continues with a claim that was read from the platform.
func (c *Claimer) handleExisting(now time.Time, res ReadResult) []Action {
	found := res.Claim
	if found.Writer == c.request.Writer && found.State == StatePending {
		return c.handleOwn(now, res)
	}
	if c.isDifferentRequest(found) {
		c.writeInDoubt = false
		return c.refuse(now, ReasonKeyReused, 0)
	}
	c.existing = res
	switch found.State {
	case StateNotRun:
		if c.lookup {
			return c.refuse(now, ReasonNotSendable, 0)
		}
		return c.takeOver(res.Version)
	case StateRan:
		return c.handleRan(found)
	case StateUnknown:
		if found.Target.Resumable {
			return c.attach(found.Target)
		}
		return c.replay(OutcomeUnknown, nil)
	default:
		return c.handlePending(res)
	}
}

// handleOwn continues after a write of this attempt that took effect although
// its response was lost. If the claim does not yet name the current target, the
// target is written again.
func (c *Claimer) handleOwn(now time.Time, res ReadResult) []Action {
	if res.Claim.Target == c.claim.Target {
		return c.proceedWithClaim(now, res.Version)
	}
	c.phase = phaseRetargeting
	return []Action{c.update(res.Version)}
}

// isDifferentRequest reports whether found is the claim of a different request.
func (c *Claimer) isDifferentRequest(found Claim) bool {
	return found.Customer != c.request.Customer ||
		found.KeyHash != c.claim.KeyHash ||
		found.Fingerprint != c.request.Fingerprint
}

// takeOver makes this attempt the writer of a claim whose request provably did
// not run.
func (c *Claimer) takeOver(version uint64) []Action {
	c.phase = phaseTakingOver
	return []Action{c.update(version)}
}

func (c *Claimer) handleRan(found Claim) []Action {
	complete := found.Answer != nil && !found.Answer.Truncated
	if found.Target.Resumable && !complete {
		return c.attach(found.Target)
	}
	return c.replay(OutcomeRan, found.Answer)
}

func (c *Claimer) handlePending(res ReadResult) []Action {
	if c.settings.disabled.protectPending && !res.HolderAlive {
		return c.takeOver(res.Version)
	}
	if res.Claim.Target.Resumable {
		return c.attach(res.Claim.Target)
	}
	return c.resolvePending()
}

// resolvePending answers the caller about a claim that is still pending. A
// holder that has failed may have sent the request, so its outcome is unknown.
func (c *Claimer) resolvePending() []Action {
	overdue := c.existing.Age > c.existing.Claim.Timeout+c.settings.OverdueGrace
	if overdue || !c.existing.HolderAlive {
		return c.replay(OutcomeUnknown, nil)
	}
	return c.awaitOutcome()
}

// awaitOutcome reads the pending claim again after a backoff, since a holder
// answers its caller before it records the outcome. A claim that stays pending
// is reported as in progress.
func (c *Claimer) awaitOutcome() []Action {
	if c.platformCalls >= c.settings.MaxPlatformCalls {
		return c.refuseInProgress()
	}
	c.phase = phaseReading
	return []Action{Wait{Duration: c.backoff(c.platformCalls)}}
}

func (c *Claimer) refuseInProgress() []Action {
	c.phase = phaseDone
	return []Action{
		Refuse{Reason: ReasonInProgress, Outcome: OutcomeUnknown, RetryAfter: c.retryAfter()},
		Done{},
	}
}

// replay reports the outcome of an earlier attempt to the caller.
func (c *Claimer) replay(outcome Outcome, stored *StoredAnswer) []Action {
	c.phase = phaseDone
	return []Action{Answer{Outcome: outcome, Stored: stored, Replayed: true}, Done{}}
}

func (c *Claimer) attach(target Target) []Action {
	c.phase = phaseAttaching
	return []Action{Attach{Target: target}}
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
		return c.refuseInProgress()
	case c.existing.Claim.State == StateRan:
		return c.replay(OutcomeRan, c.existing.Claim.Answer)
	case c.existing.Claim.State == StateUnknown:
		return c.replay(OutcomeUnknown, nil)
	default:
		return c.resolvePending()
	}
}
