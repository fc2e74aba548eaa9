// Package forwarder implements a daemon that forwards client requests to
// registered endpoints, which are plain services or inference engines.
//
// The manifest, which is kept in the store of the platform, declares the routes,
// services and customers. A call to a plain service is retried on another endpoint
// where that is safe. A generation runs on an engine, and its events are streamed
// to the client. If the engine shuts down or fails, another run continues the
// generation from a copy of its KV cache: a backup that was kept on a second
// engine, or the result of a migration.
//
// Daemons are peers: they send each other updates about placements, load reports
// of engines and changes of endpoints, so that they make consistent placements and
// only a few of them watch the store.
//
// The packages under coordination make the decisions; this package carries
// them out with sockets and timers. The protocol of the endpoints and the store of the
// platform are implemented elsewhere and passed in through the interfaces in
// this file.
package forwarder

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/balancer"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Errors returned by a Store.
var (
	ErrNotFound        = errors.New("the store has no such object")
	ErrRevisionExpired = errors.New("the store no longer has the changes after the requested revision")
	ErrUnavailable     = errors.New("the store did not answer")
	ErrRefused         = errors.New("the store refused the call")
)

// StoreRefusedError is the error of a call that the store refused and for which it may have named
// a time to return. It matches ErrRefused.
type StoreRefusedError struct {
	Status     int
	RetryAfter time.Duration // Zero if the store named none.
}

// Error implements error.
func (e StoreRefusedError) Error() string {
	return fmt.Sprintf("%v: status %d, retry after %v", ErrRefused, e.Status, e.RetryAfter)
}

// Unwrap returns ErrRefused.
func (StoreRefusedError) Unwrap() error { return ErrRefused }

// ErrBadRequest means that a client request could not be parsed.
var ErrBadRequest = errors.New("malformed request")

// Request is a client request.
type Request struct {
	ID            string
	Method        string
	Host          string
	Path          string // Includes the query, as the client sent it.
	Key           string // API key, or empty.
	Header        []requester.Header
	Body          []byte
	ClientTimeout time.Duration // Timeout set by the client; zero if it set none.
	LastEvent     string        // ID of the last event of a stream that the client resumes, as it sent it; else empty.
	Generation    Generation
}

// Generation describes the prompt and the expected output of a streaming request.
type Generation struct {
	Model           string
	PromptTokens    int
	MaxTokens       int
	EstimatedTokens int // Number of output tokens that the client expects; zero if it gives none.
	Prefix          []PrefixPart
}

// PrefixPart is a section of a prompt prefix that other prompts may share.
type PrefixPart struct {
	ID     string
	Tokens int
}

// Dispatch holds the parameters of sending a request to one endpoint.
type Dispatch struct {
	Endpoint   registrar.Endpoint
	Customer   string
	Remaining  time.Duration // Time until the deadline.
	Priority   int           // Priority of a generation at the engine; 0 is the highest.
	BackupAddr string        // Address of the engine that keeps a copy of the KV cache, or empty.
	Resume     Resume
	Safe       bool // The request is safe to repeat.
	// SentBefore tells that the request was sent to this address before, whose endpoint may repeat its answer.
	SentBefore bool
}

// Resume describes how to continue a generation. The zero value starts a new one.
type Resume struct {
	Copy      string // Name of the copy of its KV cache, as returned by EndpointClient.CopyName; empty for a new run, which reads the prompt again.
	LastEvent string // ID of the last event that was received; empty if there was none.
}

// Response is the response of an endpoint: its status and header, and a reader for
// the body.
type Response struct {
	Status        int
	Header        []requester.Header // Fields to pass on to the client.
	Body          io.ReadCloser
	FromEndpoint  bool           // The header proves that the endpoint itself sent the response.
	NotExecuted   bool           // The endpoint states that it did not execute the request.
	Misdirected   bool           // Another endpoint now listens on the address.
	Load          *balancer.Load // Nil if the endpoint reported none.
	ContentLength int            // Length of the body in bytes; negative if unknown.
	Framing       verifier.Framing
	Via           string   // Peer through which the endpoint was reached; empty for a direct connection.
	RequestLimit  *float64 // Requests per second that the endpoint accepts from all daemons together; nil if it names no limit.
	Notice        Notice
}

// Notice is what any answer of an endpoint may say about the requests that it wants.
type Notice struct {
	ShuttingDown bool          // The endpoint accepts no new work.
	RetryAfter   time.Duration // Time for which the endpoint wants no request of this daemon; zero if it names none.
	Brittle      *int          // Rejections for want of room within a second beyond which the endpoint ends; nil if it names none.
}

// readAll reads the body to its end, up to a limit in bytes, and closes it.
func (r *Response) readAll(limit int) ([]byte, error) {
	return requester.Response{Body: r.Body, Length: r.ContentLength, Framing: r.Framing}.ReadAll(limit)
}

