package placer

import (
	"time"

	"monsoonspar.example/state/registrar"
)

// Defer records that an engine wants no requests of this daemon until a time: no jobs,
// migrations and backups.
func (p *Placer) Defer(id registrar.Identity, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[id]; e != nil && until.After(e.deferredUntil) {
		e.deferredUntil = until
	}
}

// firstOpening returns the time from which any engine of the allowed regions wants requests of
// this daemon; now if one does already, or if there is none. The mutex is held.
func (p *Placer) firstOpening(allowed []string, now time.Time) time.Time {
	var first time.Time
	for _, e := range p.engines {
		switch {
		case !e.isOpen() || !p.cfg.Regions.Allows(allowed, e.endpoint.Domain):
		case !now.Before(e.deferredUntil):
			return now
		case first.IsZero() || e.deferredUntil.Before(first):
			first = e.deferredUntil
		}
	}
	if first.IsZero() {
		return now
	}
	return first
}
