package placer

import "time"

// Started and Ended updates may arrive later than updates that were published after them, since
// daemons pass them on, or before earlier ones that wait for a busy connection. Versions order them.

// reorderWindow is the time within which updates may arrive in another order than that in which
// they were published: batches of 300 ms, twice the time of a hop, and a connection that is blocked
// for a second. Older numbers say nothing, since a daemon that restarts begins again at one.
const reorderWindow = 2 * time.Second

// version identifies the update that led to a state.
type version struct {
	owner  string // Daemon that published the update; empty if it is not known.
	number int    // Zero if it is not known.
	at     time.Time
}

// version returns the version of the state after the update, which was received now.
func (u *Update) version(now time.Time) version {
	return version{owner: u.Owner, number: u.Number, at: now}
}

// follows reports whether v is the version of a later update of the same daemon than other.
func (v version) follows(other version, now time.Time) bool {
	return v.owner == other.owner && other.number > 0 && v.number > other.number && now.Sub(v.at) < reorderWindow
}

// replaces reports whether v is later than other, or is that of a daemon which has taken the job
// over: an update of the former owner does not concern it.
func (v version) replaces(other version, now time.Time) bool {
	takenOver := v.owner != other.owner && v.owner != "" && other.owner != "" && now.Sub(v.at) < reorderWindow
	return takenOver || v.follows(other, now)
}

// arrival holds the versions of the newest Started and Ended updates of a job.
type arrival struct {
	started, ended version
}

// applyDelayed applies a Started or Ended update of a peer. r is the run of the job, or nil. The
// mutex is held.
func (p *Placer) applyDelayed(u *Update, r *run, now time.Time) {
	v := u.version(now)
	p.recordArrival(u, v, now)
	if q := p.remoteQueue[u.JobID]; q != nil && !q.version.replaces(v, now) {
		delete(p.remoteQueue, u.JobID)
	}
	replaced := r != nil && r.version.replaces(v, now)
	if u.Event == Started {
		if !replaced {
			p.markStarted(u.JobID, now)
		}
		return
	}
	if m := p.migrationOf(u.JobID); m == nil || !m.version.replaces(v, now) {
		p.releaseMigration(u.JobID)
	}
	if replaced {
		return
	}
	if r != nil && u.FinalTokens > 0 {
		p.lengths.Record(r.job.Class, u.FinalTokens)
	}
	p.removeRun(u.JobID)
	p.endedAt[u.JobID] = now
}

// runOf returns the run of a job, or nil. The mutex is held.
func (p *Placer) runOf(id string) *run {
	if e := p.engines[p.engineOf[id]]; e != nil {
		return e.runs[id]
	}
	return nil
}

// migrationOf returns the run that a migration reserves memory for, or nil. The mutex is held.
func (p *Placer) migrationOf(id string) *run {
	if e := p.engines[p.migratingTo[id]]; e != nil {
		return e.migratingIn[id]
	}
	return nil
}

// recordArrival records a Started or Ended update, and deletes the records that no longer matter.
// The mutex is held.
func (p *Placer) recordArrival(u *Update, v version, now time.Time) {
	a := p.arrivals[u.JobID]
	newest := &a.started
	if u.Event == Ended {
		newest = &a.ended
	}
	if !newest.follows(v, now) {
		*newest = v
	}
	p.arrivals[u.JobID] = a
	if now.Sub(p.arrivalsPrunedAt) < reorderWindow {
		return
	}
	p.arrivalsPrunedAt = now
	for id, a := range p.arrivals {
		if now.Sub(a.started.at) >= reorderWindow && now.Sub(a.ended.at) >= reorderWindow {
			delete(p.arrivals, id)
		}
	}
}
