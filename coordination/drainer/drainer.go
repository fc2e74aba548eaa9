// Package drainer decides how a daemon stops without cutting off a request, and
// how an endpoint that is leaving is let go.
//
// On the first signal a daemon stops being ready, hands over what it owns, and
// goes on accepting through the balancer's lag and until arrivals have ended.
// It then waits for the last answer, says goodbye and exits. Later signals
// change nothing; only a kill cuts streams.
package drainer

import (
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/state/asserter"
)

// ErrBadSettings is wrapped by the errors of Settings.Validate.
var ErrBadSettings = errors.New("bad drain settings")

// Settings are the times of a stop.
type Settings struct {
	Lag           time.Duration // Time in which the balancer notices that the daemon is not ready.
	Quiet         time.Duration // Time without arrivals before the listener is closed.
	MaxLag        time.Duration // Time after which arrivals are refused as not run, with a time to come back.
	OwnedTimeout  time.Duration // Longest wait for endpoints and the lease to be handed over.
	RecordTimeout time.Duration // Longest wait for claims to be recorded, after the last answer.
	Linger        time.Duration // Time for which the goodbye spreads.

	off mechanisms
}

// mechanisms are parts that tests switch off to show what they are for.
type mechanisms struct {
	lag      bool // Accept through the balancer's lag.
	quiet    bool // Accept until arrivals have ended.
	wait     bool // Wait for the last answer.
	oneStop  bool // Treat later signals like the first.
	timeouts bool // Stop waiting for peers and the platform.
}

// DefaultSettings returns the settings of a deployment that sets none.
func DefaultSettings() Settings {
	return Settings{
		Lag:           10 * time.Second,
		Quiet:         2 * time.Second,
		MaxLag:        5 * time.Minute,
		OwnedTimeout:  10 * time.Second,
		RecordTimeout: 30 * time.Second,
		Linger:        time.Second,
	}
}

// Validate reports whether the settings can work.
func (s Settings) Validate() error {
	switch {
	case s.Lag < 0 || s.Quiet < 0 || s.OwnedTimeout < 0 || s.RecordTimeout < 0 || s.Linger < 0:
		return errors.Wrap(ErrBadSettings, "a time is negative")
	case s.MaxLag < s.Lag+s.Quiet:
		return errors.Wrap(ErrBadSettings, "the longest lag is below the lag and the quiet time")
	}
	return nil
}

// Phase is the stage of a stop.
type Phase string

// The phases of a stop, in order.
const (
	PhaseServing Phase = ""         // No signal yet.
	PhaseLagging Phase = "lagging"  // Not ready, and accepting.
	PhaseEnding  Phase = "ending"   // The listener is closed; requests go on.
	PhaseGoodbye Phase = "goodbye"  // Peers have been told.
	PhaseExited  Phase = "finished" // The process may end.
)

// Status is what a daemon has under way.
type Status struct {
	Requests int       // Being served, queued, or kept for a caller to resume.
	Arrived  time.Time // Last arrival of a request; zero if there was none.
	Owned    int       // Endpoints owned, and leases held.
	Records  int       // Claims whose outcome is not recorded yet.
}

// Action is something that the daemon must do.
type Action string

// The actions of a stop.
const (
	// MarkNotReady fails the readiness check, and ends each connection with its
	// next answer.
	MarkNotReady Action = "mark_not_ready"
	// HandOver gives up endpoints and leases. No new ones are taken.
	HandOver Action = "hand_over"
	// RefuseArrivals answers new requests as not run, with a time to come back.
	RefuseArrivals Action = "refuse_arrivals"
	// CloseListener accepts what waits in the backlog, then closes the listener
	// and connections that are idle.
	CloseListener Action = "close_listener"
	// SayGoodbye tells peers that this daemon leaves.
	SayGoodbye Action = "say_goodbye"
	// Exit ends the process with code 0.
	Exit Action = "exit"
)

// Drainer is the stop of one daemon. It is not safe for concurrent use.
type Drainer struct {
	cfg      Settings
	phase    Phase
	signals  int
	began    time.Time
	refusing bool
	idle     time.Time // Since when no request has been under way.
	goodbye  time.Time
}

// New returns a Drainer that waits for a signal.
func New(cfg Settings) *Drainer { return &Drainer{cfg: cfg} }

// Phase returns the present phase.
func (d *Drainer) Phase() Phase { return d.phase }

// Ready reports whether the readiness check should pass.
func (d *Drainer) Ready() bool { return d.phase == PhaseServing }

// Signals counts the signals received.
func (d *Drainer) Signals() int { return d.signals }

// Signal takes in a request to stop.
func (d *Drainer) Signal(now time.Time) []Action {
	d.signals++
	if d.signals > 1 && d.cfg.off.oneStop {
		d.phase = PhaseExited
		return []Action{Exit}
	}
	if d.phase != PhaseServing {
		return nil
	}
	d.phase = PhaseLagging
	d.began = now
	return []Action{MarkNotReady, HandOver}
}

// Tick lets time pass. It should come several times a second during a stop.
func (d *Drainer) Tick(now time.Time, s Status) []Action {
	d.noteIdle(now, s)
	switch d.phase {
	case PhaseLagging:
		return d.lagging(now, s)
	case PhaseEnding:
		return d.ending(now, s)
	case PhaseGoodbye:
		return d.leaving(now, s)
	case PhaseServing, PhaseExited:
	}
	return nil
}

func (d *Drainer) noteIdle(now time.Time, s Status) {
	switch {
	case s.Requests > 0 && !d.cfg.off.wait:
		d.idle = time.Time{}
	case d.idle.IsZero():
		d.idle = now
	}
}

func (d *Drainer) lagging(now time.Time, s Status) []Action {
	lag := now.Sub(d.began)
	if lag >= d.cfg.MaxLag && !d.refusing {
		d.refusing = true
		return []Action{RefuseArrivals}
	}
	if lag < d.cfg.Lag && !d.cfg.off.lag {
		return nil
	}
	quiet := now.Sub(s.Arrived) >= d.cfg.Quiet
	if !quiet && !d.refusing && !d.cfg.off.quiet {
		return nil
	}
	d.phase = PhaseEnding
	return []Action{CloseListener}
}

func (d *Drainer) ending(now time.Time, s Status) []Action {
	switch {
	case d.idle.IsZero():
		return nil
	case s.Owned > 0 && d.waits(now.Sub(d.began), d.cfg.OwnedTimeout):
		return nil
	case s.Records > 0 && d.waits(now.Sub(d.idle), d.cfg.RecordTimeout):
		return nil
	}
	d.phase = PhaseGoodbye
	d.goodbye = now
	return []Action{SayGoodbye}
}

// waits reports whether a wait goes on after d out of limit.
func (d *Drainer) waits(after, limit time.Duration) bool {
	return after < limit || d.cfg.off.timeouts
}

// leaving exits once the goodbye has spread. A request that came in on a kept
// connection meanwhile is still answered.
func (d *Drainer) leaving(now time.Time, s Status) []Action {
	if now.Sub(d.goodbye) < d.cfg.Linger || d.idle.IsZero() {
		return nil
	}
	asserter.That(s.Requests == 0, asserter.NothingCutOff, "exit with requests under way")
	d.phase = PhaseExited
	return []Action{Exit}
}
