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
	ErrHolderEnded = errors.New("the engine that held the copy does not run any more")
)

// Backup is what is known of a copy at a backup.
type Backup struct {
	Used       bool          // A request that named the copy may have been run.
	Producing  time.Duration // Time from the first event of the copied run to its last one; zero if there was none.
	HolderRuns func() bool   // Asks whether the process of the engine still runs to which the copy was sent.
}

// Check returns nil if the copy exists and was not used. It asks for the holder only if the rest
// permits a request.
func (b Backup) Check() error {
	switch {
	case b.Used:
		return ErrUsed
	case b.Producing < copyInterval:
		return ErrNotCopied
	case !b.HolderRuns():
		return ErrHolderEnded
	}
	return nil
}
