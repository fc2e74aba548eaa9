// Package admitter decides which requests may run at one endpoint, and when.
//
// An Owner is the admission owner of one endpoint. It takes events and the time,
// and returns the actions that the daemon has to carry out. It does no I/O,
// starts no goroutine, reads no clock, and is not safe for concurrent use.
package admitter

import (
	"time"

	"monsoonspar.example/state/estimator"
)

// Owner queues, grants and refuses requests for one endpoint.
type Owner struct {
	cfg     Config
	est     *estimator.Estimator
	queue   []Request
	running map[PermitID]Request
	answers map[PermitID]Action
	leaving bool
}

// NewOwner returns an Owner that knows of no sequence at the endpoint.
func NewOwner(cfg Config, est *estimator.Estimator) *Owner {
	return &Owner{
		cfg:     cfg.withDefaults(),
		est:     est,
		running: make(map[PermitID]Request),
		answers: make(map[PermitID]Action),
	}
}

// Enqueue asks for a permit. It is idempotent: a repeat returns the answer
// again, if there is one.
func (o *Owner) Enqueue(now time.Time, r Request) []Action {
	if a, ok := o.answers[r.ID]; ok {
		return []Action{a}
	}
	for _, q := range o.queue {
		if q.ID == r.ID {
			return nil
		}
	}
	if o.leaving {
		return []Action{o.answer(Action{Kind: Refuse, ID: r.ID, Reason: ReasonLeaving})}
	}
	o.queue = append(o.queue, r)
	return o.schedule()
}

// Observe takes a load report of the engine.
func (o *Owner) Observe(now time.Time, r LoadReport) []Action {
	if r.Leaving {
		return o.Leave(now)
	}
	return o.schedule()
}

// Release ends a permit, or gives up a request that is still queued.
func (o *Owner) Release(_ time.Time, id PermitID, res Result) []Action {
	r, ok := o.running[id]
	if ok && res.Finished {
		o.est.Record(estimator.Class{Model: r.Model, Customer: r.Customer, Kind: r.Kind}, res.Produced)
	}
	delete(o.running, id)
	for i, q := range o.queue {
		if q.ID == id {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			break
		}
	}
	o.answer(Action{Kind: Refuse, ID: id, Reason: ReasonEnded})
	return o.schedule()
}

// Expect starts a cautious time: the named daemons may hold permits that a
// former owner gave. It ends when Restore was called for each of them or after
// Config.RestoreWait.
func (o *Owner) Expect(_ time.Time, _ []string) {}

// Restore takes the permits that a daemon holds from a former owner.
func (o *Owner) Restore(_ time.Time, _ string, held []Held) []Action {
	for _, h := range held {
		o.running[h.Request.ID] = h.Request
		o.answer(Action{Kind: Grant, ID: h.Request.ID})
	}
	return nil
}

// Lose tells that a daemon is gone with the permits that it held.
func (o *Owner) Lose(_ time.Time, _ string) []Action { return nil }

// Leave stops all grants: queued and later requests are refused.
func (o *Owner) Leave(_ time.Time) []Action {
	o.leaving = true
	var actions []Action
	for _, r := range o.queue {
		actions = append(actions, o.answer(Action{Kind: Refuse, ID: r.ID, Reason: ReasonLeaving}))
	}
	o.queue = nil
	return actions
}

// Tick does what is due by the time. Call it at NextWake.
func (o *Owner) Tick(_ time.Time) []Action { return o.schedule() }

// NextWake returns when to call Tick, however nothing else happens before.
func (o *Owner) NextWake(now time.Time) time.Time { return now.Add(o.cfg.TickEvery) }

// Quote forecasts the wait of a request without queueing it.
func (o *Owner) Quote(_ time.Time, _ Request) Quote {
	return Quote{Wait: time.Duration(len(o.queue)) * o.cfg.Step.Base, Feasible: true, Available: !o.leaving}
}

// answer notes a and returns it.
func (o *Owner) answer(a Action) Action {
	o.answers[a.ID] = a
	return a
}

// schedule grants what fits.
func (o *Owner) schedule() []Action {
	var actions []Action
	used := 0
	for _, r := range o.running {
		used += r.PromptTokens + r.MaxTokens
	}
	for len(o.queue) > 0 && len(o.running) < o.cfg.MaxBatch {
		r := o.queue[0]
		used += r.PromptTokens + r.MaxTokens
		if len(o.running) > 0 && used > o.cfg.MemoryTokens {
			break
		}
		o.queue = o.queue[1:]
		o.running[r.ID] = r
		actions = append(actions, o.answer(Action{Kind: Grant, ID: r.ID}))
	}
	return actions
}
