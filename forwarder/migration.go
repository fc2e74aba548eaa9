package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

// Limits of evacuating an engine that is shutting down.
const (
	evacuationCheckInterval = 25 * time.Millisecond  // Interval for checking whether a run can migrate.
	lateCheckInterval       = 250 * time.Millisecond // The same after the time at which the engine was expected to end, and after a run that has returned to it.
	maxTurnDelayFactor      = 3                      // Limits the wait for the runs ahead to a multiple of their planned time.
	minSurvivalToMigrate    = 0.2                    // Probability of outlasting the engine above which a run migrates; a migration costs far less than a lost run.
	minMigrationTime        = 250 * time.Millisecond // Time that the last migration from an engine takes at least.
)

// evacuate starts the migration of the streams of an engine that is shutting down.
// The notice is the time left until the engine ends; zero if it is not known.
func (f *Forwarder) evacuate(e registrar.Endpoint, notice time.Duration) {
	now := f.clock.Now()
	notice = f.shutdowns.Observe(e.Identity, notice, now).Left(now)
	turns := f.evacuationTurns(e, now)
	for _, s := range f.runningStreams() {
		s.mu.Lock()
		due := s.run.engine.Identity == e.Identity && s.evacuatingFrom != e.Identity
		if due {
			s.evacuatingFrom = e.Identity
		}
		s.mu.Unlock()
		if due {
			f.spawn(func() {
				s.evacuateRun(e, now.Add(latestStart(turns[s.job.ID], notice)))
				s.endEvacuation(e.Identity)
			})
		}
	}
}

// latestStart returns the time from the start of the evacuation after which a run
// migrates even if the runs ahead of it have not migrated yet. The run waits longer than planned while there is
// time for all, because copies that share a link delay the final part of each
// other, during which the runs are stopped.
func latestStart(turn placer.EvacuationTurn, notice time.Duration) time.Duration {
	return max(turn.StartAfter, min(maxTurnDelayFactor*turn.StartAfter, notice-minMigrationTime-turn.TimeNeeded))
}

// evacuationTurns returns the turns, by job ID, in which the runs of an engine that
// is shutting down should migrate.
func (f *Forwarder) evacuationTurns(e registrar.Endpoint, now time.Time) map[string]placer.EvacuationTurn {
	p := f.knownPlacer(e.Service)
	if p == nil {
		return nil
	}
	return p.EvacuationTurns(e.Identity, p.engine.LinkMbps*bytesPerMbit, p.engine.TokenBytes, now)
}

// bytesPerMbit converts link rates from Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

// evacuateRun migrates the stream from an engine that is shutting down, unless the
// run is likely to end there in time. The migration starts when the runs ahead have
// migrated, or at latestStartAt. It is tried as long as the engine may still run.
func (s *stream) evacuateRun(e registrar.Endpoint, latestStartAt time.Time) {
	for {
		now := s.f.clock.Now()
		shutdown, known := s.f.shutdowns.Get(e.Identity)
		if s.ctx.Err() != nil || !s.runsOn(e.Identity) || !known || !shutdown.MayMigrate(now) {
			return
		}
		tokens := s.outputTokens()
		worthMigrating := s.hasEvents() && s.jobPlacer.SurvivalProbability(s.job, tokens, shutdown.Left(now)) > minSurvivalToMigrate
		mayStart := worthMigrating && (!now.Before(latestStartAt) || s.f.evacuationTurns(e, now)[s.job.ID].RunsAhead == 0)
		if mayStart && s.migrateOnce(e.Identity, shutdown.End) {
			return
		}
		interval := evacuationCheckInterval
		if shutdown.Left(now) == 0 {
			interval = lateCheckInterval
		}
		if s.f.clock.Sleep(s.ctx, interval) != nil {
			return
		}
	}
}

// endEvacuation records that the evacuation of the stream from an engine has ended.
func (s *stream) endEvacuation(id registrar.Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuatingFrom == id {
		s.evacuatingFrom = registrar.Identity{}
	}
}

// runsOn reports whether the stream is open and runs on the given engine.
func (s *stream) runsOn(id registrar.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run.engine.Identity == id && !s.closed
}

// currentJob returns the job with the number of output tokens so far.
func (s *stream) currentJob() placer.Job {
	job := s.job
	job.OutputTokens = s.outputTokens()
	return job
}

