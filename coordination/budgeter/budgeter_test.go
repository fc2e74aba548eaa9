package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/budgeter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var cfg = budgeter.Config{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

// During a retry storm at seven daemons the limit holds in every window,
// whatever its start, and the budget is used.
func TestRetryStormStaysWithinLimitInEveryWindow(t *testing.T) {
	const daemons = 7
	r := rand.New(rand.NewPCG(1, 2))
	var budgeters []*budgeter.Budgeter
	for range daemons {
		b := budgeter.New(cfg)
		b.SetDaemons(daemons)
		budgeters = append(budgeters, b)
	}
	var requests, retries []time.Time
	for ms := range 60_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		storm := ms > 20_000 && ms < 30_000
		for _, b := range budgeters {
			if r.Float64() < 0.006 {
				b.RecordRequest("s", now)
				requests = append(requests, now)
			}
			if (storm || r.Float64() < 0.001) && b.TryRetry("s", 0, now) {
				retries = append(retries, now)
			}
		}
	}
	highest := 0
	for _, from := range retries {
		inWindow := countInWindow(retries, from, cfg.Window)
		limit := cfg.Ratio*float64(countInWindow(requests, from, cfg.Window)) + cfg.Slack
		assert.Assert(t, float64(inWindow) <= limit, "%d retries in the window from %v, limit %g", inWindow, from.Sub(start), limit)
		highest = max(highest, inWindow)
	}
	assert.Assert(t, highest > 60, "at most %d retries in a window", highest)
}

// countInWindow returns the number of times within the window that starts at
// from.
func countInWindow(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

func TestReserveIsKeptForRetriesWithoutReserve(t *testing.T) {
	b := budgeter.New(cfg)
	withReserve := 0
	for b.TryRetry("s", 0.3, start) {
		withReserve++
	}
	withoutReserve := 0
	for b.TryRetry("s", 0, start) {
		withoutReserve++
	}
	assert.Assert(t, withoutReserve > 0 && withoutReserve < withReserve, "%d retries with the reserve, then %d without", withReserve, withoutReserve)
	assert.Assert(t, !b.TryRetry("s", 0, start.Add(cfg.Window-time.Second)))
	assert.Assert(t, b.TryRetry("s", 0, start.Add(cfg.Window+time.Second)))
	assert.Assert(t, b.TryRetry("other", 0, start))
}

func TestSetLimitsAppliesImmediately(t *testing.T) {
	b := budgeter.New(cfg)
	b.SetLimits(0, 0)
	assert.Assert(t, !b.TryRetry("s", 0, start))
}
