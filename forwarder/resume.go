package forwarder

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/resumer"
	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/state/registrar"
)

// Limits of continuing a generation with another run.
const (
	unresponsiveTimeout = 600 * time.Millisecond  // A run is replaced if it has sent nothing for this long and nothing listens at its engine.
	pausedTimeout       = 1600 * time.Millisecond // The same, at least, for an engine that may be paused; see silenceLimit.
	copyMargin          = 1500 * time.Millisecond // Time before a copy expires in which its holder is asked whether it runs, and gets the request.
	migrationTimeout    = 900 * time.Millisecond  // Limits how long a run is stopped for a migration; clients notice even much shorter pauses.
	maxStreamAttempts   = 6                       // Attempts for one stream that reached an engine, refused ones included, after which it is not resumed again.
)

// errNoCopy means that no copy of the run could be continued.
var errNoCopy = errors.New("generation could not be continued from any copy of its KV cache")

// errNoPosition means that an engine can't be told which events of a generation were received: the last one had no ID,
// or there was none and it is not known how the engine numbers its first event.
var errNoPosition = errors.New("no event ID after which the generation could be continued")

// errRunEnded means that the run was not stopped but has ended by itself.
var errRunEnded = errors.New("the run has ended")

// Ways to continue a generation, in logs and counters.
const (
	wayBackup    = "backup"
	wayMigration = "move"
	wayAgain     = "again"
)

// resume continues the generation after its run has broken off.
func (s *stream) resume(cause error) error {
	startedAt := s.f.clock.Now()
	s.recordBroken(cause)
	s.engineEnded = s.checkEngine(cause)
	s.setResuming(true)
	defer s.setResuming(false)
	r, err := s.findRun(cause)
	if errors.Is(err, errRunEnded) {
		return nil
	}
	if err == nil {
		s.sequencer.resumeSource(r.from.first)
		s.resumeCount++
		s.events = s.events || isEventStream(&r.response) // The first response may have been lost.
		s.setRun(r)
		return nil
	}
	if s.ctx.Err() != nil {
		return context.Cause(s.ctx)
	}
	s.f.metrics.count("resumes_failed")
	s.f.addRequestFields(s.f.log.Warn(), s.x).Err(err).AnErr("cause", cause).Str("endpoint", s.run.engine.Name).Str("backup", s.run.backup.Name).
		Dur("took_ms", s.f.clock.Now().Sub(startedAt)).Int("events", s.sequencer.eventCount).Msg("forwarder: generation lost; it could not be continued by another run")
	return err
}

// setResuming sets whether the stream is being resumed, during which no replacement may be
// started: both would continue the generation.
func (s *stream) setResuming(resuming bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resuming = resuming
}

// findRun returns the run that continues the generation: a replacement that is
// being started, a run from the copy that its engine has made when it was asked to stop
// it, a run from the backup, or a new one where the route permits it.
func (s *stream) findRun(cause error) (run, error) {
	if r, ok := s.awaitReplacement(); ok {
		return r, nil
	}
	if s.ctx.Err() != nil {
		return run{}, context.Cause(s.ctx)
	}
	if _, is := s.f.quarantined(s.x); is {
		return run{}, errQuarantined
	}
	if s.ended && s.checkEnd() == nil { // The attempt to stop the run has failed since.
		return run{}, errRunEnded
	}
	source := s.run
	if _, err := s.positionAfter(source); err != nil && !s.x.route.Repeatable() {
		return run{}, err // No run can continue it.
	}
	end := s.endRun(source, cause)
	if !source.state.left.Load() { // Else its engine is known to be silent.
		s.awaitRunEnd(end, stopTimeout)
	}
	if r, err := s.continueFromCopies(source, end, cause); err == nil {
		return r, nil
	}
	if !s.mayRunAgain() && !end.isKnown() {
		s.awaitRunEnd(end, migrationTimeout-stopTimeout)
		if r, err := s.continueFromCopies(source, end, cause); err == nil {
			return r, nil
		}
	}
	return s.continueByNewRun(source, cause)
}

