package forwarder

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/coordination/resumer"
	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Causes for which a run is interrupted.
var (
	errEngineShuttingDown = errors.New("the engine is shutting down")
	errEngineUnresponsive = errors.New("the engine does not answer")
)

// readChunkBytes is the buffer size for reads from an engine.
const readChunkBytes = 4 << 10

// stream is a generation whose events are passed on to a client.
type stream struct {
	f         *Forwarder
	x         *exchange
	ctx       context.Context
	jobPlacer *servicePlacer
	job       placer.Job

	release func()

	// Used only by the goroutine that serves the client.
	header          Response // Header of the response to the client: of the first run, unless it brought no event.
	sequencer       eventSequencer
	chunk           []byte
	firstEventDelay time.Duration // Time from the arrival of the request to the first event.
	longestPause    time.Duration // Longest time between events.
	resumeCount     int           // Number of times the generation was continued by another run.
	engineEnded     <-chan bool   // Gets whether the engine of the run that broke off last has ended; may be nil.
	// awaitsFirstEvent is set while a new run that continues the generation has brought no event.
	awaitsFirstEvent bool
	events           bool          // The response is a series of events.
	body             verifier.Body // Of the current run.
	ended            bool          // The body of the current run was read to the end that its framing marks.
	pending          []byte        // Bytes for the next calls of Read.
	pendingRead      int           // Number of bytes of pending that Read has returned.
	reserved         int64         // Bytes reserved for events beyond the reservation of the request.
	complete         bool

	mu             sync.Mutex
	run            run
	eventCount     int                            // Number of events received so far.
	lastEvent      string                         // ID of the last event that was received; empty if there was none, which differs from an event with the ID 0.
	unnumbered     bool                           // An event without an ID was received after the last one that has an ID.
	lastReadAt     time.Time                      // Time at which the engine last sent any bytes.
	progress       resumer.Progress               // Of the current run.
	runSound       bool                           // The current run has made progress.
	evacuatingFrom registrar.Identity             // Engine that the run is being evacuated from; zero if none.
	replacement    chan run                       // Receives the run that continues the generation; nil unless one is being started.
	resuming       bool                           // The stream is being resumed after its run has broken off.
	ends           map[registrar.Identity]*runEnd // Of the last run at each engine that was asked to stop one.
	closed         bool
}

// run is one attempt to serve a generation on an engine.
type run struct {
	engine    registrar.Endpoint
	backup    registrar.Endpoint // Engine that keeps a copy of the KV cache; zero if none.
	interrupt context.CancelCauseFunc
	response  Response
	sentAt    time.Time
	fromStart bool     // It was asked for all events.
	from      position // Where it goes on, if it continues another run from a copy.
	state     *runState
}

// runState is the state of a run that all copies of the run share.
type runState struct {
	stop        atomic.Int32 // A verifier.Stop: whether the engine was made to stop the run.
	backupTried atomic.Bool  // The backup was tried because the engine was silent.
	copyRefused atomic.Bool  // The backup has refused to continue from the copy.
	left        atomic.Bool  // The stream goes on elsewhere, since the engine was silent.
	pathTried   atomic.Bool  // The stream was to go on elsewhere, since the path to the engine was cut.
	// resumeLost is set if a request to continue the run may have been executed, but brought
	// no response. The generation may go on there.
	resumeLost atomic.Bool
	handover   handover
	producing  atomic.Bool            // It has brought an event.
	copyTried  atomic.Bool            // A request has named the copy that was made when the run was stopped.
	end        atomic.Pointer[runEnd] // Nil unless its engine was asked to stop it.
}

func (s *runState) loadStop() verifier.Stop { return verifier.Stop(s.stop.Load()) }

// suspectStop records that the run may have been stopped, unless more is known.
func (s *runState) suspectStop() {
	s.stop.CompareAndSwap(int32(verifier.NotStopped), int32(verifier.MaybeStopped))
}

func (s *runState) storeStop(stop verifier.Stop) { s.stop.Store(int32(stop)) }

