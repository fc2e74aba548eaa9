package placer

import (
	"slices"
	"time"
)

// Parameters of refusals.
const (
	prospectWindow    = 3 * time.Second        // Late jobs placed within it tell how many more will be.
	lateRatePerEngine = 0.05                   // Late jobs per second added to the recent rate, since none may have been queued when memory became free.
	minReturnShare    = 0.125                  // Refused clients return after a random share of the time that they have left, those with little time first.
	maxReturnShare    = 0.25                   // Leaves time to wait for an engine once more.
	minRetryAfter     = 500 * time.Millisecond // Interval at which an engine frees memory for a job when all are full.
)

// missesDeadline reports whether a queued job could not be answered before its deadline
// even if it started now on the fastest engine that may get it.
func (p *Placer) missesDeadline(q *queuedJob, now time.Time) bool {
	job := &q.job
	slowdown := p.leastSlowdown(q, now)
	start := now.Add(p.extraPrefill(job, slowdown))
	decode := time.Duration(float64(p.decodeTime(job)) * slowdown)
	return start.Add(p.prefillTime(job)+decode).After(job.Deadline) || p.clientLeaves(job, start)
}

// leastSlowdown returns the factor by which the fastest engine that may get a job takes longer than
// the configured speed says; 1 if it is not slower, or if no engine is open.
func (p *Placer) leastSlowdown(q *queuedJob, now time.Time) float64 {
	fastest := 0.0
	for id, e := range p.engines {
		if !q.excluded[id] && e.acceptsJobs(now) && p.allows(&q.job, e) {
			fastest = max(fastest, e.knownSpeed())
		}
	}
	if fastest <= 0 || fastest >= 1 {
		return 1
	}
	return 1 / fastest
}

// extraPrefill returns the time by which a slowdown extends the prefill of a job.
func (p *Placer) extraPrefill(job *Job, slowdown float64) time.Duration {
	return time.Duration(float64(p.prefillTime(job)) * (slowdown - 1))
}

// canBeOnTime reports whether the first event of a job could be on time if its prefill began now on
// the fastest engine that may get it.
func (p *Placer) canBeOnTime(q *queuedJob, now time.Time) bool {
	return p.onTime(&q.job, now.Add(p.extraPrefill(&q.job, p.leastSlowdown(q, now))))
}

// decodeTime returns the shortest time in which the rest of a job's answer is worth
// producing, at the configured speed.
func (p *Placer) decodeTime(job *Job) time.Duration {
	return time.Duration(max(minOutputSteps, job.outputEstimate()/2)) * p.cfg.StepTime
}

// clientLeaves reports whether the client of a job leaves before its first event if
// the prefill begins at start.
func (p *Placer) clientLeaves(job *Job, start time.Time) bool {
	return !job.FirstEventLimit.IsZero() && start.Add(p.prefillTime(job)).After(job.FirstEventLimit)
}

// startsTooLate reports whether a job should not be placed on an engine where its prefill
// would begin at start: it could be on time elsewhere, its client would leave, or the
// engine is too slow for its deadline.
func (p *Placer) startsTooLate(q *queuedJob, e *engine, start time.Time) bool {
	job := &q.job
	if e.knownSpeed() != 1 {
		usual := p.prefillTime(job)
		start = start.Add(e.slowed(usual) - usual)
	}
	if !q.state.Late {
		return !p.onTime(job, start) || e.missesDeadline(p, job, start)
	}
	return p.clientLeaves(job, start) || e.missesDeadline(p, job, start)
}

// missesDeadline reports whether an engine of less than the configured speed could not
// answer a job before its deadline if the prefill began at start.
func (e *engine) missesDeadline(p *Placer, job *Job, start time.Time) bool {
	if e.knownSpeed() >= 1 || job.Deadline.IsZero() { // Updates about the jobs of peers don't name their deadline.
		return false
	}
	decode := e.slowed(p.decodeTime(job))
	return start.Add(p.prefillTime(job) + decode).After(job.Deadline)
}

// hasProspect reports whether a job that stayed in the queue may be placed before
// its client leaves. Late jobs get the memory that the others leave, so the rate at
// which they were placed lately tells how many of them will be. The mutex is held.
func (p *Placer) hasProspect(q *queuedJob, now time.Time) bool {
	if !q.state.Late || q.state.EnginesFull == 0 || q.job.FirstEventLimit.IsZero() {
		return true
	}
	p.dropOldLatePlacements(now)
	perSecond := float64(len(p.latePlacements))/prospectWindow.Seconds() + lateRatePerEngine*float64(p.openEngines())
	left := q.job.FirstEventLimit.Sub(now).Seconds()
	return float64(q.state.LateAhead+1) <= perSecond*left
}

// recordLatePlacement records that a daemon has placed a late job. The mutex is held.
func (p *Placer) recordLatePlacement(now time.Time) {
	p.dropOldLatePlacements(now)
	p.latePlacements = append(p.latePlacements, now)
}

// dropOldLatePlacements removes the placements before prospectWindow. The mutex is
// held.
func (p *Placer) dropOldLatePlacements(now time.Time) {
	p.latePlacements = slices.DeleteFunc(p.latePlacements, func(at time.Time) bool { return now.Sub(at) > prospectWindow })
}

// refuse returns the outcome of a queued job that is refused, and publishes it. The
// mutex is held.
func (p *Placer) refuse(q *queuedJob, now time.Time) Outcome {
	p.publish(Update{JobID: q.job.ID, Event: Ended})
	return Outcome{Job: q.job, Refused: true, RetryAfter: p.retryAfter(&q.job, now), Waited: now.Sub(q.enqueuedAt), Queue: q.state}
}

// retryAfter returns the time after which the client of a refused job should return.
// The mutex is held.
func (p *Placer) retryAfter(job *Job, now time.Time) time.Duration {
	share := minReturnShare + (maxReturnShare-minReturnShare)*p.rand.Float64()
	return max(time.Duration(share*float64(job.Deadline.Sub(now))), minRetryAfter, p.firstOpening(job.AllowedRegions, now).Sub(now))
}
