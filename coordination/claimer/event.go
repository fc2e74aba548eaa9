package claimer

import "time"

// Result is the result of a platform call.
type Result int

// The results of a platform call.
const (
	ResultOK          Result = iota
	ResultExists             // Create: an object of that name exists.
	ResultConflict           // The version has changed, or the object no longer exists.
	ResultNotFound           // No object of that name exists.
	ResultUnavailable        // The call provably had no effect.
	ResultUnknown            // No response: the call may have taken effect, or may still do so.
)

// Event is an input of Claimer.Handle.
type Event interface{ event() }

// Begin starts the processing of a request.
type Begin struct{}

// Lookup starts the processing of a request that can't be sent, for example because no
// endpoint is ready. It is answered from the claim of an earlier attempt; without one
// that may have run it is refused with ReasonNotSendable.
type Lookup struct{}

// CreateResult answers Create. Version is set for ResultOK.
type CreateResult struct {
	Result  Result
	Version uint64
}

// UpdateResult answers Update. Version is set for ResultOK.
type UpdateResult struct {
	Result  Result
	Version uint64
}

// ReadResult answers Read. A read without a response is ResultUnavailable.
type ReadResult struct {
	Result      Result
	Version     uint64
	Claim       Claim
	HolderAlive bool          // Membership's view of Claim.Holder; affects only the caller's response.
	Age         time.Duration // Age of the object on the platform's clock.
}

// SendResult answers Send. Outcome is OutcomeNotRun only if the request
// provably did not run. NextTarget is then the target of a further attempt, or
// nil if there is to be none.
type SendResult struct {
	Outcome    Outcome
	Answer     *StoredAnswer // For OutcomeRan.
	NextTarget *Target       // For OutcomeNotRun.
}

// AttachResult answers Attach.
type AttachResult struct{ Result AttachOutcome }

// AttachOutcome is the result of an Attach.
type AttachOutcome int

// The outcomes of an Attach.
const (
	AttachStreaming   AttachOutcome = iota // The stream is being delivered to the caller.
	AttachNotFound                         // The endpoint has no such stream.
	AttachUnreachable                      // The endpoint did not answer.
)

// Tick answers Wait.
type Tick struct{}

func (Begin) event()        {}
func (Lookup) event()       {}
func (CreateResult) event() {}
func (UpdateResult) event() {}
func (ReadResult) event()   {}
func (SendResult) event()   {}
func (AttachResult) event() {}
func (Tick) event()         {}

// Action is something that the caller of Handle must do.
type Action interface{ action() }

// Create asks for a new object; answered by CreateResult.
type Create struct {
	Name  string
	Claim Claim
}

// Read asks for the object; answered by ReadResult.
type Read struct{ Name string }

// Update asks for a replacement of the object if its version is still Version;
// answered by UpdateResult.
type Update struct {
	Name    string
	Version uint64
	Claim   Claim
}

// Send asks for the request to be sent to Target, once; answered by SendResult.
// If the first byte cannot be written by Deadline, nothing may be sent, and the
// outcome is OutcomeNotRun.
type Send struct {
	Target   Target
	Deadline time.Time
}

// Attach asks for the stream of Target to be delivered to the caller from its
// first token; answered by AttachResult.
type Attach struct{ Target Target }

// Answer is the final response to the caller. Stored is the endpoint's answer
// for OutcomeRan, if there is one; it may be truncated. Replayed is set if the
// answer reports an earlier attempt, and clear if it is the result of this
// attempt's own Send.
type Answer struct {
	Outcome  Outcome
	Stored   *StoredAnswer
	Replayed bool
}

// Reason states why a request is refused.
type Reason string

// The reasons of a Refuse.
const (
	ReasonPlatformUnavailable Reason = "platform_unavailable" // The claim could not be created or read.
	ReasonInProgress          Reason = "in_progress"          // An earlier attempt is still running.
	ReasonKeyReused           Reason = "key_reused"           // The key belongs to another request.
	ReasonTooLate             Reason = "too_late"             // The deadline for sending has passed.
	ReasonContention          Reason = "contention"           // Other attempts keep changing the claim.
	ReasonNotSendable         Reason = "not_sendable"         // The request came with Lookup, and no earlier attempt may have run.
)

// Refuse is the final response to the caller of a request that this attempt
// does not run. RetryAfter is zero if a retry cannot help. Outcome is
// OutcomeUnknown while an earlier attempt may run.
type Refuse struct {
	Reason     Reason
	Outcome    Outcome
	RetryAfter time.Duration
}

// Wait asks for a Tick after Duration.
type Wait struct{ Duration time.Duration }

// Done reports that the request needs no more events.
type Done struct{}

func (Create) action() {}
func (Read) action()   {}
func (Update) action() {}
func (Send) action()   {}
func (Attach) action() {}
func (Answer) action() {}
func (Refuse) action() {}
func (Wait) action()   {}
func (Done) action()   {}