// continueFromCopies continues a generation whose run has broken off from the copy that its engine has made since when
// it stopped the run, or from the backup.
func (s *stream) continueFromCopies(source run, end *runEnd, cause error) (run, error) {
	if end.isKnown() && end.stopped.copied.Handle != "" {
		r, err := s.continueStopped(source, end.stopped, cause)
		if err == nil {
			return r, nil
		}
		s.f.addRequestFields(s.f.log.Info(), s.x).Err(err).AnErr("cause", cause).Str("endpoint", source.engine.Name).Str("to", end.stopped.holder.Name).
			Msg("forwarder: generation not continued from the copy of the run that was stopped")
	}
	r, err := s.continueFromBackup(source, cause)
	if err != nil {
		s.f.addRequestFields(s.f.log.Info(), s.x).Err(err).AnErr("cause", cause).Str("endpoint", source.engine.Name).Str("backup", source.backup.Name).
			Msg("forwarder: generation not continued from its backup")
	}
	return r, err
}

// awaitReplacement waits for the replacement that is being started, if any.
func (s *stream) awaitReplacement() (run, bool) {
	s.mu.Lock()
	replacement := s.replacement
	s.mu.Unlock()
	if replacement == nil {
		return run{}, false
	}
	select {
	case r, ok := <-replacement:
		return r, ok
	case <-s.ctx.Done():
		return run{}, false
	}
}

// discardReplacement closes a replacement that is not needed any more.
func (s *stream) discardReplacement() {
	s.mu.Lock()
	replacement := s.replacement
	s.mu.Unlock()
	if replacement == nil {
		return
	}
	select {
	case r, ok := <-replacement:
		if ok {
			r.close()
		}
	default: // startReplacement closes it, since the stream is closed.
	}
}

// continueFromBackup continues the generation on the backup engine, from the copy
// of the KV cache there.
func (s *stream) continueFromBackup(source run, cause error) (run, error) {
	backup := source.backup
	if backup.Name == "" || !s.f.registry.Accepts(backup.Identity) || slices.Contains(s.unanswered(), backup.Identity) {
		return run{}, errNoCopy
	}
	if _, err := s.positionAfter(source); err != nil {
		return run{}, err
	}
	if err := s.backupOf(source).CheckRun(); err != nil {
		return run{}, err
	}
	if !s.f.acquireGrant(s.ctx, backup, limiter.Urgent) {
		return run{}, errEndpointLimited
	}
	if !s.admitResume(wayBackup) {
		return run{}, errNoCopy
	}
	if err := s.backupOf(source).Check(); err != nil { // The grant and the retry may have taken some time.
		return run{}, err
	}
	s.endRun(source, cause)
	return s.continueOn(resumption{target: backup, copyName: s.f.endpoints.CopyName(backup, s.x.req.ID), source: source, way: wayBackup, cause: cause})
}

// continueByMigration stops the run on its engine, copies the rest of its KV cache
// to the target and continues there. If the copy can't be completed, it continues
// on the source from the KV cache that is kept there, unless the source may get no new
// work: that is a new request to it.
func (s *stream) continueByMigration(ctx context.Context, source run, target registrar.Endpoint, cause error) (run, error) {
	if source.state.resumeLost.Load() {
		return run{}, resumer.ErrUsed
	}
	if _, err := s.positionAfter(source); err != nil { // It can't go on, so it is not stopped.
		return run{}, err
	}
	// All requests must be granted before the run is stopped.
	if !s.f.acquireGrant(ctx, target, limiter.Urgent) || !s.f.acquireGrant(ctx, source.engine, limiter.Urgent) {
		return run{}, errEndpointLimited
	}
	if !s.admitResume(wayMigration) {
		return run{}, errNoCopy
	}
	copied, err := s.stopAndCopy(ctx, source, target)
	if err != nil && copied.Handle == "" {
		return run{}, errors.Wrap(err, "move")
	}
	if err != nil {
		target = source.engine
		if denied := s.f.mayStartWork(s.x, target); denied != nil {
			return run{}, denied
		}
		s.f.acquireGrant(ctx, target, limiter.Sent) // The run is stopped, and would be lost.
	}
	return s.continueOn(resumption{target: target, copyName: s.f.endpoints.CopyName(source.engine, copied.Handle), source: source, way: wayMigration, cause: cause, returnable: target.Identity != source.engine.Identity})
}

