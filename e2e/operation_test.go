package e2e_test

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
)

// Exit codes of the program.
const (
	exitInvalid  = 3
	exitConflict = 4
)

func TestStopOfAllDaemonsInTurnCutsNothing(t *testing.T) {
	const streams = 5
	c := startCluster(t, layout{daemons: 3, engines: 2, balancerLag: 300 * time.Millisecond})
	for n, d := range c.daemons {
		answers := make([]caller.Result, streams)
		var group conc.WaitGroup
		for i := range streams {
			call := c.generate(n, fmt.Sprintf("s%dx%d", n, i), 100)
			group.Go(func() { answers[i] = c.caller.Do(t.Context(), call) })
		}
		waitFor(t, "all streams", func() bool {
			running := 0
			for i := range c.engines {
				running += len(c.load(i).Sequences)
			}
			return running == streams
		})
		d.signal(syscall.SIGTERM)
		waitFor(t, "the daemon to say that it is not ready", func() bool {
			status, _ := get("http://" + d.admin + "/readyz")
			return status != 200
		})
		d.signal(syscall.SIGTERM)
		group.Wait()
		for i, a := range answers {
			assertWhole(t, a, fmt.Sprintf("s%dx%d", n, i))
		}
		assert.Equal(t, d.exitCode(), 0)
		c.startDaemon(d)
		c.awaitReady(d)
	}
}

func TestStopDuringAnOutageCutsNothing(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 1})
	setFaults(t, c.platform, "listening", `{"hang":true}`)
	var a caller.Result
	var group conc.WaitGroup
	group.Go(func() { a = c.caller.Do(t.Context(), c.generate(0, "s", 100)) })
	c.awaitProduced(5)
	c.daemons[0].signal(syscall.SIGTERM)
	group.Wait()
	assertWhole(t, a, "s")
	assert.Equal(t, c.daemons[0].exitCode(), 0)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 2})
	checkNoNewWork(t, c, func(engine int) {
		setFaults(t, c.engines[engine], "listening", `{"leaving":true}`)
	})
}

// The engine reports nothing of it; only the platform's list says that its VM
// is leaving.
func TestEndpointOnALeavingVMGetsNoNewWork(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 2})
	checkNoNewWork(t, c, func(engine int) {
		vm := fmt.Sprintf(`{"name":"vm","addr":%q,"domain":"milano-a","role":"endpoint","state":"leaving"}`, c.engines[engine].addr("listening"))
		res, err := http.Post("http://"+c.platform.addr("listening")+"/vms", "application/json", strings.NewReader(vm))
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusNoContent)
	})
}

// checkNoNewWork has an engine leave while it works. Once every daemon knows of
// it, new requests go elsewhere, and the work under way ends whole.
func checkNoNewWork(t *testing.T, c *cluster, leave func(engine int)) {
	t.Helper()
	var a caller.Result
	var group conc.WaitGroup
	group.Go(func() { a = c.caller.Do(t.Context(), c.generate(0, "l", 150)) })
	engine := c.awaitProduced(5)
	leave(engine)
	name := fmt.Sprint("engine-", engine)
	for _, d := range c.daemons {
		waitFor(t, "every daemon to know", func() bool {
			s, err := d.status()
			return err == nil && slices.ContainsFunc(s.Endpoints, func(e endpointStatus) bool {
				return e.Name == name && e.Leaving
			})
		})
	}
	before := c.counts(engine)
	for i := range 10 {
		id := fmt.Sprint("n", i)
		assertWhole(t, c.caller.Do(t.Context(), c.generate(i%2, id, 10)), id)
	}
	assert.Equal(t, c.counts(engine), before)
	group.Wait()
	assertWhole(t, a, "l")
}

// A manifest that was accepted reaches a daemon that is cut off from the
// platform, and is in force at one that is born in an outage. No daemon goes
// back to an earlier one.
func TestManifestReachesAllAndNeverReverts(t *testing.T) {
	c := startCluster(t, layout{daemons: 3, engines: 1, relayed: true})
	inForce := func(generation uint64) {
		t.Helper()
		for _, d := range c.daemons {
			waitFor(t, d.name+" to have the manifest in force", func() bool { return d.generation() >= generation })
		}
	}
	first := c.daemons[0].generation()
	assert.Assert(t, first > 0)
	setFaults(t, c.relay, "control", `{"cut":true}`)
	c.apply(c.renderManifest(9))
	inForce(first + 1)
	setFaults(t, c.platform, "listening", `{"outage":true}`)
	c.daemons[0].kill()
	c.startDaemon(c.daemons[0])
	inForce(first + 1)
	setFaults(t, c.platform, "listening", `{"outage":false,"stale_versions":4}`)
	setFaults(t, c.relay, "control", `{"cut":false}`)
	c.daemons[1].kill()
	c.startDaemon(c.daemons[1])
	c.awaitReady(c.daemons[1])
	inForce(first + 1)
	for _, d := range c.daemons {
		assert.Equal(t, d.generation(), first+1)
	}
}

func TestBadManifestLeavesTheOldOneInForce(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 1})
	first := c.daemons[0].generation()
	out, code := c.tryApply(c.renderManifest(9) + "\n[customer nobody]\npriority = none\n")
	assert.Equal(t, code, exitInvalid, out)
	c.apply(c.renderManifest(8))
	for _, d := range c.daemons {
		waitFor(t, "the next manifest", func() bool { return d.generation() > first })
		assert.Equal(t, d.generation(), first+1)
	}
}

// Of operators who race from the same generation one wins, and the others are
// told of the conflict.
func TestOneOfRacingOperatorsWins(t *testing.T) {
	const operators = 4
	c := startCluster(t, layout{daemons: 2, engines: 1})
	first := c.daemons[0].generation()
	setFaults(t, c.platform, "listening", `{"lose_answers":3}`)
	outs, codes := make([]string, operators), make([]int, operators)
	var group conc.WaitGroup
	for i := range operators {
		group.Go(func() { outs[i], codes[i] = c.tryApply(c.renderManifest(5+i), "--from", fmt.Sprint(first)) })
	}
	group.Wait()
	won := 0
	for i, code := range codes {
		if code == 0 {
			won++
			continue
		}
		assert.Equal(t, code, exitConflict, outs[i])
	}
	assert.Equal(t, won, 1, "%q", outs)
	for _, d := range c.daemons {
		waitFor(t, "the winner's manifest", func() bool { return d.generation() > first })
		assert.Equal(t, d.generation(), first+1)
	}
}

// The platform forgets the version that the manifest was accepted at when many
// claims are written after it. A daemon still watches, without reading anew all
// the time.
func TestWatchGoesOnAfterManyOtherWrites(t *testing.T) {
	c := startCluster(t, layout{daemons: 1, engines: 1, platformArgs: []string{"--history", "10"}})
	for n := range 10 {
		id := fmt.Sprint("w", n)
		a := c.caller.Do(t.Context(), c.file(0, id, "key-"+id))
		assert.Equal(t, a.Outcome, "ran", a.Text)
	}
	first := c.daemons[0].generation()
	c.daemons[0].kill()
	c.startDaemon(c.daemons[0])
	c.awaitReady(c.daemons[0])
	c.apply(c.renderManifest(9))
	waitFor(t, "the next manifest", func() bool { return c.daemons[0].generation() == first+1 })
	text, err := os.ReadFile(c.daemons[0].logs.path)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), "too old"), "a watch began from a version that is too old")
}
