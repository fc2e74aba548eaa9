package prober

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probe is one probe that has not been answered yet.
type probe struct {
	target           string // Empty for a seed or a dead member.
	deadline         time.Time
	indirect         bool // Relays have been asked.
	suspectOnTimeout bool // A missing answer makes the target suspect.
}

// relay is a probe made on behalf of another member.
type relay struct {
	requesterSeq uint32 // Sequence number of the requester's own probe.
	requester    string
	target       string
	deadline     time.Time
}

// maxRelays limits the concurrent probes on behalf of other members.
const maxRelays = 64

// probePeriod starts the probes of one period.
func (p *Prober) probePeriod(now time.Time) []Action {
	p.periods++
	p.refreshNeighbours()
	var acts []Action
	if name, ok := nextInTurn(p.neighbours, &p.neighbourTurn); ok {
		acts = append(acts, p.ping(now, name, true))
	}
	if p.periods%p.settings.CrossRegionPeriods == 0 {
		acts = append(acts, p.probeCrossRegion(now)...)
	}
	if p.periods%p.settings.ReconnectPeriods == 0 || len(p.neighbours) == 0 {
		acts = append(acts, p.reconnect(now)...)
	}
	return acts
}

// probeCrossRegion probes the next of the members in other regions. A missing
// answer does not make the member suspect, since the regions may be
// partitioned.
func (p *Prober) probeCrossRegion(now time.Time) []Action {
	name, ok := nextInTurn(p.crossRegion, &p.crossRegionTurn)
	if !ok {
		return nil
	}
	return []Action{p.ping(now, name, p.settings.disabled.regionAuthority)}
}

// nextInTurn returns the next of names in rotation.
func nextInTurn(names []string, turn *int) (string, bool) {
	if len(names) == 0 {
		return "", false
	}
	*turn = (*turn + 1) % len(names)
	return names[*turn], true
}

// ping probes name.
func (p *Prober) ping(now time.Time, name string, suspectOnTimeout bool) Action {
	p.seq++
	p.probes[p.seq] = &probe{target: name, deadline: now.Add(p.settings.ProbeTimeout), suspectOnTimeout: suspectOnTimeout}
	return p.sendTo(name, Message{Kind: KindPing, Seq: p.seq, Target: name})
}

// reconnect probes a random address among those of dead members and the seeds
// at which no member is known.
func (p *Prober) reconnect(now time.Time) []Action {
	if p.settings.disabled.reconnection && p.periods > 1 {
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
	p.probes[p.seq] = &probe{deadline: now.Add(p.settings.ProbeTimeout)}
	return []Action{p.send(addr, Message{Kind: KindPing, Seq: p.seq}, p.view.records[p.view.byAddr[addr]])}
}

// advanceProbes asks relays to probe members that did not answer in time, and
// marks members suspect that did not answer the relays either.
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
	if !pr.suspectOnTimeout || r == nil || r.State.DeadOrLeft() {
		delete(p.probes, seq)
		return nil
	}
	if !pr.indirect && !p.settings.disabled.indirectProbes {
		pr.indirect = true
		pr.deadline = now.Add(p.settings.ProbeTimeout)
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

// askRelays asks random members of the region to probe r.
func (p *Prober) askRelays(seq uint32, r *record) []Action {
	names := p.view.selectNames(func(o *record) bool {
		return o.State == StateAlive && o.Region == p.self.Region && o != r
	})
	p.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var acts []Action
	for _, name := range names[:min(p.settings.Relays, len(names))] {
		acts = append(acts, p.sendTo(name, Message{
			Kind: KindPingRequest, Seq: seq, Target: r.Name, TargetAddr: r.Addr,
		}))
	}
	return acts
}

// expireSuspicions declares suspects dead that did not refute in time.
func (p *Prober) expireSuspicions(now time.Time) []Action {
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

// suspicionTraversals is the number of times that updates must be able to cross
// the fleet within a suspicion: the suspicion itself, its refutation, and one
// spare.
const suspicionTraversals = 3

// suspicionTimeout returns the time in which a suspect may refute, which grows
// with the time that an update takes to spread.
func (p *Prober) suspicionTimeout() time.Duration {
	hops := bits.Len(uint(len(p.view.records)))
	return max(p.settings.MinSuspicion, time.Duration(suspicionTraversals*hops)*p.settings.GossipInterval)
}

// refreshNeighbours chooses the members to probe, which are the successors on
// the rings, if the membership has changed.
func (p *Prober) refreshNeighbours() {
	if !p.neighboursStale {
		return
	}
	p.neighboursStale = false
	regions := make(map[string][]*record)
	for _, name := range p.view.selectNames(func(r *record) bool { return !r.State.DeadOrLeft() }) {
		r := p.view.records[name]
		regions[r.Region] = append(regions[r.Region], r)
	}
	own := xxhash.Sum64String(p.self.Name)
	p.neighbours = successors(regions[p.self.Region], own, p.settings.Rings)
	p.rand.Shuffle(len(p.neighbours), func(i, j int) {
		p.neighbours[i], p.neighbours[j] = p.neighbours[j], p.neighbours[i]
	})
	delete(regions, p.self.Region)
	p.crossRegion = p.crossRegion[:0]
	for _, region := range sortedKeys(regions) {
		p.crossRegion = append(p.crossRegion, successors(regions[region], own, p.settings.CrossRegionRings)...)
	}
}

// successors returns the member that follows ownHash on each of n rings. Each
// ring orders the members by another hash, so each member is probed by n
// others.
func successors(records []*record, ownHash uint64, n int) []string {
	var out []string
	if len(records) <= n {
		for _, r := range records {
			out = append(out, r.Name)
		}
		return out
	}
	for ring := range uint64(n) {
		salt := (ring + 1) * 0x9e3779b97f4a7c15
		position := mix(ownHash ^ salt)
		best, distance := records[0], uint64(math.MaxUint64)
		for _, r := range records {
			if d := mix(r.nameHash^salt) - position; d < distance {
				best, distance = r, d
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
