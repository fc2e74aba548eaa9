package admitter

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
)

const (
	leastChunk   = 256.0 // Prompt tokens that each step may compute at least.
	chunksAhead  = 1.0   // Steps of prefill that may be in flight.
	marginStep   = 0.3   // Deviations added for a report with preemptions.
	marginDecay  = 0.01  // Deviations taken back for a second without.
	marginLowest = -0.5  // Bounds of the change.
	marginMost   = 2.5
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

// margin is how many deviations above the mean the forecast is read. It grows
// with each report of preemptions and falls slowly without.
type margin struct {
	base   float64
	extra  float64
	ticked time.Time
}

// newMargin returns the margin for a quantile.
func newMargin(quantile float64) margin { return margin{base: forecaster.Deviations(quantile)} }

// deviations returns the present margin.
func (m *margin) deviations() float64 { return m.base + m.extra }

// raise reacts to preemptions.
func (m *margin) raise() { m.extra = min(m.extra+marginStep, marginMost) }

// tick lets the margin fall.
func (m *margin) tick(now time.Time) {
	if !m.ticked.IsZero() {
		m.extra = max(m.extra-marginDecay*now.Sub(m.ticked).Seconds(), marginLowest)
	}
	m.ticked = now
}

// prefix is a part of prompts that several sequences share.
type prefix struct {
	tokens int
	users  int
}

// prefixCost returns the tokens of the shared prefix that p would add.
func (o *Owner) prefixCost(p *permit) int {
	if p.req.Prefix == 0 {
		return 0
	}
	return max(p.req.CachedTokens-o.prefixes[p.req.Prefix].tokens, 0)
}

// holdPrefix counts p as a user of its prefix.
func (o *Owner) holdPrefix(p *permit) {
	if p.req.Prefix == 0 {
		return
	}
	cost := o.prefixCost(p)
	x := o.prefixes[p.req.Prefix]
	x.tokens += cost
	x.users++
	o.shared += cost
	o.prefixes[p.req.Prefix] = x
}

// dropPrefix takes back holdPrefix.
func (o *Owner) dropPrefix(p *permit) {
	if p.req.Prefix == 0 {
		return
	}
	x := o.prefixes[p.req.Prefix]
	x.users--
	if x.users > 0 {
		o.prefixes[p.req.Prefix] = x
		return
	}
	o.shared -= x.tokens
	delete(o.prefixes, p.req.Prefix)
}

const priorityBands = 4 // Engine priorities of one level.

// enginePriority returns the priority of p at the engine. Levels come first.
// Within a level the victim of a preemption should be one that has slack, by the
// weight of stall time, and one that frees much memory, by the weights of
// preemptions and token gap. Bands are wide, so that the engine's own order, the
// latest first, decides within one and little work is lost.
func (o *Owner) enginePriority(p *permit) int {
	w := o.cfg.Weights
	sum := w.StallTime + w.Preemptions + w.TokenGap
	if sum <= 0 {
		return p.req.Level * priorityBands
	}
	slack := 1.0
	if !p.entry.Expires.IsZero() {
		slack = float64(p.entry.Expires.Sub(o.now)) / float64(2*o.cfg.AgeBound)
	}
	size := p.expected / float64(4*o.cfg.LongTokens)
	score := w.StallTime*min(max(slack, 0), 1) + (w.Preemptions+w.TokenGap)*min(size, 1)
	return p.req.Level*priorityBands + min(int(score/sum*priorityBands), priorityBands-1)
}
