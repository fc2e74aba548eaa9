// Package orderer decides which orders the holder of a lease gives to the
// endpoints of its failure domain.
//
// Orders are level-triggered: each plan compares what the manifest asks for
// with what endpoints reported, so that lost orders, restarts and new holders
// need nothing remembered. One order is outstanding for each endpoint, and the
// next one waits for a report from after its end. Loads keep to the rate of the
// weight store. The last ready copy of a placement with traffic is never
// unloaded.
//
// An Orderer does no I/O. The caller sends the orders of Plan and reports each
// through Finish.
package orderer

import (
	"slices"
	"strconv"
	"time"

	"monsoonspar.example/coordination/leaser"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/cataloger"
)

// Settings are the limits of orders.
type Settings struct {
	Timeout        time.Duration // Of one order; that of the lease settings.
	Late           time.Duration // Longest time by which a lost order may outlast its timeout.
	SendWithin     time.Duration // Longest time from Plan until an order is written.
	MaxAge         time.Duration // Age at which a report no longer counts.
	LoadsPerMinute float64       // This failure domain's part of the weight store's rate; none if zero.
	Backoff        time.Duration // Pause after an endpoint refused an order.
	MaxBackoff     time.Duration

	off mechanisms
}

// mechanisms are parts that tests switch off to show what they are for.
type mechanisms struct {
	waitOut  bool // Wait until orders of earlier holders have ended.
	fit      bool // Send only what ends within the lease.
	lastCopy bool // Keep the last ready copy.
	serial   bool // One order at a time for each endpoint.
	fresh    bool // Count only copies reported since earlier orders ended.
	rate     bool // Keep to the rate of loads.
}

// DefaultSettings returns the settings of a deployment that sets none.
func DefaultSettings() Settings {
	return Settings{
		Timeout:        leaser.DefaultSettings().OrderTimeout,
		Late:           5 * time.Second,
		SendWithin:     time.Second,
		MaxAge:         15 * time.Second,
		LoadsPerMinute: 6,
		Backoff:        2 * time.Second,
		MaxBackoff:     time.Minute,
	}
}

// pending is the last order of one endpoint.
type pending struct {
	order    Order
	ends     time.Time // When it has ended, whether or not it is answered.
	failures int
	retry    time.Time // No order before this time.
}

// Orderer plans the orders of one failure domain. It is not safe for
// concurrent use.
type Orderer struct {
	cfg     Settings
	fence   uint64
	seq     uint64
	last    map[string]*pending
	budget  float64 // Loads that may be ordered.
	filled  time.Time
	highest map[string]uint64 // Highest fencing number sent to each endpoint.
}

// New returns an Orderer without orders under way.
func New(cfg Settings) *Orderer {
	return &Orderer{cfg: cfg, last: make(map[string]*pending), highest: make(map[string]uint64)}
}

// Plan returns the orders to send at now under term, which is held. It must not
// be called without a lease.
func (o *Orderer) Plan(now time.Time, term leaser.Term, v View) []Order {
	o.begin(now, term)
	o.refill(now)
	if !o.fits(now, term) {
		return nil
	}
	p := plan{o: o, now: now, term: term, view: v}
	var orders []Order
	for _, d := range v.Desired {
		if ord, ok := p.next(d); ok {
			orders = append(orders, o.emit(now, ord, v))
		}
	}
	return orders
}

// begin forgets the orders of an earlier term, which end before the present
// term is quiet.
func (o *Orderer) begin(now time.Time, term leaser.Term) {
	if term.Fence == o.fence {
		return
	}
	o.fence = term.Fence
	o.seq = 0
	clear(o.last)
	// An earlier holder may have used up the rate just now.
	o.budget = 0
	o.filled = now
}

func (o *Orderer) refill(now time.Time) {
	o.budget += now.Sub(o.filled).Minutes() * o.cfg.LoadsPerMinute
	o.budget = min(o.budget, 1)
	o.filled = now
}

// fits reports whether an order that is sent now ends within the lease.
func (o *Orderer) fits(now time.Time, term leaser.Term) bool {
	return o.cfg.off.fit || !now.After(term.Until.Add(-o.cfg.Timeout))
}

// sendBy returns the last time at which an order planned now may be written.
func (o *Orderer) sendBy(now time.Time, term leaser.Term) time.Time {
	by := now.Add(o.cfg.SendWithin)
	if last := term.Until.Add(-o.cfg.Timeout); last.Before(by) && !o.cfg.off.fit {
		return last
	}
	return by
}

// emit notes ord as outstanding.
func (o *Orderer) emit(now time.Time, ord Order, v View) Order {
	if ord.Kind == KindUnload {
		last := slices.Contains(v.Traffic, ord.Placement) && o.otherCopies(now, ord.Endpoint, ord.Placement, v, time.Time{}) == 0
		asserter.That(!last, asserter.LastReadyCopy, "unload of "+ord.Placement.Model+" at "+ord.Endpoint)
	}
	asserter.That(ord.Fence >= o.highest[ord.Endpoint], asserter.FenceMonotonic, "order to "+ord.Endpoint)
	o.highest[ord.Endpoint] = ord.Fence
	if ord.Kind == KindLoad {
		o.budget--
	}
	p := o.last[ord.Endpoint]
	if p == nil {
		p = &pending{}
		o.last[ord.Endpoint] = p
	}
	p.order = ord
	p.ends = ord.By.Add(ord.Timeout + o.cfg.Late)
	return ord
}

// otherCopies counts the endpoints but one that report p ready since a time,
// and are not under an order to unload it.
func (o *Orderer) otherCopies(now time.Time, but string, p cataloger.Placement, v View, since time.Time) int {
	n := 0
	for _, ob := range v.Observed {
		ready := slices.Contains(ob.Ready, p) && !ob.Leaving && !o.stale(now, ob) && !ob.At.Before(since)
		if ready && ob.Endpoint != but && !o.unloading(ob, p) {
			n++
		}
	}
	return n
}

func (o *Orderer) stale(now time.Time, ob Observed) bool { return now.Sub(ob.At) > o.cfg.MaxAge }

// unloading reports whether an order may have unloaded p since the report.
func (o *Orderer) unloading(ob Observed, p cataloger.Placement) bool {
	l := o.last[ob.Endpoint]
	return l != nil && l.order.Kind == KindUnload && l.order.Placement == p && !ob.At.After(l.ends)
}

// Finish takes in the result of an order. It reports whether the lease must be
// given up, since an endpoint has seen a later holder.
func (o *Orderer) Finish(now time.Time, ord Order, res Result) (fenced bool) {
	l := o.last[ord.Endpoint]
	if l == nil || l.order.ID != ord.ID {
		return res == ResultFenced
	}
	switch res {
	case ResultDone:
		l.ends = now
		l.failures = 0
	case ResultFailed, ResultFenced:
		l.ends = now
		l.failures++
		l.retry = now.Add(o.backoff(l.failures))
	case ResultLost:
		// It may still arrive until l.ends.
	}
	return res == ResultFenced
}

func (o *Orderer) backoff(failures int) time.Duration {
	if failures > 8 {
		return o.cfg.MaxBackoff
	}
	return min(o.cfg.Backoff<<(failures-1), o.cfg.MaxBackoff)
}

// Outstanding counts the orders that may still be under way at now.
func (o *Orderer) Outstanding(now time.Time) int {
	n := 0
	for _, l := range o.last {
		if now.Before(l.ends) {
			n++
		}
	}
	return n
}

func (o *Orderer) id() string {
	o.seq++
	return strconv.FormatUint(o.fence, 10) + "/" + strconv.FormatUint(o.seq, 10)
}
