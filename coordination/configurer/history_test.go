package configurer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/cataloger"
)

// maxPropagationTime is the longest time until an accepted manifest is in force
// at every daemon.
const maxPropagationTime = 7 * time.Second

// injectEvent publishes a manifest, restarts, stops or starts a daemon, or
// changes a fault, at random.
func (sim *simulation) injectEvent(t *rapid.T) {
	d := sim.daemons[rapid.IntRange(0, len(sim.daemons)-1).Draw(t, "daemon")]
	other := sim.daemons[rapid.IntRange(0, len(sim.daemons)-1).Draw(t, "other")]
	customers := rapid.IntRange(1, 30).Draw(t, "customers")
	switch rapid.IntRange(0, 15).Draw(t, "event") {
	case 0, 1, 2, 3:
		sim.publish(customers, noFault)
	case 4:
		sim.publish(customers, invalidText)
	case 5:
		sim.publish(customers, otherDeployment)
	case 6:
		sim.publish(customers, missingPart)
	case 7:
		sim.start(d)
		sim.updateMembers()
	case 8:
		sim.kill(d)
		sim.updateMembers()
	case 9:
		if !d.alive {
			sim.start(d)
		}
		sim.updateMembers()
	case 10:
		sim.partitions[[2]string{d.domain, other.domain}] = d.domain != other.domain
		sim.updateMembers()
	case 11:
		sim.platformPartitions[d.domain] = !sim.platformPartitions[d.domain]
	case 12:
		sim.platform.outage = !sim.platform.outage
	case 13:
		sim.platform.stale = !sim.platform.stale
	case 14:
		sim.platform.slow = !sim.platform.slow
		sim.lossRate = rapid.Float64Range(0, 0.6).Draw(t, "loss")
	case 15:
		d.watchStalled = true
	}
}

// runHistory runs a random sequence of events and returns the simulation with its
// faults still present.
func runHistory(t *rapid.T, acceptAny bool) *simulation {
	domains := rapid.IntRange(1, 4).Draw(t, "domains")
	daemons := rapid.IntRange(domains, 9).Draw(t, "daemons")
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), daemons, domains, acceptAny)
	if rapid.Bool().Draw(t, "first") {
		sim.publish(10, noFault)
	}
	for range rapid.IntRange(5, 30).Draw(t, "events") {
		sim.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		sim.injectEvent(t)
	}
	sim.run(time.Second)
	return sim
}

// highestInForce returns the highest generation in force at a live daemon.
func (sim *simulation) highestInForce() cataloger.Generation {
	var highest cataloger.Generation
	for _, d := range sim.daemons {
		if d.alive {
			highest = max(highest, d.core.Generation())
		}
	}
	return highest
}

// checkAll checks that every daemon has generation g in force.
func (sim *simulation) checkAll(t assert.TestingT, g cataloger.Generation) {
	for _, d := range sim.daemons {
		assert.Equal(t, d.core.Generation(), g, "%s at %v", d.name, sim.now.Sub(time.Unix(0, 0)))
	}
}

// No daemon installs an older generation, whatever faults occur. Once the faults
// end all daemons converge on one generation, which is the accepted one if that
// is valid, and the next generation is in force within maxPropagationTime.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := runHistory(t, false)
		sim.endFaults()
		least := sim.highestInForce()
		sim.run(20 * time.Second)
		assert.Equal(t, len(sim.failures), 0, "%v", sim.failures)
		want := sim.highestInForce()
		assert.Assert(t, want >= least)
		if sim.platform.installable() {
			want = cataloger.Generation(len(sim.platform.heads))
		}
		sim.checkAll(t, want)
		sim.publish(12, noFault)
		sim.run(maxPropagationTime)
		sim.checkAll(t, cataloger.Generation(len(sim.platform.heads)))
		assert.Equal(t, len(sim.failures), 0, "%v", sim.failures)
	})
}

// Without the check that the generation increases, the histories detect a daemon
// that reverts, and so does the invariant ConfigMonotonic in the program.
func TestHistoriesFindReverts(t *testing.T) {
	const histories = 50
	found, asserted := 0, 0
	asserter.SetHandler(func(v asserter.ViolationError) {
		if v.Invariant == asserter.ConfigMonotonic {
			asserted++
		}
	})
	defer asserter.SetHandler(nil)
	runs := rapid.Custom(func(t *rapid.T) bool { return len(runHistory(t, true).failures) > 0 })
	for seed := range histories {
		if runs.Example(seed) {
			found++
		}
	}
	t.Logf("%d of %d histories found a revert, the program asserted %d", found, histories, asserted)
	assert.Assert(t, found > 0)
	assert.Assert(t, asserted > 0)
}
