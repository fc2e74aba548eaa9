package claimer

import "time"

// recorder is the part of a Claimer that writes an outcome into its claim
// after the caller has been answered.
type recorder struct {
	until time.Time
	tries int
	next  Action // Asked for after a Wait.
}

// record writes s into the claim, for as long as the record window allows. The
// caller has its answer already; only repeats depend on this.
func (c *Claimer) record(now time.Time, s State) []Action {
	c.phase = phaseRecording
	c.claim.State = s
	c.rec = recorder{until: now.Add(c.cfg.RecordWindow)}
	if c.held && !c.inDoubt {
		return []Action{c.update(c.version)}
	}
	return []Action{Read{Name: c.name}}
}

func (c *Claimer) update(version uint64) Action {
	return Update{Name: c.name, Version: version, Claim: c.stamped()}
}

func (c *Claimer) onRecording(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		return []Action{c.rec.next}
	case UpdateResult:
		return c.recorded(now, ev.Result)
	case CreateResult:
		return c.recorded(now, ev.Result)
	case ReadResult:
		return c.recordOver(now, ev)
	default:
		return nil
	}
}

// recorded goes on after a write of the outcome.
func (c *Claimer) recorded(now time.Time, res Result) []Action {
	switch res {
	case ResultOK:
		return c.done()
	case ResultExists, ResultConflict, ResultNotFound:
		return []Action{Read{Name: c.name}}
	default:
		return c.recordLater(now, Read{Name: c.name})
	}
}

// recordOver writes the outcome over the claim that stands in the platform.
func (c *Claimer) recordOver(now time.Time, res ReadResult) []Action {
	switch res.Result {
	case ResultOK:
	case ResultNotFound:
		return c.recordMissing()
	default:
		return c.recordLater(now, Read{Name: c.name})
	}
	met := res.Claim
	ours := met.Writer == c.req.Writer
	switch {
	case ours && met.State == StatePending:
		return []Action{c.update(res.Version)}
	case !ours && met.State == StateNotRun && c.inDoubt:
		// A takeover in doubt may still take effect on this version.
		return []Action{c.update(res.Version)}
	default:
		return c.done()
	}
}

// recordMissing bars a create in doubt by making the object first. A claim
// that was held and is gone was removed, and needs no outcome.
func (c *Claimer) recordMissing() []Action {
	if c.held {
		return c.done()
	}
	return []Action{Create{Name: c.name, Claim: c.stamped()}}
}

func (c *Claimer) recordLater(now time.Time, next Action) []Action {
	c.rec.tries++
	if now.After(c.rec.until) {
		return c.done()
	}
	c.rec.next = next
	return []Action{Wait{Duration: c.backoff(c.rec.tries)}}
}

func (c *Claimer) done() []Action {
	c.phase = phaseDone
	return []Action{Done{}}
}
