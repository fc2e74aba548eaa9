// Package pausemeter measures for how long a process did not run, from the wake-ups of a loop that come late: the
// process was stopped, or had no processor.
package pausemeter

import (
	"sync"
	"time"
)

// Limits of what counts and is reported.
const (
	Tolerance      = 200 * time.Millisecond // A wake-up that is late by no more is not a pause.
	ReportInterval = time.Second            // Between reports.
)

// Report sums up the pauses since the last report.
type Report struct {
	Count   int
	Sum     time.Duration
	Longest time.Duration
	Since   time.Time // Begin of the first one, at the earliest.
}

// Meter measures pauses. Its methods are safe for concurrent use. The zero value is ready to use.
type Meter struct {
	mu         sync.Mutex
	lastWake   time.Time
	total      time.Duration
	pending    Report
	reportedAt time.Time
}

// Wake records that the loop has woken up, at the latest asked after it did so before. It returns by how much it is
// late, which is a lower bound of the pause; zero if it is not.
func (m *Meter) Wake(asked time.Duration, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.lastWake
	m.lastWake = now
	pause := now.Sub(before) - asked
	if before.IsZero() || pause <= Tolerance {
		return 0
	}
	if m.pending.Count == 0 {
		m.pending.Since = before
	}
	m.pending.Count++
	m.pending.Sum += pause
	m.pending.Longest = max(m.pending.Longest, pause)
	m.total += pause
	return pause
}

// Report returns the pauses that are due to be reported, at most once in ReportInterval.
func (m *Meter) Report(now time.Time) (Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending.Count == 0 || !m.reportedAt.IsZero() && now.Sub(m.reportedAt) < ReportInterval {
		return Report{}, false
	}
	r := m.pending
	m.pending, m.reportedAt = Report{}, now
	return r, true
}

// Total returns the sum of all pauses up to the last wake-up.
func (m *Meter) Total() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}
