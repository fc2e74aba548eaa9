// Package admitter implements admission control for an endpoint: it decides which
// requests may run there, and when.
//
// Each endpoint has one Owner, run by one daemon. It is a state machine: its
// methods take an event and the current time, and return the actions that the
// daemon has to carry out. It does no I/O, starts no goroutine, reads no clock,
// and is not safe for concurrent use.
//
// A request is granted a permit when two conditions hold. The forecast of the
// engine's memory with the request added, at a quantile that adapts to observed
// preemptions, must stay within capacity. The batch size and the prompt tokens
// pending prefill must keep the time between output tokens within its target.
// The output lengths of running generations are extrapolated from the step rate
// and corrected by load reports. A report is compared with the extrapolation at
// the time when the engine generated it.
//
// Requests are queued in two lanes, for short and for long expected outputs, each
// with a share of the engine (package scheduler). After a change of owner, the new
// one uses only part of the memory until the daemons have reported the permits that
// they hold from the former owner.
package admitter

import (
	"fmt"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/coordination/scheduler"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/estimator"
)

// Owner is the admission controller of one endpoint. It queues, grants and
// refuses requests.
type Owner struct {
	cfg Config
	est *estimator.Estimator

	permits       map[PermitID]*permit
	finalAnswers  answerCache
	queue         *scheduler.Queue[*permit]
	granted       []*permit // Unordered.
	runningByLane [2]int    // Granted permits not presumed ended, by lane.

	stepCounter    stepCounter
	stepTimeFit    stepTimeFit
	prefillLimiter prefillLimiter
	margin         margin
	prefixes       map[uint64]sharedPrefix
	sharedTokens   int // Tokens held by all shared prefixes together.

	memoryForecast forecaster.Forecast
	laneForecasts  [2]forecaster.Forecast
	forecastAt     time.Time

	lastReport        LoadReport // At is zero before the first report.
	untracked         []untrackedSequence
	waitCorrections   [2]waitCorrection // Corrections of the forecast queue wait, by lane.
	retryBacklogUntil time.Time         // Time until which retries of refused requests are expected to fill the engine.
	arrivalRate       workRate
	shortArrivalRate  workRate

	pendingRestores   map[string]bool // Daemons that have not reported their permits since a change of owner.
	conservativeUntil time.Time       // End of conservative admission; zero if it is not in force.
	shuttingDown      bool

	now  time.Time                            // Time of the current event.
	fits func(*scheduler.Entry[*permit]) bool // The method value o.hasCapacity, allocated once.
}

// NewOwner returns an Owner without permits. Owners may share est if one lock
// guards them all.
func NewOwner(cfg Config, est *estimator.Estimator) *Owner {
	cfg = cfg.withDefaults()
	o := &Owner{
		cfg:          cfg,
		est:          est,
		permits:      make(map[PermitID]*permit),
		finalAnswers: newAnswerCache(),
		queue:        scheduler.NewQueue[*permit](),
		stepTimeFit:  newStepTimeFit(cfg.Step),
		margin:       newMargin(cfg.MemoryQuantile),
		prefixes:     make(map[uint64]sharedPrefix),
	}
	o.stepCounter.stepTime = o.stepTimeFit.predict(0)
	o.fits = o.hasCapacity
	return o
}

// Reconfigure replaces the configuration. Permits, queue and the learned
// estimates are kept, except that a new quantile resets the margin and a new step
// model the fitted step time.
func (o *Owner) Reconfigure(now time.Time, cfg Config) []Action {
	cfg = cfg.withDefaults()
	o.advance(now)
	if cfg.MemoryQuantile != o.cfg.MemoryQuantile {
		o.margin = newMargin(cfg.MemoryQuantile)
	}
	if cfg.Step != o.cfg.Step {
		o.stepTimeFit = newStepTimeFit(cfg.Step)
	}
	o.cfg = cfg
	o.refreshForecast()
	return o.checkInvariants(o.schedule(nil))
}

// advance sets the time of the current event and extrapolates the step count to
// it. The time never decreases.
func (o *Owner) advance(now time.Time) {
	if now.Before(o.now) {
		now = o.now
	}
	o.now = now
	o.stepCounter.stepTime = o.stepTimeFit.predict(o.batchSize())
	o.stepCounter.advance(now)
}

// Enqueue requests a permit. It is idempotent: a repeat returns no action while
// the request is queued, the same answer once it is granted or refused, and a
// refusal with ReasonEnded after its permit has ended. A repeat for a granted
// request transfers the permit to the daemon that repeats it.
func (o *Owner) Enqueue(now time.Time, r Request) []Action {
	o.advance(now)
	if p, ok := o.permits[r.ID]; ok {
		return o.answerRepeat(p, r.Daemon)
	}
	if e, ok := o.finalAnswers.get(r.ID); ok {
		return []Action{e.action}
	}
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	p := o.newPermit(r)
	item := o.item(p)
	o.arrivalRate.add(o.now, item.Work)
	if item.Lane == scheduler.Short {
		o.shortArrivalRate.add(o.now, item.Work)
	}
	if a, ok := o.refuseOnArrival(p, item); ok {
		return []Action{a}
	}
	p.entry = o.queue.Push(o.now, item)
	o.permits[r.ID] = p
	return o.checkInvariants(o.schedule(nil))
}

