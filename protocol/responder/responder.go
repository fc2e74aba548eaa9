// Package responder implements the HTTP API for callers: completions, chat
// completions, the list of models, and calls to plain services, which are
// HTTP services that run no models.
//
// A Responder authenticates and validates each request and passes it to a
// Backend. Completions can be sent as server-sent events, and a client can resume
// such a stream with the ID of the last event that it received.
package responder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"strings"
	"time"

	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/timekeeper"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/propagation"
)

// Names of non-standard header fields.
const (
	HeaderTimeout        = "Request-Timeout-Ms" // Timeout of the request in milliseconds.
	HeaderJobKind        = "Job-Kind"           // Kind of job, for estimates of the output length.
	HeaderNonIdempotent  = "Non-Idempotent"     // "true" if the request must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-Id"
	HeaderOutcome        = "Outcome" // Whether the request ran: ran, not_run or unknown.
	HeaderRequestID      = "X-Request-Id"
	HeaderReplayed       = "Idempotency-Replayed" // "true" if the response is that of an earlier request with the same key.

	headerTrace = "traceparent"
)

// Limits on requests and connections of callers.
const (
	maxHeaderBytes         = 16 << 10
	maxIdempotencyKeyBytes = 255
	maxJobKindBytes        = 64
	readTimeout            = 30 * time.Second
	idleTimeout            = 75 * time.Second
	maxLeadingKeepAlives   = 2 // Keep-alives after which the status is sent without a token.
)

// Generation is a validated request for a generation.
type Generation struct {
	ID                string // Unique request ID.
	Customer          cataloger.Customer
	Model             string
	Prompt            string
	SharedPrefixBytes int // Length of the prompt prefix that other prompts are likely to share.
	MaxTokens         int // Zero if the caller sent none.
	JobKind           string
	Stream            bool
	NonIdempotent     bool
	IdempotencyKey    string // Empty if the caller sent none.
	Fingerprint       string // Hash of the path and the body.
	Timeout           time.Duration
}

// Call is a validated request to a plain service.
type Call struct {
	ID          string
	Customer    cataloger.Customer
	Service     string
	Method      string
	Path        string // Path within the service, with the query.
	ContentType string
	// ContentEncoding is that of the body, which is passed on as the caller sent it.
	ContentEncoding string
	Body            []byte
	Safe            bool // The method changes nothing.
	NonIdempotent   bool
	IdempotencyKey  string
	Fingerprint     string
	Timeout         time.Duration
}

// Response is the response of a plain service.
type Response struct {
	Status          int
	ContentType     string
	ContentEncoding string
	Body            []byte
	Replayed        bool // The response to an earlier request with the same key is returned.
}

// Backend serves validated requests.
type Backend interface {
	// Customer returns the customer whose API key has the given hash.
	Customer(keyHash string) (cataloger.Customer, bool)
	// Manifest returns the current manifest, or nil if there is none yet.
	Manifest() *cataloger.Manifest
	// Ready reports whether this daemon accepts new requests.
	Ready() bool
	// Generate starts a generation.
	Generate(ctx context.Context, g Generation) (Stream, error)
	// Resume continues a stream after the event with the given ID.
	Resume(ctx context.Context, c cataloger.Customer, lastEventID string) (Stream, error)
	// Call forwards a call to a plain service.
	Call(ctx context.Context, c Call) (Response, error)
}

// Config holds the settings of a Responder.
type Config struct {
	MaxBodyBytes int
	RequestID    func() string // Returns a new unique ID.
}

// Responder is the HTTP server for callers.
type Responder struct {
	app     *fiber.App
	backend Backend
	cfg     Config
	clock   timekeeper.Clock
	log     zerolog.Logger
}

