package limiter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"monsoonspar.example/state/registrar"
)

// A hard bound on the requests to an endpoint in any second can't be kept by the shares of
// Members.Share: sixty daemons that are all cut off from each other have saved up one request
// each, which is sixty at once. Such an endpoint has a few quotas instead. Each quota belongs
// to one daemon, chosen by rendezvous hashing among all daemons of the list, whether they are
// reachable or not, and nobody else grants from it. The bound therefore holds whichever
// daemons reach each other, and a quota whose daemon has failed is not used.

// Bound bounds the requests that one endpoint gets from all daemons.
type Bound struct {
	Rate float64 // Requests per second that are granted over longer times.
	Most float64 // Requests within any second.
}

// Parameters of quotas.
const (
	maxQuotas         = 4   // Quotas of one endpoint. More would leave each of them less than a request per second at common rates, fewer would be lost with few daemons.
	spareQuotas       = 1   // Daemons that may use a quota too, since lists of daemons differ for some seconds after a daemon has started.
	quotaWindow       = 1.2 // Seconds in which requests may be granted that arrive within one second: requests are delayed differently.
	quotaMargin       = 0.01
	quotaAsksPerGrant = 5    // Like asksPerGrant. A quota saves up one request only, so later asks would leave more of it unused.
	minQuotaRate      = 0.02 // Requests per second of a quota, so that a denial names a time.
)

// QuotaCount returns the largest number of daemons that may hold quotas within the bound.
func (b Bound) QuotaCount() int { return max(min(int(b.Most)-spareQuotas, maxQuotas), 1) }

// quota returns the rate of each of n quotas in requests per second, and the number of
// requests by which urgent ones may overdraw it. A quota grants at most
// 1 + overdraft + rate*quotaWindow requests, rounded down, within quotaWindow.
func (b Bound) quota(n int) (rate, overdraft float64) {
	most := max(float64(int(b.Most/float64(n+spareQuotas))), 1)
	rate = max(min(b.Rate/float64(n), (most-quotaMargin)/quotaWindow), minQuotaRate)
	return rate, min(max(most-quotaMargin-rate*quotaWindow, 0), 1)
}

// Quotas holds the quotas of one daemon, and what other daemons have denied it. It is safe for
// concurrent use. Use NewQuotas to make one.
type Quotas struct {
	lastDenial atomic.Int64 // Unix nanoseconds at which the last denial ends.

	mu      sync.Mutex
	rand    *rand.Rand
	budgets map[registrar.Identity]*budget
	denied  map[registrar.Identity][urgencies]time.Time // Until when this daemon should not ask, for each urgency.
}

// NewQuotas returns the quotas of a daemon that has granted nothing yet.
func NewQuotas(r *rand.Rand) *Quotas {
	return &Quotas{rand: r, budgets: map[registrar.Identity]*budget{}, denied: map[registrar.Identity][urgencies]time.Time{}}
}

// Grant decides about a request to an endpoint from this daemon's quota, one of n.
func (q *Quotas) Grant(id registrar.Identity, a Ask, bound Bound, n int, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.budgets[id]
	if b == nil {
		b = &budget{}
		q.budgets[id] = b
	}
	rate, overdraft := bound.quota(n)
	b.refill(rate, 1, 1, q.rand, now)
	if a.Urgency == Sent {
		b.tokens = min(b.tokens, max(b.tokens-1, -rate*debtTime.Seconds()))
		return Decision{Granted: true}
	}
	lowest := 1.0
	if a.Urgency == Urgent {
		lowest -= overdraft
	}
	if b.tokens >= lowest {
		b.tokens--
		delete(b.askers, a.Daemon)
		return Decision{Granted: true}
	}
	return Decision{RetryAfter: b.deny(a, rate, (lowest-b.tokens)/rate, quotaAsksPerGrant, q.rand, now)}
}

// Deny records that a request was denied, so that this daemon does not ask again before
// retryAfter has passed.
func (q *Quotas) Deny(id registrar.Identity, u Urgency, retryAfter time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.denied[id]
	d[u] = now.Add(retryAfter)
	q.denied[id] = d
	q.lastDenial.Store(max(q.lastDenial.Load(), d[u].UnixNano()))
}

// DeniedFor returns the time for which this daemon should not ask for a request to the
// endpoint; zero if it may ask now.
func (q *Quotas) DeniedFor(id registrar.Identity, u Urgency, now time.Time) time.Duration {
	if now.UnixNano() >= q.lastDenial.Load() {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(q.denied[id][u].Sub(now), 0)
}

// Denied returns the endpoints for which this daemon should not ask now.
func (q *Quotas) Denied(u Urgency, now time.Time) []registrar.Identity {
	if now.UnixNano() >= q.lastDenial.Load() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var all []registrar.Identity
	for id, d := range q.denied {
		if d[u].After(now) {
			all = append(all, id)
		}
	}
	return all
}

// Clear ends the denials of an endpoint that is no longer bounded. The quota stays, since the
// endpoint may be bounded again within a second.
func (q *Quotas) Clear(id registrar.Identity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.denied, id)
}

// Retain removes the state of all endpoints that are not present.
func (q *Quotas) Retain(present func(registrar.Identity) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range q.budgets {
		if !present(id) {
			delete(q.budgets, id)
		}
	}
	for id := range q.denied {
		if !present(id) {
			delete(q.denied, id)
		}
	}
}