// stopAndCopy makes the engine stop the run and copy its KV cache to the target.
func (s *stream) stopAndCopy(ctx context.Context, source run, target registrar.Endpoint) (MigrationResult, error) {
	if err := s.f.mayStartWork(s.x, target); err != nil {
		return MigrationResult{}, err
	}
	before := source.state.loadStop()
	if before == verifier.NotStopped {
		source.state.storeStop(verifier.MaybeStopped)
	}
	copied, err := s.f.migrate(ctx, source.engine, s.x.req.ID, target.Addr, true)
	switch {
	case err == nil || copied.Handle != "":
		source.state.storeStop(verifier.Stopped)
		source.state.handover.recordOver(false, s.f.clock.Now())
	case errors.Is(err, ErrRunNotFound), errors.Is(err, ErrMigrationInProgress), provesNotRun(err):
		source.state.storeStop(before)
	}
	return copied, err
}

// admitResume reports whether one more request may continue the generation: neither the attempts nor
// the retry budget, from which it takes one, are used up.
func (s *stream) admitResume(way string) bool {
	exhausted := s.x.attempts.Load()-s.x.unsent.Load() > maxStreamAttempts
	if !exhausted && s.f.acquireRetry(s.ctx, s.x) {
		return true
	}
	s.f.addRequestFields(s.f.log.Warn(), s.x).Str("way", way).Msg("forwarder: generation not continued; retry budget or attempts used up")
	return false
}

// position is where a run goes on that continues another one from a copy of its KV cache.
type position struct {
	lastEvent string // ID of the event after which it goes on.
	first     int64  // ID of its first event if none was received before; else zero.
}

// positionAfter returns where a run goes on that continues the source. An engine can be asked to go on after an ID only,
// so if no event was received, the ID that precedes the first one must be known. The ID 0 is not that ID where engines
// number their events from 0.
func (s *stream) positionAfter(source run) (position, error) {
	s.mu.Lock()
	lastEvent, unnumbered := s.lastEvent, s.unnumbered
	s.mu.Unlock()
	switch {
	case unnumbered:
		return position{}, errNoPosition
	case lastEvent != "":
		return position{lastEvent: lastEvent}, nil
	}
	first, ok := s.f.numbering.First(source.engine.Identity)
	if !ok {
		s.f.metrics.count("resumes_without_position")
		return position{}, errNoPosition
	}
	return position{lastEvent: strconv.FormatInt(first-1, 10), first: first}, nil
}

// resumption is a request that continues a run that has ended.
type resumption struct {
	target   registrar.Endpoint // Engine that holds the copy; it must have granted the request if it limits them.
	copyName string
	source   run // The run that is continued.
	way      string
	cause    error
	// returnable is set if the engine of the source keeps the KV cache under the same name, which can be used once:
	// if the target does not answer, the engines decide which of them continues the run.
	returnable bool
}

