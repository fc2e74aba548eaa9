package prober

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probe is one probe that waits for its answer.
type probe struct {
	target   string // Empty for a seed that is not known yet.
	deadline time.Time
	indirect bool // Relays have been asked.
	judged   bool // No answer makes the target suspect.
}

// relay is a probe made on behalf of another member.
type relay struct {
	seq      uint32 // Of the other member's probe.
	asker    string
	target   string
	deadline time.Time
}

// maxRelays bounds the probes made for others at once.
const maxRelays = 64

// probePeriod starts the probes of one period.
func (p *Prober) probePeriod(now time.Time) []Action {
	p.period++
	p.chooseNeighbours()
	var acts []Action
	if name, ok := nextOf(p.neighbours, &p.turn); ok {
		acts = append(acts, p.ping(now, name, true))
	}
	if p.period%p.cfg.CrossEvery == 0 {
		acts = append(acts, p.probeAbroad(now)...)
	}
	if p.period%p.cfg.ReconnectEvery == 0 || len(p.neighbours) == 0 {
		acts = append(acts, p.reconnect(now)...)
	}
	return acts
}

// probeAbroad probes the next of the members in other regions. No answer says
// nothing about the member, since the regions may be cut off from each other.
func (p *Prober) probeAbroad(now time.Time) []Action {
	name, ok := nextOf(p.cross, &p.crossTurn)
	if !ok {
		return nil
	}
	return []Action{p.ping(now, name, p.cfg.off.authority)}
}

// nextOf returns the next of names in turn.
func nextOf(names []string, turn *int) (string, bool) {
	if len(names) == 0 {
		return "", false
	}
	*turn = (*turn + 1) % len(names)
	return names[*turn], true
}

// ping probes name.
func (p *Prober) ping(now time.Time, name string, judged bool) Action {
	p.seq++
	p.probes[p.seq] = &probe{target: name, deadline: now.Add(p.cfg.Timeout), judged: judged}
	return p.sendTo(name, Message{Kind: KindPing, Seq: p.seq, Target: name})
}

// reconnect probes one dead member or one seed at which no member is known.
func (p *Prober) reconnect(now time.Time) []Action {
	if p.cfg.off.reconnect && p.period > 1 {
		return nil
	}
	var addrs []string
	for name := range p.view.dead {
		addrs = append(addrs, p.view.records[name].Addr)
	}
	for _, addr := range p.seeds {
		if _, known := p.view.byAddr[addr]; !known && addr != p.self.Addr {
			addrs = append(addrs, addr)
		}
	}
	if len(addrs) == 0 {
		return nil
	}
	slices.Sort(addrs)
	addr := addrs[p.rand.IntN(len(addrs))]
	p.seq++
	p.probes[p.seq] = &probe{deadline: now.Add(p.cfg.Timeout)}
	return []Action{p.send(addr, Message{Kind: KindPing, Seq: p.seq}, p.view.records[p.view.byAddr[addr]])}
}

// advanceProbes asks relays about members that did not answer, and suspects
// those that did not answer the relays either.
func (p *Prober) advanceProbes(now time.Time) []Action {
	var due []uint32
	for seq, pr := range p.probes {
		if !now.Before(pr.deadline) {
			due = append(due, seq)
		}
	}
	slices.Sort(due)
	var acts []Action
	for _, seq := range due {
		acts = append(acts, p.advanceProbe(now, seq)...)
	}
	for seq, rl := range p.relays {
		if !now.Before(rl.deadline) {
			delete(p.relays, seq)
		}
	}
	return acts
}

func (p *Prober) advanceProbe(now time.Time, seq uint32) []Action {
	pr := p.probes[seq]
	r := p.view.records[pr.target]
	if !pr.judged || r == nil || r.State.Gone() {
		delete(p.probes, seq)
		return nil
	}
	if !pr.indirect && !p.cfg.off.indirect {
		pr.indirect = true
		pr.deadline = now.Add(p.cfg.Timeout)
		return p.askRelays(seq, r)
	}
	delete(p.probes, seq)
	if r.State != StateAlive {
		return nil
	}
	m := r.Member
	m.State = StateSuspect
	return p.merge(now, m)
}

// askRelays asks some other members of the region to probe r.
func (p *Prober) askRelays(seq uint32, r *record) []Action {
	names := p.view.names(func(o *record) bool {
		return o.State == StateAlive && o.Region == p.self.Region && o != r
	})
	p.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var acts []Action
	for _, name := range names[:min(p.cfg.Relays, len(names))] {
		acts = append(acts, p.sendTo(name, Message{
			Kind: KindPingRequest, Seq: seq, Target: r.Name, TargetAddr: r.Addr,
		}))
	}
	return acts
}

// endSuspicions declares members dead that did not refute in time.
func (p *Prober) endSuspicions(now time.Time) []Action {
	var due []string
	for name := range p.suspects {
		if !now.Before(p.view.records[name].deadline) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	var acts []Action
	for _, name := range due {
		m := p.view.records[name].Member
		m.State = StateDead
		acts = append(acts, p.merge(now, m)...)
	}
	return acts
}

// suspicionRounds is the number of times that news must cross the fleet within
// a suspicion: the suspicion itself, its refutation, and one to spare.
const suspicionRounds = 3

// suspicion returns the time to refute, which grows with the time that news
// takes to spread.
func (p *Prober) suspicion() time.Duration {
	hops := bits.Len(uint(len(p.view.records)))
	return max(p.cfg.Suspicion, time.Duration(suspicionRounds*hops)*p.cfg.GossipInterval)
}

// chooseNeighbours chooses whom to probe: the successors on the rings.
func (p *Prober) chooseNeighbours() {
	if !p.stale {
		return
	}
	p.stale = false
	regions := make(map[string][]*record)
	for _, name := range p.view.names(func(r *record) bool { return !r.State.Gone() }) {
		r := p.view.records[name]
		regions[r.Region] = append(regions[r.Region], r)
	}
	own := xxhash.Sum64String(p.self.Name)
	p.neighbours = successors(regions[p.self.Region], own, p.cfg.Rings)
	p.rand.Shuffle(len(p.neighbours), func(i, j int) {
		p.neighbours[i], p.neighbours[j] = p.neighbours[j], p.neighbours[i]
	})
	delete(regions, p.self.Region)
	p.cross = p.cross[:0]
	for _, region := range sortedKeys(regions) {
		p.cross = append(p.cross, successors(regions[region], own, p.cfg.CrossRings)...)
	}
}

// successors returns the member after hash own on each of n rings. Each ring
// orders the members by another hash, so each member is probed by n others.
func successors(rs []*record, own uint64, n int) []string {
	var out []string
	if len(rs) <= n {
		for _, r := range rs {
			out = append(out, r.Name)
		}
		return out
	}
	for ring := range uint64(n) {
		salt := (ring + 1) * 0x9e3779b97f4a7c15
		at := mix(own ^ salt)
		best, gap := rs[0], uint64(math.MaxUint64)
		for _, r := range rs {
			if d := mix(r.hash^salt) - at; d < gap {
				best, gap = r, d
			}
		}
		if !slices.Contains(out, best.Name) {
			out = append(out, best.Name)
		}
	}
	return out
}

func sortedKeys(m map[string][]*record) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
