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
	chunk  []byte
	first  time.Duration // From arrival to the first event.
	pause  time.Duration // The longest between events.
	resent int           // Times that the generation went on elsewhere.
	out    []byte        // Passed on next.
	sent   int           // Bytes of out that were passed on.
	ended  bool

	mu        sync.Mutex
	run       run
	events    int                // Received so far.
	lastEvent string             // Id of the last event that was received.
	lastBytes time.Time          // When the engine last sent anything.
	leaving   registrar.Identity // The engine that it is being taken off; zero for none.
	next      chan run           // Brings the run to go on with; nil unless it is being made.
	closed    bool
}

// run is one attempt to serve a stream at an engine.
type run struct {
	engine    registrar.Endpoint
	backup    registrar.Endpoint
	interrupt context.CancelCauseFunc
	answer    Answer
}

// serveStream serves a generation. The stream calls release at its end.
func (f *Forwarder) serveStream(ctx context.Context, out *fasthttp.RequestCtx, x *exchange, release func()) {
	service := f.table.Load().Manifest.Services[x.service]
	if service.Engine == nil {
		service.Engine = &matcher.Engine{Slots: defaultSlots}
	}
	s := &stream{f: f, x: x, ctx: ctx, place: f.placement(x.service, service.Engine), release: release}
	s.job = s.newJob(service.Engine)
	refusal, cause := s.open()
	if refusal != nil {
		f.forgetStream(s)
		s.place.RecordEnd(s.job, 0, false, f.clock.Now())
		f.refuse(out, x, *refusal, cause)
		release()
		return
	}
	copyHeader(out, &s.run.answer)
	s.chunk = make([]byte, readChunk)
	out.Response.SetBodyStream(s, s.run.answer.Length)
}

// defaultSlots stands in where a manifest says nothing of a streaming service.
const defaultSlots = 8

// newJob describes the request to the placer.
func (s *stream) newJob(e *matcher.Engine) placer.Job {
	g := s.x.req.Generation
	rank := s.x.customer.Priority*rankOfCustomer + s.x.route.Priority
	return placer.Job{
		ID: s.x.req.ID, Class: placer.ClassOf(g.Model, rank), PromptTokens: g.PromptTokens, MaxTokens: g.MaxTokens, EstimatedTokens: g.Hint,
		Priority: rank, FirstEventDue: s.x.arrived.Add(s.x.route.Target), Deadline: s.x.deadline, AllowBackup: e.Backups,
	}
}

// rankOfCustomer makes the priority of a customer precede that of the route.
const rankOfCustomer = 3

// open sends the request to an engine that takes it, or returns why there is
// none.
func (s *stream) open() (*Refusal, error) {
	exclude := map[registrar.Identity]bool{}
	for {
		pl, refusal := s.confirmedPlace(exclude)
		if refusal != nil {
			return refusal, nil
		}
		if s.x.arrivals > 0 && !s.f.budget.TryRetry(s.x.service, 0, s.f.clock.Now()) {
			return &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonRetryBudget, RetryAfter: notReadyReturn}, nil
		}
		taken, refused, err := s.try(pl)
		if taken {
			return nil, nil
		}
		if !refused {
			return s.reopen(err)
		}
		exclude[pl.Engine.Identity] = true
		if r, ended := failureOf(s.ctx, false); ended {
			return &r, err
		}
		if s.x.attempts.Load() >= maxRefusals {
			return &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonRefused, RetryAfter: notReadyReturn}, err
		}
	}
}

// try sends the request to one engine. It reports whether the engine has taken
// it, and else whether that proves that it has not run.
func (s *stream) try(pl placer.Placement) (taken, refused bool, err error) {
	s.x.attempts.Add(1)
	r, err := s.send(pl.Engine, pl.Backup, Resume{}, s.use)
	cut := err != nil && notRun(err)
	if !cut {
		s.x.arrivals++
	}
	a := &r.answer
	if err == nil && !a.NotRun && (a.Genuine || a.Status >= fasthttp.StatusInternalServerError) {
		s.use(r)
		return true, false, nil
	}
	refused = cut || err == nil && a.NotRun
	r.end()
	s.f.noteMoved(pl.Engine, *a)
	s.f.describe(s.f.log.Info(), s.x).Err(err).Str("endpoint", pl.Engine.Name).Bool("not_run", refused).Int("status", a.Status).
		Msg("forwarder: engine did not take the request")
	if refused {
		s.place.RecordRefusal(s.job.ID, cut, s.f.clock.Now())
	}
	return false, refused, err
}

// reopen goes on after a request was sent and got no answer. Only a copy of the
// run can be continued, since the request may have run.
func (s *stream) reopen(err error) (*Refusal, error) {
	if s.ctx.Err() == nil && s.resume(err) == nil {
		return nil, nil
	}
	if r, ended := failureOf(s.ctx, true); ended {
		return &r, err
	}
	return &Refusal{Status: fasthttp.StatusBadGateway, Reason: ReasonUnknown}, err
}

// Bounds of the wait for other daemons' placements.
const (
	crossDelay  = 20 * time.Millisecond // News of a placement and of those made meanwhile have crossed; a hundredth of a first event's time.
	maxConfirms = 3                     // Times that a placement may yield.
)

// confirmedPlace returns where the request may run, after the news of it has
// crossed with that of other daemons.
func (s *stream) confirmedPlace(exclude map[registrar.Identity]bool) (placer.Placement, *Refusal) {
	for tries := 1; ; tries++ {
		pl, refusal := s.waitForPlace(exclude)
		if refusal != nil || tries > maxConfirms || !s.f.peers.any() {
			return pl, refusal
		}
		if s.f.clock.Sleep(s.ctx, crossDelay) != nil || s.place.Confirm(s.job.ID, s.f.clock.Now()) {
			return pl, nil
		}
		s.f.metrics.count("placements_yielded")
		s.f.describe(s.f.log.Info(), s.x).Str("endpoint", pl.Engine.Name).Int("try", tries).Msg("forwarder: placement yields to one made meanwhile")
	}
}

