package configurer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	fleetDaemons = 380
	// platformCallsPerSecond is the rate of reads and watches that the platform
	// can serve.
	platformCallsPerSecond = 2000
)

// peakCalls runs the simulation for d and returns the most platform calls in one
// second.
func (sim *simulation) peakCalls(d time.Duration) int {
	most := 0
	for ; d > 0; d -= time.Second {
		before := sim.calls
		sim.run(time.Second)
		most = max(most, sim.calls-before)
	}
	return most
}

// startOutage starts an outage of the platform, which ends every watch.
func (sim *simulation) startOutage() {
	sim.platform.outage = true
	for _, d := range sim.daemons {
		if d.watchID != 0 {
			id := d.watchID
			d.watchID = 0
			sim.deliver(d, d.incarnation, WatchFailed{Watch: id})
		}
	}
}

// Guards against a thundering herd: during an outage of the platform and after it
// the configuration of the whole fleet uses at most a twentieth of the calls per
// second that the platform can serve.
func TestPlatformCallsStayLowAfterAnOutage(t *testing.T) {
	sim := newSimulation(1, fleetDaemons, 10, false)
	sim.keysPerCustomer = 1
	sim.publish(50, noFault)
	sim.run(30 * time.Second)
	idle := sim.peakCalls(30 * time.Second)
	sim.startOutage()
	during := sim.peakCalls(2 * time.Minute)
	sim.platform.outage = false
	sim.publish(50, noFault)
	after := sim.peakCalls(30 * time.Second)
	t.Logf("peak platform calls per second: %d before, %d during and %d after the outage", idle, during, after)
	for _, d := range sim.daemons {
		assert.Equal(t, int(d.core.Generation()), len(sim.platform.heads))
	}
	assert.Assert(t, during <= platformCallsPerSecond/20, "%d calls", during)
	assert.Assert(t, after <= platformCallsPerSecond/20, "%d calls", after)
}

// BenchmarkColdStart reports the platform calls of fleets in which no daemon has
// a manifest.
func BenchmarkColdStart(b *testing.B) {
	for _, daemons := range []int{38, 95, 190, fleetDaemons} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			most, all := 0, 0
			for b.Loop() {
				sim := newSimulation(1, daemons, 10, false)
				sim.keysPerCustomer = 1
				sim.publish(1300, noFault)
				most = sim.peakCalls(30 * time.Second)
				all = sim.calls
			}
			b.ReportMetric(float64(most), "most-calls/s")
			b.ReportMetric(float64(all), "calls")
			b.ReportMetric(0, "ns/op")
		})
	}
}
