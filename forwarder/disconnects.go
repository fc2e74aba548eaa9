package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/peeker"
)

// disconnectPollInterval is the interval for checking the connections of waiting
// clients. Work for a client that has disconnected must end within half a second.
const disconnectPollInterval = 100 * time.Millisecond

// idleDisconnectInterval is the interval while no client waits; a new one ends the wait.
const idleDisconnectInterval = time.Minute

// disconnectWatcher detects clients that disconnect before they have received the
// complete response.
type disconnectWatcher struct {
	added waker // Wakes run.

	mu    sync.Mutex
	conns map[net.Conn]context.CancelCauseFunc
}

func newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{added: newWaker(), conns: map[net.Conn]context.CancelCauseFunc{}}
}

// watch arranges that cancel is called when the client closes c, until unwatch is
// called.
func (w *disconnectWatcher) watch(c net.Conn, cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.conns) == 0 {
		w.added.wake()
	}
	w.conns[c] = cancel
}

func (w *disconnectWatcher) unwatch(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// poll cancels the requests of clients that have disconnected. It returns the time until the next
// poll.
func (w *disconnectWatcher) poll() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.conns {
		if peeker.Peek(c) == peeker.Closed {
			cancel(errClientDisconnected)
			delete(w.conns, c)
		}
	}
	if len(w.conns) == 0 {
		return idleDisconnectInterval
	}
	return disconnectPollInterval
}

// run checks the connections of clients periodically, while there are any, until ctx ends.
func (w *disconnectWatcher) run(ctx context.Context, clock timekeeper.Waiter) {
	for w.added.wait(ctx, clock, w.poll()) == nil { //nolint:revive // The condition does the work.
	}
}
