package follower_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// largeApplyTime is the time limit for changes of the large deployments.
const largeApplyTime = 3 * time.Second

// rushVM is a VM of 0.192 of a core and 10 Mbit/s, a tenth of which is left beside a rush of requests.
var rushVM = vm{cores: 0.0192, bytesPerSec: 125_000, valueBytes: 12_000}

// Guards against changes that are late on small VMs beside a rush of requests, where messages, fetches
// and proofs of age wait for the processor and the link.
func TestChangeIsInForceInTimeOnSmallVMs(t *testing.T) {
	for i, a := range losses {
		for _, b := range losses[i:] {
			t.Run(a.name+", "+b.name, func(t *testing.T) {
				t.Parallel()
				f := newFleet(60, uint64(i))
				f.vm = rushVM
				f.run(4*time.Second + time.Duration(f.rand.IntN(1000))*time.Millisecond)
				a.lose(f)
				b.lose(f)
				f.run(time.Duration(f.rand.IntN(800)) * time.Millisecond)
				took := f.change()
				t.Logf("%v", took)
				assert.Assert(t, took <= largeApplyTime, "%v", took)
			})
		}
	}
}

// Guards against the last version of a storm that waits behind the earlier ones, after each loss.
func TestLastChangeOfStormIsInForceInTimeOnSmallVMs(t *testing.T) {
	for _, l := range losses {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(60, 1)
			f.vm = rushVM
			f.run(4 * time.Second)
			for range 39 {
				f.version++
				f.run(32 * time.Millisecond)
			}
			l.lose(f)
			took := f.change()
			late := 0
			for _, d := range f.daemons {
				late += d.late
			}
			t.Logf("%v, %d late syncs, %d calls", took, late, f.calls)
			assert.Assert(t, took <= largeApplyTime, "%v", took)
		})
	}
}
