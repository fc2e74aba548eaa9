package configurer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// changesPerDay is the number of manifest changes per day in a fleet of the
	// target size.
	changesPerDay  = 1700
	changeInterval = 24 * time.Hour / changesPerDay
	// maxBytesPerSecond is the bandwidth that a daemon may use for all control
	// traffic.
	maxBytesPerSecond = 4 << 10
)

// fleetReport is the cost of some changes to a fleet.
type fleetReport struct {
	slowest  time.Duration // Longest time until a change was in force everywhere.
	mean     float64       // Bytes per second that a daemon sends and receives.
	peak     float64       // Bytes per second of the daemon with the most traffic.
	idle     float64       // Mean bytes per second without changes.
	fullText float64       // Bytes per second if the full text were sent at each change.
}

// runFleet publishes changes to a fleet, one per changeInterval, and returns their
// cost.
func runFleet(daemons, domains, customers, changes int) fleetReport {
	sim := newSimulation(1, daemons, domains, false)
	sim.keysPerCustomer = 1
	sim.publish(customers, noFault)
	sim.run(30 * time.Second)
	idle, _ := sim.measure(daemons, func() { sim.run(changeInterval) })
	r := fleetReport{idle: idle}
	r.fullText = float64(len(sim.newManifest(customers, noFault).Text())) / changeInterval.Seconds()
	r.mean, r.peak = sim.measure(daemons, func() {
		for range changes {
			sim.publish(customers, noFault)
			start := sim.now
			sim.run(changeInterval)
			for _, d := range sim.daemons {
				took := d.installedAt.Sub(start)
				if int(d.core.Generation()) != len(sim.platform.heads) || took < 0 {
					took = changeInterval
				}
				r.slowest = max(r.slowest, took)
			}
		}
	})
	return r
}

// measure returns the bytes per second of the daemons while do runs: the mean and
// the peak.
func (sim *simulation) measure(daemons int, do func()) (mean, peak float64) {
	bytes := make(map[string]int, daemons)
	sim.onTraffic = func(d *daemon, n int) { bytes[d.name] += n }
	start := sim.now
	do()
	seconds := sim.now.Sub(start).Seconds()
	total := 0
	for _, n := range bytes {
		total += n
		peak = max(peak, float64(n)/seconds)
	}
	return float64(total) / seconds / float64(daemons), peak
}

// At the target size a change is in force everywhere within maxPropagationTime,
// and no daemon uses more than the bandwidth for all control traffic.
func TestFleetOfTargetSize(t *testing.T) {
	r := runFleet(380, 10, 50, 2)
	assert.Assert(t, r.slowest <= maxPropagationTime, "%v", r.slowest)
	assert.Assert(t, r.peak <= maxBytesPerSecond, "%v", r.peak)
}

// BenchmarkFleet reports the cost of changes at three sizes of the manifest.
func BenchmarkFleet(b *testing.B) {
	for _, daemons := range []int{7, 380} {
		for _, customers := range []int{10, 130, 1300} {
			b.Run(fmt.Sprintf("%d-daemons/%d-customers", daemons, customers), func(b *testing.B) {
				var r fleetReport
				for b.Loop() {
					r = runFleet(daemons, min(10, (daemons+2)/3), customers, 3)
				}
				b.ReportMetric(float64(r.slowest.Milliseconds()), "ms-in-force")
				b.ReportMetric(r.idle, "quiet-B/s")
				b.ReportMetric(r.mean, "mean-B/s")
				b.ReportMetric(r.peak, "greatest-B/s")
				b.ReportMetric(r.fullText, "whole-B/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
