package placer

import (
	"cmp"
	"slices"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/registrar"
)

// destination is an engine that a run could move to, and what that costs in
// parts of an engine's memory.
type destination struct {
	engine *engine
	cost   float64
}

// moveCost returns what it costs to move a run with moments m here, and false
// if there is no room.
func (e *engine) moveCost(p *Placer, m *forecaster.Moments, from string, now time.Time) (float64, bool) {
	e.refresh(p, now)
	if e.sequences >= p.cfg.Slots || !e.fitsNow(p, m) {
		return 0, false
	}
	peak := e.peak(p, m)
	cost := peak + moveJitter*jitter(0, e.hash)
	if e.endpoint.Domain != from {
		cost += farMove
	}
	if peak > fullPeak {
		cost += overfull
	}
	if now.Sub(e.arrival) < linkBusy {
		cost += busyLink
	}
	return cost, true
}

// spread returns one of the best candidates. Several engines often leave at the
// same moment, and other daemons choose for their runs before they hear of each
// other's choice. The n-th engine that leaves therefore takes the n-th best
// destination. The mutex is held.
func (p *Placer) spread(candidates []destination, source registrar.Endpoint) *engine {
	slices.SortFunc(candidates, func(a, b destination) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.engine.endpoint.Name, b.engine.endpoint.Name))
	})
	alike := 0
	for alike < len(candidates) && candidates[alike].cost <= candidates[0].cost+spreadCost {
		alike++
	}
	before := 0
	for _, e := range p.engines {
		if !e.leaving.IsZero() && len(e.runs) > 0 && e.endpoint.Domain == source.Domain && e.endpoint.Name < source.Name {
			before++
		}
	}
	return candidates[before%alike].engine
}

// homeless returns the memory of runs that must still leave their engines, as a
// part of the memory of all engines that stay. New jobs leave it free. The mutex
// is held.
func (p *Placer) homeless(now time.Time) float64 {
	held, stay := 0.0, 0
	for _, e := range p.engines {
		if e.leaving.IsZero() {
			stay++
			continue
		}
		if now.Sub(e.leaving) > leaveTime {
			continue
		}
		for id, r := range e.runs {
			if _, moving := p.arriving[id]; !moving {
				held += float64(r.job.Prompt + r.job.Produced)
			}
		}
	}
	return held / float64(max(stay, 1)*max(p.cfg.MemoryTokens, 1))
}
