package admitter

import "time"

const (
	maxMissedReports   = 3               // Consecutive reports without a sequence after which it is presumed ended.
	arrivalGracePeriod = 5 * time.Second // Time allowed for a granted request to reach the engine.
)

// Observe processes a load report of the engine. A report that is not newer than
// the last one is ignored.
func (o *Owner) Observe(now time.Time, r LoadReport) []Action {
	o.advance(now)
	if r.At.After(now) {
		r.At = now
	}
	if !r.At.After(o.lastReport.At) {
		return nil
	}
	if r.Preemptions > o.lastReport.Preemptions && !o.lastReport.At.IsZero() {
		o.margin.increase()
	}
	o.lastReport = r
	if r.StepTime > 0 && r.Running > 0 {
		o.stepTimeFit.observe(r.Running, r.StepTime)
		o.stepCounter.stepTime = o.stepTimeFit.predict(o.batchSize())
	}
	o.reconcile(&r)
	o.refreshForecast()
	if r.ShuttingDown && !o.shuttingDown {
		return o.StopAdmission(now)
	}
	return o.checkInvariants(o.schedule(nil))
}

// reconcile corrects the extrapolated output lengths by a load report. It
// compares them at the time of the report, not of its arrival.
func (o *Owner) reconcile(r *LoadReport) {
	if len(r.Sequences) == 0 && r.Running > 0 {
		return // The report omits the individual sequences.
	}
	stepAtReport := o.stepCounter.stepsAt(r.At)
	listed := make(map[PermitID]bool, len(r.Sequences))
	o.untracked = o.untracked[:0]
	for _, s := range r.Sequences {
		listed[s.ID] = true
		p, ok := o.permits[s.ID]
		if ok && p.state != queued {
			p.startStep = stepAtReport - float64(s.Produced)
			p.reported, p.missedReports = true, 0
			continue
		}
		if e, isFinal := o.finalAnswers.get(s.ID); isFinal && !e.at.Before(r.At) {
			continue
		}
		o.untracked = append(o.untracked, untrackedSequence{prompt: s.PromptTokens, startStep: stepAtReport - float64(s.Produced)})
	}
	if len(r.Sequences) < r.Running {
		return
	}
	for _, p := range o.granted {
		shouldBeListed := p.reported || r.At.Sub(p.grantedAt) > arrivalGracePeriod
		if !listed[p.req.ID] && shouldBeListed && p.grantedAt.Before(r.At) {
			p.missedReports++
		}
	}
}
