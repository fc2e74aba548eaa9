package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"
)

// State is the lifecycle state of a claim.
type State string

// The states of a claim.
const (
	StatePending State = "pending" // The request may be sent or may have been sent; no outcome is recorded.
	StateRan     State = "ran"     // The endpoint returned an answer.
	StateUnknown State = "unknown" // The request was sent and no answer was received.
	StateNotRun  State = "not_run" // The request provably did not run.
)

// Outcome states to a caller whether its request ran.
type Outcome string

// The outcomes of a request.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
)

// Target identifies one send to one endpoint. An attempt may have a
// further target after a send that provably did not run.
type Target struct {
	Endpoint  string
	AttemptID string // ID of this send; an engine identifies the stream by it.
	Resumable bool   // The endpoint retains the stream, so that a repeat can attach to it.
}

// StoredAnswer is an answer stored in a claim. If the answer was too large to
// store, Body is empty and Truncated is set.
type StoredAnswer struct {
	Status          int
	ContentType     string
	ContentEncoding string
	Body            []byte
	Truncated       bool
}

// Claim is the platform object that records one request with an idempotency
// key.
type Claim struct {
	Customer    string
	KeyHash     string // Hexadecimal SHA-256 of the idempotency key.
	Fingerprint string // Hash of the request; a repeat must have the same hash.
	Writer      string // Unique ID of the attempt that wrote the claim.
	WriteNumber uint64 // Sequence number of this write among those of Writer.
	Holder      string // Name of the daemon that runs the attempt.
	Target      Target
	Timeout     time.Duration // Maximum duration of the attempt.
	State       State
	Answer      *StoredAnswer // Only for StateRan.
}

// Name returns the name of the platform object that holds customer's claim for
// key.
func Name(customer, key string) string {
	hash := sha256.New()
	// The length prefix gives each pair of customer and key its own input.
	hash.Write([]byte(strconv.Itoa(len(customer)) + ":" + customer + key))
	return hex.EncodeToString(hash.Sum(nil))
}

// KeyHash returns the hash of an idempotency key, which is stored instead of
// the key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
