// Package follower decides when a daemon asks the store for an object that all daemons
// follow, and how old its knowledge of it is.
//
// A few daemons watch the store by long polls; the others get changes from them. Any answer
// may be lost while its connection stays open, so that silence of a watch proves nothing.
// Two of the watchers therefore keep their polls short, and a daemon without a recent proof
// that its value is the newest asks the store itself. An answer of the store is such a
// proof, and so is that of a peer that has the same value and a proof of its own.
//
// A Follower does no I/O, so that the same code runs in the daemon and in tests on virtual
// time.
package follower

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Number of daemons that watch the store, and of these those whose polls are short.
const (
	Watchers      = 4
	ShortWatchers = 2 // Either may be lost with its answer.
)

// Config holds the times that depend on how soon changes must be known. None of them depends on the number of
// daemons, since the time limit for changes does not.
type Config struct {
	ShortPoll  time.Duration // An answer that is lost is noticed after this time and AnswerTimeout.
	RenewAfter time.Duration // Age of the latest proof after which a daemon asks its peers for one.
	AskAfter   time.Duration // Age of the latest proof after which a daemon asks the store itself. It bounds the time until a change is known if all watchers lose the store.
	StaleAfter time.Duration // Age of the latest proof after which other daemons should not rely on this one.
}

// Usual is for changes that every daemon must know within 2 s.
var Usual = Config{ShortPoll: ShortPoll, RenewAfter: 600 * time.Millisecond, AskAfter: 1400 * time.Millisecond, StaleAfter: staleAfter}

// Slow is for changes that every daemon must know within 5 s. It makes less than half as many calls.
// The bound after the loss of the answers to all pending calls and of one more message: 2.3 s until
// the poll is given up, 0.35 s for the next call, 1.7 s for the next sync with a peer.
var Slow = Config{ShortPoll: 2 * time.Second, RenewAfter: 2 * time.Second, AskAfter: 3500 * time.Millisecond, StaleAfter: 3500 * time.Millisecond}

// Time limits of the calls to the store.
const (
	ShortPoll     = 800 * time.Millisecond // As in Config, of Usual.
	LongPoll      = 20 * time.Second       // The store allows up to 30 s.
	AnswerTimeout = 300 * time.Millisecond // Of a read; of a poll beyond its duration.
	maxAnswerTime = time.Second            // Of AnswerTimeout, which grows while the store is slow.
)

// Delays between calls.
const (
	backoffBase    = 100 * time.Millisecond
	backoffLimit   = 800 * time.Millisecond  // Short enough to notice a recovered store well within the time limit for changes.
	peerPause      = 100 * time.Millisecond  // Limit of the backoff for each peer, of daemons that do not usually watch, so that an outage ends without a rush.
	maxRetryAfter  = 2 * time.Second         // Of the time that a refusal of the store names.
	lostAfter      = 2                       // Failed calls in a row after which other daemons take this one's place.
	roleInterval   = 100 * time.Millisecond  // Between checks of whether to watch.
	staleAfter     = 2500 * time.Millisecond // As in Config, of Usual.
	maxBehind      = 500 * time.Millisecond  // A fetch from a peer that is given up, and the next one.
	overtakenAfter = 300 * time.Millisecond  // By which a poll may report a change later than a peer.
)

// View is what a Follower has to know of its daemon at a moment.
type View struct {
	Known     bool          // The daemon has a value.
	Preceding int           // Reachable daemons that come before this one as watchers.
	Lost      int           // Of these, those that get no answers from the store.
	Peers     int           // Reachable daemons.
	Behind    time.Duration // For how long a peer has had a newer value; zero if none has.
}

// Step is what a daemon has to do next.
type Step struct {
	Delay   time.Duration // If positive, the time until Next should be called again; there is nothing else to do then.
	Wait    time.Duration // Duration of the long poll.
	Timeout time.Duration // After which the call has failed.
	Batched bool          // The poll is one of the long ones, whose changes other daemons report at once.
}

// Follower decides for one object. It is safe for concurrent use. Use New to make one.
type Follower struct {
	cfg         Config
	mu          sync.Mutex
	rand        *rand.Rand
	confirmedAt time.Time // Latest time at which the value was known to be the newest; zero for never.
	failures    int       // In a row.
	retryAt     time.Time
	startedAt   time.Time // Of the call that is pending; zero if none is.
	wait        time.Duration
	overtakenAt time.Time // When a newer value came from elsewhere during the call; zero if none has.
}

// New returns a Follower that knows nothing. It takes ownership of r.
func New(r *rand.Rand) *Follower { return NewWith(Usual, r) }

// NewWith is like New with other times than the usual ones.
func NewWith(cfg Config, r *rand.Rand) *Follower { return &Follower{cfg: cfg, rand: r} }

