// Package timekeeper provides clocks for code that must behave the same with
// real and with virtual time.
package timekeeper

import (
	"context"
	"sync"
	"time"
)

// Clock returns the current time. Times have a monotonic clock reading if the
// implementation provides one, so that changes of the wall clock do not affect
// their differences.
type Clock interface {
	Now() time.Time
}

// Sleeper is a Clock that can also sleep.
type Sleeper interface {
	Clock
	// Sleep waits until d has passed or ctx is done, whichever is first. It
	// returns the error of ctx in the latter case.
	Sleep(ctx context.Context, d time.Duration) error
}

// Waiter is a Sleeper whose sleep can be ended sooner.
type Waiter interface {
	Sleeper
	// Wait is like Sleep, but returns sooner when wake delivers a value.
	Wait(ctx context.Context, d time.Duration, wake <-chan struct{}) error
}

// System is the system clock. The zero value is ready to use.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// Sleep waits until d has passed or ctx is done.
func (s System) Sleep(ctx context.Context, d time.Duration) error { return s.Wait(ctx, d, nil) }

// Wait waits until d has passed, wake delivers a value, or ctx is done.
func (System) Wait(ctx context.Context, d time.Duration, wake <-chan struct{}) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-wake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Manual is a clock that advances only when Advance is called. The zero value is
// set to the zero time.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a Manual clock set to now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the time to which the clock is set.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance advances the clock by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
