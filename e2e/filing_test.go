package e2e_test

import (
	"fmt"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
)

func TestRepeatedFilingRunsOnce(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 3, engines: 1})
	for n := range 10 {
		id, key := fmt.Sprint("f", n), fmt.Sprint("key-", n)
		results := make([]caller.Result, 3)
		var group conc.WaitGroup
		for i := range results {
			group.Go(func() { results[i] = c.caller.Do(t.Context(), c.filingCall(i, id, key)) })
		}
		group.Wait()
		ran := 0
		for _, result := range results {
			assert.NilError(t, result.Err)
			if result.Outcome == "ran" {
				ran++
			}
		}
		assert.Assert(t, ran >= 1)
		assert.Equal(t, c.runCount(id), 1)
		repeated := c.caller.Do(t.Context(), c.filingCall(n%3, id, key))
		assert.Equal(t, repeated.Outcome, "ran", repeated.Text)
		assert.Equal(t, c.runCount(id), 1)
	}
}

func TestRepeatAfterTheDaemonDiedDoesNotRunAgain(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
	setFaults(t, c.service, "listening", `{"slow_ms":1500}`)
	var group conc.WaitGroup
	group.Go(func() { _ = c.caller.Do(t.Context(), c.filingCall(0, "f", "key")) })
	waitFor(t, "the filing to run", func() bool { return c.runCount("f") == 1 })
	c.daemons[0].kill()
	group.Wait()
	result := c.caller.Do(t.Context(), c.filingCall(1, "f", "key"))
	assert.NilError(t, result.Err)
	assert.Assert(t, result.Outcome != "not_run", result.Text)
	assert.Equal(t, c.runCount("f"), 1)
}

func TestFilingIsNotRepeatedAfterLostResponse(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
	// The response of the service is lost after the request took effect.
	setFaults(t, c.service, "listening", `{"lose_answers":1}`)
	result := c.caller.Do(t.Context(), c.filingCall(0, "s", "key-s"))
	assert.Equal(t, result.Outcome, "unknown", result.Text)
	result = c.caller.Do(t.Context(), c.filingCall(1, "s", "key-s"))
	assert.Equal(t, result.Outcome, "unknown", result.Text)
	assert.Equal(t, c.runCount("s"), 1)
	// The responses of the platform are lost after the claim was written.
	for n := range 5 {
		id, key := fmt.Sprint("l", n), fmt.Sprint("key-l", n)
		setFaults(t, c.platform, "listening", fmt.Sprintf(`{"lose_answers":%d}`, n%3))
		first := c.caller.Do(t.Context(), c.filingCall(n%2, id, key))
		assert.NilError(t, first.Check(id))
		repeated := c.caller.Do(t.Context(), c.filingCall((n+1)%2, id, key))
		assert.Assert(t, c.runCount(id) <= 1)
		if first.Outcome == "not_run" {
			continue
		}
		assert.Assert(t, repeated.Outcome != "not_run" || c.runCount(id) == 0, "%s: %s", id, repeated.Text)
	}
}

func TestFilingIsRefusedDuringPlatformOutageAndGenerationsContinue(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
	for _, fault := range []string{"outage", "hang"} {
		id := "f" + fault
		setFaults(t, c.platform, "listening", `{"`+fault+`":true}`)
		result := c.caller.Do(t.Context(), c.filingCall(0, id, "key-"+id))
		assert.NilError(t, result.Err)
		assert.Equal(t, result.Outcome, "not_run", result.Text)
		assert.Assert(t, result.RetryAfter > 0)
		assert.Equal(t, c.runCount(id), 0)
		assertComplete(t, c.caller.Do(t.Context(), c.generationCall(1, "g"+fault, 20)), "g"+fault)
		// A filing without a key needs no claim.
		result = c.caller.Do(t.Context(), c.filingCall(0, "u"+fault, ""))
		assert.Equal(t, result.Outcome, "ran", result.Text)
		setFaults(t, c.platform, "listening", `{"`+fault+`":false}`)
		waitFor(t, "the filing to be accepted", func() bool {
			return c.caller.Do(t.Context(), c.filingCall(0, id, "key-"+id)).Outcome == "ran"
		})
		assert.Equal(t, c.runCount(id), 1)
	}
}

func TestConnectionsClosedByTheServiceRepeatNothing(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, engines: 1})
	for n := range 10 {
		setFaults(t, c.service, "listening", `{"close_idle":true}`)
		id := fmt.Sprint("c", n)
		result := c.caller.Do(t.Context(), c.filingCall(0, id, ""))
		assert.NilError(t, result.Err)
		assert.Equal(t, c.runCount(id), 1, result.Text)
		assert.Equal(t, result.Outcome, "ran", result.Text)
	}
	setFaults(t, c.service, "listening", `{"refuse_calls":100}`)
	refused := c.caller.Do(t.Context(), c.filingCall(0, "refused", ""))
	assert.Equal(t, refused.Outcome, "not_run", refused.Text)
	assert.Equal(t, c.runCount("refused"), 0)
}
