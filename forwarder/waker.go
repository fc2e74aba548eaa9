package forwarder

import (
	"context"
	"time"

	"monsoonspar.example/state/timekeeper"
)

// waker wakes the goroutine that waits for it. A wake before the wait ends the next one.
type waker chan struct{}

func newWaker() waker { return make(waker, 1) }

func (w waker) wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// wait waits until wake is called or d has passed. It returns the error of ctx if that ends before.
func (w waker) wait(ctx context.Context, clock timekeeper.Waiter, d time.Duration) error {
	return clock.Wait(ctx, d, w)
}
