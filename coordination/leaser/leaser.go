// Package leaser acquires, renews and releases the lease of a failure domain. Only
// the holder of the lease sends orders, which are commands to the endpoints of the
// domain that carry the fencing token of the holder's term.
//
// The lease is one object in the platform, written by conditional updates. The
// holder relies on its own monotonic clock only, and measures the duration of
// the lease from before it sent the last successful write. Another daemon takes
// over the lease once it has seen it unchanged for its full duration on its own
// clock; times of two clocks are never compared. The fencing token of a term is
// the object version that the first write of the term produced.
//
// A Leaser is a state machine without I/O: Handle takes an event and returns at
// most one platform call, which is answered by exactly one event.
package leaser

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/state/asserter"
)

// ErrBadSettings is wrapped by the errors of Settings.Validate.
var ErrBadSettings = errors.New("invalid lease settings")

// TickInterval is the longest time between two Ticks.
const TickInterval = 500 * time.Millisecond

// Settings are the durations that a Leaser uses.
type Settings struct {
	Duration      time.Duration // Time after which a lease that is not renewed expires.
	RenewInterval time.Duration // Longest time between renewals, or between reads by other candidates.
	MaxDrift      time.Duration // Largest difference between two clocks over Duration.
	OrderTimeout  time.Duration // Longest time for which an order is in flight.
	MaxBackoff    time.Duration // Longest delay after a failed call.

	disabled mechanisms
}

// mechanisms selects mechanisms that tests disable, to show that each is needed.
type mechanisms struct {
	measureFromSend    bool // Measure the lease from before the write was sent.
	readAfterLostWrite bool // Read the lease after a write whose response was lost.
	awaitExpiry        bool // Wait for the full duration before taking over a lease.
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Duration:      20 * time.Second,
		RenewInterval: 5 * time.Second,
		MaxDrift:      time.Second,
		OrderTimeout:  5 * time.Second,
		MaxBackoff:    5 * time.Second,
	}
}

// Validate returns an error that wraps ErrBadSettings if the settings are
// inconsistent.
func (s Settings) Validate() error {
	switch {
	case s.RenewInterval <= 0 || s.OrderTimeout <= 0 || s.MaxDrift < 0:
		return errors.Wrap(ErrBadSettings, "the renewal interval and the order timeout must be positive, and the clock drift must not be negative")
	case s.Duration < 2*s.RenewInterval+s.MaxDrift:
		return errors.Wrap(ErrBadSettings, "the duration must be at least two renewal intervals and the clock drift, so that the lease survives a lost renewal")
	case s.OrderTimeout >= s.Duration-s.RenewInterval-s.MaxDrift:
		return errors.Wrap(ErrBadSettings, "the order timeout must be below the time that a lease has left when its renewal is due")
	}
	return nil
}

// Leaser contends for one lease and holds it. It is not safe for concurrent
// use.
type Leaser struct {
	cfg         Settings
	daemon      string
	incarnation string
	rand        *rand.Rand

	candidate      bool
	releasing      bool
	awaitingResult bool // A platform call is outstanding.
	writePending   bool // The outstanding call is a write.
	sentAt         time.Time
	nextCall       time.Time // Time before which no call is made.
	failures       int

	seq       uint64
	uncertain map[uint64]time.Time // Writes without a response, which may have taken effect, and when they were sent.
	lastSeen  ReadResult           // Lease as last read or written.
	seenAt    time.Time            // When the version of lastSeen was first seen.
	hasSeen   bool
	mustRead  bool // Whether to read before the next write.

	term         Term
	highestToken uint64 // Highest fencing token of a term of this Leaser.
}

// New returns a Leaser for a daemon. The incarnation must be unique to the process.
func New(cfg Settings, daemon, incarnation string, r *rand.Rand) *Leaser {
	return &Leaser{cfg: cfg, daemon: daemon, incarnation: incarnation, rand: r, uncertain: make(map[uint64]time.Time)}
}

