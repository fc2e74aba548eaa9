package server

import (
	"context"
	"time"

	"monsoonspar.example/coordination/prober"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"
)

const ownershipInterval = 250 * time.Millisecond

// ownershipInputs identifies the state that ownership is computed from.
type ownershipInputs struct {
	viewVersion uint64 // Version of the membership view.
	generation  cataloger.Generation
}

// runOwnership updates the owned endpoints until ctx ends. It recomputes ownership
// when the membership or the manifest has changed, and on every tick while the
// daemon is stopping.
func (s *Server) runOwnership(ctx context.Context) {
	var last ownershipInputs
	for s.clock.Sleep(ctx, ownershipInterval) == nil {
		inputs := ownershipInputs{viewVersion: s.members.viewVersion(), generation: s.generationInForce()}
		if inputs == last && !s.stopping.Load() {
			continue
		}
		if inputs.generation != last.generation {
			s.owners.reconfigure()
		}
		last = inputs
		s.updateOwned()
		s.dropUnowned()
		s.permits.reportMoved(ctx)
	}
}

// handleMemberChange handles a change of a member's state. When a daemon is declared
// dead, the admission owners at this daemon are notified. A daemon that joins is told of
// the shutdowns that this one has announced.
func (s *Server) handleMemberChange(c prober.MemberChanged) {
	if missed := s.shutdowns.missedBy(c.Member); len(missed) > 0 {
		s.spawn(func() { s.sendMissedShutdowns(c.Member, missed) })
	}
	if c.Member.State == prober.StateDead && c.Previous != prober.StateDead {
		s.log.Warn().Str("daemon", c.Member.Name).Msg("members: daemon declared dead")
		s.owners.removeDaemon(c.Member.Name)
	}
}

// updateOwned recomputes which endpoints this daemon owns, engines and plain services
// alike.
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

// owns reports whether this daemon owns an endpoint by its view of the membership.
func (s *Server) owns(e cataloger.Endpoint) bool {
	owner, ok := router.OwnerOf(e.Name, s.members.candidates(e.Domain))
	return ok && owner == s.members.self()
}

// polledEndpoints returns the endpoints whose load reports this daemon reads.
func (s *Server) polledEndpoints() []string {
	names := s.ownedNames.Load()
	if names == nil {
		return nil
	}
	return *names
}

// dropUnowned drops the admission owners of endpoints that are now owned by another
// daemon, drained, or no longer declared.
func (s *Server) dropUnowned() {
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
