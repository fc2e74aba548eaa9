package admitter

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/coordination/scheduler"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/estimator"
)

const (
	refreshAfter  = 100 * time.Millisecond // Age at which the forecast is computed anew.
	gapMargin     = 0.75                   // Part of the gap target that a step may take.
	cautiousShare = 0.6                    // Part of the memory used in a cautious time.
)

// newPermit returns a permit for r that is not queued yet.
func (o *Owner) newPermit(r Request) *permit {
	p := &permit{req: r, class: r.class(), enqueuedAt: o.now}
	p.length = estimator.Bounded{Dist: o.est.Distribution(p.class), Limit: r.MaxTokens}
	p.expected, _ = p.length.Residual(0)
	p.moments = o.momentsOf(p, 0)
	return p
}

// momentsOf returns the moments of p after it has produced tokens. A shared
// prefix counts apart.
func (o *Owner) momentsOf(p *permit, produced int) forecaster.Moments {
	prompt := p.req.PromptTokens
	if p.req.Prefix != 0 {
		prompt -= p.req.CachedTokens
	}
	s := forecaster.Sequence{Prompt: prompt, Produced: produced, Length: p.length}
	return forecaster.MomentsOf(s, o.cfg.BlockTokens)
}

// item returns what the queue needs to know of p.
func (o *Owner) item(p *permit) scheduler.Item[*permit] {
	r := &p.req
	lane := scheduler.Short
	if p.expected >= float64(o.cfg.LongTokens) {
		lane = scheduler.Long
	}
	run := o.runTime(r, p.expected)
	order := r.Arrived.Add(min(run, o.cfg.AgeBound))
	var expires time.Time
	if !r.Deadline.IsZero() {
		likely := p.length.Quantile(0, o.cfg.MinChance)
		expires = r.Deadline.Add(-o.runTime(r, float64(likely)))
		if expires.Before(order) {
			order = expires
		}
	}
	return scheduler.Item[*permit]{
		Value: p, Customer: r.Customer, Level: r.Level, Weight: r.Weight, Lane: lane,
		Cost: float64(r.uncached()) + p.expected, Work: o.work(p),
		Arrived: r.Arrived, Order: order, Due: r.Arrived.Add(time.Duration(dueShare * float64(o.cfg.AgeBound))), Expires: expires,
		MaxRunning: r.Limits.MaxRunning, TokensPerSecond: r.Limits.TokensPerSecond,
	}
}

// runTime returns how long r takes for a number of output tokens.
func (o *Owner) runTime(r *Request, tokens float64) time.Duration {
	prefill := float64(r.uncached()) * float64(o.cfg.Step.PerPrefillToken)
	return time.Duration(tokens*float64(o.clock.step) + prefill)
}

// work returns the load of p in steps of the whole engine: the larger of its
// part of the memory and of the batch, over the steps that it is expected to
// take.
func (o *Owner) work(p *permit) float64 {
	mean, variance := p.length.Residual(0)
	held := mean*float64(p.req.PromptTokens) + (mean*mean+variance)/2
	return max(held/float64(o.cfg.MemoryTokens), mean/float64(o.batchLimit()))
}

// batch returns the number of sequences that the engine should be running.
func (o *Owner) batch() int {
	return o.counts[scheduler.Short] + o.counts[scheduler.Long] + len(o.foreign)
}

// batchLimit returns the largest batch that keeps the gap between tokens.
func (o *Owner) batchLimit() int {
	bound := time.Duration(gapMargin * float64(o.cfg.GapTarget))
	return min(o.fit.largestBatch(bound), o.cfg.MaxBatch)
}

// memory returns the tokens that sequences may hold.
func (o *Owner) memory() float64 {
	memory := float64(o.cfg.MemoryTokens - o.shared)
	if !o.cautious.IsZero() {
		memory *= cautiousShare
	}
	return memory
}

// hasRoom reports whether the engine has room for a queued job.
func (o *Owner) hasRoom(e *scheduler.Entry[*permit]) bool {
	p := e.Value
	if o.batch() == 0 {
		return true
	}
	if !o.batchHasRoom(e.Lane) {
		return false
	}
	if !o.prefill.allows(p.req.uncached(), o.prefillChunk(), o.clock.now.steps) {
		return false
	}
	memory := o.memory() - float64(o.prefixCost(p))
	deviations := o.margin.deviations()
	if o.total.Peak(&p.moments, deviations) > memory {
		return false
	}
	return o.lanes[e.Lane].Peak(&p.moments, deviations) <= o.share(e.Lane)*memory
}

