package configurer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	changesPerDay  = 1700
	changeInterval = 24 * time.Hour / changesPerDay
	// bytesPerSecond is what control may cost a daemon.
	bytesPerSecond = 4 << 10
)

// fleetReport is what some changes cost a fleet.
type fleetReport struct {
	slowest  time.Duration // Until a change was in force everywhere.
	mean     float64       // Bytes a second of a daemon, sent and received.
	greatest float64       // Of the daemon with the most.
	quiet    float64       // Mean without changes.
	whole    float64       // Bytes a second of sending the text whole at each change.
}

// runFleet lets a fleet take changes at the rate of the target size.
func runFleet(daemons, domains, customers, changes int) fleetReport {
	w := newWorld(1, daemons, domains, false)
	w.keys = 1
	w.put(customers, noFault)
	w.run(30 * time.Second)
	quiet, _ := w.measure(daemons, func() { w.run(changeInterval) })
	r := fleetReport{quiet: quiet}
	r.whole = float64(len(w.compose(customers, noFault).Text())) / changeInterval.Seconds()
	r.mean, r.greatest = w.measure(daemons, func() {
		for range changes {
			w.put(customers, noFault)
			start := w.now
			w.run(changeInterval)
			for _, d := range w.daemons {
				took := d.installedAt.Sub(start)
				if int(d.core.Generation()) != len(w.platform.heads) || took < 0 {
					took = changeInterval
				}
				r.slowest = max(r.slowest, took)
			}
		}
	})
	return r
}

// measure returns the bytes a second of a daemon while do runs: the mean and
// the greatest.
func (w *world) measure(daemons int, do func()) (mean, greatest float64) {
	bytes := make(map[string]int, daemons)
	w.traffic = func(d *daemon, n int) { bytes[d.name] += n }
	start := w.now
	do()
	seconds := w.now.Sub(start).Seconds()
	total := 0
	for _, n := range bytes {
		total += n
		greatest = max(greatest, float64(n)/seconds)
	}
	return float64(total) / seconds / float64(daemons), greatest
}

// At the target size a change is in force everywhere in time, and the bytes a
// daemon spends on configuration stay within its budget for all control.
func TestFleetOfTargetSize(t *testing.T) {
	r := runFleet(380, 10, 50, 2)
	assert.Assert(t, r.slowest <= inForceWithin, "%v", r.slowest)
	assert.Assert(t, r.greatest <= bytesPerSecond, "%v", r.greatest)
}

// BenchmarkFleet prints what changes cost at three sizes of the manifest.
func BenchmarkFleet(b *testing.B) {
	for _, daemons := range []int{7, 380} {
		for _, customers := range []int{10, 130, 1300} {
			b.Run(fmt.Sprintf("%d-daemons/%d-customers", daemons, customers), func(b *testing.B) {
				var r fleetReport
				for b.Loop() {
					r = runFleet(daemons, min(10, (daemons+2)/3), customers, 3)
				}
				b.ReportMetric(float64(r.slowest.Milliseconds()), "ms-in-force")
				b.ReportMetric(r.quiet, "quiet-B/s")
				b.ReportMetric(r.mean, "mean-B/s")
				b.ReportMetric(r.greatest, "greatest-B/s")
				b.ReportMetric(r.whole, "whole-B/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