// New returns a Responder that passes requests to b.
func New(cfg Config, b Backend, clock timekeeper.Clock, log zerolog.Logger) *Responder {
	r := &Responder{backend: b, cfg: cfg, clock: clock, log: log}
	r.app = fiber.New(fiber.Config{
		AppName:               "monsoonspar",
		BodyLimit:             cfg.MaxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReduceMemoryUsage:     true,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		DisableStartupMessage: true,
		Immutable:             true,
		ErrorHandler:          r.handleError,

		DisablePreParseMultipartForm: true, // A parsed form is written anew, with other bytes.
	})
	r.app.Use(r.recoverPanic, r.closeConnectionUnlessReady, extractTrace)
	r.app.Get("/healthz", r.healthz)
	r.app.Get("/readyz", r.readyz)
	r.app.Get("/v1/models", r.listModels)
	r.app.Post("/v1/completions", r.createCompletion)
	r.app.Post("/v1/chat/completions", r.createChatCompletion)
	r.app.Get("/v1/completions", r.resumeByGet)
	r.app.Get("/v1/chat/completions", r.resumeByGet)
	r.app.All("/services/:name/*", r.callService)
	r.app.Use(func(*fiber.Ctx) error {
		return &RequestError{Status: fiber.StatusNotFound, Code: "not_found", Message: "no such path"}
	})
	return r
}

// Serve accepts connections on l until Shutdown is called.
func (r *Responder) Serve(l net.Listener) error {
	return errors.Wrap(r.app.Listener(l), "serve callers")
}

// Shutdown stops accepting connections and waits for requests in progress.
func (r *Responder) Shutdown(ctx context.Context) error {
	return errors.Wrap(r.app.ShutdownWithContext(ctx), "shut down server for callers")
}

func (r *Responder) healthz(c *fiber.Ctx) error { return c.SendString("ok\n") }

func (r *Responder) readyz(c *fiber.Ctx) error {
	if !r.backend.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// authenticate returns the customer whose API key is in the request.
func (r *Responder) authenticate(c *fiber.Ctx) (cataloger.Customer, error) {
	if r.backend.Manifest() == nil {
		return cataloger.Customer{}, &RequestError{
			Status: fiber.StatusServiceUnavailable, Code: "not_ready",
			Message: "no manifest is in force yet", RetryAfter: time.Second,
		}
	}
	scheme, key, _ := strings.Cut(c.Get(fiber.HeaderAuthorization), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return cataloger.Customer{}, &RequestError{
			Status: fiber.StatusUnauthorized, Code: "no_api_key",
			Message: "the Authorization header must carry a bearer key",
		}
	}
	sum := sha256.Sum256([]byte(key))
	customer, ok := r.backend.Customer(hex.EncodeToString(sum[:]))
	if !ok {
		return cataloger.Customer{}, &RequestError{
			Status: fiber.StatusUnauthorized, Code: "unknown_customer",
			Message: "the API key belongs to no customer",
		}
	}
	return customer, nil
}

// extractTrace makes the caller's span the parent of the spans of the request.
func extractTrace(c *fiber.Ctx) error {
	parent := c.Get(headerTrace)
	if parent != "" {
		carrier := propagation.MapCarrier{headerTrace: parent}
		c.SetUserContext(propagation.TraceContext{}.Extract(c.UserContext(), carrier))
	}
	return c.Next()
}

// closeConnectionUnlessReady closes each connection after its response while the
// daemon is not ready, so that at the end of a shutdown no connection is idle when
// the daemon closes it.
func (r *Responder) closeConnectionUnlessReady(c *fiber.Ctx) error {
	if !r.backend.Ready() {
		c.Context().SetConnectionClose()
	}
	return c.Next()
}

// recoverPanic turns a panic of a handler into an error response.
func (r *Responder) recoverPanic(c *fiber.Ctx) (err error) {
	defer func() {
		if v := recover(); v != nil {
			r.log.Error().Interface("panic", v).Str("path", c.Path()).Msg("responder: handler panicked")
			err = &RequestError{Status: fiber.StatusInternalServerError, Code: "internal", Outcome: outcomeUnknown, Message: "internal error"}
		}
	}()
	return c.Next()
}
