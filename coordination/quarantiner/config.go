package quarantiner

import "time"

// Config holds the parameters of a Quarantine. Daemons that exchange evidence use the same
// ones; zero values stand for the defaults.
type Config struct {
	// Self is the name of this daemon. It spreads the answers and the trials of the daemons
	// over time.
	Self string

	// Crashes closer to each other than Spacing count as one incident for a part.
	Spacing time.Duration // Default: 250 ms.
	// Likewise for a request. The same request seldom runs at two endpoints at once, so that
	// crashes with it shortly after each other are no coincidence unless they are simultaneous.
	RequestSpacing time.Duration // Default: 20 ms.
	// A part is blamed if the unexplained crashes with it make up at least MinIncidents
	// incidents and the fraction MinShare of all unexplained crashes since the first one.
	MinIncidents int     // Default: 3.
	MinShare     float64 // Default: 1/2.
	// A request is blamed if they are MinIncidents crashes in two incidents and the fraction
	// ManyShare: few requests are the same, so that several crashes with one say more than those
	// with a part.
	// For at least ManyCrashes crashes, the fraction ManyShare is enough, or the fraction
	// BurstShare in only two incidents.
	ManyCrashes int     // Default: 5.
	ManyShare   float64 // Default: 1/4.
	BurstShare  float64 // Default: 2/3.
	// Window is the age at which an unexplained crash is no longer evidence.
	Window time.Duration // Default: 5 min.
	// ProgressRetention is the time for which progress proves a part sound. It is proven for
	// the time before as well.
	ProgressRetention time.Duration // Default: 1 min.

	// The block of a part that was blamed for less than ManyCrashes crashes begins after
	// Settle, so that daemons that know progress of it can say so first.
	Settle time.Duration // Default: 1 s.
	// The block of a request begins no sooner than RequestSettle after the second crash with it,
	// for the same reason.
	RequestSettle time.Duration // Default: 300 ms.
	// A blamed part is blocked for Block after the last crash with it, for twice the time
	// after each trial, and at most for MaxBlock.
	Block    time.Duration // Default: 1 min.
	MaxBlock time.Duration // Default: 15 min.
	// BlameRetention is the time after the end of a block at which a part that nobody has
	// tried again is no longer blamed.
	BlameRetention time.Duration // Default: 15 min.
	// A daemon that isn't the chosen one tries a part between TrialFallback and twice that
	// after the trial was due.
	TrialFallback time.Duration // Default: 15 s.
	// RetryMargin is added to the time at which a request with a blamed part should be sent
	// again.
	RetryMargin time.Duration // Default: 1 s.
	// AnswerDelay is the longest time after which a daemon answers evidence of another one
	// that it can refute.
	AnswerDelay time.Duration // Default: 300 ms.
	// SyncDelay is the time for which evidence may differ between daemons before they exchange
	// all of it, and the least time between two exchanges.
	SyncDelay time.Duration // Default: 1 s.
}

// Bounds of the evidence of a daemon and of what it sends at once.
const (
	maxCrashes         = 256  // Held.
	maxSuspects        = 64   // Of one crash.
	maxReported        = 32   // Suspects of one crash that one daemon reports.
	maxProgress        = 4096 // Published progress that is held.
	maxTrials          = 64
	maxRetracted       = 1024 // Engines whose end is known to have another cause.
	maxPending         = 512  // Facts of each kind that wait to be sent.
	maxUpdateSuspects  = 512  // Of the crashes in one update.
	maxUpdateProgress  = 256
	keptNewest         = 4                // Crashes that are held of those after a part was blamed.
	syncDelays         = 5                // SyncDelay times this is the longest time without an exchange while evidence changes.
	burstIncidents     = 2                // Least incidents.
	retractionCoverage = 10 * time.Second // By which a report of the same crash may be later than its retraction.
)

// withDefaults returns the parameters with defaults for zero values.
func (c Config) withDefaults() Config {
	setDefault(&c.Spacing, 250*time.Millisecond)
	setDefault(&c.RequestSpacing, 20*time.Millisecond)
	setDefault(&c.MinIncidents, 3)
	setDefault(&c.MinShare, 0.5)
	setDefault(&c.ManyCrashes, 5)
	setDefault(&c.ManyShare, 0.25)
	setDefault(&c.BurstShare, 2.0/3)
	setDefault(&c.Window, 5*time.Minute)
	setDefault(&c.ProgressRetention, time.Minute)
	setDefault(&c.Settle, time.Second)
	setDefault(&c.RequestSettle, 300*time.Millisecond)
	setDefault(&c.Block, time.Minute)
	setDefault(&c.MaxBlock, 15*time.Minute)
	setDefault(&c.BlameRetention, 15*time.Minute)
	setDefault(&c.TrialFallback, 15*time.Second)
	setDefault(&c.RetryMargin, time.Second)
	setDefault(&c.AnswerDelay, 300*time.Millisecond)
	setDefault(&c.SyncDelay, time.Second)
	return c
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
