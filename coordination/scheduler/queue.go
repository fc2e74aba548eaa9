// Package scheduler implements the queue of jobs at one endpoint: priority levels,
// with weighted fair queueing between the customers of a level.
//
// Jobs are ordered by priority level; between the customers of a level by virtual
// tokens, which are tokens of service divided by the customer's weight, so that
// each customer gets service in proportion to its weight; and within a customer by
// Item.SortTime, except that jobs whose Item.DueAt has passed start first. A
// customer is charged the expected cost of a job when the job starts, and the
// difference to the actual cost as it becomes known, so that it can't start many
// jobs before the first has produced output. The virtual time of a level is the
// largest number of virtual tokens that a customer had when one of its jobs started.
// A customer that queues a job after an idle period gets at least that number, so
// that it gets no credit for the period.
//
// Short and long jobs are queued in separate lanes. If the first job of one lane
// does not fit, jobs of the other lane may start, as long as their customer gets
// ahead of its fair share by no more than the cost of the largest recent job.
package scheduler

import (
	"sort"
	"time"
)

// lowerLevelInterval is the number of starts after which a due job of a lower level
// starts before jobs of higher levels, so that it is not starved.
const lowerLevelInterval = 4

// largestJobDecay is the factor on the cost of the largest recent job at each Tick.
const largestJobDecay = 0.9999

// Queue holds the queued jobs of one endpoint. It is not safe for concurrent
// use.
type Queue[T any] struct {
	levels                []*level[T] // Ordered by number.
	byExpiry              *Heap[*Entry[T]]
	blocked               []*account[T]
	serial                uint64
	queued                int
	startsSinceLowerLevel int // Starts since a due job of a lower level last started first.
}

// NewQueue returns an empty Queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{
		byExpiry: NewHeap(
			func(a, b *Entry[T]) bool { return a.before(b, a.LatestStart, b.LatestStart) },
			func(e *Entry[T], i int) { e.expiryIndex = i },
		),
	}
}

// Len returns the number of queued jobs.
func (q *Queue[T]) Len() int { return q.queued }

// Queued returns the number of queued jobs of a customer at a level.
func (q *Queue[T]) Queued(customer string, number int) int {
	if a := q.findAccount(customer, number); a != nil {
		return a.queued
	}
	return 0
}

// EligibleCustomers returns the number of customers that have jobs queued in a
// lane and are not blocked by a limit.
func (q *Queue[T]) EligibleCustomers(lane Lane) int {
	n := 0
	for _, l := range q.levels {
		n += l.laneHeaps[lane].Len()
	}
	return n
}

// Push queues a job.
func (q *Queue[T]) Push(now time.Time, item Item[T]) *Entry[T] {
	e := q.newEntry(now, item)
	a := e.account
	if a.queued == 0 {
		a.virtualTokens = max(a.virtualTokens, a.level.virtualTime)
	}
	a.lanes[e.Lane].push(e)
	a.queued++
	q.queued++
	if !e.LatestStart.IsZero() {
		q.byExpiry.Push(e)
	}
	q.updateBlocked(now, a)
	return e
}

// AddRunning adds a job that is already running.
func (q *Queue[T]) AddRunning(now time.Time, item Item[T]) *Entry[T] {
	e := q.newEntry(now, item)
	q.markRunning(now, e)
	return e
}

// newEntry returns an Entry that is not queued. It configures the customer's account
// by item.
func (q *Queue[T]) newEntry(now time.Time, item Item[T]) *Entry[T] {
	q.serial++
	item.Cost = max(item.Cost, 1)
	a := q.level(item.Level).account(item.Customer)
	a.configure(now, item.Weight, item.MaxRunning, item.TokensPerSecond)
	a.level.largestJob = max(a.level.largestJob, item.Cost/a.weight)
	return &Entry[T]{
		Item: item, account: a, serial: q.serial,
		sortIndex: -1, dueIndex: -1, expiryIndex: -1,
	}
}

// level returns the level with the given number. It creates the level if needed.
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

// findAccount returns the account of a customer at a level, or nil if there is none.
func (q *Queue[T]) findAccount(customer string, number int) *account[T] {
	for _, l := range q.levels {
		if l.number == number {
			return l.accounts[customer]
		}
	}
	return nil
}

// Remove removes a queued job.
func (q *Queue[T]) Remove(e *Entry[T]) {
	a := e.account
	a.lanes[e.Lane].remove(e)
	if e.expiryIndex >= 0 {
		q.byExpiry.Remove(e.expiryIndex)
	}
	a.queued--
	q.queued--
	a.level.updateLanes(a)
}

// StartNext removes the job that should start now from the queue and counts it as
// running. It returns nil if none may start. fits reports whether a job fits into
// the engine.
func (q *Queue[T]) StartNext(now time.Time, fits func(*Entry[T]) bool) *Entry[T] {
	if q.queued == 0 {
		return nil
	}
	var s selection[T]
	s.now, s.fits = now, fits
	if e := q.dueAtLowerLevel(now); e != nil && q.startsSinceLowerLevel >= lowerLevelInterval && s.tryFit(e) {
		q.startsSinceLowerLevel = 0
		return q.dequeue(now, e)
	}
	for _, l := range q.levels {
		e := s.choose(l)
		if e != nil {
			q.startsSinceLowerLevel++
			return q.dequeue(now, e)
		}
		if s.stopped {
			return nil
		}
	}
	return nil
}