// answerRepeat answers a repeated Enqueue for a queued or granted permit.
func (o *Owner) answerRepeat(p *permit, daemon string) []Action {
	p.req.Daemon = daemon
	if p.state == queued {
		return nil
	}
	p.state = running
	return []Action{{Kind: Grant, ID: p.req.ID, EnginePriority: p.priority}}
}

// Release ends a permit, or withdraws a request that is still queued.
func (o *Owner) Release(now time.Time, id PermitID, res Result) []Action {
	o.advance(now)
	p, ok := o.permits[id]
	if !ok {
		if _, isFinal := o.finalAnswers.get(id); !isFinal {
			o.finalAnswers.add(o.now, Action{Kind: Refuse, ID: id, Reason: ReasonEnded})
		}
		return nil
	}
	if p.state == queued {
		o.queue.Remove(p.entry)
	} else {
		o.recordLength(p, res)
		o.removeGranted(p, res.Produced)
	}
	o.endPermit(p, Action{Kind: Refuse, ID: id, Reason: ReasonEnded})
	return o.checkInvariants(o.schedule(nil))
}

// recordLength records the output length of a generation that has ended. The
// sample is censored if a limit or a cancellation cut the output off.
func (o *Owner) recordLength(p *permit, res Result) {
	atLimit := p.req.MaxTokens > 0 && res.Produced >= p.req.MaxTokens
	switch {
	case res.Finished && !atLimit:
		o.est.Record(p.class, res.Produced)
	case res.Produced > 0:
		o.est.RecordCensored(p.class, res.Produced)
	}
}

// StopAdmission stops admission because the endpoint is shutting down: queued and
// later requests are refused. Running generations continue.
func (o *Owner) StopAdmission(now time.Time) []Action {
	o.advance(now)
	o.shuttingDown = true
	var actions []Action
	for _, e := range o.queue.Drain() {
		actions = append(actions, o.endPermit(e.Value, Action{Kind: Refuse, ID: e.Value.req.ID, Reason: ReasonShuttingDown}))
	}
	return o.checkInvariants(actions)
}

// Tick processes what is due at the given time: refusals, cancellations and
// grants. It must be called at the time that NextWake returns.
func (o *Owner) Tick(now time.Time) []Action {
	o.advance(now)
	o.queue.Tick(o.now)
	o.margin.decay(o.now)
	o.arrivalRate.decay(o.now)
	o.shortArrivalRate.decay(o.now)
	if !o.conservativeUntil.IsZero() && !o.now.Before(o.conservativeUntil) {
		o.pendingRestores, o.conservativeUntil = nil, time.Time{}
	}
	actions := o.cancelOrphans(nil)
	actions = o.refuseLate(actions)
	o.refreshForecast()
	return o.checkInvariants(o.schedule(actions))
}

// NextWake returns when Tick must be called next if no other event occurs before.
func (o *Owner) NextWake(now time.Time) time.Time {
	if len(o.permits) == 0 {
		return now.Add(10 * o.cfg.TickInterval)
	}
	wake := now.Add(o.cfg.TickInterval)
	if o.queue.Len() == 0 {
		return wake
	}
	if t := o.prefillLimiter.emptyAt(&o.stepCounter); t.After(now) && t.Before(wake) {
		wake = t
	}
	for _, next := range []func() (time.Time, bool){o.queue.NextRateLimitEnd, o.queue.NextExpiry} {
		if t, ok := next(); ok && t.Before(wake) {
			wake = t
		}
	}
	return later(wake, now.Add(time.Millisecond))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endPermit removes a permit and stores its final answer.
func (o *Owner) endPermit(p *permit, a Action) Action {
	delete(o.permits, p.req.ID)
	o.finalAnswers.add(o.now, a)
	return a
}

// checkInvariants asserts the invariants after an event and returns its actions.
func (o *Owner) checkInvariants(actions []Action) []Action {
	consistent := len(o.permits) == o.queue.Len()+len(o.granted)
	if !consistent {
		asserter.That(false, asserter.PermitsConsistent,
			fmt.Sprintf("%d permits, but %d queued and %d granted", len(o.permits), o.queue.Len(), len(o.granted)))
	}
	asserter.That(!o.shuttingDown || o.queue.Len() == 0, asserter.NoWorkDuringShutdown, "requests are queued at an endpoint that is shutting down")
	return actions
}
