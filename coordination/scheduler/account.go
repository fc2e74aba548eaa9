package scheduler

import "time"

// burstSeconds is the capacity of a customer's token bucket, in seconds of its rate.
const burstSeconds = 4.0

// account is the state of one customer at one priority level.
type account[T any] struct {
	accountLoad
	queued  int
	running int

	customer   string
	level      *level[T]
	levelIndex int // Index in level.byCreation and level.loads.
	lanes      [laneCount]*lane[T]
	blocked    bool // Whether a limit keeps its jobs from starting.

	maxRunning int
	tokenRate  float64   // Limit in tokens per second; none if zero.
	allowance  float64   // Tokens in the bucket; negative if overdrawn.
	refilledAt time.Time // Time for which allowance holds.
}

// newAccount returns an account without jobs.
func newAccount[T any](customer string, l *level[T]) *account[T] {
	a := &account[T]{customer: customer, level: l, accountLoad: accountLoad{weight: 1, virtualTokens: l.virtualTime}}
	for k := range a.lanes {
		a.lanes[k] = newLane(a, Lane(k))
	}
	return a
}

// configure sets the weight and the limits, which each Item specifies. A new rate
// fills the bucket.
func (a *account[T]) configure(now time.Time, weight float64, maxRunning int, tokenRate float64) {
	a.refill(now)
	if weight <= 0 {
		weight = 1
	}
	if tokenRate != a.tokenRate {
		a.allowance = tokenRate * burstSeconds
	}
	a.weight, a.maxRunning, a.tokenRate = weight, maxRunning, tokenRate
}

// refill adds to the allowance what has accrued since the last refill.
func (a *account[T]) refill(now time.Time) {
	if elapsed := now.Sub(a.refilledAt); a.tokenRate > 0 && elapsed > 0 {
		a.allowance = min(a.allowance+a.tokenRate*elapsed.Seconds(), a.tokenRate*burstSeconds)
	}
	a.refilledAt = now
}

// limitReached reports whether a limit keeps the customer's jobs from starting now.
func (a *account[T]) limitReached(now time.Time) bool {
	a.refill(now)
	if a.maxRunning > 0 && a.running >= a.maxRunning {
		return true
	}
	return a.tokenRate > 0 && a.allowance < 0
}

// rateLimitEnd returns when the rate limit will let the customer's jobs start again.
// The allowance must be negative.
func (a *account[T]) rateLimitEnd() time.Time {
	wait := -a.allowance / a.tokenRate
	return a.refilledAt.Add(time.Duration(wait*float64(time.Second)) + time.Millisecond)
}

// charge charges tokens of service; a negative number refunds them.
func (a *account[T]) charge(tokens float64) {
	a.virtualTokens += tokens / a.weight
	if a.tokenRate > 0 {
		a.allowance -= tokens
	}
}

// idle reports whether the account can be dropped: a new account for the same
// customer would have the same state.
func (a *account[T]) idle(now time.Time) bool {
	if a.queued > 0 || a.running > 0 || a.virtualTokens > a.level.virtualTime {
		return false
	}
	a.refill(now)
	return a.tokenRate == 0 || a.allowance >= a.tokenRate*burstSeconds
}

// accountLoad is the part of an account from which the work ahead of a job is
// computed.
type accountLoad struct {
	weight        float64
	virtualTokens float64            // Service charged, in tokens divided by weight.
	work          [laneCount]float64 // Work of the queued jobs, by lane.
}

// queuedWork returns the queued work that a job in the given lane waits for: long
// jobs wait for both lanes, short jobs for short ones only.
func (l *accountLoad) queuedWork(lane Lane) float64 {
	if lane == Short {
		return l.work[Short]
	}
	return l.work[Short] + l.work[Long]
}

// level is one priority level.
type level[T any] struct {
	number      int
	virtualTime float64 // Largest virtualTokens that a customer had when one of its jobs started.
	largestJob  float64 // Virtual cost of the largest recent job.
	accounts    map[string]*account[T]
	byCreation  []*account[T] // The accounts in the order of their creation.
	loads       []accountLoad // Copies of the loads of the accounts, contiguous for workAhead.
	laneHeaps   [laneCount]*Heap[*lane[T]]
}

// newLevel returns a level without accounts.
func newLevel[T any](number int) *level[T] {
	l := &level[T]{number: number, accounts: make(map[string]*account[T])}
	for k := range l.laneHeaps {
		l.laneHeaps[k] = NewHeap(
			func(x, y *lane[T]) bool {
				if x.account.virtualTokens != y.account.virtualTokens {
					return x.account.virtualTokens < y.account.virtualTokens
				}
				return x.account.customer < y.account.customer
			},
			func(e *lane[T], i int) { e.heapIndex = i },
		)
	}
	return l
}

// account returns the account of a customer. It creates the account if needed.
func (l *level[T]) account(customer string) *account[T] {
	a, ok := l.accounts[customer]
	if !ok {
		a = newAccount(customer, l)
		a.levelIndex = len(l.byCreation)
		l.accounts[customer] = a
		l.byCreation = append(l.byCreation, a)
		l.loads = append(l.loads, accountLoad{})
	}
	return a
}

// updateLanes adds the lanes of a to the level's heaps, moves or removes them
// according to its state, and copies its load. It must be called after each change
// of a.
func (l *level[T]) updateLanes(a *account[T]) {
	l.loads[a.levelIndex] = a.accountLoad
	for k, ln := range a.lanes {
		eligible := ln.bySortTime.Len() > 0 && !a.blocked
		switch {
		case eligible && ln.heapIndex < 0:
			l.laneHeaps[k].Push(ln)
		case eligible:
			l.laneHeaps[k].Fix(ln.heapIndex)
		case ln.heapIndex >= 0:
			l.laneHeaps[k].Remove(ln.heapIndex)
		}
	}
}

// dropIdleAccounts drops the accounts that are idle.
func (l *level[T]) dropIdleAccounts(now time.Time) {
	kept := l.byCreation[:0]
	for _, a := range l.byCreation {
		if a.idle(now) {
			delete(l.accounts, a.customer)
			continue
		}
		a.levelIndex = len(kept)
		l.loads[a.levelIndex] = a.accountLoad
		kept = append(kept, a)
	}
	clear(l.byCreation[len(kept):])
	l.byCreation = kept
	l.loads = l.loads[:len(kept)]
}
