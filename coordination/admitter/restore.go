package admitter

import (
	"slices"
	"strings"
	"time"
)

// Expect starts a cautious time: the named daemons may hold permits that a
// former owner gave. It ends when Restore was called for each of them or after
// Config.RestoreWait.
func (o *Owner) Expect(now time.Time, daemons []string) {
	o.advance(now)
	if len(daemons) == 0 {
		return
	}
	o.awaited = make(map[string]bool, len(daemons))
	for _, d := range daemons {
		o.awaited[d] = true
	}
	o.cautious = now.Add(o.cfg.RestoreWait)
}

// Restore takes the permits that a daemon holds from a former owner. Permits
// that have ended here stay ended.
func (o *Owner) Restore(now time.Time, daemon string, held []Held) []Action {
	o.advance(now)
	for i := range held {
		o.adopt(daemon, &held[i])
	}
	delete(o.awaited, daemon)
	if len(o.awaited) == 0 {
		o.cautious = time.Time{}
	}
	o.refresh()
	return o.finish(o.schedule(nil))
}

// adopt counts one permit of a former owner as granted.
func (o *Owner) adopt(daemon string, h *Held) {
	r := h.Request
	r.Daemon = daemon
	if p, ok := o.live[r.ID]; ok && p.state != queued {
		p.req.Daemon, p.state = daemon, running
		return
	}
	if e, ok := o.ended.find(r.ID); ok && e.action.Reason == ReasonEnded {
		return
	}
	if p, ok := o.live[r.ID]; ok {
		o.queue.Remove(p.entry)
		delete(o.live, r.ID)
	}
	o.ended.forget(r.ID)
	if r.Arrived.IsZero() {
		r.Arrived = o.now
	}
	p := o.newPermit(r)
	p.entry = o.queue.Adopt(o.now, o.item(p))
	p.charged = p.expected
	p.startStep = o.clock.now.steps - float64(h.Produced)
	p.moments = o.momentsOf(p, h.Produced)
	p.priority = o.enginePriority(p)
	o.live[r.ID] = p
	o.insert(p)
}

// Lose tells that a daemon is gone. Its queued requests are dropped; its
// generations are cancelled once the resume grace time has passed, unless
// another daemon takes them over by Restore or Enqueue.
func (o *Owner) Lose(now time.Time, daemon string) []Action {
	o.advance(now)
	var lost []*permit
	for _, p := range o.live {
		if p.req.Daemon == daemon {
			lost = append(lost, p)
		}
	}
	slices.SortFunc(lost, func(a, b *permit) int { return strings.Compare(string(a.req.ID), string(b.req.ID)) })
	for _, p := range lost {
		switch p.state {
		case queued:
			o.queue.Remove(p.entry)
			o.end(p, Action{Kind: Refuse, ID: p.req.ID, Reason: ReasonEnded})
		case running:
			p.state, p.orphanedAt = orphan, o.now
		case orphan:
		}
	}
	delete(o.awaited, daemon)
	return o.finish(o.schedule(nil))
}

// cancelOrphans cancels the orphans whose grace time has passed and appends the
// cancels to actions.
func (o *Owner) cancelOrphans(actions []Action) []Action {
	for i := len(o.granted) - 1; i >= 0; i-- {
		p := o.granted[i]
		if p.state != orphan || o.now.Sub(p.orphanedAt) < o.cfg.ResumeGrace {
			continue
		}
		produced := p.produced(o.clock.now.steps)
		o.remove(p, produced)
		o.end(p, Action{Kind: Refuse, ID: p.req.ID, Reason: ReasonEnded})
		actions = append(actions, Action{Kind: Cancel, ID: p.req.ID, Reason: ReasonOrphan})
	}
	return actions
}
