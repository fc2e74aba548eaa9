package placer

import "time"

// crossTime is the time between two placements in which their daemons may not
// have heard of each other: the pause before a batch of news, its way, and the
// work of a small VM on it.
const crossTime = 40 * time.Millisecond

// Confirm reports whether a placed job may be sent to its engine, once the news
// of it has crossed with that of others. Of jobs that were placed there together
// and don't fit together, those with the lowest IDs stay, as all daemons see it.
// A job that does not stay is off its engine and has to be submitted again.
func (p *Placer) Confirm(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[p.jobs[id]]
	if e == nil || e.runs[id] == nil {
		return true // The engine is gone, which the sending will tell.
	}
	own := e.runs[id]
	yielding := map[string]*running{}
	crossed := false
	for other, r := range e.runs {
		if other == id || !r.remote || !r.started.IsZero() || own.since.Sub(r.since).Abs() > crossTime {
			continue
		}
		crossed = true
		if other > id {
			yielding[other] = r
		}
	}
	if !crossed || p.fitsWithout(e, own, yielding, now) {
		return true
	}
	p.leaveAndTell(id)
	return false
}

// fitsWithout reports whether an engine has room and time for its run if others
// leave it. The mutex is held.
func (p *Placer) fitsWithout(e *engine, own *running, others map[string]*running, now time.Time) bool {
	for id := range others {
		delete(e.runs, id)
	}
	e.dirty = true
	e.refresh(p, now)
	peak := e.peak(p, nil)
	late := p.onTime(&own.job, own.since) && now.Add(e.readWait(p, now)).After(own.job.FirstBy)
	for id, r := range others {
		e.runs[id] = r
	}
	e.dirty = true
	return !late && peak <= fullPeak
}
