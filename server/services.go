package server

import (
	"context"
	"time"

	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/protocol/decoder"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/protocol/responder"

	"github.com/pkg/errors"
)

// errServiceRefused means that a plain service refused a call before running it. If
// requester.ErrOutcomeUnknown matches too, the refusal may belong to an earlier call.
var errServiceRefused = errors.New("server: service refused before running")

// Status and header names of calls to plain services.
const (
	statusUnavailable = 503
	headerNotRun      = "Monsoonspar-Not-Run"
	headerRequestID   = "Monsoonspar-Request-Id"
)

// Call runs a call to a plain service. A call with an idempotency key runs under a
// claim if it is not safe to repeat.
func (s *Server) Call(ctx context.Context, c responder.Call) (responder.Response, error) {
	ctx, span := s.tracer.Start(ctx, "caller")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if s.rejecting.Load() {
		return responder.Response{}, stoppingError()
	}
	s.inFlight.beginRequest(s.clock.Now())
	defer s.inFlight.endRequest()
	s.retries.RecordRequest()
	if c.IdempotencyKey != "" && (c.NonIdempotent || !c.Safe) {
		return s.claimCall(ctx, c)
	}
	reply, outcome, err := s.callService(ctx, c)
	s.metrics.outcomes.Add(string(outcome), 1)
	return reply, err
}

// callService sends a call to endpoints of the service until one answers, the
// attempter gives up or the deadline passes.
func (s *Server) callService(ctx context.Context, c responder.Call) (responder.Response, attempter.Outcome, error) {
	deadline, _ := ctx.Deadline()
	nonIdempotent := c.NonIdempotent || !isIdempotent(c.Method)
	a := attempter.New(attempter.Config{NonIdempotent: nonIdempotent, Deadline: deadline, MaxAttempts: maxAttempts}, s)
	var failed []string
	for {
		endpoint, ok := s.pickEndpoint(c, failed)
		if !ok {
			return responder.Response{}, outcomeOf(a), callError(a, nonIdempotent, "no_endpoint", "no endpoint of the service is ready")
		}
		a.RecordSend()
		reply, err := s.sendCall(ctx, c, endpoint)
		if err == nil {
			return reply, attempter.Ran, nil
		}
		failed = append(failed, endpoint)
		d := a.HandleFailure(s.clock.Now(), callFailure(err))
		if d.Step == attempter.GiveUp {
			a.AssertOutcome(d.Outcome)
			return responder.Response{}, d.Outcome, callError(a, nonIdempotent, "not_served", "the service could not be reached")
		}
		s.metrics.retries.Add(1)
		if s.clock.Sleep(ctx, d.Delay) != nil {
			return responder.Response{}, outcomeOf(a), callError(a, nonIdempotent, "deadline", "the call did not end in time")
		}
	}
}

// isIdempotent reports whether a request with the method may be sent twice.
func isIdempotent(method string) bool { return method != "POST" && method != "PATCH" }

// pickEndpoint returns the preferred endpoint of the service, without those that
// have failed.
func (s *Server) pickEndpoint(c responder.Call, failed []string) (string, bool) {
	cands, err := s.candidates(router.Request{
		Target: router.Target{Service: c.Service}, Exclude: failed, NoProbe: c.NonIdempotent,
	})
	if err != nil || len(cands) == 0 {
		return "", false
	}
	return cands[0].Endpoint, true
}

