package scheduler

import "time"

// round is one choice of the job that starts next.
type round[T any] struct {
	now    time.Time
	fits   func(*Entry[T]) bool
	full   [laneCount]bool // Lanes whose first job does not fit.
	closed bool            // Reports whether a due job waits that nothing may pass.
}

// try reports whether e may start; if not, its lane is full for this round.
func (r *round[T]) try(e *Entry[T]) bool {
	if r.fits(e) {
		return true
	}
	r.full[e.Lane] = true
	return false
}

// pick returns the job of the level that may start, or nil.
func (r *round[T]) pick(l *level[T]) *Entry[T] {
	first, second := r.heads(l)
	if first == nil {
		return nil
	}
	if !r.full[first.Lane] && r.try(first) {
		return first
	}
	if second == nil {
		return nil
	}
	if r.holdsBack(first, second) {
		r.closed = true
		return nil
	}
	if !r.full[second.Lane] && r.try(second) {
		return second
	}
	return nil
}

// heads returns the first jobs of both lanes, the one to prefer first. Either
// may be nil.
func (r *round[T]) heads(l *level[T]) (first, second *Entry[T]) {
	var heads [laneCount]*Entry[T]
	for k, h := range l.lanes {
		if h.Len() > 0 {
			heads[k] = h.Min().head(r.now)
		}
	}
	first, second = heads[Short], heads[Long]
	if first == nil || (second != nil && r.prefers(second, first)) {
		first, second = second, first
	}
	return first, second
}

// prefers reports whether a goes before b, which is of the other lane.
func (r *round[T]) prefers(a, b *Entry[T]) bool {
	if a.account != b.account {
		if a.account.counter != b.account.counter {
			return a.account.counter < b.account.counter
		}
		return a.account.customer < b.account.customer
	}
	if due := r.due(a); due != r.due(b) {
		return due
	}
	return a.before(b, a.Order, b.Order)
}

// due reports whether no later arrival may pass e.
func (r *round[T]) due(e *Entry[T]) bool { return !e.Due.After(r.now) }

// holdsBack reports whether other must wait for e, which does not fit: e is due
// and of the same customer, or starting other would take its customer further
// ahead of its share than the largest recent job of the level.
func (r *round[T]) holdsBack(e, other *Entry[T]) bool {
	if e.account == other.account {
		return r.due(e) && e.before(other, e.Arrived, other.Arrived)
	}
	ahead := other.account.counter + other.share() - e.account.counter
	return ahead > e.account.level.largest
}
