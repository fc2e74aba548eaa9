package server

import (
	"context"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/protocol/generator"
	"monsoonspar.example/protocol/messenger"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/protocol/responder"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// maxPrefixBytes bounds the prompt prefix whose hash routes requests with a common
// prefix to the same endpoint.
const maxPrefixBytes = 512

// prefixHash returns the hash of the part of a prompt that is likely to be shared
// with other requests, or of the first maxPrefixBytes if none is known.
func prefixHash(g responder.Generation) uint64 {
	n := g.SharedPrefixBytes
	if n == 0 {
		n = min(len(g.Prompt), maxPrefixBytes)
	}
	return hashString(g.Prompt[:n])
}

// hashString returns the 64-bit xxHash of s.
func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// openStream obtains a permit for an engine and opens a stream from it. Failed
// attempts are retried as the attempter decides.
func (g *generation) openStream(id sequencer.AttemptID) openResult {
	ctx, span := g.s.tracer.Start(g.ctx, "admission")
	defer span.End()
	for {
		p, err := g.acquirePermit(ctx, id)
		if err != nil {
			return openResult{err: err}
		}
		st, err := g.sendAttempt(ctx, p)
		if err == nil {
			return openResult{permit: p, stream: st}
		}
		st, d := g.handleSendFailure(ctx, p, err)
		if st != nil {
			return openResult{permit: p, stream: st}
		}
		if d.Step == attempter.GiveUp {
			return openResult{err: g.giveUp(d.Outcome, "no engine could serve the request")}
		}
		if g.s.clock.Sleep(ctx, d.Delay) != nil {
			return openResult{err: g.deadlineError()}
		}
		g.s.metrics.retries.Add(1)
		id = sequencer.AttemptID(g.s.newID())
		if err := g.seq.Restart(id); err != nil {
			return openResult{err: internalError(err)}
		}
	}
}

// sendAttempt sends an attempt to the engine of a permit and opens its stream.
func (g *generation) sendAttempt(ctx context.Context, p *permit) (*generator.Stream, error) {
	ctx, span := g.s.tracer.Start(ctx, "endpoint")
	defer span.End()
	if !g.s.acceptsNewWork(p.endpoint.Name) {
		return nil, errors.Wrap(requester.ErrNotSent, "endpoint is shutting down")
	}
	g.attempts.RecordSend()
	return g.s.engines.Start(ctx, p.endpoint.Addr, generator.Request{
		Attempt: sequencer.AttemptID(p.request.ID), Model: g.placement.Model, Version: g.placement.Version,
		Adapter: g.placement.Adapter, Prompt: g.req.Prompt, MaxTokens: g.req.MaxTokens, Priority: p.priority,
		NonIdempotent: g.req.NonIdempotent,
	}, hopHeader(ctx, g.s.clock.Now()))
}

// handleSendFailure decides how to continue after sendAttempt failed. It returns
// the stream if the same generation could still be resumed. Otherwise it records
// the failure of the endpoint and releases the permit in the background.
func (g *generation) handleSendFailure(ctx context.Context, p *permit, err error) (*generator.Stream, attempter.Decision) {
	g.s.log.Info().Err(err).Str("request", g.req.ID).Str("endpoint", p.endpoint.Name).Msg("generation: attempt failed")
	g.s.metrics.countMalformed(err)
	cause := err
	d := g.attempts.HandleFailure(g.s.clock.Now(), generator.FailureOf(err))
	for d.Step == attempter.Resume {
		st, err := g.s.engines.Resume(ctx, p.endpoint.Addr, sequencer.AttemptID(p.request.ID), 0)
		if err == nil {
			return st, d
		}
		d = g.attempts.HandleFailure(g.s.clock.Now(), generator.FailureOf(err))
	}
	g.reportEndpointFailure(p.endpoint.Name, cause)
	g.s.spawn(func() { g.s.releaseAndCancel(p) })
	return nil, d
}

// reportEndpointFailure excludes an endpoint from later attempts of this request
// and reports the failure to the routers: the endpoint is shutting down, has not
// loaded the model, or failed.
func (g *generation) reportEndpointFailure(name string, err error) {
	g.failedEndpoints = append(g.failedEndpoints, name)
	switch {
	case errors.Is(err, generator.ErrShuttingDown):
		g.s.markShuttingDown(name)
	case errors.Is(err, generator.ErrNotLoaded):
		g.s.eachRouter(func(r *router.Router) { r.MarkNotReady(name, router.Target{Placement: g.placement}) })
	default:
		now := g.s.clock.Now()
		g.s.eachRouter(func(r *router.Router) { r.ReportFailure(name, now) })
	}
}

// acquirePermit obtains a permit from the admission owner of a suitable endpoint.
// It tries other candidates if an owner can't be reached or its endpoint is
// shutting down.
func (g *generation) acquirePermit(ctx context.Context, id sequencer.AttemptID) (*permit, error) {
	ctx, span := g.s.tracer.Start(ctx, "permit")
	defer span.End()
	req := g.permitTemplate
	req.ID = admitter.PermitID(id)
	requestedAt := g.s.clock.Now()
	var lastAction admitter.Action
	for range maxAttempts {
		p, a, err := g.acquireFromCandidates(ctx, req)
		if ctx.Err() != nil {
			return nil, g.deadlineError()
		}
		if p != nil {
			g.s.metrics.queueWait.observe(g.s.clock.Now().Sub(requestedAt))
			return p, nil
		}
		if errors.Is(err, router.ErrNoCandidate) {
			return nil, g.noEndpointError(lastAction)
		}
		lastAction = a
		if err == nil && a.Reason != admitter.ReasonShuttingDown {
			return nil, g.refusalError(a)
		}
	}
	return nil, g.refusalError(lastAction)
}

// acquireFromCandidates requests a permit from the owner of the endpoint with the
// best prefix affinity. If that owner can't grant it at once, the owner of a
// second candidate is asked as well, and the request queues where the
// estimated wait is shorter.
func (g *generation) acquireFromCandidates(ctx context.Context, req admitter.Request) (*permit, admitter.Action, error) {
	cands, err := g.s.candidates(router.Request{
		Target: router.Target{Placement: g.placement}, PrefixHash: g.promptPrefixHash, Exclude: g.failedEndpoints, NoProbe: g.req.NonIdempotent,
	})
	if err != nil {
		return nil, admitter.Action{}, err
	}
	estimates := make([]router.Estimate, 0, len(cands))
	maxWait := time.Duration(0)
	for _, c := range cands {
		p, res, err := g.acquireFromCandidate(ctx, c, req, maxWait)
		if p != nil || ctx.Err() != nil {
			return p, res.Action, err
		}
		est := router.Estimate{Candidate: c, Wait: res.Estimate.QueueWait, Refused: err != nil || !res.Busy || !res.Estimate.Available || !res.Estimate.Feasible}
		estimates = append(estimates, est)
		maxWait = est.Wait
		if est.Refused {
			maxWait = messenger.UnlimitedWait // Queue at the other owner, however long its queue wait.
		}
		if err == nil && !res.Busy {
			return nil, res.Action, nil
		}
	}
	best, _ := g.s.bestEstimate(estimates) // If all refuse, the first owner is asked again for the reason.
	p, res, err := g.acquireFromCandidate(ctx, best, req, messenger.UnlimitedWait)
	return p, res.Action, err
}

// acquireFromCandidate requests a permit from the owner of one candidate and
// updates the routers by its answer. It queues nothing if the wait would exceed
// maxWait.
func (g *generation) acquireFromCandidate(ctx context.Context, c router.Candidate, req admitter.Request, maxWait time.Duration) (*permit, messenger.PermitResult, error) {
	e, ok := g.s.catalog.Load().endpoints[c.Endpoint]
	if !ok || e.Draining {
		g.failedEndpoints = append(g.failedEndpoints, c.Endpoint)
		return nil, messenger.PermitResult{}, errNoEndpoint
	}
	p, res, err := g.s.permits.acquire(ctx, e, req, maxWait)
	now := g.s.clock.Now()
	switch {
	case err != nil:
		g.failedEndpoints = append(g.failedEndpoints, c.Endpoint)
	case res.Busy && !res.Estimate.Available, res.Action.Reason == admitter.ReasonShuttingDown:
		g.failedEndpoints = append(g.failedEndpoints, c.Endpoint)
		g.s.markShuttingDown(c.Endpoint)
	case res.Busy:
		g.s.eachRouter(func(r *router.Router) { r.ObserveWait(c.Endpoint, res.Estimate.QueueWait, now) })
	}
	return p, res, err
}

// refusalError returns the final answer for a request that admission refused,
// and counts it.
func (g *generation) refusalError(a admitter.Action) error {
	g.attempts.AssertOutcome(outcomeOf(g.attempts))
	g.s.metrics.outcomes.Add(string(outcomeOf(g.attempts)), 1)
	g.s.metrics.refusals.Add(string(a.Reason), 1)
	status := 503
	if a.Reason == admitter.ReasonQueueFull {
		status = 429
	}
	if a.Reason == admitter.ReasonTooLarge {
		status = 400
	}
	code := string(a.Reason)
	if code == "" {
		code = "no_owner"
	}
	return &responder.RequestError{
		Status: status, Code: code, Outcome: outcomeOf(g.attempts),
		Message: "the request can't be served in time", RetryAfter: max(a.RetryAfter, minRetryAfter(a.Reason)),
	}
}

// minRetryAfter returns the minimum delay before a retry. It is zero for a request
// that exceeds the memory of the engine, since a retry can't help.
func minRetryAfter(r admitter.Reason) time.Duration {
	if r == admitter.ReasonTooLarge {
		return 0
	}
	return time.Second
}

// outcomeOf returns the most specific outcome that is certain to be correct for a
// request that ends without an answer.
func outcomeOf(a *attempter.Attempter) attempter.Outcome {
	if a.MayHaveRun() {
		return attempter.Unknown
	}
	return attempter.NotRun
}

// noEndpointError returns the final answer when no endpoint can serve the request.
// If an owner has refused it before, that refusal is returned.
func (g *generation) noEndpointError(lastAction admitter.Action) error {
	if lastAction.Reason != admitter.ReasonNone && lastAction.Reason != admitter.ReasonShuttingDown {
		return g.refusalError(lastAction)
	}
	o := outcomeOf(g.attempts)
	g.s.metrics.outcomes.Add(string(o), 1)
	return &responder.RequestError{
		Status: 503, Code: "no_endpoint", Outcome: o,
		Message: "no endpoint is ready for the model", RetryAfter: 2 * time.Second,
	}
}

// deadlineError returns the final answer when the deadline passes before a stream
// is open.
func (g *generation) deadlineError() error {
	o := outcomeOf(g.attempts)
	g.s.metrics.outcomes.Add(string(o), 1)
	return &responder.RequestError{
		Status: 504, Code: "deadline", Outcome: o,
		Message: "the request could not begin in time", RetryAfter: time.Second,
	}
}