// sendCall sends a call to one endpoint and reports the result to the routers.
func (s *Server) sendCall(ctx context.Context, c responder.Call, endpoint string) (responder.Response, error) {
	ctx, span := s.tracer.Start(ctx, "endpoint")
	defer span.End()
	e, ok := s.catalog.Load().endpoints[endpoint]
	if !ok {
		return responder.Response{}, errors.Wrap(requester.ErrNotSent, "endpoint is no longer declared")
	}
	if !s.acceptsNewWork(endpoint) {
		return responder.Response{}, errors.Wrap(requester.ErrNotSent, "endpoint is shutting down")
	}
	header := append(hopHeader(ctx, s.clock.Now()), requester.Header{Name: headerRequestID, Value: c.ID})
	if c.ContentType != "" {
		header = append(header, requester.Header{Name: "Content-Type", Value: c.ContentType})
	}
	if c.ContentEncoding != "" {
		header = append(header, requester.Header{Name: "Content-Encoding", Value: c.ContentEncoding})
	}
	nonIdempotent := c.NonIdempotent || !isIdempotent(c.Method)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := s.doer.Do(ctx, requester.Request{
		Method: c.Method, Addr: e.Addr, Path: c.Path, Header: header, Body: c.Body,
		// A late refusal of an earlier call must not prove that this one did not run.
		NonIdempotent: nonIdempotent, OwnConnection: nonIdempotent, ReadTimeout: c.Timeout,
	})
	if err == nil {
		var reply responder.Response
		res.Body = s.replies.limit(ctx, res.Body, res.Length)
		if reply, err = readReply(ctx, cancel, res); err == nil {
			err = res.ConfirmEnd(ctx, s.doer, e.Addr)
		}
		if err == nil {
			s.eachRouter(func(r *router.Router) { r.ReportSuccess(endpoint) })
			return reply, nil
		}
	}
	s.metrics.countMalformed(err)
	s.log.Info().Err(err).Str("request", c.ID).Str("endpoint", endpoint).Msg("service: attempt failed")
	now := s.clock.Now()
	s.eachRouter(func(r *router.Router) { r.ReportFailure(endpoint, now) })
	return responder.Response{}, err
}

// Limits of the body of a refusal, which is dropped.
const (
	maxRefusalBytes = 64 << 10
	refusalReadTime = 50 * time.Millisecond
)

// readReply reads the complete response of a service. It may call cancel, which ends ctx, to close the connection of a
// refusal whose body does not end.
func readReply(ctx context.Context, cancel context.CancelFunc, res requester.Response) (responder.Response, error) {
	if res.Status == statusUnavailable && res.Get(headerNotRun) == "true" {
		// The header decides, unless the body is malformed: the whole is no reply then, and proves nothing.
		limit, stop := context.WithTimeout(ctx, refusalReadTime)
		defer stop()
		defer context.AfterFunc(limit, cancel)()
		if _, err := res.ReadAll(maxRefusalBytes); errors.Is(err, decoder.ErrMalformed) {
			return responder.Response{}, err
		}
		if res.Reused {
			return responder.Response{}, requester.FailureError{Kind: requester.ErrOutcomeUnknown, Cause: errServiceRefused}
		}
		return responder.Response{}, errServiceRefused
	}
	body, err := res.ReadAll(maxReplyBytes)
	if err != nil {
		return responder.Response{}, err
	}
	return responder.Response{Status: res.Status, ContentType: res.Get("Content-Type"), ContentEncoding: res.Get("Content-Encoding"), Body: body}, nil
}

// callFailure classifies an error of sendCall by whether the call can have run.
func callFailure(err error) attempter.Failure {
	switch {
	case errors.Is(err, requester.ErrNotSent):
		return attempter.NotSent
	case errors.Is(err, errServiceRefused) && !errors.Is(err, requester.ErrOutcomeUnknown):
		return attempter.Refused
	}
	return attempter.ConnectionLost
}

// callError returns the final answer for a call without a response from the
// service.
func callError(a *attempter.Attempter, nonIdempotent bool, code, message string) error {
	o := outcomeOf(a)
	if nonIdempotent && o == attempter.Unknown {
		return outcomeUnknownError(message)
	}
	e := &responder.RequestError{Status: 503, Code: code, Message: message, Outcome: o, RetryAfter: time.Second}
	if code == "deadline" {
		e.Status = 504
	}
	return e
}

// outcomeUnknownError returns the final answer for a request that must run at most once and
// may have run. Neither its status nor a Retry-After invites a caller to repeat it.
func outcomeUnknownError(message string) *responder.RequestError {
	return &responder.RequestError{Status: 504, Code: "outcome_unknown", Message: message, Outcome: attempter.Unknown}
}
