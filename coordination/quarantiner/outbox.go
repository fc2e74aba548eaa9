package quarantiner

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"monsoonspar.example/state/registrar"
)

// outbox holds the facts that wait to be sent to the peers.
type outbox struct {
	crashes  []Crash
	progress []Progress
	trials   []Trial
	// Facts with which this daemon can refute the evidence of others, and when it does
	// unless another one does so first.
	answers     map[Part]answer
	retractions map[registrar.Identity]time.Time
}

// answer is progress that refutes a suspicion.
type answer struct {
	at  time.Time // Of the progress.
	due time.Time
}

func newOutbox() outbox {
	return outbox{answers: map[Part]answer{}, retractions: map[registrar.Identity]time.Time{}}
}

func (o *outbox) addCrash(c Crash, pending *atomic.Bool) {
	o.crashes = appendBounded(o.crashes, c)
	pending.Store(true)
}

func (o *outbox) addProgress(p Progress, pending *atomic.Bool) {
	o.progress = appendBounded(o.progress, p)
	pending.Store(true)
}

func (o *outbox) addTrial(t Trial, pending *atomic.Bool) {
	o.trials = appendBounded(o.trials, t)
	pending.Store(true)
}

// appendBounded appends to a list and removes the oldest entry if there are too many; the
// digests then differ, and the peers ask for all.
func appendBounded[T any](list []T, v T) []T {
	if len(list) >= maxPending {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

// answerSlope makes most of many daemons answer late, after the first few have been heard.
const answerSlope = 8

// answerTime returns when this daemon answers what the key identifies. The daemons' times
// are distributed exponentially towards AnswerDelay.
func (q *Quarantine) answerTime(key uint64, now time.Time) time.Time {
	u := (float64(q.spread(key, time.Hour)) + 1) / float64(time.Hour)
	return now.Add(time.Duration(max(1+math.Log(u)/answerSlope, 0) * float64(q.cfg.AnswerDelay)))
}

// prepareAnswers prepares to refute a crash that another daemon reported. The mutex is held.
func (q *Quarantine) prepareAnswers(c Crash, now time.Time) {
	if _, ok := q.retracted[c.Engine]; ok && !c.Retracted {
		if _, ok := q.outbox.retractions[c.Engine]; !ok {
			q.outbox.retractions[c.Engine] = q.answerTime(engineHash(c.Engine), now)
			q.pending.Store(true)
		}
		return
	}
	for _, s := range c.Suspects {
		at, ok := q.progress.last(s.Part)
		if !ok || at.Add(q.cfg.ProgressRetention).Before(c.At) || q.sound(s.Part, c.At) {
			continue
		}
		due := q.answerTime(uint64(s.Part), now)
		if old, ok := q.outbox.answers[s.Part]; ok && old.due.Before(due) {
			due = old.due
		}
		q.outbox.answers[s.Part] = answer{at: at, due: due}
		q.pending.Store(true)
	}
}

// releaseAnswers adds the answers that are due to the evidence. The mutex is held.
func (q *Quarantine) releaseAnswers(now time.Time) {
	for p, a := range q.outbox.answers {
		if now.Before(a.due) {
			continue
		}
		delete(q.outbox.answers, p)
		q.addProgress(Progress{Part: p, At: a.at.Round(0)}, true, now)
	}
	for id, due := range q.outbox.retractions {
		if now.Before(due) {
			continue
		}
		delete(q.outbox.retractions, id)
		if c := q.crashes[id]; c != nil && c.crashed() {
			q.retractCrash(id, now)
		}
	}
}

// TakeUpdates returns facts that the peers should be told, as many as fit in one message.
// It returns false if there are none. It should be called a few times per AnswerDelay, and
// until it returns false.
func (q *Quarantine) TakeUpdates(now time.Time) (Evidence, bool) {
	if !q.pending.Load() {
		return Evidence{}, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseAnswers(now)
	o := &q.outbox
	var e Evidence
	n, suspects := 0, 0
	for n < len(o.crashes) && suspects < maxUpdateSuspects {
		suspects += len(o.crashes[n].Suspects) + 1
		n++
	}
	e.Crashes, o.crashes = split(o.crashes, n)
	e.Progress, o.progress = split(o.progress, maxUpdateProgress)
	e.Trials, o.trials = split(o.trials, maxTrials)
	if len(o.crashes)+len(o.progress)+len(o.trials)+len(o.answers)+len(o.retractions) == 0 {
		q.pending.Store(false)
	}
	slices.SortFunc(e.Progress, func(a, b Progress) int { return cmp.Compare(a.Part, b.Part) })
	return e, !e.Empty()
}

// split returns the first n elements of a list and the others.
func split[T any](list []T, n int) (first, rest []T) {
	if n >= len(list) {
		return list, nil
	}
	return list[:n:n], slices.Clone(list[n:])
}
