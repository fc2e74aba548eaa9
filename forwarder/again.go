package forwarder

import (
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// A stream of a resumable route may go on in a new run on another engine, which reads the prompt
// again and starts after the last event. The client asks for it with the ID of that event when it
// has lost its daemon; the daemon itself does so within one response, when the run has broken off
// and no copy of its KV cache can be continued. Each new run uses the retry budget.

// errNotRepeatable means that the request may not be run again: its route does not permit it, or
// as many engines as the route permits may run it.
var errNotRepeatable = errors.New("the route does not permit another run")

// resumePoint returns the ID of the last event that the client of a request has received, or noEvent
// if it does not resume a stream. Where streams are not resumable, the ID is ignored, as by a server
// that does not know the header field.
func resumePoint(r *matcher.Route, lastEvent string) (int64, error) {
	if lastEvent == "" || r.Kind != matcher.Streaming || !r.Resumable {
		return noEvent, nil
	}
	return parseEventID(lastEvent)
}

// resumedTokens returns the number of output tokens that the client of a resumed stream has
// received, at most what the request permits. Events are numbered from 1 as far as is known.
func (x *exchange) resumedTokens(tokensPerEvent int) int {
	if x.resumeAfter <= 0 {
		return 0
	}
	limit := int64(max(x.req.Generation.MaxTokens, x.req.Generation.EstimatedTokens))
	return int(min(x.resumeAfter, limit/int64(tokensPerEvent)) * int64(tokensPerEvent))
}

// mayRunAgain reports whether the request may be run by one more engine. The ones whose process has
// ended do not count.
func (s *stream) mayRunAgain() bool {
	return s.x.route.Repeatable() && s.x.runs.Load() < int64(max(s.x.route.Attempts, 1)) && s.x.attempts.Load()-s.x.unsent.Load() < maxStreamAttempts
}

// continueByNewRun continues the generation with a new run on another engine, which reads the
// prompt again.
func (s *stream) continueByNewRun(source run, cause error) (run, error) {
	if !s.x.route.Repeatable() {
		return run{}, errNoCopy
	}
	if s.sourceEnded(source) {
		if !s.f.mayCrashAnother(s.x) {
			return run{}, errQuarantined
		}
		s.x.runs.Add(-1)
	}
	exclude := map[registrar.Identity]bool{source.engine.Identity: true}
	for s.mayRunAgain() {
		for _, id := range s.unanswered() {
			exclude[id] = true
		}
		r, err := s.runAgain(source, cause, exclude)
		if err == nil || !errors.Is(err, errRefusedByEngine) {
			return r, err
		}
	}
	return run{}, errNotRepeatable
}

// sourceEnded reports whether the engine of a run that has broken off is known to have ended. It asks
// for longer if only that permits another run.
func (s *stream) sourceEnded(source run) bool {
	switch {
	case s.mayRunAgain():
		return s.f.awaitEnd(s.ctx, s.engineEnded, endDecisionTime)
	case s.engineEnded != nil:
		return s.f.awaitEnd(s.ctx, s.engineEnded, endProbeTimeout)
	default:
		return s.f.hasEnded(s.ctx, source.engine)
	}
}

// errRefusedByEngine means that an engine did not accept a new run.
var errRefusedByEngine = errors.New("engine did not accept the run")

// runAgain tries to start a new run on an engine that is not excluded, and excludes that engine. The
// error matches errRefusedByEngine if another engine may be tried.
func (s *stream) runAgain(source run, cause error, exclude map[registrar.Identity]bool) (run, error) {
	startedAt := s.f.clock.Now()
	s.jobPlacer.RecordRefusal(s.job.ID, false, startedAt)
	pl, refusal := s.confirmedPlacement(s.resumedJob(startedAt), exclude)
	if refusal != nil {
		return run{}, errors.Wrap(errNoCopy, string(refusal.Reason))
	}
	exclude[pl.Engine.Identity] = true
	if !s.f.acquireGrant(s.ctx, pl.Engine, limiter.Normal) {
		return run{}, errRefusedByEngine
	}
	if s.x.deliveries > 0 && !s.f.acquireRetry(s.ctx, s.x) {
		return run{}, errors.Wrap(errNoCopy, string(ReasonRetryBudget))
	}
	s.x.attempts.Add(1)
	from := s.resumeWithoutCopy()
	s.recordSecondRun(source, pl.Engine, from, wayAgain, cause)
	r, err := s.send(pl.Engine, pl.Backup, from, nil)
	if err != nil && provesNotRun(err) {
		s.x.unsent.Add(1)
	} else {
		s.x.deliveries++
	}
	res := &r.response
	log := s.f.addRequestFields(s.f.log.Info(), s.x).Err(err).AnErr("cause", cause).Str("way", wayAgain).Str("from", source.engine.Name).Str("endpoint", pl.Engine.Name).
		Str("last_event", from.LastEvent).Dur("took_ms", s.f.clock.Now().Sub(startedAt))
	if err == nil && res.FromEndpoint && !res.NotExecuted && isEventStream(res) {
		s.x.runs.Add(1)
		s.awaitsFirstEvent = true
		s.f.metrics.count("resumes_" + wayAgain)
		s.f.metrics.observe("resume_time", s.f.clock.Now().Sub(startedAt))
		log.Msg("forwarder: generation continued by another run")
		return r, nil
	}
	log.Int("status", res.Status).Bool("not_run", s.dropUnaccepted(r, err)).Msg("forwarder: engine did not accept the run that continues a generation")
	return run{}, errRefusedByEngine
}

// dropUnaccepted closes a run that its engine did not accept, or that failed with err. It reports whether the run is
// certain not to have begun. Otherwise it counts, and its engine is made to stop it.
func (s *stream) dropUnaccepted(r run, err error) (notRun bool) {
	notRun = err != nil && provesNotRun(err) || err == nil && r.response.NotExecuted
	if !notRun {
		s.x.runs.Add(1)
	}
	if !notRun && err != nil { // An engine that has answered does not run it any more.
		s.endRun(r, err)
	}
	r.close()
	s.f.handleMisdirected(r.engine, r.response)
	return notRun
}

// resumeWithoutCopy returns how a new run goes on after the events that the client has received.
func (s *stream) resumeWithoutCopy() Resume { return Resume{LastEvent: s.sequencer.lastEvent()} }

// resumedJob returns the job of a new run that continues the generation. Its first event is due as
// if the request had just arrived, and the client leaves when it has waited for its patience since
// the last event.
func (s *stream) resumedJob(now time.Time) placer.Job {
	job := s.currentJob()
	if s.sequencer.eventCount == 0 {
		return job
	}
	job.FirstEventDue = now.Add(s.x.route.LatencyTarget)
	if s.x.route.Patience > 0 {
		job.FirstEventLimit = now.Add(s.x.route.Patience)
	}
	return job
}

// leaveSilentEngine makes the stream go on in a new run if it may and no copy of its run exists: its
// engine is silent. Otherwise the stream waits.
func (s *stream) leaveSilentEngine(source run) {
	if s.mayRunAgain() && !source.state.left.Swap(true) {
		s.endRun(source, errEngineUnresponsive)
	}
}

// errFailedByEngine means that an engine has answered a request with a failure.
var errFailedByEngine = errors.New("the engine answered with a failure")

// repeatFailed tries to run a request again whose run an engine has answered with a failure. It returns
// the new run, or else the one that failed, whose response the client gets.
func (s *stream) repeatFailed(failed run) run {
	if !s.mayRunAgain() || s.ctx.Err() != nil {
		return failed
	}
	s.setResuming(true)
	defer s.setResuming(false)
	s.engineEnded = nil // It has answered.
	r, err := s.continueByNewRun(failed, errFailedByEngine)
	if err != nil {
		return failed
	}
	failed.close()
	s.resumeCount++
	return r
}
