package admitter

import (
	"math"
	"time"

	"monsoonspar.example/coordination/scheduler"
)

const (
	rechecksPerTick     = 8                      // Queued requests whose forecast each Tick recomputes.
	lateWaitFraction    = 0.7                    // A queued request is refused if this fraction of its forecast wait extends beyond its latest start.
	minRetryAfter       = 500 * time.Millisecond // Shortest RetryAfter.
	dueFraction         = 0.75                   // Fraction of Config.MaxQueueWait after which a request is due, as scheduler.Item.DueAt defines it.
	minSpareFraction    = 0.2                    // Lower bound of spareFraction.
	waitCorrectionGain  = 0.2                    // Weight of the latest wait in a waitCorrection.
	waitOffset          = time.Second            // Added to both waits of a ratio, so that short waits weigh little.
	arrivalTimeConstant = 30 * time.Second       // Time constant of the arrival rate.
)

// waitCorrection is a moving average of the logarithm of the ratio of actual to
// forecast waits.
type waitCorrection struct {
	logRatio float64
}

// observe adds a wait and its forecast.
func (c *waitCorrection) observe(forecast, actual time.Duration) {
	ratio := float64(actual+waitOffset) / float64(forecast+waitOffset)
	c.logRatio += waitCorrectionGain * (math.Log(ratio) - c.logRatio)
	c.logRatio = min(max(c.logRatio, -1), 1)
}

// apply returns the corrected forecast.
func (c *waitCorrection) apply(forecast time.Duration) time.Duration {
	return time.Duration(float64(forecast) * math.Exp(c.logRatio))
}

// workRate is an exponentially decaying average of the rate at which work arrives.
// A unit of work is a step of the whole engine.
type workRate struct {
	stepsPerSecond float64
	updatedAt      time.Time
}

// add adds arriving work.
func (r *workRate) add(now time.Time, work float64) {
	r.decay(now)
	r.stepsPerSecond += work / arrivalTimeConstant.Seconds()
}

// decay reduces the rate by the time since the last update.
func (r *workRate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.stepsPerSecond *= math.Exp(-float64(now.Sub(r.updatedAt)) / float64(arrivalTimeConstant))
	}
	r.updatedAt = now
}

// spareFraction returns the fraction of the engine's capacity that work arriving at
// the given rate leaves free.
func (o *Owner) spareFraction(rate *workRate) float64 {
	return max(1-rate.stepsPerSecond*o.stepCounter.stepTime.Seconds(), minSpareFraction)
}

// forecastWait returns the expected queue wait of a request from now on, given the
// work ahead of it. A long job also waits for short jobs that arrive later.
func (o *Owner) forecastWait(p *permit, lane scheduler.Lane, workAhead float64) time.Duration {
	o.refreshStaleForecast()
	stepsUntilFit := 0.0
	if o.batchSize() > 0 {
		stepsUntilFit = o.memoryForecast.StepsUntilFit(&p.moments, o.margin.deviations(), o.memoryLimit())
		if stepsUntilFit == 0 && workAhead == 0 && !o.batchHasCapacity(lane) {
			stepsUntilFit = p.expectedTokens / float64(o.batchLimit())
		}
	}
	steps := max(stepsUntilFit, workAhead)
	if lane == scheduler.Long {
		steps /= o.spareFraction(&o.shortArrivalRate)
	}
	raw := time.Duration(steps * float64(o.stepCounter.stepTime))
	return o.waitCorrections[lane].apply(raw)
}

