// Package retrier decides whether and when a failed attempt is made again.
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

// The reasons not to retry.
var (
	ErrUnknownOutcome = errors.New("the attempt may have run and is not idempotent")
	ErrAttempts       = errors.New("no attempt left")
	ErrDeadline       = errors.New("the deadline would be passed")
	ErrBudget         = errors.New("the retry budget is spent")
)

// Outcome is what is known of a failed attempt.
type Outcome uint8

// The outcomes of a failed attempt. The zero value is the cautious one.
const (
	Unknown Outcome = iota // It may have run.
	NotRun                 // It is proven that it did not run.
)

// Attempt describes the attempt that has failed.
type Attempt struct {
	Number     int // 1 for the first.
	Outcome    Outcome
	Idempotent bool
	Deadline   time.Time     // Zero means none.
	Needs      time.Duration // Least time that another attempt takes.
	RetryAfter time.Duration // Wait that the endpoint asked for, if any.
}

// Config sets the limits of a Retrier. Zero fields take the defaults.
type Config struct {
	Ratio       float64       // Retries per request over time; 0.1 by default.
	Burst       float64       // Retries that may be saved up; 10 by default.
	MaxAttempts int           // Attempts of one request; 3 by default.
	BaseDelay   time.Duration // Upper bound of the first delay; 10 ms by default.
	MaxDelay    time.Duration // Upper bound of any delay; 1 s by default.
}

// Retrier holds the retry budget of a daemon: a bucket that each request fills
// by Ratio tokens and each retry empties by one. It is safe for concurrent use.
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

// Request counts a new request towards the budget.
func (r *Retrier) Request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.cfg.Burst, r.tokens+r.cfg.Ratio)
}

// Retry returns the delay after which the attempt may be repeated, and takes
// one token of the budget. Otherwise it returns the reason.
func (r *Retrier) Retry(a Attempt, rnd *rand.Rand, now time.Time) (time.Duration, error) {
	if a.Outcome != NotRun && !a.Idempotent {
		return 0, errors.WithStack(ErrUnknownOutcome)
	}
	if a.Number >= r.cfg.MaxAttempts {
		return 0, errors.WithStack(ErrAttempts)
	}
	delay := max(a.RetryAfter, r.backoff(a.Number, rnd))
	if !a.Deadline.IsZero() && !now.Add(delay+a.Needs).Before(a.Deadline) {
		return 0, errors.WithStack(ErrDeadline)
	}
	if !r.take() {
		return 0, errors.WithStack(ErrBudget)
	}
	return delay, nil
}

// backoff returns a delay spread evenly up to a bound that doubles with each
// attempt.
func (r *Retrier) backoff(attempt int, rnd *rand.Rand) time.Duration {
	bound := r.cfg.BaseDelay << min(max(attempt-1, 0), 16)
	bound = min(bound, r.cfg.MaxDelay)
	return time.Duration(rnd.Int64N(int64(bound) + 1))
}

func (r *Retrier) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
