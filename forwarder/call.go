package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/coordination/balancer"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Bounds of calls to plain services.
const (
	maxAnswerBytes  = 4 << 20                // Of an answer that is held until it is complete.
	maxRefusals     = 4                      // Endpoints that may refuse a request before it is refused.
	retryReserve    = 0.3                    // Part of the retry budget that is left to requests that no endpoint has run.
	fullReturn      = 300 * time.Millisecond // Queues of plain services drain in this time.
	patientFraction = 2                      // A repeatable request leaves this part of its time to another attempt.
)

// errNotGenuine means that a success was not the endpoint's own.
var errNotGenuine = errors.New("the answer does not prove to be the endpoint's")

// callAttempt is what came of sending a call once.
type callAttempt struct {
	answer Answer
	body   []byte
	err    error
	notRun bool
}

// serveCall serves a request to a plain service.
func (f *Forwarder) serveCall(ctx context.Context, out *fasthttp.RequestCtx, x *exchange) {
	exclude := map[registrar.Identity]bool{}
	mayHaveRun, runs := false, 0
	reason := ReasonNoEndpoint
	var last callAttempt
	for {
		e, ok := f.balancer(x.service).Pick(f.registry.Usable(x.service), exclude, f.clock.Now())
		if !ok {
			reason = f.reasonForNone(x, last)
			break
		}
		if x.arrivals > 0 && !f.budget.TryRetry(x.service, reserveFor(mayHaveRun), f.clock.Now()) {
			f.balancer(x.service).Done(e.Identity, balancer.Result{}, f.clock.Now())
			reason = ReasonRetryBudget
			break
		}
		last = f.callOnce(ctx, x, e, runs+1 < x.route.Attempts)
		exclude[e.Identity] = true
		if last.err == nil && !last.notRun && last.answer.Status < fasthttp.StatusInternalServerError {
			f.answerCall(out, x, e, last)
			return
		}
		if !last.notRun {
			mayHaveRun = true
			runs++
		}
		if ctx.Err() != nil || (mayHaveRun && x.route.Kind != matcher.Safe) || runs >= max(x.route.Attempts, 1) || x.attempts.Load() >= maxRefusals {
			reason = ReasonRefused
			break
		}
	}
	f.failCall(ctx, out, x, last, mayHaveRun, reason)
}

// reasonForNone says why no endpoint is left to try.
func (f *Forwarder) reasonForNone(x *exchange, last callAttempt) Reason {
	if last.err != nil || len(f.registry.Usable(x.service)) > 0 {
		return ReasonUnreachable
	}
	return ReasonNoEndpoint
}

// reserveFor returns the part of the retry budget that a repeat must leave.
func reserveFor(mayHaveRun bool) float64 {
	if mayHaveRun {
		return retryReserve
	}
	return 0
}

// callOnce sends a call to an endpoint and reads the whole answer.
func (f *Forwarder) callOnce(ctx context.Context, x *exchange, e registrar.Endpoint, mayRepeat bool) callAttempt {
	x.attempts.Add(1)
	start := f.clock.Now()
	limit := x.deadline
	if mayRepeat && x.route.Kind == matcher.Safe {
		limit = start.Add(x.deadline.Sub(start) / patientFraction)
	}
	c, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	answer, err := f.endpoints.Send(c, x.req, Dispatch{
		Endpoint: e, Customer: x.customer.Name, Remaining: limit.Sub(start), Safe: x.route.Kind == matcher.Safe,
	})
	a := callAttempt{answer: answer, err: err, notRun: err != nil && notRun(err)}
	if err == nil {
		a = readCall(answer)
	}
	if a.err == nil || !a.notRun {
		x.arrivals++
	}
	r := a.result(f.clock.Now().Sub(start))
	if errors.Is(context.Cause(ctx), errClientGone) {
		r.Failed, r.Unreachable = false, false // The endpoint is not to blame.
	}
	f.balancer(x.service).Done(e.Identity, r, f.clock.Now())
	f.noteMoved(e, answer)
	if a.err != nil || a.notRun {
		f.describe(f.log.Info(), x).Err(a.err).Str("endpoint", e.Name).Int("status", answer.Status).Bool("not_run", a.notRun).
			Msg("forwarder: attempt failed")
	}
	return a
}

// result returns what the attempt tells of its endpoint.
func (a *callAttempt) result(took time.Duration) balancer.Result {
	r := balancer.Result{Load: a.answer.Load, Latency: took, Unreachable: a.err != nil && a.notRun, Refused: a.err == nil && a.notRun}
	r.Failed = !r.Unreachable && !r.Refused && (a.err != nil || a.answer.Status >= fasthttp.StatusInternalServerError)
	return r
}

// readCall reads an answer to its end and checks it.
func readCall(answer Answer) callAttempt {
	defer func() { _ = answer.Body.Close() }()
	a := callAttempt{answer: answer, notRun: answer.NotRun || answer.Moved}
	a.body, a.err = io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if a.notRun {
		a.err = nil // The head says all that matters.
		return a
	}
	if a.err == nil && !answer.Genuine {
		a.err = errNotGenuine
	}
	return a
}

// noteMoved drops an endpoint at whose address another one answers.
func (f *Forwarder) noteMoved(e registrar.Endpoint, a Answer) {
	if !a.Moved {
		return
	}
	if _, news := f.registry.MarkLeaving(e.Identity); news {
		f.log.Warn().Str("endpoint", e.Name).Str("addr", e.Addr).Msg("forwarder: another endpoint answers at the address; no more requests go there")
	}
}

// answerCall passes an endpoint's answer on.
func (f *Forwarder) answerCall(out *fasthttp.RequestCtx, x *exchange, e registrar.Endpoint, a callAttempt) {
	copyHeader(out, &a.answer)
	out.Response.SetBodyRaw(a.body)
	took := f.clock.Now().Sub(x.arrived)
	f.metrics.count("calls_answered")
	f.metrics.observe("call_latency", took)
	f.describe(f.log.Info(), x).Str("endpoint", e.Name).Int("status", a.answer.Status).Str("reason", string(ReasonServed)).Msg("forwarder: call answered")
}

// failCall ends a call that no endpoint has answered with success.
func (f *Forwarder) failCall(ctx context.Context, out *fasthttp.RequestCtx, x *exchange, last callAttempt, mayHaveRun bool, reason Reason) {
	if last.err == nil && !last.notRun && last.answer.Genuine && last.answer.Status >= fasthttp.StatusInternalServerError {
		copyHeader(out, &last.answer)
		out.Response.SetBodyRaw(last.body)
		f.metrics.count("calls_failed_by_endpoint")
		f.describe(f.log.Warn(), x).Int("status", last.answer.Status).Msg("forwarder: failure of the endpoint passed on")
		return
	}
	if r, ended := failureOf(ctx, mayHaveRun); ended {
		f.refuse(out, x, r, last.err)
		return
	}
	if mayHaveRun {
		f.refuse(out, x, Refusal{Status: fasthttp.StatusBadGateway, Reason: ReasonUnknown}, last.err)
		return
	}
	f.refuse(out, x, Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: reason, RetryAfter: fullReturn}, last.err)
}
