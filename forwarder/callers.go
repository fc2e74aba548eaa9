package forwarder

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/matcher"
)

// Why a request ends without an endpoint's answer.
var (
	errClientGone = errors.New("the client has closed its connection")
	errTimeout    = errors.New("the deadline of the request has passed")
)

// Limits of connections until a manifest says more, and beyond it.
const (
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 8 << 20
	idleTimeout    = 2 * time.Minute // Above the limits that manifests set for idle connections.
	writeGrace     = 2 * time.Second // Beyond the deadline, for a client that reads slowly.
	notReadyReturn = time.Second     // A daemon without a manifest usually has one by then.
)

// Reason says in logs why a request got the answer that it got.
type Reason string

// The reasons.
const (
	ReasonServed      Reason = "served"
	ReasonNotReady    Reason = "no_manifest"
	ReasonMalformed   Reason = "malformed"
	ReasonNoRoute     Reason = "no_route"
	ReasonUnknownKey  Reason = "unknown_key"
	ReasonTooLarge    Reason = "too_large"
	ReasonNoEndpoint  Reason = "no_endpoint"
	ReasonUnreachable Reason = "endpoints_unreachable"
	ReasonNoRoom      Reason = "no_room"
	ReasonRefused     Reason = "refused_by_endpoints"
	ReasonRetryBudget Reason = "retry_budget_spent"
	ReasonUnknown     Reason = "outcome_unknown"
	ReasonTimeout     Reason = "timeout"
	ReasonClientGone  Reason = "client_gone"
	ReasonCut         Reason = "stream_cut"
	ReasonStopping    Reason = "daemon_stopping"
	ReasonTooBig      Reason = "exceeds_engine_memory"
)

// Refusal is an answer of the daemon itself.
type Refusal struct {
	Status     int
	Reason     Reason
	RetryAfter time.Duration // Zero if coming back does not help.
}

// Codec translates between the protocol of clients and requests.
type Codec interface {
	// Decode reads a request. It returns ErrBadRequest, wrapped, for one that
	// can't be understood.
	Decode(ctx *fasthttp.RequestCtx) (*Request, error)
	// Refuse writes an answer of the daemon itself.
	Refuse(ctx *fasthttp.RequestCtx, r Refusal)
}

// exchange is one request while it is served.
type exchange struct {
	req      *Request
	route    *matcher.Route
	customer *matcher.Customer
	service  string
	version  int64
	arrived  time.Time
	deadline time.Time
	attempts atomic.Int64 // Sends, refused ones included.
	arrivals int          // Sends that may have reached an endpoint; those after the first draw on the retry budget.
}

// SetCodec sets the protocol of clients. It is called before Start.
func (f *Forwarder) SetCodec(c Codec) { f.codec = c }

// serveCallers answers clients until the listener closes.
func (f *Forwarder) serveCallers() {
	f.server = &fasthttp.Server{
		Handler:               f.handle,
		ErrorHandler:          f.refuseMalformed,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           0,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		ReduceMemoryUsage:     true,
		Logger:                quietLogger{},
	}
	if err := f.server.Serve(f.callers); err != nil && f.ctx.Err() == nil && !f.stopping.Load() {
		f.log.Error().Err(err).Msg("forwarder: listener for clients failed")
	}
}

// quietLogger drops what the library logs of broken connections; each request
// that suffers from one has a line of its own.
type quietLogger struct{}

// Printf drops a message.
func (quietLogger) Printf(string, ...any) {}

// refuseMalformed answers a request that the library could not read.
func (f *Forwarder) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	r := Refusal{Status: fasthttp.StatusBadRequest, Reason: ReasonMalformed}
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		r = Refusal{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Reason: ReasonTooLarge}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Reason: ReasonTooLarge}
	case errors.As(err, &netErr) && netErr.Timeout():
		r = Refusal{Status: fasthttp.StatusRequestTimeout, Reason: ReasonMalformed}
	}
	f.log.Warn().Err(err).Str("reason", string(r.Reason)).Msg("forwarder: unreadable request refused")
	f.codec.Refuse(ctx, r)
	ctx.SetConnectionClose()
}

