// Package admitter decides which requests may run at one endpoint, and when.
//
// An Owner is the admission owner of one endpoint. It takes events and the time,
// and returns the actions that the daemon has to carry out. It does no I/O,
// starts no goroutine, reads no clock, and is not safe for concurrent use.
//
// A request is granted when the forecast of the engine's memory, at a quantile
// that adapts to the preemptions seen, leaves room for it, and when the batch
// and the prompt tokens in flight keep the time between tokens within its
// target. Lengths of running generations are dead-reckoned from the step rate
// and corrected by load reports, each compared at the time it was made.
package admitter

import (
	"fmt"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/coordination/scheduler"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/estimator"
)

// Owner queues, grants and refuses requests for one endpoint.
type Owner struct {
	cfg Config
	est *estimator.Estimator

	live    map[PermitID]*permit
	ended   ledger
	queue   *scheduler.Queue[*permit]
	granted []*permit // In no order.
	counts  [2]int    // Granted permits that the engine seems to hold, by lane.

	clock    stepCounter
	fit      stepFit
	prefill  prefill
	margin   margin
	prefixes map[uint64]prefix
	shared   int // Tokens of shared prefixes.

	total     forecaster.Forecast
	lanes     [2]forecaster.Forecast
	refreshed time.Time

	report        LoadReport // The latest one; At is zero before the first.
	foreign       []foreign
	wait          [2]correction // Of the forecast wait, by lane.
	booked        time.Time     // Until when returning requests are expected to fill the engine.
	allArrivals   arrivals
	shortArrivals arrivals

	awaited  map[string]bool // Daemons not heard from since a change of owner.
	cautious time.Time       // End of the cautious time.
	leaving  bool

	now  time.Time                            // Of the event in hand.
	fits func(*scheduler.Entry[*permit]) bool // The method hasRoom.
}

// NewOwner returns an Owner that knows of no sequence at the endpoint. Several
// owners under one lock may share est.
func NewOwner(cfg Config, est *estimator.Estimator) *Owner {
	cfg = cfg.withDefaults()
	o := &Owner{
		cfg:      cfg,
		est:      est,
		live:     make(map[PermitID]*permit),
		ended:    newLedger(),
		queue:    scheduler.NewQueue[*permit](),
		fit:      newStepFit(cfg.Step),
		margin:   newMargin(cfg.Quantile),
		prefixes: make(map[uint64]prefix),
	}
	o.clock.step = o.fit.step(0)
	o.fits = o.hasRoom
	return o
}

// Reconfigure takes a new description of the endpoint and policy. Permits,
// queue and what was learned of the engine stay.
func (o *Owner) Reconfigure(now time.Time, cfg Config) []Action {
	cfg = cfg.withDefaults()
	o.advance(now)
	if cfg.Quantile != o.cfg.Quantile {
		o.margin = newMargin(cfg.Quantile)
	}
	if cfg.Step != o.cfg.Step {
		o.fit = newStepFit(cfg.Step)
	}
	o.cfg = cfg
	o.refresh()
	return o.finish(o.schedule(nil))
}

// advance brings the owner's clock up to now.
func (o *Owner) advance(now time.Time) {
	if now.Before(o.now) {
		now = o.now
	}
	o.now = now
	o.clock.step = o.fit.step(o.batch())
	o.clock.advance(now)
}

// Enqueue asks for a permit. It is idempotent: a repeat for a queued request
// returns nothing, any other repeat the first answer. A repeat for a granted
// one makes its daemon the holder of the permit.
func (o *Owner) Enqueue(now time.Time, r Request) []Action {
	o.advance(now)
	if p, ok := o.live[r.ID]; ok {
		return o.repeat(p, r.Daemon)
	}
	if e, ok := o.ended.find(r.ID); ok {
		return []Action{e.action}
	}
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	p := o.newPermit(r)
	item := o.item(p)
	o.allArrivals.add(o.now, item.Work)
	if item.Lane == scheduler.Short {
		o.shortArrivals.add(o.now, item.Work)
	}
	if a, ok := o.refuseAtOnce(p, item); ok {
		return []Action{a}
	}
	p.entry = o.queue.Push(o.now, item)
	o.live[r.ID] = p
	return o.finish(o.schedule(nil))
}

