package forwarder

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/coordination/quarantiner"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/matcher"
)

// Causes for which the context of a request is canceled.
var (
	errClientDisconnected = errors.New("the client closed its connection")
	errTimeout            = errors.New("the deadline of the request has passed")
)

// Limits of client connections. They apply before there is a manifest and in
// addition to its limits.
const (
	maxHeaderBytes    = 64 << 10
	maxBodyBytes      = 8 << 20
	idleTimeout       = 2 * time.Minute // Higher than the limits that manifests set for idle connections.
	defaultRetryAfter = time.Second     // Retry-After without a better estimate; a daemon without a manifest usually has one within this time.
)

// Reason is the reason for the outcome of a request, used in logs, metrics and
// refusals.
type Reason string

// Reasons for the outcome of a request.
const (
	ReasonServed              Reason = "served"
	ReasonNoManifest          Reason = "no_manifest"
	ReasonMalformed           Reason = "malformed"
	ReasonMalformedEventID    Reason = "malformed_event_id"
	ReasonNoRoute             Reason = "no_route"
	ReasonUnknownKey          Reason = "unknown_key"
	ReasonTooLarge            Reason = "too_large"
	ReasonNoEndpoint          Reason = "no_endpoint"
	ReasonUnreachable         Reason = "endpoints_unreachable"
	ReasonNoCapacity          Reason = "no_room"
	ReasonRefused             Reason = "refused_by_endpoints"
	ReasonRetryBudget         Reason = "retry_budget_spent"
	ReasonOutcomeUnknown      Reason = "outcome_unknown"
	ReasonTimeout             Reason = "timeout"
	ReasonClientDisconnected  Reason = "client_gone"
	ReasonStreamCut           Reason = "stream_cut"
	ReasonStopping            Reason = "daemon_stopping"
	ReasonLimited             Reason = "endpoints_limited"
	ReasonDeferred            Reason = "endpoints_deferred"
	ReasonDomainEvacuated     Reason = "domain_evacuated"
	ReasonNoAllowedRegion     Reason = "no_allowed_region"
	ReasonCold                Reason = "endpoints_cold"
	ReasonExceedsEngineMemory Reason = "exceeds_engine_memory"
	ReasonPromptQuarantined   Reason = "prompt_quarantined"
	ReasonRequestQuarantined  Reason = "request_quarantined"
	ReasonMemory              Reason = "daemon_memory"
	ReasonCallerStalled       Reason = "caller_stalled"
	ReasonResponseCut         Reason = "response_cut"
)

// Refusal is an error response that the daemon itself generates.
type Refusal struct {
	Status     int
	Reason     Reason
	RetryAfter time.Duration // Zero if a retry would not help.
}

// Codec translates between the client protocol and the types of this package.
type Codec interface {
	// Decode parses a request. The error wraps ErrBadRequest if the request is
	// malformed.
	Decode(ctx *fasthttp.RequestCtx) (*Request, error)
	// Refuse writes a refusal as the response.
	Refuse(ctx *fasthttp.RequestCtx, r Refusal)
}

// exchange is the state of a request while it is served.
type exchange struct {
	req             *Request
	route           *matcher.Route
	customer        *matcher.Customer
	service         string
	allowedRegions  []string // As returned by matcher.AllowedRegions.
	manifestVersion int64
	memory          *reservation
	responding      atomic.Bool // A part of the response may have been passed on to the client.
	stalled         bool        // The client has stopped reading the response.
	http10          bool        // The client can't read chunks.
	arrived         time.Time
	sentAt          time.Time // When a call was passed on first; zero if it was not.
	deadline        time.Time
	attempts        atomic.Int64          // Attempts, refused ones included.
	limitDenied     bool                  // The limit of an endpoint has denied an attempt.
	unsent          atomic.Int64          // Attempts that reached no endpoint.
	subjects        []quarantiner.Subject // What of the request may crash endpoints; the request itself is the last one.
	trial           atomic.Bool           // The request is sent although it is quarantined, to try it again.
	resumeAfter     int64                 // ID of the last event that the client has received; noEvent if it resumes no stream.
	runs            atomic.Int64          // Engines that may run the request; those that go on from a copy of another run do not count.
	proofs          attemptProofs         // Of the attempts that have ended.
	deliveries      int                   // Attempts that may have reached an endpoint; each one after the first uses the retry budget.

	sentMu sync.Mutex
	sentTo map[string]bool // Addresses to which the request was sent.
}

