// Package cataloger holds the manifest of a deployment: the models, customers,
// endpoints and limits that its operators declare.
//
// A Manifest is a value. It is never changed once it is in force; a new
// generation replaces it whole.
package cataloger

import "time"

// Generation numbers the accepted manifests of a deployment. It only grows.
type Generation uint64

// Manifest declares one deployment. Slices are sorted by name.
type Manifest struct {
	Generation Generation // Zero until the manifest is accepted.
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

// Weights says what a deployment minds most when memory runs out. The values
// are relative to each other.
type Weights struct {
	StallTime   float64
	Preemptions float64
	TokenGap    float64
}

// Defaults are limits that apply where a narrower section sets none.
type Defaults struct {
	Timeout         time.Duration // Deadline of a request that names none.
	MaxTimeout      time.Duration // Longest deadline that a request may name.
	MaxBodyBytes    int
	MaxTokens       int // Output bound of a request that names none.
	ResumeGrace     time.Duration
	TokenTimeout    time.Duration // Longest silence of a stream, keep-alives included.
	TokenGapTarget  time.Duration
	FirstTokenGoal  time.Duration
	ClaimRetention  time.Duration
	LongJobAgeBound time.Duration // Longest wait of a job whose deadline is feasible.
	LongShare       float64       // Part of an engine's memory that long jobs may fill.
	LoadsPerMinute  int           // Rate limit of the weight store.
}

// Model is a base model with the versions and adapters that may be asked for.
type Model struct {
	Name      string
	Versions  []string // The first is used when a caller names none.
	Adapters  []string
	MaxTokens int // Largest output of one request, in tokens.
	Context   int // Largest prompt and output together, in tokens.
}

// Customer is one party that calls, with its share and its limits. A limit of
// zero means no limit.
type Customer struct {
	Name            string
	KeyHashes       []string // Hexadecimal SHA-256 of each API key.
	Priority        string
	Weight          float64
	MaxQueued       int
	MaxRunning      int
	TokensPerSecond float64
}

// Priority is a level of urgency. A lower level goes first.
type Priority struct {
	Name  string
	Level int
}

// Service is a plain service that requests are forwarded to by path.
type Service struct {
	Name          string
	NonIdempotent []string // Path prefixes whose calls may not be repeated.
	Timeout       time.Duration
}

// Kind tells what an endpoint serves.
type Kind string

// The kinds of endpoint.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Role tells which steps of a generation an engine takes.
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
	MemoryTokens int  // Token capacity of the engine's memory; for KindEngine.
	BlockTokens  int  // Allocation unit of that memory, in tokens.
	MaxBatch     int  // Largest number of sequences decoded together.
	ChecksFence  bool // Reports whether the endpoint refuses old fencing numbers.
	Draining     bool // Set by operators to keep new work away.
}

// Placement is a model that an engine should hold ready.
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