// Next returns what to do now. Unless it returns a delay, a call begins, whose end the caller
// must report by Answered or Failed.
func (f *Follower) Next(v View, now time.Time) Step {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.watches(v, now) {
		return Step{Delay: roleInterval}
	}
	if d := f.retryAt.Sub(now); d > 0 {
		return Step{Delay: d}
	}
	s := Step{Wait: f.cfg.ShortPoll}
	if ahead := v.Preceding - v.Lost; ahead >= ShortWatchers && ahead < Watchers && f.current(v, now) {
		s.Wait, s.Batched = LongPoll, true
	}
	s.Timeout = s.Wait + f.answerTimeout()
	f.startedAt, f.wait, f.overtakenAt = now, s.Wait, time.Time{}
	return s
}

// watches reports whether the daemon has to ask the store. The mutex is held.
func (f *Follower) watches(v View, now time.Time) bool {
	return v.Preceding-v.Lost < Watchers || !f.current(v, now)
}

// current reports whether the daemon may rely on its peers. The mutex is held.
func (f *Follower) current(v View, now time.Time) bool {
	return v.Known && v.Behind <= maxBehind && !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) <= f.cfg.AskAfter
}

// answerTimeout returns the time limit of a read. The mutex is held.
func (f *Follower) answerTimeout() time.Duration {
	return min(AnswerTimeout<<min(f.failures, 8), maxAnswerTime)
}

// ReadTimeout returns the time limit of a call that is not a long poll.
func (f *Follower) ReadTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answerTimeout()
}

// GiveUp reports whether the daemon should no longer wait for the call that is pending: it is
// a long poll, and something shows that its answer may be lost.
func (f *Follower) GiveUp(v View, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.startedAt.IsZero() || f.wait <= f.cfg.ShortPoll || now.Sub(f.startedAt) < f.cfg.ShortPoll+AnswerTimeout {
		return false
	}
	overtaken := !f.overtakenAt.IsZero() && now.Sub(f.overtakenAt) > overtakenAfter
	return overtaken || v.Preceding-v.Lost < ShortWatchers || !f.current(v, now)
}

// Answered records the answer to the call that is pending, and whether it had a change. It
// reports whether earlier calls had failed.
func (f *Follower) Answered(changed bool, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.startedAt
	if end := at.Add(f.wait); !changed && !now.Before(end) {
		at = end // The store has waited for a change until then. One that answers sooner may have had a change of another object to report.
	}
	f.confirm(at)
	regained := f.failures > 0
	f.failures, f.retryAt, f.startedAt = 0, time.Time{}, time.Time{}
	return regained
}

// Failed records that the call that is pending failed. The store may have named a time after
// which it wants the next one; zero if it has not.
func (f *Follower) Failed(v View, retryAfter time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := backoffLimit
	if v.Preceding >= Watchers {
		limit = max(limit, time.Duration(v.Peers)*peerPause)
	}
	f.failures++
	delay := backoff(f.failures, retryAfter, limit, f.rand.Float64)
	f.retryAt = now.Add(delay)
	if retryAfter == 0 && limit == backoffLimit {
		f.retryAt = f.startedAt.Add(delay) // The time for which the call was pending counts.
	}
	f.startedAt = time.Time{}
}

// GivenUp records that the daemon no longer waits for the call that is pending.
func (f *Follower) GivenUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startedAt = time.Time{}
}

// Backoff returns the delay before the next call to the store after a number of failures in a
// row. The store may have named a time after which it wants the next call; zero if it has not.
func Backoff(failures int, retryAfter time.Duration, random func() float64) time.Duration {
	return backoff(failures, retryAfter, backoffLimit, random)
}

func backoff(failures int, retryAfter, limit time.Duration, random func() float64) time.Duration {
	jitter := func(d time.Duration) time.Duration { return time.Duration((0.5 + 0.5*random()) * float64(d)) }
	delay := jitter(min(backoffBase<<min(failures, 8), limit))
	if retryAfter > 0 { // All daemons may have been refused; jitter spreads them.
		delay = max(delay, min(retryAfter, maxRetryAfter)+jitter(backoffBase))
	}
	return delay
}

// Confirm records that the value of this daemon was the newest at a time, according to a peer.
func (f *Follower) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirm(at)
}

func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// Overtake records that a newer value came from a peer.
func (f *Follower) Overtake(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.overtakenAt.IsZero() {
		f.overtakenAt = now
	}
}

// Age returns the time since the value was last known to be the newest. It returns false if it
// never was.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(now.Sub(f.confirmedAt), 0), !f.confirmedAt.IsZero()
}

// NeedsProof reports whether the daemon should sync with its peers although they sync with it: only
// the reply to a sync of its own is known to be recent.
func (f *Follower) NeedsProof(now time.Time) bool {
	age, ok := f.Age(now)
	return !ok || age > f.cfg.RenewAfter
}

// Lost reports whether the store does not answer this daemon.
func (f *Follower) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures >= lostAfter
}

// Fresh reports whether the value is kept current by calls of this daemon that are answered,
// or by peers, so that others may rely on it.
func (f *Follower) Fresh(now time.Time) bool {
	age, ok := f.Age(now)
	return ok && age <= f.cfg.StaleAfter && !f.Lost()
}
