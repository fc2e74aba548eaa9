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

const plainText = "text/plain; charset=utf-8"

// generationClaim is the claim of a keyed non-idempotent generation.
type generationClaim struct {
	g        *generation
	permit   *permit // For the next send.
	started  bool    // The caller has a stream or its last word.
	again    bool    // A further attempt was made.
	text     strings.Builder
	finished chan claimer.SendResult // The end of the generation that was sent.
}

// claimGeneration begins a keyed non-idempotent generation.
func (s *Server) claimGeneration(g *generation) (responder.Stream, error) {
	g.claim = &generationClaim{g: g, finished: make(chan claimer.SendResult, 1)}
	g.begin("")
	return g, nil
}

// run gets a permit and then runs the claim. The claim is made while the permit
// is held, so that it names the endpoint.
func (w *generationClaim) run(id sequencer.AttemptID) {
	g := w.g
	p, err := g.admit(g.ctx, id)
	if err != nil {
		w.start(startResult{err: err})
		return
	}
	w.permit = p
	g.s.runClaim(g.ctx, claimer.Request{
		Customer: g.req.Customer.Name, Key: g.req.Key, Fingerprint: g.req.Fingerprint,
		Writer: string(id), Holder: g.s.cfg.Daemon.Name, Target: targetOf(p), Deadline: g.deadline,
	}, w)
	w.returnPermit()
	w.start(startResult{err: internalError(errNoVerdict)})
}

// targetOf returns the claim's target for a permit.
func targetOf(p *permit) claimer.Target {
	return claimer.Target{Endpoint: p.endpoint.Name, AttemptID: string(p.request.ID), Resumable: true}
}

// start hands the caller its stream or last word. Only the first one counts.
func (w *generationClaim) start(res startResult) {
	if w.started {
		return
	}
	w.started = true
	w.g.started <- res
}

// returnPermit gives back a permit that was not used.
func (w *generationClaim) returnPermit() {
	if w.permit == nil {
		return
	}
	p := w.permit
	w.permit = nil
	w.g.s.spawn(func() { w.g.s.giveBack(p) })
}

// send runs the generation and returns when it has ended.
func (w *generationClaim) send(ctx context.Context, a claimer.Send) claimer.SendResult {
	g := w.g
	if w.permit == nil || !g.s.clock.Now().Before(a.Deadline) {
		return claimer.SendResult{Outcome: claimer.OutcomeNotRun}
	}
	p := w.permit
	w.permit = nil
	st, err := g.send(g.ctx, p)
	if err != nil {
		var d attempter.Decision
		st, d = g.sendFailed(g.ctx, p, err)
		if st == nil {
			return w.sendAgain(ctx, d)
		}
	}
	w.start(startResult{permit: p, stream: st})
	return <-w.finished
}

// sendAgain gets another permit after an attempt that is proven not to have run.
func (w *generationClaim) sendAgain(ctx context.Context, d attempter.Decision) claimer.SendResult {
	g := w.g
	if d.Step != attempter.Retry && d.Outcome != attempter.NotRun {
		return claimer.SendResult{Outcome: claimer.OutcomeUnknown}
	}
	res := claimer.SendResult{Outcome: claimer.OutcomeNotRun}
	if d.Step != attempter.Retry || w.again {
		return res
	}
	w.again = true
	id := sequencer.AttemptID(g.s.newID())
	p, err := g.admit(ctx, id)
	if err != nil || g.seq.Restart(id) != nil {
		return res
	}
	w.permit = p
	next := targetOf(p)
	res.NextTarget = &next
	return res
}

// attach gives the caller the stream of an earlier attempt from its first token.
func (w *generationClaim) attach(t claimer.Target) claimer.AttachOutcome {
	g := w.g
	e, ok := g.s.catalog.Load().endpoints[t.Endpoint]
	if !ok {
		return claimer.AttachNotFound
	}
	st, err := g.s.engines.Resume(g.ctx, e.Addr, sequencer.AttemptID(t.AttemptID), 0)
	if errors.Is(err, generator.ErrGone) {
		return claimer.AttachNotFound
	}
	if err != nil {
		return claimer.AttachUnreachable
	}
	w.returnPermit()
	g.claim = nil // The earlier attempt records the outcome.
	g.seq = sequencer.New(sequencer.AttemptID(t.AttemptID), 0)
	// The permit belongs to the earlier attempt, so it is not kept here.
	w.start(startResult{permit: &permit{endpoint: e, request: admitter.Request{ID: admitter.PermitID(t.AttemptID)}}, stream: st})
	return claimer.AttachStreaming
}

// answer gives the caller what is known of an earlier attempt.
func (w *generationClaim) answer(a claimer.Answer) {
	w.returnPermit()
	if a.Outcome != claimer.OutcomeRan || a.Stored == nil || a.Stored.Truncated {
		w.start(startResult{err: claimAnswerError(a)})
		return
	}
	w.start(startResult{stored: string(a.Stored.Body)})
}

// refuse tells the caller why its request was not run.
func (w *generationClaim) refuse(r claimer.Refuse) {
	w.returnPermit()
	w.start(startResult{err: claimRefusal(r)})
}

// end records how the generation ended.
func (w *generationClaim) end(o claimer.Outcome) {
	res := claimer.SendResult{Outcome: o}
	if o == claimer.OutcomeRan {
		res.Answer = &claimer.StoredAnswer{Status: 200, ContentType: plainText, Body: []byte(w.text.String())}
	}
	w.finished <- res
}

// drainAlone reads an answer to its end after its caller has gone, so that the
// outcome is recorded and a repeat gets the whole answer.
func (g *generation) drainAlone() {
	defer g.cancel()
	for !g.done {
		if _, err := g.Next(); err != nil {
			return
		}
	}
}
