package admitter

import "time"

// PermitID names one attempt of a request. The entry daemon chooses it; it is
// also the attempt id at the engine.
type PermitID string

// Request asks for a permit to run one generation at the endpoint.
type Request struct {
	ID       PermitID
	Daemon   string // Entry daemon that holds the permit.
	Customer string
	Model    string
	Version  string
	Adapter  string
	Kind     string // Kind of job; empty if the caller names none.

	Level  int     // Priority level; a lower level goes first.
	Weight float64 // Share of the customer; one if zero.

	PromptTokens int
	CachedTokens int    // Tokens of the prompt that the prefix cache should hold.
	Prefix       uint64 // Hash of the cached part; zero if it is not known to be shared.
	MaxTokens    int    // Upper bound of the output; none if zero.

	Arrived  time.Time // Arrival at the entry daemon; the time of Enqueue if zero.
	Deadline time.Time // End of the whole answer; none if zero.

	Limits Limits
}

// Limits bound what one customer may use of this endpoint. Zero means no limit.
type Limits struct {
	MaxQueued       int
	MaxRunning      int
	TokensPerSecond float64
}

// ActionKind says what the daemon has to do.
type ActionKind int

// The kinds of action.
const (
	Grant  ActionKind = iota // The request may be sent to the engine now.
	Refuse                   // The request will not run here.
	Cancel                   // The generation is to be cancelled at the engine.
)

// String returns the name of the kind.
func (k ActionKind) String() string {
	return [...]string{"grant", "refuse", "cancel"}[k]
}

// Reason says why a request was refused or a generation cancelled.
type Reason string

// The reasons.
const (
	ReasonNone      Reason = ""
	ReasonTooLarge  Reason = "too_large"  // It could never fit into the engine's memory.
	ReasonDeadline  Reason = "deadline"   // It can't be answered within its deadline.
	ReasonBusy      Reason = "busy"       // It would wait, or has waited, past the age bound.
	ReasonQueueFull Reason = "queue_full" // The customer's limit of queued requests is reached.
	ReasonLeaving   Reason = "leaving"    // The endpoint takes no new work.
	ReasonEnded     Reason = "ended"      // The permit was released before.
	ReasonOrphan    Reason = "orphan"     // The daemon that held the permit is lost.
)

// Action is one decision of an Owner.
type Action struct {
	Kind           ActionKind
	ID             PermitID
	EnginePriority int           // For Grant; a lower number goes first.
	Reason         Reason        // For Refuse and Cancel.
	RetryAfter     time.Duration // For Refuse: when to come back; zero if that can't help here.
}

// LoadReport is what the engine said of itself at a time in the past.
type LoadReport struct {
	At          time.Time // When the engine made the report.
	Running     int       // Sequences in the batch.
	Waiting     int       // Sequences in the engine's own queue.
	UsedTokens  int
	Step        time.Duration // Recent mean time of a decode step; unknown if zero.
	Preemptions int           // Total since the engine started.
	Leaving     bool
	Sequences   []Sequence
}

// Sequence is one generation in a LoadReport.
type Sequence struct {
	ID       PermitID
	Produced int // Output tokens.
	Prompt   int // Prompt tokens.
}

// Result says how a generation ended. The zero value is a request that was
// given up.
type Result struct {
	Produced int  // Output tokens.
	Finished bool // Reports whether the engine ended it by itself.
}

// Held is a permit that an entry daemon reports to a new owner.
type Held struct {
	Request  Request
	Produced int // Output tokens received so far.
}

// Quote is the forecast for a request that has not been queued.
type Quote struct {
	Wait      time.Duration // Until the grant.
	Run       time.Duration // From the grant to the last token, as expected.
	Feasible  bool          // Reports whether Enqueue would not refuse it now.
	Available bool          // False if the endpoint is leaving.
}
