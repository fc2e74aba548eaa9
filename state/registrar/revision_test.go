package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

// inNewEra returns an entry with a revision of era 1; those of entry are of era 0.
func inNewEra(name string, number int64) registrar.Endpoint {
	return entry(name, registrar.NewRevision(1, number))
}

func ExampleNewRevision() {
	before, after := registrar.NewRevision(1, 900), registrar.NewRevision(2, 300)
	fmt.Println(before < after, registrar.Era(after), registrar.Number(after))
	// Output: true 2 300
}

// restoredRegistrar returns a Registrar that has applied the first list of an era. In
// the era before, "left" was removed, "draining" began to drain, "restarted" restarted,
// and "late" was registered, all after the copy.
func restoredRegistrar() *registrar.Registrar {
	g := registrar.New(grace)
	g.Replace([]registrar.Endpoint{entry("left", 10), entry("draining", 11), entry("restarted", 12)}, 20, false, start)
	g.Remove("left", 21)
	draining := entry("draining", 22)
	draining.Draining = true
	g.Set(draining)
	restarted := entry("restarted", 23)
	restarted.Started = 2
	g.Set(restarted)
	g.Set(entry("late", 24))
	g.Replace([]registrar.Endpoint{inNewEra("left", 10), inNewEra("draining", 11), inNewEra("restarted", 12)}, registrar.NewRevision(1, 20), false, start)
	return g
}

// Guards against endpoints that are used again after they have left, because the source
// came back from a copy in which they are registered.
func TestEndpointsThatLeftStayUnusedInNewEra(t *testing.T) {
	g := restoredRegistrar()
	assert.DeepEqual(t, usableNames(g), map[string]bool{"restarted": true, "late": true})
	assert.Assert(t, !g.ShuttingDown(registrar.Identity{Name: "restarted", Started: 2}))
	g.Remove("left", registrar.NewRevision(1, 21)) // It has not written any more.
	g.Expire(start.Add(time.Minute))
	assert.Assert(t, !usableNames(g)["left"])
}

// An endpoint whose entry had lapsed, and that lives, is used as soon as it writes, or
// when its entry has stayed for so long that it must have written.
func TestLiveEndpointIsUsedInNewEra(t *testing.T) {
	g := restoredRegistrar()
	g.Set(inNewEra("left", 21))
	assert.Assert(t, usableNames(g)["left"])

	g = restoredRegistrar()
	g.Expire(start.Add(9 * time.Second))
	assert.Assert(t, !usableNames(g)["left"])
	g.Expire(start.Add(10 * time.Second))
	assert.Assert(t, usableNames(g)["left"])
}

// A change that a peer passes on may be the first news of an era. The first list is then
// still the first one.
func TestListAfterChangeOfNewEraIsTheFirst(t *testing.T) {
	g := registrar.New(grace)
	g.Replace([]registrar.Endpoint{entry("left", 10), entry("late", 24)}, 24, false, start)
	g.Remove("left", 25)
	g.Set(inNewEra("new", 21))
	g.Replace([]registrar.Endpoint{inNewEra("left", 10), inNewEra("new", 21)}, registrar.NewRevision(1, 21), false, start)
	assert.DeepEqual(t, usableNames(g), map[string]bool{"late": true, "new": true})
}

// Changes with numbers below those of the era before are followed, and lost entries are
// kept for the grace time.
func TestChangesOfNewEraAreFollowed(t *testing.T) {
	g := restoredRegistrar()
	draining := inNewEra("restarted", 21)
	draining.Started, draining.Draining = 2, true
	g.Set(draining)
	g.Set(inNewEra("new", 22))
	assert.DeepEqual(t, usableNames(g), map[string]bool{"late": true, "new": true})
	g.Expire(start.Add(grace))
	assert.DeepEqual(t, usableNames(g), map[string]bool{"new": true})
}
