package admitter

const bandsPerLevel = 4 // Number of engine priorities per priority level.

// enginePriority returns the priority of p at the engine, which preempts the
// highest number first. It orders by priority level, then by band. Within a level,
// the band increases with the slack before the latest start, which has the weight
// of stall time, and with the expected output, which has the weights of preemptions
// and token gap, since a longer sequence frees more memory. Bands are wide: within
// a band the engine preempts the latest sequence first, which loses little work.
func (o *Owner) enginePriority(p *permit) int {
	w := o.cfg.Weights
	weightSum := w.StallTime + w.Preemptions + w.TokenGap
	if weightSum <= 0 {
		return p.req.Level * bandsPerLevel
	}
	slack := 1.0
	if !p.entry.LatestStart.IsZero() {
		slack = float64(p.entry.LatestStart.Sub(o.now)) / float64(2*o.cfg.MaxQueueWait)
	}
	size := p.expectedTokens / float64(4*o.cfg.LongJobTokens)
	score := w.StallTime*min(max(slack, 0), 1) + (w.Preemptions+w.TokenGap)*min(size, 1)
	return p.req.Level*bandsPerLevel + min(int(score/weightSum*bandsPerLevel), bandsPerLevel-1)
}