// serveStream starts a generation and sets the stream as the body of the response.
// The stream calls release when it is closed; if the start fails, serveStream does.
func (f *Forwarder) serveStream(ctx context.Context, out *fasthttp.RequestCtx, x *exchange, release func()) {
	service := f.table.Load().Manifest.Services[x.service]
	if service.Engine == nil {
		service.Engine = &matcher.Engine{Slots: defaultEngineSlots}
	}
	s := &stream{f: f, x: x, ctx: ctx, jobPlacer: f.placerFor(x.service, service.Engine), release: release}
	s.job = s.newJob(service.Engine)
	if x.resumeAfter != noEvent {
		s.sequencer.startAfter(x.resumeAfter)
		s.lastEvent = s.sequencer.lastEvent()
	}
	refusal, cause := s.start()
	if refusal != nil {
		f.removeStream(s)
		s.jobPlacer.RecordEnd(s.job, 0, false, f.clock.Now())
		f.refuse(out, x, *refusal, cause)
		release()
		return
	}
	s.chunk = make([]byte, readChunkBytes)
	if err := s.awaitContent(); err != nil {
		r, ended := refusalForContext(ctx, true)
		if !ended {
			r = Refusal{Status: fasthttp.StatusBadGateway, Reason: ReasonOutcomeUnknown}
		}
		f.refuse(out, x, r, err)
		_ = s.Close() // Returns no error.
		return
	}
	x.responding.Store(true)
	copyResponseHeader(out, &s.header)
	length := s.header.ContentLength
	if s.events {
		length = unknownLength // Another run may continue the generation.
	}
	out.Response.SetBodyStream(s, length)
}

// awaitContent reads until the first events can be sent or the response is complete. Until
// then nothing has been sent to the client, which can get a clear error.
func (s *stream) awaitContent() error {
	for len(s.pending) == 0 && !s.complete {
		if err := s.fill(); err != nil {
			return err
		}
	}
	return nil
}

// unknownLength makes fasthttp send a body in chunks.
const unknownLength = -1

// Limits of the size of the response of one run, in bytes.
const (
	maxStreamBytes = 64 << 20 // Several times a series of tens of thousands of events.
	maxOtherBytes  = maxStreamBytes
)

// isEventStream reports whether the body of a response is a series of events, which it is
// unless it is a failure or its header names another type.
func isEventStream(res *Response) bool {
	if res.Status < fasthttp.StatusOK || res.Status >= fasthttp.StatusMultipleChoices {
		return false
	}
	for _, h := range res.Header {
		if strings.EqualFold(h.Name, fasthttp.HeaderContentType) {
			return strings.HasPrefix(strings.ToLower(strings.TrimSpace(h.Value)), "text/event-stream")
		}
	}
	return true
}

// defaultEngineSlots is used for a streaming service that the manifest does not
// describe as an engine.
const defaultEngineSlots = 8

// newJob returns the description of the request for the placer.
func (s *stream) newJob(e *matcher.Engine) placer.Job {
	g := s.x.req.Generation
	priority := s.x.customer.Priority*customerPriorityFactor + s.x.route.Priority
	job := placer.Job{
		ID: s.x.req.ID, Class: placer.ClassOf(g.Model, priority), PromptTokens: g.PromptTokens, MaxTokens: g.MaxTokens, EstimatedTokens: g.EstimatedTokens,
		OutputTokens: s.x.resumedTokens(max(e.TokensPerEvent, 1)), Priority: priority, FirstEventDue: s.x.arrived.Add(s.x.route.LatencyTarget), Deadline: s.x.deadline, AllowBackup: e.Backups,
		AllowedRegions: s.x.allowedRegions,
	}
	if s.x.route.Patience > 0 {
		job.FirstEventLimit = s.x.arrived.Add(s.x.route.Patience)
	}
	return job
}

// customerPriorityFactor weights the priority of a customer so that it takes
// precedence over the priority of the route.
const customerPriorityFactor = 3

