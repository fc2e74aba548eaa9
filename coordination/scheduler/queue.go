// Package scheduler keeps the queued jobs of one endpoint in the order in which
// they should start.
//
// Jobs are ordered by priority level; between the customers of a level by
// weighted virtual tokens, so that each gets service in proportion to its
// weight; and within a customer by the Order of the job, until it is Due.
// A customer is charged the expected cost of a job when it starts, and the
// difference as it becomes known, so that it can't start many jobs before the
// first has produced anything. A customer that queues again after a pause starts
// from the counter of the customer served last: it gets no credit for the pause.
//
// Short and long jobs wait in lanes of their own. If the job at the head of one
// lane does not fit, the other lane goes on, but no further than one
// largest recent job ahead of its customer's share.
package scheduler

import (
	"sort"
	"time"
)

// agedTurn is the number of starts after which a due job of a lower level goes
// before the higher levels.
const agedTurn = 4

// largestDecay is the part of the largest recent job that a Tick leaves.
const largestDecay = 0.9999

// Queue holds the queued jobs of one endpoint. It is not safe for concurrent
// use.
type Queue[T any] struct {
	levels    []*level[T] // In order of their numbers.
	byExpiry  *Heap[*Entry[T]]
	held      []*account[T]
	serial    uint64
	queued    int
	sinceAged int // Starts since the last turn of a lower level.
}

// NewQueue returns an empty Queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{
		byExpiry: NewHeap(
			func(a, b *Entry[T]) bool { return a.before(b, a.Expires, b.Expires) },
			func(e *Entry[T], i int) { e.expiryIndex = i },
		),
	}
}

// Len returns the number of queued jobs.
func (q *Queue[T]) Len() int { return q.queued }

// Queued returns the number of queued jobs of a customer at a level.
func (q *Queue[T]) Queued(customer string, number int) int {
	if a := q.find(customer, number); a != nil {
		return a.queued
	}
	return 0
}

// Waiting returns the number of customers whose jobs wait in a lane and that
// no limit holds.
func (q *Queue[T]) Waiting(k Lane) int {
	n := 0
	for _, l := range q.levels {
		n += l.lanes[k].Len()
	}
	return n
}

// Push queues a job.
func (q *Queue[T]) Push(now time.Time, item Item[T]) *Entry[T] {
	e := q.entry(now, item)
	a := e.account
	if a.queued == 0 {
		a.counter = max(a.counter, a.level.virtual)
	}
	a.lanes[e.Lane].push(e)
	a.queued++
	q.queued++
	if !e.Expires.IsZero() {
		q.byExpiry.Push(e)
	}
	q.hold(now, a)
	return e
}

// Adopt counts a job that runs already.
func (q *Queue[T]) Adopt(now time.Time, item Item[T]) *Entry[T] {
	e := q.entry(now, item)
	q.start(now, e)
	return e
}

// entry returns an Entry that is not queued.
func (q *Queue[T]) entry(now time.Time, item Item[T]) *Entry[T] {
	q.serial++
	item.Cost = max(item.Cost, 1)
	a := q.level(item.Level).account(item.Customer)
	a.configure(now, item.Weight, item.MaxRunning, item.TokensPerSecond)
	a.level.largest = max(a.level.largest, item.Cost/a.weight)
	return &Entry[T]{
		Item: item, account: a, serial: q.serial,
		orderIndex: -1, dueIndex: -1, expiryIndex: -1,
	}
}

// level returns the level with the given number, made if needed.
func (q *Queue[T]) level(number int) *level[T] {
	i := sort.Search(len(q.levels), func(i int) bool { return q.levels[i].number >= number })
	if i < len(q.levels) && q.levels[i].number == number {
		return q.levels[i]
	}
	q.levels = append(q.levels, nil)
	copy(q.levels[i+1:], q.levels[i:])
	q.levels[i] = newLevel[T](number)
	return q.levels[i]
}

// find returns an account, or nil if there is none.
func (q *Queue[T]) find(customer string, number int) *account[T] {
	for _, l := range q.levels {
		if l.number == number {
			return l.accounts[customer]
		}
	}
	return nil
}

// Remove takes a queued job out.
func (q *Queue[T]) Remove(e *Entry[T]) {
	a := e.account
	a.lanes[e.Lane].remove(e)
	if e.expiryIndex >= 0 {
		q.byExpiry.Remove(e.expiryIndex)
	}
	a.queued--
	q.queued--
	a.level.place(a)
}

// Next takes out the job that should start now and counts it as running. It
// returns nil if none may start. fits tells whether a job fits into the engine.
func (q *Queue[T]) Next(now time.Time, fits func(*Entry[T]) bool) *Entry[T] {
	if q.queued == 0 {
		return nil
	}
	var r round[T]
	r.now, r.fits = now, fits
	if e := q.agedBelow(now); e != nil && q.sinceAged >= agedTurn && r.try(e) {
		q.sinceAged = 0
		return q.take(now, e)
	}
	for _, l := range q.levels {
		e := r.pick(l)
		if e != nil {
			q.sinceAged++
			return q.take(now, e)
		}
		if r.closed {
			return nil
		}
	}
	return nil
}

