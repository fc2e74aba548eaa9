package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"monsoonspar.example/transport/peeker"
)

// disconnectPollInterval is the interval for checking the connections of waiting
// clients. Work for a client that has disconnected must end within half a second.
const disconnectPollInterval = 100 * time.Millisecond

// disconnectWatcher detects clients that disconnect before they have received the
// complete response.
type disconnectWatcher struct {
	mu    sync.Mutex
	conns map[net.Conn]context.CancelCauseFunc
}

func newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{conns: map[net.Conn]context.CancelCauseFunc{}}
}

// watch arranges that cancel is called when the client closes c, until unwatch is
// called.
func (w *disconnectWatcher) watch(c net.Conn, cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = cancel
}

func (w *disconnectWatcher) unwatch(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// poll cancels the requests of clients that have disconnected.
func (w *disconnectWatcher) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.conns {
		if peeker.Peek(c) == peeker.Closed {
			cancel(errClientDisconnected)
			delete(w.conns, c)
		}
	}
}

// pollDisconnects checks the connections of clients periodically until ctx ends.
func (f *Forwarder) pollDisconnects(ctx context.Context) {
	for f.clock.Sleep(ctx, disconnectPollInterval) == nil {
		f.disconnects.poll()
	}
}
