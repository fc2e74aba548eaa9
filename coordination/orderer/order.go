package orderer

import (
	"time"

	"monsoonspar.example/state/cataloger"
)

// Kind is the type of change that an order requests.
type Kind string

// The kinds of order.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
	KindRole   Kind = "role"
)

// Order asks an endpoint to load or unload a placement, or to change its role.
type Order struct {
	ID           string
	Endpoint     string
	Kind         Kind
	Placement    cataloger.Placement // For KindLoad and KindUnload.
	Role         string              // For KindRole; the part of a generation that the engine performs, such as prefill.
	FencingToken uint64
	// Latest time at which the order may be written to the connection. After
	// it nothing is sent and the result is ResultFailed.
	SendDeadline time.Time
	Timeout      time.Duration // Time to wait for the response; after it the result is unknown.
}

// Result is the outcome of an order.
type Result int

// The possible results of an order.
const (
	ResultDone    Result = iota
	ResultFailed         // Refused by the endpoint, or certainly not sent.
	ResultFenced         // The endpoint has seen a higher fencing token.
	ResultUnknown        // No response, so the order may or may not have been applied.
)

// Desired is the state that the manifest specifies for one endpoint.
type Desired struct {
	Endpoint    string
	ChecksFence bool
	Placements  []cataloger.Placement
	Role        string // Empty if the manifest does not specify one.
}

// Observed is the state that one endpoint reported.
type Observed struct {
	Endpoint     string
	At           time.Time // Time at which the report was current, on the caller's clock.
	Ready        []cataloger.Placement
	Role         string
	ShuttingDown bool
}

// View is the input of a plan. Desired and Observed cover one failure domain.
type View struct {
	Desired  []Desired
	Observed []Observed
	Traffic  []cataloger.Placement // Placements that callers may request.
}
