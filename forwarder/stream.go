package forwarder

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Why a stream is taken off its engine.
var (
	errLeaving = errors.New("the engine is leaving")
	errDead    = errors.New("the engine does not answer")
)

// readChunk is the size of reads from an engine.
const readChunk = 4 << 10

// stream is a generation that is passed on to a client.
type stream struct {
	f     *Forwarder
	x     *exchange
	ctx   context.Context
	place *placement
	job   placer.Job

	release func()

	// Used by the goroutine that serves the client only.
	ledger eventLedger
	body   io.ReadCloser
	chunk  []byte
	out    []byte // Passed on next.
	sent   int    // Bytes of out that were passed on.
	ended  bool

	mu        sync.Mutex
	engine    registrar.Endpoint
	backup    registrar.Endpoint
	interrupt context.CancelCauseFunc // Ends the present attempt.
	events    int                     // Received so far.
	lastBytes time.Time               // When the engine last sent anything.
	leaving   bool                    // Being taken off its engine.
	moving    chan moved              // Brings the result of the move under way; nil without one.
	closed    bool
}

// serveStream serves a generation. The stream calls release at its end.
func (f *Forwarder) serveStream(ctx context.Context, out *fasthttp.RequestCtx, x *exchange, release func()) {
	service := f.table.Load().Manifest.Services[x.service]
	if service.Engine == nil {
		service.Engine = &matcher.Engine{Slots: defaultSlots}
	}
	s := &stream{f: f, x: x, ctx: ctx, place: f.placement(x.service, service.Engine), release: release}
	s.job = s.newJob(service.Engine)
	answer, refusal, cause := s.open()
	if refusal != nil {
		f.forgetStream(s)
		s.place.Done(s.job, 0, false, f.clock.Now())
		f.refuse(out, x, *refusal, cause)
		release()
		return
	}
	copyHeader(out, &answer)
	s.body = answer.Body
	s.chunk = make([]byte, readChunk)
	out.Response.SetBodyStream(s, answer.Length)
}

// defaultSlots stands in where a manifest says nothing of a streaming service.
const defaultSlots = 8

// newJob describes the request to the placer.
func (s *stream) newJob(e *matcher.Engine) placer.Job {
	g := s.x.req.Generation
	rank := s.x.customer.Priority*rankOfCustomer + s.x.route.Priority
	return placer.Job{
		ID: s.x.req.ID, Class: placer.ClassOf(g.Model, rank), Prompt: g.PromptTokens, MaxTokens: g.MaxTokens, Hint: g.Hint,
		Rank: rank, FirstBy: s.x.arrived.Add(s.x.route.Target), Deadline: s.x.deadline, Backups: e.Backups,
	}
}

// rankOfCustomer makes the priority of a customer precede that of the route.
const rankOfCustomer = 3

// open sends the request to an engine that takes it. It returns the head of the
// answer, or why there is none.
func (s *stream) open() (Answer, *Refusal, error) {
	exclude := map[registrar.Identity]bool{}
	for {
		pl, refusal := s.waitForPlace(exclude)
		if refusal != nil {
			return Answer{}, refusal, nil
		}
		if s.x.attempts > 0 && !s.f.budget.Repeat(s.x.service, 0, s.f.clock.Now()) {
			return Answer{}, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonRetryBudget, RetryAfter: notReadyReturn}, nil
		}
		s.x.attempts++
		answer, err := s.send(pl.Engine, pl.Backup, Resume{})
		if err == nil && !answer.NotRun && !answer.Moved && (answer.Genuine || answer.Status >= fasthttp.StatusInternalServerError) {
			return answer, nil, nil
		}
		if err == nil {
			_ = answer.Body.Close()
		}
		refused := err == nil && (answer.NotRun || answer.Moved) || err != nil && notRun(err)
		s.f.noteMoved(pl.Engine, answer)
		s.f.describe(s.f.log.Info(), s.x).Err(err).Str("endpoint", pl.Engine.Name).Bool("not_run", refused).Int("status", answer.Status).
			Msg("forwarder: engine did not take the request")
		if !refused {
			return s.reopen(err)
		}
		exclude[pl.Engine.Identity] = true
		s.place.Refused(s.job.ID, s.f.clock.Now())
		if r, ended := failureOf(s.ctx, false); ended {
			return Answer{}, &r, err
		}
		if s.x.attempts >= maxRefusals {
			return Answer{}, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonRefused, RetryAfter: notReadyReturn}, err
		}
	}
}

