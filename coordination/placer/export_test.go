package placer

// Describe returns where a placer believes a job of a peer to be.
func (p *Placer) Describe(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := ""
	if r := p.runOf(id); r != nil {
		s += "on " + p.engineOf[id].Name
		if !r.firstEventAt.IsZero() {
			s += ", started"
		}
	}
	if p.remoteQueue[id] != nil {
		s += ", queued"
	}
	if m := p.migrationOf(id); m != nil {
		s += ", migrating"
	}
	return s
}
