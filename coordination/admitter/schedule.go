package admitter

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/coordination/scheduler"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/estimator"
)

const (
	maxForecastAge             = 100 * time.Millisecond // Age at which the memory forecast is recomputed.
	stepGapFraction            = 0.75                   // Fraction of the target for the time between tokens that a step may take.
	conservativeMemoryFraction = 0.6                    // Fraction of memory used during conservative admission.
)

// newPermit returns a permit for r that is not yet queued.
func (o *Owner) newPermit(r Request) *permit {
	p := &permit{req: r, class: r.class(), enqueuedAt: o.now}
	p.outputLength = estimator.Bounded{Dist: o.est.Distribution(p.class), Limit: r.MaxTokens}
	p.expectedTokens, _ = p.outputLength.Residual(0)
	p.moments = o.momentsOf(p, 0)
	return p
}

// momentsOf returns the moments of the memory of p after it has produced the given
// number of tokens. They exclude a shared prefix, which sharedTokens includes.
func (o *Owner) momentsOf(p *permit, produced int) forecaster.Moments {
	prompt := p.req.PromptTokens
	if p.req.Prefix != 0 {
		prompt -= p.req.CachedTokens
	}
	s := forecaster.Sequence{Prompt: prompt, Produced: produced, Length: p.outputLength}
	return forecaster.MomentsOf(s, o.cfg.BlockTokens)
}

// item returns the queue item of p.
func (o *Owner) item(p *permit) scheduler.Item[*permit] {
	r := &p.req
	lane := scheduler.Short
	if p.expectedTokens >= float64(o.cfg.LongJobTokens) {
		lane = scheduler.Long
	}
	run := o.runTime(r, p.expectedTokens)
	sortTime := r.Arrived.Add(min(run, o.cfg.MaxQueueWait))
	var latestStart time.Time
	if !r.Deadline.IsZero() {
		likelyTokens := p.outputLength.Quantile(0, o.cfg.MinDeadlineProbability)
		latestStart = r.Deadline.Add(-o.runTime(r, float64(likelyTokens)))
		if latestStart.Before(sortTime) {
			sortTime = latestStart
		}
	}
	return scheduler.Item[*permit]{
		Value: p, Customer: r.Customer, Level: r.Level, Weight: r.Weight, Lane: lane,
		Cost: float64(r.uncachedTokens()) + p.expectedTokens, Work: o.work(p),
		Arrived: r.Arrived, SortTime: sortTime, DueAt: r.Arrived.Add(time.Duration(dueFraction * float64(o.cfg.MaxQueueWait))), LatestStart: latestStart,
		MaxRunning: r.Limits.MaxRunning, TokensPerSecond: r.Limits.TokensPerSecond,
	}
}

// runTime returns the expected time for the prefill of r and the given number of
// output tokens.
func (o *Owner) runTime(r *Request, tokens float64) time.Duration {
	prefill := float64(r.uncachedTokens()) * float64(o.cfg.Step.PerPrefillToken)
	return time.Duration(tokens*float64(o.stepCounter.stepTime) + prefill)
}

// work returns the expected load of p in steps of the whole engine: the larger of
// its fractions of the memory and of the batch, summed over its expected steps.
func (o *Owner) work(p *permit) float64 {
	mean, variance := p.outputLength.Residual(0)
	tokenSteps := mean*float64(p.req.PromptTokens) + (mean*mean+variance)/2
	return max(tokenSteps/float64(o.cfg.MemoryTokens), mean/float64(o.batchLimit()))
}

// batchSize returns the number of sequences that the engine is expected to be
// running.
func (o *Owner) batchSize() int {
	return o.runningByLane[scheduler.Short] + o.runningByLane[scheduler.Long] + len(o.untracked)
}

// batchLimit returns the largest batch whose step keeps the time between tokens
// within its target.
func (o *Owner) batchLimit() int {
	maxStepTime := time.Duration(stepGapFraction * float64(o.cfg.TokenGapTarget))
	return min(o.stepTimeFit.largestBatch(maxStepTime), o.cfg.MaxBatch)
}

// memoryLimit returns the number of tokens that sequences may hold besides the
// shared prefixes.
func (o *Owner) memoryLimit() float64 {
	limit := float64(o.cfg.MemoryTokens - o.sharedTokens)
	if !o.conservativeUntil.IsZero() {
		limit *= conservativeMemoryFraction
	}
	return limit
}

// hasCapacity reports whether the engine has capacity for a queued job. An idle
// engine has capacity for any job.
func (o *Owner) hasCapacity(e *scheduler.Entry[*permit]) bool {
	p := e.Value
	if o.batchSize() == 0 {
		return true
	}
	if !o.batchHasCapacity(e.Lane) {
		return false
	}
	if !o.prefillLimiter.allows(p.req.uncachedTokens(), o.prefillChunkTokens(), o.stepCounter.current.steps) {
		return false
	}
	available := o.memoryLimit() - float64(o.addedPrefixTokens(p))
	deviations := o.margin.deviations()
	if o.memoryForecast.Peak(&p.moments, deviations) > available {
		return false
	}
	return o.laneForecasts[e.Lane].Peak(&p.moments, deviations) <= o.laneShare(e.Lane)*available
}

