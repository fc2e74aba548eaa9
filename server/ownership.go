package server

import (
	"context"
	"time"

	"monsoonspar.example/coordination/prober"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"
)

const ownershipInterval = 250 * time.Millisecond

// followMembers keeps the owned endpoints in step with membership until ctx
// ends.
func (s *Server) followMembers(ctx context.Context) {
	for s.clock.Sleep(ctx, ownershipInterval) == nil {
		s.handOver()
		s.permits.moved(ctx)
	}
}

// memberChanged takes news of a member.
func (s *Server) memberChanged(c prober.Changed) {
	if c.Member.State == prober.StateDead && c.Was != prober.StateDead {
		s.log.Warn().Str("daemon", c.Member.Name).Msg("members: daemon is dead")
		s.owners.lose(c.Member.Name)
	}
}

// handOver drops the endpoints that another daemon owns now.
func (s *Server) handOver() {
	cat := s.catalog.Load()
	if cat == nil {
		return
	}
	for _, name := range s.owners.owned() {
		e, ok := cat.endpoints[name]
		if !ok || e.Draining || !s.owns(e) {
			s.owners.drop(name)
		}
	}
}

// owns reports whether this daemon is the owner of an endpoint.
func (s *Server) owns(e cataloger.Endpoint) bool {
	owner, ok := router.OwnerOf(e.Name, s.members.candidates(e.Domain))
	return ok && owner == s.members.self()
}

// polled returns the endpoints whose load this daemon reads: those that it owns
// by membership, of either kind.
func (s *Server) polled() []string {
	cat := s.catalog.Load()
	if cat == nil {
		return nil
	}
	var names []string
	for _, e := range cat.manifest.Endpoints {
		if s.owns(e) {
			names = append(names, e.Name)
		}
	}
	return names
}