// outputTokens returns the number of output tokens that the client has received so far, before it
// resumed the stream too.
func (s *stream) outputTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.job.OutputTokens + s.eventCount*max(s.jobPlacer.engine.TokensPerEvent, 1)
}

// hasEvents reports whether a run has brought an event.
func (s *stream) hasEvents() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eventCount > 0
}

// migrateOnce tries once to continue the run on another engine. It reports whether there
// is nothing left to do.
func (s *stream) migrateOnce(id registrar.Identity, shutdownAt time.Time) bool {
	s.mu.Lock()
	source, replaced := s.run, s.resuming || s.replacement != nil
	s.mu.Unlock()
	if source.engine.Identity != id {
		return true
	}
	if replaced {
		return false
	}
	if source.state.resumeLost.Load() {
		return true
	}
	if s.f.isDeferred(source.engine, s.f.clock.Now()) { // It wants no request to migrate either.
		return false
	}
	target, ok := s.migrationTarget(source.engine)
	if !ok {
		s.f.addRequestFields(s.f.log.Info(), s.x).Str("endpoint", source.engine.Name).Msg("forwarder: no engine has enough free memory for a run that must migrate")
		return false
	}
	startedAt := s.f.clock.Now()
	c, cancel := context.WithTimeout(s.ctx, max(shutdownAt.Sub(startedAt), migrationTimeout)+migrationTimeout)
	defer cancel()
	err := errEndpointLimited
	if s.f.acquireGrant(c, source.engine, limiter.Urgent) {
		err = s.f.mayStartWork(s.x, target)
	}
	if err == nil {
		_, err = s.f.migrate(c, source.engine, s.x.req.ID, target.Addr, false)
	}
	returned := false
	if err == nil {
		err = s.startReplacement(source, errEngineShuttingDown, func() (run, error) {
			r, err := s.continueByMigration(c, source, target, errEngineShuttingDown)
			returned = err == nil && r.engine.Identity == id
			return r, err
		})
	}
	if err != nil {
		s.jobPlacer.MigrationFailed(s.job.ID, errors.Is(err, ErrInsufficientMemory), s.f.clock.Now())
	}
	s.logMigration(source.engine, target, startedAt, err)
	if returned {
		_ = s.f.clock.Sleep(s.ctx, lateCheckInterval) // The caller looks at the context.
	}
	return err == nil && !returned || errors.Is(err, ErrRunNotFound)
}

// errBeingResumed means that the stream is being resumed, or its run was replaced, already.
var errBeingResumed = errors.New("the stream is being resumed")

// startReplacement starts the run that replaces the source while the stream still
// reads from the source. The start ends the source before it sends a request that
// continues it, so that two engines never work on the generation, whatever becomes of the daemon in between.
func (s *stream) startReplacement(source run, cause error, start func() (run, error)) error {
	replacement := make(chan run, 1)
	s.mu.Lock()
	if s.closed || s.run.engine.Identity != source.engine.Identity {
		s.mu.Unlock()
		return ErrRunNotFound
	}
	if s.resuming || s.replacement != nil || s.run.state != source.state {
		s.mu.Unlock()
		return errBeingResumed
	}
	s.replacement = replacement
	s.mu.Unlock()
	r, err := start()
	s.mu.Lock()
	closed := s.closed
	if err != nil && s.replacement == replacement {
		s.replacement = nil
	}
	s.mu.Unlock()
	if err != nil || closed {
		if err == nil {
			r.close()
		}
		close(replacement)
		return err
	}
	replacement <- r
	close(replacement)
	source.interrupt(cause)
	return nil
}

// logMigration logs and counts the result of a migration.
func (s *stream) logMigration(source, target registrar.Endpoint, startedAt time.Time, err error) {
	took := s.f.clock.Now().Sub(startedAt)
	if err == nil {
		s.f.metrics.count("moves_done")
		s.f.metrics.observe("move_time", took)
	} else {
		s.f.metrics.count("moves_failed")
	}
	s.f.addRequestFields(s.f.log.Info(), s.x).Err(err).Str("from", source.Name).Str("to", target.Name).Dur("took_ms", took).
		Msg("forwarder: migration from an engine that is shutting down ended")
}
