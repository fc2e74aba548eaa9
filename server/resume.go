package server

import (
	"context"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/protocol/generator"
	"monsoonspar.example/protocol/responder"
	"monsoonspar.example/state/cataloger"

	"github.com/pkg/errors"
)

// Resume continues the stream that an event id identifies. Any daemon can resume
// it, not only the one that started it.
func (s *Server) Resume(ctx context.Context, c cataloger.Customer, lastEventID string) (responder.Stream, error) {
	pos, err := s.sealer.Open(c.Name, lastEventID)
	if err != nil {
		return nil, &responder.RequestError{Status: 400, Code: "event_id_invalid", Message: "Last-Event-ID is not an id of this customer's streams"}
	}
	cat := s.catalog.Load()
	e, ok := cat.endpoints[pos.Endpoint]
	if !ok {
		return nil, streamGoneError()
	}
	g := s.newResumedGeneration(ctx, cat, c, pos.Attempt, pos.Index+1)
	st, err := s.engines.Resume(g.ctx, e.Addr, pos.Attempt, pos.Index+1)
	if err != nil {
		g.cancel()
		g.span.End()
		s.inFlight.endRequest()
		return nil, resumeError(err)
	}
	p := &permit{
		endpoint: e,
		request:  admitter.Request{ID: admitter.PermitID(pos.Attempt), Daemon: s.cfg.Daemon.Name, Customer: c.Name, Deadline: g.deadline},
	}
	p.produced.Store(int64(pos.Index) + 1)
	s.permits.adopt(g.ctx, p)
	g.attachStream(p, st)
	return g, nil
}

// newResumedGeneration returns a generation that continues an earlier attempt at
// the token with the index next.
func (s *Server) newResumedGeneration(ctx context.Context, cat *catalog, c cataloger.Customer, id sequencer.AttemptID, next int) *generation {
	now := s.clock.Now()
	deadline := now.Add(cat.manifest.Defaults.MaxTimeout)
	s.inFlight.beginRequest(now)
	ctx, span := s.tracer.Start(ctx, "caller")
	ctx, cancel := context.WithDeadline(ctx, deadline)
	g := &generation{
		s: s, ctx: ctx, cancel: cancel, span: span, deadline: deadline, startedAt: now, lastTokenAt: now,
		req: responder.Generation{ID: s.newID(), Customer: c, Stream: true},
		seq: sequencer.New(id, next), opened: make(chan openResult, 1),
	}
	g.attempts = attempter.New(attempter.Config{
		Streamed: true, Resumable: true, Deadline: deadline, MaxAttempts: 1, MaxResumes: maxResumes, MaxSilence: maxEngineSilence,
	}, s)
	g.attempts.RecordSend()
	g.attempts.RecordToken(true)
	return g
}

// resumeError returns the final answer for a stream that could not be resumed.
func resumeError(err error) error {
	if errors.Is(err, generator.ErrStreamNotFound) {
		return streamGoneError()
	}
	return &responder.RequestError{
		Status: 503, Code: "endpoint_unreachable", Outcome: attempter.Unknown,
		Message: "the engine of the stream can't be reached now", RetryAfter: engineCallTimeout,
	}
}

// streamGoneError returns the final answer for a stream that is no longer retained.
func streamGoneError() error {
	return &responder.RequestError{
		Status: 410, Code: "stream_gone", Outcome: attempter.Unknown,
		Message: "the stream is no longer kept; its answer is incomplete",
	}
}
