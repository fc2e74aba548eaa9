// Package drainer implements the graceful shutdown of a daemon, and tracks the
// endpoints that are shutting down.
//
// On the first signal a daemon fails its readiness check, hands over the
// endpoints and leases that it owns, and keeps accepting requests until the
// load balancer has had time to notice and no more requests arrive. It then
// waits for the last response, announces its shutdown to its peers and exits.
// Later signals have no effect; only SIGKILL interrupts running streams.
package drainer

import (
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/state/asserter"
)

// ErrBadSettings is wrapped by the errors of Settings.Validate.
var ErrBadSettings = errors.New("bad drain settings")

// Settings holds the durations of a graceful shutdown.
type Settings struct {
	BalancerLag     time.Duration // Time that the load balancer takes to notice a failed readiness check.
	IdlePeriod      time.Duration // Time without new requests before the listener is closed.
	AcceptTimeout   time.Duration // Time after the signal from which new requests are rejected as not executed, with a retry time.
	HandOverTimeout time.Duration // Longest wait for the hand-over of endpoints and the lease.
	RecordTimeout   time.Duration // Longest wait for claims to be recorded, after the last response.
	GossipTime      time.Duration // Time between the announcement of the shutdown and the exit, in which it spreads by gossip.

	disabled disabledRules
}

// disabledRules selects rules that tests disable to show that each one is
// needed.
type disabledRules struct {
	acceptDuringLag    bool // Accept requests during the balancer's lag.
	acceptUntilIdle    bool // Accept requests until no more arrive.
	waitForRequests    bool // Wait for the last response.
	ignoreLaterSignals bool // Ignore signals after the first.
	boundedWaits       bool // Bound the waits for peers and the platform.
}

// DefaultSettings returns the settings used where a deployment sets none.
func DefaultSettings() Settings {
	return Settings{
		BalancerLag:     10 * time.Second,
		IdlePeriod:      2 * time.Second,
		AcceptTimeout:   5 * time.Minute,
		HandOverTimeout: 10 * time.Second,
		RecordTimeout:   30 * time.Second,
		GossipTime:      time.Second,
	}
}

// Validate returns an error wrapping ErrBadSettings if the settings are
// inconsistent.
func (s Settings) Validate() error {
	switch {
	case s.BalancerLag < 0 || s.IdlePeriod < 0 || s.HandOverTimeout < 0 || s.RecordTimeout < 0 || s.GossipTime < 0:
		return errors.Wrap(ErrBadSettings, "a duration is negative")
	case s.AcceptTimeout < s.BalancerLag+s.IdlePeriod:
		return errors.Wrap(ErrBadSettings, "the accept timeout is shorter than the balancer lag and the idle period together")
	}
	return nil
}

// Phase is the stage of a graceful shutdown.
type Phase string

// The phases of a shutdown, in order.
const (
	PhaseServing   Phase = ""         // No signal received.
	PhaseNotReady  Phase = "lagging"  // Readiness check failing; requests are still accepted.
	PhaseFinishing Phase = "ending"   // Listener closed; running requests finish.
	PhaseAnnounced Phase = "goodbye"  // Peers have been notified of the shutdown.
	PhaseExited    Phase = "finished" // The process may exit.
)

// Status describes the work that a daemon has in progress.
type Status struct {
	Requests         int       // Requests being served, queued, or retained for a caller to resume.
	LastArrival      time.Time // Arrival of the latest request; zero if there was none.
	Owned            int       // Number of endpoints owned and leases held.
	UnrecordedClaims int       // Number of claims whose outcome is not recorded yet.
}

// Action is an operation that the daemon must perform.
type Action string

// The actions of a shutdown.
const (
	// MarkNotReady fails the readiness check, and closes each connection after
	// its next response.
	MarkNotReady Action = "mark_not_ready"
	// HandOver releases the owned endpoints and leases for other daemons to take
	// over. No new ones are acquired.
	HandOver Action = "hand_over"
	// RejectRequests rejects new requests as not executed, with a time after
	// which to retry.
	RejectRequests Action = "refuse_arrivals"
	// CloseListener accepts the connections in the listen backlog, then closes
	// the listener and idle connections.
	CloseListener Action = "close_listener"
	// AnnounceShutdown notifies the peers that this daemon is shutting down.
	AnnounceShutdown Action = "say_goodbye"
	// Exit ends the process with exit code 0.
	Exit Action = "exit"
)