// start sends the request to engines until one accepts it. Otherwise it returns the
// refusal and its cause.
func (s *stream) start() (*Refusal, error) {
	exclude := map[registrar.Identity]bool{}
	for {
		if refusal := s.f.refuseQuarantined(s.x); refusal != nil {
			return refusal, errQuarantined
		}
		pl, refusal := s.confirmedPlacement(s.job, exclude)
		if refusal != nil {
			return refusal, nil
		}
		if !s.f.acquireGrant(s.ctx, pl.Engine, limiter.Normal) {
			exclude[pl.Engine.Identity], s.x.limitDenied = true, true
			s.jobPlacer.SetLimited(s.f.deniedEngines(s.f.clock.Now()))
			s.jobPlacer.RecordRefusal(s.job.ID, false, s.f.clock.Now())
			continue
		}
		if s.x.deliveries > 0 && !s.f.budget.TryRetry(s.x.service, 0, s.f.clock.Now()) {
			return &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonRetryBudget, RetryAfter: defaultRetryAfter}, nil
		}
		// The placement took some time.
		if refusal := s.f.refuseQuarantined(s.x); refusal != nil {
			return refusal, errQuarantined
		}
		if s.outlastsDaemon(s.f.clock.Now()) {
			return &stopRefusal, errStopping
		}
		accepted, refused, err := s.attempt(pl)
		if accepted {
			return nil, nil
		}
		if !refused {
			return s.recoverUnknownOutcome(err)
		}
		exclude[pl.Engine.Identity] = true
		if r, ended := refusalForContext(s.ctx, false); ended {
			return &r, err
		}
		if unsent := s.x.unsent.Load(); s.x.attempts.Load()-unsent >= maxAttempts || unsent >= maxUnsentAttempts {
			return &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonRefused, RetryAfter: defaultRetryAfter}, err
		}
	}
}

// attempt sends the request to one engine. It reports whether the engine accepted
// the request, and if not, whether the request is certain not to have been executed.
func (s *stream) attempt(pl placer.Placement) (accepted, refused bool, err error) {
	s.x.attempts.Add(1)
	r, err := s.send(pl.Engine, pl.Backup, s.resumeWithoutCopy(), s.setRun)
	notSent := err != nil && provesNotRun(err)
	if notSent {
		s.x.unsent.Add(1)
	} else {
		s.x.deliveries++
	}
	res := &r.response
	if err == nil {
		err = s.verifyRefusal(&r)
	}
	refused = notSent || err == nil && res.NotExecuted
	if !refused {
		s.x.runs.Add(1)
	}
	if err == nil && !res.NotExecuted && (res.FromEndpoint || res.Status >= fasthttp.StatusInternalServerError) {
		if res.Status >= fasthttp.StatusInternalServerError {
			r = s.repeatFailed(r)
		}
		s.events = isEventStream(&r.response)
		s.setRun(r)
		s.x.proofs.record(proofNone)
		return true, false, nil
	}
	r.close()
	s.f.handleMisdirected(pl.Engine, *res)
	s.f.recordProof(s.f.addRequestFields(s.f.log.Info(), s.x), s.x, res.Via, refused, err).Err(err).Str("endpoint", pl.Engine.Name).Bool("not_run", refused).Int("status", res.Status).
		Msg("forwarder: engine did not accept the request")
	if refused {
		s.jobPlacer.RecordRefusal(s.job.ID, isUnreachable(err), s.f.clock.Now())
	}
	return false, refused, err
}

// verifyRefusal returns an error if the response of an engine refuses the request without a proof that it was not executed.
func (s *stream) verifyRefusal(r *run) error {
	switch {
	case r.response.NotExecuted:
		return s.f.readRefusal(s.ctx, &r.response, r.interrupt)
	case promisesNotRun(r.response.Status):
		return errUnprovenRefusal
	}
	return nil
}

// recoverUnknownOutcome handles a request that was sent and got no response. The
// engine may have executed it, so it is not sent again; only a copy of its run may
// be continued.
func (s *stream) recoverUnknownOutcome(err error) (*Refusal, error) {
	if s.ctx.Err() == nil && s.resume(err) == nil {
		return nil, nil
	}
	if r, ended := refusalForContext(s.ctx, true); ended {
		return &r, err
	}
	return &Refusal{Status: fasthttp.StatusBadGateway, Reason: ReasonOutcomeUnknown}, err
}

// Limits of the exchange of concurrent placements with peers.
const (
	confirmDelay     = 20 * time.Millisecond // Time to exchange updates about concurrent placements; a hundredth of the time to the first event.
	maxConfirmations = 3                     // Number of times that a placement may yield to concurrent ones.
)

