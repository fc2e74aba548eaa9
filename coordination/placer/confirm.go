package placer

import "time"

// concurrentWindow is the time between two placements within which neither daemon
// may have received the other's update: the batching interval of updates, the
// network latency, and the processing time on a small VM.
const concurrentWindow = 40 * time.Millisecond

// Confirm reports whether a placed job may be sent to its engine. It is called
// when the updates about concurrent placements have been received. If jobs that
// were placed on the engine concurrently don't fit together, those with the lowest
// IDs stay, which is the same choice at all daemons. A job that does not stay is
// removed from its engine and has to be submitted again. Neither does a job stay whose
// engine has been evacuated since.
func (p *Placer) Confirm(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[p.engineOf[id]]
	if e == nil || e.runs[id] == nil {
		return true // The engine was removed; sending the job will fail.
	}
	if e.evacuated { // Since the job was placed.
		p.removeAndPublish(id)
		return false
	}
	own := e.runs[id]
	yielding := map[string]*run{}
	concurrent := false
	for other, r := range e.runs {
		if other == id || !r.remote || !r.firstEventAt.IsZero() || own.addedAt.Sub(r.addedAt).Abs() > concurrentWindow {
			continue
		}
		concurrent = true
		if other > id {
			yielding[other] = r
		}
	}
	if !concurrent || p.fitsWithout(e, own, yielding, now) {
		return true
	}
	p.removeAndPublish(id)
	return false
}

// fitsWithout reports whether an engine could hold its runs, and start own in
// time, if the others were not placed there. The mutex is held.
func (p *Placer) fitsWithout(e *engine, own *run, others map[string]*run, now time.Time) bool {
	for id := range others {
		delete(e.runs, id)
	}
	e.dirty = true
	e.refresh(p, now)
	peak := e.peak(p, nil)
	late := p.onTime(&own.job, own.addedAt) && now.Add(e.prefillWait(p, now)).After(own.job.FirstEventDue)
	for id, r := range others {
		e.runs[id] = r
	}
	e.dirty = true
	return !late && peak <= maxPeak
}
