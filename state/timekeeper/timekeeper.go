// Package timekeeper gives the time to code that must run the same on a real
// and on a virtual clock.
package timekeeper

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time. Times that it returns carry a monotonic reading where
// the implementation has one, so differences between them do not jump.
type Clock interface {
	Now() time.Time
}

// Sleeper is a Clock that can also wait.
type Sleeper interface {
	Clock
	// Sleep waits for d or until ctx ends, whichever is first, and returns
	// the error of ctx in the latter case.
	Sleep(ctx context.Context, d time.Duration) error
}

// System is the clock of the operating system. The zero value is ready to use.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// Sleep waits for d or until ctx ends.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Manual is a clock that moves only when told to. The zero value stands at the
// zero time.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock that stands at now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the time at which the clock stands.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
