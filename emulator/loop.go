package emulator

import (
	"container/heap"
	"time"
)

// Loop is a discrete-event loop: it runs functions in the order of their virtual
// times. Functions scheduled for the same time run in the order in which they
// were added. The zero value is ready to use and starts at time zero.
type Loop struct {
	now       time.Duration
	lastOrder uint64
	events    eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// Now returns the virtual time elapsed since the start.
func (l *Loop) Now() time.Duration { return l.now }

// At schedules fn for time t, or for the current time if t has passed.
func (l *Loop) At(t time.Duration, fn func()) {
	l.lastOrder++
	heap.Push(&l.events, event{at: max(t, l.now), order: l.lastOrder, run: fn})
}

// After schedules fn for d after the current time.
func (l *Loop) After(d time.Duration, fn func()) { l.At(l.now+d, fn) }

// Run runs all functions due up to and including end, and sets the clock to end.
func (l *Loop) Run(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*h = old[:last]
	return e
}
