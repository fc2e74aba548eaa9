package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/registrar"
)

// Daemons tell each other which jobs wait, and order all of them alike. Each
// daemon decides in that order where the jobs of all would go, and carries out
// the decisions on its own ones. So the room that comes free goes to the job
// that is first everywhere, and two daemons seldom give the same room away.
const (
	tellAgain  = time.Second             // A job that waits is told again after this time, for peers that missed it.
	othersKept = 2500 * time.Millisecond // A peer's job counts no longer than this after it was told: its daemon may be gone.
)

// Submit places a job, or puts it into the queue. It reports false if the job
// waits; its outcome then comes from Next.
func (p *Placer) Submit(job Job, exclude map[registrar.Identity]bool, now time.Time) (Placement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnPrompt(job)
	w := &waiting{job: job, since: now, exclude: exclude, domain: p.cfg.Domain}
	p.queue = append(p.queue, w)
	placed := p.decide(now, func(other *waiting) bool { return other == w })
	if pl, ok := placed[w]; ok {
		p.queue = p.queue[:len(p.queue)-1]
		return pl, true
	}
	p.tellQueued(w, now)
	return Placement{}, false
}

// Next returns the outcomes of waiting jobs that can be decided now. It is
// called again and again.
func (p *Placer) Next(now time.Time) []Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return nil
	}
	var outcomes []Outcome
	p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool {
		hopeless := p.hopeless(&w.job, now)
		if hopeless {
			outcomes = append(outcomes, Outcome{Job: w.job, Refused: true, ComeBack: p.comeBack(), Waited: now.Sub(w.since)})
			p.tell(News{JobID: w.job.ID, Event: Ended})
		}
		return hopeless
	})
	placed := p.decide(now, func(w *waiting) bool { return !w.remote })
	p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool {
		pl, ok := placed[w]
		if ok {
			outcomes = append(outcomes, Outcome{Job: w.job, Placement: pl, Waited: now.Sub(w.since)})
		} else if now.Sub(w.told) >= tellAgain {
			p.tellQueued(w, now)
		}
		return ok
	})
	return outcomes
}

// tellQueued adds the news that a job waits. The mutex is held.
func (p *Placer) tellQueued(w *waiting, now time.Time) {
	w.told = now
	n := newsOf(&w.job, Queued)
	n.Domain, n.FirstIn = p.cfg.Domain, w.job.FirstBy.Sub(now)
	p.tell(n)
}

// decide goes through all that wait, the first first, and places those of them
// that it may. The others that would fit keep their room meanwhile. The mutex
// is held.
func (p *Placer) decide(now time.Time, may func(*waiting) bool) map[*waiting]Placement {
	open := 0
	for _, w := range p.queue {
		if may(w) {
			open++
		}
	}
	placed := map[*waiting]Placement{}
	bound := fullPeak - p.homeless(now)
	var touched []*engine
	for _, w := range p.order(now) {
		if open == 0 {
			break
		}
		mine := may(w)
		if mine {
			open--
		}
		m := p.moments(&w.job)
		e, peak := p.cheapest(w, &m, bound, now)
		switch {
		case e == nil:
		case mine:
			placed[w] = p.place(&w.job, e, peak, now)
		default:
			e.holds = append(e.holds, &running{job: w.job, since: now, moments: m})
			e.dirty = true
			touched = append(touched, e)
		}
	}
	for _, e := range touched {
		e.holds, e.dirty = nil, true
	}
	return placed
}

// order returns all that wait, here and at peers, the first first. The mutex is
// held.
func (p *Placer) order(now time.Time) []*waiting {
	all := slices.Clone(p.queue)
	for id, w := range p.others {
		if now.Sub(w.told) > othersKept {
			delete(p.others, id)
			continue
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waiting) int { return p.compare(&a.job, &b.job, now) })
	return all
}

// place puts a job on an engine. The mutex is held.
func (p *Placer) place(job *Job, e *engine, peak float64, now time.Time) Placement {
	age := time.Duration(-1)
	if !e.reported.IsZero() {
		age = now.Sub(e.reported)
	}
	backup := p.backup(job, e, now)
	p.tellPlaced(p.join(e, job, backup.Identity, now), e)
	return Placement{Engine: e.endpoint, Backup: backup, Peak: peak, Age: age}
}

// cheapest returns the engine where the job with moments m costs least, of those
// whose forecast peak with it is below the bound. A job that can be on time
// waits rather than go where it would be late: room comes free elsewhere several
// times a second. The mutex is held.
func (p *Placer) cheapest(w *waiting, m *forecaster.Moments, bound float64, now time.Time) (*engine, float64) {
	var best *engine
	var bestCost, bestPeak float64
	hash := xxhash.Sum64String(w.job.ID)
	canBeOnTime := p.onTime(&w.job, now)
	for id, e := range p.engines {
		if w.exclude[id] || !e.open(now) {
			continue
		}
		e.refresh(p, now)
		peak := e.peak(p, m)
		if e.sequences >= p.cfg.Slots || (peak > bound && e.sequences > 0) {
			continue
		}
		if canBeOnTime && !p.onTime(&w.job, now.Add(e.readWait(p, now))) {
			continue
		}
		cost := e.cost(p, w, peak, now) + jitterCostMs*jitter(hash, e.hash)
		if best == nil || cost < bestCost {
			best, bestCost, bestPeak = e, cost, peak
		}
	}
	return best, bestPeak
}

// jitter returns a number from 0 to 1 that is the same at all daemons for one
// job and engine.
func jitter(job, engine uint64) float64 {
	const golden = 0x9e3779b97f4a7c15 // Spreads neighbouring numbers over all bits.
	return float64((job^engine)*golden>>11) / (1 << 53)
}