// continueOn resumes the generation on the engine that holds the copy. The request must have been admitted.
func (s *stream) continueOn(x resumption) (run, error) {
	target, source, way, cause := x.target, x.source, x.way, x.cause
	startedAt := s.f.clock.Now()
	at, err := s.positionAfter(source)
	if err != nil {
		return run{}, err
	}
	s.x.attempts.Add(1)
	s.mu.Lock()
	age := s.ageOf(source, startedAt)
	s.mu.Unlock()
	resumeFrom := Resume{Copy: x.copyName, LastEvent: at.lastEvent}
	backup := s.jobPlacer.RecordMigration(s.currentJob(), target, startedAt)
	var w *answerWatch
	r, err := s.send(target, backup, resumeFrom, func(next run) {
		s.recordSecondRun(source, target, resumeFrom, way, cause)
		w = s.watchAnswer(next, source, x.returnable)
	})
	unanswered := w.end(err)
	if unanswered.copied.Handle != "" {
		r.close()
		s.f.addRequestFields(s.f.log.Info(), s.x).Err(err).Str("way", way).Str("endpoint", target.Name).Msg("forwarder: run that continues a generation was stopped, since its engine did not answer")
		if !s.admitResume(wayMigration) {
			return run{}, errNoCopy
		}
		return s.continueOn(resumption{target: unanswered.holder, copyName: s.f.endpoints.CopyName(target, unanswered.copied.Handle), source: source, way: wayMigration, cause: cause})
	}
	if unanswered.givenUp && err == nil {
		err = errUnanswered
	}
	if err == nil && r.response.Status == fasthttp.StatusOK && r.response.FromEndpoint {
		s.f.metrics.count("resumes_" + way)
		s.f.metrics.observe("resume_time", s.f.clock.Now().Sub(startedAt))
		s.f.addRequestFields(s.f.log.Info(), s.x).AnErr("cause", cause).Str("way", way).Str("from", source.engine.Name).Str("endpoint", target.Name).Str("backup", backup.Name).
			Str("last_event", resumeFrom.LastEvent).Dur("run_ms", age.sent).Dur("producing_ms", age.producing).Dur("took_ms", s.f.clock.Now().Sub(startedAt)).Msg("forwarder: generation continued by another run")
		r.from = at
		return r, nil
	}
	r.close()
	source.state.recordFailedResume(way, err == nil && r.response.NotExecuted, err)
	s.jobPlacer.RecordMigration(s.currentJob(), source.engine, startedAt)
	s.f.addRequestFields(s.f.log.Info(), s.x).Err(err).AnErr("cause", cause).Str("way", way).Str("endpoint", target.Name).Int("status", r.response.Status).Bool("not_run", r.response.NotExecuted).
		Str("last_event", resumeFrom.LastEvent).Dur("run_ms", age.sent).Dur("producing_ms", age.producing).Msg("forwarder: generation could not be continued from the copy")
	if x.returnable && target.Identity != source.engine.Identity && s.ctx.Err() == nil {
		return s.returnToSource(x)
	}
	return run{}, errNoCopy
}

// returnToSource continues a run on the engine that was made to stop it, from the KV cache there. The engine refuses
// the request if the target of x continues the run.
func (s *stream) returnToSource(x resumption) (run, error) {
	x.target, x.returnable = x.source.engine, false
	if s.f.mayStartWork(s.x, x.target) != nil || !s.f.acquireRetry(s.ctx, s.x) {
		return run{}, errNoCopy
	}
	s.f.metrics.count("runs_returned")
	s.f.acquireGrant(s.ctx, x.target, limiter.Sent) // The run is stopped, and would be lost.
	return s.continueOn(x)
}

// recordFailedResume records a request to continue the run that its engine has refused, or that failed with err.
func (s *runState) recordFailedResume(way string, refused bool, err error) {
	switch {
	case refused && way == wayBackup:
		s.copyRefused.Store(true)
	case !refused && !provesNotRun(err):
		s.resumeLost.Store(true)
	}
}

// runAge is how long a run has been observed.
type runAge struct {
	sent      time.Duration // Since its request was sent.
	producing time.Duration // As in resumer.Progress.
}

// ageOf returns the age of the current run. The mutex is held.
func (s *stream) ageOf(source run, now time.Time) runAge {
	return runAge{sent: now.Sub(source.sentAt), producing: s.progress.Producing()}
}

// backupOf returns what is known of the copy at the backup of the current run.
func (s *stream) backupOf(source run) resumer.Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return resumer.Backup{
		Used: source.state.resumeLost.Load() || source.state.copyRefused.Load(), Producing: s.progress.Producing(), Transfer: s.copyTime(source),
		Idle: s.progress.Idle(s.f.clock.Now()), Retention: s.jobPlacer.engine.CopyRetention,
		HolderRuns: func() bool { return s.f.stillRuns(s.ctx, source.backup) },
	}
}

// copyTime returns the time that the transfer of the KV cache of the current run to its backup
// takes on an idle link; twice as long between failure domains. The mutex is held.
func (s *stream) copyTime(source run) time.Duration {
	e := s.jobPlacer.engine
	if e.LinkMbps <= 0 {
		return 0
	}
	tokens := s.job.PromptTokens + s.job.OutputTokens + s.eventCount*max(e.TokensPerEvent, 1)
	d := time.Duration(float64(tokens) * float64(e.TokenBytes) / (e.LinkMbps * bytesPerMbit) * float64(time.Second))
	if source.engine.Domain != source.backup.Domain {
		d *= 2
	}
	return d
}

