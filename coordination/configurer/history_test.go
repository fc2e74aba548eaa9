package configurer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/cataloger"
)

// inForceWithin is the time in which an accepted manifest is in force at every
// daemon.
const inForceWithin = 7 * time.Second

// disturb makes one random event.
func (w *world) disturb(t *rapid.T) {
	d := w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon")]
	other := w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(t, "other")]
	customers := rapid.IntRange(1, 30).Draw(t, "customers")
	switch rapid.IntRange(0, 15).Draw(t, "event") {
	case 0, 1, 2, 3:
		w.put(customers, noFault)
	case 4:
		w.put(customers, invalidText)
	case 5:
		w.put(customers, otherDeployment)
	case 6:
		w.put(customers, missingPart)
	case 7:
		w.start(d)
		w.tellMembers()
	case 8:
		w.kill(d)
		w.tellMembers()
	case 9:
		if !d.alive {
			w.start(d)
		}
		w.tellMembers()
	case 10:
		w.cutPeers[[2]string{d.domain, other.domain}] = d.domain != other.domain
		w.tellMembers()
	case 11:
		w.cutPlatform[d.domain] = !w.cutPlatform[d.domain]
	case 12:
		w.platform.outage = !w.platform.outage
	case 13:
		w.platform.stale = !w.platform.stale
	case 14:
		w.platform.slow = !w.platform.slow
		w.loss = rapid.Float64Range(0, 0.6).Draw(t, "loss")
	case 15:
		d.silent = true
	}
}

// history runs a random history and returns its world at the end of the faults.
func history(t *rapid.T, trusting bool) *world {
	domains := rapid.IntRange(1, 4).Draw(t, "domains")
	daemons := rapid.IntRange(domains, 9).Draw(t, "daemons")
	w := newWorld(rapid.Uint64().Draw(t, "seed"), daemons, domains, trusting)
	if rapid.Bool().Draw(t, "first") {
		w.put(10, noFault)
	}
	for range rapid.IntRange(5, 30).Draw(t, "events") {
		w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		w.disturb(t)
	}
	w.run(time.Second)
	return w
}

// highestInForce returns the highest generation in force at a live daemon.
func (w *world) highestInForce() cataloger.Generation {
	var highest cataloger.Generation
	for _, d := range w.daemons {
		if d.alive {
			highest = max(highest, d.core.Generation())
		}
	}
	return highest
}

// checkAll checks that every daemon has generation g in force.
func (w *world) checkAll(t assert.TestingT, g cataloger.Generation) {
	for _, d := range w.daemons {
		assert.Equal(t, d.core.Generation(), g, "%s at %v", d.name, w.now.Sub(time.Unix(0, 0)))
	}
}

// No daemon reverts, whatever fails; when the faults end all come to the same
// generation, which is the accepted one if that is valid, and the next one is
// in force in time.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := history(t, false)
		w.heal()
		least := w.highestInForce()
		w.run(20 * time.Second)
		assert.Equal(t, len(w.failures), 0, "%v", w.failures)
		want := w.highestInForce()
		assert.Assert(t, want >= least)
		if w.platform.installable() {
			want = cataloger.Generation(len(w.platform.heads))
		}
		w.checkAll(t, want)
		w.put(12, noFault)
		w.run(inForceWithin)
		w.checkAll(t, cataloger.Generation(len(w.platform.heads)))
		assert.Equal(t, len(w.failures), 0, "%v", w.failures)
	})
}

// The histories find a daemon that takes whatever it is given, as does the
// invariant in the program.
func TestHistoriesFindReverts(t *testing.T) {
	const histories = 50
	found, asserted := 0, 0
	asserter.SetHandler(func(v asserter.ViolationError) {
		if v.Invariant == asserter.ConfigMonotonic {
			asserted++
		}
	})
	defer asserter.SetHandler(nil)
	runs := rapid.Custom(func(t *rapid.T) bool { return len(history(t, true).failures) > 0 })
	for seed := range histories {
		if runs.Example(seed) {
			found++
		}
	}
	t.Logf("%d of %d histories found a revert, the program asserted %d", found, histories, asserted)
	assert.Assert(t, found > 0)
	assert.Assert(t, asserted > 0)
}
