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

// Exit codes of the monsoonspar command.
const (
	exitInvalid  = 3
	exitConflict = 4
)

func TestRollingRestartCutsNoStream(t *testing.T) {
	const streams = 5
	c := startCluster(t, clusterConfig{daemons: 3, engines: 2, balancerLag: 300 * time.Millisecond})
	for n, d := range c.daemons {
		results := make([]caller.Result, streams)
		var group conc.WaitGroup
		for i := range streams {
			call := c.generationCall(n, fmt.Sprintf("s%dx%d", n, i), 100)
			group.Go(func() { results[i] = c.caller.Do(t.Context(), call) })
		}
		waitFor(t, "all streams", func() bool {
			running := 0
			for i := range c.engines {
				running += len(c.load(i).Sequences)
			}
			return running == streams
		})
		d.signal(syscall.SIGHUP) // Has no effect.
		d.signal(syscall.SIGTERM)
		waitFor(t, "the daemon to report that it is not ready", func() bool {
			status, _ := get("http://" + d.adminAddr + "/readyz")
			return status != 200
		})
		for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGQUIT, syscall.SIGPIPE} {
			d.signal(sig)
		}
		group.Wait()
		for i, result := range results {
			assertComplete(t, result, fmt.Sprintf("s%dx%d", n, i))
		}
		assert.Equal(t, d.exitCode(), 0)
		c.startDaemon(d)
		c.awaitReady(d)
	}
}

func TestStopDuringPlatformOutageCutsNoStream(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
	setFaults(t, c.platform, "listening", `{"hang":true}`)
	var result caller.Result
	var group conc.WaitGroup
	group.Go(func() { result = c.caller.Do(t.Context(), c.generationCall(0, "s", 100)) })
	c.awaitProduced(5)
	c.daemons[0].signal(syscall.SIGTERM)
	group.Wait()
	assertComplete(t, result, "s")
	assert.Equal(t, c.daemons[0].exitCode(), 0)
}

func TestEndpointShuttingDownGetsNoNewRequests(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 2})
	checkNoNewRequests(t, c, func(engine int) {
		setFaults(t, c.engines[engine], "listening", `{"leaving":true}`)
	})
}

// The engine itself does not report that it is shutting down; only the platform's
// list of VMs does.
func TestEndpointOnVMShuttingDownGetsNoNewRequests(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 2})
	checkNoNewRequests(t, c, func(engine int) {
		vm := fmt.Sprintf(`{"name":"vm","addr":%q,"domain":"milano-a","role":"endpoint","state":"leaving"}`, c.engines[engine].addr("listening"))
		res, err := http.Post("http://"+c.platform.addr("listening")+"/vms", "application/json", strings.NewReader(vm))
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusNoContent)
	})
}

// Guards against a daemon that is restarted while a VM is leaving, and never hears of it:
// its shutdown was announced before the daemon started.
func TestRestartedDaemonLearnsOfLeavingVM(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 3, engines: 3})
	for i, engine := range c.engines {
		vm := fmt.Sprintf(`{"name":"vm-%d","addr":%q,"domain":"milano-a","role":"endpoint","state":"leaving"}`, i, engine.addr("listening"))
		res, err := http.Post("http://"+c.platform.addr("listening")+"/vms", "application/json", strings.NewReader(vm))
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
	}
	for i, d := range c.daemons {
		c.awaitLeaving(d, len(c.engines))
		if i > 0 {
			d.kill()
			c.startDaemon(d)
			c.awaitReady(d)
			c.awaitLeaving(d, len(c.engines))
		}
	}
}

// awaitLeaving waits until a daemon reports n endpoints as shutting down.
func (c *cluster) awaitLeaving(d *daemon, n int) {
	c.t.Helper()
	waitFor(c.t, "the daemon to learn of the shutdown", func() bool {
		s, err := d.status()
		leaving := 0
		for _, e := range s.Endpoints {
			if e.ShuttingDown {
				leaving++
			}
		}
		return err == nil && leaving == n
	})
}

