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
		if err := history(t, mechanisms{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsAreNeeded shows that the histories fail without each mechanism.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, tc := range []struct {
		name string
		off  mechanisms
		want string
	}{
		{"waiting out earlier holders", mechanisms{waitOut: true}, "two orders under way"},
		{"orders fit into the lease", mechanisms{fit: true}, "two orders under way"},
		{"the last copy is kept", mechanisms{lastCopy: true}, "last_ready_copy"},
		{"one order at a time", mechanisms{serial: true}, "two orders under way"},
		{"copies are counted anew in each term", mechanisms{fresh: true}, "takes the last ready copy"},
		{"loads keep to a rate", mechanisms{rate: true}, "loads within a minute"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed, err := seeder.FirstFailure(func(t *rapid.T) error { return history(t, tc.off) }, tc.want, 5000)
			assert.Assert(t, err != nil, "no history fails")
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

var (
	begin = time.Unix(100, 0)
	term  = leaser.Term{Fence: 3, Until: begin.Add(time.Hour), Quiet: begin}
	one   = cataloger.Placement{Model: "m", Version: "1"}
	two   = cataloger.Placement{Model: "m", Version: "2"}
)

func TestLastCopyWithTrafficIsKept(t *testing.T) {
	v := View{
		Desired:  []Desired{{Endpoint: "a"}, {Endpoint: "b"}},
		Observed: []Observed{{Endpoint: "a", At: begin, Ready: []cataloger.Placement{one}}, {Endpoint: "b", At: begin, Ready: []cataloger.Placement{one}}},
		Traffic:  []cataloger.Placement{one},
	}
	orders := New(DefaultSettings()).Plan(begin, term, v)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, KindUnload)
	v.Observed[1].Leaving = true
	assert.Equal(t, len(New(DefaultSettings()).Plan(begin, term, v)), 0)
	v.Traffic = nil
	assert.Equal(t, len(New(DefaultSettings()).Plan(begin, term, v)), 1)
}

func TestStaleReportIsNotActedOn(t *testing.T) {
	v := View{
		Desired:  []Desired{{Endpoint: "a", Placements: []cataloger.Placement{one}}},
		Observed: []Observed{{Endpoint: "a", At: begin.Add(-time.Minute)}},
	}
	cfg := DefaultSettings()
	cfg.LoadsPerMinute = 0
	assert.Equal(t, len(New(cfg).Plan(begin, term, v)), 0)
	v.Observed[0].At = begin
	assert.Equal(t, len(New(cfg).Plan(begin, term, v)), 1)
}

func TestNextOrderWaitsForReportAfterTheLast(t *testing.T) {
	cfg := DefaultSettings()
	cfg.LoadsPerMinute = 0
	o := New(cfg)
	v := View{
		Desired:  []Desired{{Endpoint: "a", Placements: []cataloger.Placement{one, two}}},
		Observed: []Observed{{Endpoint: "a", At: begin}},
	}
	first := o.Plan(begin, term, v)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(o.Plan(begin, term, v)), 0)
	assert.Equal(t, o.Outstanding(begin), 1)
	done := begin.Add(2 * time.Second)
	assert.Assert(t, !o.Finish(done, first[0], ResultDone))
	assert.Equal(t, o.Outstanding(done), 0)
	v.Observed[0] = Observed{Endpoint: "a", At: done.Add(-time.Second)}
	assert.Equal(t, len(o.Plan(done, term, v)), 0)
	v.Observed[0] = Observed{Endpoint: "a", At: done.Add(time.Second), Ready: []cataloger.Placement{one}}
	next := o.Plan(done.Add(time.Second), term, v)
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Placement, two)
}

func TestFencedOrderEndsTheLease(t *testing.T) {
	cfg := DefaultSettings()
	cfg.LoadsPerMinute = 0
	o := New(cfg)
	v := View{
		Desired:  []Desired{{Endpoint: "a", Role: "prefill"}},
		Observed: []Observed{{Endpoint: "a", At: begin, Role: "decode"}},
	}
	orders := o.Plan(begin, term, v)
	assert.Equal(t, orders[0].Kind, KindRole)
	assert.Assert(t, o.Finish(begin, orders[0], ResultFenced))
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
				v.Desired = append(v.Desired, Desired{Endpoint: name, Placements: []cataloger.Placement{one, two}})
				v.Observed = append(v.Observed, Observed{Endpoint: name, At: begin, Ready: []cataloger.Placement{one, two}})
			}
			b.ReportAllocs()
			for b.Loop() {
				o.Plan(begin, term, v)
			}
		})
	}
}
