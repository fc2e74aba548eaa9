package admitter

import "time"

const (
	maxFinalAnswers      = 16_384           // Number of answers kept.
	finalAnswerRetention = 10 * time.Minute // Time for which an answer is kept.
)

// finalAnswer is the last answer to a request that is neither queued nor running.
type finalAnswer struct {
	action Action
	at     time.Time
}

// answerCache keeps final answers, so that a repeated or delayed message gets
// the same answer.
type answerCache struct {
	answers map[PermitID]finalAnswer
	order   []PermitID // From the oldest to the newest; entries before index oldest are dropped.
	oldest  int
}

// newAnswerCache returns an empty answerCache.
func newAnswerCache() answerCache { return answerCache{answers: make(map[PermitID]finalAnswer)} }

// add stores an answer and evicts expired ones.
func (c *answerCache) add(now time.Time, a Action) {
	if _, ok := c.answers[a.ID]; !ok {
		c.order = append(c.order, a.ID)
	}
	c.answers[a.ID] = finalAnswer{action: a, at: now}
	for c.oldest < len(c.order) && c.expired(now, c.order[c.oldest]) {
		delete(c.answers, c.order[c.oldest])
		c.oldest++
	}
	if c.oldest > len(c.order)/2 {
		c.order = append(c.order[:0], c.order[c.oldest:]...)
		c.oldest = 0
	}
}

// expired reports whether the answer to id, which must be the oldest, is to be
// evicted by age or number.
func (c *answerCache) expired(now time.Time, id PermitID) bool {
	return len(c.order)-c.oldest > maxFinalAnswers || now.Sub(c.answers[id].at) > finalAnswerRetention
}

// get returns the final answer to id.
func (c *answerCache) get(id PermitID) (finalAnswer, bool) {
	answer, ok := c.answers[id]
	return answer, ok
}

// remove deletes the answer to id, whose permit has become active again.
func (c *answerCache) remove(id PermitID) { delete(c.answers, id) }
