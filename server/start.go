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

// prefixBytes is the length of the prompt prefix whose hash routes requests
// with a common prefix to one endpoint.
const prefixBytes = 512

// prefixHash returns the hash of the part of a prompt that others may share, or
// of its start.
func prefixHash(g responder.Generation) uint64 {
	n := g.SharedBytes
	if n == 0 {
		n = min(len(g.Prompt), prefixBytes)
	}
	return hashString(g.Prompt[:n])
}

// hashString returns the hash of s.
func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// start finds an engine, gets a permit for it and opens a stream.
func (g *generation) start(id sequencer.AttemptID) startResult {
	ctx, span := g.s.tracer.Start(g.ctx, "admission")
	defer span.End()
	for {
		p, err := g.admit(ctx, id)
		if err != nil {
			return startResult{err: err}
		}
		st, err := g.send(ctx, p)
		if err == nil {
			return startResult{permit: p, stream: st}
		}
		st, d := g.sendFailed(ctx, p, err)
		if st != nil {
			return startResult{permit: p, stream: st}
		}
		if d.Step == attempter.GiveUp {
			return startResult{err: g.giveUp(d.Outcome, "no engine could serve the request")}
		}
		if g.s.clock.Sleep(ctx, d.Delay) != nil {
			return startResult{err: g.tooLate()}
		}
		g.s.metrics.retries.Add(1)
		id = sequencer.AttemptID(g.s.newID())
		if err := g.seq.Restart(id); err != nil {
			return startResult{err: internalError(err)}
		}
	}
}

// send opens the stream of an attempt, and resumes it if its answer is lost.
func (g *generation) send(ctx context.Context, p *permit) (*generator.Stream, error) {
	ctx, span := g.s.tracer.Start(ctx, "endpoint")
	defer span.End()
	if !g.s.maySend(p.endpoint.Name) {
		return nil, errors.Wrap(requester.ErrNotSent, "endpoint began to leave")
	}
	g.attempts.RecordSend()
	return g.s.engines.Start(ctx, p.endpoint.Addr, generator.Request{
		Attempt: sequencer.AttemptID(p.request.ID), Model: g.placement.Model, Version: g.placement.Version,
		Adapter: g.placement.Adapter, Prompt: g.req.Prompt, MaxTokens: g.req.MaxTokens, Priority: p.priority,
	}, hopHeader(ctx, g.s.clock.Now()))
}

// sendFailed decides what follows an attempt that did not begin. It returns the
// stream if the same generation could be reached after all, and otherwise gives
// the permit back.
func (g *generation) sendFailed(ctx context.Context, p *permit, err error) (*generator.Stream, attempter.Decision) {
	g.s.log.Info().Err(err).Str("request", g.req.ID).Str("endpoint", p.endpoint.Name).Msg("generation: attempt failed")
	cause := err
	d := g.attempts.HandleFailure(g.s.clock.Now(), generator.FailureOf(err))
	for d.Step == attempter.Resume {
		st, err := g.s.engines.Resume(ctx, p.endpoint.Addr, sequencer.AttemptID(p.request.ID), 0)
		if err == nil {
			return st, d
		}
		d = g.attempts.HandleFailure(g.s.clock.Now(), generator.FailureOf(err))
	}
	g.reportFailed(p.endpoint.Name, cause)
	g.s.spawn(func() { g.s.giveBack(p) })
	return nil, d
}

// reportFailed tells the router how an endpoint failed.
func (g *generation) reportFailed(name string, err error) {
	g.failed = append(g.failed, name)
	switch {
	case errors.Is(err, generator.ErrLeaving):
		g.s.endpointLeaves(name)
	case errors.Is(err, generator.ErrNotLoaded):
		g.s.router(func(r *router.Router) { r.MarkNotReady(name, router.Target{Placement: g.placement}) })
	default:
		now := g.s.clock.Now()
		g.s.router(func(r *router.Router) { r.ReportFailure(name, now) })
	}
}

// admit gets a permit from the owner of a suitable endpoint.
func (g *generation) admit(ctx context.Context, id sequencer.AttemptID) (*permit, error) {
	ctx, span := g.s.tracer.Start(ctx, "permit")
	defer span.End()
	req := g.template
	req.ID = admitter.PermitID(id)
	asked := g.s.clock.Now()
	var last admitter.Action
	for range maxAttempts {
		p, a, err := g.askCandidates(ctx, req)
		if ctx.Err() != nil {
			return nil, g.tooLate()
		}
		if p != nil {
			g.s.metrics.queueWait.observe(g.s.clock.Now().Sub(asked))
			return p, nil
		}
		if errors.Is(err, router.ErrNoCandidate) {
			return nil, g.noEndpoint(last)
		}
		last = a
		if err == nil && a.Reason != admitter.ReasonShuttingDown {
			return nil, g.refused(a)
		}
	}
	return nil, g.refused(last)
}

