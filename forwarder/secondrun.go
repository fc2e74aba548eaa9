package forwarder

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/registrar"
)

// Grounds on which the run that another one continues is held not to be at work, in logs and counters.
const (
	firstEnded   = "ended"   // Its response, or its connection, has ended.
	firstStopped = "stopped" // Its engine says that it has stopped it.
	firstReset   = "reset"   // The daemon has closed its connection.
	firstBeside  = "beside"  // None: it may be at work until one of the two is left.
)

// What ended the time in which two runs may have been at work, in logs and counters.
const (
	byAnswer     = "answer"     // The second one was answered, and the first one left.
	byTimer      = "timer"      // The second one was not answered in time, and the first one left.
	byAsked      = "asked"      // The engine of the second one has stopped it, and the first one was left.
	byUnanswered = "unanswered" // The engine of the second one did not say whether it runs, and the first one was left.
	bySilence    = "silence"    // The first one was left without a second one, since it brought nothing.
	byEnd        = "end"        // The first one broke off.
	byStreamEnd  = "stream_end" // The stream has ended.
	byGivenUp    = "given_up"   // The request of the second one was given up.
	byRefusal    = "refusal"    // The second one was refused, or failed.
)

// Runs that are left, in logs.
const (
	leftFirst  = "first"
	leftSecond = "second"
)

// Answers of an engine that was asked about a run, in logs and counters.
const (
	askedStopped   = "stopped"     // It had the run and has stopped it.
	askedNoSuchRun = "no_such_run" // It did not have the run then; it may have it later.
	askedNotSent   = "not_sent"
	askedFailed    = "failed" // It has answered, and stopped nothing.
	askedNothing   = "unanswered"
)

// askedOf returns what an engine said that was asked about a run.
func askedOf(c continuation, err error) string {
	switch {
	case c.copied.Handle != "":
		return askedStopped
	case c.absent:
		return askedNoSuchRun
	case provesNotRun(err), errors.Is(err, errEndpointLimited):
		return askedNotSent
	case errors.Is(err, requester.ErrOutcomeUnknown):
		return askedNothing
	default:
		return askedFailed
	}
}

// handover is what a run state holds about the end of the run and the run that continues it.
type handover struct {
	mu       sync.Mutex
	overAt   time.Time // When the run was found to be over, or was left; zero before.
	reset    bool      // The daemon has closed its connection.
	besideAt time.Time // When the second run was requested while this one was at work; zero if none is beside it.
	second   registrar.Endpoint
}

// recordOver records the end of the run, unless it was recorded before.
func (h *handover) recordOver(reset bool, now time.Time) (first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.overAt.IsZero() {
		return false
	}
	h.overAt, h.reset = now, reset
	return true
}

// takeBeside returns when and where the second run was requested that may be at work beside this one. It returns false
// if there is none, or it was taken before.
func (h *handover) takeBeside() (second registrar.Endpoint, at time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	second, at = h.second, h.besideAt
	h.besideAt = time.Time{}
	return second, at, !at.IsZero()
}

// recordSecondRun logs that another run is about to be requested that continues the source.
func (s *stream) recordSecondRun(source run, to registrar.Endpoint, from Resume, way string, cause error, besideSource bool) {
	now := s.f.clock.Now()
	h := &source.state.handover
	h.mu.Lock()
	ground := firstEnded
	switch {
	case besideSource:
		ground = firstBeside
		h.second, h.besideAt = to, now
	case source.state.loadStop() == verifier.Stopped:
		ground = firstStopped
	case h.reset:
		ground = firstReset
	}
	overAt := h.overAt
	h.mu.Unlock()
	s.f.metrics.count("second_runs_" + ground)
	log := s.f.addRequestFields(s.f.log.Info(), s.x).AnErr("cause", cause).Str("way", way).Str("first_run", ground).Str("from", source.engine.Name).Str("endpoint", to.Name).
		Str("last_event", from.LastEvent)
	if !overAt.IsZero() {
		log.Dur("first_over_ms", now.Sub(overAt))
	}
	log.Msg("forwarder: another run requested")
}

// leaveRun ends a run that the stream does not read any more.
func (s *stream) leaveRun(source run, cause error, by string) {
	h := &source.state.handover
	if h.recordOver(true, s.f.clock.Now()) {
		s.f.metrics.count("runs_left_by_" + by)
	}
	second, at, beside := h.takeBeside()
	source.interrupt(cause)
	if beside {
		s.logBeside(source, second, at, leftFirst, by)
	}
}

// recordBroken records that the current run has broken off for a cause.
func (s *stream) recordBroken(cause error) {
	s.run.state.handover.recordOver(errors.Is(cause, requester.ErrReadTimeout), s.f.clock.Now())
	s.endBeside(s.run, leftFirst, byEnd)
}

// endBeside records that the source and the run that continues it are not at work beside each other any more.
func (s *stream) endBeside(source run, left, by string) {
	if source.state == nil {
		return
	}
	if second, at, ok := source.state.handover.takeBeside(); ok {
		s.logBeside(source, second, at, left, by)
	}
}

// logBeside logs that two runs may have been at work since a time.
func (s *stream) logBeside(source run, second registrar.Endpoint, since time.Time, left, by string) {
	d := s.f.clock.Now().Sub(since)
	s.f.metrics.observe("runs_beside", d)
	s.f.addRequestFields(s.f.log.Info(), s.x).Str("from", source.engine.Name).Str("endpoint", second.Name).Dur("beside_ms", d).Str("left", left).Str("by", by).
		Msg("forwarder: two runs may have been at work")
}

// secondEnd returns what ended a second run that was not answered or refused.
func secondEnd(c continuation) string {
	if c.givenUp {
		return byGivenUp
	}
	return byRefusal
}

// logAsked logs what an engine said that was asked about the next run.
func (w *answerWatch) logAsked(err error) {
	f := w.s.f
	asked := askedOf(w.result, err)
	f.metrics.count("continuations_asked_" + asked)
	f.addRequestFields(f.log.Info(), w.s.x).Err(err).Str("from", w.source.engine.Name).Str("endpoint", w.next.engine.Name).Str("asked", asked).
		Dur("sent_ms", f.clock.Now().Sub(w.next.sentAt)).Bool("given_up", w.result.givenUp).Msg("forwarder: engine was asked about a run that it had not answered")
}
