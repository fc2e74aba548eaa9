package scheduler

import "time"

// selection is the state of one selection of the job to start next.
type selection[T any] struct {
	now      time.Time
	fits     func(*Entry[T]) bool
	laneFull [laneCount]bool // Lanes with a job that does not fit.
	stopped  bool            // Whether a job that does not fit keeps all other jobs from starting.
}

// tryFit reports whether e fits. If not, it marks the lane of e as full for this
// selection.
func (s *selection[T]) tryFit(e *Entry[T]) bool {
	if s.fits(e) {
		return true
	}
	s.laneFull[e.Lane] = true
	return false
}

// choose returns the job of the level to start next, or nil if none may start.
func (s *selection[T]) choose(l *level[T]) *Entry[T] {
	first, second := s.heads(l)
	if first == nil {
		return nil
	}
	if !s.laneFull[first.Lane] && s.tryFit(first) {
		return first
	}
	if second == nil {
		return nil
	}
	if s.blocks(first, second) {
		s.stopped = true
		return nil
	}
	if !s.laneFull[second.Lane] && s.tryFit(second) {
		return second
	}
	return nil
}

// heads returns the first jobs of both lanes, the preferred one first. Either may
// be nil.
func (s *selection[T]) heads(l *level[T]) (first, second *Entry[T]) {
	var heads [laneCount]*Entry[T]
	for k, h := range l.laneHeaps {
		if h.Len() > 0 {
			heads[k] = h.Min().first(s.now)
		}
	}
	first, second = heads[Short], heads[Long]
	if first == nil || (second != nil && s.prefers(second, first)) {
		first, second = second, first
	}
	return first, second
}

// prefers reports whether a is to start before b, which is in the other lane.
func (s *selection[T]) prefers(a, b *Entry[T]) bool {
	if a.account != b.account {
		if a.account.virtualTokens != b.account.virtualTokens {
			return a.account.virtualTokens < b.account.virtualTokens
		}
		return a.account.customer < b.account.customer
	}
	if due := s.due(a); due != s.due(b) {
		return due
	}
	return a.before(b, a.SortTime, b.SortTime)
}

// due reports whether e is due, so that no later arrival may start before it.
func (s *selection[T]) due(e *Entry[T]) bool { return !e.DueAt.After(s.now) }

// blocks reports whether other must not start before e, which does not fit: because
// both are of the same customer and e is due and arrived first, or because the
// customer of other would get ahead of its fair share by more than the cost of the
// largest recent job of the level.
func (s *selection[T]) blocks(e, other *Entry[T]) bool {
	if e.account == other.account {
		return s.due(e) && e.before(other, e.Arrived, other.Arrived)
	}
	ahead := other.account.virtualTokens + other.virtualCost() - e.account.virtualTokens
	return ahead > e.account.level.largestJob
}
