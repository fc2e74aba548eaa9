package configurer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	fleetDaemons = 380
	// platformCalls is what the platform takes a second in reads and waiting
	// watches.
	platformCalls = 2000
)

// greatestCalls returns the most calls of any second while w runs for d.
func (w *world) greatestCalls(d time.Duration) int {
	most := 0
	for ; d > 0; d -= time.Second {
		before := w.calls
		w.run(time.Second)
		most = max(most, w.calls-before)
	}
	return most
}

// breakPlatform begins an outage, which breaks every watch.
func (w *world) breakPlatform() {
	w.platform.outage = true
	for _, d := range w.daemons {
		if d.watch != 0 {
			id := d.watch
			d.watch = 0
			w.give(d, d.epoch, WatchFailed{Watch: id})
		}
	}
}

// A fleet that has waited for the platform does not storm it: of the calls that it
// takes a second, configuration makes a twentieth at most, in the outage and after.
func TestFleetReturnsGentlyAfterAnOutage(t *testing.T) {
	w := newWorld(1, fleetDaemons, 10, false)
	w.keys = 1
	w.put(50, noFault)
	w.run(30 * time.Second)
	quiet := w.greatestCalls(30 * time.Second)
	w.breakPlatform()
	out := w.greatestCalls(2 * time.Minute)
	w.platform.outage = false
	w.put(50, noFault)
	back := w.greatestCalls(30 * time.Second)
	t.Logf("greatest calls a second: %d before, %d in the outage, %d after it", quiet, out, back)
	for _, d := range w.daemons {
		assert.Equal(t, int(d.core.Generation()), len(w.platform.heads))
	}
	assert.Assert(t, out <= platformCalls/20, "%d calls", out)
	assert.Assert(t, back <= platformCalls/20, "%d calls", back)
}

// BenchmarkColdStart prints the calls of fleets of which no daemon has a manifest.
func BenchmarkColdStart(b *testing.B) {
	for _, daemons := range []int{38, 95, 190, fleetDaemons} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			most, all := 0, 0
			for b.Loop() {
				w := newWorld(1, daemons, 10, false)
				w.keys = 1
				w.put(1300, noFault)
				most = w.greatestCalls(30 * time.Second)
				all = w.calls
			}
			b.ReportMetric(float64(most), "most-calls/s")
			b.ReportMetric(float64(all), "calls")
			b.ReportMetric(0, "ns/op")
		})
	}
}
