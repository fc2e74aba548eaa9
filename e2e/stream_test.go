package e2e_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
)

// assertWhole checks that an answer is complete and the one to its request.
func assertWhole(t *testing.T, a caller.Result, id string) {
	t.Helper()
	assert.NilError(t, a.Err, "%s: status %d %s", id, a.Status, a.Text)
	assert.NilError(t, a.Check(id))
	assert.Assert(t, a.Complete, "%s: status %d code %q outcome %q %s", id, a.Status, a.Code, a.Outcome, a.Text)
}

func TestStreamIsWhole(t *testing.T) {
	c := startCluster(t, layout{daemons: 3, engines: 2})
	for i := range c.daemons {
		id := fmt.Sprint("s", i)
		a := c.caller.Do(t.Context(), c.generate(i, id, 30))
		assertWhole(t, a, id)
		assert.Equal(t, len(a.Tokens), 30)

		call := c.generate(i, id+"w", 30)
		call.Stream, call.Chat = false, false
		assertWhole(t, c.caller.Do(t.Context(), call), id+"w")
	}
}

func TestStreamResumesAtAnotherDaemonAfterKill(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 2})
	var a caller.Result
	var group conc.WaitGroup
	group.Go(func() {
		a = c.caller.DoWithResumes(t.Context(), c.generate(0, "r", 150), []string{c.daemons[0].addr, c.daemons[1].addr}, 20)
	})
	engine := c.awaitProduced(20)
	c.daemons[0].kill()
	group.Wait()
	assertWhole(t, a, "r")
	assert.Assert(t, c.counts(engine).Resumed > 0)
}

func TestEngineKilledBeforeFirstTokenIsReplaced(t *testing.T) {
	// The prompt takes 5 s to read in.
	c := startCluster(t, layout{daemons: 2, engines: 2, engineArgs: []string{"--prefill-time", "5ms"}})
	call := c.generate(0, "k", 20)
	call.Prompt = strings.Repeat("text", 1000) + call.Prompt
	var a caller.Result
	var group conc.WaitGroup
	group.Go(func() { a = c.caller.Do(t.Context(), call) })
	c.engines[c.awaitProduced(0)].kill()
	group.Wait()
	assertWhole(t, a, "k")
}

func TestEngineKilledAfterFirstTokenEndsTheStreamExplicitly(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 2})
	var a caller.Result
	var group conc.WaitGroup
	group.Go(func() { a = c.caller.Do(t.Context(), c.generate(0, "k", 500)) })
	c.engines[c.awaitProduced(20)].kill()
	group.Wait()
	assert.NilError(t, a.Err)
	assert.NilError(t, a.Check("k"))
	assert.Assert(t, a.ErrorEvent)
	assert.Equal(t, a.Outcome, "unknown")
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 2})
	var a caller.Result
	var group conc.WaitGroup
	group.Go(func() { a = c.caller.Do(t.Context(), c.generate(0, "m", 150)) })
	engine := c.awaitProduced(20)
	setFaults(t, c.engines[engine], "listening", `{"mute_open":true}`)
	group.Wait()
	assertWhole(t, a, "m")
	assert.Assert(t, c.counts(engine).Resumed > 0)
}

func TestDuplicateLateAndForeignTokensAreDropped(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 2})
	for i := range c.engines {
		setFaults(t, c.engines[i], "listening", `{"duplicate_every":3,"foreign_every":4,"reorder_every":7}`)
	}
	for i := range 4 {
		id := fmt.Sprint("d", i)
		assertWhole(t, c.caller.Do(t.Context(), c.generate(i%2, id, 60)), id)
	}
}

func TestStreamOfAnotherCustomerIsNotResumed(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 1})
	a := c.caller.Do(t.Context(), c.generate(0, "o", 20))
	assertWhole(t, a, "o")
	_, rest, ok := strings.Cut(a.LastEventID, ".")
	assert.Assert(t, ok, a.LastEventID)
	early := "3." + rest
	call := c.generate(1, "o", 20)
	call.LastEventID = early
	own := c.caller.Do(t.Context(), call)
	assert.Assert(t, own.Complete, "%d %s", own.Status, own.Text)
	assert.Equal(t, own.Tokens[0].Index, 4)
	for _, forged := range []string{early, a.LastEventID, early + "x", "3" + early, "3", strings.Repeat("9", 400)} {
		call.Key, call.LastEventID = otherKey, forged
		other := c.caller.Do(t.Context(), call)
		assert.Assert(t, other.Status >= 400, "%q: %d", forged, other.Status)
		assert.Equal(t, len(other.Tokens), 0)
	}
}

func TestStoppedDaemonHoldsUpNobodyElse(t *testing.T) {
	c := startCluster(t, layout{daemons: 3, engines: 2})
	c.daemons[0].signal(syscall.SIGSTOP)
	for i := range 6 {
		id := fmt.Sprint("p", i)
		assertWhole(t, c.caller.Do(t.Context(), c.generate(1+i%2, id, 20)), id)
	}
	c.daemons[0].signal(syscall.SIGCONT)
	assertWhole(t, c.caller.Do(t.Context(), c.generate(0, "q", 20)), "q")
}
