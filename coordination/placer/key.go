package placer

import (
	"cmp"
	"time"
)

// queueKey determines the position of a job in the queue.
type queueKey struct {
	late     bool
	long     bool
	priority int
	neededBy time.Time // When an engine must begin to free memory for the first event to be on time.
	id       string
}

// compare orders the jobs that can still be on time before the others, then the
// short ones before the long ones, then by priority and by neededBy.
func (k *queueKey) compare(other *queueKey) int {
	return cmp.Or(
		compareBools(k.late, other.late),
		compareBools(k.long, other.long),
		cmp.Compare(k.priority, other.priority),
		k.neededBy.Compare(other.neededBy),
		cmp.Compare(k.id, other.id),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// keyOf returns the key of a queued job. Short jobs precede long ones only if
// shortFirst is set.
func (p *Placer) keyOf(q *queuedJob, shortFirst bool, now time.Time) queueKey {
	job := &q.job
	return queueKey{
		late: !p.onTime(job, now), long: shortFirst && !q.short, priority: job.Priority,
		neededBy: job.FirstEventDue.Add(-p.prefillTime(job) - p.memoryTime(job)), id: job.ID,
	}
}

// memoryTime returns the time in which a full engine frees the memory for a job's
// prompt.
func (p *Placer) memoryTime(job *Job) time.Duration {
	if p.cfg.MemoryTokens <= 0 {
		return 0
	}
	return memoryTurnover * time.Duration(job.PromptTokens) / time.Duration(p.cfg.MemoryTokens)
}

// Short jobs hold memory for little longer than their prefill. They precede long
// jobs of any priority: a long job that starts ahead of them keeps them waiting for
// seconds, while one that waits for them waits for a fraction of a second. Without
// that, the large ones among them would wait in vain, since long jobs take the
// memory that engines free before it is enough.
const (
	memoryTurnover = 3 * time.Second        // In which a full engine frees all its memory; larger jobs wait longer for enough.
	maxShortDecode = 500 * time.Millisecond // Longest expected decode time of a short job.
	maxShortShare  = 0.25                   // Short jobs precede long ones while they hold at most this fraction of the engines' memory.
)

// isShort reports whether a job is expected to end soon after its prefill. The mutex
// is held.
func (p *Placer) isShort(job *Job) bool { return p.expectedRemaining(job, 0) <= maxShortDecode }

// shortFirst reports whether short jobs hold so little memory that they may precede
// long ones. Engines of evacuated failure domains don't count. The mutex is held.
func (p *Placer) shortFirst() bool {
	held, total := 0, 0.0
	for _, e := range p.engines {
		if e.evacuated {
			continue
		}
		if e.unusableSince.IsZero() {
			total += e.memoryTotal(p)
		}
		for _, r := range e.runs {
			if r.short {
				held += r.job.PromptTokens
			}
		}
	}
	return float64(held) <= maxShortShare*total
}
