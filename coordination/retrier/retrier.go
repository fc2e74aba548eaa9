// Package retrier decides whether a failed attempt may be retried, and after
// which delay. A retry must be safe, must fit the deadline and the number of
// attempts, and takes a token from a budget to which requests add. Delays are
// random and grow exponentially.
//
// The package does no I/O and reads no clock; the random source is an argument.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/state/defaulter"
)

// The reasons for which Retry refuses a retry.
var (
	ErrUnknownOutcome    = errors.New("attempt may have run and is not idempotent")
	ErrAttemptsExhausted = errors.New("maximum number of attempts reached")
	ErrDeadlineExceeded  = errors.New("next attempt would exceed the deadline")
	ErrBudgetExhausted   = errors.New("retry budget exhausted")
)

// Outcome is what is known about the execution of a failed attempt.
type Outcome uint8

// The outcomes of a failed attempt. The zero value is the conservative one.
const (
	Unknown Outcome = iota // It may have run.
	NotRun                 // It is proven that it did not run.
)

// Attempt describes a failed attempt.
type Attempt struct {
	Number      int // 1 for the first.
	Outcome     Outcome
	Idempotent  bool
	Deadline    time.Time     // Zero if there is none.
	MinDuration time.Duration // Minimum duration of another attempt.
	RetryAfter  time.Duration // Minimum delay that the endpoint requested, if any.
}

// Config sets the limits of a Retrier. Zero fields take the defaults.
type Config struct {
	Ratio       float64       // Long-term retries per request; 0.1 by default.
	Burst       float64       // Capacity of the retry budget; 10 by default.
	MaxAttempts int           // Maximum attempts of one request; 3 by default.
	BaseDelay   time.Duration // Upper bound of the first backoff; 10 ms by default.
	MaxDelay    time.Duration // Upper bound of any backoff, but not of Attempt.RetryAfter; 1 s by default.
}

// Retrier holds a retry budget: a token bucket to which each request adds Ratio
// tokens and from which each retry takes one. It is safe for concurrent use.
type Retrier struct {
	cfg Config

	mu     sync.Mutex
	tokens float64
}

// New returns a Retrier with a full budget.
func New(cfg Config) *Retrier {
	defaulter.Set(&cfg.Ratio, 0.1)
	defaulter.Set(&cfg.Burst, 10)
	defaulter.Set(&cfg.MaxAttempts, 3)
	defaulter.Set(&cfg.BaseDelay, 10*time.Millisecond)
	defaulter.Set(&cfg.MaxDelay, time.Second)
	return &Retrier{cfg: cfg, tokens: cfg.Burst}
}

// RecordRequest records a new request, which adds to the budget.
func (r *Retrier) RecordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.cfg.Burst, r.tokens+r.cfg.Ratio)
}

// Retry returns the delay after which the attempt may be retried, and takes one
// token from the budget. If the attempt may not be retried, it returns the
// reason.
func (r *Retrier) Retry(a Attempt, rnd *rand.Rand, now time.Time) (time.Duration, error) {
	if a.Outcome != NotRun && !a.Idempotent {
		return 0, errors.WithStack(ErrUnknownOutcome)
	}
	if a.Number >= r.cfg.MaxAttempts {
		return 0, errors.WithStack(ErrAttemptsExhausted)
	}
	delay := max(a.RetryAfter, r.backoff(a.Number, rnd))
	if !a.Deadline.IsZero() && !now.Add(delay+a.MinDuration).Before(a.Deadline) {
		return 0, errors.WithStack(ErrDeadlineExceeded)
	}
	if !r.takeToken() {
		return 0, errors.WithStack(ErrBudgetExhausted)
	}
	return delay, nil
}

// backoff returns a delay drawn uniformly from zero to a bound that doubles
// with each attempt.
func (r *Retrier) backoff(attempt int, rnd *rand.Rand) time.Duration {
	bound := r.cfg.BaseDelay << min(max(attempt-1, 0), 16)
	bound = min(bound, r.cfg.MaxDelay)
	return time.Duration(rnd.Int64N(int64(bound) + 1))
}

func (r *Retrier) takeToken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