// confirmedPlacement returns a placement that still holds after the daemons have
// exchanged their concurrent placements.
func (s *stream) confirmedPlacement(job placer.Job, exclude map[registrar.Identity]bool) (placer.Placement, *Refusal) {
	for try := 1; ; try++ {
		pl, refusal := s.awaitPlacement(job, exclude)
		if refusal != nil || try > maxConfirmations || !s.f.peers.anyReachable() || !s.f.mayAsk(pl.Engine, s.f.clock.Now()) {
			return pl, refusal
		}
		if s.f.clock.Sleep(s.ctx, confirmDelay) != nil || s.jobPlacer.Confirm(s.job.ID, s.f.clock.Now()) {
			return pl, nil
		}
		s.f.metrics.count("placements_yielded")
		s.f.addRequestFields(s.f.log.Info(), s.x).Str("endpoint", pl.Engine.Name).Int("try", try).Msg("forwarder: placement yields to a concurrent placement of another daemon")
	}
}

// awaitPlacement submits the job and waits until it is placed or refused.
func (s *stream) awaitPlacement(job placer.Job, exclude map[registrar.Identity]bool) (placer.Placement, *Refusal) {
	now := s.f.clock.Now()
	if s.jobPlacer.engine.MemoryTokens > 0 && job.PromptTokens >= s.jobPlacer.engine.MemoryTokens {
		return placer.Placement{}, &Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Reason: ReasonExceedsEngineMemory}
	}
	if s.outlastsDaemon(now) {
		return placer.Placement{}, &stopRefusal
	}
	if refusal := s.f.noEndpointRefusal(s.x); refusal != nil {
		return placer.Placement{}, refusal
	}
	if s.allEnginesLimited(exclude, now) {
		r := s.f.limitRefusal(s.x, now)
		return placer.Placement{}, &r
	}
	ch := make(chan placer.Outcome, 1)
	s.jobPlacer.addWaiter(s.job.ID, ch)
	pl, placed := s.jobPlacer.Submit(job, exclude, now)
	if placed {
		s.jobPlacer.removeWaiter(s.job.ID)
		s.logPlacement(pl, 0)
		return pl, nil
	}
	s.f.pollWake.wake()
	return s.awaitOutcome(ch)
}

// awaitOutcome waits until the job is placed or refused, a part of its prompt is quarantined, all
// engines that are allowed are evacuated, or the generation outlasts the daemon, which is stopping.
func (s *stream) awaitOutcome(ch <-chan placer.Outcome) (placer.Placement, *Refusal) {
	for {
		verdicts := s.f.quarantineWatch.next()
		if refusal := s.f.refuseQuarantined(s.x); refusal != nil {
			s.withdraw()
			return placer.Placement{}, refusal
		}
		if refusal := s.f.noEndpointRefusal(s.x); refusal != nil && refusal.Reason != ReasonNoEndpoint {
			s.withdraw()
			return placer.Placement{}, refusal
		}
		if s.outlastsDaemon(s.f.clock.Now()) {
			s.logUnplaced(s.withdraw())
			return placer.Placement{}, &stopRefusal
		}
		select {
		case o := <-ch:
			s.f.metrics.observe("queue_wait", o.Waited)
			if o.Refused {
				s.logUnplaced(o.Queue)
				return placer.Placement{}, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonNoCapacity, RetryAfter: o.RetryAfter}
			}
			s.logPlacement(o.Placement, o.Waited)
			return o.Placement, nil
		case <-verdicts:
		case <-s.ctx.Done():
			s.logUnplaced(s.withdraw())
			r, _ := refusalForContext(s.ctx, false)
			return placer.Placement{}, &r
		}
	}
}

// withdraw takes the job out of the queue and returns the state in which it left.
func (s *stream) withdraw() placer.QueueState {
	state := s.jobPlacer.Withdraw(s.job.ID)
	s.jobPlacer.removeWaiter(s.job.ID)
	return state
}

// allEnginesLimited reports whether the limits of the engines that are left to try
// permit no request now.
func (s *stream) allEnginesLimited(exclude map[registrar.Identity]bool, now time.Time) bool {
	limited := s.x.limitDenied
	for _, e := range s.f.allowedEndpoints(s.x, s.f.registry.Usable(s.x.service)) {
		switch {
		case !s.f.mayAsk(e, now):
			limited = true
		case !exclude[e.Identity]:
			return false
		}
	}
	return limited
}

