package claimer

import "time"

// outcomeRecord is the state of recording an outcome in the claim, which
// happens after the caller has been answered.
type outcomeRecord struct {
	deadline  time.Time
	retries   int
	afterWait Action // Issued after the current Wait.
}

// record writes state to the claim, with retries until the record window has
// passed. The caller has been answered already; only repeats depend on the
// record.
func (c *Claimer) record(now time.Time, state State) []Action {
	c.phase = phaseRecording
	c.claim.State = state
	c.recording = outcomeRecord{deadline: now.Add(c.settings.RecordWindow)}
	if c.held && !c.writeInDoubt {
		return []Action{c.update(c.heldVersion)}
	}
	return []Action{Read{Name: c.objectName}}
}

func (c *Claimer) update(version uint64) Action {
	return Update{Name: c.objectName, Version: version, Claim: c.nextWrite()}
}

func (c *Claimer) onRecording(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		return []Action{c.recording.afterWait}
	case UpdateResult:
		return c.onWriteResult(now, ev.Result)
	case CreateResult:
		return c.onWriteResult(now, ev.Result)
	case ReadResult:
		return c.writeOutcome(now, ev)
	default:
		return nil
	}
}

// onWriteResult continues after a write of the outcome.
func (c *Claimer) onWriteResult(now time.Time, res Result) []Action {
	switch res {
	case ResultOK:
		return c.done()
	case ResultExists, ResultConflict, ResultNotFound:
		return []Action{Read{Name: c.objectName}}
	default:
		return c.retryRecording(now, Read{Name: c.objectName})
	}
}

// writeOutcome writes the outcome over the claim that was read, if that is this
// attempt's own pending claim or a claim that this attempt may still take over.
func (c *Claimer) writeOutcome(now time.Time, res ReadResult) []Action {
	switch res.Result {
	case ResultOK:
	case ResultNotFound:
		return c.writeOutcomeIfMissing()
	default:
		return c.retryRecording(now, Read{Name: c.objectName})
	}
	found := res.Claim
	ours := found.Writer == c.request.Writer
	switch {
	case ours && found.State == StatePending:
		return []Action{c.update(res.Version)}
	case !ours && found.State == StateNotRun && c.writeInDoubt:
		// A takeover whose response was lost may still replace this version.
		// The update changes the version, so that the takeover fails.
		return []Action{c.update(res.Version)}
	default:
		return c.done()
	}
}

// writeOutcomeIfMissing creates the claim with its outcome, so that a create
// whose response was lost can no longer take effect. A claim that was held and
// no longer exists was removed, and needs no outcome.
func (c *Claimer) writeOutcomeIfMissing() []Action {
	if c.held {
		return c.done()
	}
	return []Action{Create{Name: c.objectName, Claim: c.nextWrite()}}
}

// retryRecording issues action after a backoff, unless the record window has
// passed.
func (c *Claimer) retryRecording(now time.Time, action Action) []Action {
	c.recording.retries++
	if now.After(c.recording.deadline) {
		return c.done()
	}
	c.recording.afterWait = action
	return []Action{Wait{Duration: c.backoff(c.recording.retries)}}
}

func (c *Claimer) done() []Action {
	c.phase = phaseDone
	return []Action{Done{}}
}