// handle serves one request.
func (f *Forwarder) handle(ctx *fasthttp.RequestCtx) {
	if f.stopping.Load() {
		ctx.SetConnectionClose()
	}
	now := f.clock.Now()
	f.limitWriting(ctx, now.Add(writeGrace))
	req, err := f.codec.Decode(ctx)
	if err != nil {
		f.log.Warn().Err(err).Msg("forwarder: malformed request refused")
		f.metrics.count("requests_malformed")
		f.codec.Refuse(ctx, Refusal{Status: fasthttp.StatusBadRequest, Reason: ReasonMalformed})
		return
	}
	x, refusal := f.admit(req, now)
	if refusal != nil {
		f.refuse(ctx, x, *refusal, nil)
		return
	}
	f.limitWriting(ctx, x.deadline.Add(writeGrace))
	f.budget.RecordRequest(x.service, now)
	f.inFlight.Add(1)
	c, cancel := context.WithCancelCause(f.ctx)
	c, stop := context.WithDeadlineCause(c, x.deadline, errTimeout)
	f.presence.watch(ctx.Conn(), cancel)
	release := func() {
		f.presence.forget(ctx.Conn())
		stop()
		cancel(nil)
		f.inFlight.Add(-1)
	}
	if x.route.Kind == matcher.Streaming {
		f.serveStream(c, ctx, x, release)
		return
	}
	defer release()
	f.serveCall(c, ctx, x)
}

// limitWriting bounds how long a client that does not read can hold the answer
// up.
func (f *Forwarder) limitWriting(ctx *fasthttp.RequestCtx, until time.Time) {
	if err := ctx.Conn().SetWriteDeadline(until); err != nil {
		f.log.Debug().Err(err).Msg("forwarder: connection closed before its answer")
	}
}

// admit finds route, customer and service of a request.
func (f *Forwarder) admit(req *Request, now time.Time) (*exchange, *Refusal) {
	x := &exchange{req: req, arrived: now}
	t := f.table.Load()
	if t == nil {
		return x, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonNotReady, RetryAfter: notReadyReturn}
	}
	x.version = t.Manifest.Version
	var err error
	if x.route, err = t.Route(req.Host, req.Path); err != nil {
		return x, &Refusal{Status: fasthttp.StatusNotFound, Reason: ReasonNoRoute}
	}
	if x.customer, err = t.Customer(x.route, req.Key); err != nil {
		return x, &Refusal{Status: fasthttp.StatusUnauthorized, Reason: ReasonUnknownKey}
	}
	if n := t.Manifest.Limits.BodyBytes; n > 0 && len(req.Body) > n {
		return x, &Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Reason: ReasonTooLarge}
	}
	x.service = x.route.Service(req.ID)
	patience := x.route.Timeout
	if req.Patience > 0 && (patience <= 0 || req.Patience < patience) {
		patience = req.Patience
	}
	x.deadline = now.Add(patience)
	return x, nil
}

// refuse answers with the daemon's own word and logs why.
func (f *Forwarder) refuse(ctx *fasthttp.RequestCtx, x *exchange, r Refusal, cause error) {
	f.codec.Refuse(ctx, r)
	f.metrics.count("requests_refused_" + string(r.Reason))
	level := zerolog.InfoLevel
	if r.Status >= fasthttp.StatusInternalServerError && r.Reason != ReasonClientGone {
		level = zerolog.WarnLevel
	}
	f.describe(f.log.WithLevel(level), x).Err(cause).Int("status", r.Status).Str("reason", string(r.Reason)).
		Dur("retry_after_ms", r.RetryAfter).Msg("forwarder: request refused")
}

// describe adds what identifies a request and its course to a line.
func (f *Forwarder) describe(e *zerolog.Event, x *exchange) *zerolog.Event {
	now := f.clock.Now()
	e.Str("request", x.req.ID).Int64("manifest", x.version).Dur("held_ms", now.Sub(x.arrived)).Int64("attempts", x.attempts.Load())
	if x.route != nil {
		e.Str("route", x.route.Name).Str("service", x.service).Dur("left_ms", x.deadline.Sub(now))
	}
	if x.customer != nil {
		e.Str("customer", x.customer.Name)
	}
	return e
}

// copyHeader sets the header of an endpoint's answer.
func copyHeader(ctx *fasthttp.RequestCtx, a *Answer) {
	ctx.SetStatusCode(a.Status)
	ctx.Response.Header.SetNoDefaultContentType(true)
	for _, h := range a.Header {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
}

// notRun reports whether err proves that a request did not run.
func notRun(err error) bool { return errors.Is(err, requester.ErrNotSent) }

// failureOf returns the refusal for a request whose context has ended, and
// false if it has not.
func failureOf(ctx context.Context, mayHaveRun bool) (Refusal, bool) {
	if ctx.Err() == nil {
		return Refusal{}, false
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errClientGone):
		return Refusal{Status: fasthttp.StatusBadGateway, Reason: ReasonClientGone}, true
	case mayHaveRun:
		return Refusal{Status: fasthttp.StatusGatewayTimeout, Reason: ReasonTimeout}, true
	default:
		return Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonTimeout, RetryAfter: notReadyReturn}, true
	}
}
