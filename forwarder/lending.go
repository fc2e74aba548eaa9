package forwarder

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Daemons have even shares of the retry budget, but the engines that leave may
// all run streams of one daemon. It then asks peers for some of theirs, which
// the peer counts as its own: all together stay inside the budget.
const (
	maxLenders  = 4                      // Peers that are asked; most have unused shares.
	lendTimeout = 100 * time.Millisecond // A stopped run waits meanwhile.
	lendReserve = 0.5                    // Part of a daemon's share that it does not lend.
)

// lendMessage asks for one retry of a service.
type lendMessage struct {
	Service string `msgpack:"service"`
}

// lentMessage is the answer.
type lentMessage struct {
	Lent bool `msgpack:"lent"`
}

// mayGoOn reports whether a generation may be sent once more, from this daemon's
// share of the retry budget or from a peer's.
func (f *Forwarder) mayGoOn(ctx context.Context, x *exchange) bool {
	if f.budget.TryRetry(x.service, 0, f.clock.Now()) {
		return true
	}
	for _, o := range f.peers.lenders() {
		c, cancel := context.WithTimeout(ctx, lendTimeout)
		var got lentMessage
		err := f.peers.call(c, o, methodLend, lendMessage{Service: x.service}, &got)
		cancel()
		f.describe(f.log.Info(), x).Err(err).Str("peer", o.daemon.Name).Bool("lent", got.Lent).Msg("forwarder: retry asked of a peer")
		if err == nil && got.Lent {
			f.metrics.count("retries_borrowed")
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// lenders returns a few peers at random.
func (p *peers) lenders() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var some []*peer
	for _, o := range p.known { // In random order.
		if o.answers() && len(some) < maxLenders {
			some = append(some, o)
		}
	}
	return some
}

// lend answers a peer that asks for a retry.
func (p *peers) lend(name string, body []byte) ([]byte, error) {
	var m lendMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	lent := p.f.budget.TryRetry(m.Service, lendReserve, p.f.clock.Now())
	p.f.log.Info().Str("peer", name).Str("service", m.Service).Bool("lent", lent).Msg("forwarder: retry lent to a peer")
	return msgpack.Marshal(lentMessage{Lent: lent})
}
