package admitter

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
