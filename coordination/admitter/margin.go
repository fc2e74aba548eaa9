package admitter

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
)

const (
	marginIncrease       = 0.3  // Standard deviations added by a report with new preemptions.
	marginDecayPerSecond = 0.01 // Standard deviations subtracted per second.
	minMarginAdjustment  = -0.5 // Bounds of the adjustment, in standard deviations.
	maxMarginAdjustment  = 2.5
)

// margin is the number of standard deviations above the mean at which the memory
// forecast is evaluated. It increases with each load report that shows new
// preemptions and decays slowly otherwise.
type margin struct {
	base       float64
	adjustment float64
	updatedAt  time.Time
}

// newMargin returns the margin for a quantile of the forecast.
func newMargin(quantile float64) margin { return margin{base: forecaster.NormalQuantile(quantile)} }

// deviations returns the current margin.
func (m *margin) deviations() float64 { return m.base + m.adjustment }

// increase widens the margin after preemptions.
func (m *margin) increase() { m.adjustment = min(m.adjustment+marginIncrease, maxMarginAdjustment) }

// decay narrows the margin by the time since the last call.
func (m *margin) decay(now time.Time) {
	if !m.updatedAt.IsZero() {
		m.adjustment = max(m.adjustment-marginDecayPerSecond*now.Sub(m.updatedAt).Seconds(), minMarginAdjustment)
	}
	m.updatedAt = now
}
