package claimer

import "time"

// Result is what became of a call to the platform.
type Result int

// The results of a platform call.
const (
	ResultOK          Result = iota
	ResultExists             // The create met an object of that name.
	ResultConflict           // The version has moved on, or the object is gone.
	ResultNotFound           // The read met no object.
	ResultUnavailable        // The call is proven to have had no effect.
	ResultLost               // No answer: the call may have taken effect, or may still do so.
)

// Event is something that happened to a request.
type Event interface{ event() }

// Begin starts a request.
type Begin struct{}

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

// ReadResult answers Read. A read without an answer is ResultUnavailable.
type ReadResult struct {
	Result      Result
	Version     uint64
	Claim       Claim
	HolderAlive bool          // Membership's view of Claim.Holder; only words the answer.
	Age         time.Duration // Age of the object on the platform's clock.
}

// SendResult answers Send. OutcomeNotRun is only for a proven failure to run.
// Next then names a further attempt, or is nil if there is to be none.
type SendResult struct {
	Outcome Outcome
	Answer  *StoredAnswer // For OutcomeRan.
	Next    *Target       // For OutcomeNotRun.
}

// AttachResult answers Attach.
type AttachResult struct{ Result AttachOutcome }

// AttachOutcome is what became of an Attach.
type AttachOutcome int

// The outcomes of an Attach.
const (
	AttachStreaming   AttachOutcome = iota // The caller is being given the stream.
	AttachGone                             // The endpoint does not know the stream.
	AttachUnreachable                      // The endpoint did not answer.
)

// Tick answers Wait.
type Tick struct{}

func (Begin) event()        {}
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
// If the first byte cannot be written before By, nothing may be sent, and the
// answer is OutcomeNotRun.
type Send struct {
	Target Target
	By     time.Time
}

// Attach asks for the caller to be given the stream of Target from its first
// token; answered by AttachResult.
type Attach struct{ Target Target }

// Answer is the last word to the caller. Stored is the kept answer for
// OutcomeRan where there is one. Replayed is set when an earlier attempt ran,
// and clear when the answer is that of this attempt's own Send.
type Answer struct {
	Outcome  Outcome
	Stored   *StoredAnswer
	Replayed bool
}

// Reason tells why a request is refused.
type Reason string

// The reasons of a Refuse.
const (
	ReasonPlatform   Reason = "platform_unavailable" // The claim could not be made.
	ReasonInProgress Reason = "in_progress"          // An earlier attempt still runs.
	ReasonMismatch   Reason = "key_reused"           // The key belongs to another request.
	ReasonTooLate    Reason = "too_late"             // No time is left to send.
	ReasonContention Reason = "contention"           // Others keep changing the claim.
)

// Refuse is the last word to the caller of a request that this attempt does
// not run. RetryAfter is zero if coming back cannot help. The outcome is
// OutcomeUnknown while an earlier attempt may run.
type Refuse struct {
	Reason     Reason
	Outcome    Outcome
	RetryAfter time.Duration
}

// Wait asks for a Tick after Duration.
type Wait struct{ Duration time.Duration }

// Done says that the request needs no more events.
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
