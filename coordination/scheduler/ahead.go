package scheduler

// Ahead returns the work that would start before a job queued now, in steps of
// the whole engine. A short job waits for short jobs only, a long one for both.
// The jobs of other customers count as far as their share lets them go before
// the customer's own.
func (q *Queue[T]) Ahead(item Item[T]) float64 {
	sum := 0.0
	for _, l := range q.levels {
		if l.number > item.Level {
			break
		}
		if l.number == item.Level {
			sum += l.ahead(item)
			continue
		}
		for i := range l.loads {
			sum += l.loads[i].waiting(item.Lane)
		}
	}
	return sum
}

// ahead returns the work of the level that would start before item.
func (l *level[T]) ahead(item Item[T]) float64 {
	weight, counter, own := max(item.Weight, 0), l.virtual, 0.0
	if weight == 0 {
		weight = 1
	}
	slot := -1
	if mine, ok := l.accounts[item.Customer]; ok {
		slot = mine.slot
		own = mine.waiting(item.Lane)
		counter = max(counter, mine.counter)
	}
	perToken := item.Work / max(item.Cost, 1)
	sum := own
	for i := range l.loads {
		x := &l.loads[i]
		waiting := x.waiting(item.Lane)
		if waiting == 0 || i == slot {
			continue
		}
		lead := max(counter-x.counter, 0) * x.weight * perToken
		sum += min(waiting, lead+(own+item.Work)*x.weight/weight)
	}
	return sum
}

// AheadOf returns the work that would start before a queued job.
func (q *Queue[T]) AheadOf(e *Entry[T]) float64 {
	a := e.account
	after := 0.0
	for k, ln := range a.lanes {
		if e.Lane == Short && Lane(k) == Long {
			continue
		}
		for _, other := range ln.byOrder.Items() {
			if !other.before(e, other.Order, e.Order) {
				after += other.Work
			}
		}
	}
	return max(q.Ahead(e.Item)-after, 0)
}