// repeat answers a repeated Enqueue of a live permit.
func (o *Owner) repeat(p *permit, daemon string) []Action {
	p.req.Daemon = daemon
	if p.state == queued {
		return nil
	}
	p.state = running
	return []Action{{Kind: Grant, ID: p.req.ID, EnginePriority: p.priority}}
}

// Release ends a permit, or gives up a request that is still queued.
func (o *Owner) Release(now time.Time, id PermitID, res Result) []Action {
	o.advance(now)
	p, ok := o.live[id]
	if !ok {
		if _, ended := o.ended.find(id); !ended {
			o.ended.add(o.now, Action{Kind: Refuse, ID: id, Reason: ReasonEnded})
		}
		return nil
	}
	if p.state == queued {
		o.queue.Remove(p.entry)
	} else {
		o.learn(p, res)
		o.remove(p, res.Produced)
	}
	o.end(p, Action{Kind: Refuse, ID: id, Reason: ReasonEnded})
	return o.finish(o.schedule(nil))
}

// learn records the length of a generation that has ended.
func (o *Owner) learn(p *permit, res Result) {
	atLimit := p.req.MaxTokens > 0 && res.Produced >= p.req.MaxTokens
	switch {
	case res.Finished && !atLimit:
		o.est.Record(p.class, res.Produced)
	case res.Produced > 0:
		o.est.RecordCensored(p.class, res.Produced)
	}
}

// Leave stops all grants: queued and later requests are refused. Generations
// that run go on.
func (o *Owner) Leave(now time.Time) []Action {
	o.advance(now)
	o.leaving = true
	var actions []Action
	for _, e := range o.queue.Drain() {
		actions = append(actions, o.end(e.Value, Action{Kind: Refuse, ID: e.Value.req.ID, Reason: ReasonLeaving}))
	}
	return o.finish(actions)
}

// Tick does what is due by the time. Call it at NextWake.
func (o *Owner) Tick(now time.Time) []Action {
	o.advance(now)
	o.queue.Tick(o.now)
	o.margin.tick(o.now)
	o.allArrivals.tick(o.now)
	o.shortArrivals.tick(o.now)
	if !o.cautious.IsZero() && !o.now.Before(o.cautious) {
		o.awaited, o.cautious = nil, time.Time{}
	}
	actions := o.cancelOrphans(nil)
	actions = o.refuseLate(actions)
	o.refresh()
	return o.finish(o.schedule(actions))
}

// NextWake returns when to call Tick, however nothing else happens before.
func (o *Owner) NextWake(now time.Time) time.Time {
	if len(o.live) == 0 {
		return now.Add(10 * o.cfg.TickEvery)
	}
	wake := now.Add(o.cfg.TickEvery)
	if o.queue.Len() == 0 {
		return wake
	}
	if t := o.prefill.freeAt(&o.clock); t.After(now) && t.Before(wake) {
		wake = t
	}
	for _, next := range []func() (time.Time, bool){o.queue.NextFree, o.queue.NextExpiry} {
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

// end removes a permit from the live ones and notes its final answer.
func (o *Owner) end(p *permit, a Action) Action {
	delete(o.live, p.req.ID)
	o.ended.add(o.now, a)
	return a
}

// finish checks the invariants after an event and returns its actions.
func (o *Owner) finish(actions []Action) []Action {
	consistent := len(o.live) == o.queue.Len()+len(o.granted)
	if !consistent {
		asserter.That(false, asserter.PermitsConsistent,
			fmt.Sprintf("%d live, %d queued, %d granted", len(o.live), o.queue.Len(), len(o.granted)))
	}
	asserter.That(!o.leaving || o.queue.Len() == 0, asserter.NoWorkWhileLeaving, "a leaving endpoint has a queue")
	return actions
}
