package reporter

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

// Times of the model; those of the daemons.
const (
	modelTick  = 50 * time.Millisecond
	pollPeriod = 400 * time.Millisecond
	ageLimit   = 1500 * time.Millisecond
	hop        = 150 * time.Millisecond // A batch and the way, each.

	unreachableAfter = 1600 * time.Millisecond // A sync that is not answered.
)

// model is a fleet whose daemons poll engines and send each other the reports.
type model struct {
	daemons []Daemon
	peers   [][]int
	engines []registrar.Endpoint
	down    map[int]bool
	seen    map[int]bool      // Of those that are down, the ones that the others no longer count as reachable.
	polled  []map[int]Polls   // Decisions by daemon and engine; valid until seen changes.
	taken   [][]time.Duration // When the newest report was taken, by daemon and engine.
	nextAt  [][]time.Duration
	inbox   []delivery
	now     time.Duration

	relayAbove int
	sent       []uint64               // Batches sent, by daemon.
	cut        func(a, b Daemon) bool // Nothing passes between the two.
	cutSeen    bool                   // The daemons know of the cut.

	polls, messages int
	crossing        int         // Messages between failure domains.
	passedOn        map[int]int // Messages sent as a relay, by daemon.
	copies          int         // Most copies of a report that a daemon received.
	received        map[receipt]int
	maxAge          time.Duration
}

// receipt is the receipt of a report of an engine by a daemon.
type receipt struct {
	to, engine int
	taken      time.Duration
}

type delivery struct {
	at       time.Duration
	to, from int
	taken    map[int]time.Duration // By engine.
	relay    bool                  // To be passed on.
}

func newModel(daemons, engines, domains int) *model {
	m := &model{down: map[int]bool{}, seen: map[int]bool{}, polled: make([]map[int]Polls, daemons), sent: make([]uint64, daemons), passedOn: map[int]int{}, received: map[receipt]int{}}
	index := map[string]int{}
	for i := range daemons {
		d := Daemon{Name: fmt.Sprint("d", i), Addr: fmt.Sprint("a", i), Domain: fmt.Sprint("z", i%domains)}
		index[d.Name] = i
		m.daemons = append(m.daemons, d)
	}
	for i, d := range m.daemons {
		m.peers = append(m.peers, nil)
		for _, p := range Peers(d, m.daemons) {
			m.peers[i] = append(m.peers[i], index[p.Name])
		}
		m.taken = append(m.taken, make([]time.Duration, engines))
		m.nextAt = append(m.nextAt, make([]time.Duration, engines))
	}
	for i := range engines {
		e := registrar.Endpoint{Domain: fmt.Sprint("z", i%domains)}
		e.Name = fmt.Sprint("e", i)
		m.engines = append(m.engines, e)
	}
	return m
}

// send sends reports from a daemon to its peers that are selected.
func (m *model) send(from int, taken map[int]time.Duration, selected func(Daemon) bool) {
	for _, to := range m.peers[from] {
		if !m.down[to] && selected(m.daemons[to]) {
			m.deliver(delivery{at: m.now + hop, to: to, from: from, taken: taken})
		}
	}
}

// deliver sends one message.
func (m *model) deliver(v delivery) {
	a, b := m.daemons[v.from], m.daemons[v.to]
	if m.down[v.to] || (m.cut != nil && m.cut(a, b)) {
		return
	}
	m.messages++
	if a.Domain != b.Domain {
		m.crossing++
	}
	m.inbox = append(m.inbox, v)
}

// reachable returns the peers that a daemon believes to reach.
func (m *model) reachable(i int) []Daemon {
	var all []Daemon
	for _, p := range m.peers[i] {
		if !m.seen[p] && (!m.cutSeen || !m.cut(m.daemons[i], m.daemons[p])) {
			all = append(all, m.daemons[p])
		}
	}
	return all
}

