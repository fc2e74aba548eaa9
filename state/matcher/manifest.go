// Package matcher defines the manifest of routes, services and customers that the
// forwarder uses, and finds the route and the customer of a request. It is not the
// manifest of a deployment, which package cataloger defines.
//
// A Manifest is sent to peers with msgpack. Fields without a tag are encoded under
// their Go names.
package matcher

import "time"

// Kind determines whether the requests of a route may be retried.
type Kind int

// The kinds of route.
const (
	Unsafe    Kind = iota // Runs at most once. The zero value is the conservative choice.
	Safe                  // May run more than once.
	Streaming             // Runs at most once unless the route is resumable; the response is a stream of events.
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

// Manifest is one version of the configuration that the operators declare. It is
// immutable once it is in force.
type Manifest struct {
	Version   int64
	Routes    []Route
	Services  map[string]Service
	Customers []Customer
	Limits    Limits
	Format    int `msgpack:",omitempty"` // ManifestFormat of the daemon that decoded the manifest first; zero for earlier versions.
	// KeysRequired tells that the operators declared a list of customers, which may be empty. Requests need the key of a
	// customer then, unless their route is public.
	KeysRequired bool `msgpack:",omitempty"`
}

// NeedsKeys reports whether requests need the key of a customer, unless their route is public.
func (m *Manifest) NeedsKeys() bool { return m.KeysRequired || len(m.Customers) > 0 }

// Route routes the requests for a host and a path prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	Kind           Kind
	Timeout        time.Duration // Longest time that a request may take.
	LatencyTarget  time.Duration `msgpack:"Target"`    // Latency target; for streams, of the first event.
	EventGapTarget time.Duration `msgpack:"GapTarget"` // Target for the time between two events of a stream.
	Resumable      bool          // A stream may go on in another run, which starts after a given event.
	Patience       time.Duration // How long clients of a stream wait for its next event before they leave; zero if unknown.
	Priority       int           // 0 is the highest.
	Attempts       int           // Largest number of endpoints that one request is sent to.
	Public         bool          // Whether requests need no API key.
	Shares         []Share       // Weighted services; never empty.
	AllowedRegions []string      `msgpack:",omitempty"` // Whose endpoints may get the requests; empty for all.
}

// Repeatable reports whether a request of the route may run more than once, as far as Attempts
// permits.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Share is one service of a route and its weight.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // Connection limit per endpoint, over all daemons.
	Engine         *Engine // Nil for a plain service.
	// WarmUp is the time for which an endpoint is cold after its start; zero if the manifest names none.
	WarmUp time.Duration
	// ColdRate is the number of requests per second that a cold endpoint can handle, from all daemons; zero for no bound.
	ColdRate float64
}

// Engine describes the engines of a service that generates tokens.
type Engine struct {
	Slots          int           // Largest number of concurrent sequences.
	MemoryTokens   int           // KV cache capacity in tokens.
	TokenBytes     int64         // KV cache bytes per token.
	LinkMbps       float64       // Rate of the link over which an engine sends KV caches, in Mbit/s.
	TokensPerEvent int           `msgpack:"Stride"` // Output tokens in one event of a stream.
	Migration      bool          `msgpack:"Moves"`
	Backups        bool          // Whether an engine may replicate KV caches to a backup engine.
	CopyRetention  time.Duration `msgpack:"HandleTime"` // How long a copy of a KV cache is kept.
}

// Customer is a customer with its API keys.
type Customer struct {
	Name     string
	Keys     []string
	Priority int // Takes precedence over the priority of the route.

	AllowedRegions []string `msgpack:",omitempty"` // As of a Route; both apply.
}

// Limits bound the size of a client's request and the time to send it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
