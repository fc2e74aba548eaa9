package server

import (
	"context"
	"strings"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/coordination/claimer"
	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/protocol/generator"
	"monsoonspar.example/protocol/responder"

	"github.com/pkg/errors"
)

const contentTypePlainText = "text/plain; charset=utf-8"

// generationClaim is the claim of a non-idempotent generation with an idempotency key.
type generationClaim struct {
	g          *generation
	permit     *permit                 // For the next attempt; nil once it is used.
	delivered  bool                    // The caller has been given a stream or its final answer.
	retried    bool                    // A second attempt was prepared.
	text       strings.Builder         // Text of the answer so far, up to about maxClaimTextBytes.
	sendResult chan claimer.SendResult // Receives the outcome of the attempt that was sent.
	refusal    error                   // Final answer if there is no permit and no earlier attempt may have run.
}

// claimGeneration starts a non-idempotent generation with an idempotency key under
// a claim.
func (s *Server) claimGeneration(g *generation) (responder.Stream, error) {
	g.claim = &generationClaim{g: g, sendResult: make(chan claimer.SendResult, 1)}
	g.startAttempt("")
	return g, nil
}

// run obtains a permit and then runs the claim. The permit comes first because the
// claim records the endpoint. A repeat is answered without one.
func (c *generationClaim) run(id sequencer.AttemptID) {
	g := c.g
	req := claimer.Request{
		Customer: g.req.Customer.Name, Key: g.req.IdempotencyKey, Fingerprint: g.req.Fingerprint,
		Writer: string(id), Holder: g.s.cfg.Daemon.Name, Deadline: g.deadline,
	}
	begin := claimer.Event(claimer.Begin{})
	if c.permit, c.refusal = g.acquirePermit(g.ctx, id); c.refusal != nil {
		begin = claimer.Lookup{}
	} else {
		req.Target = claimTarget(c.permit)
	}
	g.s.runClaim(g.ctx, req, begin, c)
	c.releaseUnusedPermit()
	c.deliver(openResult{err: internalError(errNoOutcome)})
}

// claimTarget returns the target to record in the claim for a permit.
func claimTarget(p *permit) claimer.Target {
	return claimer.Target{Endpoint: p.endpoint.Name, AttemptID: string(p.request.ID), Resumable: true}
}

// deliver gives the caller its stream or final answer. Only the first call has an
// effect.
func (c *generationClaim) deliver(res openResult) {
	if c.delivered {
		return
	}
	c.delivered = true
	c.g.opened <- res
}

// releaseUnusedPermit releases the permit in the background if it was not used.
func (c *generationClaim) releaseUnusedPermit() {
	if c.permit == nil {
		return
	}
	p := c.permit
	c.permit = nil
	c.g.s.spawn(func() { c.g.s.releaseAndCancel(p) })
}

// send sends the generation to the endpoint of the permit and returns when it has
// ended.
func (c *generationClaim) send(ctx context.Context, a claimer.Send) claimer.SendResult {
	g := c.g
	if c.permit == nil || !g.s.clock.Now().Before(a.Deadline) {
		return claimer.SendResult{Outcome: claimer.OutcomeNotRun}
	}
	p := c.permit
	c.permit = nil
	st, err := g.sendAttempt(g.ctx, p)
	if err != nil {
		var d attempter.Decision
		st, d = g.handleSendFailure(g.ctx, p, err)
		if st == nil {
			return c.prepareRetry(ctx, d)
		}
	}
	c.deliver(openResult{permit: p, stream: st})
	return <-c.sendResult
}

// prepareRetry obtains another permit after a failed attempt. It does so once, and
// only if the attempt provably did not run.
func (c *generationClaim) prepareRetry(ctx context.Context, d attempter.Decision) claimer.SendResult {
	g := c.g
	if d.Step != attempter.Retry && d.Outcome != attempter.NotRun {
		return claimer.SendResult{Outcome: claimer.OutcomeUnknown}
	}
	res := claimer.SendResult{Outcome: claimer.OutcomeNotRun}
	if d.Step != attempter.Retry || c.retried {
		return res
	}
	c.retried = true
	id := sequencer.AttemptID(g.s.newID())
	p, err := g.acquirePermit(ctx, id)
	if err != nil || g.seq.Restart(id) != nil {
		return res
	}
	c.permit = p
	next := claimTarget(p)
	res.NextTarget = &next
	return res
}

// attach gives the caller the stream of an earlier attempt, from its first token.
func (c *generationClaim) attach(t claimer.Target) claimer.AttachOutcome {
	g := c.g
	e, ok := g.s.catalog.Load().endpoints[t.Endpoint]
	if !ok {
		return claimer.AttachNotFound
	}
	st, err := g.s.engines.Resume(g.ctx, e.Addr, sequencer.AttemptID(t.AttemptID), 0)
	if errors.Is(err, generator.ErrStreamNotFound) {
		return claimer.AttachNotFound
	}
	if err != nil {
		return claimer.AttachUnreachable
	}
	c.releaseUnusedPermit()
	g.claim = nil           // The earlier attempt records the outcome.
	g.attempts.RecordSend() // The earlier attempt has run: if its stream is lost, no other may be started.
	g.seq = sequencer.New(sequencer.AttemptID(t.AttemptID), 0)
	// The permit belongs to the earlier attempt, so it is not kept here.
	c.deliver(openResult{permit: &permit{endpoint: e, request: admitter.Request{ID: admitter.PermitID(t.AttemptID)}}, stream: st})
	return claimer.AttachStreaming
}

// answer gives the caller the stored answer or the outcome of an attempt.
func (c *generationClaim) answer(a claimer.Answer) {
	c.releaseUnusedPermit()
	if a.Outcome != claimer.OutcomeRan || a.Stored == nil || a.Stored.Truncated {
		c.deliver(openResult{err: claimAnswerError(a)})
		return
	}
	c.deliver(openResult{stored: string(a.Stored.Body)})
}

// refuse gives the caller the reason why its request was not run.
func (c *generationClaim) refuse(r claimer.Refuse) {
	c.releaseUnusedPermit()
	if r.Reason == claimer.ReasonNotSendable {
		c.deliver(openResult{err: c.refusal})
		return
	}
	c.deliver(openResult{err: claimRefusalError(r)})
}

// end passes the outcome of the generation to send, with the answer if it ran.
func (c *generationClaim) end(o claimer.Outcome) {
	res := claimer.SendResult{Outcome: o}
	if o == claimer.OutcomeRan {
		res.Answer = &claimer.StoredAnswer{Status: 200, ContentType: contentTypePlainText, Body: []byte(c.text.String())}
	}
	c.sendResult <- res
}

// readToEnd reads an answer to its end after the caller has disconnected, so that
// the outcome is recorded and a repeat receives the complete answer.
func (g *generation) readToEnd() {
	defer g.cancel()
	for !g.done {
		if _, err := g.Next(); err != nil {
			return
		}
	}
}
