package admitter

import "time"

const (
	minChunkTokens   = 256.0 // Lower bound of the prompt tokens prefilled per step.
	maxPendingChunks = 1.0   // Limit of pending prefill, in chunks of one step.
)

// prefillLimiter bounds the prompt tokens pending prefill, so that prefill does not
// lengthen the time between output tokens of running sequences beyond its target.
type prefillLimiter struct {
	pendingTokens float64 // Granted prompt tokens that are not prefilled yet.
	updatedAtStep float64 // Engine step for which pendingTokens holds.
	tokensPerStep float64 // Prompt tokens prefilled per step.
}

// advance subtracts the tokens prefilled up to the current engine step.
func (p *prefillLimiter) advance(currentStep float64) {
	p.pendingTokens = max(p.pendingTokens-(currentStep-p.updatedAtStep)*p.tokensPerStep, 0)
	p.updatedAtStep = currentStep
}

// allows reports whether a prompt with the given number of uncached tokens may be
// granted, if each step prefills chunkTokens. Without pending prefill it allows any
// number.
func (p *prefillLimiter) allows(tokens int, chunkTokens, currentStep float64) bool {
	p.advance(currentStep)
	return p.pendingTokens <= 0 || p.pendingTokens+float64(tokens) <= maxPendingChunks*chunkTokens
}

// add adds tokens to the pending prefill.
func (p *prefillLimiter) add(tokens int, chunkTokens, currentStep float64) {
	p.advance(currentStep)
	p.pendingTokens += float64(tokens)
	p.tokensPerStep = chunkTokens
}

// emptyAt returns when the pending prefill will be complete.
func (p *prefillLimiter) emptyAt(c *stepCounter) time.Time {
	if p.pendingTokens <= 0 || p.tokensPerStep <= 0 {
		return c.current.at
	}
	steps := p.updatedAtStep + p.pendingTokens/p.tokensPerStep - c.current.steps
	return c.current.at.Add(time.Duration(steps * float64(c.stepTime)))
}

// prefillChunkTokens returns the number of prompt tokens that a step can prefill
// within the target for the time between tokens.
func (o *Owner) prefillChunkTokens() float64 {
	spareTime := stepGapFraction*float64(o.cfg.TokenGapTarget) - float64(o.stepCounter.stepTime)
	return max(spareTime/float64(o.cfg.Step.PerPrefillToken), minChunkTokens)
}
