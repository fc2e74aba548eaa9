package server

import (
	"context"
	"time"

	"monsoonspar.example/coordination/prober"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"
)

const ownershipInterval = 250 * time.Millisecond

// ownershipBasis is what ownership is worked out from.
type ownershipBasis struct {
	members    uint64 // Changes of the view of members.
	generation cataloger.Generation
}

// followMembers keeps the owned endpoints in step with membership and manifest
// until ctx ends. It works ownership out anew only when one of them changes.
func (s *Server) followMembers(ctx context.Context) {
	var last ownershipBasis
	for s.clock.Sleep(ctx, ownershipInterval) == nil {
		basis := ownershipBasis{members: s.members.changes(), generation: s.generationInForce()}
		if basis == last && !s.stopping.Load() {
			continue
		}
		if basis.generation != last.generation {
			s.owners.reconfigure()
		}
		last = basis
		s.updateOwned()
		s.handOver()
		s.permits.moved(ctx)
	}
}

// memberChanged takes news of a member.
func (s *Server) memberChanged(c prober.MemberChanged) {
	if c.Member.State == prober.StateDead && c.Previous != prober.StateDead {
		s.log.Warn().Str("daemon", c.Member.Name).Msg("members: daemon is dead")
		s.owners.lose(c.Member.Name)
	}
}

// updateOwned works out which endpoints of either kind this daemon owns.
func (s *Server) updateOwned() {
	cat := s.catalog.Load()
	if cat == nil {
		return
	}
	var names []string
	for _, e := range cat.manifest.Endpoints {
		if s.owns(e) {
			names = append(names, e.Name)
		}
	}
	s.ownedNames.Store(&names)
}

// owns reports whether this daemon is the owner of an endpoint.
func (s *Server) owns(e cataloger.Endpoint) bool {
	owner, ok := router.OwnerOf(e.Name, s.members.candidates(e.Domain))
	return ok && owner == s.members.self()
}

// polled returns the endpoints whose load this daemon reads.
func (s *Server) polled() []string {
	names := s.ownedNames.Load()
	if names == nil {
		return nil
	}
	return *names
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
