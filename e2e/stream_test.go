package e2e_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
)

// assertComplete checks that a response is complete and belongs to its request.
func assertComplete(t *testing.T, result caller.Result, id string) {
	t.Helper()
	assert.NilError(t, result.Err, "%s: status %d %s", id, result.Status, result.Text)
	assert.NilError(t, result.Check(id))
	assert.Assert(t, result.Complete, "%s: status %d code %q outcome %q %s", id, result.Status, result.Code, result.Outcome, result.Text)
}

func TestStreamIsComplete(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 3, engines: 2})
	for i := range c.daemons {
		id := fmt.Sprint("s", i)
		result := c.caller.Do(t.Context(), c.generationCall(i, id, 30))
		assertComplete(t, result, id)
		assert.Equal(t, len(result.Tokens), 30)

		call := c.generationCall(i, id+"w", 30)
		call.Stream, call.Chat = false, false
		assertComplete(t, c.caller.Do(t.Context(), call), id+"w")
	}
}

func TestStreamResumesAtAnotherDaemonAfterKill(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 2})
	var result caller.Result
	var group conc.WaitGroup
	group.Go(func() {
		result = c.caller.DoWithResumes(t.Context(), c.generationCall(0, "r", 150), []string{c.daemons[0].clientAddr, c.daemons[1].clientAddr}, 20)
	})
	engine := c.awaitProduced(20)
	c.daemons[0].kill()
	group.Wait()
	assertComplete(t, result, "r")
	assert.Assert(t, c.counts(engine).Resumed > 0)
}

func TestEngineKilledBeforeFirstTokenIsReplaced(t *testing.T) {
	// Prefill of the prompt takes 5 s.
	c := startCluster(t, clusterConfig{daemons: 2, engines: 2, engineArgs: []string{"--prefill-time", "5ms"}})
	call := c.generationCall(0, "k", 20)
	call.Prompt = strings.Repeat("text", 1000) + call.Prompt
	var result caller.Result
	var group conc.WaitGroup
	group.Go(func() { result = c.caller.Do(t.Context(), call) })
	c.engines[c.awaitProduced(0)].kill()
	group.Wait()
	assertComplete(t, result, "k")
}

func TestEngineKilledAfterFirstTokenEndsTheStreamExplicitly(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 2})
	var result caller.Result
	var group conc.WaitGroup
	group.Go(func() { result = c.caller.Do(t.Context(), c.generationCall(0, "k", 500)) })
	c.engines[c.awaitProduced(20)].kill()
	group.Wait()
	assert.NilError(t, result.Err)
	assert.NilError(t, result.Check("k"))
	assert.Assert(t, result.ErrorEvent)
	assert.Equal(t, result.Outcome, "unknown")
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 2})
	var result caller.Result
	var group conc.WaitGroup
	group.Go(func() { result = c.caller.Do(t.Context(), c.generationCall(0, "m", 150)) })
	engine := c.awaitProduced(20)
	setFaults(t, c.engines[engine], "listening", `{"mute_open":true}`)
	group.Wait()
	assertComplete(t, result, "m")
	assert.Assert(t, c.counts(engine).Resumed > 0)
}

func TestDuplicateLateAndForeignTokensAreDropped(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 2})
	for i := range c.engines {
		setFaults(t, c.engines[i], "listening", `{"duplicate_every":3,"foreign_every":4,"reorder_every":7}`)
	}
	for i := range 4 {
		id := fmt.Sprint("d", i)
		assertComplete(t, c.caller.Do(t.Context(), c.generationCall(i%2, id, 60)), id)
	}
}

func TestStreamOfAnotherCustomerIsNotResumed(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
	result := c.caller.Do(t.Context(), c.generationCall(0, "o", 20))
	assertComplete(t, result, "o")
	_, suffix, ok := strings.Cut(result.LastEventID, ".")
	assert.Assert(t, ok, result.LastEventID)
	earlyEventID := "3." + suffix
	call := c.generationCall(1, "o", 20)
	call.LastEventID = earlyEventID
	own := c.caller.Do(t.Context(), call)
	assert.Assert(t, own.Complete, "%d %s", own.Status, own.Text)
	assert.Equal(t, own.Tokens[0].Index, 4)
	for _, eventID := range []string{earlyEventID, result.LastEventID, earlyEventID + "x", "3" + earlyEventID, "3", strings.Repeat("9", 400)} {
		call.Key, call.LastEventID = otherKey, eventID
		other := c.caller.Do(t.Context(), call)
		assert.Assert(t, other.Status >= 400, "%q: %d", eventID, other.Status)
		assert.Equal(t, len(other.Tokens), 0)
	}
}

// Guards against a generation that is given up, or started again elsewhere, because its
// daemon was silent for a while.
func TestStreamOutlastsPausedDaemon(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 3, engines: 2})
	var result caller.Result
	var group conc.WaitGroup
	group.Go(func() { result = c.caller.Do(t.Context(), c.generationCall(0, "w", 600)) })
	engine := c.awaitProduced(20)
	c.daemons[0].signal(syscall.SIGSTOP)
	// Longer than it takes the others to declare the daemon dead.
	time.Sleep(pauseTime)
	c.daemons[0].signal(syscall.SIGCONT)
	group.Wait()
	assertComplete(t, result, "w")
	assert.Equal(t, len(result.Tokens), 600)
	assert.Equal(t, c.counts(engine).Started, 1)
	assert.Equal(t, c.counts(1-engine).Started, 0)
}

// Guards against a generation that is given up because its engine was silent for a while.
func TestStreamOutlastsPausedEngine(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 2})
	var result caller.Result
	var group conc.WaitGroup
	group.Go(func() { result = c.caller.Do(t.Context(), c.generationCall(0, "e", 300)) })
	engine := c.awaitProduced(20)
	c.engines[engine].signal(syscall.SIGSTOP)
	time.Sleep(enginePauseTime)
	c.engines[engine].signal(syscall.SIGCONT)
	group.Wait()
	assertComplete(t, result, "e")
	assert.Equal(t, len(result.Tokens), 300)
	assert.Equal(t, c.counts(engine).Started, 1)
}

// enginePauseTime is several times the token timeout, and below the retention of streams.
const enginePauseTime = 16 * time.Second

// pauseTime is below the time after which the generations of a dead daemon are cancelled.
const pauseTime = 8 * time.Second

func TestPausedDaemonDoesNotBlockOthers(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 3, engines: 2})
	c.daemons[0].signal(syscall.SIGSTOP)
	for i := range 6 {
		id := fmt.Sprint("p", i)
		assertComplete(t, c.caller.Do(t.Context(), c.generationCall(1+i%2, id, 20)), id)
	}
	c.daemons[0].signal(syscall.SIGCONT)
	assertComplete(t, c.caller.Do(t.Context(), c.generationCall(0, "q", 20)), "q")
}