// refuseOnArrival refuses a request that can't be served. Otherwise it only stores
// the forecast wait. It reports whether it refused the request.
func (o *Owner) refuseOnArrival(p *permit, item scheduler.Item[*permit]) (Action, bool) {
	r := &p.req
	a := Action{Kind: Refuse, ID: r.ID}
	workAhead := o.queue.WorkAhead(item)
	p.expectedWait = o.forecastWait(p, item.Lane, workAhead)
	switch {
	case o.shuttingDown:
		a.Reason = ReasonShuttingDown
	case r.PromptTokens >= o.cfg.MemoryTokens:
		a.Reason = ReasonTooLarge
	case r.Limits.MaxQueued > 0 && o.queue.Queued(r.Customer, r.Level) >= r.Limits.MaxQueued:
		a.Reason = ReasonQueueFull
		a.RetryAfter = o.retryAfter(item, p.expectedWait)
	case !item.LatestStart.IsZero() && o.now.Add(p.expectedWait).After(item.LatestStart):
		a.Reason = ReasonDeadline
		a.RetryAfter = o.retryAfter(item, p.expectedWait)
	case p.expectedWait > o.cfg.MaxQueueWait:
		a.Reason = ReasonBusy
		a.RetryAfter = o.retryAfter(item, p.expectedWait)
	default:
		return Action{}, false
	}
	o.finalAnswers.add(o.now, a)
	return a, true
}

// retryAfter returns the delay after which a refused request should be retried. It
// spreads retries out: each is scheduled after the queue and the earlier retries
// have been served with the capacity that new arrivals leave free.
func (o *Owner) retryAfter(item scheduler.Item[*permit], wait time.Duration) time.Duration {
	fraction := o.spareFraction(&o.arrivalRate)
	start := later(o.retryBacklogUntil, o.now.Add(wait))
	o.retryBacklogUntil = start.Add(time.Duration(item.Work * float64(o.stepCounter.stepTime) / fraction))
	latest := o.now.Add(o.cfg.MaxRetryAfter)
	if o.retryBacklogUntil.After(latest) {
		o.retryBacklogUntil = latest
	}
	return max(o.retryBacklogUntil.Sub(o.now), minRetryAfter)
}

// refuseLate refuses queued requests that can no longer meet their deadline or have
// reached the bound of the queue wait, and appends the refusals to actions.
func (o *Owner) refuseLate(actions []Action) []Action {
	for _, e := range o.queue.TakeExpired(o.now) {
		actions = append(actions, o.refuseQueued(e, ReasonDeadline, 0))
	}
	dueToBound := time.Duration((1 - dueFraction) * float64(o.cfg.MaxQueueWait))
	for _, e := range o.queue.TakeOverdue(o.now.Add(-dueToBound)) {
		actions = append(actions, o.refuseQueued(e, ReasonBusy, 0))
	}
	for _, e := range o.queue.FirstToExpire(rechecksPerTick) {
		wait := o.forecastWait(e.Value, e.Lane, o.queue.WorkAheadOf(e))
		if o.now.Add(time.Duration(lateWaitFraction * float64(wait))).After(e.LatestStart) {
			o.queue.Remove(e)
			actions = append(actions, o.refuseQueued(e, ReasonDeadline, wait))
		}
	}
	return actions
}

// refuseQueued refuses a request that has been removed from the queue. Its retry is
// scheduled as if it had to wait for the given time.
func (o *Owner) refuseQueued(e *scheduler.Entry[*permit], reason Reason, wait time.Duration) Action {
	p := e.Value
	return o.endPermit(p, Action{
		Kind: Refuse, ID: p.req.ID, Reason: reason,
		RetryAfter: o.retryAfter(e.Item, wait),
	})
}

// Estimate forecasts the queue wait and the run time of a request without queueing
// it.
func (o *Owner) Estimate(now time.Time, r Request) Estimate {
	o.advance(now)
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	p := o.newPermit(r)
	item := o.item(p)
	wait := o.forecastWait(p, item.Lane, o.queue.WorkAhead(item))
	inTime := item.LatestStart.IsZero() || !o.now.Add(wait).After(item.LatestStart)
	queueFull := r.Limits.MaxQueued > 0 && o.queue.Queued(r.Customer, r.Level) >= r.Limits.MaxQueued
	return Estimate{
		QueueWait: wait,
		RunTime:   o.runTime(&r, p.expectedTokens),
		Feasible:  inTime && !queueFull && r.PromptTokens < o.cfg.MemoryTokens,
		Available: !o.shuttingDown,
	}
}
