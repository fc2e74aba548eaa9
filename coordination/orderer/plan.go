package orderer

import (
	"slices"
	"time"

	"monsoonspar.example/coordination/leaser"
	"monsoonspar.example/state/cataloger"
)

// plan is one comparison of a View.
type plan struct {
	o    *Orderer
	now  time.Time
	term leaser.Term
	view View
}

// next returns the order that brings an endpoint one step closer to d.
func (p plan) next(d Desired) (Order, bool) {
	ob, ok := p.observed(d.Endpoint)
	if !ok || ob.Leaving || !p.open(d, ob) {
		return Order{}, false
	}
	if d.Role != "" && d.Role != ob.Role {
		return p.order(d, KindRole, cataloger.Placement{}), true
	}
	if load, ok := missing(d, ob); ok && p.mayLoad() {
		return p.order(d, KindLoad, load), true
	}
	for _, extra := range ob.Ready {
		if !slices.Contains(d.Placements, extra) && p.mayUnload(d.Endpoint, extra) {
			return p.order(d, KindUnload, extra), true
		}
	}
	return Order{}, false
}

func (p plan) observed(endpoint string) (Observed, bool) {
	i := slices.IndexFunc(p.view.Observed, func(ob Observed) bool { return ob.Endpoint == endpoint })
	if i < 0 {
		return Observed{}, false
	}
	ob := p.view.Observed[i]
	return ob, !p.o.stale(p.now, ob)
}

// open reports whether the endpoint can be given an order: none is under way,
// its report is from after the last one, and no earlier holder's order can
// still arrive where it would not be refused.
func (p plan) open(d Desired, ob Observed) bool {
	if !d.ChecksFence && p.now.Before(p.term.Quiet) && !p.o.cfg.off.waitOut {
		return false
	}
	l := p.o.last[d.Endpoint]
	if l == nil || p.o.cfg.off.serial {
		return true
	}
	return ob.At.After(l.ends) && !p.now.Before(l.retry)
}

func missing(d Desired, ob Observed) (cataloger.Placement, bool) {
	for _, want := range d.Placements {
		if !slices.Contains(ob.Ready, want) {
			return want, true
		}
	}
	return cataloger.Placement{}, false
}

func (p plan) mayLoad() bool {
	return p.o.cfg.LoadsPerMinute == 0 || p.o.budget >= 1 || p.o.cfg.off.rate
}

// mayUnload reports whether another copy stays ready, as reported since orders
// of earlier holders have ended.
func (p plan) mayUnload(endpoint string, extra cataloger.Placement) bool {
	if p.now.Before(p.term.Quiet) && !p.o.cfg.off.waitOut {
		return false
	}
	if !slices.Contains(p.view.Traffic, extra) || p.o.cfg.off.lastCopy {
		return true
	}
	since := p.term.Quiet
	if p.o.cfg.off.fresh {
		since = time.Time{}
	}
	return p.o.otherCopies(p.now, endpoint, extra, p.view, since) > 0
}

func (p plan) order(d Desired, k Kind, pl cataloger.Placement) Order {
	ord := Order{
		ID:        p.o.id(),
		Endpoint:  d.Endpoint,
		Kind:      k,
		Placement: pl,
		Fence:     p.term.Fence,
		By:        p.o.sendBy(p.now, p.term),
		Timeout:   p.o.cfg.Timeout,
	}
	if k == KindRole {
		ord.Role = d.Role
	}
	return ord
}
