package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/state/registrar"
)

// The answer to a request that continues a run may be lost, or come late, while its engine works on the
// generation. A run must have ended soon after another engine has begun to work on its generation, whatever
// becomes of the answer. So the engine is asked to stop the run, which tells whether there is one.
const (
	askDelay     = 100 * time.Millisecond // From the request to the question. Most engines answer within a third of it.
	overlapLimit = 200 * time.Millisecond // For which a run may be at work beside the one that continues it. Engines tolerate 400 ms; an end takes some time to reach its engine.
)

// errUnanswered means that an engine has not answered a request that continues a run.
var errUnanswered = errors.New("no answer to the request that continues the run")

// continuation is what became of a request that continues a run and was not answered in time.
type continuation struct {
	copied  MigrationResult    // Copy of the run, which was stopped; without a handle if it was not.
	holder  registrar.Endpoint // Engine on which the generation can go on from the copy.
	absent  bool               // The engine had no such run when it was asked.
	givenUp bool               // The connection of the request was reset.
}

// answerWatch watches a request that continues a run until it is answered.
type answerWatch struct {
	s            *stream
	next, source run
	cause        error
	besideSource bool // The source may still be at work.
	ctx          context.Context
	cancel       context.CancelFunc
	failed       waker         // Wakes run.
	done         chan struct{} // Closed when run has ended.
	left         sync.Once     // The source is left once.

	mu       sync.Mutex
	answered bool
	result   continuation // Set before done is closed.
}

// watchAnswer starts to watch the request of the next run, which is about to be sent.
func (s *stream) watchAnswer(next, source run, cause error, besideSource bool) *answerWatch {
	w := &answerWatch{s: s, next: next, source: source, cause: cause, besideSource: besideSource, failed: newWaker(), done: make(chan struct{})}
	w.ctx, w.cancel = context.WithCancel(s.ctx)
	s.f.spawn(func() {
		defer close(w.done)
		if s.f.clock.Wait(w.ctx, askDelay, w.failed) == nil && w.isUnanswered() {
			w.run()
		}
	})
	return w
}

// end is called when the request has been answered or has failed with err. If it may have been executed
// without an answer, end waits until the engine has been asked, and returns what became of the request.
func (w *answerWatch) end(err error) continuation {
	if err != nil && !provesNotRun(err) {
		w.failed.wake()
		<-w.done
		return w.result
	}
	w.mu.Lock()
	w.answered = true
	w.mu.Unlock()
	w.cancel()
	<-w.done
	return w.result
}

func (w *answerWatch) isUnanswered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.answered
}

// run asks the engine of the next run to stop it. The source is left when the engine may work on the next run for
// overlapLimit, and the next run is given up when it is known not to be at work.
func (w *answerWatch) run() {
	f := w.s.f
	f.metrics.count("continuations_unanswered")
	asked := make(chan error, 1)
	f.spawn(func() {
		var err error
		w.result, err = w.s.stopUnanswered(w.next.engine, w.source.engine)
		asked <- err
	})
	overlapped, stop := context.WithCancel(w.ctx)
	defer stop()
	f.spawn(func() {
		if f.clock.Sleep(overlapped, overlapLimit-askDelay) == nil {
			w.leaveSource(byTimer)
		}
	})
	err := <-asked
	stop()
	switch {
	case w.result.copied.Handle != "":
		w.leaveSource(byAsked)
		w.giveUp()
	case w.result.absent && w.besideSource, w.s.mayRunAgain():
		w.giveUp()
	case !provesNotRun(err):
		w.leaveSource(byUnanswered)
	}
	w.logAsked(err)
}

// giveUp resets the connection of the request, so that its engine does not run it later.
func (w *answerWatch) giveUp() {
	w.result.givenUp = true
	w.s.f.metrics.count("requests_given_up")
	w.next.interrupt(errUnanswered)
}

// leaveSource ends the run that is continued, if it may still be at work.
func (w *answerWatch) leaveSource(by string) {
	if w.besideSource {
		w.left.Do(func() {
			w.s.f.metrics.count("runs_left_unanswered")
			w.s.leaveRun(w.source, w.cause, by)
		})
	}
}

// stopUnanswered makes an engine stop the run of the generation, if it has one, and copy its KV cache to another engine.
// The generation can go on at the engine itself if it can't at the other one. Without room elsewhere the copy goes to
// the engine from which the run came, since a call that names no other engine stops nothing.
func (s *stream) stopUnanswered(e, source registrar.Endpoint) (continuation, error) {
	target, ok := s.jobPlacer.MigrationTarget(s.currentJob(), e, s.f.clock.Now(), source.Identity)
	if !ok {
		target = source
	}
	ctx, cancel := context.WithTimeout(s.ctx, migrationTimeout)
	defer cancel()
	if !s.f.acquireGrant(ctx, e, limiter.Urgent) {
		return continuation{}, errEndpointLimited
	}
	copied, err := s.f.migrate(ctx, e, s.x.req.ID, target.Addr, true)
	if err != nil {
		s.jobPlacer.MigrationFailed(s.job.ID, errors.Is(err, ErrInsufficientMemory), s.f.clock.Now())
		target = e
	}
	if target.Identity == source.Identity || s.f.mayStartWork(s.x, target) != nil || !s.f.acquireGrant(ctx, target, limiter.Urgent) {
		target = e
	}
	return continuation{copied: copied, holder: target, absent: errors.Is(err, ErrRunNotFound)}, err
}
