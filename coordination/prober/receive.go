package prober

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Receive processes a message and returns the messages to send and the changes
// of the view.
func (p *Prober) Receive(now time.Time, m Message) []Action {
	if !m.From.valid() || m.From.Name == p.self.Name {
		return nil
	}
	p.start(now)
	p.lastHeard[m.From.Region] = now
	acts := p.merge(now, m.From)
	p.recordGeneration(m.From)
	for _, u := range m.Updates {
		acts = append(acts, p.apply(now, u, m.Kind != KindSyncReply)...)
	}
	acts = append(acts, p.sendCorrections(m)...)
	switch m.Kind {
	case KindPing:
		acts = append(acts, p.reply(m, Message{Kind: KindAck, Seq: m.Seq}))
	case KindAck:
		acts = append(acts, p.handleAck(m)...)
	case KindPingRequest:
		acts = append(acts, p.handlePingRequest(now, m)...)
	case KindSyncRequest:
		acts = append(acts, p.handleSyncRequest(m)...)
	case KindGossip, KindSyncReply:
	}
	return append(acts, p.requestSync(now, m)...)
}

// reply sends answer to the sender of m, together with the sender's entry in
// this view if that is not alive.
func (p *Prober) reply(m, answer Message) Action {
	return p.send(m.From.Addr, answer, p.view.records[m.From.Name])
}

// recordGeneration stores the sender's generation, which is not part of the
// order of entries.
func (p *Prober) recordGeneration(from Member) {
	r := p.view.records[from.Name]
	if r != nil && r.Incarnation == from.Incarnation {
		r.Generation = max(r.Generation, from.Generation)
	}
}

func (p *Prober) handleAck(m Message) []Action {
	if rl, ok := p.relays[m.Seq]; ok && rl.target == m.From.Name {
		delete(p.relays, m.Seq)
		if p.view.records[rl.requester] == nil {
			return nil
		}
		return []Action{p.sendTo(rl.requester, Message{Kind: KindAck, Seq: rl.requesterSeq, Target: rl.target})}
	}
	pr := p.probes[m.Seq]
	if pr == nil {
		return nil
	}
	// An answer from another member that reuses the address proves nothing about
	// the target.
	if pr.target == "" || pr.target == m.From.Name || pr.target == m.Target {
		delete(p.probes, m.Seq)
	}
	return nil
}

func (p *Prober) handlePingRequest(now time.Time, m Message) []Action {
	if len(p.relays) >= maxRelays || m.Target == p.self.Name {
		return nil
	}
	p.seq++
	p.relays[p.seq] = relay{requesterSeq: m.Seq, requester: m.From.Name, target: m.Target, deadline: now.Add(p.settings.ProbeTimeout)}
	ping := Message{Kind: KindPing, Seq: p.seq, Target: m.Target}
	return []Action{p.send(m.TargetAddr, ping, p.view.records[m.Target])}
}

// sendCorrections sends the sender of m its own entry if a newer one is known,
// and newer entries than those in a sync reply. Entries in gossip are not
// corrected, since newer updates may already be in flight.
func (p *Prober) sendCorrections(m Message) []Action {
	var newer []Member
	if r := p.view.records[m.From.Name]; r != nil && r.newerThan(m.From) {
		newer = append(newer, r.Member)
	}
	if m.Kind == KindSyncReply {
		for _, u := range m.Updates {
			if e, ok := p.lookup(u.Name); ok && e.newerThan(u) && len(newer) < p.settings.MaxSyncMembers {
				newer = append(newer, e)
			}
		}
	}
	if len(newer) == 0 {
		return nil
	}
	return []Action{p.send(m.From.Addr, Message{Kind: KindGossip, Updates: newer}, nil)}
}

// merge applies an entry and queues it for gossip if it is new.
func (p *Prober) merge(now time.Time, m Member) []Action {
	return p.apply(now, m, true)
}

// apply stores an entry if it is newer than the present one. Entries of a sync
// reply are not gossiped, since other members have them already.
func (p *Prober) apply(now time.Time, m Member, gossip bool) []Action {
	if !m.valid() {
		return nil
	}
	if m.Name == p.self.Name {
		p.refute(m)
		return nil
	}
	r := p.view.records[m.Name]
	switch {
	case r == nil && (m.State.DeadOrLeft() || len(p.view.records) >= MaxMembers):
		return nil
	case r != nil && !m.newerThan(r.Member):
		return nil
	}
	r, was := p.view.put(now, m, xxhash.Sum64String(m.Name))
	p.updateSuspicion(now, r)
	if gossip {
		p.updates.add(m.Name)
		p.lastUpdate = now
	}
	p.changes++
	p.neighboursStale = p.neighboursStale || was == 0 || r.State.DeadOrLeft() || was.DeadOrLeft()
	if _, ok := p.lastHeard[m.Region]; !ok {
		p.lastHeard[m.Region] = now
	}
	return []Action{MemberChanged{Member: m, Previous: was}}
}

// updateSuspicion starts or ends the time in which r may refute. Suspects of
// other regions are declared dead by the daemons there.
func (p *Prober) updateSuspicion(now time.Time, r *record) {
	if r.State != StateSuspect || (r.Region != p.self.Region && !p.settings.disabled.regionAuthority) {
		delete(p.suspects, r.Name)
		return
	}
	p.suspects[r.Name] = struct{}{}
	r.deadline = now.Add(p.suspicionTimeout())
}

// refute raises the incarnation of this daemon above that of m, if m is wrong
// or stems from an earlier run under the same name.
func (p *Prober) refute(m Member) {
	wrong := m.Incarnation > p.self.Incarnation ||
		m.Incarnation == p.self.Incarnation && m.State > p.self.State
	if !wrong || p.left || p.settings.disabled.refutation {
		return
	}
	p.raiseIncarnation(m.Incarnation + 1)
}
