package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/state/registrar"
)

// Bounds of continuing a generation elsewhere.
const (
	deadSilence = 600 * time.Millisecond // A stream of an engine that does not answer is dead after this silence.
	moveTimeout = 900 * time.Millisecond // A stopped run is waited for no longer; clients notice the pause well before.
	maxResumes  = 6                      // Of one stream.
)

// errNoCopy means that no copy of the run could be continued.
var errNoCopy = errors.New("no copy of the generation's memory could be continued")

// Ways to continue a generation, in logs and counters.
const (
	wayBackup = "backup"
	wayMove   = "move"
)

// resume goes on with the generation after its run has ended early: with the
// run that is being made elsewhere, from the backup, or by a move, if the
// engine still answers.
func (s *stream) resume(cause error) error {
	began := s.f.clock.Now()
	r, err := s.nextRun(cause)
	if err == nil {
		s.ledger.join()
		s.resent++
		s.use(r)
		return nil
	}
	if s.ctx.Err() != nil {
		return context.Cause(s.ctx)
	}
	s.f.metrics.count("resumes_failed")
	s.f.describe(s.f.log.Warn(), s.x).Err(err).AnErr("cause", cause).Str("endpoint", s.run.engine.Name).Str("backup", s.run.backup.Name).
		Dur("took_ms", s.f.clock.Now().Sub(began)).Int("events", s.ledger.events).Msg("forwarder: generation lost")
	return err
}

// nextRun returns the run to go on with.
func (s *stream) nextRun(cause error) (run, error) {
	if r, ok := s.awaitNext(); ok {
		return r, nil
	}
	if s.ctx.Err() != nil {
		return run{}, context.Cause(s.ctx)
	}
	source := s.run
	if r, err := s.continueFromBackup(source, cause); err == nil {
		return r, nil
	}
	c, cancel := context.WithTimeout(s.ctx, moveTimeout)
	defer cancel()
	to, ok := s.place.MigrationTarget(s.moving(), source.engine, s.f.clock.Now())
	if !ok {
		return run{}, errNoCopy
	}
	return s.continueByMove(c, source, to, cause)
}

// awaitNext returns the run that is being made elsewhere.
func (s *stream) awaitNext() (run, bool) {
	s.mu.Lock()
	next := s.next
	s.mu.Unlock()
	if next == nil {
		return run{}, false
	}
	select {
	case r, ok := <-next:
		return r, ok
	case <-s.ctx.Done():
		return run{}, false
	}
}

// dropNext ends a run that was made elsewhere and is not needed.
func (s *stream) dropNext() {
	s.mu.Lock()
	next := s.next
	s.mu.Unlock()
	if next == nil {
		return
	}
	select {
	case r, ok := <-next:
		if ok {
			r.end()
		}
	default: // Its maker ends it, since the stream is closed.
	}
}

// continueFromBackup continues from the copy that the backup engine keeps.
func (s *stream) continueFromBackup(source run, cause error) (run, error) {
	backup := source.backup
	if backup.Name == "" || s.f.registry.Leaving(backup.Identity) {
		return run{}, errNoCopy
	}
	return s.continueAt(backup, s.f.endpoints.CopyOf(backup, s.x.req.ID), source, wayBackup, cause)
}

// continueByMove stops the run at its engine, copies what the destination lacks
// and continues there. Where the copy can't be completed, the run goes on from
// the memory that the source keeps.
func (s *stream) continueByMove(ctx context.Context, source run, to registrar.Endpoint, cause error) (run, error) {
	copied, err := s.f.endpoints.Move(ctx, source.engine, s.x.req.ID, to.Addr, true)
	if err != nil && copied.Handle == "" {
		return run{}, errors.Wrap(err, "move")
	}
	if err != nil {
		to = source.engine
	}
	return s.continueAt(to, s.f.endpoints.CopyOf(source.engine, copied.Handle), source, wayMove, cause)
}

// continueAt sends the request to the engine that holds a copy.
func (s *stream) continueAt(to registrar.Endpoint, name string, source run, way string, cause error) (run, error) {
	now := s.f.clock.Now()
	s.mu.Lock()
	from := Resume{Copy: name, LastEvent: s.lastEvent}
	spent := s.x.attempts.Load() > maxResumes
	s.x.attempts.Add(1)
	s.mu.Unlock()
	if from.LastEvent == "" {
		from.LastEvent = "0"
	}
	if spent || !s.f.mayGoOn(s.ctx, s.x) {
		s.f.describe(s.f.log.Warn(), s.x).Str("way", way).Msg("forwarder: no retry left to continue the generation")
		return run{}, errNoCopy
	}
	backup := s.place.RecordMigration(s.moving(), to, now)
	r, err := s.send(to, backup, from, nil)
	if err == nil && r.answer.Status == fasthttp.StatusOK && r.answer.Genuine {
		s.f.metrics.count("resumes_" + way)
		s.f.metrics.observe("resume_time", s.f.clock.Now().Sub(now))
		s.f.describe(s.f.log.Info(), s.x).AnErr("cause", cause).Str("way", way).Str("from", source.engine.Name).Str("endpoint", to.Name).Str("backup", backup.Name).
			Str("last_event", from.LastEvent).Dur("took_ms", s.f.clock.Now().Sub(now)).Msg("forwarder: generation continued")
		return r, nil
	}
	r.end()
	s.place.RecordMigration(s.moving(), source.engine, now)
	s.f.describe(s.f.log.Info(), s.x).Err(err).AnErr("cause", cause).Str("way", way).Str("endpoint", to.Name).Int("status", r.answer.Status).Bool("not_run", r.answer.NotRun).
		Msg("forwarder: copy could not be continued")
	return run{}, errNoCopy
}

// abandonEngine interrupts the streams of an engine that does not answer.
func (f *Forwarder) abandonEngine(id registrar.Identity, now time.Time) {
	for _, s := range f.runningStreams() {
		s.mu.Lock()
		dead := s.run.engine.Identity == id && now.Sub(s.lastBytes) > deadSilence
		interrupt := s.run.interrupt
		s.mu.Unlock()
		if dead {
			interrupt(errDead)
		}
	}
}
