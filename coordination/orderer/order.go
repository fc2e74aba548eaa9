package orderer

import (
	"time"

	"monsoonspar.example/state/cataloger"
)

// Kind tells what an order asks for.
type Kind string

// The kinds of order.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
	KindRole   Kind = "role"
)

// Order asks an endpoint to change what it holds or does.
type Order struct {
	ID        string
	Endpoint  string
	Kind      Kind
	Placement cataloger.Placement // For KindLoad and KindUnload.
	Role      string              // For KindRole.
	Fence     uint64
	// By is the last time at which the order may be written. If it is past,
	// nothing is sent and the result is ResultFailed.
	By      time.Time
	Timeout time.Duration // After it the order counts as lost.
}

// Result is what became of an order.
type Result int

// The results of an order.
const (
	ResultDone   Result = iota
	ResultFailed        // Refused, or proven not to have been sent.
	ResultFenced        // The endpoint has seen a higher fencing number.
	ResultLost          // No answer within the timeout.
)

// Desired is what the manifest asks of one endpoint.
type Desired struct {
	Endpoint    string
	ChecksFence bool
	Placements  []cataloger.Placement
	Role        string // Empty if the manifest does not say.
}

// Observed is what one endpoint reported.
type Observed struct {
	Endpoint string
	At       time.Time // The time that the report describes, on the caller's clock.
	Ready    []cataloger.Placement
	Role     string
	Leaving  bool
}

// View is all that a plan is made from. Desired and Observed cover one failure
// domain.
type View struct {
	Desired  []Desired
	Observed []Observed
	Traffic  []cataloger.Placement // Placements that have requests.
}
