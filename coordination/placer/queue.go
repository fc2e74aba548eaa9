package placer

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/estimator"
)

// Parameters of the average prompt.
const (
	newPromptWeight     = 0.05 // Weight of the newest prompt in the moving average.
	initialPromptTokens = 2500 // Assumed before the first prompt; the order of size of customers' prompts.
)

// onTime reports whether a job whose prefill begins at start can have its first
// event when it is due.
func (p *Placer) onTime(job *Job, start time.Time) bool {
	return !start.Add(p.prefillTime(job)).After(job.FirstEventDue)
}

// prefillTime returns the prefill time of a job on an engine that runs other
// sequences.
func (p *Placer) prefillTime(job *Job) time.Duration {
	return p.prefillTimeOf(job.tokensToRead())
}

// prefillTimeOf returns the prefill time of a number of prompt tokens on an engine
// that runs other sequences.
func (p *Placer) prefillTimeOf(tokens float64) time.Duration {
	return time.Duration(tokens / p.prefillRate() * float64(time.Millisecond))
}

// prefillRate returns the prompt tokens per millisecond that an engine processes
// while it runs other sequences.
func (p *Placer) prefillRate() float64 { return p.cfg.PrefillTokensPerMs / prefillSlowdown }

// outputEstimate returns the client's estimate of the output tokens, capped at
// MaxTokens since it may be far larger; zero if there is none.
func (j *Job) outputEstimate() int {
	if j.MaxTokens > 0 {
		return min(j.EstimatedTokens, j.MaxTokens)
	}
	return j.EstimatedTokens
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
