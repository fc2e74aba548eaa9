package prober

import (
	"slices"
	"time"
)

// sendTo completes m and sends it to the member name, which must be known.
func (p *Prober) sendTo(name string, m Message) Action {
	r := p.view.records[name]
	return p.send(r.Addr, m, r)
}

// send completes m with queued updates and, if the entry of the recipient is
// anything but alive, with that entry, so that the recipient can refute.
func (p *Prober) send(addr string, m Message, to *record) Action {
	m.From = p.self
	m.ViewHash = p.view.hash()
	if to != nil && to.State != StateAlive {
		m.Updates = append(m.Updates, to.Member)
	}
	if p.mayCarryUpdates(m, to) {
		m.Updates = append(m.Updates, p.updates.take(p.settings.MaxGossipBytes, len(p.view.records), p.lookup)...)
	}
	p.byteBudget -= float64(m.Size())
	return Send{Addr: addr, Message: m}
}

// syncReserve returns the part of the budget that is reserved for comparisons
// of views, which transfer many changes at less cost than gossip.
func (p *Prober) syncReserve() float64 { return float64(p.settings.BytesPerSecond) }

// mayCarryUpdates reports whether m may carry queued updates, which count as
// sent then: it is likely to arrive, is not large already, and the budget
// suffices.
func (p *Prober) mayCarryUpdates(m Message, to *record) bool {
	if to == nil || to.State.DeadOrLeft() || p.byteBudget < p.syncReserve() {
		return false
	}
	return m.Kind != KindSyncRequest && m.Kind != KindSyncReply
}

// activeSyncFactor multiplies the sync interval while updates keep arriving.
const activeSyncFactor = 2

// sendGossip sends queued updates to a random neighbour if there are any and
// the budget suffices.
func (p *Prober) sendGossip(now time.Time) []Action {
	if len(p.updates.queued) == 0 || now.Before(p.nextGossip) || p.byteBudget < p.syncReserve() {
		return nil
	}
	p.refreshNeighbours()
	if len(p.neighbours) == 0 {
		return nil
	}
	p.nextGossip = now.Add(p.settings.GossipInterval)
	name := p.neighbours[p.rand.IntN(len(p.neighbours))]
	return []Action{p.sendTo(name, Message{Kind: KindGossip})}
}

// requestSync asks the sender of m for the entries that differ, once updates
// have had time to spread or have kept arriving for long.
func (p *Prober) requestSync(now time.Time, m Message) []Action {
	if m.ViewHash == p.view.hash() || m.From.State.DeadOrLeft() || p.left || p.byteBudget < 0 || p.settings.disabled.viewSync {
		return nil
	}
	wait := p.settings.SyncInterval
	if now.Sub(p.lastUpdate) < p.settings.SyncInterval {
		wait *= activeSyncFactor
	}
	joining := len(p.view.records) <= 1
	truncated := p.isTruncatedReply(m)
	if !joining && !truncated && now.Sub(p.lastSync) < wait {
		return nil
	}
	p.lastSync = now
	request := Message{Kind: KindSyncRequest, Buckets: slices.Clone(p.view.buckets[:])}
	p.refreshNeighbours()
	if truncated && len(p.neighbours) > 0 {
		// Another member may have more budget left.
		return []Action{p.sendTo(p.neighbours[p.rand.IntN(len(p.neighbours))], request)}
	}
	return []Action{p.reply(m, request)}
}

// isTruncatedReply reports whether m is a sync reply that reached the limit of
// members.
func (p *Prober) isTruncatedReply(m Message) bool {
	return m.Kind == KindSyncReply && len(m.Updates) >= p.settings.MaxSyncMembers
}

// handleSyncRequest answers with the members of the buckets that differ, from a
// random bucket on. Without budget it does not answer; the requester asks
// again.
func (p *Prober) handleSyncRequest(m Message) []Action {
	if p.byteBudget < 0 {
		return nil
	}
	members := p.view.differingMembers(m.Buckets, p.rand.IntN(NumBuckets), p.settings.MaxSyncMembers)
	return []Action{p.reply(m, Message{Kind: KindSyncReply, Updates: members})}
}
