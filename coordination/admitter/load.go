package admitter

import "time"

const (
	absentReports = 3               // Reports without a sequence after which it counts as gone.
	arrivalGrace  = 5 * time.Second // Time for a granted request to reach the engine.
)

// Observe takes a load report of the engine. A report older than the last one
// is ignored.
func (o *Owner) Observe(now time.Time, r LoadReport) []Action {
	o.advance(now)
	if r.At.After(now) {
		r.At = now
	}
	if !r.At.After(o.report.At) {
		return nil
	}
	if r.Preemptions > o.report.Preemptions && !o.report.At.IsZero() {
		o.margin.raise()
	}
	o.report = r
	if r.Step > 0 && r.Running > 0 {
		o.fit.observe(r.Running, r.Step)
		o.clock.step = o.fit.step(o.batch())
	}
	o.compare(&r)
	o.refresh()
	if r.Leaving && !o.leaving {
		return o.Leave(now)
	}
	return o.finish(o.schedule(nil))
}

// compare corrects the dead-reckoned lengths by a report, at its own time.
func (o *Owner) compare(r *LoadReport) {
	if len(r.Sequences) == 0 && r.Running > 0 {
		return // The report leaves them out.
	}
	step := o.clock.at(r.At)
	listed := make(map[PermitID]bool, len(r.Sequences))
	o.foreign = o.foreign[:0]
	for _, s := range r.Sequences {
		listed[s.ID] = true
		p, ok := o.live[s.ID]
		if ok && p.state != queued {
			p.startStep = step - float64(s.Produced)
			p.seen, p.absent = true, 0
			continue
		}
		if e, ended := o.ended.find(s.ID); ended && !e.at.Before(r.At) {
			continue
		}
		o.foreign = append(o.foreign, foreign{prompt: s.Prompt, startStep: step - float64(s.Produced)})
	}
	if len(r.Sequences) < r.Running {
		return
	}
	for _, p := range o.granted {
		known := p.seen || r.At.Sub(p.grantedAt) > arrivalGrace
		if !listed[p.req.ID] && known && p.grantedAt.Before(r.At) {
			p.absent++
		}
	}
}