// publish sends the reports that a daemon has taken.
func (m *model) publish(i int, taken map[int]time.Duration) {
	self := m.daemons[i]
	if !Relaying(len(m.daemons), m.relayAbove) {
		m.send(i, taken, func(Daemon) bool { return true })
		return
	}
	m.send(i, taken, func(d Daemon) bool { return d.Domain == self.Domain })
	m.sent[i]++
	for _, d := range RelaysOf(self, m.reachable(i), m.sent[i]) {
		to := slices.IndexFunc(m.daemons, func(o Daemon) bool { return o.Name == d.Name })
		m.deliver(delivery{at: m.now + hop, to: to, from: i, taken: taken, relay: true})
	}
}

// step lets a tick pass.
func (m *model) step(domains int) {
	m.now += modelTick
	var later []delivery
	for _, v := range m.inbox {
		if v.at > m.now {
			later = append(later, v)
			continue
		}
		if m.down[v.to] {
			continue
		}
		news := map[int]time.Duration{}
		for e, at := range v.taken {
			r := receipt{to: v.to, engine: e, taken: at}
			m.received[r]++
			m.copies = max(m.copies, m.received[r])
			if at > m.taken[v.to][e] {
				m.taken[v.to][e], news[e] = at, at
			}
		}
		self, from := m.daemons[v.to], m.daemons[v.from]
		if len(news) > 0 && (v.relay || Relays(self.Domain, from.Domain, len(m.daemons))) {
			m.passedOn[v.to]++
			m.inbox = later
			m.send(v.to, news, func(d Daemon) bool { return d.Domain == self.Domain })
			later = m.inbox
		}
	}
	m.inbox = later
	for i, d := range m.daemons {
		if !m.down[i] {
			m.poll(i, d, domains)
		}
	}
}

// poll polls the engines that are due at a daemon.
func (m *model) poll(i int, d Daemon, domains int) {
	if m.polled[i] == nil {
		m.polled[i] = m.decide(i, d, domains)
	}
	taken := map[int]time.Duration{}
	for e := range m.engines {
		p := m.polled[i][e]
		age := m.now - m.taken[i][e]
		if m.now > 5*time.Second {
			m.maxAge = max(m.maxAge, age)
		}
		if m.now < m.nextAt[i][e] || !p.Due(age, ageLimit) {
			continue
		}
		m.polls++
		m.nextAt[i][e] = m.now + pollPeriod
		m.taken[i][e], taken[e] = m.now, m.now
	}
	if len(taken) > 0 {
		m.publish(i, taken)
	}
}

// decide returns the decisions of a daemon.
func (m *model) decide(i int, d Daemon, domains int) map[int]Polls {
	reachable := m.reachable(i)
	decisions := map[int]Polls{}
	for e := range m.engines {
		decisions[e] = PollsOf(GroupOf(m.engines[e], len(m.engines)/domains), d, reachable)
	}
	return decisions
}

// Guards against reports that do not reach other failure domains of a large fleet, so that every
// daemon polls every engine: 119,204 polls in 24 s at 195 daemons and 59 engines, in place of 3,540.
func TestFleetPollsEachEngineOnce(t *testing.T) {
	for _, c := range []struct{ daemons, engines, domains int }{{9, 14, 3}, {66, 60, 3}, {77, 60, 4}, {195, 59, 5}, {380, 830, 5}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			m := newModel(c.daemons, c.engines, c.domains)
			for m.now < 5*time.Second {
				m.step(c.domains)
			}
			m.polls, m.messages = 0, 0
			for m.now < 7*time.Second {
				m.step(c.domains)
			}
			perEngine := float64(m.polls) / 2 / float64(c.engines)
			t.Logf("%.2f polls a second for each engine, %.1f messages a second for each daemon, reports at most %v old", perEngine,
				float64(m.messages)/2/float64(c.daemons), m.maxAge)
			assert.Assert(t, perEngine <= 1/pollPeriod.Seconds())
			assert.Assert(t, m.maxAge <= ageLimit)
		})
	}
}

