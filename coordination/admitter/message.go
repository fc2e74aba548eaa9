package admitter

import "time"

// PermitID identifies one attempt of a request. The entry daemon, which received
// the request, chooses it; the engine uses it as the attempt ID.
type PermitID string

// Request asks for a permit to run one generation at the endpoint.
type Request struct {
	ID       PermitID
	Daemon   string // Entry daemon that holds the permit.
	Customer string
	Model    string
	Version  string
	Adapter  string
	Kind     string // Kind of job; empty if the caller gives none.

	Level  int     // Priority level; lower levels are served first.
	Weight float64 // Weight of the customer in fair queueing; one if zero.

	PromptTokens int
	CachedTokens int    // Prompt tokens expected to be in the engine's prefix cache.
	Prefix       uint64 // Hash of the cached prefix; zero if it is not known to be shared.
	MaxTokens    int    // Limit of the output; none if zero.

	Arrived  time.Time // When the entry daemon received it; the time of Enqueue if zero.
	Deadline time.Time // When the generation must be complete; none if zero.

	Limits Limits
}

// Limits bounds the use of this endpoint by one customer. Zero means no limit.
type Limits struct {
	MaxQueued       int
	MaxRunning      int
	TokensPerSecond float64
}

// ActionKind is what the daemon has to do.
type ActionKind int

// Kinds of actions.
const (
	Grant  ActionKind = iota // The request may be sent to the engine.
	Refuse                   // The request will not be run at this endpoint.
	Cancel                   // The generation must be cancelled at the engine.
)

// String returns the name of the kind.
func (k ActionKind) String() string {
	return [...]string{"grant", "refuse", "cancel"}[k]
}

// Reason is why a request was refused or a generation cancelled.
type Reason string

// Reasons for Refuse and Cancel.
const (
	ReasonNone         Reason = ""
	ReasonTooLarge     Reason = "too_large"  // The prompt does not fit into the engine's memory.
	ReasonDeadline     Reason = "deadline"   // It can't be completed before its deadline.
	ReasonBusy         Reason = "busy"       // Its queue wait has exceeded the bound or is forecast to.
	ReasonQueueFull    Reason = "queue_full" // The customer has reached its limit of queued requests.
	ReasonShuttingDown Reason = "leaving"    // The endpoint is shutting down and admits no new requests.
	ReasonEnded        Reason = "ended"      // The permit has already been released.
	ReasonOrphan       Reason = "orphan"     // The daemon that held the permit has failed.
)

// Action is one decision of an Owner.
type Action struct {
	Kind           ActionKind
	ID             PermitID
	EnginePriority int           // For Grant; lower numbers are served first.
	Reason         Reason        // For Refuse and Cancel.
	RetryAfter     time.Duration // For Refuse: when to retry; zero if a retry at this endpoint can't succeed.
}

// LoadReport is the state that the engine reported at a time in the past.
type LoadReport struct {
	At           time.Time // When the engine generated the report.
	Running      int       // Sequences in the batch.
	Waiting      int       // Sequences in the engine's own queue.
	UsedTokens   int
	StepTime     time.Duration // Recent mean duration of a decode step; unknown if zero.
	Preemptions  int           // Number since the engine started.
	ShuttingDown bool
	Sequences    []Sequence
}

// Sequence is one generation in a LoadReport.
type Sequence struct {
	ID           PermitID
	Produced     int // Output tokens.
	PromptTokens int
}

// Result is how a generation ended. The zero value is a request that was
// abandoned before it produced output.
type Result struct {
	Produced int  // Output tokens.
	Finished bool // Whether the engine ended it, rather than a cancellation or failure.
}

// HeldPermit is a permit that an entry daemon holds from a former owner and
// reports to the new one.
type HeldPermit struct {
	Request  Request
	Produced int // Output tokens received so far.
}

// Estimate is a forecast for a request that has not been queued.
type Estimate struct {
	QueueWait time.Duration // Expected time until the grant.
	RunTime   time.Duration // Expected time from the grant to the last token.
	Feasible  bool          // Whether memory, deadline and queue limit would let Enqueue accept it now.
	Available bool          // False if the endpoint is shutting down.
}