// dueAtLowerLevel returns a due job that is the first of a level other than the
// highest one with eligible jobs, or nil.
func (q *Queue[T]) dueAtLowerLevel(now time.Time) *Entry[T] {
	isHighest := true
	for _, l := range q.levels {
		if l.laneHeaps[Short].Len()+l.laneHeaps[Long].Len() == 0 {
			continue
		}
		if isHighest {
			isHighest = false
			continue
		}
		for _, h := range l.laneHeaps {
			if h.Len() > 0 && h.Min().hasDue(now) {
				return h.Min().first(now)
			}
		}
	}
	return nil
}

// dequeue removes a queued job, advances the virtual time of its level and counts
// the job as running.
func (q *Queue[T]) dequeue(now time.Time, e *Entry[T]) *Entry[T] {
	q.Remove(e)
	l := e.account.level
	l.virtualTime = max(l.virtualTime, e.account.virtualTokens)
	q.markRunning(now, e)
	return e
}

// markRunning counts e as running and charges its expected cost.
func (q *Queue[T]) markRunning(now time.Time, e *Entry[T]) {
	e.account.running++
	e.account.charge(e.Cost)
	q.updateBlocked(now, e.account)
}

// Charge charges service beyond the expected cost of a running job. A negative
// number of tokens refunds unused cost.
func (q *Queue[T]) Charge(now time.Time, e *Entry[T], tokens float64) {
	e.account.charge(tokens)
	e.Cost += tokens
	e.account.level.largestJob = max(e.account.level.largestJob, e.virtualCost())
	q.updateBlocked(now, e.account)
}

// Finish records the end of a running job.
func (q *Queue[T]) Finish(now time.Time, e *Entry[T]) {
	e.account.running--
	q.updateBlocked(now, e.account)
}

// updateBlocked updates whether a limit blocks the account. An account that is
// unblocked gets no credit for the time in which it was blocked.
func (q *Queue[T]) updateBlocked(now time.Time, a *account[T]) {
	limited := a.limitReached(now)
	switch {
	case limited && !a.blocked:
		q.blocked = append(q.blocked, a)
	case !limited && a.blocked:
		q.removeBlocked(a)
		a.virtualTokens = max(a.virtualTokens, a.level.virtualTime)
	}
	a.blocked = limited
	a.level.updateLanes(a)
}

// removeBlocked removes a from the blocked accounts.
func (q *Queue[T]) removeBlocked(a *account[T]) {
	for i, b := range q.blocked {
		if b == a {
			q.blocked = append(q.blocked[:i], q.blocked[i+1:]...)
			return
		}
	}
}

// Tick unblocks the customers whose limits allow starts again, and drops idle
// accounts.
func (q *Queue[T]) Tick(now time.Time) {
	for i := len(q.blocked) - 1; i >= 0; i-- {
		q.updateBlocked(now, q.blocked[i])
	}
	for _, l := range q.levels {
		l.largestJob *= largestJobDecay
		l.dropIdleAccounts(now)
	}
}

// NextRateLimitEnd returns the earliest time at which the rate limit of a customer
// with queued jobs will let one start. It reports false if no rate limit blocks any.
func (q *Queue[T]) NextRateLimitEnd() (time.Time, bool) {
	var earliest time.Time
	found := false
	for _, a := range q.blocked {
		if a.tokenRate == 0 || a.allowance >= 0 || a.queued == 0 {
			continue
		}
		if at := a.rateLimitEnd(); !found || at.Before(earliest) {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// TakeExpired removes and returns the jobs whose latest start has passed.
func (q *Queue[T]) TakeExpired(now time.Time) []*Entry[T] {
	var expired []*Entry[T]
	for q.byExpiry.Len() > 0 && q.byExpiry.Min().LatestStart.Before(now) {
		e := q.byExpiry.Min()
		q.Remove(e)
		expired = append(expired, e)
	}
	return expired
}

// TakeOverdue removes and returns the jobs that were due by t.
func (q *Queue[T]) TakeOverdue(t time.Time) []*Entry[T] {
	var overdue []*Entry[T]
	for _, l := range q.levels {
		for _, a := range l.byCreation {
			for _, ln := range a.lanes {
				for ln.hasDue(t) {
					e := ln.byDue.Min()
					q.Remove(e)
					overdue = append(overdue, e)
				}
			}
		}
	}
	return overdue
}

// NextExpiry returns the earliest LatestStart of the queued jobs. It reports false
// if none has one.
func (q *Queue[T]) NextExpiry() (time.Time, bool) {
	if q.byExpiry.Len() == 0 {
		return time.Time{}, false
	}
	return q.byExpiry.Min().LatestStart, true
}

// FirstToExpire returns up to n of the queued jobs with the earliest LatestStart.
// Only the first of them is exact; the others are the next ones in heap order.
func (q *Queue[T]) FirstToExpire(n int) []*Entry[T] {
	items := q.byExpiry.Items()
	return append([]*Entry[T](nil), items[:min(n, len(items))]...)
}

// Drain removes and returns all queued jobs, in the order in which they were queued.
func (q *Queue[T]) Drain() []*Entry[T] {
	var all []*Entry[T]
	for _, l := range q.levels {
		for _, a := range l.byCreation {
			for _, ln := range a.lanes {
				all = append(all, ln.bySortTime.Items()...)
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].serial < all[j].serial })
	for _, e := range all {
		q.Remove(e)
	}
	return all
}