// Guards against reports that stay away because the daemons that poll have ended, and against a rush
// of polls of all others in their place.
func TestFleetPollsGoOnWhenPollersEnd(t *testing.T) {
	const daemons, engines, domains = 195, 59, 5
	m := newModel(daemons, engines, domains)
	for m.now < 5*time.Second {
		m.step(domains)
	}
	for i := range m.daemons {
		for _, p := range m.polled[i] {
			if p.Regular() {
				m.down[i] = true
			}
		}
	}
	m.polls, m.maxAge = 0, 0
	for m.now < 10*time.Second {
		m.step(domains)
		if m.now == 5*time.Second+unreachableAfter {
			m.seen, m.polled = m.down, make([]map[int]Polls, daemons)
		}
	}
	t.Logf("%d of %d daemons down; %d polls in 5 s, reports at most %v old", len(m.down), daemons, m.polls, m.maxAge)
	assert.Assert(t, m.maxAge <= ageLimit+maxDelay)
	assert.Assert(t, m.polls <= 2*int(5*time.Second/pollPeriod)*engines, "%d", m.polls)
}

// Guards against relays that make reports late, or daemons poll in place of getting reports: polls must
// not be more than with reports sent to all daemons, also when a third of a failure domain's daemons
// end at once or a failure domain is cut off.
func TestRelaysDelayReportsWithinTheLimit(t *testing.T) {
	for _, c := range []struct{ daemons, engines, domains int }{{60, 57, 4}, {68, 44, 3}} {
		for _, fault := range []string{"none", "daemons end", "domain cut"} {
			t.Run(fmt.Sprint(c.daemons, " ", fault), func(t *testing.T) {
				all := runFault(c.daemons, c.engines, c.domains, FullMeshLimit, fault)
				relayed := runFault(c.daemons, c.engines, c.domains, 32, fault)
				for _, m := range []*model{all, relayed} {
					t.Logf("relay_above %d: %d polls in 10 s, reports at most %v old, %d copies, %d messages between failure domains, %d relays pass on up to %d", m.relayAbove,
						m.polls, m.maxAge, m.copies, m.crossing, len(m.passedOn), slices.Max(append(slices.Collect(maps.Values(m.passedOn)), 0)))
				}
				assert.Assert(t, relayed.polls <= all.polls, "%d polls, %d without relays", relayed.polls, all.polls)
				assert.Assert(t, relayed.maxAge <= max(ageLimit, all.maxAge))
				assert.Assert(t, relayed.copies <= max(2, all.copies)) // Beyond a cut, several daemons poll an engine at the same time.
				assert.Assert(t, relayed.crossing*4 < all.crossing)
			})
		}
	}
}

// runFault plays a fleet for 15 s. After 5 s it has a fault, which the daemons notice after a while.
func runFault(daemons, engines, domains, relayAbove int, fault string) *model {
	m := newModel(daemons, engines, domains)
	m.relayAbove = relayAbove
	for m.now < 5*time.Second {
		m.step(domains)
	}
	m.polls, m.crossing = 0, 0
	switch fault {
	case "daemons end": // Others than those that poll.
		for i, d := range m.daemons {
			polls := slices.ContainsFunc(slices.Collect(maps.Values(m.polled[i])), Polls.Regular)
			if d.Domain == "z1" && !polls && len(m.down) < daemons/domains/3 {
				m.down[i] = true
			}
		}
	case "domain cut":
		m.cut = func(a, b Daemon) bool { return (a.Domain == "z1") != (b.Domain == "z1") }
	}
	for m.now < 15*time.Second {
		m.step(domains)
		if m.now == 5*time.Second+unreachableAfter {
			m.seen, m.cutSeen, m.polled = m.down, m.cut != nil, make([]map[int]Polls, daemons)
		}
	}
	return m
}