// reopen goes on after a request was sent and got no answer. Only a copy of the
// run can be continued, since the request may have run.
func (s *stream) reopen(err error) (Answer, *Refusal, error) {
	if s.ctx.Err() == nil {
		answer, resumed := s.resume(err)
		if resumed == nil {
			return answer, nil, nil
		}
	}
	if r, ended := failureOf(s.ctx, true); ended {
		return Answer{}, &r, err
	}
	return Answer{}, &Refusal{Status: fasthttp.StatusBadGateway, Reason: ReasonUnknown}, err
}

// waitForPlace returns where the request may run, when it may.
func (s *stream) waitForPlace(exclude map[registrar.Identity]bool) (placer.Placement, *Refusal) {
	now := s.f.clock.Now()
	if s.place.engine.MemoryTokens > 0 && s.job.Prompt >= s.place.engine.MemoryTokens {
		return placer.Placement{}, &Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Reason: ReasonTooBig}
	}
	if len(s.f.registry.Usable(s.x.service)) == 0 {
		return placer.Placement{}, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonNoEndpoint, RetryAfter: notReadyReturn}
	}
	ch := make(chan placer.Outcome, 1)
	s.place.mu.Lock()
	s.place.waiters[s.job.ID] = ch
	s.place.mu.Unlock()
	pl, placed := s.place.Submit(s.job, exclude, now)
	if placed {
		s.place.mu.Lock()
		delete(s.place.waiters, s.job.ID)
		s.place.mu.Unlock()
		s.logPlacement(pl, 0)
		return pl, nil
	}
	select {
	case o := <-ch:
		s.f.metrics.observe("queue_wait", o.Waited)
		if o.Refused {
			return placer.Placement{}, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonNoRoom, RetryAfter: o.ComeBack}
		}
		s.logPlacement(o.Placement, o.Waited)
		return o.Placement, nil
	case <-s.ctx.Done():
		s.place.Withdraw(s.job.ID)
		s.place.mu.Lock()
		delete(s.place.waiters, s.job.ID)
		s.place.mu.Unlock()
		r, _ := failureOf(s.ctx, false)
		return placer.Placement{}, &r
	}
}

// logPlacement logs where a request goes and what decided it.
func (s *stream) logPlacement(pl placer.Placement, waited time.Duration) {
	s.f.describe(s.f.log.Info(), s.x).Str("endpoint", pl.Engine.Name).Str("backup", pl.Backup.Name).Dur("waited_ms", waited).
		Float64("forecast_peak", pl.Peak).Dur("report_age_ms", pl.Age).Int("prompt", s.job.Prompt).Msg("forwarder: generation placed")
}

// send sends the request to an engine and waits for the head of its answer.
func (s *stream) send(to, backup registrar.Endpoint, from Resume) (Answer, error) {
	now := s.f.clock.Now()
	c, cancel := context.WithCancelCause(s.ctx)
	s.mu.Lock()
	s.engine, s.backup, s.interrupt = to, backup, cancel
	s.lastBytes, s.leaving, s.moving = now, false, nil
	s.mu.Unlock()
	s.f.rememberStream(s)
	d := Dispatch{
		Endpoint: to, Customer: s.x.customer.Name, Remaining: s.x.deadline.Sub(now),
		Priority: s.job.Rank, Backup: backup.Addr, Resume: from,
	}
	answer, err := s.f.endpoints.Send(c, s.x.req, d)
	if err == nil {
		return answer, nil
	}
	if cause := context.Cause(c); cause != nil && s.ctx.Err() == nil {
		err = requester.FailureError{Kind: kindOf(err), Cause: cause}
	}
	return answer, err
}

