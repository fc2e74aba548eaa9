// Package responder is the HTTP API of callers: completions, chat completions,
// models and plain services.
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

// Names of header fields that are not standard.
const (
	HeaderTimeout       = "Request-Timeout-Ms" // Time that the caller gives, in milliseconds.
	HeaderKind          = "Job-Kind"           // Kind of job, for length estimates.
	HeaderNonIdempotent = "Non-Idempotent"     // "true" if the request runs at most once.
	HeaderKey           = "Idempotency-Key"
	HeaderLastEvent     = "Last-Event-Id"
	HeaderOutcome       = "Outcome"
	HeaderRequestID     = "X-Request-Id"
	HeaderReplayed      = "Idempotency-Replayed"

	headerTrace = "traceparent"
)

// Limits of what callers may send.
const (
	maxHeaderBytes = 16 << 10
	maxKeyBytes    = 255
	maxKindBytes   = 64
	readTimeout    = 30 * time.Second
	idleTimeout    = 75 * time.Second
	keepAlives     = 2 // Signs of life before the status is sent without a token.
)

// Generation is a caller's request for a generation.
type Generation struct {
	ID            string // Request id, unique.
	Customer      cataloger.Customer
	Model         string
	Prompt        string
	SharedBytes   int // Length of the start of the prompt that others are likely to share.
	MaxTokens     int // Zero if the caller names none.
	Kind          string
	Stream        bool
	NonIdempotent bool
	Key           string // Idempotency key, or empty.
	Fingerprint   string // Hash of the body.
	Timeout       time.Duration
}

// Call is a caller's request to a plain service.
type Call struct {
	ID            string
	Customer      cataloger.Customer
	Service       string
	Method        string
	Path          string // Path below the service, with the query.
	ContentType   string
	Body          []byte
	Safe          bool // The method changes nothing.
	NonIdempotent bool
	Key           string
	Fingerprint   string
	Timeout       time.Duration
}

// Reply is the answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // The answer is that of an earlier request with the same key.
}

// Backend serves requests that the API has checked.
type Backend interface {
	// Customer returns the customer with the given hash of an API key.
	Customer(keyHash string) (cataloger.Customer, bool)
	// Manifest returns the manifest in force, or nil.
	Manifest() *cataloger.Manifest
	// Ready reports whether new requests should come here.
	Ready() bool
	// Generate begins a generation.
	Generate(ctx context.Context, g Generation) (Stream, error)
	// Resume continues the stream that lastEventID names.
	Resume(ctx context.Context, c cataloger.Customer, lastEventID string) (Stream, error)
	// Call runs a call to a plain service.
	Call(ctx context.Context, c Call) (Reply, error)
}

// Config holds the limits of the listener.
type Config struct {
	MaxBodyBytes int
	RequestID    func() string // Returns a new unique id.
}

// Responder listens for callers.
type Responder struct {
	app     *fiber.App
	backend Backend
	cfg     Config
	clock   timekeeper.Clock
	log     zerolog.Logger
}

// New returns a Responder that serves through b.
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
	})
	r.app.Use(r.recoverPanic, r.closeWhileStopping, joinTrace)
	r.app.Get("/healthz", r.healthz)
	r.app.Get("/readyz", r.readyz)
	r.app.Get("/v1/models", r.models)
	r.app.Post("/v1/completions", r.completions)
	r.app.Post("/v1/chat/completions", r.chat)
	r.app.Get("/v1/completions", r.resumeOnly)
	r.app.Get("/v1/chat/completions", r.resumeOnly)
	r.app.All("/services/:name/*", r.service)
	r.app.Use(func(*fiber.Ctx) error {
		return &RequestError{Status: fiber.StatusNotFound, Code: "not_found", Message: "no such path"}
	})
	return r
}

// Serve accepts callers on l until Shutdown.
func (r *Responder) Serve(l net.Listener) error {
	return errors.Wrap(r.app.Listener(l), "serve callers")
}

// Shutdown stops accepting callers and waits for those that are being served.
func (r *Responder) Shutdown(ctx context.Context) error {
	return errors.Wrap(r.app.ShutdownWithContext(ctx), "shut down callers")
}

func (r *Responder) healthz(c *fiber.Ctx) error { return c.SendString("ok\n") }

func (r *Responder) readyz(c *fiber.Ctx) error {
	if !r.backend.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// customer returns the customer whose key the request carries.
func (r *Responder) customer(c *fiber.Ctx) (cataloger.Customer, error) {
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

// joinTrace makes the caller's trace that of the request.
func joinTrace(c *fiber.Ctx) error {
	parent := c.Get(headerTrace)
	if parent != "" {
		carrier := propagation.MapCarrier{headerTrace: parent}
		c.SetUserContext(propagation.TraceContext{}.Extract(c.UserContext(), carrier))
	}
	return c.Next()
}

// closeWhileStopping ends connections after their answer while the daemon stops,
// so that none is idle when it closes them.
func (r *Responder) closeWhileStopping(c *fiber.Ctx) error {
	if !r.backend.Ready() {
		c.Context().SetConnectionClose()
	}
	return c.Next()
}

// recoverPanic turns a panic of a handler into an error answer.
func (r *Responder) recoverPanic(c *fiber.Ctx) (err error) {
	defer func() {
		if v := recover(); v != nil {
			r.log.Error().Interface("panic", v).Str("path", c.Path()).Msg("responder: handler failed")
			err = &RequestError{Status: fiber.StatusInternalServerError, Code: "internal", Outcome: outcomeUnknown, Message: "internal error"}
		}
	}()
	return c.Next()
}
