package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/coordination/balancer"
	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/protocol/decoder"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Limits of calls to plain services.
const (
	maxRefusalBytes       = 64 << 10               // Size of the body of a refusal, which is dropped.
	refusalReadTime       = 50 * time.Millisecond  // A refusal whose body takes longer ends with its connection.
	maxAttempts           = 4                      // Attempts for one request, refused ones included.
	maxUnsentAttempts     = 12                     // Attempts for one generation that reach no engine.
	retryReserve          = 0.3                    // Fraction of the retry budget kept for requests that no endpoint has executed.
	unavailableRetryAfter = 300 * time.Millisecond // Retry-After of a refused call; the queues of plain services empty within this time.
	attemptTimeDivisor    = 2                      // An attempt that may be retried gets the remaining time divided by this, to leave time for the next one.
)

// errUnverifiedResponse means that a response lacks the proof that the endpoint
// itself sent it.
var errUnverifiedResponse = errors.New("response lacks the proof that it was sent by the endpoint")

// errUnprovenRefusal means that a response refuses the request, but does not prove that the
// request was not executed. Its status would promise that to the client.
var errUnprovenRefusal = errors.New("refusal does not prove that the request was not executed")

// promisesNotRun reports whether a client takes the status as a promise that the request was
// not executed.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// callAttempt is the result of one attempt at a call.
type callAttempt struct {
	response Response
	body     []byte
	err      error
	notRun   bool        // It is certain that the endpoint did not execute the request.
	relay    *relay      // Passes on the rest of the body; nil if body is the whole.
	ended    <-chan bool // Gets whether the endpoint has ended; nil unless the attempt was lost.
}

// serveCall serves a request to a plain service. It retries on other endpoints
// where the request can't have been executed or is safe to repeat. It reports whether
// the response is passed on by a relay, which then calls release.
func (f *Forwarder) serveCall(ctx context.Context, out *fasthttp.RequestCtx, x *exchange, release func()) bool {
	exclude := map[registrar.Identity]bool{}
	mayHaveRun, possibleRuns := false, 0
	reason := ReasonNoEndpoint
	var lastAttempt callAttempt
	for {
		if refusal := f.refuseQuarantined(x); refusal != nil {
			if !mayHaveRun {
				f.refuse(out, x, *refusal, errQuarantined)
				return false
			}
			break
		}
		e, ok := f.pickEndpoint(ctx, x, exclude)
		if !ok {
			reason = f.noEndpointReason(x, lastAttempt)
			break
		}
		if denied := f.denyAttempt(x, mayHaveRun); denied != "" {
			f.balancer(x.service).Cancel(e.Identity)
			reason = denied
			break
		}
		lastAttempt = f.attemptCall(ctx, x, e, possibleRuns+1 < x.route.Attempts)
		exclude[e.Identity] = true
		if lastAttempt.relay != nil {
			lastAttempt.relay.release = release
			copyResponseHeader(out, &lastAttempt.response)
			out.Response.SetBodyStream(lastAttempt.relay, max(lastAttempt.response.ContentLength, unknownLength))
			return true
		}
		if lastAttempt.err == nil && !lastAttempt.notRun && lastAttempt.response.Status < fasthttp.StatusInternalServerError {
			f.writeResponse(out, x, e, lastAttempt)
			return false
		}
		if !lastAttempt.notRun {
			mayHaveRun = true
			possibleRuns++
		}
		if !f.mayContinue(ctx, x, lastAttempt, mayHaveRun, possibleRuns) {
			reason = ReasonRefused
			if errors.Is(lastAttempt.err, errNoRoom) {
				reason = ReasonNoCapacity
			}
			break
		}
	}
	f.failCall(ctx, out, x, lastAttempt, mayHaveRun, reason)
	return false
}

// denyAttempt returns the reason for which a call must not be sent to an endpoint now, or an empty one.
func (f *Forwarder) denyAttempt(x *exchange, mayHaveRun bool) Reason {
	now := f.clock.Now()
	switch {
	case !mayHaveRun && f.callOutlastsDaemon(x, now):
		return ReasonStopping
	case x.deliveries > 0 && !f.budget.TryRetry(x.service, retryReserveFor(mayHaveRun), now):
		return ReasonRetryBudget
	}
	return ""
}