// silenceLimit returns for how long a run may send nothing before it is replaced by one from its copy. An engine that
// is paused goes on with its runs, and both would work on the generation. A connection that it does not accept tells no
// more, since the daemons that poll a paused engine fill the queue of its listener. So the stream waits while its client would
// still get an event of the other run, and the copy is kept.
func (s *stream) silenceLimit() time.Duration {
	limit := s.x.route.Patience - s.x.route.LatencyTarget - pollInterval - pollTimeout // A poll notices the silence.
	if kept := s.jobPlacer.engine.CopyRetention; kept > 0 {
		limit = min(limit, kept-copyMargin)
	}
	return max(limit, pausedTimeout)
}

// replaceUnresponsive continues the streams of an engine that does not answer polls from
// their backups, or in new runs where the route permits it, if it has sent them nothing for
// their silenceLimit, or for unresponsiveTimeout if nothing listens there any more. The others wait.
func (f *Forwarder) replaceUnresponsive(id registrar.Identity, ended bool, now time.Time) {
	for _, s := range f.runningStreams() {
		timeout := unresponsiveTimeout
		if !ended {
			timeout = s.silenceLimit()
		}
		s.mu.Lock()
		source := s.run
		silent := source.engine.Identity == id && now.Sub(s.lastReadAt) > timeout
		s.mu.Unlock()
		if !silent || source.response.Via != "" { // A reset gets no further than the peer, which may be paused.
			continue
		}
		if source.backup.Name == "" || s.backupOf(source).CheckRun() != nil {
			s.leaveSilentEngine(source)
			continue
		}
		if source.state.backupTried.Swap(true) {
			continue
		}
		f.spawn(func() {
			err := s.startReplacement(source, errEngineUnresponsive, func() (run, error) { return s.continueFromBackup(source, errEngineUnresponsive) })
			if err != nil {
				f.addRequestFields(f.log.Info(), s.x).Err(err).Str("endpoint", source.engine.Name).Str("backup", source.backup.Name).
					Msg("forwarder: generation waits for an engine that is silent")
				s.leaveSilentEngine(source)
			}
		})
	}
}

// checkSilentStreams checks the paths of streams that have got nothing for unresponsiveTimeout on a direct
// connection, and makes those go on whose path is cut. Their engines are reached through peers, and stop
// the runs.
func (f *Forwarder) checkSilentStreams(now time.Time) {
	if f.paths == nil {
		return
	}
	for _, s := range f.runningStreams() {
		s.mu.Lock()
		source := s.run
		direct := source.response.Body != nil && source.response.Via == ""
		silent := now.Sub(s.lastReadAt) > unresponsiveTimeout
		s.mu.Unlock()
		switch {
		case !direct || !silent:
		case f.paths.finder.Usable(source.engine.Addr, "", now):
			f.paths.check(source.engine.Addr, false)
		case !source.state.pathTried.Swap(true):
			f.spawn(func() { s.leaveCutPath(source) })
		}
	}
}

// cutPathPause is the time until a stream whose path is cut tries again to leave it.
const cutPathPause = 150 * time.Millisecond

// leaveCutPath migrates the run of a stream whose connection to its engine brings nothing, or lets
// the stream go on in a new run. It is tried again if nothing was sent: right after a cut all engines
// count as unreachable, until one of them has answered through a peer.
func (s *stream) leaveCutPath(source run) {
	err := errNoCopy
	target, ok := s.migrationTarget(source.engine)
	if ok && s.hasEvents() {
		ctx, cancel := context.WithTimeout(s.ctx, 2*migrationTimeout)
		defer cancel()
		err = s.startReplacement(source, errPathCut, func() (run, error) { return s.continueByMigration(ctx, source, target, errPathCut) })
		if err != nil {
			s.jobPlacer.MigrationFailed(s.job.ID, errors.Is(err, ErrInsufficientMemory), s.f.clock.Now())
		}
	}
	if err == nil || errors.Is(err, errBeingResumed) {
		return
	}
	if unsent := !ok || provesNotRun(err); unsent && !s.mayRunAgain() && s.f.clock.Sleep(s.ctx, cutPathPause) == nil {
		source.state.pathTried.Store(false)
		return
	}
	s.f.addRequestFields(s.f.log.Info(), s.x).Err(err).Str("endpoint", source.engine.Name).Msg("forwarder: generation waits for an engine whose path is cut")
	s.leaveSilentEngine(source)
}
