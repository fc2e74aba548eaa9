// Package leaser holds the lease of a failure domain.
//
// The lease is one object in the platform, written by conditional updates. Its
// holder trusts only the time left on its own monotonic clock, measured from
// before the last successful write was sent. Others take the lease once they
// have seen it unchanged for its whole duration on their own clocks; no two
// clocks are ever compared. The fencing number of a term is the version of the
// write that began it.
//
// A Leaser does no I/O: events go into Handle and at most one platform call
// comes out, which is answered by exactly one event.
package leaser

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/state/asserter"
)

// ErrBadSettings is wrapped by the errors of Settings.Validate.
var ErrBadSettings = errors.New("bad lease settings")

// TickInterval is the longest time that should pass between two Ticks.
const TickInterval = 500 * time.Millisecond

// Settings are the times of a lease.
type Settings struct {
	Duration     time.Duration // Life of a lease that is not renewed.
	Renew        time.Duration // Between two renewals, or two looks by others.
	Drift        time.Duration // Largest difference of two clocks over Duration.
	OrderTimeout time.Duration // Longest time that an order is under way.
	MaxBackoff   time.Duration

	off mechanisms
}

// mechanisms are parts that tests switch off to show what they are for.
type mechanisms struct {
	fromSend bool // Measure the lease from before the write was sent.
	readBack bool // Read the lease after a lost answer.
	observe  bool // Wait for the whole duration before taking a lease.
}

// DefaultSettings returns the settings of a deployment that sets none.
func DefaultSettings() Settings {
	return Settings{
		Duration:     20 * time.Second,
		Renew:        5 * time.Second,
		Drift:        time.Second,
		OrderTimeout: 5 * time.Second,
		MaxBackoff:   5 * time.Second,
	}
}

// Validate reports whether the settings can work.
func (s Settings) Validate() error {
	switch {
	case s.Renew <= 0 || s.OrderTimeout <= 0 || s.Drift < 0:
		return errors.Wrap(ErrBadSettings, "a time is not positive")
	case s.Duration < 2*s.Renew+s.Drift:
		return errors.Wrap(ErrBadSettings, "the duration does not outlast a lost renewal")
	case s.OrderTimeout >= s.Duration-s.Renew-s.Drift:
		return errors.Wrap(ErrBadSettings, "an order does not fit into a lease that is due for renewal")
	}
	return nil
}

// Leaser contends for one lease and holds it. It is not safe for concurrent
// use.
type Leaser struct {
	cfg  Settings
	self string
	life string
	rand *rand.Rand

	candidate bool
	releasing bool
	waiting   bool // For the answer to a platform call.
	writing   bool // That call is a write.
	sentAt    time.Time
	next      time.Time // No call before this time.
	failures  int

	seq     uint64
	doubts  map[uint64]time.Time // Writes that may have taken effect, and when they were sent.
	seen    ReadResult           // Lease last read or written.
	seenAt  time.Time            // When its version was first seen.
	known   bool
	mustSee bool // Read before the next write.

	term  Term
	fence uint64 // Highest fencing number of a term of this daemon.
}

// New returns a Leaser of the daemon self. Life is unique to this process.
func New(cfg Settings, self, life string, r *rand.Rand) *Leaser {
	return &Leaser{cfg: cfg, self: self, life: life, rand: r, doubts: make(map[uint64]time.Time)}
}

// SetCandidate says whether this daemon should take the lease when it lapses.
// Few daemons of a failure domain should, since each reads the lease. One that
// holds the lease keeps it until Release.
func (l *Leaser) SetCandidate(on bool) { l.candidate = on }

// Release gives the lease up for good. The caller must have had the answers to
// all its orders, and sends no more.
func (l *Leaser) Release() {
	l.releasing = true
	l.candidate = false
	l.next = time.Time{}
}

// Term returns the present term and whether the lease is held at now.
func (l *Leaser) Term(now time.Time) (Term, bool) {
	return l.term, l.term.Fence != 0 && !l.releasing && now.Before(l.term.Until)
}

// Idle reports whether nothing is under way and the lease is not held, so that
// the process may end.
func (l *Leaser) Idle() bool { return !l.waiting && l.term.Fence == 0 }

// Holder returns the daemon that held the lease when it was last seen.
func (l *Leaser) Holder() string { return l.seen.Lease.Holder }

// Fenced takes in that an endpoint has seen a higher fencing number: the lease
// is lost, whatever the clock says.
func (l *Leaser) Fenced() {
	l.lose()
	l.next = time.Time{}
}

// Handle takes in ev at the time now and returns the platform call to make, or
// nil.
func (l *Leaser) Handle(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case ReadResult:
		if !l.waiting || l.writing {
			return nil
		}
		l.waiting = false
		l.onRead(now, ev)
	case WriteResult:
		if !l.waiting || !l.writing {
			return nil
		}
		l.waiting, l.writing = false, false
		l.onWrite(now, ev)
	case Tick:
	}
	return l.act(now)
}

