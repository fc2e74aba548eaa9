package e2e_test

import (
	"fmt"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
)

// Guards against a second run of a generation that must run at most once: a repeat with its
// key reads the stream of the first attempt, and the engine is lost.
func TestRepeatWhoseStreamIsLostDoesNotRunAgain(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 2})
	results := make([]caller.Result, len(c.daemons))
	var group conc.WaitGroup
	send := func(daemon int) {
		call := c.generationCall(daemon, "g", 2000)
		call.Stream, call.NonIdempotent, call.IdempotencyKey = false, true, "key"
		group.Go(func() { results[daemon] = c.caller.Do(t.Context(), call) })
	}
	send(0)
	engine := c.awaitProduced(5)
	send(1)
	waitFor(t, "the repeat to read the stream", func() bool { return c.counts(engine).Resumed > 0 })
	c.engines[engine].kill()
	group.Wait()
	assert.Equal(t, c.counts(1-engine).Started, 0)
	for i, r := range results {
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Outcome, "unknown", "daemon %d: %s", i, r.Text)
	}
}

// Guards against a request that ran and counts as refused, since a copy of an earlier refusal
// arrived on its connection: it was sent to another endpoint as well, or reported as not run.
func TestLateRefusalIsNoProof(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, engines: 2})
	file := func(id string) caller.Result { return c.caller.Do(t.Context(), c.filingCall(0, id, "")) }
	generate := func(id string) caller.Result {
		call := c.generationCall(0, id, 5)
		call.NonIdempotent = true
		return c.caller.Do(t.Context(), call)
	}
	setFaults(t, c.service, "listening", `{"late_refusals":true}`)
	for n := range 3 {
		id := fmt.Sprint("f", n)
		assert.Equal(t, file(id).Outcome, "ran")
		assert.Equal(t, c.runCount(id), 1)
	}
	for _, e := range c.engines {
		setFaults(t, e, "listening", `{"refuse":"overloaded"}`)
	}
	assert.Equal(t, generate("refused").Outcome, "not_run")
	for _, e := range c.engines {
		setFaults(t, e, "listening", `{"refuse":"","late_refusals":true}`)
	}
	var result caller.Result
	started := func() int { return c.counts(0).Started + c.counts(1).Started }
	waitFor(t, "an engine to be used again", func() bool {
		result = generate("g")
		return result.Outcome != "not_run" || started() > 0
	})
	assertComplete(t, result, "g")
	assert.Equal(t, started(), 1)
}

// A generation that must run at most once is sent to one engine only once it may have run: the
// engine closes the connection without a response. The other engine would run it.
func TestGenerationThatMayHaveRunIsSentOnce(t *testing.T) {
	for fault, whole := range map[string]bool{
		`{"lose_answers":1}`:               true, // It has run, and its stream is resumed.
		`{"lose_answers":1,"cut_after":1}`: true,
		`{"drop_calls":1}`:                 false,
	} {
		t.Run(fault, func(t *testing.T) {
			c := startCluster(t, clusterConfig{daemons: 1, engines: 2})
			call := c.generationCall(0, "g", 5)
			assertComplete(t, c.caller.Do(t.Context(), call), "g")
			engine := 0 // That the prompt is sent to.
			if c.counts(1).Started > 0 {
				engine = 1
			}
			setFaults(t, c.engines[engine], "listening", fault)
			call.NonIdempotent = true
			result := c.caller.Do(t.Context(), call)
			assert.Equal(t, c.counts(1-engine).Started, 0)
			if whole {
				assertComplete(t, result, "g")
				assert.Equal(t, c.counts(engine).Started, 2)
				return
			}
			assert.Equal(t, result.Outcome, "unknown", result.Text)
			assert.Equal(t, c.counts(engine).Started, 1)
		})
	}
}
