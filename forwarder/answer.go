package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/state/registrar"
)

// askDelay is the time from a request that continues a run to the question what became of it. Its answer may
// be lost, or come late, while its engine works on the generation. So the engine is asked to stop the run, which
// tells whether there is one, and to copy it to where the generation can go on.
const askDelay = 100 * time.Millisecond

// absenceTime is the time between two questions to an engine that both have to find no run before another one is started: the
// first may have overtaken the request of the run, which a process that was paused takes from its socket when it goes on.
const absenceTime = 200 * time.Millisecond

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
	returnable   bool // The generation can go on at the source, unless the next run has begun.
	ctx          context.Context
	cancel       context.CancelFunc
	failed       waker         // Wakes run.
	done         chan struct{} // Closed when run has ended.

	mu       sync.Mutex
	answered bool
	result   continuation // Set before done is closed.
}

// watchAnswer starts to watch the request of the next run, which is about to be sent.
func (s *stream) watchAnswer(next, source run, returnable bool) *answerWatch {
	w := &answerWatch{s: s, next: next, source: source, returnable: returnable, failed: newWaker(), done: make(chan struct{})}
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

// run asks the engine of the next run to stop it. The next run is given up if it was stopped, or if the generation can go
// on without it: at the source, when the engine has denied the run for unresponsiveTimeout, in which one that is busy has
// admitted it; in another run, when it has denied it twice, or has answered nothing for silenceLimit.
func (w *answerWatch) run() {
	w.s.f.metrics.count("continuations_unanswered")
	absences := 0
	for asked := 1; ; asked++ {
		err, again := w.ask(), false
		waited := w.s.f.clock.Now().Sub(w.next.sentAt)
		switch {
		case w.result.copied.Handle != "", w.s.mayRunAgain() && w.result.absent && absences > 0:
			w.giveUp()
		case w.returnable && w.result.absent:
			if again = waited <= unresponsiveTimeout; !again {
				w.giveUp()
			}
		case !w.s.mayRunAgain(), provesNotRun(err):
		case w.result.absent:
			absences++
			again = true
		case waited > w.s.silenceLimit():
			w.giveUp()
		default:
			absences = 0
			again = true
		}
		if asked == 1 || !again {
			w.logAsked(err, asked)
		}
		if !again || w.s.f.clock.Sleep(w.ctx, absenceTime) != nil {
			return
		}
	}
}

// ask asks the engine of the next run to stop it, and sets the result.
func (w *answerWatch) ask() error {
	state := w.next.state
	before := state.loadStop()
	state.suspectStop()
	var err error
	w.result, err = w.s.stopUnanswered(w.next.engine, w.source.engine)
	if w.result.absent || provesNotRun(err) {
		state.storeStop(before)
	}
	return err
}

// giveUp resets the connection of the request. Its engine may still read it, and works on it until it notices the reset.
func (w *answerWatch) giveUp() {
	w.result.givenUp = true
	w.s.f.metrics.count("requests_given_up")
	w.next.interrupt(errUnanswered)
}

// stopUnanswered makes an engine stop the run of the generation, if it has one, and copy its KV cache to another engine.
// The generation can go on at the engine itself if it can't at the other one. Without room elsewhere the copy goes to
// the engine from which the run came, since a call that names no other engine stops nothing.
func (s *stream) stopUnanswered(e, source registrar.Endpoint) (continuation, error) {
	target, ok := s.migrationTarget(e, source.Identity)
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
