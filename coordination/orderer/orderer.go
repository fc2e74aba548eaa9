// Package orderer decides which orders the holder of a lease sends to the
// endpoints of its failure domain. An order loads or unloads a placement, which is
// a version of a model with an optional adapter, or changes the role of an engine.
// An endpoint that has a placement ready holds a copy of it.
//
// Orders are level-triggered: each plan compares the manifest with the reports
// of the endpoints, so that lost orders, restarts and changes of the lease
// holder need no stored state. Each endpoint has at most one outstanding order,
// and the next one requires a report made after the previous order ended. Loads
// are limited to this failure domain's share of the load rate that the weight
// store, from which engines load models, allows to all domains together. The last
// ready copy of a placement with traffic is never unloaded.
//
// An Orderer does no I/O. The caller sends the orders that Plan returns and
// passes the result of each to Finish.
package orderer

import (
	"slices"
	"strconv"
	"time"

	"monsoonspar.example/coordination/leaser"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/cataloger"
)

// Settings are the timeouts and limits of orders.
type Settings struct {
	Timeout        time.Duration // Timeout of one order; the same as in the settings of the lease.
	MaxOverrun     time.Duration // Longest time after its timeout at which a lost order may still arrive.
	MaxSendDelay   time.Duration // Longest time from Plan until an order is written to the connection.
	MaxReportAge   time.Duration // Reports older than this are ignored.
	LoadsPerMinute float64       // This failure domain's share of the weight store's load rate; unlimited if zero.
	Backoff        time.Duration // Delay after the first failed order; doubles with each further failure.
	MaxBackoff     time.Duration

	disabled mechanisms
}

// mechanisms selects protections that tests disable to show that each is
// needed.
type mechanisms struct {
	waitForEarlierTerms bool // Wait until no order of an earlier lease holder can still arrive.
	fitLease            bool // Send only orders that end before the lease expires.
	keepLastCopy        bool // Keep the last ready copy of a placement with traffic.
	serialize           bool // Allow one outstanding order for each endpoint.
	freshReports        bool // Count only copies reported after the orders of earlier holders ended.
	rateLimit           bool // Limit the rate of loads.
	awaitOutstanding    bool // Release the lease only when no order can still arrive.
}

// DefaultSettings returns the settings of a deployment that configures none.
func DefaultSettings() Settings {
	return Settings{
		Timeout:        leaser.DefaultSettings().OrderTimeout,
		MaxOverrun:     5 * time.Second,
		MaxSendDelay:   time.Second,
		MaxReportAge:   15 * time.Second,
		LoadsPerMinute: 6,
		Backoff:        2 * time.Second,
		MaxBackoff:     time.Minute,
	}
}

// orderState is the state of the last order to one endpoint.
type orderState struct {
	order    Order
	endsAt   time.Time // After this time the order can no longer arrive, even without a response.
	failures int
	retryAt  time.Time // Earliest time of the next order.
}

// Orderer plans the orders of one failure domain. It is not safe for concurrent
// use.
type Orderer struct {
	cfg          Settings
	fence        uint64
	seq          uint64
	states       map[string]*orderState
	loadTokens   float64 // Token bucket of loads; holds at most one.
	refilledAt   time.Time
	highestFence map[string]uint64 // Highest fencing token sent to each endpoint.
}

// New returns an Orderer with no outstanding orders.
func New(cfg Settings) *Orderer {
	return &Orderer{cfg: cfg, states: make(map[string]*orderState), highestFence: make(map[string]uint64)}
}

// Plan returns the orders to send at now under term. The caller must hold the
// lease.
func (o *Orderer) Plan(now time.Time, term leaser.Term, v View) []Order {
	o.startTerm(now, term)
	o.refill(now)
	if !o.fitsLease(now, term) {
		return nil
	}
	p := plan{orderer: o, now: now, term: term, view: v}
	var orders []Order
	for _, d := range v.Desired {
		if ord, ok := p.nextOrder(d); ok {
			orders = append(orders, o.recordOutstanding(now, ord, v))
		}
	}
	return orders
}

// startTerm discards the orders of an earlier term. None of them can still arrive
// after term.SafeFrom.
func (o *Orderer) startTerm(now time.Time, term leaser.Term) {
	if term.FencingToken == o.fence {
		return
	}
	o.fence = term.FencingToken
	o.seq = 0
	clear(o.states)
	// An earlier holder may just have used the load rate.
	o.loadTokens = 0
	o.refilledAt = now
}

