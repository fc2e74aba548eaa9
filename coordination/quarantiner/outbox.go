package quarantiner

import (
	"math"
	"slices"
	"time"

	"monsoonspar.example/state/registrar"
)

// outbox holds what waits to be sent to the peers.
type outbox struct {
	own     facts
	relayed facts
	// Facts with which this daemon can refute the evidence of others, and when it does
	// unless another one does so first.
	answers     map[Subject]answer
	retractions map[registrar.Identity]time.Time
}

// facts are a queue of evidence.
type facts struct {
	crashes  []Crash
	progress []Progress
	trials   []Trial
}

// answer is progress that refutes a suspicion.
type answer struct {
	at  time.Time // Of the progress.
	due time.Time
}

func newOutbox() outbox {
	return outbox{answers: map[Subject]answer{}, retractions: map[registrar.Identity]time.Time{}}
}

// addCrash adds a crash to the queue, which may be nil.
func (f *facts) addCrash(c Crash) {
	if f != nil {
		f.crashes = appendBounded(f.crashes, c)
	}
}

// addProgress adds progress to the queue, which may be nil.
func (f *facts) addProgress(p Progress) {
	if f != nil {
		f.progress = appendBounded(f.progress, p)
	}
}

// addTrial adds a trial to the queue, which may be nil.
func (f *facts) addTrial(t Trial) {
	if f != nil {
		f.trials = appendBounded(f.trials, t)
	}
}

// take removes as many facts from the queue as fit in one message.
func (f *facts) take() Evidence {
	var e Evidence
	n, suspects := 0, 0
	for n < len(f.crashes) && suspects < maxUpdateSuspects {
		suspects += len(f.crashes[n].Suspects) + 1
		n++
	}
	e.Crashes, f.crashes = split(f.crashes, n)
	e.Progress, f.progress = split(f.progress, maxUpdateProgress)
	e.Trials, f.trials = split(f.trials, maxTrials)
	return e
}

func (f *facts) empty() bool { return len(f.crashes)+len(f.progress)+len(f.trials) == 0 }

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

// prepareRetraction prepares to retract a crash that another daemon reported, if this one
// knows of another cause. The mutex is held.
func (q *Quarantine) prepareRetraction(c Crash, now time.Time) {
	if c.Retracted || !q.retracts(c.Engine, c.At) {
		return
	}
	if _, ok := q.outbox.retractions[c.Engine]; !ok {
		q.outbox.retractions[c.Engine] = q.answerTime(engineHash(c.Engine), now)
	}
}

// prepareAnswer prepares to refute a suspicion by progress at the given time. The mutex is
// held.
func (q *Quarantine) prepareAnswer(p Subject, at, now time.Time) {
	a, ok := q.outbox.answers[p]
	if !ok {
		a.due = q.answerTime(uint64(p), now)
	}
	a.at = at
	q.outbox.answers[p] = a
	q.pending.Store(true)
}

// releaseAnswers adds the answers that are due to the evidence. The mutex is held.
func (q *Quarantine) releaseAnswers(now time.Time) {
	for p, a := range q.outbox.answers {
		if now.Before(a.due) {
			continue
		}
		delete(q.outbox.answers, p)
		q.addProgress(Progress{Subject: p, At: a.at.Round(0)}, &q.outbox.own, now)
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

// HasUpdates reports whether there may be evidence for TakeUpdates, now or within AnswerDelay.
func (q *Quarantine) HasUpdates() bool { return q.pending.Load() }

// TakeUpdates returns facts that other daemons should be told, as many as fit in one message:
// own are for all peers, and relayed, which come from other failure domains, for those of
// this one. Both are empty if there is nothing to tell. It should be called a few times per
// AnswerDelay, and again while it returns any.
func (q *Quarantine) TakeUpdates(now time.Time) (own, relayed Evidence) {
	if !q.pending.Load() {
		return own, relayed
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	q.releaseAnswers(now)
	o := &q.outbox
	own, relayed = o.own.take(), o.relayed.take()
	if o.own.empty() && o.relayed.empty() && len(o.answers)+len(o.retractions) == 0 {
		q.pending.Store(false)
	}
	return own, relayed
}

// split returns the first n elements of a list and the others.
func split[T any](list []T, n int) (first, rest []T) {
	if n >= len(list) {
		return list, nil
	}
	return list[:n:n], slices.Clone(list[n:])
}
