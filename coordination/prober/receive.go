package prober

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Receive takes in a message and returns the answer and the changes.
func (p *Prober) Receive(now time.Time, m Message) []Action {
	if !m.From.valid() || m.From.Name == p.self.Name {
		return nil
	}
	p.start(now)
	p.heard[m.From.Region] = now
	acts := p.merge(now, m.From)
	p.noteGeneration(m.From)
	for _, u := range m.Updates {
		acts = append(acts, p.learn(now, u, m.Kind != KindSyncReply)...)
	}
	acts = append(acts, p.correct(m)...)
	switch m.Kind {
	case KindPing:
		acts = append(acts, p.reply(m, Message{Kind: KindAck, Seq: m.Seq}))
	case KindAck:
		acts = append(acts, p.onAck(m)...)
	case KindPingRequest:
		acts = append(acts, p.onPingRequest(now, m)...)
	case KindSyncRequest:
		acts = append(acts, p.onSyncRequest(m)...)
	case KindGossip, KindSyncReply:
	}
	return append(acts, p.compare(now, m)...)
}

// reply answers m, and tells its sender what is believed of it if that is
// wrong.
func (p *Prober) reply(m, answer Message) Action {
	return p.send(m.From.Addr, answer, p.view.records[m.From.Name])
}

// noteGeneration keeps the sender's generation, which is no part of the order
// of entries.
func (p *Prober) noteGeneration(from Member) {
	r := p.view.records[from.Name]
	if r != nil && r.Incarnation == from.Incarnation {
		r.Generation = max(r.Generation, from.Generation)
	}
}

func (p *Prober) onAck(m Message) []Action {
	if rl, ok := p.relays[m.Seq]; ok && rl.target == m.From.Name {
		delete(p.relays, m.Seq)
		if p.view.records[rl.asker] == nil {
			return nil
		}
		return []Action{p.sendTo(rl.asker, Message{Kind: KindAck, Seq: rl.seq, Target: rl.target})}
	}
	pr := p.probes[m.Seq]
	if pr == nil {
		return nil
	}
	// An answer from another member, at an address that was used again, proves
	// nothing about the target.
	if pr.target == "" || pr.target == m.From.Name || pr.target == m.Target {
		delete(p.probes, m.Seq)
	}
	return nil
}

func (p *Prober) onPingRequest(now time.Time, m Message) []Action {
	if len(p.relays) >= maxRelays || m.Target == p.self.Name {
		return nil
	}
	p.seq++
	p.relays[p.seq] = relay{seq: m.Seq, asker: m.From.Name, target: m.Target, deadline: now.Add(p.cfg.Timeout)}
	ping := Message{Kind: KindPing, Seq: p.seq, Target: m.Target}
	return []Action{p.send(m.TargetAddr, ping, p.view.records[m.Target])}
}

// correct tells the sender of m which of its entries are out of date. Gossip is
// not answered, since it may cross with news on its way.
func (p *Prober) correct(m Message) []Action {
	var newer []Member
	if r := p.view.records[m.From.Name]; r != nil && r.newerThan(m.From) {
		newer = append(newer, r.Member)
	}
	if m.Kind == KindSyncReply {
		for _, u := range m.Updates {
			if e, ok := p.entry(u.Name); ok && e.newerThan(u) && len(newer) < p.cfg.SyncMembers {
				newer = append(newer, e)
			}
		}
	}
	if len(newer) == 0 {
		return nil
	}
	return []Action{p.send(m.From.Addr, Message{Kind: KindGossip, Updates: newer}, nil)}
}

// merge takes in what is said of a member, and passes it on if it is news.
func (p *Prober) merge(now time.Time, m Member) []Action {
	return p.learn(now, m, true)
}

// learn takes in what is said of a member. What a sync brings is old to others
// and is not passed on.
func (p *Prober) learn(now time.Time, m Member, passOn bool) []Action {
	if !m.valid() {
		return nil
	}
	if m.Name == p.self.Name {
		p.refute(m)
		return nil
	}
	r := p.view.records[m.Name]
	switch {
	case r == nil && (m.State.Gone() || len(p.view.records) >= MaxMembers):
		return nil
	case r != nil && !m.newerThan(r.Member):
		return nil
	}
	r, was := p.view.put(now, m, xxhash.Sum64String(m.Name))
	p.watchSuspect(now, r)
	if passOn {
		p.news.add(m.Name)
		p.lastNews = now
	}
	p.changes++
	p.stale = p.stale || was == 0 || r.State.Gone() || was.Gone()
	if _, ok := p.heard[m.Region]; !ok {
		p.heard[m.Region] = now
	}
	return []Action{Changed{Member: m, Was: was}}
}

// watchSuspect starts or ends the time in which r may refute. Suspects of other
// regions are left to these.
func (p *Prober) watchSuspect(now time.Time, r *record) {
	if r.State != StateSuspect || (r.Region != p.self.Region && !p.cfg.off.authority) {
		delete(p.suspects, r.Name)
		return
	}
	p.suspects[r.Name] = struct{}{}
	r.deadline = now.Add(p.suspicion())
}

// refute answers an entry about this daemon that is wrong, or that an earlier
// life under the same name left behind.
func (p *Prober) refute(m Member) {
	wrong := m.Incarnation > p.self.Incarnation ||
		m.Incarnation == p.self.Incarnation && m.State > p.self.State
	if !wrong || p.left || p.cfg.off.refute {
		return
	}
	p.raise(m.Incarnation + 1)
}
