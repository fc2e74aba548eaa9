package scheduler

import "time"

// burstSeconds is how much of its rate of tokens a customer may use at once.
const burstSeconds = 4.0

// account is one customer at one priority level.
type account[T any] struct {
	load    // The counter is service divided by weight; work is what is queued.
	queued  int
	running int

	customer string
	level    *level[T]
	slot     int // In the order and the loads of the level.
	lanes    [laneCount]*lane[T]
	held     bool // Reports whether a limit keeps its jobs from going.

	maxRunning int
	rate       float64   // Tokens a second; no limit if zero.
	allowance  float64   // Tokens that may be used now; negative if overdrawn.
	refilled   time.Time // When allowance was computed.
}

// newAccount returns an account without jobs.
func newAccount[T any](customer string, l *level[T]) *account[T] {
	a := &account[T]{customer: customer, level: l, load: load{weight: 1, counter: l.virtual}}
	for k := range a.lanes {
		a.lanes[k] = newLane(a, Lane(k))
	}
	return a
}

// configure takes the share and the limits that came with a job.
func (a *account[T]) configure(now time.Time, weight float64, maxRunning int, rate float64) {
	a.refill(now)
	if weight <= 0 {
		weight = 1
	}
	if rate != a.rate {
		a.allowance = rate * burstSeconds
	}
	a.weight, a.maxRunning, a.rate = weight, maxRunning, rate
}

// refill brings the allowance up to now.
func (a *account[T]) refill(now time.Time) {
	if elapsed := now.Sub(a.refilled); a.rate > 0 && elapsed > 0 {
		a.allowance = min(a.allowance+a.rate*elapsed.Seconds(), a.rate*burstSeconds)
	}
	a.refilled = now
}

// limited reports whether a limit keeps the customer's jobs from going now.
func (a *account[T]) limited(now time.Time) bool {
	a.refill(now)
	if a.maxRunning > 0 && a.running >= a.maxRunning {
		return true
	}
	return a.rate > 0 && a.allowance < 0
}

// freeAt returns when the rate limit lets the customer's jobs go again.
func (a *account[T]) freeAt() time.Time {
	wait := -a.allowance / a.rate
	return a.refilled.Add(time.Duration(wait*float64(time.Second)) + time.Millisecond)
}

// charge counts tokens of service; a negative number gives back.
func (a *account[T]) charge(tokens float64) {
	a.counter += tokens / a.weight
	if a.rate > 0 {
		a.allowance -= tokens
	}
}

// idle reports whether the account holds nothing worth keeping.
func (a *account[T]) idle(now time.Time) bool {
	if a.queued > 0 || a.running > 0 || a.counter > a.level.virtual {
		return false
	}
	a.refill(now)
	return a.rate == 0 || a.allowance >= a.rate*burstSeconds
}

// load is the part of an account that forecasts go by.
type load struct {
	weight  float64
	counter float64
	work    [laneCount]float64
}

// waiting returns the queued work that a job in lane k of the same customer
// would wait for.
func (l *load) waiting(k Lane) float64 {
	if k == Short {
		return l.work[Short]
	}
	return l.work[Short] + l.work[Long]
}

// level is one priority level.
type level[T any] struct {
	number   int
	virtual  float64 // Counter of the customer that went last.
	largest  float64 // Virtual tokens of the largest recent job.
	accounts map[string]*account[T]
	order    []*account[T] // The accounts in order of their making.
	loads    []load        // What ahead needs of each account, side by side.
	lanes    [laneCount]*Heap[*lane[T]]
}

// newLevel returns a level without customers.
func newLevel[T any](number int) *level[T] {
	l := &level[T]{number: number, accounts: make(map[string]*account[T])}
	for k := range l.lanes {
		l.lanes[k] = NewHeap(
			func(x, y *lane[T]) bool {
				if x.account.counter != y.account.counter {
					return x.account.counter < y.account.counter
				}
				return x.account.customer < y.account.customer
			},
			func(e *lane[T], i int) { e.index = i },
		)
	}
	return l
}

// account returns the account of a customer, made if needed.
func (l *level[T]) account(customer string) *account[T] {
	a, ok := l.accounts[customer]
	if !ok {
		a = newAccount(customer, l)
		a.slot = len(l.order)
		l.accounts[customer] = a
		l.order = append(l.order, a)
		l.loads = append(l.loads, load{})
	}
	return a
}

// place puts the lanes of a where its state wants them in the level's heaps, and
// notes its load. It is called after each change of a.
func (l *level[T]) place(a *account[T]) {
	l.loads[a.slot] = a.load
	for k, ln := range a.lanes {
		wanted := ln.byOrder.Len() > 0 && !a.held
		switch {
		case wanted && ln.index < 0:
			l.lanes[k].Push(ln)
		case wanted:
			l.lanes[k].Fix(ln.index)
		case ln.index >= 0:
			l.lanes[k].Remove(ln.index)
		}
	}
}

// forget drops accounts that hold nothing worth keeping.
func (l *level[T]) forget(now time.Time) {
	kept := l.order[:0]
	for _, a := range l.order {
		if a.idle(now) {
			delete(l.accounts, a.customer)
			continue
		}
		a.slot = len(kept)
		l.loads[a.slot] = a.load
		kept = append(kept, a)
	}
	clear(l.order[len(kept):])
	l.order = kept
	l.loads = l.loads[:len(kept)]
}
