package admitter

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
)

const (
	marginStep   = 0.3  // Deviations added for a report with preemptions.
	marginDecay  = 0.01 // Deviations taken back for a second without.
	marginLowest = -0.5 // Bounds of the change.
	marginMost   = 2.5
)

// margin is how many deviations above the mean the forecast is read. It grows
// with each report of preemptions and falls slowly without.
type margin struct {
	base   float64
	extra  float64
	ticked time.Time
}

// newMargin returns the margin for a quantile.
func newMargin(quantile float64) margin { return margin{base: forecaster.Deviations(quantile)} }

// deviations returns the present margin.
func (m *margin) deviations() float64 { return m.base + m.extra }

// raise reacts to preemptions.
func (m *margin) raise() { m.extra = min(m.extra+marginStep, marginMost) }

// tick lets the margin fall.
func (m *margin) tick(now time.Time) {
	if !m.ticked.IsZero() {
		m.extra = max(m.extra-marginDecay*now.Sub(m.ticked).Seconds(), marginLowest)
	}
	m.ticked = now
}
