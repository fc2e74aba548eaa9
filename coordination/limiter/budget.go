package limiter

import (
	"math/rand/v2"
	"time"
)

// Urgency is the urgency of a request to an endpoint.
type Urgency int

// Urgencies of requests.
const (
	Normal Urgency = iota
	Urgent         // Continues a generation, which would be lost otherwise; may use the requests of the next moments.
	Sent           // Was sent before its daemon knew the limit; is counted, not decided.
)

// urgencies is the number of urgencies.
const urgencies = int(Sent) + 1

// Ask is the request of a daemon to send one request to an endpoint.
type Ask struct {
	Daemon  string
	Urgency Urgency
}

// Decision is the answer to an Ask.
type Decision struct {
	Granted    bool
	RetryAfter time.Duration // Time after which the daemon may ask again, unless Granted.
}

// Parameters of a budget.
const (
	minRate      = 0.1                    // Requests per second that are granted at least, since only responses tell when a limit ends.
	burstTime    = 500 * time.Millisecond // Unused requests of this time are kept.
	debtTime     = 2 * time.Second        // Requests that were sent without being granted delay others by at most this time.
	asksPerGrant = 2.5                    // Asks of all daemons for each request that is granted; enough to use nearly all of the limit.
	askerTimeout = 10 * time.Second       // A daemon whose ask was denied counts as asking for this time.
	maxDenial    = 10 * time.Second
	minDenial    = 10 * time.Millisecond
)

// budget grants requests to one endpoint at a rate, as a token bucket. The zero value
// is a budget that has granted nothing yet.
type budget struct {
	tokens    float64
	updatedAt time.Time
	askers    map[string]time.Time // When an ask of each daemon was last denied.
}

// decide decides about a request at the rate that the endpoint names, in requests per
// second, of which this daemon grants a share.
func (b *budget) decide(a Ask, limit, share float64, r *rand.Rand, now time.Time) Decision {
	rate := max(limit, minRate) * share
	burst := max(1+share, rate*burstTime.Seconds())
	b.refill(rate, burst, share, r, now)
	if a.Urgency == Sent {
		b.tokens = min(b.tokens, max(b.tokens-1, -rate*debtTime.Seconds()))
		return Decision{Granted: true}
	}
	lowest := 1.0
	if a.Urgency == Urgent {
		lowest -= burst
	}
	if b.tokens >= lowest {
		b.tokens--
		delete(b.askers, a.Daemon)
		return Decision{Granted: true}
	}
	return Decision{RetryAfter: b.deny(a, rate, (lowest-b.tokens)/rate, asksPerGrant, r, now)}
}

// refill adds the tokens since the last call. A budget of all daemons begins empty,
// since another daemon may have granted requests until now. The budgets of parts of
// a partitioned network begin at random levels, since a part with few daemons grants
// a request rarely, and the parts would otherwise all do so at the same time.
func (b *budget) refill(rate, burst, share float64, r *rand.Rand, now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
		if share < 1 {
			b.tokens = r.Float64()
		}
	}
	b.tokens = min(b.tokens+rate*max(now.Sub(b.updatedAt).Seconds(), 0), burst)
	b.updatedAt = now
}

// deny returns the time after which a daemon should ask again, in seconds wait at
// least. It grows with the number of daemons that ask, so that they ask about
// perGrant times for each request that is granted.
func (b *budget) deny(a Ask, rate, wait, perGrant float64, r *rand.Rand, now time.Time) time.Duration {
	if b.askers == nil {
		b.askers = map[string]time.Time{}
	}
	b.askers[a.Daemon] = now
	for name, at := range b.askers {
		if now.Sub(at) > askerTimeout {
			delete(b.askers, name)
		}
	}
	spread := 2 * float64(len(b.askers)) / (perGrant * rate)
	seconds := min(wait+spread*r.Float64(), maxDenial.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minDenial)
}
