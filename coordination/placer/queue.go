package placer

import (
	"slices"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/estimator"
)

// Refusals, and the average prompt.
const (
	prospectWindow      = 3 * time.Second        // Late jobs placed within it tell how many more will be.
	lateRatePerEngine   = 0.05                   // Late jobs per second added to the recent rate, since none may have been queued when memory became free.
	minReturnShare      = 0.125                  // Refused clients return after a random share of the time that they have left, those with little time first.
	maxReturnShare      = 0.25                   // Leaves time to wait for an engine once more.
	minRetryAfter       = 500 * time.Millisecond // Interval at which an engine frees memory for a job when all are full.
	newPromptWeight     = 0.05                   // Weight of the newest prompt in the moving average.
	initialPromptTokens = 2500                   // Assumed before the first prompt; the order of size of customers' prompts.
)

// onTime reports whether a job whose prefill begins at start can have its first
// event when it is due.
func (p *Placer) onTime(job *Job, start time.Time) bool {
	return !start.Add(p.prefillTime(job)).After(job.FirstEventDue)
}

// prefillTime returns the prefill time of a job's prompt on an engine that runs
// other sequences.
func (p *Placer) prefillTime(job *Job) time.Duration {
	return p.prefillTimeOf(float64(job.PromptTokens))
}

// prefillTimeOf returns the prefill time of a number of prompt tokens on an engine
// that runs other sequences.
func (p *Placer) prefillTimeOf(tokens float64) time.Duration {
	return time.Duration(tokens / p.prefillRate() * float64(time.Millisecond))
}

// prefillRate returns the prompt tokens per millisecond that an engine processes
// while it runs other sequences.
func (p *Placer) prefillRate() float64 { return p.cfg.PrefillTokensPerMs / prefillSlowdown }

// missesDeadline reports whether a job could not be answered before its deadline
// even if it started now.
func (p *Placer) missesDeadline(job *Job, now time.Time) bool {
	steps := max(minOutputSteps, job.outputEstimate()/2)
	needed := p.prefillTime(job) + time.Duration(steps)*p.cfg.StepTime
	return now.Add(needed).After(job.Deadline) || p.clientLeaves(job, now)
}

// clientLeaves reports whether the client of a job leaves before its first event if
// the prefill begins at start.
func (p *Placer) clientLeaves(job *Job, start time.Time) bool {
	return !job.FirstEventLimit.IsZero() && start.Add(p.prefillTime(job)).After(job.FirstEventLimit)
}

// startsTooLate reports whether a job should not be placed where its prefill would
// begin at start: it could be on time elsewhere, or its client would leave.
func (p *Placer) startsTooLate(job *Job, start, now time.Time) bool {
	if p.onTime(job, now) {
		return !p.onTime(job, start)
	}
	return p.clientLeaves(job, start)
}

// hasProspect reports whether a job that stayed in the queue may be placed before
// its client leaves. Late jobs get the memory that the others leave, so the rate at
// which they were placed lately tells how many of them will be. The mutex is held.
func (p *Placer) hasProspect(q *queuedJob, now time.Time) bool {
	if !q.state.Late || q.state.EnginesFull == 0 || q.job.FirstEventLimit.IsZero() {
		return true
	}
	p.dropOldLatePlacements(now)
	perSecond := float64(len(p.latePlacements))/prospectWindow.Seconds() + lateRatePerEngine*float64(len(p.engines))
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

// outputEstimate returns the client's estimate of the output tokens, capped at
// MaxTokens since it may be far larger; zero if there is none.
func (j *Job) outputEstimate() int {
	if j.MaxTokens > 0 {
		return min(j.EstimatedTokens, j.MaxTokens)
	}
	return j.EstimatedTokens
}

// retryAfter returns the time after which the client of a refused job should return.
// The mutex is held.
func (p *Placer) retryAfter(job *Job, now time.Time) time.Duration {
	share := minReturnShare + (maxReturnShare-minReturnShare)*p.rand.Float64()
	return max(time.Duration(share*float64(job.Deadline.Sub(now))), minRetryAfter)
}

// moments returns the forecast of a job's memory. The mutex is held.
func (p *Placer) moments(job *Job) forecaster.Moments {
	return forecaster.MomentsOf(forecaster.Sequence{Prompt: job.PromptTokens, Produced: job.OutputTokens, Length: p.outputLength(job)}, p.cfg.BlockTokens)
}

// outputLength returns the distribution of a job's output length. The mutex is
// held.
func (p *Placer) outputLength(job *Job) estimator.Bounded {
	return estimator.Bounded{Dist: p.lengths.Distribution(job.Class), Limit: job.MaxTokens}
}

// defaultOutputLength returns the distribution of the output length of unknown
// jobs. The mutex is held.
func (p *Placer) defaultOutputLength() estimator.Bounded {
	return estimator.Bounded{Dist: p.lengths.Distribution(estimator.Class{Model: p.lastModel})}
}

// ClassOf returns the class of jobs with the given model and priority. It uses
// only properties that updates contain, so that all daemons derive the same class.
func ClassOf(model string, priority int) estimator.Class {
	return estimator.Class{Model: model, Kind: priorityKinds[min(max(priority, 0), len(priorityKinds)-1)]}
}

// priorityKinds are the kinds of the classes, by priority.
var priorityKinds = [...]string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}

// recordPrompt adds the prompt of a job to the moving average. The mutex is held.
func (p *Placer) recordPrompt(job Job) {
	if p.promptMean == 0 {
		p.promptMean = initialPromptTokens
	}
	p.promptMean += newPromptWeight * (float64(job.PromptTokens) - p.promptMean)
	p.lastModel = job.Class.Model
}

// meanPromptTokens returns the average number of prompt tokens. The mutex is held.
func (p *Placer) meanPromptTokens() int {
	if p.promptMean == 0 {
		return initialPromptTokens
	}
	return int(p.promptMean)
}