// MigrationResult is the result of copying the KV cache of a run to another engine.
type MigrationResult struct {
	Handle string // Names the copy in CopyName; empty if the engine returned none.
	Events int    // Number of events produced before the run was stopped.
	// RequestLimit is that of the engine that was called, as in Response.
	RequestLimit *float64
	Notice       Notice // Of the engine that was called.
}

// EngineReport is the load report of an engine.
type EngineReport struct {
	placer.Report
	Started      int64    // As in registrar.Identity; zero if the report does not tell.
	RequestLimit *float64 // As in Response.
	Notice       Notice   // As in Response; set also if the engine refused to report.
}

// Errors of a migration.
var (
	ErrRunNotFound         = errors.New("the engine does not run this request")
	ErrInsufficientMemory  = errors.New("the target engine does not have enough free memory")
	ErrMigrationInProgress = errors.New("a migration of the request is already in progress")
)

// EndpointClient sends requests to endpoints.
type EndpointClient interface {
	requester.Connector
	// Send sends a request and returns the response. The error matches
	// requester.ErrNotSent or requester.ErrOutcomeUnknown.
	Send(ctx context.Context, r *Request, d Dispatch) (Response, error)
	// Report requests the load report of an engine.
	Report(ctx context.Context, e registrar.Endpoint) (EngineReport, error)
	// Probe requests any response of an endpoint on a new connection: that of the health check, or the load report if
	// healthPath is empty. Only a response that can't be read is an error, which matches those of Send.
	Probe(ctx context.Context, e registrar.Endpoint, healthPath string) (Notice, error)
	// WarmUp asks an endpoint how long it stays cold.
	WarmUp(ctx context.Context, e registrar.Endpoint, healthPath string) (time.Duration, error)
	// Migrate copies the KV cache of a run to the engine at address to. If
	// stopRun is set, the engine stops the run first.
	Migrate(ctx context.Context, from registrar.Endpoint, id, to string, stopRun bool) (MigrationResult, error)
	// CopyName returns the name of a copy that a migration or a backup created.
	CopyName(holder registrar.Endpoint, handle string) string
}

// EndpointList is the complete list of endpoints as of a revision.
type EndpointList struct {
	Endpoints []registrar.Endpoint
	Revision  int64
}

// EndpointChange is the change of one entry in the list of endpoints.
type EndpointChange struct {
	Endpoint registrar.Endpoint
	Name     string
	Deleted  bool  `msgpack:"Gone"`
	Revision int64 // Revision of the deletion, if Deleted is set.
}

// EvacuationChange is the begin or the end of the evacuation of a failure domain.
type EvacuationChange struct {
	Domain string
	Ended  bool
}

// Store gives access to the manifest and to the entries of endpoints, evacuations and daemons.
type Store interface {
	// Manifest returns the newest manifest and the revision of the store.
	Manifest(ctx context.Context) (*matcher.Manifest, int64, error)
	// WatchManifest waits until the manifest changes after the revision and
	// returns it, or nil if it does not change within the wait. It also returns
	// the revision for the next call.
	WatchManifest(ctx context.Context, revision int64, wait time.Duration) (*matcher.Manifest, int64, error)
	// Endpoints returns the entries of all endpoints.
	Endpoints(ctx context.Context) (EndpointList, error)
	// WatchEndpoints waits for changes after the revision and returns them, or
	// none if there are none within the wait. It also returns the revision for
	// the next call.
	WatchEndpoints(ctx context.Context, revision int64, wait time.Duration) ([]EndpointChange, int64, error)
	// Evacuations returns the failure domains that are evacuated. The error matches
	// ErrNotFound if the store has no such kind of object, which means that none is.
	Evacuations(ctx context.Context) (registrar.Evacuations, error)
	// WatchEvacuations waits for changes after the revision and returns them in order, or
	// none if there are none within the wait. It also returns the revision for the next call.
	WatchEvacuations(ctx context.Context, revision int64, wait time.Duration) ([]EvacuationChange, int64, error)
	// PutDaemon writes the entry of a daemon.
	PutDaemon(ctx context.Context, d Daemon) error
	// Daemons returns the entries of all daemons, possibly a few seconds old.
	Daemons(ctx context.Context) ([]Daemon, error)
	// DeleteDaemon deletes the entry of a daemon.
	DeleteDaemon(ctx context.Context, name string) error
	// MalformedEntries returns the number of entries that could not be used so far.
	MalformedEntries() int64
	// SetAddr sets the address of later calls.
	SetAddr(addr string)
}

// Daemon is the entry of a daemon in the store.
type Daemon struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"` // Address on which it accepts connections from peers.
	Domain string `json:"domain"`
}