// mayContinue reports whether a call may be sent to another endpoint after its last attempt.
func (f *Forwarder) mayContinue(ctx context.Context, x *exchange, lastAttempt callAttempt, mayHaveRun bool, possibleRuns int) bool {
	if ctx.Err() != nil || (mayHaveRun && x.route.Kind != matcher.Safe) || possibleRuns >= max(x.route.Attempts, 1) || x.attempts.Load() >= maxAttempts {
		return false
	}
	return lastAttempt.ended == nil || f.mayRepeat(ctx, x, lastAttempt.ended)
}

// pickEndpoint picks an endpoint whose limit, if it names one, permits the request.
// Those that do not are added to exclude.
func (f *Forwarder) pickEndpoint(ctx context.Context, x *exchange, exclude map[registrar.Identity]bool) (registrar.Endpoint, bool) {
	for {
		now := f.clock.Now()
		q := balancer.Request{Goal: x.route.LatencyTarget, Unsafe: x.route.Kind != matcher.Safe}
		e, ok := f.balancer(x.service).PickFor(q, f.withWarmUps(f.permittedEndpoints(f.allowedEndpoints(x, f.registry.Usable(x.service)), now), now), exclude, now)
		if !ok || f.acquireGrant(ctx, e, limiter.Normal) {
			return e, ok
		}
		f.balancer(x.service).Cancel(e.Identity)
		exclude[e.Identity], x.limitDenied = true, true
	}
}

// noEndpointReason returns the reason why no endpoint is left to try.
func (f *Forwarder) noEndpointReason(x *exchange, lastAttempt callAttempt) Reason {
	if r := f.noEndpointRefusal(x); r != nil && r.Reason != ReasonNoEndpoint {
		return r.Reason
	}
	usable := f.allowedEndpoints(x, f.registry.Usable(x.service))
	if lastAttempt.err == nil && (x.limitDenied || len(f.permittedEndpoints(usable, f.clock.Now())) < len(usable)) {
		return ReasonLimited
	}
	if errors.Is(lastAttempt.err, errNoRoom) {
		return ReasonNoCapacity
	}
	if lastAttempt.err != nil || len(usable) > 0 {
		return ReasonUnreachable
	}
	return ReasonNoEndpoint
}

// retryReserveFor returns the fraction of the retry budget that a retry must not
// use.
func retryReserveFor(mayHaveRun bool) float64 {
	if mayHaveRun {
		return retryReserve
	}
	return 0
}

// errAttemptTime means that an attempt was given up to leave time for another one.
var errAttemptTime = errors.New("the time of the attempt has passed")

// limitAttempt ends an attempt at its deadline, which may be earlier than that of the request. It
// returns a function that lifts the limit, and reports whether the attempt had not been ended by then.
func limitAttempt(ctx context.Context, deadline time.Time, cancel context.CancelCauseFunc) (lift func() bool) {
	limit, stop := context.WithDeadline(ctx, deadline)
	stopCall := context.AfterFunc(limit, func() { cancel(errAttemptTime) })
	return func() bool {
		lifted := stopCall()
		stop()
		return lifted
	}
}

// attemptCall sends a call to an endpoint and reads the complete response, or starts to pass it on
// if it is large.
func (f *Forwarder) attemptCall(ctx context.Context, x *exchange, e registrar.Endpoint, mayRetry bool) callAttempt {
	x.attempts.Add(1)
	start := f.clock.Now()
	x.beginSend(start)
	attemptDeadline := x.deadline
	if mayRetry && x.route.Kind == matcher.Safe {
		attemptDeadline = start.Add(x.deadline.Sub(start) / attemptTimeDivisor)
	}
	c, cancel := context.WithCancelCause(ctx)
	lift := limitAttempt(c, attemptDeadline, cancel)
	granted := f.isGranted(e)
	res, err := Response{}, f.mayStartWork(x, e)
	if err == nil {
		res, err = f.endpoints.Send(c, x.req, Dispatch{
			Endpoint: e, Customer: x.customer.Name, Remaining: attemptDeadline.Sub(start), Safe: x.route.Kind == matcher.Safe,
			SentBefore: x.recordSend(e.Addr),
		})
	}
	a := callAttempt{response: res, err: err, notRun: err != nil && provesNotRun(err)}
	if err == nil {
		f.observeResponse(e, &res, granted)
		a = f.readResponse(c, x, e, res, mayRetry, cancel)
	}
	a.endUnless(lift())
	if a.relay != nil {
		x.deliveries++
		x.proofs.record(proofNone)
		a.relay.start(f.clock.Now().Sub(start))
		return a
	}
	if cause := context.Cause(c); a.err != nil && errors.Is(cause, errAttemptTime) {
		a.err = withCause(a.err, cause)
		f.metrics.count("requests_given_up")
	}
	if a.err == nil && !a.notRun && x.route.Kind != matcher.Safe && promisesNotRun(res.Status) {
		a.err = errUnprovenRefusal
	}
	if a.err == nil || !a.notRun {
		x.deliveries++
	}
	f.finishAttempt(c, x, e, &a, f.clock.Now().Sub(start))
	cancel(nil)
	return a
}

