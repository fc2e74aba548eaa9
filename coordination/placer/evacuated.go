package placer

// An engine of an evacuated failure domain gets no new jobs, migrations and backups. Unlike one that is
// shutting down, it keeps its runs: they don't migrate, and the placer knows them when the evacuation ends.

// SetEvacuated sets the failure domains whose engines must get no new work.
func (p *Placer) SetEvacuated(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = make(map[string]bool, len(domains))
	for _, d := range domains {
		p.evacuated[d] = true
	}
	for _, e := range p.engines {
		e.evacuated = p.evacuated[e.endpoint.Domain]
	}
}

// isOpen reports whether the engine is neither shutting down nor evacuated.
func (e *engine) isOpen() bool { return e.unusableSince.IsZero() && !e.evacuated }

// allows reports whether the allowed regions of a job permit the engine.
func (p *Placer) allows(job *Job, e *engine) bool {
	return p.cfg.Regions.Allows(job.AllowedRegions, e.endpoint.Domain)
}

// openEngines returns the number of engines that are known and not evacuated. The mutex is held.
func (p *Placer) openEngines() int {
	n := 0
	for _, e := range p.engines {
		if !e.evacuated {
			n++
		}
	}
	return n
}
