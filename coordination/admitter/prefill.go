package admitter

import "time"

const (
	leastChunk  = 256.0 // Prompt tokens that each step may compute at least.
	chunksAhead = 1.0   // Steps of prefill that may be in flight.
)

// prefill bounds the prompt tokens in flight, so that computing them does not
// stretch the gap between tokens of running sequences.
type prefill struct {
	debt float64 // Prompt tokens granted and not computed yet.
	step float64 // Step of the engine at which debt was computed.
	rate float64 // Prompt tokens computed in a step.
}

// drain counts what the engine has computed by step.
func (p *prefill) drain(step float64) {
	p.debt = max(p.debt-(step-p.step)*p.rate, 0)
	p.step = step
}

// allows reports whether tokens more may be in flight, at chunk tokens a step.
func (p *prefill) allows(tokens int, chunk, step float64) bool {
	p.drain(step)
	return p.debt <= 0 || p.debt+float64(tokens) <= chunksAhead*chunk
}

// add counts tokens as in flight.
func (p *prefill) add(tokens int, chunk, step float64) {
	p.drain(step)
	p.debt += float64(tokens)
	p.rate = chunk
}

// freeAt returns when nothing will be in flight.
func (p *prefill) freeAt(c *stepCounter) time.Time {
	if p.debt <= 0 || p.rate <= 0 {
		return c.now.at
	}
	steps := p.step + p.debt/p.rate - c.now.steps
	return c.now.at.Add(time.Duration(steps * float64(c.step)))
}

// prefillChunk returns the prompt tokens that a step can compute within the gap
// target.
func (o *Owner) prefillChunk() float64 {
	spare := gapMargin*float64(o.cfg.GapTarget) - float64(o.clock.step)
	return max(spare/float64(o.cfg.Step.PerPrefillToken), leastChunk)
}
