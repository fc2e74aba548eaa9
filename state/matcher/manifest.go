// Package matcher holds the routes and customers of a manifest and finds those
// of a request.
package matcher

import "time"

// Kind tells what may be repeated of the requests of a route.
type Kind int

// The kinds of routes.
const (
	Unsafe    Kind = iota // Runs at most once. The zero value is the cautious one.
	Safe                  // May run more than once.
	Streaming             // Runs at most once and is answered by a stream of events.
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	default:
		return "unsafe"
	}
}

// Manifest is one version of what the operators declare. It is not changed
// once it is in force.
type Manifest struct {
	Version   int64
	Routes    []Route
	Services  map[string]Service
	Customers []Customer
	Limits    Limits
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Timeout   time.Duration // Longest time that a request is kept.
	Target    time.Duration // Latency objective; of streams, up to the first event.
	GapTarget time.Duration // Longest pause between events of a stream.
	Priority  int           // 0 is the highest.
	Attempts  int           // Endpoints that one request may be sent to.
	Public    bool          // Needs no API key.
	Shares    []Share       // Services and their weights; never empty.
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // To one endpoint, from all daemons together.
	Engine         *Engine // Nil for a plain service.
}

// Engine describes the endpoints of a service that generates.
type Engine struct {
	Slots        int   // Sequences at once.
	MemoryTokens int   // Tokens that the memory holds.
	TokenBytes   int64 // Memory of one token.
	LinkMbps     float64
	Stride       int // Tokens in one event.
	Moves        bool
	Backups      bool
	HandleTime   time.Duration // How long a copy is kept.
}

// Customer is one customer with its API keys.
type Customer struct {
	Name     string
	Keys     []string
	Priority int // Precedes the priority of the route.
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
