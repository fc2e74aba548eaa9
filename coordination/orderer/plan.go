package orderer

import (
	"slices"
	"time"

	"monsoonspar.example/coordination/leaser"
	"monsoonspar.example/state/cataloger"
)

// plan compares the desired with the observed state of one View.
type plan struct {
	orderer *Orderer
	now     time.Time
	term    leaser.Term
	view    View
}

// nextOrder returns the order that brings an endpoint one step closer to d.
func (p plan) nextOrder(d Desired) (Order, bool) {
	ob, ok := p.latestReport(d.Endpoint)
	if !ok || ob.ShuttingDown || !p.acceptsOrder(d, ob) {
		return Order{}, false
	}
	if d.Role != "" && d.Role != ob.Role {
		return p.newOrder(d, KindRole, cataloger.Placement{}), true
	}
	if load, ok := missingPlacement(d, ob); ok && p.mayLoad() {
		return p.newOrder(d, KindLoad, load), true
	}
	for _, extra := range ob.Ready {
		if !slices.Contains(d.Placements, extra) && p.mayUnload(d.Endpoint, extra) {
			return p.newOrder(d, KindUnload, extra), true
		}
	}
	return Order{}, false
}

func (p plan) latestReport(endpoint string) (Observed, bool) {
	i := slices.IndexFunc(p.view.Observed, func(ob Observed) bool { return ob.Endpoint == endpoint })
	if i < 0 {
		return Observed{}, false
	}
	ob := p.view.Observed[i]
	return ob, !p.orderer.stale(p.now, ob)
}

// acceptsOrder reports whether the endpoint may be sent an order: none is
// outstanding, its report was made after the last one ended, its backoff has
// passed, and no order of an earlier holder can still arrive that the endpoint
// would not refuse.
func (p plan) acceptsOrder(d Desired, ob Observed) bool {
	if !d.ChecksFence && p.now.Before(p.term.SafeFrom) && !p.orderer.cfg.disabled.waitForEarlierTerms {
		return false
	}
	state := p.orderer.states[d.Endpoint]
	if state == nil || p.orderer.cfg.disabled.serialize {
		return true
	}
	return ob.At.After(state.endsAt) && !p.now.Before(state.retryAt)
}

func missingPlacement(d Desired, ob Observed) (cataloger.Placement, bool) {
	for _, want := range d.Placements {
		if !slices.Contains(ob.Ready, want) {
			return want, true
		}
	}
	return cataloger.Placement{}, false
}

func (p plan) mayLoad() bool {
	return p.orderer.cfg.LoadsPerMinute == 0 || p.orderer.loadTokens >= 1 || p.orderer.cfg.disabled.rateLimit
}

// mayUnload reports whether extra may be unloaded. A placement with traffic
// needs another copy that was reported ready after the orders of earlier
// holders ended.
func (p plan) mayUnload(endpoint string, extra cataloger.Placement) bool {
	if p.now.Before(p.term.SafeFrom) && !p.orderer.cfg.disabled.waitForEarlierTerms {
		return false
	}
	if !slices.Contains(p.view.Traffic, extra) || p.orderer.cfg.disabled.keepLastCopy {
		return true
	}
	since := p.term.SafeFrom
	if p.orderer.cfg.disabled.freshReports {
		since = time.Time{}
	}
	return p.orderer.otherCopies(p.now, endpoint, extra, p.view, since) > 0
}

func (p plan) newOrder(d Desired, k Kind, pl cataloger.Placement) Order {
	ord := Order{
		ID:           p.orderer.nextID(),
		Endpoint:     d.Endpoint,
		Kind:         k,
		Placement:    pl,
		FencingToken: p.term.FencingToken,
		SendDeadline: p.orderer.sendDeadline(p.now, p.term),
		Timeout:      p.orderer.cfg.Timeout,
	}
	if k == KindRole {
		ord.Role = d.Role
	}
	return ord
}
