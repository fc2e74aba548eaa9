package forwarder

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Each daemon has an equal share of the retry budget, but the engines that shut
// down at the same time may all run streams of one daemon. That daemon then borrows
// retries from its peers. A peer counts a retry that it grants as its own, so that
// all daemons together stay within the budget.
const (
	maxBorrowPeers = 4                      // Peers that are asked for one retry; most have retries left.
	borrowTimeout  = 100 * time.Millisecond // Per peer; a stopped run waits during this time.
	grantReserve   = 0.5                    // Fraction of its share that a daemon keeps for itself.
)

// borrowRequest requests one retry for a service.
type borrowRequest struct {
	Service string `msgpack:"service"`
}

// borrowResponse is the response to a borrowRequest.
type borrowResponse struct {
	Granted bool `msgpack:"lent"`
}

// acquireRetry reports whether a generation may be sent again. It takes the retry
// from this daemon's share of the budget, or else from the share of a peer.
func (f *Forwarder) acquireRetry(ctx context.Context, x *exchange) bool {
	if f.budget.TryRetry(x.service, 0, f.clock.Now()) {
		return true
	}
	for _, o := range f.peers.borrowPeers() {
		c, cancel := context.WithTimeout(ctx, borrowTimeout)
		var res borrowResponse
		err := f.peers.call(c, o.daemon.Addr, methodBorrow, borrowRequest{Service: x.service}, &res)
		cancel()
		f.addRequestFields(f.log.Info(), x).Err(err).Str("peer", o.daemon.Name).Bool("lent", res.Granted).Msg("forwarder: retry budget used up; requested a retry from a peer")
		if err == nil && res.Granted {
			f.metrics.count("retries_borrowed")
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// borrowPeers returns up to maxBorrowPeers reachable peers in random order.
func (p *peers) borrowPeers() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []*peer
	for _, o := range p.known { // Map order is random.
		if o.reachable() && len(chosen) < maxBorrowPeers {
			chosen = append(chosen, o)
		}
	}
	return chosen
}

// grantRetry handles a request of a peer to borrow a retry.
func (p *peers) grantRetry(name string, body []byte) ([]byte, error) {
	var m borrowRequest
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	granted := p.f.budget.TryRetry(m.Service, grantReserve, p.f.clock.Now())
	p.f.log.Info().Str("peer", name).Str("service", m.Service).Bool("lent", granted).Msg("forwarder: peer requested a retry")
	return msgpack.Marshal(borrowResponse{Granted: granted})
}
