package scheduler

import "time"

// Lane separates jobs by their expected output length, so that neither class fills
// the engine while jobs of the other are queued.
type Lane int

// The lanes.
const (
	Short Lane = iota
	Long
	laneCount
)

// Item describes a job to Queue.
type Item[T any] struct {
	Value T

	Customer string
	Level    int
	Weight   float64 // Weight of the customer in fair queueing; one if zero.
	Lane     Lane

	Cost float64 // Expected service in tokens; at least one.
	Work float64 // Expected load, in steps of the whole engine.

	Arrived     time.Time
	SortTime    time.Time // Position among the jobs of the customer in the lane; earlier ones start first.
	DueAt       time.Time // From then on no later arrival of the customer starts first.
	LatestStart time.Time // Latest start; none if zero.

	MaxRunning      int     // Limit of the customer; none if zero.
	TokensPerSecond float64 // Limit of the customer; none if zero.
}

// Entry is an Item in a Queue.
type Entry[T any] struct {
	Item[T]

	account *account[T]
	serial  uint64 // Number in the order of creation; breaks ties.

	// Indexes in lane.bySortTime, lane.byDue and Queue.byExpiry; -1 if not there.
	sortIndex   int
	dueIndex    int
	expiryIndex int
}

// Queued reports whether e is still in its Queue.
func (e *Entry[T]) Queued() bool { return e.sortIndex >= 0 }

// virtualCost returns the virtual tokens that e costs its customer.
func (e *Entry[T]) virtualCost() float64 { return e.Cost / e.account.weight }

// before orders e and other by the times a and b, then by creation.
func (e *Entry[T]) before(other *Entry[T], a, b time.Time) bool {
	if !a.Equal(b) {
		return a.Before(b)
	}
	return e.serial < other.serial
}

// lane holds the queued jobs of one customer in one lane.
type lane[T any] struct {
	account    *account[T]
	kind       Lane
	bySortTime *Heap[*Entry[T]]
	byDue      *Heap[*Entry[T]]
	heapIndex  int // In the heap of the level; -1 if the lane is empty or the customer blocked.
}

// newLane returns an empty lane of a.
func newLane[T any](a *account[T], kind Lane) *lane[T] {
	return &lane[T]{
		account:   a,
		kind:      kind,
		heapIndex: -1,
		bySortTime: NewHeap(
			func(x, y *Entry[T]) bool { return x.before(y, x.SortTime, y.SortTime) },
			func(e *Entry[T], i int) { e.sortIndex = i },
		),
		byDue: NewHeap(
			func(x, y *Entry[T]) bool { return x.before(y, x.DueAt, y.DueAt) },
			func(e *Entry[T], i int) { e.dueIndex = i },
		),
	}
}

// push adds e.
func (l *lane[T]) push(e *Entry[T]) {
	l.bySortTime.Push(e)
	l.byDue.Push(e)
	l.account.work[l.kind] += e.Work
}

// remove removes e.
func (l *lane[T]) remove(e *Entry[T]) {
	l.bySortTime.Remove(e.sortIndex)
	l.byDue.Remove(e.dueIndex)
	l.account.work[l.kind] = max(l.account.work[l.kind]-e.Work, 0)
}

// first returns the entry to start first: the one due earliest if it is already
// due, otherwise the first by SortTime. The lane must not be empty.
func (l *lane[T]) first(now time.Time) *Entry[T] {
	if e := l.byDue.Min(); !e.DueAt.After(now) {
		return e
	}
	return l.bySortTime.Min()
}

// hasDue reports whether an entry of the lane is due.
func (l *lane[T]) hasDue(now time.Time) bool {
	return l.byDue.Len() > 0 && !l.byDue.Min().DueAt.After(now)
}
