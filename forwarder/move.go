package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

// Times of leaving an engine.
const (
	noticeTime   = 1500 * time.Millisecond // From the first sign that an engine leaves; the shortest notice of the platform.
	moveRetry    = 25 * time.Millisecond   // Until it is seen again whether a run can move.
	patientTurns = 3                       // Times as long as the runs ahead should take.
	worthMoving  = 0.2                     // Chance that a run outlasts its engine; a move costs far less than a lost run.
	moveGiveUp   = 250 * time.Millisecond  // No move is begun with less time left.
)

// evacuate moves the streams of a leaving engine to others. The engine is gone
// after the notice.
func (f *Forwarder) evacuate(e registrar.Endpoint, notice time.Duration) {
	if notice <= 0 {
		notice = noticeTime
	}
	now := f.clock.Now()
	turns := f.turns(e, now)
	for _, s := range f.runningStreams() {
		s.mu.Lock()
		due := s.run.engine.Identity == e.Identity && s.leaving != e.Identity
		if due {
			s.leaving = e.Identity
		}
		s.mu.Unlock()
		if due {
			f.spawn(func() {
				s.leave(e, now.Add(latestStart(turns[s.job.ID], notice)), now.Add(notice))
				s.stopLeaving(e.Identity)
			})
		}
	}
}

// latestStart returns when a run begins to leave even if those ahead of it have
// not left. It is patient while there is time for all, since copies that share a
// link hold up the last part of each other, for which the runs stand still.
func latestStart(turn placer.EvacuationTurn, notice time.Duration) time.Duration {
	return max(turn.StartAfter, min(patientTurns*turn.StartAfter, notice-moveGiveUp-turn.TimeNeeded))
}

// turns returns when the runs of a leaving engine should move.
func (f *Forwarder) turns(e registrar.Endpoint, now time.Time) map[string]placer.EvacuationTurn {
	p := f.knownPlacement(e.Service)
	if p == nil {
		return nil
	}
	return p.EvacuationTurns(e.Identity, p.engine.LinkMbps*bytesPerMbit, p.engine.TokenBytes, now)
}

// bytesPerMbit converts the rate of a link.
const bytesPerMbit = 1e6 / 8

// leave takes the stream off a leaving engine when its turn has come, unless it
// ends there in time. The turn comes when the runs ahead have left, or should
// have.
func (s *stream) leave(e registrar.Endpoint, latest, gone time.Time) {
	for {
		now := s.f.clock.Now()
		if s.ctx.Err() != nil || !s.runsAt(e.Identity) || gone.Sub(now) < moveGiveUp {
			return
		}
		produced := s.produced()
		outlasts := produced > 0 && s.place.SurvivalProbability(s.job, produced, gone.Sub(now)) > worthMoving
		turn := outlasts && (!now.Before(latest) || s.f.turns(e, now)[s.job.ID].RunsAhead == 0)
		if turn && s.tryLeave(e.Identity, gone) {
			return
		}
		if s.f.clock.Sleep(s.ctx, moveRetry) != nil {
			return
		}
	}
}

// stopLeaving notes that nothing takes the stream off an engine any more.
func (s *stream) stopLeaving(id registrar.Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving == id {
		s.leaving = registrar.Identity{}
	}
}

// runsAt reports whether the stream still runs at an engine.
func (s *stream) runsAt(id registrar.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run.engine.Identity == id && !s.closed
}

// moving returns the job as it is now, for a move.
func (s *stream) moving() placer.Job {
	job := s.job
	job.OutputTokens = s.produced()
	return job
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
	source := s.run
	s.mu.Unlock()
	if source.engine.Identity != id {
		return true
	}
	if s.handOver(source, func() (run, error) { return s.continueFromBackup(source, errLeaving) }) == nil {
		return true
	}
	to, ok := s.place.MigrationTarget(s.moving(), source.engine, s.f.clock.Now())
	if !ok {
		s.f.describe(s.f.log.Info(), s.x).Str("endpoint", source.engine.Name).Msg("forwarder: no engine has room for a run that must leave")
		return false
	}
	began := s.f.clock.Now()
	c, cancel := context.WithTimeout(s.ctx, max(gone.Sub(began), moveTimeout)+moveTimeout)
	defer cancel()
	_, err := s.f.endpoints.Move(c, source.engine, s.x.req.ID, to.Addr, false)
	if err == nil {
		err = s.handOver(source, func() (run, error) { return s.continueByMove(c, source, to, errLeaving) })
	}
	if err != nil {
		s.place.MigrationFailed(s.job.ID, errors.Is(err, ErrNoRoom), s.f.clock.Now())
	}
	s.logMove(source.engine, to, began, err)
	return err == nil || errors.Is(err, ErrNoRun)
}

// handOver makes a run elsewhere while the stream still reads from the source.
// The source is left once the new run has begun, so that nothing is lost if it
// does not.
func (s *stream) handOver(source run, begin func() (run, error)) error {
	next := make(chan run, 1)
	s.mu.Lock()
	if s.closed || s.run.engine.Identity != source.engine.Identity {
		s.mu.Unlock()
		return ErrNoRun
	}
	s.next = next
	s.mu.Unlock()
	r, err := begin()
	s.mu.Lock()
	closed := s.closed
	if err != nil && s.next == next {
		s.next = nil
	}
	s.mu.Unlock()
	if err != nil || closed {
		if err == nil {
			r.end()
		}
		close(next)
		return err
	}
	next <- r
	close(next)
	source.interrupt(errLeaving)
	return nil
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