// batchHasCapacity reports whether the batch has capacity for a job of the lane.
func (o *Owner) batchHasCapacity(lane scheduler.Lane) bool {
	limit := o.batchLimit()
	if o.batchSize() >= limit {
		return false
	}
	return float64(o.runningByLane[lane]) < o.laneShare(lane)*float64(limit)
}

// laneShare returns the fraction of the engine that jobs of the lane may use.
func (o *Owner) laneShare(lane scheduler.Lane) float64 {
	if lane == scheduler.Long {
		return o.cfg.LongShare
	}
	if o.queue.EligibleCustomers(scheduler.Long) > 0 {
		return o.cfg.ShortShare
	}
	return 1
}

// schedule grants the queued requests for which the engine has capacity and appends
// the grants to actions.
func (o *Owner) schedule(actions []Action) []Action {
	if o.shuttingDown || o.queue.Len() == 0 {
		return actions
	}
	o.refreshStaleForecast()
	for {
		e := o.queue.StartNext(o.now, o.fits)
		if e == nil {
			return actions
		}
		actions = append(actions, o.grant(e.Value))
	}
}

// grant grants a request that the queue has selected.
func (o *Owner) grant(p *permit) Action {
	asserter.That(!o.shuttingDown, asserter.NoWorkDuringShutdown, "permit granted at an endpoint that is shutting down")
	lane := p.entry.Lane
	o.waitCorrections[lane].observe(p.expectedWait, o.now.Sub(p.enqueuedAt))
	o.prefillLimiter.add(p.req.uncachedTokens(), o.prefillChunkTokens(), o.stepCounter.current.steps)
	p.grantedAt = o.now
	p.startStep = o.stepCounter.current.steps + float64(o.runTime(&p.req, 0))/float64(o.stepCounter.stepTime)
	p.priority = o.enginePriority(p)
	p.chargedTokens = p.expectedTokens
	o.addGranted(p)
	return Action{Kind: Grant, ID: p.req.ID, EnginePriority: p.priority}
}

// addGranted adds p to the granted permits and to the forecast.
func (o *Owner) addGranted(p *permit) {
	p.state = running
	p.grantedIndex = len(o.granted)
	o.granted = append(o.granted, p)
	o.runningByLane[p.entry.Lane]++
	o.acquirePrefix(p)
	o.memoryForecast.Add(&p.moments)
	o.laneForecasts[p.entry.Lane].Add(&p.moments)
}

// removeGranted removes a granted permit and corrects the charge to the tokens that
// it has produced.
func (o *Owner) removeGranted(p *permit, produced int) {
	lane := p.entry.Lane
	if !p.presumedEnded() {
		o.runningByLane[lane]--
		o.memoryForecast.Remove(&p.moments)
		o.laneForecasts[lane].Remove(&p.moments)
	}
	o.releasePrefix(p)
	last := o.granted[len(o.granted)-1]
	o.granted[p.grantedIndex] = last
	last.grantedIndex = p.grantedIndex
	o.granted[len(o.granted)-1] = nil
	o.granted = o.granted[:len(o.granted)-1]
	o.queue.Charge(o.now, p.entry, float64(produced)-p.chargedTokens)
	o.queue.Finish(o.now, p.entry)
}

// refreshStaleForecast recomputes the memory forecast if it is older than
// maxForecastAge.
func (o *Owner) refreshStaleForecast() {
	if o.now.Sub(o.forecastAt) >= maxForecastAge {
		o.refreshForecast()
	}
}

// refreshForecast recomputes the memory forecast from the extrapolated output of
// each sequence, and charges output beyond the expected length.
func (o *Owner) refreshForecast() {
	o.forecastAt = o.now
	o.memoryForecast, o.laneForecasts, o.runningByLane = forecaster.Forecast{}, [2]forecaster.Forecast{}, [2]int{}
	for _, p := range o.granted {
		if p.presumedEnded() {
			continue
		}
		produced := p.produced(o.stepCounter.current.steps)
		p.outputLength.Dist = o.est.Distribution(p.class)
		p.moments = o.momentsOf(p, produced)
		lane := p.entry.Lane
		o.runningByLane[lane]++
		o.memoryForecast.Add(&p.moments)
		o.laneForecasts[lane].Add(&p.moments)
		if uncharged := float64(produced) - p.chargedTokens; uncharged > 0 {
			o.queue.Charge(o.now, p.entry, uncharged)
			p.chargedTokens += uncharged
		}
	}
	o.addUntracked()
}

// addUntracked adds the untracked sequences to the forecast.
func (o *Owner) addUntracked() {
	if len(o.untracked) == 0 {
		return
	}
	length := estimator.Bounded{Dist: o.est.Distribution(estimator.Class{})}
	for _, u := range o.untracked {
		produced := max(int(o.stepCounter.current.steps-u.startStep), 0)
		s := forecaster.Sequence{Prompt: u.prompt, Produced: produced, Length: length}
		m := forecaster.MomentsOf(s, o.cfg.BlockTokens)
		o.memoryForecast.Add(&m)
	}
}
