package placer

import (
	"cmp"
	"slices"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/registrar"
)

// destination is an engine that a run could move to, and what that costs in
// parts of an engine's memory.
type destination struct {
	engine *engine
	cost   float64
}

// Destination returns an engine with room for a running job that must leave the
// source. One in the failure domain of the source is preferred, since a move to
// another one takes twice as long, and one that is not the destination of
// another move, since a link carries one after the other. If no forecast leaves
// room, one where the memory fits now will do, since the run is lost otherwise.
func (p *Placer) Destination(job Job, source registrar.Endpoint, now time.Time) (registrar.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.moments(&job)
	var candidates []destination
	for id, e := range p.engines {
		if id == source.Identity || !e.open(now) || now.Before(e.fullUntil) {
			continue
		}
		if cost, ok := e.moveCost(p, &m, source.Domain, now); ok {
			candidates = append(candidates, destination{engine: e, cost: cost})
		}
	}
	if len(candidates) == 0 {
		return registrar.Endpoint{}, false
	}
	best := p.spread(candidates, source)
	best.arrival = now
	p.unexpect(job.ID)
	p.expect(best, &job, m, now)
	n := newsOf(&job, Arriving)
	n.Engine = best.endpoint.Identity
	p.tell(n)
	return best.endpoint, true
}

// expect keeps room for a run whose memory is copied to an engine. The mutex is
// held.
func (p *Placer) expect(e *engine, job *Job, m forecaster.Moments, now time.Time) {
	e.arrivals[job.ID] = &running{job: *job, since: now, moments: m}
	e.dirty = true
	p.arriving[job.ID] = e.endpoint.Identity
}

// unexpect frees the room that is kept for a run. The mutex is held.
func (p *Placer) unexpect(id string) {
	if e := p.engines[p.arriving[id]]; e != nil {
		delete(e.arrivals, id)
		e.dirty = true
	}
	delete(p.arriving, id)
}

// MoveFailed notes that a job's memory does not come to its destination,
// because that one had no room if full is set.
func (p *Placer) MoveFailed(id string, full bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[p.arriving[id]]; e != nil && full {
		e.fullUntil = now.Add(fullTime)
	}
	p.unexpect(id)
	p.tell(News{JobID: id, Event: Arriving})
}

// moveCost returns what it costs to move a run with moments m here, and false
// if there is no room.
func (e *engine) moveCost(p *Placer, m *forecaster.Moments, from string, now time.Time) (float64, bool) {
	e.refresh(p, now)
	if e.sequences >= p.cfg.Slots || !e.fitsNow(p, m) {
		return 0, false
	}
	peak := e.peak(p, m)
	cost := peak + moveJitter*jitter(0, e.hash)
	if e.endpoint.Domain != from {
		cost += farMove
	}
	if peak > fullPeak {
		cost += overfull
	}
	if now.Sub(e.arrival) < linkBusy {
		cost += busyLink
	}
	return cost, true
}

// spread returns one of the best candidates. Several engines often leave at the
// same moment, and other daemons choose for their runs before they hear of each
// other's choice. The n-th engine that leaves therefore takes the n-th best
// destination. The mutex is held.
func (p *Placer) spread(candidates []destination, source registrar.Endpoint) *engine {
	slices.SortFunc(candidates, func(a, b destination) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.engine.endpoint.Name, b.engine.endpoint.Name))
	})
	alike := 0
	for alike < len(candidates) && candidates[alike].cost <= candidates[0].cost+spreadCost {
		alike++
	}
	before := 0
	for _, e := range p.engines {
		if !e.leaving.IsZero() && len(e.runs) > 0 && e.endpoint.Domain == source.Domain && e.endpoint.Name < source.Name {
			before++
		}
	}
	return candidates[before%alike].engine
}

// homeless returns the memory of runs that must still leave their engines, as a
// part of the memory of all engines that stay. New jobs leave it free. The mutex
// is held.
func (p *Placer) homeless(now time.Time) float64 {
	held, stay := 0.0, 0
	for _, e := range p.engines {
		if e.leaving.IsZero() {
			stay++
			continue
		}
		if now.Sub(e.leaving) > leaveTime {
			continue
		}
		for id, r := range e.runs {
			if _, moving := p.arriving[id]; !moving {
				held += float64(r.job.Prompt + r.job.Produced)
			}
		}
	}
	return held / float64(max(stay, 1)*max(p.cfg.MemoryTokens, 1))
}