// SetCandidate sets whether this daemon takes over the lease when it expires. Few
// daemons of a failure domain should be candidates, since each reads the lease
// periodically. A holder keeps the lease until Release in either case.
func (l *Leaser) SetCandidate(on bool) { l.candidate = on }

// Release gives up the lease permanently. No order of the caller may still arrive, and it
// must send no more. The lease is released only once no order of an earlier holder can
// arrive either, since the next holder of a released lease sends orders at once.
func (l *Leaser) Release() {
	l.releasing = true
	l.candidate = false
	l.nextCall = time.Time{}
}

// Term returns the current term and whether the lease is held at now.
func (l *Leaser) Term(now time.Time) (Term, bool) {
	return l.term, l.term.FencingToken != 0 && !l.releasing && now.Before(l.term.Until)
}

// Idle reports whether no call is outstanding and the lease is not held, so that
// the process may exit.
func (l *Leaser) Idle() bool { return !l.awaitingResult && l.term.FencingToken == 0 }

// Holder returns the daemon that held the lease when it was last read or written.
func (l *Leaser) Holder() string { return l.lastSeen.Lease.Holder }

// ObserveHigherToken ends the term because an endpoint has seen a higher fencing
// token: the lease is lost even if it has not expired on this daemon's clock.
func (l *Leaser) ObserveHigherToken() {
	l.endTerm()
	l.nextCall = time.Time{}
}

// Handle processes an event that happened at now and returns the platform call to
// make, or nil.
func (l *Leaser) Handle(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case ReadResult:
		if !l.awaitingResult || l.writePending {
			return nil
		}
		l.awaitingResult = false
		l.onRead(now, ev)
	case WriteResult:
		if !l.awaitingResult || !l.writePending {
			return nil
		}
		l.awaitingResult, l.writePending = false, false
		l.onWrite(now, ev)
	case Tick:
	}
	return l.nextAction(now)
}

// nextAction returns the next platform call, or nil if none is due.
func (l *Leaser) nextAction(now time.Time) Action {
	active := l.candidate || l.term.FencingToken != 0 || len(l.uncertain) > 0
	if l.awaitingResult || now.Before(l.nextCall) || !active {
		return nil
	}
	if l.mustRead || !l.hasSeen {
		return l.read(now)
	}
	switch {
	case l.releasing && now.Before(l.term.SafeFrom):
		return nil
	case l.term.FencingToken != 0:
		return l.write(now)
	case l.candidate && l.mayTakeOver(now):
		return l.write(now)
	default:
		return l.read(now)
	}
}

// mayTakeOver reports whether the lease may be taken over: it was released or has
// been unchanged for its duration.
func (l *Leaser) mayTakeOver(now time.Time) bool {
	switch {
	case l.lastSeen.Result == ResultNotFound || l.lastSeen.Lease.Holder == "":
		return true
	case l.cfg.disabled.awaitExpiry:
		return true
	default:
		return now.Sub(l.seenAt) > l.lastSeen.Lease.Duration+l.cfg.MaxDrift
	}
}

func (l *Leaser) read(now time.Time) Action {
	l.awaitingResult = true
	l.sentAt = now
	return Read{}
}

// write returns the call that creates, takes over, renews or releases the lease.
func (l *Leaser) write(now time.Time) Action {
	l.awaitingResult, l.writePending = true, true
	l.sentAt = now
	l.seq++
	lease := Lease{Holder: l.daemon, Writer: Writer{Life: l.incarnation, Seq: l.seq}, Duration: l.cfg.Duration}
	if l.releasing {
		lease.Holder = ""
	}
	if l.lastSeen.Result == ResultNotFound {
		return Create{Lease: lease}
	}
	return Update{Version: l.lastSeen.Version, Lease: lease}
}

