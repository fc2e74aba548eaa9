package admitter

import (
	"math"
	"time"

	"monsoonspar.example/coordination/scheduler"
)

const (
	lateChecks    = 8                      // Queued requests whose forecast a Tick checks anew.
	lateTolerance = 0.7                    // Part of the forecast wait that a queued request must outlast.
	leastRetry    = 500 * time.Millisecond // Shortest RetryAfter.
	dueShare      = 0.75                   // Part of the age bound after which a request is due.
	leastSpare    = 0.2                    // Least part of the engine taken to be left by arrivals.
	waitGain      = 0.2                    // Weight of the newest wait in the correction.
	waitFloor     = time.Second            // Added to waits before they are compared.
	arrivalWindow = 30 * time.Second       // Time constant of the arrival rate.
)

// correction learns the ratio of actual to forecast waits.
type correction struct {
	logRatio float64
}

// observe notes one wait with what had been forecast.
func (c *correction) observe(forecast, actual time.Duration) {
	ratio := float64(actual+waitFloor) / float64(forecast+waitFloor)
	c.logRatio += waitGain * (math.Log(ratio) - c.logRatio)
	c.logRatio = min(max(c.logRatio, -1), 1)
}

// apply returns the corrected forecast.
func (c *correction) apply(forecast time.Duration) time.Duration {
	return time.Duration(float64(forecast) * math.Exp(c.logRatio))
}

// arrivals is the decaying rate at which work arrives, in steps of the whole
// engine a second.
type arrivals struct {
	rate   float64
	ticked time.Time
}

// add counts arriving work.
func (a *arrivals) add(now time.Time, work float64) {
	a.tick(now)
	a.rate += work / arrivalWindow.Seconds()
}

// tick lets the rate decay.
func (a *arrivals) tick(now time.Time) {
	if !a.ticked.IsZero() {
		a.rate *= math.Exp(-float64(now.Sub(a.ticked)) / float64(arrivalWindow))
	}
	a.ticked = now
}

// spare returns the part of the engine that arrivals leave.
func (o *Owner) spare(a *arrivals) float64 {
	return max(1-a.rate*o.clock.step.Seconds(), leastSpare)
}

// forecastWait returns how long a request will wait from now with the given
// work ahead of it. Short jobs that arrive meanwhile go before a long one.
func (o *Owner) forecastWait(p *permit, k scheduler.Lane, ahead float64) time.Duration {
	o.refreshStale()
	free := 0.0
	if o.batch() > 0 {
		free = o.total.StepsUntil(&p.moments, o.margin.deviations(), o.memory())
		if free == 0 && ahead == 0 && !o.batchHasRoom(k) {
			free = p.expected / float64(o.batchLimit())
		}
	}
	steps := max(free, ahead)
	if k == scheduler.Long {
		steps /= o.spare(&o.shortArrivals)
	}
	raw := time.Duration(steps * float64(o.clock.step))
	return o.wait[k].apply(raw)
}

// refuseAtOnce refuses a request that can't be served, and notes the forecast
// of one that can. It reports whether it has refused.
func (o *Owner) refuseAtOnce(p *permit, item scheduler.Item[*permit]) (Action, bool) {
	r := &p.req
	a := Action{Kind: Refuse, ID: r.ID}
	ahead := o.queue.Ahead(item)
	p.promised = o.forecastWait(p, item.Lane, ahead)
	switch {
	case o.leaving:
		a.Reason = ReasonLeaving
	case r.PromptTokens >= o.cfg.MemoryTokens:
		a.Reason = ReasonTooLarge
	case r.Limits.MaxQueued > 0 && o.queue.Queued(r.Customer, r.Level) >= r.Limits.MaxQueued:
		a.Reason = ReasonQueueFull
		a.RetryAfter = o.retryAfter(item, p.promised)
	case !item.Expires.IsZero() && o.now.Add(p.promised).After(item.Expires):
		a.Reason = ReasonDeadline
		a.RetryAfter = o.retryAfter(item, p.promised)
	case p.promised > o.cfg.AgeBound:
		a.Reason = ReasonBusy
		a.RetryAfter = o.retryAfter(item, p.promised)
	default:
		return Action{}, false
	}
	o.ended.add(o.now, a)
	return a, true
}

// retryAfter returns when a refused request should come back: once the queue and
// those told to return before have been served, as far as new arrivals leave
// room.
func (o *Owner) retryAfter(item scheduler.Item[*permit], wait time.Duration) time.Duration {
	spare := o.spare(&o.allArrivals)
	start := later(o.booked, o.now.Add(wait))
	o.booked = start.Add(time.Duration(item.Work * float64(o.clock.step) / spare))
	latest := o.now.Add(o.cfg.MaxRetry)
	if o.booked.After(latest) {
		o.booked = latest
	}
	return max(o.booked.Sub(o.now), leastRetry)
}

// refuseLate refuses queued requests that can't be answered in time any more or
// have waited for the age bound, and appends the answers to actions.
func (o *Owner) refuseLate(actions []Action) []Action {
	for _, e := range o.queue.Expired(o.now) {
		actions = append(actions, o.refuseQueued(e, ReasonDeadline, 0))
	}
	left := time.Duration((1 - dueShare) * float64(o.cfg.AgeBound))
	for _, e := range o.queue.Overdue(o.now.Add(-left)) {
		actions = append(actions, o.refuseQueued(e, ReasonBusy, 0))
	}
	for _, e := range o.queue.Soonest(lateChecks) {
		wait := o.forecastWait(e.Value, e.Lane, o.queue.AheadOf(e))
		if o.now.Add(time.Duration(lateTolerance * float64(wait))).After(e.Expires) {
			o.queue.Remove(e)
			actions = append(actions, o.refuseQueued(e, ReasonDeadline, wait))
		}
	}
	return actions
}

// refuseQueued refuses a request that was queued until now.
func (o *Owner) refuseQueued(e *scheduler.Entry[*permit], reason Reason, wait time.Duration) Action {
	p := e.Value
	return o.end(p, Action{
		Kind: Refuse, ID: p.req.ID, Reason: reason,
		RetryAfter: o.retryAfter(e.Item, wait),
	})
}

// Quote forecasts the wait of a request without queueing it.
func (o *Owner) Quote(now time.Time, r Request) Quote {
	o.advance(now)
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	p := o.newPermit(r)
	item := o.item(p)
	wait := o.forecastWait(p, item.Lane, o.queue.Ahead(item))
	inTime := item.Expires.IsZero() || !o.now.Add(wait).After(item.Expires)
	full := r.Limits.MaxQueued > 0 && o.queue.Queued(r.Customer, r.Level) >= r.Limits.MaxQueued
	return Quote{
		Wait:      wait,
		Run:       o.runTime(&r, p.expected),
		Feasible:  inTime && !full && r.PromptTokens < o.cfg.MemoryTokens,
		Available: !o.leaving,
	}
}