// askCandidates asks the owner of the endpoint that suits the prompt best. If
// it can't grant at once, the owner of another endpoint is asked too, and the
// request queues where the forecast wait is shorter.
func (g *generation) askCandidates(ctx context.Context, req admitter.Request) (*permit, admitter.Action, error) {
	cands, err := g.s.candidates(router.Request{
		Target: router.Target{Placement: g.placement}, PrefixHash: g.prefix, Exclude: g.failed, NoProbe: g.req.NonIdempotent,
	})
	if err != nil {
		return nil, admitter.Action{}, err
	}
	quotes := make([]router.Quote, 0, len(cands))
	bound := time.Duration(0)
	for _, c := range cands {
		p, a, err := g.askOne(ctx, c, req, bound)
		if p != nil || ctx.Err() != nil {
			return p, a.Action, err
		}
		q := router.Quote{Candidate: c, Wait: a.Quote.QueueWait, Refused: err != nil || !a.Busy || !a.Quote.Available || !a.Quote.Feasible}
		quotes = append(quotes, q)
		bound = q.Wait
		if q.Refused {
			bound = messenger.NoBound // The other owner decides.
		}
		if err == nil && !a.Busy {
			return nil, a.Action, nil
		}
	}
	best, _ := g.s.best(quotes) // Where all refuse, the first owner says why.
	p, a, err := g.askOne(ctx, best, req, messenger.NoBound)
	return p, a.Action, err
}

// askOne asks the owner of one candidate.
func (g *generation) askOne(ctx context.Context, c router.Candidate, req admitter.Request, maxWait time.Duration) (*permit, messenger.Answer, error) {
	e, ok := g.s.catalog.Load().endpoints[c.Endpoint]
	if !ok || e.Draining {
		g.failed = append(g.failed, c.Endpoint)
		return nil, messenger.Answer{}, errNoEndpoint
	}
	p, a, err := g.s.permits.ask(ctx, e, req, maxWait)
	now := g.s.clock.Now()
	switch {
	case err != nil:
		g.failed = append(g.failed, c.Endpoint)
	case a.Busy && !a.Quote.Available, a.Action.Reason == admitter.ReasonShuttingDown:
		g.failed = append(g.failed, c.Endpoint)
		g.s.endpointLeaves(c.Endpoint)
	case a.Busy:
		g.s.router(func(r *router.Router) { r.ObserveWait(c.Endpoint, a.Quote.QueueWait, now) })
	}
	return p, a, err
}

// refused returns the final answer for a request that admission refused.
func (g *generation) refused(a admitter.Action) error {
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

// minRetryAfter returns the least time to come back for a reason.
func minRetryAfter(r admitter.Reason) time.Duration {
	if r == admitter.ReasonTooLarge {
		return 0
	}
	return time.Second
}

// outcomeOf returns the strongest outcome that is true of a request that ends
// without an answer.
func outcomeOf(a *attempter.Attempter) attempter.Outcome {
	if a.MayHaveRun() {
		return attempter.Unknown
	}
	return attempter.NotRun
}

// noEndpoint returns the final answer when no endpoint can take the request.
func (g *generation) noEndpoint(last admitter.Action) error {
	if last.Reason != admitter.ReasonNone && last.Reason != admitter.ReasonShuttingDown {
		return g.refused(last)
	}
	o := outcomeOf(g.attempts)
	g.s.metrics.outcomes.Add(string(o), 1)
	return &responder.RequestError{
		Status: 503, Code: "no_endpoint", Outcome: o,
		Message: "no endpoint is ready for the model", RetryAfter: 2 * time.Second,
	}
}

// tooLate returns the final answer when the deadline passes before a token.
func (g *generation) tooLate() error {
	o := outcomeOf(g.attempts)
	g.s.metrics.outcomes.Add(string(o), 1)
	return &responder.RequestError{
		Status: 504, Code: "deadline", Outcome: o,
		Message: "the request could not begin in time", RetryAfter: time.Second,
	}
}