// checkNoNewRequests calls startShutdown for an engine that runs a generation.
// Once every daemon has noticed, new requests must be sent to other engines, and
// the running generation must complete.
func checkNoNewRequests(t *testing.T, c *cluster, startShutdown func(engine int)) {
	t.Helper()
	var result caller.Result
	var group conc.WaitGroup
	group.Go(func() { result = c.caller.Do(t.Context(), c.generationCall(0, "l", 150)) })
	engine := c.awaitProduced(5)
	startShutdown(engine)
	name := fmt.Sprint("engine-", engine)
	for _, d := range c.daemons {
		waitFor(t, "every daemon to notice the shutdown", func() bool {
			s, err := d.status()
			return err == nil && slices.ContainsFunc(s.Endpoints, func(e endpointStatus) bool {
				return e.Name == name && e.ShuttingDown
			})
		})
	}
	before := c.counts(engine)
	for i := range 10 {
		id := fmt.Sprint("n", i)
		assertComplete(t, c.caller.Do(t.Context(), c.generationCall(i%2, id, 10)), id)
	}
	assert.Equal(t, c.counts(engine), before)
	group.Wait()
	assertComplete(t, result, "l")
}

// An accepted manifest must reach a daemon that cannot connect to the platform,
// and must be in force at a daemon that starts during a platform outage. Stale
// reads after the outage must not revert any daemon.
func TestManifestReachesAllAndNeverReverts(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 3, engines: 1, relayPlatform: true})
	awaitAtLeast := func(generation uint64) {
		t.Helper()
		for _, d := range c.daemons {
			waitFor(t, d.name+" to have the manifest in force", func() bool { return d.generation() >= generation })
		}
	}
	first := c.daemons[0].generation()
	assert.Assert(t, first > 0)
	setFaults(t, c.relay, "control", `{"cut":true}`)
	c.apply(c.renderManifest(9))
	awaitAtLeast(first + 1)
	setFaults(t, c.platform, "listening", `{"outage":true}`)
	c.daemons[0].kill()
	c.startDaemon(c.daemons[0])
	awaitAtLeast(first + 1)
	setFaults(t, c.platform, "listening", `{"outage":false,"stale_versions":4}`)
	setFaults(t, c.relay, "control", `{"cut":false}`)
	c.daemons[1].kill()
	c.startDaemon(c.daemons[1])
	c.awaitReady(c.daemons[1])
	awaitAtLeast(first + 1)
	for _, d := range c.daemons {
		assert.Equal(t, d.generation(), first+1)
	}
}

func TestBadManifestLeavesTheOldOneInForce(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
	first := c.daemons[0].generation()
	out, code := c.tryApply(c.renderManifest(9) + "\n[customer nobody]\npriority = none\n")
	assert.Equal(t, code, exitInvalid, out)
	c.apply(c.renderManifest(8))
	for _, d := range c.daemons {
		waitFor(t, "the next manifest", func() bool { return d.generation() > first })
		assert.Equal(t, d.generation(), first+1)
	}
}

// Of operators who apply manifests concurrently from the same generation, one must
// succeed and the others must get a conflict, although responses are lost.
func TestOneOfRacingOperatorsWins(t *testing.T) {
	const operators = 4
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
	first := c.daemons[0].generation()
	setFaults(t, c.platform, "listening", `{"lose_answers":3}`)
	outputs, exitCodes := make([]string, operators), make([]int, operators)
	var group conc.WaitGroup
	for i := range operators {
		group.Go(func() { outputs[i], exitCodes[i] = c.tryApply(c.renderManifest(5+i), "--from", fmt.Sprint(first)) })
	}
	group.Wait()
	succeeded := 0
	for i, code := range exitCodes {
		if code == 0 {
			succeeded++
			continue
		}
		assert.Equal(t, code, exitConflict, outputs[i])
	}
	assert.Equal(t, succeeded, 1, "%q", outputs)
	for _, d := range c.daemons {
		waitFor(t, "the winner's manifest", func() bool { return d.generation() > first })
		assert.Equal(t, d.generation(), first+1)
	}
}

// When many claims are written after the manifest, the platform trims the version
// at which the manifest was accepted from its history. A daemon must still be
// able to watch without constantly re-reading the manifest, so it must not start
// a watch from a trimmed version.
func TestWatchContinuesAfterManyOtherWrites(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, engines: 1, platformArgs: []string{"--history", "10"}})
	for n := range 10 {
		id := fmt.Sprint("w", n)
		result := c.caller.Do(t.Context(), c.filingCall(0, id, "key-"+id))
		assert.Equal(t, result.Outcome, "ran", result.Text)
	}
	first := c.daemons[0].generation()
	c.daemons[0].kill()
	c.startDaemon(c.daemons[0])
	c.awaitReady(c.daemons[0])
	c.apply(c.renderManifest(9))
	waitFor(t, "the next manifest", func() bool { return c.daemons[0].generation() == first+1 })
	text, err := os.ReadFile(c.daemons[0].logs.path)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), "too old"), "a watch started from a trimmed version")
}
