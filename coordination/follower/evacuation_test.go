package follower_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/follower"
)

// evacuationTime is the time limit from the acknowledgment of an evacuation to the last daemon.
const evacuationTime = 5 * time.Second

func newEvacuationFleet(n int, seed uint64) *fleet {
	f := newFleetWith(n, seed, follower.Slow)
	f.direct = true
	return f
}

// evacuate changes the evacuated failure domains, and returns how long the slowest of the daemons that
// run and are selected takes to know them.
func (f *fleet) evacuate(selected func(*node) bool, domains ...string) time.Duration {
	f.version++
	f.domains = domains
	acked := f.now
	for f.now.Sub(acked) < 4*evacuationTime {
		f.step()
		if !slices.ContainsFunc(f.daemons, func(d *node) bool {
			return !d.frozen && selected(d) && !slices.Equal(d.evacuated.Evacuations().Domains, domains)
		}) {
			break
		}
	}
	return f.now.Sub(acked)
}

func everyNode(*node) bool { return true }

// Guards against daemons that send to an evacuated domain for longer than permitted because an
// answer, a connection, a peer or a watcher was lost, or two of them at once.
func TestEvacuationIsKnownInTimeAfterLosses(t *testing.T) {
	for _, size := range []struct {
		daemons int
		seeds   uint64
	}{{9, 2}, {60, 1}} {
		for i, a := range losses {
			for _, b := range losses[i:] {
				slowest := time.Duration(0)
				for seed := range size.seeds {
					f := newEvacuationFleet(size.daemons, seed)
					f.run(5*time.Second + time.Duration(f.rand.IntN(3000))*time.Millisecond)
					a.lose(f)
					b.lose(f)
					f.run(time.Duration(f.rand.IntN(int(follower.Slow.ShortPoll))))
					slowest = max(slowest, f.evacuate(everyNode, "z0"))
				}
				t.Logf("%d daemons: %s, %s: %v", size.daemons, a.name, b.name, slowest)
				assert.Check(t, slowest <= evacuationTime, "%d daemons: %s, %s: %v", size.daemons, a.name, b.name, slowest)
			}
		}
	}
}

// Guards against daemons that the store refuses, or does not answer, and that rely on watchers which it
// refuses too.
func TestEvacuationIsKnownWhereStoreRefusesDaemons(t *testing.T) {
	for _, n := range []int{9, 60} {
		for seed := range uint64(4) {
			f := newEvacuationFleet(n, seed)
			f.run(5 * time.Second)
			for _, d := range f.daemons[:n/3+1] {
				d.refused, d.cut = d.i%2 == 0, d.i%2 == 1
			}
			f.run(time.Duration(f.rand.IntN(3000)) * time.Millisecond)
			took := f.evacuate(everyNode, "z0", "z1")
			t.Logf("%d daemons: %v", n, took)
			assert.Check(t, took <= evacuationTime, "%d daemons: %v", n, took)
		}
	}
}

// Guards against a daemon that starts while the store is silent and sends to domains which were
// evacuated before.
func TestDaemonStartedDuringOutageKnowsEvacuations(t *testing.T) {
	f := newEvacuationFleet(9, 1)
	f.run(5 * time.Second)
	f.evacuate(everyNode, "z0", "z2")
	f.silent = true
	f.run(2 * time.Second)
	late := f.add(9, 10, 1)
	f.run(syncInterval + syncTimeout)
	assert.DeepEqual(t, late.evacuated.Evacuations().Domains, []string{"z0", "z2"})
}

// Guards against parts of a cut network of which some miss an evacuation, or its end, although the
// store answers them, and against a part without the store that goes on sending after the cut.
func TestEvacuationIsKnownInEachPartOfCutNetwork(t *testing.T) {
	for seed := range uint64(6) {
		f := newEvacuationFleet(12, seed)
		f.run(5 * time.Second)
		f.apart = func(a, b int) bool { return a%3 != b%3 }
		away := int(seed % 3)
		for _, d := range f.daemons {
			d.cut = d.i%3 == away
		}
		f.run(time.Duration(f.rand.IntN(4000)) * time.Millisecond)
		began := f.evacuate(func(d *node) bool { return !d.cut }, "z0", "z1")
		assert.Check(t, began <= evacuationTime, "seed %d: %v", seed, began)
		ended := f.evacuate(func(d *node) bool { return !d.cut }, "z1")
		assert.Check(t, ended <= evacuationTime, "seed %d: %v", seed, ended)
		f.apart = nil
		healed := f.evacuate(everyNode, "z0")
		t.Logf("seed %d: begin %v, end %v, after the cut %v", seed, began, ended, healed)
		assert.Check(t, healed <= evacuationTime, "seed %d: %v", seed, healed)
	}
}

// Guards against a third watch that costs as many calls to the store as the others, and against
// daemons that all ask for themselves since the few watchers poll less often.
func TestFewDaemonsAskForEvacuations(t *testing.T) {
	for _, n := range []int{9, 60} {
		f := newEvacuationFleet(n, 1)
		f.run(8 * time.Second)
		f.calls = 0
		for _, d := range f.daemons {
			d.longest = 0
		}
		f.run(20 * time.Second)
		t.Logf("%d daemons: %.2f calls a second", n, float64(f.calls)/20)
		assert.Check(t, f.calls <= 25, "%d daemons: %d calls", n, f.calls)
		for _, d := range f.daemons {
			assert.Check(t, d.longest <= follower.Slow.StaleAfter, "daemon %d of %d: age %v", d.i, n, d.longest)
		}
	}
}
