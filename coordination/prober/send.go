package prober

import (
	"slices"
	"time"
)

// sendTo completes m and addresses it to the member name, which is known.
func (p *Prober) sendTo(name string, m Message) Action {
	r := p.view.records[name]
	return p.send(r.Addr, m, r)
}

// send completes m with news and, if to is believed to be anything but alive,
// with that belief, so that it can refute.
func (p *Prober) send(addr string, m Message, to *record) Action {
	m.From = p.self
	m.ViewHash = p.view.hash()
	if to != nil && to.State != StateAlive {
		m.Updates = append(m.Updates, to.Member)
	}
	if p.carriesNews(m, to) {
		m.Updates = append(m.Updates, p.news.take(p.cfg.GossipBytes, len(p.view.records), p.entry)...)
	}
	p.budget -= float64(m.Size())
	return Send{Addr: addr, Message: m}
}

// reserve is the part of the budget that is left to comparisons of views, which
// bring many changes at less cost than gossip.
func (p *Prober) reserve() float64 { return float64(p.cfg.BytesPerSecond) }

// carriesNews reports whether m may use up sends of news: it is likely to
// arrive, is not large already, and the budget lasts.
func (p *Prober) carriesNews(m Message, to *record) bool {
	if to == nil || to.State.Gone() || p.budget < p.reserve() {
		return false
	}
	return m.Kind != KindSyncRequest && m.Kind != KindSyncReply
}

// busySyncFactor stretches the sync interval while news keeps coming.
const busySyncFactor = 2

// gossipNews sends news to a random neighbour while there is some and the
// budget lasts.
func (p *Prober) gossipNews(now time.Time) []Action {
	if len(p.news.items) == 0 || now.Before(p.nextGossip) || p.budget < p.reserve() {
		return nil
	}
	p.chooseNeighbours()
	if len(p.neighbours) == 0 {
		return nil
	}
	p.nextGossip = now.Add(p.cfg.GossipInterval)
	name := p.neighbours[p.rand.IntN(len(p.neighbours))]
	return []Action{p.sendTo(name, Message{Kind: KindGossip})}
}

// compare asks the sender of m for what differs, once news had time to spread
// or has kept coming for long.
func (p *Prober) compare(now time.Time, m Message) []Action {
	if m.ViewHash == p.view.hash() || m.From.State.Gone() || p.left || p.budget < 0 || p.cfg.off.sync {
		return nil
	}
	wait := p.cfg.SyncInterval
	if now.Sub(p.lastNews) < p.cfg.SyncInterval {
		wait *= busySyncFactor
	}
	joining := len(p.view.records) <= 1
	more := p.moreToCome(m)
	if !joining && !more && now.Sub(p.lastSync) < wait {
		return nil
	}
	p.lastSync = now
	ask := Message{Kind: KindSyncRequest, Buckets: slices.Clone(p.view.buckets[:])}
	p.chooseNeighbours()
	if more && len(p.neighbours) > 0 {
		// Another member may have more budget left.
		return []Action{p.sendTo(p.neighbours[p.rand.IntN(len(p.neighbours))], ask)}
	}
	return []Action{p.reply(m, ask)}
}

// moreToCome reports whether m is a sync reply that was cut short.
func (p *Prober) moreToCome(m Message) bool {
	return m.Kind == KindSyncReply && len(m.Updates) >= p.cfg.SyncMembers
}

// onSyncRequest answers with the members of the buckets that differ, from a
// random one on. Without budget it does not answer; the sender asks again.
func (p *Prober) onSyncRequest(m Message) []Action {
	if p.budget < 0 {
		return nil
	}
	members := p.view.differing(m.Buckets, p.rand.IntN(Buckets), p.cfg.SyncMembers)
	return []Action{p.reply(m, Message{Kind: KindSyncReply, Updates: members})}
}
