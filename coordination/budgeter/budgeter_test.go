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

// A retry storm at seven daemons stays inside the limit in every window,
// wherever it begins, and the limit is used.
func TestRetryStormStaysInsideEveryWindow(t *testing.T) {
	const daemons = 7
	r := rand.New(rand.NewPCG(1, 2))
	var all []*budgeter.Budgeter
	for range daemons {
		b := budgeter.New(cfg)
		b.SetDaemons(daemons)
		all = append(all, b)
	}
	var requests, repeats []time.Time
	for ms := range 60_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		storm := ms > 20_000 && ms < 30_000
		for _, b := range all {
			if r.Float64() < 0.006 {
				b.Request("s", now)
				requests = append(requests, now)
			}
			if (storm || r.Float64() < 0.001) && b.Repeat("s", 0, now) {
				repeats = append(repeats, now)
			}
		}
	}
	most := 0
	for _, from := range repeats {
		in := count(repeats, from, cfg.Window)
		limit := cfg.Ratio*float64(count(requests, from, cfg.Window)) + cfg.Slack
		assert.Assert(t, float64(in) <= limit, "%d repeats in the window from %v, limit %g", in, from.Sub(start), limit)
		most = max(most, in)
	}
	assert.Assert(t, most > 60, "%d", most)
}

// count returns how many times lie in the window.
func count(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

func TestReserveIsLeftToMoreImportantRepeats(t *testing.T) {
	b := budgeter.New(cfg)
	n := 0
	for b.Repeat("s", 0.3, start) {
		n++
	}
	more := 0
	for b.Repeat("s", 0, start) {
		more++
	}
	assert.Assert(t, more > 0 && more < n, "%d then %d", n, more)
	assert.Assert(t, !b.Repeat("s", 0, start.Add(cfg.Window-time.Second)))
	assert.Assert(t, b.Repeat("s", 0, start.Add(cfg.Window+time.Second)))
	assert.Assert(t, b.Repeat("other", 0, start))
}

func TestSettingsChangeAtOnce(t *testing.T) {
	b := budgeter.New(cfg)
	b.SetLimits(0, 0)
	assert.Assert(t, !b.Repeat("s", 0, start))
}
