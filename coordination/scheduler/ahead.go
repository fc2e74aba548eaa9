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
		for _, a := range l.order {
			sum += a.waiting(item.Lane)
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
	if a, ok := l.accounts[item.Customer]; ok {
		own = a.waiting(item.Lane)
		counter = max(counter, a.counter)
	}
	perToken := item.Work / max(item.Cost, 1)
	sum := own
	for _, a := range l.order {
		if a.queued == 0 || a.customer == item.Customer {
			continue
		}
		lead := max(counter-a.counter, 0) * a.weight * perToken
		sum += min(a.waiting(item.Lane), lead+(own+item.Work)*a.weight/weight)
	}
	return sum
}

// waiting returns the queued work that a job in lane k of the same customer
// would wait for.
func (a *account[T]) waiting(k Lane) float64 {
	if k == Short {
		return a.lanes[Short].work
	}
	return a.lanes[Short].work + a.lanes[Long].work
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