// logPlacement logs a placement and the data behind the decision.
func (s *stream) logPlacement(pl placer.Placement, waited time.Duration) {
	s.f.addRequestFields(s.f.log.Info(), s.x).Str("endpoint", pl.Engine.Name).Str("backup", pl.Backup.Name).Dur("waited_ms", waited).
		Float64("forecast_peak", pl.ForecastPeak).Dur("report_age_ms", pl.ReportAge).Int("prompt", s.job.PromptTokens).Msg("forwarder: generation placed")
}

// unplacedCause returns what kept most engines from getting a job.
func unplacedCause(q placer.QueueState) string {
	switch {
	case q.EnginesFull == 0 && q.EnginesBusy == 0:
		return "no_engine" // All are unreachable, are shutting down, or refused the job.
	case q.EnginesFull >= q.EnginesBusy:
		return "engine_memory"
	default:
		return "prefill_backlog"
	}
}

// logUnplaced logs why a job leaves the queue without a placement.
func (s *stream) logUnplaced(q placer.QueueState) {
	cause := unplacedCause(q)
	s.f.metrics.count("generations_unplaced_" + cause)
	s.f.addRequestFields(s.f.log.Info(), s.x).Str("cause", cause).Int("engines_full", q.EnginesFull).Int("engines_busy", q.EnginesBusy).
		Int("jobs_ahead", q.JobsAhead).Int("late_ahead", q.LateAhead).Bool("late", q.Late).Int("prompt", s.job.PromptTokens).Msg("forwarder: generation left the queue without a placement")
}

// send sends the request to an engine and waits for the response header. If
// register is not nil, it is called with the run before the request is sent. The run
// has no backup where none may be kept any more.
func (s *stream) send(to, backup registrar.Endpoint, from Resume, register func(run)) (run, error) {
	now := s.f.clock.Now()
	if backup.Name != "" && s.f.mayStartWork(s.x, backup) != nil {
		backup = registrar.Endpoint{}
	}
	c, cancel := context.WithCancelCause(s.ctx)
	r := run{engine: to, backup: backup, interrupt: cancel, sentAt: now, fromStart: from == Resume{}, state: &runState{}}
	if register != nil {
		register(r)
	}
	granted := s.f.isGranted(to)
	err := s.f.mayStartWork(s.x, to)
	if err == nil {
		r.response, err = s.f.endpoints.Send(c, s.x.req, Dispatch{
			Endpoint: to, Customer: s.x.customer.Name, Remaining: s.x.deadline.Sub(now),
			Priority: enginePriority(from), BackupAddr: backup.Addr, Resume: from,
			SentBefore: s.x.recordSend(to.Addr),
		})
	}
	if err == nil {
		s.f.observeResponse(to, &r.response, granted)
		return r, nil
	}
	if cause := context.Cause(c); cause != nil && s.ctx.Err() == nil {
		err = withCause(err, cause)
	}
	return r, err
}

// Priorities at engines. An arriving run of higher priority preempts others, which
// then repeat their prefill. Only resumed runs justify that.
const (
	priorityResumed = 0
	priorityNew     = 1
)

// enginePriority returns the priority of a run at its engine.
func enginePriority(from Resume) int {
	if from.Copy != "" {
		return priorityResumed
	}
	return priorityNew
}

// setRun makes r the run that the stream reads from.
func (s *stream) setRun(r run) {
	s.mu.Lock()
	moved := s.run.engine.Identity != r.engine.Identity
	s.run = r
	if s.eventCount == 0 {
		s.header = r.response
		s.lastReadAt = s.f.clock.Now()
	}
	s.progress, s.runSound = resumer.Progress{}, false
	s.replacement = nil
	s.mu.Unlock()
	s.ended = false
	s.body = verifier.Body{Framing: r.response.Framing, Stream: s.events, Limit: maxOtherBytes}
	if s.events {
		s.body.Limit = maxStreamBytes
	}
	s.f.addStream(s)
	if moved && s.f.registry.ShuttingDown(r.engine.Identity) { // Since the engine was chosen.
		s.f.evacuate(r.engine, 0)
	}
}

// close closes the connection of a run that is no longer read.
func (r *run) close() {
	if r.response.Body != nil {
		// Errors are irrelevant, since no more data is read.
		_ = r.response.Body.Close()
	}
	r.interrupt(nil)
}

