package placer

import (
	"cmp"
	"slices"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/registrar"
)

// migrationCandidate is an engine that a run could migrate to, with the cost in
// fractions of an engine's memory.
type migrationCandidate struct {
	engine *engine
	cost   float64
}

// MigrationTarget returns an engine with enough free memory for a running job that
// must migrate from the source. It prefers engines in the failure domain of the
// source, since a migration to another one takes twice as long, and engines that
// are not the target of another migration, since a link carries one after the
// other. If the forecast peak is too high on all engines, it returns one where
// the memory fits now, since the run would be lost otherwise. It never returns the source
// or one of the others that are excluded.
func (p *Placer) MigrationTarget(job Job, source registrar.Endpoint, now time.Time, exclude ...registrar.Identity) (registrar.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.moments(&job)
	p.updateSpeeds(now)
	var candidates []migrationCandidate
	for id, e := range p.engines {
		if id == source.Identity || slices.Contains(exclude, id) || !e.acceptsRuns(now) || now.Before(e.fullUntil) || !p.allows(&job, e) {
			continue
		}
		if cost, ok := e.migrationCost(p, &m, source.Domain, now); ok {
			candidates = append(candidates, migrationCandidate{engine: e, cost: cost})
		}
	}
	if len(candidates) == 0 {
		return registrar.Endpoint{}, false
	}
	best := p.chooseCandidate(candidates, source)
	best.lastMigrationAt = now
	p.releaseMigration(job.ID)
	p.reserveMigration(best, &job, m, now)
	u := newUpdate(&job, Migrating)
	u.Engine = best.endpoint.Identity
	p.publish(u)
	return best.endpoint, true
}

// reserveMigration reserves memory on an engine for a run that migrates to it. The
// mutex is held.
func (p *Placer) reserveMigration(e *engine, job *Job, m forecaster.Moments, now time.Time) {
	e.migratingIn[job.ID] = &run{job: *job, addedAt: now, moments: m}
	e.dirty = true
	p.migratingTo[job.ID] = e.endpoint.Identity
}

// releaseMigration releases the memory that is reserved for the migration of a
// run. The mutex is held.
func (p *Placer) releaseMigration(id string) {
	if e := p.engines[p.migratingTo[id]]; e != nil {
		delete(e.migratingIn, id)
		e.dirty = true
	}
	delete(p.migratingTo, id)
}

// MigrationFailed records that the migration of a job failed. If full is set, the
// reason was that the target had no memory for it.
func (p *Placer) MigrationFailed(id string, full bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[p.migratingTo[id]]; e != nil && full {
		e.fullUntil = now.Add(fullBackoff)
	}
	p.releaseMigration(id)
	p.publish(Update{JobID: id, Event: Migrating})
}

// migrationCost returns the cost of migrating a run with moments m to the engine,
// and false if the run does not fit now.
func (e *engine) migrationCost(p *Placer, m *forecaster.Moments, sourceDomain string, now time.Time) (float64, bool) {
	e.refresh(p, now)
	if e.sequences >= p.cfg.Slots || !e.fitsNow(p, m) {
		return 0, false
	}
	peak := e.peak(p, m)
	cost := peak + migrationJitter*jitter(0, e.nameHash)
	if e.endpoint.Domain != sourceDomain {
		cost += crossDomainMigrationCost
	}
	if peak > maxPeak {
		cost += overcommitCost
	}
	if e.limited {
		cost += limitedCost
	}
	cost += slowTargetCost * (1/e.knownSpeed() - 1)
	if now.Sub(e.lastMigrationAt) < linkBusyTime {
		cost += busyLinkCost
	}
	return cost, true
}

// chooseCandidate returns one of the best candidates. Several engines often shut
// down at the same moment, and the daemons choose targets for their runs before
// they receive each other's updates. The n-th engine that shuts down, by name,
// therefore gets the n-th best target. The mutex is held.
func (p *Placer) chooseCandidate(candidates []migrationCandidate, source registrar.Endpoint) *engine {
	slices.SortFunc(candidates, func(a, b migrationCandidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.engine.endpoint.Name, b.engine.endpoint.Name))
	})
	equivalent := 0
	for equivalent < len(candidates) && candidates[equivalent].cost <= candidates[0].cost+spreadMargin {
		equivalent++
	}
	preceding := 0
	for _, e := range p.engines {
		if !e.unusableSince.IsZero() && len(e.runs) > 0 && e.endpoint.Domain == source.Domain && e.endpoint.Name < source.Name {
			preceding++
		}
	}
	return candidates[preceding%equivalent].engine
}

// evacuatingShare returns the memory of the runs that must still migrate from
// engines that are shutting down, as a fraction of the memory of all other
// engines. New jobs leave it free. The mutex is held.
func (p *Placer) evacuatingShare(now time.Time) float64 {
	held, available := 0.0, 0
	for _, e := range p.engines {
		if e.unusableSince.IsZero() {
			if !e.evacuated { // The runs of the others go on there.
				available++
			}
			continue
		}
		if now.Sub(e.unusableSince) > evacuationTime {
			continue
		}
		for id, r := range e.runs {
			if _, migrating := p.migratingTo[id]; !migrating {
				held += float64(r.job.PromptTokens + r.job.OutputTokens)
			}
		}
	}
	return held / float64(max(available, 1)*max(p.cfg.MemoryTokens, 1))
}
