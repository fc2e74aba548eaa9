// Package resumer decides whether a generation may be continued from the copy of its KV
// cache at the engine that was named as its backup.
//
// A request that names a copy continues the run that was copied. Without the copy it would be a
// second run, unless the engine refuses it. So the request may be sent only if it is known
// beforehand that the copy exists, whatever the engine would do without it.
package resumer

import (
	"time"

	"github.com/pkg/errors"
)

// copyInterval is a time within which an engine that produces tokens has sent its KV cache to the
// backup. Engines do so several times a second.
const copyInterval = 400 * time.Millisecond

// Errors returned by Backup.Check.
var (
	ErrUsed        = errors.New("a request has named the copy before")
	ErrNotCopied   = errors.New("the run has not produced tokens for long enough to be copied to its backup")
	ErrExpired     = errors.New("the copy may have been dropped since the run last produced tokens")
	ErrHolderEnded = errors.New("the engine that held the copy does not run any more")
)

// Backup is what is known of a copy at a backup.
type Backup struct {
	Used       bool          // A request that named the copy may have been run, or was refused.
	Producing  time.Duration // Progress.Producing of the copied run.
	Transfer   time.Duration // Time that the transfer of the KV cache takes.
	Idle       time.Duration // Time since the last event of the copied run.
	Retention  time.Duration // How long the holder keeps a copy after its last part; zero for no limit.
	HolderRuns func() bool   // Asks whether the process of the engine still runs to which the copy was sent.
}

// Check returns nil if the copy exists and was not used. It asks for the holder only if the rest
// permits a request.
func (b Backup) Check() error {
	if err := b.CheckRun(); err != nil {
		return err
	}
	if !b.HolderRuns() {
		return ErrHolderEnded
	}
	return nil
}

// CheckRun is like Check as long as the process runs to which the copy was sent.
func (b Backup) CheckRun() error {
	switch {
	case b.Used:
		return ErrUsed
	case b.Producing < copyInterval+b.Transfer:
		return ErrNotCopied
	case b.Retention > 0 && b.Idle+copyInterval >= b.Retention:
		return ErrExpired
	}
	return nil
}

// maxEventGap limits what the time between two events adds to the time for which an engine is known
// to have produced. An event that comes late may have been held up on its way, or the run preempted.
const maxEventGap = copyInterval / 4

// Progress is what the arrival of its events tells of a run. The zero value is a run without events.
type Progress struct {
	producing time.Duration
	last      time.Time
}

// RecordEvents records that events have arrived.
func (p *Progress) RecordEvents(now time.Time) {
	if !p.last.IsZero() {
		p.producing += min(now.Sub(p.last), maxEventGap)
	}
	p.last = now
}

// Started reports whether an event has arrived.
func (p Progress) Started() bool { return !p.last.IsZero() }

// Idle returns the time since the last event; zero if there was none.
func (p Progress) Idle(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	return now.Sub(p.last)
}

// Producing returns for how long the engine is known to have produced events.
func (p Progress) Producing() time.Duration { return p.producing }
