package forwarder

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/state/registrar"
)

// A run may go on after its connection has closed: not every engine notices, or cares. So before another engine continues
// the generation, the engine of a run that has broken off is made to stop it, with the request that also copies its KV
// cache to where the generation can go on. An engine that does not answer is asked again while another one goes on.
const (
	stopTimeout    = 250 * time.Millisecond // Time for the answer of the engine, after which the generation goes on without it.
	stopRetryPause = 100 * time.Millisecond // Before the second request to the engine.
	stopPauseRatio = 4                      // Of a pause to the one before: a paused engine finds what it was sent when it goes on.
	maxStopPause   = 2 * time.Second
	stopGiveUp     = 5 * time.Second        // Time after which an engine is not asked any more.
	abandonDelay   = 100 * time.Millisecond // Time in which an engine notices that the client of a run has left.
)

// Errors of a request that stops a run.
var (
	errNoOtherEngine = errors.New("no other engine to which the KV cache of the run could be copied")
	errEngineRemoved = errors.New("the endpoint is not registered any more")
)

// runEnd is what is known of the end of a run that has broken off or was left.
type runEnd struct {
	done chan struct{} // Closed when the engine is not asked any more.
	// The others are set before done is closed.
	stopped continuation // The copy of the run, if the engine has stopped it.
	asked   string       // What the engine has answered.
}

// isKnown reports whether the engine is not asked any more.
func (e *runEnd) isKnown() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// endRun resets the connection of a run that has broken off or is left, and makes its engine stop it. The
// first call starts this; it does not wait.
func (s *stream) endRun(source run, cause error) *runEnd {
	s.leaveRun(source, cause)
	e := &runEnd{done: make(chan struct{}), asked: askedNothing}
	if !source.state.end.CompareAndSwap(nil, e) {
		return source.state.end.Load()
	}
	s.mu.Lock()
	if s.ends == nil {
		s.ends = map[registrar.Identity]*runEnd{}
	}
	s.ends[source.engine.Identity] = e
	s.mu.Unlock()
	s.f.spawn(func() { s.stopLeftRun(source, e) })
	return e
}

// unanswered returns the engines that are still asked to stop a run of the generation. They get no other run of it, which
// the request would stop too: it names the generation only.
func (s *stream) unanswered() []registrar.Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	var engines []registrar.Identity
	for id, e := range s.ends {
		if !e.isKnown() {
			engines = append(engines, id)
		}
	}
	return engines
}

// migrationTarget returns an engine with room for the generation other than the source, those that are excluded, and those
// that have not answered.
func (s *stream) migrationTarget(source registrar.Endpoint, exclude ...registrar.Identity) (registrar.Endpoint, bool) {
	return s.jobPlacer.MigrationTarget(s.currentJob(), source, s.f.clock.Now(), append(exclude, s.unanswered()...)...)
}

// awaitRunEnd waits until the engine of a run has answered, for at most timeout.
func (s *stream) awaitRunEnd(e *runEnd, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	select {
	case <-e.done:
	case <-ctx.Done():
	}
}

// stopLeftRun asks the engine of a run to stop it until that is known to have an effect, or that there is nothing to stop.
// The engine may be paused, so that it goes on with the run later: this goes on when the stream has ended.
func (s *stream) stopLeftRun(source run, e *runEnd) {
	defer close(e.done)
	ctx, cancel := context.WithTimeout(s.f.ctx, stopGiveUp)
	defer cancel()
	target, reserved, err := s.stopTarget(source)
	absences, pause := 0, stopRetryPause
	for tries := 1; ; tries++ {
		if err == nil {
			e.stopped, err = s.askToStop(ctx, source, target)
		}
		e.asked = askedOf(e.stopped, err)
		if errors.Is(err, ErrRunNotFound) {
			absences++
		}
		if reserved && e.stopped.copied.Handle == "" {
			s.jobPlacer.MigrationFailed(s.job.ID, errors.Is(err, ErrInsufficientMemory), s.f.clock.Now())
			reserved = false
		}
		if s.endsRun(source, e, err, absences) {
			s.f.metrics.count("runs_ended_" + e.asked)
			s.f.addRequestFields(s.f.log.Info(), s.x).Err(err).Str("endpoint", source.engine.Name).Str("to", target.Name).Str("asked", e.asked).Int("times", tries).
				Msg("forwarder: engine of a run that broke off was asked to stop it")
			break
		}
		err = s.f.clock.Sleep(ctx, pause)
		if err != nil {
			s.f.metrics.count("runs_not_ended")
			s.f.addRequestFields(s.f.log.Warn(), s.x).Str("endpoint", source.engine.Name).Str("asked", e.asked).Int("times", tries).
				Msg("forwarder: engine of a run that broke off did not say that it has ended")
			break
		}
		pause = min(stopPauseRatio*pause, maxStopPause)
	}
}

