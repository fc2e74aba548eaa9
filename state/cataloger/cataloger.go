// Package cataloger defines the manifest of a deployment: the models, customers,
// endpoints and limits that its operators declare. Package parser reads it from
// INI text. The manifest of routes that the forwarder uses is in package matcher.
//
// A Manifest in force is immutable; a new generation replaces it as a whole.
package cataloger

import "time"

// Generation numbers the accepted manifests of a deployment. It never decreases.
type Generation uint64

// Manifest declares one deployment. Slices are sorted by name.
type Manifest struct {
	Generation Generation // Zero before the manifest is accepted.
	Deployment string
	Region     string
	Weights    Weights
	Defaults   Defaults
	Models     []Model
	Customers  []Customer
	Priorities []Priority
	Services   []Service
	Endpoints  []Endpoint
	Domains    []Domain
}

// Weights gives the relative costs that decide which sequences an engine
// preempts first when its memory is full.
type Weights struct {
	StallTime   float64
	Preemptions float64
	TokenGap    float64
}

// Defaults are limits that apply where a more specific section sets none.
type Defaults struct {
	Timeout             time.Duration // Timeout of a request that sets none.
	MaxTimeout          time.Duration // Longest timeout that a request may set.
	MaxBodyBytes        int
	MaxTokens           int           // Output limit of a request that sets none.
	ResumeGrace         time.Duration // How long a generation runs on after its client disconnects.
	TokenTimeout        time.Duration // Longest time without data on a stream; keep-alives count as data.
	TokenGapTarget      time.Duration // Target for the time between two output tokens.
	FirstTokenTarget    time.Duration // Target for the time to the first output token.
	ClaimRetention      time.Duration // How long the claim of an idempotency key is kept.
	MaxQueueWait        time.Duration // Longest queue wait of a job whose deadline is feasible.
	LongJobMemoryShare  float64       // Fraction of an engine's memory that long jobs may use.
	ModelLoadsPerMinute int           // Rate limit of model loads from the weight store, over all failure domains.
}

// Model is a base model with the versions and adapters that may be requested.
type Model struct {
	Name          string
	Versions      []string // The first is the default.
	Adapters      []string
	MaxTokens     int // Largest output of a request, in tokens.
	ContextTokens int // Context length: prompt and output together, in tokens.
}

// Customer is a customer with its API keys, its weight in fair queueing and its
// limits. A limit of zero means no limit.
type Customer struct {
	Name            string
	KeyHashes       []string // Hexadecimal SHA-256 of each API key.
	Priority        string
	Weight          float64
	MaxQueued       int
	MaxRunning      int
	TokensPerSecond float64
}

// Priority is a named priority level. A lower level is served first.
type Priority struct {
	Name  string
	Level int
}

// Service is a plain service, one that runs no models, to which requests are
// forwarded by path.
type Service struct {
	Name          string
	NonIdempotent []string // Path prefixes whose requests must not be retried.
	Timeout       time.Duration
}

// Kind is the kind of an endpoint.
type Kind string

// The kinds of endpoint.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Role is the part of a generation that an engine performs.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Endpoint is one engine worker or one instance of a plain service.
type Endpoint struct {
	Name         string
	Kind         Kind
	Domain       string
	Addr         string // IP address and port.
	Service      string // For KindService.
	Models       []Placement
	Role         Role // For KindEngine.
	MemoryTokens int  // KV cache capacity in tokens; for KindEngine.
	BlockTokens  int  // Allocation unit of the KV cache, in tokens.
	MaxBatch     int  // Largest number of sequences in a decode batch.
	ChecksFence  bool // Whether the endpoint rejects outdated fencing tokens.
	Draining     bool // Set by operators to stop new work.
}

// Placement is a model that an engine should keep loaded.
type Placement struct {
	Model   string
	Version string
	Adapter string // Empty for the base model.
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}
