package pausemeter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/pausemeter"
)

func Example() {
	var m pausemeter.Meter
	now := time.Unix(0, 0)
	for _, ms := range []time.Duration{100, 100, 900, 150, 400, 800} {
		now = now.Add(ms * time.Millisecond)
		pause := m.Wake(100*time.Millisecond, now)
		if r, ok := m.Report(now); ok {
			fmt.Println(pause, r.Count, r.Sum, r.Longest, now.Sub(r.Since))
		}
	}
	fmt.Println(m.Total())
	// Output:
	// 800ms 1 800ms 800ms 900ms
	// 700ms 2 1s 700ms 1.2s
	// 1.8s
}

// A report that is held back is made although no pause follows.
func TestReportFollowsWithoutPause(t *testing.T) {
	var m pausemeter.Meter
	now := time.Unix(0, 0)
	var reports []pausemeter.Report
	wake := func(d time.Duration) {
		now = now.Add(d)
		m.Wake(100*time.Millisecond, now)
		if r, ok := m.Report(now); ok {
			reports = append(reports, r)
		}
	}
	wake(0)
	wake(time.Second)
	wake(500 * time.Millisecond)
	for range 10 {
		wake(100 * time.Millisecond)
	}
	assert.Equal(t, len(reports), 2)
	assert.Equal(t, reports[0].Sum, 900*time.Millisecond)
	assert.Equal(t, reports[1].Sum, 400*time.Millisecond)
}

// Wake-ups that are early, or late by little, are no pauses.
func TestSmallDelaysAreNoPauses(t *testing.T) {
	var m pausemeter.Meter
	now := time.Unix(0, 0)
	for range 100 {
		for _, ms := range []time.Duration{1, 100, 300} {
			now = now.Add(ms * time.Millisecond)
			assert.Equal(t, m.Wake(100*time.Millisecond, now), time.Duration(0))
		}
	}
	assert.Equal(t, m.Total(), time.Duration(0))
}