// endUnless ends an attempt whose time had passed before its limit was lifted, and of whose response
// nothing was passed on.
func (a *callAttempt) endUnless(lifted bool) {
	if !lifted && a.relay != nil {
		_ = a.response.Body.Close() // Nothing more is read.
		a.relay, a.err = nil, errAttemptTime
	}
}

// finishAttempt records and logs how an attempt ended.
func (f *Forwarder) finishAttempt(ctx context.Context, x *exchange, e registrar.Endpoint, a *callAttempt, took time.Duration) {
	f.recordEvidence(ctx, x, e, a)
	result := a.balancerResult(took)
	if errors.Is(context.Cause(ctx), errClientDisconnected) {
		result.Failed, result.Unreachable = false, false // The failure was caused by the client,
		result.Latency = 0                               // and the time says nothing of the endpoint.
	}
	f.balancer(x.service).Done(e.Identity, result, f.clock.Now())
	f.logCapacity(x.service, e)
	f.handleMisdirected(e, a.response)
	if a.err == nil && !a.notRun {
		x.proofs.record(proofNone)
		return
	}
	f.recordProof(f.addCapacity(f.addRequestFields(f.log.Info(), x), x.service, e), x, a.response.Via, a.notRun, a.err).Err(a.err).Str("endpoint", e.Name).Int("status", a.response.Status).Bool("not_run", a.notRun).
		Msg("forwarder: attempt failed")
}

// recordEvidence records what an attempt says about whether the request crashes endpoints: it
// does not if there is a complete response, and may if the connection broke off.
func (f *Forwarder) recordEvidence(ctx context.Context, x *exchange, e registrar.Endpoint, a *callAttempt) {
	switch {
	case a.notRun:
	case a.err == nil:
		f.quarantine.RecordProgress(x.subjects, f.clock.Now())
		f.wakeForEvidence()
	case ctx.Err() == nil:
		a.ended = f.checkService(x, e)
	}
}

// balancerResult returns the result of the attempt for the balancer.
func (a *callAttempt) balancerResult(took time.Duration) balancer.Result {
	noRoom := errors.Is(a.err, errNoRoom)
	r := balancer.Result{Load: a.response.Load, Latency: took, Unreachable: a.err != nil && a.notRun && !noRoom, Refused: noRoom || a.err == nil && a.notRun}
	r.Failed = !r.Unreachable && !r.Refused && (a.err != nil || a.response.Status >= fasthttp.StatusInternalServerError)
	return r
}

// readResponse reads the body of a response and verifies that the endpoint sent all of it. A
// body that is too large to be buffered is passed on by a relay. It may call cancel, which ends
// ctx, to close the connection.
func (f *Forwarder) readResponse(ctx context.Context, x *exchange, e registrar.Endpoint, res Response, mayRetry bool, cancel context.CancelCauseFunc) callAttempt {
	a := callAttempt{response: res, notRun: res.NotExecuted || res.Misdirected}
	if a.notRun {
		a.err = f.readRefusal(ctx, &res, cancel)
		a.response, a.notRun = res, a.err == nil
		return a
	}
	var whole bool
	if a.body, whole, a.err = f.readPrefix(x, &res); a.err == nil && !whole {
		if a.err = passesOn(x, &res, mayRetry); a.err == nil {
			a.relay = newRelay(ctx, cancel, f, x, e, res, a.body)
			return a
		}
		_ = res.Body.Close() // The rest is not read.
	}
	if a.err == nil && !res.FromEndpoint {
		a.err = errUnverifiedResponse
	}
	if a.err == nil {
		a.err = f.confirmEnd(ctx, e, res)
	}
	return a
}