// act chooses the next platform call, if one is due.
func (l *Leaser) act(now time.Time) Action {
	involved := l.candidate || l.term.Fence != 0 || len(l.doubts) > 0
	if l.waiting || now.Before(l.next) || !involved {
		return nil
	}
	if l.mustSee || !l.known {
		return l.read(now)
	}
	switch {
	case l.term.Fence != 0:
		return l.write(now)
	case l.candidate && l.free(now):
		return l.write(now)
	default:
		return l.read(now)
	}
}

// free reports whether the lease may be taken.
func (l *Leaser) free(now time.Time) bool {
	switch {
	case l.seen.Result == ResultNotFound || l.seen.Lease.Holder == "":
		return true
	case l.cfg.off.observe:
		return true
	default:
		return now.Sub(l.seenAt) > l.seen.Lease.Duration+l.cfg.Drift
	}
}

func (l *Leaser) read(now time.Time) Action {
	l.waiting = true
	l.sentAt = now
	return Read{}
}

// write creates, takes, renews or releases the lease.
func (l *Leaser) write(now time.Time) Action {
	l.waiting, l.writing = true, true
	l.sentAt = now
	l.seq++
	lease := Lease{Holder: l.self, Writer: Writer{Life: l.life, Seq: l.seq}, Duration: l.cfg.Duration}
	if l.releasing {
		lease.Holder = ""
	}
	if l.seen.Result == ResultNotFound {
		return Create{Lease: lease}
	}
	return Update{Version: l.seen.Version, Lease: lease}
}

func (l *Leaser) onWrite(now time.Time, res WriteResult) {
	if l.cfg.off.readBack && res.Result == ResultLost {
		res = WriteResult{Result: ResultOK, Version: l.seen.Version + 1}
	}
	switch res.Result {
	case ResultOK:
		l.wrote(now, res.Version, l.sentAt)
	case ResultUnavailable:
		l.later(now)
	case ResultLost:
		l.doubts[l.seq] = l.sentAt
		l.mustSee = true
		l.later(now)
	default:
		l.mustSee = true
		l.next = now
	}
}

// wrote goes on after a write, sent at sent, that took effect as version.
func (l *Leaser) wrote(now time.Time, version uint64, sent time.Time) {
	l.failures = 0
	l.next = now.Add(l.spread(l.cfg.Renew))
	clear(l.doubts) // Older writes cannot take effect on this version.
	clean := l.seen.Result == ResultNotFound || l.seen.Lease.Holder == ""
	l.note(now, ReadResult{Version: version, Lease: Lease{Holder: l.self, Duration: l.cfg.Duration}})
	if l.releasing {
		l.lose()
		l.seen.Lease.Holder = ""
		return
	}
	from := sent
	if l.cfg.off.fromSend {
		from = now
	}
	until := from.Add(l.cfg.Duration - l.cfg.Drift)
	if l.term.Fence != 0 {
		l.term.Until = until
		return
	}
	asserter.That(version > l.fence, asserter.FenceMonotonic, "fencing number of a new term")
	l.fence = version
	l.term = Term{Fence: version, Until: until, Quiet: now}
	if !clean {
		l.term.Quiet = now.Add(l.cfg.OrderTimeout + l.cfg.Drift)
	}
}

// note keeps what is known of the object.
func (l *Leaser) note(now time.Time, res ReadResult) {
	if !l.known || res.Version != l.seen.Version || res.Result != l.seen.Result {
		l.seenAt = now
	}
	l.known = true
	l.mustSee = false
	l.seen = res
}

func (l *Leaser) onRead(now time.Time, res ReadResult) {
	if res.Result != ResultOK && res.Result != ResultNotFound {
		l.later(now)
		return
	}
	l.failures = 0
	l.next = now.Add(l.spread(l.cfg.Renew))
	sent, ours := l.doubts[res.Lease.Writer.Seq]
	ours = ours && res.Result == ResultOK && res.Lease.Writer.Life == l.life
	if ours {
		l.wrote(now, res.Version, sent)
		return
	}
	moved := l.known && (res.Version != l.seen.Version || res.Result != l.seen.Result)
	if moved {
		clear(l.doubts) // They were conditional on an earlier version.
		l.lose()
	}
	l.note(now, res)
	if len(l.doubts) > 0 || (l.candidate && l.free(now)) {
		// A write in doubt is not in effect yet; the next one settles it.
		l.next = now
	}
}

// lose ends the term.
func (l *Leaser) lose() { l.term = Term{} }

// later delays the next call after a failure.
func (l *Leaser) later(now time.Time) {
	l.failures++
	d := l.cfg.MaxBackoff
	if l.failures < 8 {
		d = min(100*time.Millisecond<<l.failures, l.cfg.MaxBackoff)
	}
	l.next = now.Add(l.spread(d))
}

// spread takes up to a quarter off d, so that calls do not come together.
func (l *Leaser) spread(d time.Duration) time.Duration {
	return d - time.Duration(l.rand.Int64N(int64(d)/4+1))
}