// kindOf returns what err says about the request.
func kindOf(err error) error {
	if notRun(err) {
		return requester.ErrNotSent
	}
	return requester.ErrUnknown
}

// Read returns the next whole events of the generation.
func (s *stream) Read(p []byte) (int, error) {
	for {
		if s.sent < len(s.out) {
			n := copy(p, s.out[s.sent:])
			s.sent += n
			return n, nil
		}
		if s.ended {
			return 0, io.EOF
		}
		s.out, s.sent = s.out[:0], 0
		if err := s.fill(); err != nil {
			s.cut(err)
			return 0, err
		}
	}
}

// fill reads from the engine, and goes on at another one if it must.
func (s *stream) fill() error {
	n, err := s.body.Read(s.chunk)
	if n > 0 {
		if err := s.received(s.chunk[:n]); err != nil {
			return err
		}
	}
	if err == nil {
		return nil
	}
	if err == io.EOF { //nolint:errorlint // A wrapped io.EOF marks an answer that was cut.
		s.out = append(s.out, s.ledger.partial...)
		s.ended = true
		return nil
	}
	if s.ctx.Err() != nil {
		return context.Cause(s.ctx)
	}
	_ = s.body.Close()
	answer, err := s.resume(err)
	if err != nil {
		return err
	}
	s.body = answer.Body
	return nil
}

// received passes the whole events in p on.
func (s *stream) received(p []byte) error {
	before := s.ledger.events
	var err error
	if s.out, err = s.ledger.take(s.out, p); err != nil {
		return err
	}
	now := s.f.clock.Now()
	s.mu.Lock()
	gap := now.Sub(s.lastBytes)
	s.events = s.ledger.events
	s.lastBytes = now
	s.mu.Unlock()
	if before == 0 && s.ledger.events > 0 {
		s.place.Started(s.job.ID, now)
		s.f.metrics.observe("first_event", now.Sub(s.x.arrived))
	} else if before > 0 {
		s.f.metrics.observe("event_gap", gap)
	}
	return nil
}

// cut logs that a stream ends before its end.
func (s *stream) cut(err error) {
	reason := ReasonCut
	switch cause := context.Cause(s.ctx); {
	case errors.Is(cause, errClientGone):
		reason = ReasonClientGone
	case errors.Is(cause, errTimeout):
		reason = ReasonTimeout
	}
	s.f.metrics.count("streams_" + string(reason))
	s.f.describe(s.f.log.Warn(), s.x).Err(err).Str("reason", string(reason)).Str("endpoint", s.engine.Name).Int("events", s.ledger.events).
		Msg("forwarder: stream ended early")
}

// Close ends the stream after its answer or when the client has gone.
func (s *stream) Close() error {
	if s.release == nil {
		return nil
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	if s.body != nil {
		// A connection that is closed early has nothing more to tell.
		_ = s.body.Close()
	}
	s.f.forgetStream(s)
	s.place.Done(s.job, s.ledger.events*max(s.place.engine.Stride, 1), s.ended, s.f.clock.Now())
	s.place.settle(s.f.clock.Now())
	if s.ended {
		s.f.metrics.count("streams_answered")
		s.f.describe(s.f.log.WithLevel(zerolog.InfoLevel), s.x).Str("endpoint", s.engine.Name).Int("events", s.ledger.events).
			Str("reason", string(ReasonServed)).Msg("forwarder: stream answered")
	}
	s.release()
	s.release = nil
	return nil
}

// rememberStream lists the stream among those that run on engines.
func (f *Forwarder) rememberStream(s *stream) {
	f.streamsMu.Lock()
	defer f.streamsMu.Unlock()
	f.streams[s] = struct{}{}
}

func (f *Forwarder) forgetStream(s *stream) {
	f.streamsMu.Lock()
	defer f.streamsMu.Unlock()
	delete(f.streams, s)
}

// runningStreams returns the streams that run on engines.
func (f *Forwarder) runningStreams() []*stream {
	f.streamsMu.Lock()
	defer f.streamsMu.Unlock()
	all := make([]*stream, 0, len(f.streams))
	for s := range f.streams {
		all = append(all, s)
	}
	return all
}