// abort resets the connection of a run that may still be at work, before another one continues it. The
// body may be read by another goroutine.
func (r *run) abort(cause error) {
	abortBody(r.response.Body)
	r.interrupt(cause)
}

// abortBody resets the connection of a body before it returns, if its transport can.
func abortBody(b io.ReadCloser) {
	if a, ok := b.(interface{ Abort() }); ok {
		a.Abort()
	}
}

// sendErrorKind returns requester.ErrNotSent if err proves that the request was not
// sent, and requester.ErrOutcomeUnknown otherwise.
func sendErrorKind(err error) error {
	if provesNotRun(err) {
		return requester.ErrNotSent
	}
	return requester.ErrOutcomeUnknown
}

// Read returns the next complete events of the generation.
func (s *stream) Read(p []byte) (int, error) {
	for {
		if s.pendingRead < len(s.pending) {
			n := copy(p, s.pending[s.pendingRead:])
			s.pendingRead += n
			return n, nil
		}
		if s.complete {
			return 0, io.EOF
		}
		s.pending, s.pendingRead = s.pending[:0], 0
		if err := s.fill(); err != nil {
			s.logCut(err)
			return 0, err
		}
	}
}

// reserveEvents waits until there is memory for the bytes of incomplete events and the next ones
// of the engine. The run has started, so it is not refused; the engine waits.
func (s *stream) reserveEvents() error {
	need := int64(len(s.sequencer.partial)+len(s.pending)+2*readChunkBytes) - streamReserveBytes
	for need > s.reserved {
		if s.x.memory.grow(requestReserveBytes) {
			s.reserved += requestReserveBytes
			continue
		}
		if s.f.clock.Sleep(s.ctx, relayRoomInterval) != nil {
			return context.Cause(s.ctx)
		}
	}
	return nil
}

// fill reads from the engine. If the run breaks off, it resumes the generation.
func (s *stream) fill() error {
	if err := s.reserveEvents(); err != nil {
		return err
	}
	n, err := s.run.response.Body.Read(s.chunk)
	if n > 0 {
		if failure := s.processChunk(s.chunk[:n]); failure != nil {
			err = failure
		}
	}
	switch {
	case err == nil:
		return nil
	case err == io.EOF: //nolint:errorlint // A wrapped io.EOF marks an answer that was cut.
		if err = s.endBody(); err == nil {
			return nil
		}
	case s.ctx.Err() != nil:
		return context.Cause(s.ctx)
	}
	if !s.events {
		s.run.close()
		return err
	}
	s.f.countMalformed(err)
	abortBody(s.run.response.Body) // The run may go on.
	s.run.close()
	return s.resume(err)
}

// endBody handles the end that the framing of the response marks. It returns an error if
// the response is not complete.
func (s *stream) endBody() error {
	s.ended = true
	if s.events {
		var err error
		if s.pending, s.body.Unfinished, err = s.sequencer.endSource(s.pending); err != nil {
			return err
		}
		s.body.Events = s.sequencer.sourceEvents
	}
	return s.checkEnd()
}

// checkEnd completes the stream if the response is complete as far as is known of its run, and
// returns an error otherwise.
func (s *stream) checkEnd() error {
	err := s.body.CheckEnd(s.stopOfRun())
	if err == nil && !s.events {
		err = s.f.confirmEnd(s.ctx, s.run.engine, s.run.response)
	}
	if err == nil && s.events && s.body.Framing == verifier.ByConnection && !s.f.runsAfterEnd(s.ctx, s.run.engine) {
		// The connections of a process that has ended are closed in the same way.
		s.f.metrics.count("ends_doubted")
		s.run.state.suspectStop()
		err = s.body.CheckEnd(s.stopOfRun())
	}
	s.complete = err == nil
	return err
}

// stopOfRun returns what is known of a stop of the run.
func (s *stream) stopOfRun() verifier.Stop {
	stop := s.run.state.loadStop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if stop == verifier.NotStopped && s.replacement != nil {
		return verifier.MaybeStopped
	}
	return stop
}

