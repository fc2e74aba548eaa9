package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"monsoonspar.example/transport/peeker"
)

// presenceInterval is the time between looks at the connections of waiting
// clients. Work for a client that has left must end within half a second.
const presenceInterval = 100 * time.Millisecond

// presence finds clients that leave before their answer.
type presence struct {
	mu    sync.Mutex
	conns map[net.Conn]context.CancelCauseFunc
}

func newPresence() *presence { return &presence{conns: map[net.Conn]context.CancelCauseFunc{}} }

// watch calls cancel when the other side of c closes it, until forget.
func (p *presence) watch(c net.Conn, cancel context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = cancel
}

func (p *presence) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// look cancels the requests of clients that have left.
func (p *presence) look() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, cancel := range p.conns {
		if peeker.Peek(c) == peeker.Closed {
			cancel(errClientGone)
			delete(p.conns, c)
		}
	}
}

// watchClients looks at the connections of clients until ctx ends.
func (f *Forwarder) watchClients(ctx context.Context) {
	for f.clock.Sleep(ctx, presenceInterval) == nil {
		f.presence.look()
	}
}
