package orderer

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/coordination/leaser"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 1000)) }

func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(t, mechanisms{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsAreNeeded checks that some history fails when a mechanism is
// disabled.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled mechanisms
		want     string
	}{
		{"wait until orders of earlier holders have ended", mechanisms{waitForEarlierTerms: true}, "two orders in flight"},
		{"send only orders that end within the lease", mechanisms{fitLease: true}, "two orders in flight"},
		{"keep the last ready copy", mechanisms{keepLastCopy: true}, "last_ready_copy"},
		{"one outstanding order for each endpoint", mechanisms{serialize: true}, "two orders in flight"},
		{"count only copies reported in this term", mechanisms{freshReports: true}, "unloads the last ready copy"},
		{"await outstanding orders before a release", mechanisms{awaitOutstanding: true}, "two orders in flight"},
		{"limit the rate of loads", mechanisms{rateLimit: true}, "loads within a minute"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed, err := seeder.FirstFailure(func(t *rapid.T) error { return runHistory(t, tc.disabled) }, tc.want, 5000)
			assert.Assert(t, err != nil, "no history fails with the mechanism disabled")
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

var (
	startTime = time.Unix(100, 0)
	term      = leaser.Term{FencingToken: 3, Until: startTime.Add(time.Hour), SafeFrom: startTime}
	version1  = cataloger.Placement{Model: "m", Version: "1"}
	version2  = cataloger.Placement{Model: "m", Version: "2"}
)

func TestLastCopyWithTrafficIsKept(t *testing.T) {
	v := View{
		Desired:  []Desired{{Endpoint: "a"}, {Endpoint: "b"}},
		Observed: []Observed{{Endpoint: "a", At: startTime, Ready: []cataloger.Placement{version1}}, {Endpoint: "b", At: startTime, Ready: []cataloger.Placement{version1}}},
		Traffic:  []cataloger.Placement{version1},
	}
	orders := New(DefaultSettings()).Plan(startTime, term, v)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, KindUnload)
	v.Observed[1].ShuttingDown = true
	assert.Equal(t, len(New(DefaultSettings()).Plan(startTime, term, v)), 0)
	v.Traffic = nil
	assert.Equal(t, len(New(DefaultSettings()).Plan(startTime, term, v)), 1)
}

func TestStaleReportIsIgnored(t *testing.T) {
	v := View{
		Desired:  []Desired{{Endpoint: "a", Placements: []cataloger.Placement{version1}}},
		Observed: []Observed{{Endpoint: "a", At: startTime.Add(-time.Minute)}},
	}
	cfg := DefaultSettings()
	cfg.LoadsPerMinute = 0
	assert.Equal(t, len(New(cfg).Plan(startTime, term, v)), 0)
	v.Observed[0].At = startTime
	assert.Equal(t, len(New(cfg).Plan(startTime, term, v)), 1)
}

func TestNextOrderNeedsReportAfterLastOrder(t *testing.T) {
	cfg := DefaultSettings()
	cfg.LoadsPerMinute = 0
	o := New(cfg)
	v := View{
		Desired:  []Desired{{Endpoint: "a", Placements: []cataloger.Placement{version1, version2}}},
		Observed: []Observed{{Endpoint: "a", At: startTime}},
	}
	first := o.Plan(startTime, term, v)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(o.Plan(startTime, term, v)), 0)
	assert.Equal(t, o.Outstanding(startTime), 1)
	done := startTime.Add(2 * time.Second)
	assert.Assert(t, !o.Finish(done, first[0], ResultDone))
	assert.Equal(t, o.Outstanding(done), 0)
	v.Observed[0] = Observed{Endpoint: "a", At: done.Add(-time.Second)}
	assert.Equal(t, len(o.Plan(done, term, v)), 0)
	v.Observed[0] = Observed{Endpoint: "a", At: done.Add(time.Second), Ready: []cataloger.Placement{version1}}
	next := o.Plan(done.Add(time.Second), term, v)
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Placement, version2)
}

func TestFencedOrderSurrendersLease(t *testing.T) {
	cfg := DefaultSettings()
	cfg.LoadsPerMinute = 0
	o := New(cfg)
	v := View{
		Desired:  []Desired{{Endpoint: "a", Role: "prefill"}},
		Observed: []Observed{{Endpoint: "a", At: startTime, Role: "decode"}},
	}
	orders := o.Plan(startTime, term, v)
	assert.Equal(t, orders[0].Kind, KindRole)
	assert.Assert(t, o.Finish(startTime, orders[0], ResultFenced))
}

func TestFailedOrdersBackOff(t *testing.T) {
	o := New(DefaultSettings())
	assert.Equal(t, o.backoff(1), 2*time.Second)
	assert.Equal(t, o.backoff(3), 8*time.Second)
	assert.Equal(t, o.backoff(100), time.Minute)
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{14, 83, 330} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			o := New(DefaultSettings())
			var v View
			for i := range n {
				name := fmt.Sprintf("e%d", i)
				v.Desired = append(v.Desired, Desired{Endpoint: name, Placements: []cataloger.Placement{version1, version2}})
				v.Observed = append(v.Observed, Observed{Endpoint: name, At: startTime, Ready: []cataloger.Placement{version1, version2}})
			}
			b.ReportAllocs()
			for b.Loop() {
				o.Plan(startTime, term, v)
			}
		})
	}
}
