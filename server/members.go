package server

import (
	"context"
	"math/rand/v2"
	"sync"

	"monsoonspar.example/coordination/prober"
	"monsoonspar.example/protocol/messenger"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/timekeeper"
)

// anyDomain is the key under which the candidates of all domains are cached.
const anyDomain = ""

// metaDraining is the metadata that a daemon publishes in the membership while it
// hands its endpoints over.
const metaDraining = "draining"

// membership runs the membership protocol and caches the candidates for ownership.
type membership struct {
	clock      timekeeper.Clock
	peerClient *messenger.Messenger
	spawn      func(func())
	notify     func(prober.MemberChanged)

	mu                 sync.Mutex
	core               *prober.Prober
	candidatesByDomain map[string][]string // Results of candidates for cachedVersion.
	cachedVersion      uint64              // View version that candidatesByDomain was computed from.
}

// newMembership returns a membership that contains only the daemon itself.
func newMembership(self prober.Member, seeds []string, peerClient *messenger.Messenger, clock timekeeper.Clock, rnd *rand.Rand) *membership {
	m := &membership{clock: clock, peerClient: peerClient, core: prober.New(prober.DefaultSettings(), self, rnd)}
	m.core.SetSeeds(seeds)
	return m
}

// run probes the other members until ctx ends.
func (m *membership) run(ctx context.Context, sleeper timekeeper.Sleeper) {
	for sleeper.Sleep(ctx, prober.TickInterval) == nil {
		m.mu.Lock()
		actions := m.core.Tick(m.clock.Now())
		m.mu.Unlock()
		m.doActions(ctx, actions)
	}
}

// receive handles a message of another daemon.
func (m *membership) receive(ctx context.Context, msg prober.Message) {
	m.mu.Lock()
	actions := m.core.Receive(m.clock.Now(), msg)
	m.mu.Unlock()
	m.doActions(ctx, actions)
}

// doActions carries out actions of the core. Messages may be lost.
func (m *membership) doActions(ctx context.Context, actions []prober.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case prober.Send:
			m.spawn(func() {
				ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
				defer cancel()
				_ = m.peerClient.SendGossip(ctx, a.Addr, a.Message) // The protocol tolerates lost messages.
			})
		case prober.MemberChanged:
			m.notify(a)
		}
	}
}

// setGeneration publishes the generation of the manifest in force at this daemon.
func (m *membership) setGeneration(g cataloger.Generation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.SetGeneration(g)
}

// setDraining publishes that this daemon no longer owns endpoints.
func (m *membership) setDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.SetMeta(metaDraining)
	m.candidatesByDomain = nil
}

// leave announces that this daemon is leaving the membership.
func (m *membership) leave(ctx context.Context) {
	m.mu.Lock()
	actions := m.core.Leave(m.clock.Now())
	m.mu.Unlock()
	for _, a := range actions {
		if s, ok := a.(prober.Send); ok {
			_ = m.peerClient.SendGossip(ctx, s.Addr, s.Message) // If the message is lost, the other daemons detect the failure by probing.
		}
	}
}

// self returns the name of this daemon.
func (m *membership) self() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Self().Name
}

// all returns the members that are neither dead nor left, with this daemon first.
func (m *membership) all() []prober.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live()
}

// live implements all. The caller holds the lock.
func (m *membership) live() []prober.Member {
	live := []prober.Member{m.core.Self()}
	for _, x := range m.core.Members() {
		if !x.State.DeadOrLeft() && x.Name != live[0].Name {
			live = append(live, x)
		}
	}
	return live
}

// others returns the members that are neither dead nor left, without this daemon.
func (m *membership) others() []prober.Member { return m.all()[1:] }

// candidates returns the daemons that may own an endpoint of a failure domain: those
// in the domain, or those of all domains if it has none. The caller must not modify
// the result.
func (m *membership) candidates(domain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.core.ViewVersion(); n != m.cachedVersion || m.candidatesByDomain == nil {
		m.candidatesByDomain = m.computeCandidates()
		m.cachedVersion = n
	}
	if own := m.candidatesByDomain[domain]; len(own) > 0 {
		return own
	}
	return m.candidatesByDomain[anyDomain]
}

// computeCandidates computes the candidates of all domains. The caller holds the
// lock.
func (m *membership) computeCandidates() map[string][]string {
	byDomain := map[string][]string{}
	for _, x := range m.live() {
		if x.Meta == metaDraining || x.State != prober.StateAlive {
			continue
		}
		byDomain[anyDomain] = append(byDomain[anyDomain], x.Name)
		if x.Domain != anyDomain {
			byDomain[x.Domain] = append(byDomain[x.Domain], x.Name)
		}
	}
	return byDomain
}

// addr returns the address of a daemon.
func (m *membership) addr(daemon string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.core.Member(daemon)
	return x.Addr, ok
}

// viewVersion returns a number that changes with every change of the view.
func (m *membership) viewVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.ViewVersion()
}

// isAlive reports whether a daemon is a member that is neither dead nor left.
func (m *membership) isAlive(daemon string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.core.Member(daemon)
	return ok && !x.State.DeadOrLeft()
}

// otherDaemons returns the names of the daemons that may hold permits.
func (s *Server) otherDaemons() []string {
	var names []string
	for _, m := range s.members.others() {
		names = append(names, m.Name)
	}
	return names
}
