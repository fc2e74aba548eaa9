package e2e_test

import (
	"fmt"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
)

func TestRepeatedFilingRunsOnce(t *testing.T) {
	c := startCluster(t, layout{daemons: 3, engines: 1})
	for n := range 10 {
		id, key := fmt.Sprint("f", n), fmt.Sprint("key-", n)
		answers := make([]caller.Result, 3)
		var group conc.WaitGroup
		for i := range answers {
			group.Go(func() { answers[i] = c.caller.Do(t.Context(), c.file(i, id, key)) })
		}
		group.Wait()
		ran := 0
		for _, a := range answers {
			assert.NilError(t, a.Err)
			if a.Outcome == "ran" {
				ran++
			}
		}
		assert.Assert(t, ran >= 1)
		assert.Equal(t, c.runs(id), 1)
		again := c.caller.Do(t.Context(), c.file(n%3, id, key))
		assert.Equal(t, again.Outcome, "ran", again.Text)
		assert.Equal(t, c.runs(id), 1)
	}
}

func TestRepeatAfterTheDaemonDiedDoesNotRunAgain(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 1})
	setFaults(t, c.service, "listening", `{"slow_ms":1500}`)
	var group conc.WaitGroup
	group.Go(func() { _ = c.caller.Do(t.Context(), c.file(0, "f", "key")) })
	waitFor(t, "the filing to run", func() bool { return c.runs("f") == 1 })
	c.daemons[0].kill()
	group.Wait()
	a := c.caller.Do(t.Context(), c.file(1, "f", "key"))
	assert.NilError(t, a.Err)
	assert.Assert(t, a.Outcome != "not_run", a.Text)
	assert.Equal(t, c.runs("f"), 1)
}

func TestLostAnswersDoNotRepeatAFiling(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 1})
	// The answer of the service is lost after its effect.
	setFaults(t, c.service, "listening", `{"lose_answers":1}`)
	a := c.caller.Do(t.Context(), c.file(0, "s", "key-s"))
	assert.Equal(t, a.Outcome, "unknown", a.Text)
	a = c.caller.Do(t.Context(), c.file(1, "s", "key-s"))
	assert.Equal(t, a.Outcome, "unknown", a.Text)
	assert.Equal(t, c.runs("s"), 1)
	// The platform's answers are lost after the claim took effect.
	for n := range 5 {
		id, key := fmt.Sprint("l", n), fmt.Sprint("key-l", n)
		setFaults(t, c.platform, "listening", fmt.Sprintf(`{"lose_answers":%d}`, n%3))
		first := c.caller.Do(t.Context(), c.file(n%2, id, key))
		assert.NilError(t, first.Check(id))
		a := c.caller.Do(t.Context(), c.file((n+1)%2, id, key))
		assert.Assert(t, c.runs(id) <= 1)
		if first.Outcome == "not_run" {
			continue
		}
		assert.Assert(t, a.Outcome != "not_run" || c.runs(id) == 0, "%s: %s", id, a.Text)
	}
}

func TestFilingDuringAnOutageIsRefusedAndTheRestGoesOn(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 1})
	for _, fault := range []string{"outage", "hang"} {
		id := "f" + fault
		setFaults(t, c.platform, "listening", `{"`+fault+`":true}`)
		a := c.caller.Do(t.Context(), c.file(0, id, "key-"+id))
		assert.NilError(t, a.Err)
		assert.Equal(t, a.Outcome, "not_run", a.Text)
		assert.Assert(t, a.RetryAfter > 0)
		assert.Equal(t, c.runs(id), 0)
		assertWhole(t, c.caller.Do(t.Context(), c.generate(1, "g"+fault, 20)), "g"+fault)
		// A filing without a key needs no claim.
		a = c.caller.Do(t.Context(), c.file(0, "u"+fault, ""))
		assert.Equal(t, a.Outcome, "ran", a.Text)
		setFaults(t, c.platform, "listening", `{"`+fault+`":false}`)
		waitFor(t, "the filing to be taken", func() bool {
			return c.caller.Do(t.Context(), c.file(0, id, "key-"+id)).Outcome == "ran"
		})
		assert.Equal(t, c.runs(id), 1)
	}
}

func TestConnectionsClosedByTheServiceRepeatNothing(t *testing.T) {
	c := startCluster(t, layout{daemons: 1, engines: 1})
	for n := range 10 {
		setFaults(t, c.service, "listening", `{"close_idle":true}`)
		id := fmt.Sprint("c", n)
		a := c.caller.Do(t.Context(), c.file(0, id, ""))
		assert.NilError(t, a.Err)
		assert.Equal(t, c.runs(id), 1, a.Text)
		assert.Equal(t, a.Outcome, "ran", a.Text)
	}
	setFaults(t, c.service, "listening", `{"refuse_calls":100}`)
	a := c.caller.Do(t.Context(), c.file(0, "refused", ""))
	assert.Equal(t, a.Outcome, "not_run", a.Text)
	assert.Equal(t, c.runs("refused"), 0)
}