// agedBelow returns a due job at the head of a level below the highest one that
// has jobs, or nil.
func (q *Queue[T]) agedBelow(now time.Time) *Entry[T] {
	highest := true
	for _, l := range q.levels {
		if l.lanes[Short].Len()+l.lanes[Long].Len() == 0 {
			continue
		}
		if highest {
			highest = false
			continue
		}
		for _, h := range l.lanes {
			if h.Len() > 0 && h.Min().aged(now) {
				return h.Min().head(now)
			}
		}
	}
	return nil
}

// take starts a queued job.
func (q *Queue[T]) take(now time.Time, e *Entry[T]) *Entry[T] {
	q.Remove(e)
	l := e.account.level
	l.virtual = max(l.virtual, e.account.counter)
	q.start(now, e)
	return e
}

// start counts e as running and charges its expected cost.
func (q *Queue[T]) start(now time.Time, e *Entry[T]) {
	e.account.running++
	e.account.charge(e.Cost)
	q.hold(now, e.account)
}

// Charge counts service beyond the expected cost of a running job; a negative
// number of tokens gives back what was not used.
func (q *Queue[T]) Charge(now time.Time, e *Entry[T], tokens float64) {
	e.account.charge(tokens)
	e.Cost += tokens
	e.account.level.largest = max(e.account.level.largest, e.share())
	q.hold(now, e.account)
}

// Finish tells that a running job has ended.
func (q *Queue[T]) Finish(now time.Time, e *Entry[T]) {
	e.account.running--
	q.hold(now, e.account)
}

// hold brings the state of an account in line with its limits.
func (q *Queue[T]) hold(now time.Time, a *account[T]) {
	limited := a.limited(now)
	switch {
	case limited && !a.held:
		q.held = append(q.held, a)
	case !limited && a.held:
		q.removeHeld(a)
		a.counter = max(a.counter, a.level.virtual)
	}
	a.held = limited
	a.level.place(a)
}

// removeHeld takes a out of the held accounts.
func (q *Queue[T]) removeHeld(a *account[T]) {
	for i, h := range q.held {
		if h == a {
			q.held = append(q.held[:i], q.held[i+1:]...)
			return
		}
	}
}

// Tick frees the customers whose rate limit lets them go again, and drops what
// is known of customers that have been idle.
func (q *Queue[T]) Tick(now time.Time) {
	for i := len(q.held) - 1; i >= 0; i-- {
		q.hold(now, q.held[i])
	}
	for _, l := range q.levels {
		l.largest *= largestDecay
		l.forget(now)
	}
}

// NextFree returns when the rate limit of a customer first lets it go again. It
// reports false if that holds none.
func (q *Queue[T]) NextFree() (time.Time, bool) {
	var first time.Time
	found := false
	for _, a := range q.held {
		if a.rate == 0 || a.allowance >= 0 || a.queued == 0 {
			continue
		}
		if at := a.freeAt(); !found || at.Before(first) {
			first, found = at, true
		}
	}
	return first, found
}

// Expired takes out the jobs whose latest start has passed.
func (q *Queue[T]) Expired(now time.Time) []*Entry[T] {
	var expired []*Entry[T]
	for q.byExpiry.Len() > 0 && q.byExpiry.Min().Expires.Before(now) {
		e := q.byExpiry.Min()
		q.Remove(e)
		expired = append(expired, e)
	}
	return expired
}

// Overdue takes out the jobs that were due by t.
func (q *Queue[T]) Overdue(t time.Time) []*Entry[T] {
	var overdue []*Entry[T]
	for _, l := range q.levels {
		for _, a := range l.order {
			for _, ln := range a.lanes {
				for ln.aged(t) {
					e := ln.byDue.Min()
					q.Remove(e)
					overdue = append(overdue, e)
				}
			}
		}
	}
	return overdue
}

// NextExpiry returns the earliest latest start of a queued job. It reports false
// if there is none.
func (q *Queue[T]) NextExpiry() (time.Time, bool) {
	if q.byExpiry.Len() == 0 {
		return time.Time{}, false
	}
	return q.byExpiry.Min().Expires, true
}

// Soonest returns about n of the jobs that expire first.
func (q *Queue[T]) Soonest(n int) []*Entry[T] {
	items := q.byExpiry.Items()
	return append([]*Entry[T](nil), items[:min(n, len(items))]...)
}

// Drain takes out all queued jobs, in the order in which they were queued.
func (q *Queue[T]) Drain() []*Entry[T] {
	var all []*Entry[T]
	for _, l := range q.levels {
		for _, a := range l.order {
			for _, ln := range a.lanes {
				all = append(all, ln.byOrder.Items()...)
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].serial < all[j].serial })
	for _, e := range all {
		q.Remove(e)
	}
	return all
}