// processChunk adds the complete events in p to pending and records their timing.
func (s *stream) processChunk(p []byte) error {
	if err := s.body.Add(len(p)); err != nil {
		return err
	}
	if !s.events {
		s.pending = append(s.pending, p...)
		return nil
	}
	before, sourceEvents := s.sequencer.eventCount, s.sequencer.sourceEvents
	var err error
	if s.pending, err = s.sequencer.feed(s.pending, p); err != nil {
		return err
	}
	now := s.f.clock.Now()
	s.mu.Lock()
	gap := now.Sub(s.lastReadAt)
	s.eventCount, s.lastEvent, s.unnumbered = s.sequencer.eventCount, s.sequencer.lastEvent(), s.sequencer.unnumbered
	s.lastReadAt = now
	if s.sequencer.sourceEvents > sourceEvents {
		s.progress.RecordEvents(now)
		s.run.state.producing.Store(true)
	}
	becameSound := !s.runSound && s.progress.Producing() >= soundAfter
	s.runSound = s.runSound || becameSound
	s.mu.Unlock()
	if becameSound {
		s.recordProgress(now)
	}
	if s.awaitsFirstEvent && s.sequencer.sourceEvents > 0 || before == 0 && s.sequencer.eventCount > 0 {
		s.awaitsFirstEvent = false
		s.jobPlacer.RecordFirstEvent(s.job.ID, now)
	}
	if before == 0 && s.sequencer.eventCount > 0 {
		s.recordNumbering()
		s.firstEventDelay = now.Sub(s.x.arrived)
		s.f.metrics.observe("first_event", s.firstEventDelay)
	} else if before > 0 {
		s.longestPause = max(s.longestPause, gap)
		s.f.metrics.observe("event_gap", gap)
	}
	return nil
}

// recordNumbering records the ID of the first event of a run that was asked for all events.
func (s *stream) recordNumbering() {
	if s.run.fromStart && s.sequencer.sourceEvents == s.sequencer.eventCount {
		s.f.numbering.Record(s.run.engine.Identity, s.sequencer.firstID)
	}
}

// logCut logs that a stream ended before its generation was complete.
func (s *stream) logCut(err error) {
	reason := ReasonStreamCut
	switch cause := context.Cause(s.ctx); {
	case errors.Is(cause, errClientDisconnected):
		reason = ReasonClientDisconnected
	case errors.Is(cause, errTimeout):
		reason = ReasonTimeout
	case errors.Is(cause, errStopping):
		reason = ReasonStopping
	}
	s.f.metrics.count("streams_" + string(reason))
	s.f.addRequestFields(s.f.log.Warn(), s.x).Err(err).Str("reason", string(reason)).Str("endpoint", s.run.engine.Name).Int("events", s.sequencer.eventCount).
		Stringer("framing", s.run.response.Framing).Int("unfinished_bytes", len(s.sequencer.partial)).Msg("forwarder: stream ended early")
}

// Close ends the stream after the last event or when the client has disconnected.
func (s *stream) Close() error {
	if s.release == nil {
		return nil
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	if !s.complete && s.x.route.Repeatable() && s.f.ctx.Err() == nil {
		source := s.run
		s.f.spawn(func() { s.endAbandonedRun(source) })
	}
	s.run.close()
	s.discardReplacement()
	s.f.removeStream(s)
	s.jobPlacer.RecordEnd(s.job, s.outputTokens(), s.complete, s.f.clock.Now())
	s.jobPlacer.deliverOutcomes(s.f.clock.Now())
	if s.complete {
		if s.sequencer.eventCount > 0 {
			s.recordProgress(s.f.clock.Now())
		}
		s.f.metrics.count("streams_answered")
		s.f.addRequestFields(s.f.log.WithLevel(zerolog.InfoLevel), s.x).Str("endpoint", s.run.engine.Name).Int("events", s.sequencer.eventCount).
			Dur("first_event_ms", s.firstEventDelay).Dur("longest_pause_ms", s.longestPause).Int("resumed", s.resumeCount).
			Stringer("framing", s.run.response.Framing).Int("unfinished_bytes", len(s.sequencer.partial)).Str("reason", string(ReasonServed)).Msg("forwarder: stream answered")
	}
	s.release()
	s.release = nil
	return nil
}

// addStream adds the stream to those that run on engines.
func (f *Forwarder) addStream(s *stream) {
	f.streamsMu.Lock()
	defer f.streamsMu.Unlock()
	f.streams[s] = struct{}{}
}

func (f *Forwarder) removeStream(s *stream) {
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
