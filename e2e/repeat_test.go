package e2e_test

import (
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
