package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/registrar"
)

// Daemons send each other updates about their queued jobs and sort the jobs of
// all daemons in the same order. Each daemon decides the placement of all of them
// in that order and applies the decisions to its own jobs. So memory that becomes
// free is given to the job that is first among those of all daemons, and two
// daemons rarely give the same memory to different jobs.
const (
	republishInterval  = time.Second             // Interval for repeating the updates about queued jobs, for peers that missed one.
	remoteQueueTimeout = 2500 * time.Millisecond // A peer's queued job is dropped this long after its last update, since its daemon may have failed.
)

// Submit places a job or queues it. It reports false if the job is queued; Next
// then returns its outcome.
func (p *Placer) Submit(job Job, excluded map[registrar.Identity]bool, now time.Time) (Placement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordPrompt(job)
	q := &queuedJob{job: job, enqueuedAt: now, excluded: excluded, domain: p.cfg.Domain, short: p.isShort(&job)}
	p.queue = append(p.queue, q)
	placed := p.placeQueued(now, func(other *queuedJob) bool { return other == q })
	if pl, ok := placed[q]; ok {
		p.queue = p.queue[:len(p.queue)-1]
		return pl, true
	}
	p.publishQueued(q, now)
	return Placement{}, false
}

// Next returns the outcomes of queued jobs that can be decided now. It has to be
// called periodically.
func (p *Placer) Next(now time.Time) []Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return nil
	}
	var outcomes []Outcome
	opening := p.firstOpening(nil, now)
	p.queue = slices.DeleteFunc(p.queue, func(q *queuedJob) bool {
		at := opening
		if q.job.AllowedRegions != nil {
			at = p.firstOpening(q.job.AllowedRegions, now)
		}
		missed := p.missesDeadline(q, at)
		if missed {
			outcomes = append(outcomes, p.refuse(q, now))
		}
		return missed
	})
	placed := p.placeQueued(now, func(q *queuedJob) bool { return !q.remote })
	p.queue = slices.DeleteFunc(p.queue, func(q *queuedJob) bool {
		pl, ok := placed[q]
		switch {
		case ok:
			outcomes = append(outcomes, Outcome{Job: q.job, Placement: pl, Waited: now.Sub(q.enqueuedAt)})
		case !p.hasProspect(q, now):
			outcomes = append(outcomes, p.refuse(q, now))
			return true
		case now.Sub(q.publishedAt) >= republishInterval:
			p.publishQueued(q, now)
		}
		return ok
	})
	return outcomes
}

// publishQueued queues the update that a job is queued. The mutex is held.
func (p *Placer) publishQueued(q *queuedJob, now time.Time) {
	q.publishedAt = now
	u := newUpdate(&q.job, Queued)
	u.AllowedRegions = q.job.AllowedRegions
	u.Domain, u.FirstEventIn = p.cfg.Domain, q.job.FirstEventDue.Sub(now)
	if !q.job.FirstEventLimit.IsZero() {
		u.ClientLeavesIn = q.job.FirstEventLimit.Sub(now)
	}
	p.publish(u)
}

// placeQueued places those queued jobs that are candidates, in the order of
// sortedQueue. Memory for the other jobs that would fit is reserved meanwhile, so
// that the candidates behind them don't get it. The mutex is held.
func (p *Placer) placeQueued(now time.Time, isCandidate func(*queuedJob) bool) map[*queuedJob]Placement {
	candidatesLeft, lateAhead := 0, 0
	for _, q := range p.queue {
		if isCandidate(q) {
			candidatesLeft++
		}
	}
	placed := map[*queuedJob]Placement{}
	bound := maxPeak - p.evacuatingShare(now)
	var reserved []*engine
	for i, q := range p.sortedQueue(now) {
		if candidatesLeft == 0 {
			break
		}
		candidate := isCandidate(q)
		if candidate {
			candidatesLeft--
		}
		m := p.moments(&q.job)
		q.state = QueueState{JobsAhead: i, LateAhead: lateAhead}
		e, peak := p.cheapest(q, &m, bound, now)
		if q.state.Late {
			lateAhead++
		}
		switch {
		case e == nil:
		case candidate:
			placed[q] = p.place(&q.job, e, peak, now)
			if q.state.Late {
				p.recordLatePlacement(now)
			}
		default:
			e.reservations = append(e.reservations, &run{job: q.job, addedAt: now, moments: m})
			e.dirty = true
			reserved = append(reserved, e)
		}
	}
	for _, e := range reserved {
		e.reservations, e.dirty = nil, true
	}
	return placed
}

// sortedQueue returns the queued jobs of this daemon and its peers in the order of
// their keys, which it updates. The mutex is held.
func (p *Placer) sortedQueue(now time.Time) []*queuedJob {
	all := slices.Clone(p.queue)
	for id, q := range p.remoteQueue {
		if now.Sub(q.publishedAt) > remoteQueueTimeout {
			delete(p.remoteQueue, id)
			continue
		}
		all = append(all, q)
	}
	shortFirst := p.shortFirst()
	for _, q := range all {
		q.key = p.keyOf(q, shortFirst, now)
	}
	slices.SortFunc(all, func(a, b *queuedJob) int { return a.key.compare(&b.key) })
	return all
}

// place places a job on an engine. The mutex is held.
func (p *Placer) place(job *Job, e *engine, peak float64, now time.Time) Placement {
	age := time.Duration(-1)
	if !e.reportedAt.IsZero() {
		age = now.Sub(e.reportedAt)
	}
	backup := p.chooseBackup(job, e, now)
	p.publishPlaced(p.addRun(e, job, backup.Identity, now), e)
	return Placement{Engine: e.endpoint, Backup: backup, ForecastPeak: peak, ReportAge: age}
}

// cheapest returns the engine with the lowest cost for the job with moments m,
// among those that have no sequences or whose forecast peak with the job is within
// the bound. A job that can be on time stays queued rather than be placed where it
// would be late, since memory on other engines becomes free several times per
// second. It records in q.state why other engines did not get the job. The mutex is
// held.
func (p *Placer) cheapest(q *queuedJob, m *forecaster.Moments, bound float64, now time.Time) (*engine, float64) {
	var best *engine
	var bestCost, bestPeak float64
	hash := xxhash.Sum64String(q.job.ID)
	p.updateSpeeds(now)
	q.state.Late = !p.canBeOnTime(q, now)
	for id, e := range p.engines {
		if q.excluded[id] || !e.acceptsJobs(now) || !p.allows(&q.job, e) {
			continue
		}
		e.refresh(p, now)
		peak := e.peak(p, m)
		if e.sequences >= p.cfg.Slots || (peak > bound && e.sequences > 0) {
			q.state.EnginesFull++
			continue
		}
		if p.startsTooLate(q, e, now.Add(e.prefillWait(p, now))) {
			q.state.EnginesBusy++
			continue
		}
		cost := e.cost(p, q, peak, now) + jitterCostMs*jitter(hash, e.nameHash)
		if best == nil || cost < bestCost {
			best, bestCost, bestPeak = e, cost, peak
		}
	}
	return best, bestPeak
}

// jitter returns a number from 0 to 1 that depends only on the job and the engine,
// so that all daemons compute the same.
func jitter(job, engine uint64) float64 {
	const golden = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio; spreads close values over all bits.
	return float64((job^engine)*golden>>11) / (1 << 53)
}
