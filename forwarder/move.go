package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/state/registrar"
)

// Times of leaving an engine.
const (
	noticeTime   = 1500 * time.Millisecond // From the first sign that an engine leaves; the shortest notice of the platform.
	movesAtOnce  = 1                       // Of one daemon's streams from one engine; its link sends one after the other.
	moveRetry    = 100 * time.Millisecond  // Until a run that could not be moved yet is tried again.
	closeTime    = 60 * time.Millisecond   // A stopped run's connection is closed within a round trip.
	worthMoving  = 1.0                     // Expected rest of a run, in parts of the time that its engine has left.
	moveGiveUp   = 250 * time.Millisecond  // No move is begun with less time left.
	moveAttempts = 3
)

// moved is the result of a move: where the run goes on, and the name of its
// copy.
type moved struct {
	to     registrar.Endpoint
	handle string
}

// evacuate moves the streams of a leaving engine to others. The engine is gone
// after the notice.
func (f *Forwarder) evacuate(id registrar.Identity, notice time.Duration) {
	if notice <= 0 {
		notice = noticeTime
	}
	gone := f.clock.Now().Add(notice)
	turns := make(chan struct{}, movesAtOnce)
	for _, s := range f.runningStreams() {
		s.mu.Lock()
		due := s.engine.Identity == id && !s.leaving
		s.leaving = s.leaving || due
		s.mu.Unlock()
		if due {
			f.group.Go(func() { s.leave(id, gone, turns) })
		}
	}
}

// leave takes the stream off a leaving engine, unless it ends there in time.
func (s *stream) leave(id registrar.Identity, gone time.Time, turns chan struct{}) {
	for range moveAttempts * int(noticeTime/moveRetry) {
		now := s.f.clock.Now()
		if s.ctx.Err() != nil || !s.runsAt(id) || gone.Sub(now) < moveGiveUp {
			return
		}
		if s.place.Rest(s.job, s.produced()) > time.Duration(worthMoving*float64(gone.Sub(now))) && s.produced() > 0 {
			turns <- struct{}{}
			done := s.tryLeave(id, gone)
			<-turns
			if done {
				return
			}
		}
		if s.f.clock.Sleep(s.ctx, moveRetry) != nil {
			return
		}
	}
}

// runsAt reports whether the stream still runs at an engine.
func (s *stream) runsAt(id registrar.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Identity == id && !s.closed
}

// produced returns the output tokens received so far.
func (s *stream) produced() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events * max(s.place.engine.Stride, 1)
}

// tryLeave moves the run once. It reports whether nothing is left to do.
func (s *stream) tryLeave(id registrar.Identity, gone time.Time) bool {
	s.mu.Lock()
	source, backup, interrupt := s.engine, s.backup, s.interrupt
	s.mu.Unlock()
	if source.Identity != id {
		return true
	}
	if backup.Name != "" && !s.f.registry.Leaving(backup.Identity) {
		interrupt(errLeaving)
		return true
	}
	to, ok := s.place.Destination(s.job, source, s.f.clock.Now())
	if !ok {
		s.f.describe(s.f.log.Info(), s.x).Str("endpoint", source.Name).Msg("forwarder: no engine has room for a run that must leave")
		return false
	}
	began := s.f.clock.Now()
	c, cancel := context.WithTimeout(s.ctx, max(gone.Sub(began), moveTimeout)+moveTimeout)
	defer cancel()
	_, err := s.f.endpoints.Move(c, source, s.x.req.ID, to.Addr, false)
	if err != nil {
		s.logMove(source, to, began, err)
		return errors.Is(err, ErrNoRun) && s.produced() > 0
	}
	return s.finishMove(c, source, to, began, interrupt)
}

// finishMove stops the run, copies the rest and lets the reader go on at the
// destination.
func (s *stream) finishMove(ctx context.Context, source, to registrar.Endpoint, began time.Time, interrupt context.CancelCauseFunc) bool {
	result := make(chan moved, 1)
	s.mu.Lock()
	s.moving = result
	s.mu.Unlock()
	m, err := s.lastMove(ctx, source, to)
	s.logMove(source, to, began, err)
	if err == nil {
		result <- m
	}
	close(result)
	if err != nil {
		s.mu.Lock()
		s.moving = nil
		s.mu.Unlock()
		return errors.Is(err, ErrNoRun)
	}
	// The engine closes the stopped run's connection after its last event.
	if s.f.clock.Sleep(s.ctx, closeTime) == nil && s.runsAt(source.Identity) {
		interrupt(errLeaving)
	}
	return true
}

// logMove logs what came of a move.
func (s *stream) logMove(source, to registrar.Endpoint, began time.Time, err error) {
	took := s.f.clock.Now().Sub(began)
	if err == nil {
		s.f.metrics.count("moves_done")
		s.f.metrics.observe("move_time", took)
	} else {
		s.f.metrics.count("moves_failed")
	}
	s.f.describe(s.f.log.Info(), s.x).Err(err).Str("from", source.Name).Str("to", to.Name).Dur("took_ms", took).
		Msg("forwarder: run moved off a leaving engine")
}
