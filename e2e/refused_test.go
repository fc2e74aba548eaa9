package e2e_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
)

// drain drains all endpoints and waits until every daemon has the manifest in force.
func (c *cluster) drain() {
	c.t.Helper()
	before := c.daemons[0].generation()
	c.apply(strings.ReplaceAll(c.manifest, "\nkind = ", "\ndraining = true\nkind = "))
	for _, d := range c.daemons {
		waitFor(c.t, "the manifest", func() bool { return d.generation() > before })
	}
}

// Guards against a repeat that is told that its request did not run, although it ran or runs:
// no endpoint accepts new work, and the claim was not read.
func TestRepeatIsAnsweredWhileNoEndpointIsReady(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
	generation := func(daemon int, id string) caller.Call {
		call := c.generationCall(daemon, id, 5)
		call.Stream, call.NonIdempotent, call.IdempotencyKey = false, true, "key-"+id
		return call
	}
	assert.Equal(t, c.caller.Do(t.Context(), c.filingCall(0, "f", "key-f")).Outcome, "ran")
	assertComplete(t, c.caller.Do(t.Context(), generation(0, "g")), "g")
	setFaults(t, c.service, "listening", `{"slow_ms":8000}`)
	var slow caller.Result
	var group conc.WaitGroup
	group.Go(func() { slow = c.caller.Do(t.Context(), c.filingCall(0, "s", "key-s")) })
	waitFor(t, "the filing to run", func() bool { return c.runCount("s") == 1 })
	c.drain()
	for daemon := range c.daemons {
		running := c.doReadingClaim(c.filingCall(daemon, "s", "key-s"))
		assert.Check(t, running.Outcome != "not_run", "daemon %d: %s", daemon, running.Text)
		filed := c.doReadingClaim(c.filingCall(daemon, "f", "key-f"))
		assert.Check(t, filed.Outcome == "ran", "daemon %d: %s", daemon, filed.Text)
		generated := c.doReadingClaim(generation(daemon, "g"))
		assert.Check(t, generated.Outcome == "ran", "daemon %d: %s", daemon, generated.Text)
		for _, call := range []caller.Call{c.filingCall(daemon, fmt.Sprint("n", daemon), fmt.Sprint("key-n", daemon)), generation(daemon, fmt.Sprint("n", daemon))} {
			refused := c.doReadingClaim(call)
			assert.Check(t, refused.Outcome == "not_run" && refused.RetryAfter > 0, "daemon %d: %s", daemon, refused.Text)
		}
	}
	group.Wait()
	assert.Equal(t, slow.Outcome, "ran", slow.Text)
	for _, id := range []string{"f", "s"} {
		assert.Equal(t, c.runCount(id), 1, id)
	}
	assert.Equal(t, c.counts(0).Started, 1)
}

// Guards against a request that may be repeated and is reported as not run although it ran,
// since a copy of an earlier refusal arrived on its connection.
func TestLateRefusalOfRepeatableRequestIsNoProof(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, engines: 1})
	read := func(id string) caller.Result {
		call := c.filingCall(0, id, "")
		call.Method, call.Path = "PUT", "/services/registro-app/drafts"
		return c.caller.Do(t.Context(), call)
	}
	assert.Equal(t, read("first").Outcome, "ran")
	assertComplete(t, c.caller.Do(t.Context(), c.generationCall(0, "first", 5)), "first")
	setFaults(t, c.service, "listening", `{"late_refusals":true}`)
	setFaults(t, c.engines[0], "listening", `{"late_refusals":true}`)
	doubted := 0
	for n := range 5 {
		id := fmt.Sprint("r", n)
		result := read(id)
		assert.Check(t, result.Outcome != "not_run" || c.runCount(id) == 0, "%d: %s", n, result.Text)
		if result.Outcome == "unknown" {
			doubted++
		}
		before := c.counts(0).Started
		result = c.caller.Do(t.Context(), c.generationCall(0, id, 5))
		assert.Check(t, result.Outcome != "not_run" || c.counts(0).Started == before, "%d: %s %s", n, result.Code, result.Text)
	}
	assert.Check(t, doubted > 0, "no call got a late refusal")
}

// Guards against an answer that invites a second run of a request that may have run and must run
// at most once: callers and libraries return after a 503 and after the time in Retry-After.
func TestUnknownOutcomeOfRequestThatRunsOnceInvitesNoRepeat(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, engines: 2})
	generation := c.generationCall(0, "g", 5)
	generation.NonIdempotent = true
	slow := generation
	slow.Timeout = 1500 * time.Millisecond
	for _, tc := range []struct {
		name, fault string
		processes   []*process
		call        caller.Call
	}{
		{"filing", `{"lose_answers":1}`, []*process{c.service}, c.filingCall(0, "f", "")},
		{"slow generation", `{"mute_after":2}`, c.engines, slow},
		{"generation", `{"mute_after":0,"drop_calls":1}`, c.engines, generation},
	} {
		for _, p := range tc.processes {
			setFaults(t, p, "listening", tc.fault)
		}
		result := c.caller.Do(t.Context(), tc.call)
		assert.Check(t, result.Outcome == "unknown", "%s: %s", tc.name, result.Text)
		// The slow one has sent its status by then.
		assert.Check(t, result.Status == 504 || tc.name == "slow generation" && result.ErrorEvent, "%s: status %d", tc.name, result.Status)
		assert.Check(t, result.Code == "outcome_unknown" && result.RetryAfter == 0, "%s: status %d, to come back after %v: %s", tc.name, result.Status, result.RetryAfter, result.Text)
	}
}
