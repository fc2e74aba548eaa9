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

// anyDomain stands for all domains among the candidates.
const anyDomain = ""

// metaDraining is the member data of a daemon that hands its endpoints over.
const metaDraining = "draining"

// members keeps the view of the other daemons and carries its messages.
type members struct {
	clock  timekeeper.Clock
	msg    *messenger.Messenger
	spawn  func(func())
	notify func(prober.MemberChanged)

	mu       sync.Mutex
	core     *prober.Prober
	byDomain map[string][]string // Results of candidates, as of cachedAt.
	cachedAt uint64              // Changes of the view when byDomain was made.
}

// newMembers returns a view that knows only the daemon itself.
func newMembers(self prober.Member, seeds []string, msg *messenger.Messenger, clock timekeeper.Clock, rnd *rand.Rand) *members {
	m := &members{clock: clock, msg: msg, core: prober.New(prober.DefaultSettings(), self, rnd)}
	m.core.SetSeeds(seeds)
	return m
}

// run probes until ctx ends.
func (m *members) run(ctx context.Context, sleeper timekeeper.Sleeper) {
	for sleeper.Sleep(ctx, prober.TickInterval) == nil {
		m.mu.Lock()
		actions := m.core.Tick(m.clock.Now())
		m.mu.Unlock()
		m.do(ctx, actions)
	}
}

// receive takes a message of another daemon.
func (m *members) receive(ctx context.Context, msg prober.Message) {
	m.mu.Lock()
	actions := m.core.Receive(m.clock.Now(), msg)
	m.mu.Unlock()
	m.do(ctx, actions)
}

// do carries out actions. Messages may be lost.
func (m *members) do(ctx context.Context, actions []prober.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case prober.Send:
			m.spawn(func() {
				ctx, cancel := context.WithTimeout(ctx, shortTimeout)
				defer cancel()
				_ = m.msg.SendGossip(ctx, a.Addr, a.Message) // Loss is harmless.
			})
		case prober.MemberChanged:
			m.notify(a)
		}
	}
}

// setGeneration tells the others which manifest is in force here.
func (m *members) setGeneration(g cataloger.Generation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.SetGeneration(g)
}

// drain tells the others that this daemon owns endpoints no more.
func (m *members) drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.SetMeta(metaDraining)
	m.byDomain = nil
}

// leave says goodbye.
func (m *members) leave(ctx context.Context) {
	m.mu.Lock()
	actions := m.core.Leave(m.clock.Now())
	m.mu.Unlock()
	for _, a := range actions {
		if s, ok := a.(prober.Send); ok {
			_ = m.msg.SendGossip(ctx, s.Addr, s.Message) // The others find out by themselves if it is lost.
		}
	}
}

// self returns the name of this daemon.
func (m *members) self() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Self().Name
}

// all returns the members that are not gone, this daemon included.
func (m *members) all() []prober.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live()
}

// live returns the members that are not gone. The lock is held.
func (m *members) live() []prober.Member {
	live := []prober.Member{m.core.Self()}
	for _, x := range m.core.Members() {
		if !x.State.DeadOrLeft() && x.Name != live[0].Name {
			live = append(live, x)
		}
	}
	return live
}

// others returns the members that are not gone, without this daemon.
func (m *members) others() []prober.Member { return m.all()[1:] }

// candidates returns the daemons that may own an endpoint of a failure domain:
// those of the domain, or all where it has none. They must not be changed.
func (m *members) candidates(domain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.core.ViewVersion(); n != m.cachedAt || m.byDomain == nil {
		m.byDomain = m.findCandidates()
		m.cachedAt = n
	}
	if own := m.byDomain[domain]; len(own) > 0 {
		return own
	}
	return m.byDomain[anyDomain]
}

// findCandidates works candidates out for all domains at once. The lock is held.
func (m *members) findCandidates() map[string][]string {
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
func (m *members) addr(daemon string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.core.Member(daemon)
	return x.Addr, ok
}

// changes returns a number that differs whenever the view has changed.
func (m *members) changes() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.ViewVersion()
}

// alive reports whether a daemon is not known to be gone.
func (m *members) alive(daemon string) bool {
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