// recordSend records that the request is being sent to an address, and reports whether it was before. Endpoints
// that have the same address share its connections.
func (x *exchange) recordSend(addr string) bool {
	x.sentMu.Lock()
	defer x.sentMu.Unlock()
	before := x.sentTo[addr]
	if x.sentTo == nil {
		x.sentTo = map[string]bool{}
	}
	x.sentTo[addr] = true
	return before
}

// beginSend records when the request is sent for the first time.
func (x *exchange) beginSend(now time.Time) {
	if x.sentAt.IsZero() {
		x.sentAt = now
	}
}

// SetCodec sets the codec of the client protocol. It must be called before Start.
func (f *Forwarder) SetCodec(c Codec) { f.codec = c }

// newServer returns the server of client connections.
func (f *Forwarder) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               f.handle,
		ErrorHandler:          f.refuseUnreadable,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           f.cfg.Daemon.RequestTime,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		SecureErrorLogMessage: true, // A request that can't be read may hold a key.
		ReduceMemoryUsage:     true,
		Logger:                discardLogger{},

		DisablePreParseMultipartForm: true, // A parsed form is written anew, with other bytes.
	}
}

// serveClients serves client connections until the listener is closed.
func (f *Forwarder) serveClients() {
	if err := f.server.Serve(clientListener{Listener: f.clientListener, f: f}); err != nil && f.ctx.Err() == nil && !f.stopping.Load() {
		f.log.Error().Err(err).Msg("forwarder: client listener failed")
	}
}

// discardLogger discards the messages of the library about broken connections.
// Each affected request has its own log line.
type discardLogger struct{}

// Printf discards a message.
func (discardLogger) Printf(string, ...any) {}

// refuseUnreadable refuses a request that the HTTP library could not parse.
func (f *Forwarder) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	var headerErr *fasthttp.ErrSmallBuffer
	r := Refusal{Status: fasthttp.StatusBadRequest, Reason: ReasonMalformed}
	var netErr net.Error
	c := clientConnOf(ctx)
	switch {
	case c != nil && c.refused.Load():
		r = stopRefusal
		f.metrics.count("requests_refused_" + string(r.Reason))
	case c != nil && c.memoryDenied:
		r = memoryRefusal
		f.metrics.count("requests_refused_" + string(r.Reason))
	case errors.As(err, &headerErr):
		r = Refusal{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Reason: ReasonTooLarge}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Reason: ReasonTooLarge}
	case errors.As(err, &netErr) && netErr.Timeout():
		r = Refusal{Status: fasthttp.StatusRequestTimeout, Reason: ReasonMalformed}
	}
	f.addPromise(f.log.Warn(), &exchange{}, r.Status).Err(err).Str("reason", string(r.Reason)).Msg("forwarder: request could not be read as HTTP")
	f.codec.Refuse(ctx, r)
	ctx.SetConnectionClose()
}

// handle serves one client request.
func (f *Forwarder) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if f.stopping.Load() { // The stop may have begun since the request arrived.
			ctx.SetConnectionClose()
		}
	}()
	now := f.clock.Now()
	conn := clientConnOf(ctx)
	conn.begin()
	req, err := f.codec.Decode(ctx)
	if err != nil {
		f.log.Warn().Err(err).Msg("forwarder: malformed request refused")
		f.metrics.count("requests_malformed")
		f.codec.Refuse(ctx, Refusal{Status: fasthttp.StatusBadRequest, Reason: ReasonMalformed})
		return
	}
	x, refusal := f.admit(req, now)
	x.memory, conn.current, x.http10 = &conn.memory, x, !ctx.Request.Header.IsHTTP11()
	if refusal == nil {
		refusal = f.reserveMemory(x)
	}
	if refusal != nil {
		f.refuse(ctx, x, *refusal, nil)
		return
	}
	f.budget.RecordRequest(x.service, now)
	f.inFlight.Add(1)
	c, cancel := context.WithCancelCause(f.ctx)
	lift := context.AfterFunc(f.requests, func() {
		if !x.responding.Load() {
			cancel(errStopping)
		}
	})
	c, stop := context.WithDeadlineCause(c, x.deadline, errTimeout)
	f.disconnects.watch(ctx.Conn(), cancel)
	release := func() {
		f.disconnects.unwatch(ctx.Conn())
		lift()
		stop()
		cancel(nil)
		f.inFlight.Add(-1)
	}
	if x.route.Kind == matcher.Streaming {
		f.serveStream(c, ctx, x, release)
		return
	}
	if !f.serveCall(c, ctx, x, release) {
		release()
	}
}