// Drainer is the state machine of the graceful shutdown of one daemon. It is
// not safe for concurrent use.
type Drainer struct {
	cfg             Settings
	phase           Phase
	signals         int
	startedAt       time.Time // Time of the first signal.
	rejecting       bool      // Set once new requests are rejected.
	noRequestsSince time.Time // Since when no request has been in progress; zero while there is one.
	announcedAt     time.Time
}

// New returns a Drainer in PhaseServing.
func New(cfg Settings) *Drainer { return &Drainer{cfg: cfg} }

// Phase returns the current phase.
func (d *Drainer) Phase() Phase { return d.phase }

// Ready reports whether the readiness check should pass.
func (d *Drainer) Ready() bool { return d.phase == PhaseServing }

// Signals returns the number of signals received.
func (d *Drainer) Signals() int { return d.signals }

// Signal handles a shutdown signal at now and returns the actions to perform,
// which are none for a repeated signal.
func (d *Drainer) Signal(now time.Time) []Action {
	d.signals++
	if d.signals > 1 && d.cfg.disabled.ignoreLaterSignals {
		d.phase = PhaseExited
		return []Action{Exit}
	}
	if d.phase != PhaseServing {
		return nil
	}
	d.phase = PhaseNotReady
	d.startedAt = now
	return []Action{MarkNotReady, HandOver}
}

// Tick advances the shutdown to now and returns the actions to perform. It
// should be called several times a second during a shutdown.
func (d *Drainer) Tick(now time.Time, s Status) []Action {
	d.updateNoRequestsSince(now, s)
	switch d.phase {
	case PhaseNotReady:
		return d.tickNotReady(now, s)
	case PhaseFinishing:
		return d.tickFinishing(now, s)
	case PhaseAnnounced:
		return d.tickAnnounced(now, s)
	case PhaseServing, PhaseExited:
	}
	return nil
}

func (d *Drainer) updateNoRequestsSince(now time.Time, s Status) {
	switch {
	case s.Requests > 0 && !d.cfg.disabled.waitForRequests:
		d.noRequestsSince = time.Time{}
	case d.noRequestsSince.IsZero():
		d.noRequestsSince = now
	}
}

func (d *Drainer) tickNotReady(now time.Time, s Status) []Action {
	elapsed := now.Sub(d.startedAt)
	if elapsed >= d.cfg.AcceptTimeout && !d.rejecting {
		d.rejecting = true
		return []Action{RejectRequests}
	}
	if elapsed < d.cfg.BalancerLag && !d.cfg.disabled.acceptDuringLag {
		return nil
	}
	idle := now.Sub(s.LastArrival) >= d.cfg.IdlePeriod
	if !idle && !d.rejecting && !d.cfg.disabled.acceptUntilIdle {
		return nil
	}
	d.phase = PhaseFinishing
	return []Action{CloseListener}
}

func (d *Drainer) tickFinishing(now time.Time, s Status) []Action {
	switch {
	case d.noRequestsSince.IsZero():
		return nil
	case s.Owned > 0 && d.keepWaiting(now.Sub(d.startedAt), d.cfg.HandOverTimeout):
		return nil
	case s.UnrecordedClaims > 0 && d.keepWaiting(now.Sub(d.noRequestsSince), d.cfg.RecordTimeout):
		return nil
	}
	d.phase = PhaseAnnounced
	d.announcedAt = now
	return []Action{AnnounceShutdown}
}

// keepWaiting reports whether a wait that has lasted elapsed may go on, given
// its limit.
func (d *Drainer) keepWaiting(elapsed, limit time.Duration) bool {
	return elapsed < limit || d.cfg.disabled.boundedWaits
}

// tickAnnounced exits once the announcement has had time to spread. A request
// that arrived on a persistent connection in the meantime is still answered.
func (d *Drainer) tickAnnounced(now time.Time, s Status) []Action {
	if now.Sub(d.announcedAt) < d.cfg.GossipTime || d.noRequestsSince.IsZero() {
		return nil
	}
	asserter.That(s.Requests == 0, asserter.NoRequestInterrupted, "exit with requests in progress")
	d.phase = PhaseExited
	return []Action{Exit}
}
