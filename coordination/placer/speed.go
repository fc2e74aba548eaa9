package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"monsoonspar.example/state/gauger"
	"monsoonspar.example/state/registrar"
)

// Parameters of the speeds of engines.
const (
	minGrowthInterval = 150 * time.Millisecond // Reports closer together don't tell the growth of their sequences.
	maxGrowthInterval = 2 * time.Second        // Likewise of reports further apart, between which the load has changed.
	stepPerSequence   = 0.017                  // Relative increase of a decode step for each sequence in the batch, from published engine data; a full engine is not a slow one.
	minSpeed          = 0.2                    // Limits on the learned speed.
	maxSpeed          = 5.0
	speedAge          = 100 * time.Millisecond // Speeds are compared at most this often.
	slowTargetCost    = 0.3                    // Cost of migrating to an engine that takes twice the usual time, in fractions of its memory.
	toldRatio         = 1.3                    // Smaller changes of a speed are not worth a log line.
	toldInterval      = 10 * time.Second       // Minimum time between two log lines about an engine.
)

// recordGrowth records how fast the sequences of an engine grew since its previous
// report. Sequences that were preempted did not grow.
func (e *engine) recordGrowth(r *Report, now time.Time) {
	elapsed := now.Sub(e.reportedAt)
	if e.reportedAt.IsZero() || elapsed < minGrowthInterval || elapsed > maxGrowthInterval {
		return
	}
	grown, n := 0, 0
	for i := range r.Sequences {
		s := &r.Sequences[i]
		if !e.listed[s.ID] {
			continue
		}
		for j := range e.report.Sequences {
			if old := &e.report.Sequences[j]; old.ID == s.ID && old.Events > 0 && s.Tokens > old.Tokens {
				grown += s.Tokens - old.Tokens
				n++
			}
		}
	}
	if n > 0 {
		batch := 1 + stepPerSequence*float64(len(r.Sequences))
		e.growth.Record(batch*float64(grown)/float64(n)/milliseconds(elapsed), now)
	}
}

// recordPrefill records the time that the engine took until the first event of a run of this daemon. The
// updates of peers come in batches, so that the time between two of them says little.
func (e *engine) recordPrefill(r *run, now time.Time) {
	if r.remote {
		return
	}
	if waited := milliseconds(now.Sub(r.addedAt)); r.firstEventAt.IsZero() && r.prefillAhead > 0 && waited > 0 {
		e.prefill.Record(r.prefillAhead/waited, now)
	}
}

// updateSpeeds compares the engines. The configured speed is that of the mean engine, and
// of those that equal it within the uncertainty. The mutex is held.
func (p *Placer) updateSpeeds(now time.Time) {
	if age := now.Sub(p.speedsAt); age >= 0 && age < speedAge {
		return
	}
	p.speedsAt = now
	growths, prefills := make([]gauger.Measured, 0, len(p.engines)), make([]gauger.Measured, 0, len(p.engines))
	all := slices.Collect(maps.Values(p.engines))
	// Sums of floating-point numbers depend on their order.
	slices.SortFunc(all, func(a, b *engine) int { return cmp.Compare(a.endpoint.Name, b.endpoint.Name) })
	for _, e := range all {
		growths = append(growths, e.growth.Measured(now))
		prefills = append(prefills, e.prefill.Measured(now))
	}
	gauger.Normalize(growths)
	gauger.Normalize(prefills)
	for i, e := range all {
		speed := min(max(gauger.Combine(growths[i], prefills[i]), minSpeed), maxSpeed)
		e.dirty = e.dirty || speed != e.speed
		e.speed = speed
	}
}

// slowed returns a time at the configured speed as it is on the engine.
func (e *engine) slowed(d time.Duration) time.Duration {
	if e == nil || e.speed == 0 || e.speed == 1 {
		return d
	}
	return time.Duration(float64(d) / e.speed)
}

// stepTime returns the time of a decode step on the engine.
func (e *engine) stepTime(p *Placer) time.Duration { return max(e.slowed(p.cfg.StepTime), 1) }

// prefillRate returns the prompt tokens per millisecond that the engine processes while it
// runs other sequences.
func (e *engine) prefillRate(p *Placer) float64 {
	if e.speed == 0 {
		return p.prefillRate()
	}
	return p.prefillRate() * e.speed
}

// slownessCost returns the part of the cost of placing a job that is due to the engine's
// speed, in milliseconds; zero at the configured speed.
func (e *engine) slownessCost(p *Placer, job *Job) float64 {
	if e.knownSpeed() == 1 {
		return 0
	}
	usual := p.prefillTime(job)
	return milliseconds(e.slowed(usual)-usual) + float64(e.sequences)*(milliseconds(e.slowed(sequenceCost))-milliseconds(sequenceCost))
}

// sequenceCost is sequenceCostMs as a time.
const sequenceCost = time.Duration(sequenceCostMs * float64(time.Millisecond))

// Speeds returns the speeds of the engines; 1 is the configured speed.
func (p *Placer) Speeds() map[registrar.Identity]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	speeds := make(map[registrar.Identity]float64, len(p.engines))
	for id, e := range p.engines {
		speeds[id] = e.knownSpeed()
	}
	return speeds
}

// knownSpeed returns the speed, which is 1 until the engines are compared.
func (e *engine) knownSpeed() float64 {
	if e.speed == 0 {
		return 1
	}
	return e.speed
}

// SpeedChange is a large change of the speed of an engine.
type SpeedChange struct {
	Engine        registrar.Endpoint
	Before, After float64
}

// TakeSpeedChanges returns the engines whose speed has changed by at least toldRatio since
// they were last returned, each at most once in toldInterval.
func (p *Placer) TakeSpeedChanges(now time.Time) []SpeedChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []SpeedChange
	for _, e := range p.engines {
		before := e.toldSpeed
		if before == 0 {
			before = 1
		}
		if now.Sub(e.toldAt) < toldInterval || math.Abs(math.Log(e.knownSpeed()/before)) < math.Log(toldRatio) {
			continue
		}
		e.toldSpeed, e.toldAt = e.knownSpeed(), now
		changes = append(changes, SpeedChange{Engine: e.endpoint, Before: before, After: e.toldSpeed})
	}
	return changes
}