// admit determines the route, customer, service and deadline of a request.
func (f *Forwarder) admit(req *Request, now time.Time) (*exchange, *Refusal) {
	x := &exchange{req: req, arrived: now, resumeAfter: noEvent}
	t := f.table.Load()
	if t == nil {
		return x, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonNoManifest, RetryAfter: defaultRetryAfter}
	}
	x.manifestVersion = t.Manifest.Version
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
	if x.resumeAfter, err = resumePoint(x.route, req.LastEvent); err != nil {
		return x, &Refusal{Status: fasthttp.StatusBadRequest, Reason: ReasonMalformedEventID}
	}
	if x.resumeAfter != noEvent {
		f.metrics.count("streams_resumed_by_client")
	}
	x.service, x.allowedRegions = x.route.Service(req.ID), matcher.AllowedRegions(x.route, x.customer)
	timeout := x.route.Timeout
	if req.ClientTimeout > 0 && (timeout <= 0 || req.ClientTimeout < timeout) {
		timeout = req.ClientTimeout
	}
	x.deadline = now.Add(timeout)
	x.subjects = subjectsOf(x)
	return x, nil
}

// refuse writes a refusal and logs its reason and cause.
func (f *Forwarder) refuse(ctx *fasthttp.RequestCtx, x *exchange, r Refusal, cause error) {
	f.codec.Refuse(ctx, r)
	f.metrics.count("requests_refused_" + string(r.Reason))
	level := zerolog.InfoLevel
	if r.Status >= fasthttp.StatusInternalServerError && r.Reason != ReasonClientDisconnected {
		level = zerolog.WarnLevel
	}
	f.addPromise(f.addRequestFields(f.log.WithLevel(level), x), x, r.Status).Err(cause).Int("status", r.Status).Str("reason", string(r.Reason)).
		Dur("retry_after_ms", r.RetryAfter).Msg("forwarder: request refused")
}

// maxLoggedIDBytes limits the size of a client's request ID in log lines.
const maxLoggedIDBytes = 128

// addRequestFields adds the fields that identify a request and its progress to a
// log event.
func (f *Forwarder) addRequestFields(e *zerolog.Event, x *exchange) *zerolog.Event {
	now := f.clock.Now()
	e.Str("request", x.req.ID[:min(len(x.req.ID), maxLoggedIDBytes)]).Int64("manifest", x.manifestVersion).Int64("manifest_age_ms", f.manifests.ageMillis(now)).Dur("held_ms", now.Sub(x.arrived)).Int64("attempts", x.attempts.Load())
	if st := f.peers.manifests.Status(x.manifestVersion, now); st.Newest > 0 && x.manifestVersion == f.manifestVersion() {
		e.Int64("manifest_offered", st.Newest).Dur("manifest_behind_ms", st.Behind).Bool("manifest_fetching", st.Fetching).Int("manifest_fetches_failed", st.Failures)
	}
	if x.route != nil {
		e.Str("route", x.route.Name).Str("service", x.service).Dur("left_ms", x.deadline.Sub(now))
	}
	if x.customer != nil {
		e.Str("customer", x.customer.Name)
	}
	if x.route != nil && x.route.Resumable && len(x.subjects) > 0 {
		e.Str("stream_key", formatSubject(x.subjects[len(x.subjects)-1])) // The same of a stream and the one that resumes it.
	}
	if x.resumeAfter != noEvent {
		e.Int64("resumed_after", x.resumeAfter)
	}
	return e
}

// copyResponseHeader copies the status and header of an endpoint's response to the
// client's response.
func copyResponseHeader(ctx *fasthttp.RequestCtx, res *Response) {
	ctx.SetStatusCode(res.Status)
	ctx.Response.Header.SetNoDefaultContentType(true)
	for _, h := range res.Header {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
}

// provesNotRun reports whether err proves that a request was not executed.
func provesNotRun(err error) bool { return errors.Is(err, requester.ErrNotSent) }

// refusalForContext returns the refusal for a request whose context has ended. It
// returns false if the context has not ended.
func refusalForContext(ctx context.Context, mayHaveRun bool) (Refusal, bool) {
	if ctx.Err() == nil {
		return Refusal{}, false
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errClientDisconnected):
		return Refusal{Status: fasthttp.StatusBadGateway, Reason: ReasonClientDisconnected}, true
	case errors.Is(cause, errStopping) && mayHaveRun:
		return Refusal{Status: fasthttp.StatusBadGateway, Reason: ReasonStopping}, true
	case errors.Is(cause, errStopping):
		return stopRefusal, true
	case mayHaveRun:
		return Refusal{Status: fasthttp.StatusGatewayTimeout, Reason: ReasonTimeout}, true
	default:
		return Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonTimeout, RetryAfter: defaultRetryAfter}, true
	}
}