// endsRun reports whether there is no use in asking the engine of a run again.
func (s *stream) endsRun(source run, e *runEnd, err error, absences int) bool {
	switch {
	case e.stopped.copied.Handle != "", errors.Is(err, syscall.ECONNREFUSED):
		return true
	case errors.Is(err, errNoOtherEngine), errors.Is(err, errEngineRemoved), errors.Is(err, errEndpointDeferred):
		return true
	default: // One that has brought nothing may not have been read by its engine when it denied it first.
		return absences > 1 || absences > 0 && source.state.producing.Load()
	}
}

// stopTarget returns an engine to which the KV cache of a run can be copied that is to be stopped: a request that names no
// other one stops nothing. It reports whether memory is reserved there.
func (s *stream) stopTarget(source run) (target registrar.Endpoint, reserved bool, err error) {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if !closed { // The placer does not know the job any more after that.
		if target, ok := s.migrationTarget(source.engine); ok {
			return target, true, nil
		}
	}
	others := append([]registrar.Endpoint{source.backup}, s.f.registry.Usable(s.x.service)...)
	for _, e := range others {
		if e.Name != "" && e.Identity != source.engine.Identity && s.f.mayStartWork(s.x, e) == nil {
			return e, false, nil
		}
	}
	return registrar.Endpoint{}, false, errNoOtherEngine
}

// askToStop makes the engine of a run stop it and copy its KV cache to the target. If the limit of the engine
// denies the request it is sent and counted: it ends work there.
func (s *stream) askToStop(ctx context.Context, source run, target registrar.Endpoint) (continuation, error) {
	switch {
	case !s.f.registry.Known(source.engine.Identity):
		return continuation{}, errEngineRemoved
	case s.f.isDeferred(source.engine, s.f.clock.Now()):
		return continuation{}, errEndpointDeferred
	}
	ctx, cancel := context.WithTimeout(ctx, migrationTimeout)
	defer cancel()
	if !s.f.acquireGrant(ctx, source.engine, limiter.Urgent) {
		s.f.acquireGrant(ctx, source.engine, limiter.Sent)
	}
	copied, err := s.stopAndCopy(ctx, source, target)
	if err != nil {
		target = source.engine
	}
	return continuation{copied: copied, holder: target, absent: errors.Is(err, ErrRunNotFound)}, err
}

// endAbandonedRun makes the engine of a run stop it whose client has left, which may resume the stream at another daemon. Most
// engines have dropped the run by then.
func (s *stream) endAbandonedRun(source run) {
	if s.f.clock.Sleep(s.f.ctx, abandonDelay) == nil {
		s.endRun(source, errClientDisconnected)
	}
}

// continueStopped continues a generation whose run was stopped after it had broken off, from the copy that was made then.
func (s *stream) continueStopped(source run, stopped continuation, cause error) (run, error) {
	if source.state.resumeLost.Load() || !source.state.copyTried.CompareAndSwap(false, true) {
		return run{}, errNoCopy
	}
	if err := s.f.mayStartWork(s.x, stopped.holder); err != nil {
		return run{}, err
	}
	urgency := limiter.Urgent
	if stopped.holder.Identity == source.engine.Identity {
		urgency = limiter.Sent
	}
	if !s.f.acquireGrant(s.ctx, stopped.holder, urgency) && urgency != limiter.Sent {
		return run{}, errEndpointLimited
	}
	if !s.admitResume(wayMigration) {
		return run{}, errNoCopy
	}
	return s.continueOn(resumption{
		target: stopped.holder, copyName: s.f.endpoints.CopyName(source.engine, stopped.copied.Handle), source: source, way: wayMigration, cause: cause,
		returnable: stopped.holder.Identity != source.engine.Identity,
	})
}