// batchHasRoom reports whether the batch has room for a job of lane k.
func (o *Owner) batchHasRoom(k scheduler.Lane) bool {
	limit := o.batchLimit()
	if o.batch() >= limit {
		return false
	}
	return float64(o.counts[k]) < o.share(k)*float64(limit)
}

// share returns the part of the engine that jobs of lane k may fill.
func (o *Owner) share(k scheduler.Lane) float64 {
	if k == scheduler.Long {
		return o.cfg.LongShare
	}
	if o.queue.Waiting(scheduler.Long) > 0 {
		return o.cfg.ShortShare
	}
	return 1
}

// schedule grants what has room and appends the grants to actions.
func (o *Owner) schedule(actions []Action) []Action {
	if o.leaving || o.queue.Len() == 0 {
		return actions
	}
	o.refreshStale()
	for {
		e := o.queue.Next(o.now, o.fits)
		if e == nil {
			return actions
		}
		actions = append(actions, o.grant(e.Value))
	}
}

// grant starts a permit that the queue has given out.
func (o *Owner) grant(p *permit) Action {
	asserter.That(!o.leaving, asserter.NoWorkWhileLeaving, "granted at a leaving endpoint")
	k := p.entry.Lane
	o.wait[k].observe(p.promised, o.now.Sub(p.enqueuedAt))
	o.prefill.add(p.req.uncached(), o.prefillChunk(), o.clock.now.steps)
	p.grantedAt = o.now
	p.startStep = o.clock.now.steps + float64(o.runTime(&p.req, 0))/float64(o.clock.step)
	p.priority = o.enginePriority(p)
	p.charged = p.expected
	o.insert(p)
	return Action{Kind: Grant, ID: p.req.ID, EnginePriority: p.priority}
}

// insert counts p as running at the engine.
func (o *Owner) insert(p *permit) {
	p.state = running
	p.slot = len(o.granted)
	o.granted = append(o.granted, p)
	o.counts[p.entry.Lane]++
	o.holdPrefix(p)
	o.total.Add(&p.moments)
	o.lanes[p.entry.Lane].Add(&p.moments)
}

// remove takes a granted permit out and settles the charge for what it has
// produced.
func (o *Owner) remove(p *permit, produced int) {
	k := p.entry.Lane
	if !p.gone() {
		o.counts[k]--
		o.total.Remove(&p.moments)
		o.lanes[k].Remove(&p.moments)
	}
	o.dropPrefix(p)
	last := o.granted[len(o.granted)-1]
	o.granted[p.slot] = last
	last.slot = p.slot
	o.granted[len(o.granted)-1] = nil
	o.granted = o.granted[:len(o.granted)-1]
	o.queue.Charge(o.now, p.entry, float64(produced)-p.charged)
	o.queue.Finish(o.now, p.entry)
}

// refreshStale computes the forecast anew if it is old.
func (o *Owner) refreshStale() {
	if o.now.Sub(o.refreshed) >= refreshAfter {
		o.refresh()
	}
}

// refresh computes the forecast anew from what each sequence should have
// produced by now.
func (o *Owner) refresh() {
	o.refreshed = o.now
	o.total, o.lanes, o.counts = forecaster.Forecast{}, [2]forecaster.Forecast{}, [2]int{}
	for _, p := range o.granted {
		if p.gone() {
			continue
		}
		produced := p.produced(o.clock.now.steps)
		p.length.Dist = o.est.Distribution(p.class)
		p.moments = o.momentsOf(p, produced)
		k := p.entry.Lane
		o.counts[k]++
		o.total.Add(&p.moments)
		o.lanes[k].Add(&p.moments)
		if extra := float64(produced) - p.charged; extra > 0 {
			o.queue.Charge(o.now, p.entry, extra)
			p.charged += extra
		}
	}
	o.addForeign()
}

// addForeign counts the sequences that the owner holds no permit for.
func (o *Owner) addForeign() {
	if len(o.foreign) == 0 {
		return
	}
	length := estimator.Bounded{Dist: o.est.Distribution(estimator.Class{})}
	for _, f := range o.foreign {
		produced := max(int(o.clock.now.steps-f.startStep), 0)
		s := forecaster.Sequence{Prompt: f.prompt, Produced: produced, Length: length}
		m := forecaster.MomentsOf(s, o.cfg.BlockTokens)
		o.total.Add(&m)
	}
}