// onWrite processes the result of a write. After a conflict or a lost response
// the lease is read before the next write.
func (l *Leaser) onWrite(now time.Time, res WriteResult) {
	if l.cfg.disabled.readAfterLostWrite && res.Result == ResultUnknown {
		res = WriteResult{Result: ResultOK, Version: l.lastSeen.Version + 1}
	}
	switch res.Result {
	case ResultOK:
		l.writeSucceeded(now, res.Version, l.sentAt)
	case ResultUnavailable:
		l.backOff(now)
	case ResultUnknown:
		l.uncertain[l.seq] = l.sentAt
		l.mustRead = true
		l.backOff(now)
	default:
		l.mustRead = true
		l.nextCall = now
	}
}

// writeSucceeded processes a write, sent at sent, that took effect and produced
// version. It begins or extends the term, or ends it on release.
func (l *Leaser) writeSucceeded(now time.Time, version uint64, sent time.Time) {
	l.failures = 0
	l.nextCall = now.Add(l.jitter(l.cfg.RenewInterval))
	clear(l.uncertain) // Earlier writes are conditional on an older version.
	released := l.lastSeen.Result == ResultNotFound || l.lastSeen.Lease.Holder == ""
	l.record(now, ReadResult{Version: version, Lease: Lease{Holder: l.daemon, Duration: l.cfg.Duration}})
	if l.releasing {
		l.endTerm()
		l.lastSeen.Lease.Holder = ""
		return
	}
	start := sent
	if l.cfg.disabled.measureFromSend {
		start = now
	}
	until := start.Add(l.cfg.Duration - l.cfg.MaxDrift)
	if l.term.FencingToken != 0 {
		l.term.Until = until
		return
	}
	asserter.That(version > l.highestToken, asserter.FenceMonotonic, "the fencing token of a new term does not exceed that of the previous term")
	l.highestToken = version
	l.term = Term{FencingToken: version, Until: until, SafeFrom: now}
	if !released {
		l.term.SafeFrom = now.Add(l.cfg.OrderTimeout + l.cfg.MaxDrift)
	}
}

// record stores res as the last known state of the object.
func (l *Leaser) record(now time.Time, res ReadResult) {
	if !l.hasSeen || res.Version != l.lastSeen.Version || res.Result != l.lastSeen.Result {
		l.seenAt = now
	}
	l.hasSeen = true
	l.mustRead = false
	l.lastSeen = res
}

// onRead processes the result of a read. If it shows a write of this process that
// had no response, that write has taken effect. Any other change ends the term.
func (l *Leaser) onRead(now time.Time, res ReadResult) {
	if res.Result != ResultOK && res.Result != ResultNotFound {
		l.backOff(now)
		return
	}
	l.failures = 0
	l.nextCall = now.Add(l.jitter(l.cfg.RenewInterval))
	sent, ours := l.uncertain[res.Lease.Writer.Seq]
	ours = ours && res.Result == ResultOK && res.Lease.Writer.Life == l.incarnation
	if ours {
		l.writeSucceeded(now, res.Version, sent)
		return
	}
	changed := l.hasSeen && (res.Version != l.lastSeen.Version || res.Result != l.lastSeen.Result)
	if changed {
		clear(l.uncertain) // These writes are conditional on an earlier version.
		l.endTerm()
	}
	l.record(now, res)
	if len(l.uncertain) > 0 || (l.candidate && l.mayTakeOver(now)) {
		// A write without a response has not taken effect yet. The next write makes
		// the outcome certain, because at most one of them can succeed.
		l.nextCall = now
	}
}

// endTerm ends the term.
func (l *Leaser) endTerm() { l.term = Term{} }

// backOff delays the next call after a failure, exponentially up to MaxBackoff.
func (l *Leaser) backOff(now time.Time) {
	l.failures++
	d := l.cfg.MaxBackoff
	if l.failures < 8 {
		d = min(100*time.Millisecond<<l.failures, l.cfg.MaxBackoff)
	}
	l.nextCall = now.Add(l.jitter(d))
}

// jitter returns a random duration between three quarters of d and d, so that
// daemons do not make their calls at the same time.
func (l *Leaser) jitter(d time.Duration) time.Duration {
	return d - time.Duration(l.rand.Int64N(int64(d)/4+1))
}
