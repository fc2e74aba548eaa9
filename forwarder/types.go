// Package forwarder is a daemon that forwards requests to endpoints which have
// registered themselves: plain services and engines.
//
// It gives the decisions of coordination their sockets and timers. What speaks
// to the outside, the endpoints' protocol and the store of the platform, is
// handed to it through the interfaces in this file.
package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/balancer"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Errors of a Store.
var (
	ErrNotFound    = errors.New("the store has no such object")
	ErrHistoryGone = errors.New("the store has dropped the history that was asked for")
	ErrUnavailable = errors.New("the store did not answer")
	ErrRefused     = errors.New("the store refused the call")
)

// ErrBadRequest means that a request can't be understood.
var ErrBadRequest = errors.New("malformed request")

// Request is a request of a client.
type Request struct {
	ID         string
	Method     string
	Host       string
	Path       string // With the query, as the client sent it.
	Key        string // API key, or empty.
	Header     []requester.Header
	Body       []byte
	Patience   time.Duration // How long the client waits; zero if it does not say.
	Generation Generation
}

// Generation describes the prompt and the output of a streaming request.
type Generation struct {
	Model        string
	PromptTokens int
	MaxTokens    int
	Hint         int // The client's estimate of the output tokens; zero without one.
	Prefix       []Part
}

// Part is a part of a prompt that other prompts may begin with too.
type Part struct {
	ID     string
	Tokens int
}

// Dispatch tells how a request is sent to one endpoint.
type Dispatch struct {
	Endpoint  registrar.Endpoint
	Customer  string
	Remaining time.Duration // Until the deadline.
	Priority  int           // Of generations; 0 is the most urgent.
	Backup    string        // Address of the engine that keeps a copy of the memory, or empty.
	Resume    Resume
	Safe      bool
}

// Resume continues a generation from a copy of its memory. The zero value
// begins a new one.
type Resume struct {
	Copy      string // Names the engine and the copy.
	LastEvent string // Id of the last event that was received.
}

// Answer is the head of an endpoint's answer.
type Answer struct {
	Status  int
	Header  []requester.Header // As the client should get them.
	Body    io.ReadCloser
	Genuine bool           // The endpoint vouches for the answer.
	NotRun  bool           // The endpoint says that it has not run the request.
	Moved   bool           // Another endpoint answers at the address.
	Load    *balancer.Load // Nil if not told.
	Length  int            // Of the body in bytes; negative if not known.
}

// Copy is the result of a move.
type Copy struct {
	Handle string
	Events int // Produced before the run stopped.
}

// Errors of a move.
var (
	ErrNoRun    = errors.New("the engine runs no such request")
	ErrNoRoom   = errors.New("the destination has no room")
	ErrMoveBusy = errors.New("a move of the request is in progress")
)

// Endpoints speaks to endpoints.
type Endpoints interface {
	// Send sends a request. Errors match requester.ErrNotSent or
	// requester.ErrUnknown.
	Send(ctx context.Context, r *Request, d Dispatch) (Answer, error)
	// Report asks an engine for its load.
	Report(ctx context.Context, e registrar.Endpoint) (placer.Report, error)
	// Move copies the memory of a run to another engine, and stops the run
	// first if last is set.
	Move(ctx context.Context, from registrar.Endpoint, id, to string, last bool) (Copy, error)
	// CopyOf returns the name of a copy that a move or a backup has made.
	CopyOf(holder registrar.Endpoint, handle string) string
}

// EndpointList is a full list of endpoints.
type EndpointList struct {
	Endpoints []registrar.Endpoint
	Revision  int64
}

// EndpointChange is one change of the list.
type EndpointChange struct {
	Endpoint registrar.Endpoint
	Name     string
	Gone     bool
	Revision int64 // Of the end, if it is gone.
}

// Store holds the manifest and the entries of endpoints and daemons.
type Store interface {
	// Manifest returns the newest manifest and the revision of the store.
	Manifest(ctx context.Context) (*matcher.Manifest, int64, error)
	// WatchManifest returns the manifest if it changes after the revision, or
	// nil after the wait, and the revision to go on from.
	WatchManifest(ctx context.Context, revision int64, wait time.Duration) (*matcher.Manifest, int64, error)
	// Endpoints returns all entries.
	Endpoints(ctx context.Context) (EndpointList, error)
	// WatchEndpoints returns the changes after the revision, none after the wait.
	WatchEndpoints(ctx context.Context, revision int64, wait time.Duration) ([]EndpointChange, int64, error)
	// Announce writes the entry of a daemon.
	Announce(ctx context.Context, d Daemon) error
	// Daemons returns the entries of all daemons, possibly a few seconds old.
	Daemons(ctx context.Context) ([]Daemon, error)
	// Withdraw removes the entry of a daemon.
	Withdraw(ctx context.Context, name string) error
}

// Daemon is the entry of a daemon.
type Daemon struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"` // For peers.
	Domain string `json:"domain"`
}
