package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"
)

// State is the stage of a claim.
type State string

// The states of a claim.
const (
	StatePending State = "pending" // The request may be sent, or may have been sent.
	StateRan     State = "ran"     // The endpoint answered.
	StateUnknown State = "unknown" // The request was sent and no answer came.
	StateNotRun  State = "not_run" // The request is proven not to have run.
)

// Outcome is what a caller is told about its request.
type Outcome string

// The outcomes of a request.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
)

// Target is one attempt at one endpoint.
type Target struct {
	Endpoint   string
	Generation string // Attempt id; names the stream at an engine.
	Resumable  bool   // Reports whether the endpoint keeps the stream for resuming.
}

// StoredAnswer is an answer kept in a claim. Body is empty if the answer was
// too large to keep, in which case Truncated is set.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// Claim is the object that stands in the platform for one keyed request.
type Claim struct {
	Customer    string
	KeyHash     string // Hexadecimal SHA-256 of the idempotency key.
	Fingerprint string // Hash of the request, which a repeat must match.
	Writer      string // Unique id of the attempt that wrote the claim.
	Write       uint64 // Number of the write among those of its writer.
	Holder      string // Daemon that runs the attempt.
	Target      Target
	Timeout     time.Duration // Longest time that the attempt may take.
	State       State
	Answer      *StoredAnswer // For StateRan.
}

// Name returns the object name of the claim of key by customer.
func Name(customer, key string) string {
	h := sha256.New()
	// The length keeps two pairs of customer and key from sharing a name.
	h.Write([]byte(strconv.Itoa(len(customer)) + ":" + customer + key))
	return hex.EncodeToString(h.Sum(nil))
}

// KeyHash returns the form in which an idempotency key is kept.
func KeyHash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
