package placer

import (
	"cmp"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/estimator"
)

// Return times and averages.
const (
	comeBackBase  = 500 * time.Millisecond // An engine frees room this often when all are full.
	comeBackLimit = 4 * time.Second
	promptRate    = 0.05 // Weight of the newest prompt in the average.
	firstPrompt   = 2500 // Tokens assumed before any prompt was seen; of the order of the sheets' prompts.
)

// onTime reports whether the first event of a job that starts at the time can
// be there when it should.
func (p *Placer) onTime(job *Job, at time.Time) bool {
	return !at.Add(p.readTime(job)).After(job.FirstBy)
}

// readTime returns the time to read the prompt beside other sequences.
func (p *Placer) readTime(job *Job) time.Duration { return p.reading(float64(job.Prompt)) }

// reading returns the time in which an engine reads prompt tokens beside other
// sequences.
func (p *Placer) reading(tokens float64) time.Duration {
	return time.Duration(tokens / p.readRate() * float64(time.Millisecond))
}

// readRate returns the prompt tokens that an engine reads in a millisecond beside
// other sequences.
func (p *Placer) readRate() float64 { return p.cfg.PrefillPerMs / prefillShare }

// hopeless reports whether a job could not be answered before its deadline if
// it started now.
func (p *Placer) hopeless(job *Job, now time.Time) bool {
	steps := max(minimalSteps, job.estimate()/2)
	need := p.readTime(job) + time.Duration(steps)*p.cfg.StepTime
	return now.Add(need).After(job.Deadline)
}

// estimate returns the client's estimate of the output, which may lie far beyond
// the bound on it; zero without one.
func (j *Job) estimate() int {
	if j.MaxTokens > 0 {
		return min(j.Hint, j.MaxTokens)
	}
	return j.Hint
}

// compare orders jobs: those that can still be on time first, then by rank,
// then by the time at which the first event is due.
func (p *Placer) compare(a, b *Job, now time.Time) int {
	late := func(j *Job) int {
		if p.onTime(j, now) {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(late(a), late(b)),
		cmp.Compare(a.Rank, b.Rank),
		a.FirstBy.Compare(b.FirstBy),
		cmp.Compare(a.ID, b.ID),
	)
}

// comeBack returns the time after which a refused client should find room. The
// mutex is held.
func (p *Placer) comeBack() time.Duration {
	engines := max(len(p.engines), 1)
	return min(comeBackBase+comeBackBase*time.Duration(len(p.queue))/time.Duration(engines), comeBackLimit)
}

// moments returns the forecast of a job. The mutex is held.
func (p *Placer) moments(job *Job) forecaster.Moments {
	return forecaster.MomentsOf(forecaster.Sequence{Prompt: job.Prompt, Produced: job.Produced, Length: p.length(job)}, p.cfg.Block)
}

// length returns the distribution of a job's output. The mutex is held.
func (p *Placer) length(job *Job) estimator.Bounded {
	return estimator.Bounded{Dist: p.lengths.Distribution(job.Class), Limit: job.MaxTokens}
}

// anyLength returns the distribution of the outputs of jobs of which nothing is
// known. The mutex is held.
func (p *Placer) anyLength() estimator.Bounded {
	return estimator.Bounded{Dist: p.lengths.Distribution(estimator.Class{Model: p.model})}
}

// ClassOf returns the class of the jobs of a model that are sent with a
// priority. Daemons know no more of each other's jobs.
func ClassOf(model string, priority int) estimator.Class {
	return estimator.Class{Model: model, Kind: kindNames[min(max(priority, 0), len(kindNames)-1)]}
}

// kindNames name the priorities.
var kindNames = [...]string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}

// learnPrompt takes the prompt of a job into the average. The mutex is held.
func (p *Placer) learnPrompt(job Job) {
	if p.prompts == 0 {
		p.prompts = firstPrompt
	}
	p.prompts += promptRate * (float64(job.Prompt) - p.prompts)
	p.model = job.Class.Model
}

// meanPrompt returns the average prompt. The mutex is held.
func (p *Placer) meanPrompt() int {
	if p.prompts == 0 {
		return firstPrompt
	}
	return int(p.prompts)
}
