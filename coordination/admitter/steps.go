package admitter

import "time"

const (
	maxHistory      = 128                    // Number of samples of the step count kept.
	historyInterval = 100 * time.Millisecond // Minimum interval between two of them.
	fitDecay        = 0.97                   // Factor on earlier samples for each new one.
	priorSamples    = 3.0                    // Weight of the configured model, in samples at each of two batch sizes.
	priorBatch      = 128.0                  // Larger of the two batch sizes; the other is one.
	minStepTime     = time.Millisecond
)

// stepSample is the number of decode steps completed at a time.
type stepSample struct {
	at    time.Time
	steps float64
}

// stepCounter extrapolates the number of decode steps that the engine has
// completed. It keeps a history for comparison with reports of past times.
type stepCounter struct {
	current  stepSample
	history  []stepSample
	stepTime time.Duration // Current duration of a step.
}

// advance extrapolates the step count to now.
func (c *stepCounter) advance(now time.Time) {
	if c.current.at.IsZero() {
		c.current.at = now
	}
	elapsed := now.Sub(c.current.at)
	if elapsed <= 0 {
		return
	}
	c.current = stepSample{at: now, steps: c.current.steps + float64(elapsed)/float64(c.stepTime)}
	if n := len(c.history); n > 0 && now.Sub(c.history[n-1].at) < historyInterval {
		return
	}
	if len(c.history) == maxHistory {
		copy(c.history, c.history[1:])
		c.history = c.history[:maxHistory-1]
	}
	c.history = append(c.history, c.current)
}

// stepsAt returns the number of steps completed at t, which must not be after the
// last advance. It interpolates between samples.
func (c *stepCounter) stepsAt(t time.Time) float64 {
	after := c.current
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
		fraction := float64(t.Sub(before.at)) / float64(span)
		return before.steps + min(fraction, 1)*(after.steps-before.steps)
	}
	return after.steps - float64(after.at.Sub(t))/float64(c.stepTime)
}

// stepTimeFit fits the duration of a step as a linear function of the batch size,
// by least squares with exponentially decaying weights.
type stepTimeFit struct {
	count, sumX, sumY, sumXX, sumXY float64
	prior                           StepModel
}

// newStepTimeFit returns a fit that starts with samples of the configured model.
func newStepTimeFit(m StepModel) stepTimeFit {
	f := stepTimeFit{prior: m}
	for range int(priorSamples) {
		f.add(1, m.Base+m.PerSequence)
		f.add(priorBatch, m.Base+time.Duration(priorBatch*float64(m.PerSequence)))
	}
	return f
}

// observe adds the step time of a load report.
func (f *stepTimeFit) observe(batch int, step time.Duration) {
	f.count *= fitDecay
	f.sumX *= fitDecay
	f.sumY *= fitDecay
	f.sumXX *= fitDecay
	f.sumXY *= fitDecay
	f.add(float64(batch), step)
}

// add adds a sample.
func (f *stepTimeFit) add(x float64, step time.Duration) {
	y := float64(step)
	f.count++
	f.sumX += x
	f.sumY += y
	f.sumXX += x * x
	f.sumXY += x * y
}

// coefficients returns the duration of a step with an empty batch and the time that
// each sequence adds, which is at least a tenth of the configured value.
func (f *stepTimeFit) coefficients() (base, perSequence float64) {
	minPerSequence := float64(f.prior.PerSequence) / 10
	perSequence = minPerSequence
	if determinant := f.count*f.sumXX - f.sumX*f.sumX; determinant > 0 {
		perSequence = max((f.count*f.sumXY-f.sumX*f.sumY)/determinant, minPerSequence)
	}
	return max((f.sumY-perSequence*f.sumX)/f.count, 0), perSequence
}

// predict returns the duration of a step with the given batch size.
func (f *stepTimeFit) predict(batch int) time.Duration {
	base, perSequence := f.coefficients()
	return max(time.Duration(base+perSequence*float64(batch)), minStepTime)
}

// largestBatch returns the largest batch size, at least one, whose step takes at
// most maxStepTime.
func (f *stepTimeFit) largestBatch(maxStepTime time.Duration) int {
	base, perSequence := f.coefficients()
	if perSequence <= 0 {
		return 1 << 30
	}
	return max(int((float64(maxStepTime)-base)/perSequence), 1)
}
