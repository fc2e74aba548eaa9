package admitter

import "time"

const (
	ledgerSize = 16_384           // Answers remembered.
	ledgerTime = 10 * time.Minute // Time for which an answer is remembered.
)

// ended is the final answer to a request.
type ended struct {
	action Action
	at     time.Time
}

// ledger remembers the final answers, so that a repeated or late message gets
// the same one.
type ledger struct {
	answers map[PermitID]ended
	order   []PermitID // From the oldest; starts at first.
	first   int
}

// newLedger returns an empty ledger.
func newLedger() ledger { return ledger{answers: make(map[PermitID]ended)} }

// add notes an answer and drops old ones.
func (l *ledger) add(now time.Time, a Action) {
	if _, ok := l.answers[a.ID]; !ok {
		l.order = append(l.order, a.ID)
	}
	l.answers[a.ID] = ended{action: a, at: now}
	for l.first < len(l.order) && l.stale(now, l.order[l.first]) {
		delete(l.answers, l.order[l.first])
		l.first++
	}
	if l.first > len(l.order)/2 {
		l.order = append(l.order[:0], l.order[l.first:]...)
		l.first = 0
	}
}

// stale reports whether the answer to id, the oldest one, is to be dropped.
func (l *ledger) stale(now time.Time, id PermitID) bool {
	return len(l.order)-l.first > ledgerSize || now.Sub(l.answers[id].at) > ledgerTime
}

// find returns the final answer to id.
func (l *ledger) find(id PermitID) (ended, bool) {
	e, ok := l.answers[id]
	return e, ok
}

// forget drops the answer to id, which lives again.
func (l *ledger) forget(id PermitID) { delete(l.answers, id) }
