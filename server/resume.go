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

// Resume continues the stream that an event id names, whichever daemon began it.
func (s *Server) Resume(ctx context.Context, c cataloger.Customer, lastEventID string) (responder.Stream, error) {
	pos, err := s.sealer.Open(c.Name, lastEventID)
	if err != nil {
		return nil, &responder.RequestError{Status: 400, Code: "event_id_invalid", Message: "Last-Event-ID is not an id of this customer's streams"}
	}
	cat := s.catalog.Load()
	e, ok := cat.endpoints[pos.Endpoint]
	if !ok {
		return nil, goneError()
	}
	g := s.resumed(ctx, cat, c, pos.Attempt, pos.Index+1)
	st, err := s.engines.Resume(g.ctx, e.Addr, pos.Attempt, pos.Index+1)
	if err != nil {
		g.cancel()
		g.span.End()
		s.work.end()
		return nil, resumeError(err)
	}
	p := &permit{
		endpoint: e,
		request:  admitter.Request{ID: admitter.PermitID(pos.Attempt), Daemon: s.cfg.Daemon.Name, Customer: c.Name, Deadline: g.deadline},
	}
	p.produced.Store(int64(pos.Index) + 1)
	s.permits.adopt(g.ctx, p)
	g.attach(p, st)
	return g, nil
}

// resumed returns a generation that goes on at a token of an earlier stream.
func (s *Server) resumed(ctx context.Context, cat *catalog, c cataloger.Customer, id sequencer.AttemptID, next int) *generation {
	now := s.clock.Now()
	deadline := now.Add(cat.manifest.Defaults.MaxTimeout)
	s.work.begin(now)
	ctx, span := s.tracer.Start(ctx, "caller")
	ctx, cancel := context.WithDeadline(ctx, deadline)
	g := &generation{
		s: s, ctx: ctx, cancel: cancel, span: span, deadline: deadline, begun: now, lastAt: now,
		req: responder.Generation{ID: s.newID(), Customer: c, Stream: true},
		seq: sequencer.New(id, next), started: make(chan startResult, 1),
	}
	g.attempts = attempter.New(attempter.Config{
		Streamed: true, Resumable: true, Deadline: deadline, MaxAttempts: 1, MaxResumes: maxResumes,
	}, s)
	g.attempts.RecordSend()
	g.attempts.RecordToken(true)
	return g
}

// resumeError returns the final answer for a stream that can't be reached.
func resumeError(err error) error {
	if errors.Is(err, generator.ErrGone) {
		return goneError()
	}
	return &responder.RequestError{
		Status: 503, Code: "endpoint_unreachable", Outcome: attempter.Unknown,
		Message: "the engine of the stream can't be reached now", RetryAfter: engineTimeout,
	}
}

// goneError returns the final answer for a stream that no endpoint keeps.
func goneError() error {
	return &responder.RequestError{
		Status: 410, Code: "stream_gone", Outcome: attempter.Unknown,
		Message: "the stream is no longer kept; its answer is incomplete",
	}
}