// readRefusal reads the body of a refusal, which is dropped, so that its connection can be used again. The header decides,
// unless the body is malformed: the whole is no response then, and readRefusal removes what the header says. It may call
// cancel, which closes the connection.
func (f *Forwarder) readRefusal(ctx context.Context, res *Response, cancel context.CancelCauseFunc) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f.spawn(func() {
		if f.clock.Sleep(ctx, refusalReadTime) == nil {
			cancel(nil)
		}
	})
	if _, err := res.readAll(maxRefusalBytes); errors.Is(err, decoder.ErrMalformed) {
		f.countMalformed(err)
		*res = Response{Status: res.Status, Body: res.Body, Via: res.Via}
		return err
	}
	return nil
}

// handleMisdirected takes an endpoint out of service if another one now listens on
// its address.
func (f *Forwarder) handleMisdirected(e registrar.Endpoint, res Response) {
	if !res.Misdirected {
		return
	}
	if _, changed := f.registry.MarkReplaced(e.Identity); changed {
		f.log.Warn().Str("endpoint", e.Name).Str("addr", e.Addr).Msg("forwarder: another endpoint listens on the address; endpoint gets no more requests")
	}
}

// writeResponse writes the response of an endpoint to the client.
func (f *Forwarder) writeResponse(out *fasthttp.RequestCtx, x *exchange, e registrar.Endpoint, a callAttempt) {
	copyResponseHeader(out, &a.response)
	out.Response.SetBodyRaw(a.body)
	f.recordAnswered(x, e, &a.response, len(a.body))
}

// recordAnswered records and logs that a call has been answered with a body of n bytes.
func (f *Forwarder) recordAnswered(x *exchange, e registrar.Endpoint, res *Response, n int) {
	f.recordDuration(x, true)
	f.metrics.count("calls_answered")
	f.metrics.observe("call_latency", f.clock.Now().Sub(x.arrived))
	f.addPromise(f.addCapacity(f.addRequestFields(f.log.Info(), x), x.service, e), x, res.Status).Str("endpoint", e.Name).Int("status", res.Status).Stringer("framing", res.Framing).Str("via", res.Via).Int("bytes", n).Str("reason", string(ReasonServed)).Msg("forwarder: call answered")
}

// failCall ends a call for which there is no successful response. A genuine server
// error of the endpoint is passed on to the client.
func (f *Forwarder) failCall(ctx context.Context, out *fasthttp.RequestCtx, x *exchange, lastAttempt callAttempt, mayHaveRun bool, reason Reason) {
	if lastAttempt.err == nil && !lastAttempt.notRun && lastAttempt.response.FromEndpoint && lastAttempt.response.Status >= fasthttp.StatusInternalServerError {
		copyResponseHeader(out, &lastAttempt.response)
		out.Response.SetBodyRaw(lastAttempt.body)
		f.metrics.count("calls_failed_by_endpoint")
		f.addPromise(f.addRequestFields(f.log.Warn(), x), x, lastAttempt.response.Status).Int("status", lastAttempt.response.Status).Msg("forwarder: endpoint returned a server error; passed on to the client")
		return
	}
	if r, ended := refusalForContext(ctx, mayHaveRun); ended {
		if mayHaveRun {
			f.recordDuration(x, false)
		}
		f.refuse(out, x, r, lastAttempt.err)
		return
	}
	if mayHaveRun {
		f.refuse(out, x, Refusal{Status: fasthttp.StatusBadGateway, Reason: ReasonOutcomeUnknown}, lastAttempt.err)
		return
	}
	if reason == ReasonStopping {
		f.refuse(out, x, stopRefusal, lastAttempt.err)
		return
	}
	r := Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: reason, RetryAfter: unavailableRetryAfter}
	now := f.clock.Now()
	if reason == ReasonDomainEvacuated || reason == ReasonNoAllowedRegion {
		r.RetryAfter = excludedRetryAfter
	}
	if _, all := f.allDeferred(f.allowedEndpoints(x, f.registry.Usable(x.service)), now); all || reason == ReasonLimited {
		r = f.limitRefusal(x, now)
	}
	f.refuse(out, x, r, lastAttempt.err)
}