// waitForPlace returns where the request may run, when it may.
func (s *stream) waitForPlace(exclude map[registrar.Identity]bool) (placer.Placement, *Refusal) {
	now := s.f.clock.Now()
	if s.place.engine.MemoryTokens > 0 && s.job.PromptTokens >= s.place.engine.MemoryTokens {
		return placer.Placement{}, &Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Reason: ReasonTooBig}
	}
	if s.outlasts(now) {
		return placer.Placement{}, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonStopping, RetryAfter: elsewhere}
	}
	if len(s.f.registry.Usable(s.x.service)) == 0 {
		return placer.Placement{}, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonNoEndpoint, RetryAfter: notReadyReturn}
	}
	ch := make(chan placer.Outcome, 1)
	s.place.addWaiter(s.job.ID, ch)
	pl, placed := s.place.Submit(s.job, exclude, now)
	if placed {
		s.place.takeWaiter(s.job.ID)
		s.logPlacement(pl, 0)
		return pl, nil
	}
	select {
	case o := <-ch:
		s.f.metrics.observe("queue_wait", o.Waited)
		if o.Refused {
			return placer.Placement{}, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonNoRoom, RetryAfter: o.RetryAfter}
		}
		s.logPlacement(o.Placement, o.Waited)
		return o.Placement, nil
	case <-s.ctx.Done():
		s.place.Withdraw(s.job.ID)
		s.place.takeWaiter(s.job.ID)
		r, _ := failureOf(s.ctx, false)
		return placer.Placement{}, &r
	}
}

// logPlacement logs where a request goes and what decided it.
func (s *stream) logPlacement(pl placer.Placement, waited time.Duration) {
	s.f.describe(s.f.log.Info(), s.x).Str("endpoint", pl.Engine.Name).Str("backup", pl.Backup.Name).Dur("waited_ms", waited).
		Float64("forecast_peak", pl.ForecastPeak).Dur("report_age_ms", pl.ReportAge).Int("prompt", s.job.PromptTokens).Msg("forwarder: generation placed")
}

// send sends the request to an engine and waits for the head of its answer.
// The run is handed to register, if that is set, before it is sent.
func (s *stream) send(to, backup registrar.Endpoint, from Resume, register func(run)) (run, error) {
	now := s.f.clock.Now()
	c, cancel := context.WithCancelCause(s.ctx)
	r := run{engine: to, backup: backup, interrupt: cancel}
	if register != nil {
		register(r)
	}
	var err error
	r.answer, err = s.f.endpoints.Send(c, s.x.req, Dispatch{
		Endpoint: to, Customer: s.x.customer.Name, Remaining: s.x.deadline.Sub(now),
		Priority: urgency(from), Backup: backup.Addr, Resume: from,
	})
	if err == nil {
		return r, nil
	}
	if cause := context.Cause(c); cause != nil && s.ctx.Err() == nil {
		err = requester.FailureError{Kind: kindOf(err), Cause: cause}
	}
	return r, err
}

// Urgency at engines. A more urgent run that arrives makes others yield, which
// then read their prompts again; only a run that goes on is worth that.
const (
	urgencyOfResumed = 0
	urgencyOfNew     = 1
)

// urgency returns the urgency of a run that goes on from there.
func urgency(from Resume) int {
	if from.Copy != "" {
		return urgencyOfResumed
	}
	return urgencyOfNew
}

// use makes r the run that the stream reads from.
func (s *stream) use(r run) {
	s.mu.Lock()
	s.run = r
	if s.events == 0 {
		s.lastBytes = s.f.clock.Now()
	}
	s.next = nil
	s.mu.Unlock()
	s.f.rememberStream(s)
}

// end closes the connection of a run that is not read any more.
func (r *run) end() {
	if r.answer.Body != nil {
		// A connection that is closed early has nothing more to tell.
		_ = r.answer.Body.Close()
	}
	r.interrupt(nil)
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
	n, err := s.run.answer.Body.Read(s.chunk)
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
	s.run.end()
	return s.resume(err)
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
	s.events, s.lastEvent = s.ledger.events, s.ledger.lastEvent()
	s.lastBytes = now
	s.mu.Unlock()
	if before == 0 && s.ledger.events > 0 {
		s.place.RecordFirstEvent(s.job.ID, now)
		s.first = now.Sub(s.x.arrived)
		s.f.metrics.observe("first_event", s.first)
	} else if before > 0 {
		s.pause = max(s.pause, gap)
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
	s.f.describe(s.f.log.Warn(), s.x).Err(err).Str("reason", string(reason)).Str("endpoint", s.run.engine.Name).Int("events", s.ledger.events).
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
	s.run.end()
	s.dropNext()
	s.f.forgetStream(s)
	s.place.RecordEnd(s.job, s.ledger.events*max(s.place.engine.Stride, 1), s.ended, s.f.clock.Now())
	s.place.settle(s.f.clock.Now())
	if s.ended {
		s.f.metrics.count("streams_answered")
		s.f.describe(s.f.log.WithLevel(zerolog.InfoLevel), s.x).Str("endpoint", s.run.engine.Name).Int("events", s.ledger.events).
			Dur("first_event_ms", s.first).Dur("longest_pause_ms", s.pause).Int("resumed", s.resent).Str("reason", string(ReasonServed)).Msg("forwarder: stream answered")
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
