package scheduler

// WorkAhead returns the work that would start before item if it were queued now, in
// steps of the whole engine. A short job waits for short jobs only, a long one for
// both. Jobs of other customers at the same level count as far as fair queueing
// would start them first.
func (q *Queue[T]) WorkAhead(item Item[T]) float64 {
	sum := 0.0
	for _, l := range q.levels {
		if l.number > item.Level {
			break
		}
		if l.number == item.Level {
			sum += l.workAhead(item)
			continue
		}
		for i := range l.loads {
			sum += l.loads[i].queuedWork(item.Lane)
		}
	}
	return sum
}

// workAhead returns the work at this level that would start before item: that of
// the same customer, and for each other customer what its lag in virtual tokens and
// its weight allow while the customer's own work starts, up to its queued work.
func (l *level[T]) workAhead(item Item[T]) float64 {
	weight, virtualTokens, ownWork := max(item.Weight, 0), l.virtualTime, 0.0
	if weight == 0 {
		weight = 1
	}
	ownIndex := -1
	if ownAccount, ok := l.accounts[item.Customer]; ok {
		ownIndex = ownAccount.levelIndex
		ownWork = ownAccount.queuedWork(item.Lane)
		virtualTokens = max(virtualTokens, ownAccount.virtualTokens)
	}
	workPerToken := item.Work / max(item.Cost, 1)
	sum := ownWork
	for i := range l.loads {
		other := &l.loads[i]
		queuedWork := other.queuedWork(item.Lane)
		if queuedWork == 0 || i == ownIndex {
			continue
		}
		lead := max(virtualTokens-other.virtualTokens, 0) * other.weight * workPerToken
		sum += min(queuedWork, lead+(ownWork+item.Work)*other.weight/weight)
	}
	return sum
}

// WorkAheadOf returns the work that would start before a queued job.
func (q *Queue[T]) WorkAheadOf(e *Entry[T]) float64 {
	a := e.account
	workBehind := 0.0
	for k, ln := range a.lanes {
		if e.Lane == Short && Lane(k) == Long {
			continue
		}
		for _, other := range ln.bySortTime.Items() {
			if !other.before(e, other.SortTime, e.SortTime) {
				workBehind += other.Work
			}
		}
	}
	return max(q.WorkAhead(e.Item)-workBehind, 0)
}
