package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/state/registrar"
)

// Times of moves.
const (
	deadSilence    = 600 * time.Millisecond  // A stream of an engine that does not answer is dead after this silence.
	moveTimeout    = 900 * time.Millisecond  // A move that takes longer makes a pause that clients notice.
	maxResumes     = 6 // Of one stream.
	resumeStatusOK = fasthttp.StatusOK
)

// errNoCopy means that no copy of the run could be continued.
var errNoCopy = errors.New("no copy of the generation's memory could be continued")

// resume continues the generation after its engine was lost or has to be left:
// from the backup, else from a move, as long as the source still runs.
func (s *stream) resume(cause error) (Answer, error) {
	s.mu.Lock()
	source, backup := s.engine, s.backup
	s.mu.Unlock()
	s.ledger.join()
	began := s.f.clock.Now()
	if answer, ok := s.resumeFromBackup(source, backup, cause); ok {
		return answer, nil
	}
	if s.ctx.Err() != nil {
		return Answer{}, context.Cause(s.ctx)
	}
	answer, err := s.resumeByMove(source, cause)
	if err != nil {
		s.f.metrics.count("resumes_failed")
		s.f.describe(s.f.log.Warn(), s.x).Err(err).AnErr("cause", cause).Str("endpoint", source.Name).Str("backup", backup.Name).
			Dur("took_ms", s.f.clock.Now().Sub(began)).Int("events", s.ledger.events).Msg("forwarder: generation lost")
	}
	return answer, err
}

// resumeFromBackup continues from the copy that the backup engine keeps.
func (s *stream) resumeFromBackup(source, backup registrar.Endpoint, cause error) (Answer, bool) {
	if backup.Name == "" || s.f.registry.Leaving(backup.Identity) {
		return Answer{}, false
	}
	return s.continueAt(backup, Resume{Copy: s.f.endpoints.CopyOf(backup, s.x.req.ID), LastEvent: s.lastEvent()}, source, "backup", cause)
}

// resumeByMove continues where a move has brought the run, or stops the run at
// its engine, copies it and continues it there.
func (s *stream) resumeByMove(source registrar.Endpoint, cause error) (Answer, error) {
	m, ok := s.awaitMove()
	if !ok {
		var err error
		if m, err = s.moveNow(source); err != nil {
			return Answer{}, err
		}
	}
	from := Resume{Copy: s.f.endpoints.CopyOf(source, m.handle), LastEvent: s.lastEvent()}
	if answer, ok := s.continueAt(m.to, from, source, "move", cause); ok {
		return answer, nil
	}
	return Answer{}, errNoCopy
}

// awaitMove returns the move of the run that is under way.
func (s *stream) awaitMove() (moved, bool) {
	s.mu.Lock()
	under := s.moving
	s.mu.Unlock()
	if under == nil {
		return moved{}, false
	}
	select {
	case m, ok := <-under:
		return m, ok
	case <-s.ctx.Done():
		return moved{}, false
	}
}

// moveNow stops the run and copies it to an engine with room.
func (s *stream) moveNow(source registrar.Endpoint) (moved, error) {
	to, ok := s.place.Destination(s.job, source, s.f.clock.Now())
	if !ok {
		return moved{}, errNoCopy
	}
	c, cancel := context.WithTimeout(s.ctx, moveTimeout)
	defer cancel()
	return s.lastMove(c, source, to)
}

// lastMove stops the run at its engine and completes its copy. Where the copy
// can't be completed, the run goes on from the memory that the source keeps.
func (s *stream) lastMove(ctx context.Context, source, to registrar.Endpoint) (moved, error) {
	copied, err := s.f.endpoints.Move(ctx, source, s.x.req.ID, to.Addr, true)
	if err != nil && copied.Handle == "" {
		return moved{}, errors.Wrap(err, "move")
	}
	if err != nil {
		to = source
	}
	return moved{to: to, handle: copied.Handle}, nil
}

// lastEvent returns the id of the last event that was received.
func (s *stream) lastEvent() string {
	if id := s.ledger.lastEvent(); id != "" {
		return id
	}
	return "0"
}

// continueAt sends the request to the engine that holds a copy.
func (s *stream) continueAt(to registrar.Endpoint, from Resume, source registrar.Endpoint, way string, cause error) (Answer, bool) {
	now := s.f.clock.Now()
	if s.x.attempts > maxResumes || !s.f.budget.Repeat(s.x.service, 0, now) {
		s.f.describe(s.f.log.Warn(), s.x).Str("way", way).Msg("forwarder: no retry left to continue the generation")
		return Answer{}, false
	}
	s.x.attempts++
	backup := s.place.Moved(s.job, to, now)
	answer, err := s.send(to, backup, from)
	if err == nil && answer.Status == resumeStatusOK && answer.Genuine {
		s.f.metrics.count("resumes_" + way)
		s.f.metrics.observe("resume_time", s.f.clock.Now().Sub(now))
		s.f.describe(s.f.log.Info(), s.x).AnErr("cause", cause).Str("way", way).Str("from", source.Name).Str("endpoint", to.Name).Str("backup", backup.Name).
			Str("last_event", from.LastEvent).Dur("took_ms", s.f.clock.Now().Sub(now)).Msg("forwarder: generation continued")
		return answer, true
	}
	if err == nil {
		_ = answer.Body.Close()
	}
	s.f.describe(s.f.log.Info(), s.x).Err(err).AnErr("cause", cause).Str("way", way).Str("endpoint", to.Name).Int("status", answer.Status).Bool("not_run", answer.NotRun).
		Msg("forwarder: copy could not be continued")
	return Answer{}, false
}

// abandonEngine interrupts the streams of an engine that does not answer.
func (f *Forwarder) abandonEngine(id registrar.Identity, now time.Time) {
	for _, s := range f.runningStreams() {
		s.mu.Lock()
		dead := s.engine.Identity == id && now.Sub(s.lastBytes) > deadSilence
		interrupt := s.interrupt
		s.mu.Unlock()
		if dead {
			interrupt(errDead)
		}
	}
}
