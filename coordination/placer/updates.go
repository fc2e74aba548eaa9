package placer

import (
	"time"

	"monsoonspar.example/state/registrar"
)

const (
	maxPendingUpdates = 4096             // Updates that wait for TakeUpdates; more accumulate only if it is no longer called.
	unlistedTimeout   = 3 * time.Second  // A peer's job that is not in the engine's reports after this time has ended without an update.
	unlistedLimit     = 60 * time.Second // The same while the engine has a queue, which its reports don't list.
)

// publish queues an update for the peers. The mutex is held.
func (p *Placer) publish(u Update) {
	p.updateCount++
	u.Number = p.updateCount
	p.updates = append(p.updates, u)
	select {
	case p.cfg.Updated <- struct{}{}:
	default: // One is waiting, or nobody is told.
	}
}

// publishPlaced queues the update that a job was placed. The mutex is held.
func (p *Placer) publishPlaced(r *run, e *engine) {
	u := newUpdate(&r.job, Placed)
	u.Engine, u.Backup, u.Running = e.endpoint.Identity, r.backup, !r.firstEventAt.IsZero()
	p.publish(u)
}

// removeAndPublish removes a job from its engine and queues the update that it
// has ended. The mutex is held.
func (p *Placer) removeAndPublish(id string) {
	p.removeRun(id)
	p.publish(Update{JobID: id, Event: Ended})
}

// newUpdate returns an update about an event, with the fields of the job that
// peers need.
func newUpdate(job *Job, event Event) Update {
	return Update{
		JobID: job.ID, Event: event, PromptTokens: job.PromptTokens, MaxTokens: job.MaxTokens, OutputTokens: job.OutputTokens, Priority: job.Priority, Model: job.Class.Model,
	}
}

// TakeUpdates returns the updates since the last call, and of more than
// maxPendingUpdates only the newest.
func (p *Placer) TakeUpdates() []Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	updates := p.updates
	p.updates = nil
	if len(updates) > maxPendingUpdates {
		updates = updates[len(updates)-maxPendingUpdates:]
	}
	return updates
}

// ApplyUpdates applies the updates of a peer.
func (p *Placer) ApplyUpdates(updates []Update, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range updates {
		p.applyUpdate(&updates[i], now)
	}
}

// applyUpdate applies one update of a peer. The mutex is held.
func (p *Placer) applyUpdate(u *Update, now time.Time) {
	r := p.runOf(u.JobID)
	if r != nil && !r.remote {
		return // The state of the daemon's own jobs is newer than any update of a peer.
	}
	if u.Event == Started || u.Event == Ended {
		p.applyDelayed(u, r, now)
		return
	}
	v := u.version(now)
	if (r != nil && r.version.follows(v, now)) || p.arrivals[u.JobID].ended.follows(v, now) {
		return
	}
	queued := p.remoteQueue[u.JobID]
	delete(p.remoteQueue, u.JobID)
	switch u.Event {
	case Queued:
		p.addRemoteQueued(u, now)
	case Placed:
		if queued != nil && !p.onTime(&queued.job, now) {
			p.recordLatePlacement(now)
		}
		p.addRemoteRun(u, now)
	case Migrating:
		p.applyMigrating(u, now)
	case Started, Ended:
	}
}

// applyMigrating applies the update that a job migrates. The mutex is held.
func (p *Placer) applyMigrating(u *Update, now time.Time) {
	p.releaseMigration(u.JobID)
	if e := p.engines[u.Engine]; e != nil {
		job := u.job()
		e.lastMigrationAt = now
		p.reserveMigration(e, &job, p.moments(&job), now)
		e.migratingIn[u.JobID].version = u.version(now)
	}
}

// addRemoteQueued adds a job that is queued at a peer. The mutex is held.
func (p *Placer) addRemoteQueued(u *Update, now time.Time) {
	job := u.job()
	job.FirstEventDue = now.Add(u.FirstEventIn)
	if len(u.AllowedRegions) > 0 {
		job.AllowedRegions = u.AllowedRegions
	}
	if u.ClientLeavesIn > 0 {
		job.FirstEventLimit = now.Add(u.ClientLeavesIn)
	}
	p.remoteQueue[u.JobID] = &queuedJob{job: job, enqueuedAt: now, domain: u.Domain, publishedAt: now, remote: true, short: p.isShort(&job), version: u.version(now)}
}

// addRemoteRun adds a job that a peer has placed on an engine. The mutex is held.
func (p *Placer) addRemoteRun(u *Update, now time.Time) {
	p.removeRun(u.JobID)
	p.releaseMigration(u.JobID)
	e := p.engines[u.Engine]
	if e == nil {
		return
	}
	job := u.job()
	r := p.addRun(e, &job, u.Backup, now)
	r.remote, r.version = true, u.version(now)
	if u.Running || p.arrivals[u.JobID].started.follows(r.version, now) {
		r.firstEventAt = now
	}
}

// job returns the job of the update. Only the fields that newUpdate takes from a
// job are known.
func (u *Update) job() Job {
	return Job{ID: u.JobID, Class: ClassOf(u.Model, u.Priority), PromptTokens: u.PromptTokens, MaxTokens: u.MaxTokens, OutputTokens: u.OutputTokens, Priority: u.Priority}
}

// removeLostRuns removes the jobs of peers that the report of their engine does
// not list: they have ended and the update was lost. The mutex is held.
func (p *Placer) removeLostRuns(e *engine, now time.Time) {
	for id, r := range e.runs {
		if !r.remote || e.listed[id] {
			continue
		}
		if age := now.Sub(r.addedAt); age > unlistedLimit || (age > unlistedTimeout && e.report.Queued == 0) {
			p.removeRun(id)
		}
	}
}

// EvacuationTurn is the position of a run in the evacuation of its engine.
type EvacuationTurn struct {
	StartAfter time.Duration // Time until the migration begins, estimated from the sizes of the runs ahead.
	TimeNeeded time.Duration // Time to migrate the run and those behind it.
	RunsAhead  int           // Runs that migrate earlier.
	Local      bool          // Placed by this daemon.
}

// EvacuationTurns returns the turns of the runs of an engine that is shutting down.
// Daemons that know the same runs compute the same turns, so that the migrations
// use the link of the engine one after the other.
func (p *Placer) EvacuationTurns(id registrar.Identity, linkBytesPerSecond float64, tokenBytes int64, now time.Time) map[string]EvacuationTurn {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	if e == nil {
		return nil
	}
	return e.evacuationTurns(p, linkBytesPerSecond/float64(max(tokenBytes, 1)), now)
}
