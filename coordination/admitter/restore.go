package admitter

import (
	"slices"
	"strings"
	"time"
)

// AwaitRestore starts conservative admission, because the named daemons may hold
// permits that a former owner granted. It ends when Restore has been called for
// each of them or after Config.RestoreTimeout.
func (o *Owner) AwaitRestore(now time.Time, daemons []string) {
	o.advance(now)
	if len(daemons) == 0 {
		return
	}
	o.pendingRestores = make(map[string]bool, len(daemons))
	for _, d := range daemons {
		o.pendingRestores[d] = true
	}
	o.conservativeUntil = now.Add(o.cfg.RestoreTimeout)
}

// Restore adds the permits that a daemon holds from a former owner. Permits that
// have already ended at this owner stay ended.
func (o *Owner) Restore(now time.Time, daemon string, held []HeldPermit) []Action {
	o.advance(now)
	for i := range held {
		o.adopt(daemon, &held[i])
	}
	delete(o.pendingRestores, daemon)
	if len(o.pendingRestores) == 0 {
		o.conservativeUntil = time.Time{}
	}
	o.refreshForecast()
	return o.checkInvariants(o.schedule(nil))
}

// adopt adds a permit of a former owner as granted.
func (o *Owner) adopt(daemon string, h *HeldPermit) {
	r := h.Request
	r.Daemon = daemon
	if p, ok := o.permits[r.ID]; ok && p.state != queued {
		p.req.Daemon, p.state = daemon, running
		return
	}
	if e, ok := o.finalAnswers.get(r.ID); ok && e.action.Reason == ReasonEnded {
		return
	}
	if p, ok := o.permits[r.ID]; ok {
		o.queue.Remove(p.entry)
		delete(o.permits, r.ID)
	}
	o.finalAnswers.remove(r.ID)
	if r.Arrived.IsZero() {
		r.Arrived = o.now
	}
	p := o.newPermit(r)
	p.entry = o.queue.AddRunning(o.now, o.item(p))
	p.chargedTokens = p.expectedTokens
	p.startStep = o.stepCounter.current.steps - float64(h.Produced)
	p.moments = o.momentsOf(p, h.Produced)
	p.priority = o.enginePriority(p)
	o.permits[r.ID] = p
	o.addGranted(p)
}

// RemoveDaemon handles the failure of a daemon. Its queued requests are dropped.
// Its generations are cancelled after Config.ResumeGrace, unless another daemon
// takes them over by Restore or Enqueue.
func (o *Owner) RemoveDaemon(now time.Time, daemon string) []Action {
	o.advance(now)
	var held []*permit
	for _, p := range o.permits {
		if p.req.Daemon == daemon {
			held = append(held, p)
		}
	}
	slices.SortFunc(held, func(a, b *permit) int { return strings.Compare(string(a.req.ID), string(b.req.ID)) })
	for _, p := range held {
		switch p.state {
		case queued:
			o.queue.Remove(p.entry)
			o.endPermit(p, Action{Kind: Refuse, ID: p.req.ID, Reason: ReasonEnded})
		case running:
			p.state, p.orphanedAt = orphaned, o.now
		case orphaned:
		}
	}
	delete(o.pendingRestores, daemon)
	return o.checkInvariants(o.schedule(nil))
}

// cancelOrphans cancels the orphaned generations whose grace period has passed and
// appends the cancellations to actions.
func (o *Owner) cancelOrphans(actions []Action) []Action {
	for i := len(o.granted) - 1; i >= 0; i-- {
		p := o.granted[i]
		if p.state != orphaned || o.now.Sub(p.orphanedAt) < o.cfg.ResumeGrace {
			continue
		}
		produced := p.produced(o.stepCounter.current.steps)
		o.removeGranted(p, produced)
		o.endPermit(p, Action{Kind: Refuse, ID: p.req.ID, Reason: ReasonEnded})
		actions = append(actions, Action{Kind: Cancel, ID: p.req.ID, Reason: ReasonOrphan})
	}
	return actions
}
