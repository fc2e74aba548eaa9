package admitter

import "time"

const (
	historyPoints = 128                    // Remembered points of the step count.
	historyGap    = 100 * time.Millisecond // Least time between two of them.
	fitDecay      = 0.97                   // Weight of the past when a report is added.
	fitPrior      = 3.0                    // Reports that the configured model is worth at first.
	priorBatch    = 128.0                  // Batch at which the configured model speaks.
	shortestStep  = time.Millisecond
)

// point is the number of steps done by a time.
type point struct {
	at    time.Time
	steps float64
}

// stepCounter dead-reckons how many decode steps the engine has done, and
// remembers enough of the past to compare with a report of that time.
type stepCounter struct {
	now     point
	history []point
	step    time.Duration // Time of one step at present.
}

// advance counts the steps until now.
func (c *stepCounter) advance(now time.Time) {
	if c.now.at.IsZero() {
		c.now.at = now
	}
	elapsed := now.Sub(c.now.at)
	if elapsed <= 0 {
		return
	}
	c.now = point{at: now, steps: c.now.steps + float64(elapsed)/float64(c.step)}
	if n := len(c.history); n > 0 && now.Sub(c.history[n-1].at) < historyGap {
		return
	}
	if len(c.history) == historyPoints {
		copy(c.history, c.history[1:])
		c.history = c.history[:historyPoints-1]
	}
	c.history = append(c.history, c.now)
}

// at returns the number of steps done by t, a time not after the present.
func (c *stepCounter) at(t time.Time) float64 {
	after := c.now
	for i := len(c.history) - 1; i >= 0; i-- {
		before := c.history[i]
		if before.at.After(t) {
			after = before
			continue
		}
		span := after.at.Sub(before.at)
		if span <= 0 {
			return before.steps
		}
		part := float64(t.Sub(before.at)) / float64(span)
		return before.steps + min(part, 1)*(after.steps-before.steps)
	}
	return after.steps - float64(after.at.Sub(t))/float64(c.step)
}

// stepFit learns the time of a step as a line over the size of the batch, by
// least squares with decaying weights.
type stepFit struct {
	n, x, y, xx, xy float64
	prior           StepModel
}

// newStepFit returns a fit that starts from the configured model.
func newStepFit(m StepModel) stepFit {
	f := stepFit{prior: m}
	for range int(fitPrior) {
		f.add(1, m.Base+m.PerSequence)
		f.add(priorBatch, m.Base+time.Duration(priorBatch*float64(m.PerSequence)))
	}
	return f
}

// observe adds the step time of a report.
func (f *stepFit) observe(batch int, step time.Duration) {
	f.n *= fitDecay
	f.x *= fitDecay
	f.y *= fitDecay
	f.xx *= fitDecay
	f.xy *= fitDecay
	f.add(float64(batch), step)
}

// add counts one point.
func (f *stepFit) add(x float64, step time.Duration) {
	y := float64(step)
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
}

// line returns the time of a step with an empty batch and the time that each
// sequence adds, at least a tenth of the configured one.
func (f *stepFit) line() (base, perSequence float64) {
	least := float64(f.prior.PerSequence) / 10
	perSequence = least
	if d := f.n*f.xx - f.x*f.x; d > 0 {
		perSequence = max((f.n*f.xy-f.x*f.y)/d, least)
	}
	return max((f.y-perSequence*f.x)/f.n, 0), perSequence
}

// step returns the time of a step with the given batch.
func (f *stepFit) step(batch int) time.Duration {
	base, per := f.line()
	return max(time.Duration(base+per*float64(batch)), shortestStep)
}

// largestBatch returns the largest batch whose step stays within bound, at
// least one.
func (f *stepFit) largestBatch(bound time.Duration) int {
	base, per := f.line()
	if per <= 0 {
		return 1 << 30
	}
	return max(int((float64(bound)-base)/per), 1)
}
