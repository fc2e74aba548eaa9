package forwarder

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/registrar"
)

// Grounds on which the run that another one continues is held to be over, in logs and counters.
const (
	firstEnded   = "ended"   // Its response, or its connection, has ended.
	firstStopped = "stopped" // Its engine says that it has stopped it.
	firstReset   = "reset"   // The daemon has reset its connection.
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
	case provesNotRun(err), errors.Is(err, errEndpointLimited), errors.Is(err, errEndpointDeferred), errors.Is(err, errNoOtherEngine), errors.Is(err, errEngineRemoved):
		return askedNotSent
	case errors.Is(err, requester.ErrOutcomeUnknown):
		return askedNothing
	default:
		return askedFailed
	}
}

// handover is when and how a run has ended that another one may continue.
type handover struct {
	mu     sync.Mutex
	overAt time.Time // When the run was found to be over, or was left; zero before.
	reset  bool      // The daemon has reset its connection.
}

// recordOver records the end of the run, and reports whether it was not recorded before.
func (h *handover) recordOver(reset bool, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.overAt.IsZero() {
		return false
	}
	h.overAt, h.reset = now, reset
	return true
}

// recordSecondRun logs that another run is about to be requested that continues the source.
func (s *stream) recordSecondRun(source run, to registrar.Endpoint, from Resume, way string, cause error) {
	h := &source.state.handover
	h.mu.Lock()
	overAt, ground := h.overAt, firstEnded
	if h.reset {
		ground = firstReset
	}
	h.mu.Unlock()
	if source.state.loadStop() == verifier.Stopped {
		ground = firstStopped
	}
	s.f.metrics.count("second_runs_" + ground)
	log := s.f.addRequestFields(s.f.log.Info(), s.x).AnErr("cause", cause).Str("way", way).Str("first_run", ground).Str("from", source.engine.Name).Str("endpoint", to.Name).
		Str("last_event", from.LastEvent)
	if e := source.state.end.Load(); e != nil && e.isKnown() {
		log.Str("asked", e.asked)
	}
	if !overAt.IsZero() {
		log.Dur("first_over_ms", s.f.clock.Now().Sub(overAt))
	}
	log.Msg("forwarder: another run requested")
}

// leaveRun resets the connection of a run that may still be at work, before another one continues it.
func (s *stream) leaveRun(source run, cause error) {
	if source.state.handover.recordOver(true, s.f.clock.Now()) {
		s.f.metrics.count("runs_left")
	}
	source.abort(cause)
}

// recordBroken records that the current run has broken off for a cause.
func (s *stream) recordBroken(cause error) {
	s.run.state.handover.recordOver(errors.Is(cause, requester.ErrReadTimeout), s.f.clock.Now())
}

// logAsked logs what an engine said the last time that it was asked about the next run.
func (w *answerWatch) logAsked(err error, times int) {
	f := w.s.f
	asked := askedOf(w.result, err)
	f.metrics.count("continuations_asked_" + asked)
	f.addRequestFields(f.log.Info(), w.s.x).Err(err).Str("from", w.source.engine.Name).Str("endpoint", w.next.engine.Name).Str("asked", asked).Int("times", times).
		Dur("sent_ms", f.clock.Now().Sub(w.next.sentAt)).Bool("given_up", w.result.givenUp).Msg("forwarder: engine was asked about a run that it had not answered")
}