func (o *Orderer) refill(now time.Time) {
	o.loadTokens += now.Sub(o.refilledAt).Minutes() * o.cfg.LoadsPerMinute
	o.loadTokens = min(o.loadTokens, 1)
	o.refilledAt = now
}

// fitsLease reports whether an order that is sent now ends before the lease
// expires.
func (o *Orderer) fitsLease(now time.Time, term leaser.Term) bool {
	return o.cfg.disabled.fitLease || !now.After(term.Until.Add(-o.cfg.Timeout))
}

// sendDeadline returns the latest time at which an order planned now may be
// written.
func (o *Orderer) sendDeadline(now time.Time, term leaser.Term) time.Time {
	deadline := now.Add(o.cfg.MaxSendDelay)
	if latest := term.Until.Add(-o.cfg.Timeout); latest.Before(deadline) && !o.cfg.disabled.fitLease {
		return latest
	}
	return deadline
}

// recordOutstanding records ord as the outstanding order of its endpoint and
// returns it.
func (o *Orderer) recordOutstanding(now time.Time, ord Order, v View) Order {
	if ord.Kind == KindUnload {
		isLastCopy := slices.Contains(v.Traffic, ord.Placement) && o.otherCopies(now, ord.Endpoint, ord.Placement, v, time.Time{}) == 0
		asserter.That(!isLastCopy, asserter.LastReadyCopy, "unload of "+ord.Placement.Model+" at "+ord.Endpoint)
	}
	asserter.That(ord.FencingToken >= o.highestFence[ord.Endpoint], asserter.FenceMonotonic, "order to "+ord.Endpoint)
	o.highestFence[ord.Endpoint] = ord.FencingToken
	if ord.Kind == KindLoad {
		o.loadTokens--
	}
	state := o.states[ord.Endpoint]
	if state == nil {
		state = &orderState{}
		o.states[ord.Endpoint] = state
	}
	state.order = ord
	state.endsAt = ord.SendDeadline.Add(ord.Timeout + o.cfg.MaxOverrun)
	return ord
}

// otherCopies counts the endpoints, except one, that have reported p as ready
// since the given time and have no order that may have unloaded it.
func (o *Orderer) otherCopies(now time.Time, except string, p cataloger.Placement, v View, since time.Time) int {
	n := 0
	for _, ob := range v.Observed {
		ready := slices.Contains(ob.Ready, p) && !ob.ShuttingDown && !o.stale(now, ob) && !ob.At.Before(since)
		if ready && ob.Endpoint != except && !o.mayHaveUnloaded(ob, p) {
			n++
		}
	}
	return n
}

func (o *Orderer) stale(now time.Time, ob Observed) bool { return now.Sub(ob.At) > o.cfg.MaxReportAge }

// mayHaveUnloaded reports whether an order may have unloaded p since the
// report.
func (o *Orderer) mayHaveUnloaded(ob Observed, p cataloger.Placement) bool {
	state := o.states[ob.Endpoint]
	return state != nil && state.order.Kind == KindUnload && state.order.Placement == p && !ob.At.After(state.endsAt)
}

// Finish records the result of an order. It reports whether the lease must be
// surrendered because an endpoint has seen the fencing token of a later holder.
func (o *Orderer) Finish(now time.Time, ord Order, res Result) (fenced bool) {
	state := o.states[ord.Endpoint]
	if state == nil || state.order.ID != ord.ID {
		return res == ResultFenced
	}
	switch res {
	case ResultDone:
		state.endsAt = now
		state.failures = 0
	case ResultFailed, ResultFenced:
		state.endsAt = now
		state.failures++
		state.retryAt = now.Add(o.backoff(state.failures))
	case ResultUnknown:
		// The order may still arrive until state.endsAt.
	}
	return res == ResultFenced
}

func (o *Orderer) backoff(failures int) time.Duration {
	if failures > 8 {
		return o.cfg.MaxBackoff
	}
	return min(o.cfg.Backoff<<(failures-1), o.cfg.MaxBackoff)
}

// MayRelease reports whether the lease may be released: no order can still arrive. The
// next holder sends orders at once after a release, unlike after an expiry.
func (o *Orderer) MayRelease(now time.Time) bool {
	return o.cfg.disabled.awaitOutstanding || o.Outstanding(now) == 0
}

// Outstanding returns the number of orders that may still arrive at now.
func (o *Orderer) Outstanding(now time.Time) int {
	n := 0
	for _, state := range o.states {
		if now.Before(state.endsAt) {
			n++
		}
	}
	return n
}

func (o *Orderer) nextID() string {
	o.seq++
	return strconv.FormatUint(o.fence, 10) + "/" + strconv.FormatUint(o.seq, 10)
}
