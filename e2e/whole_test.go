package e2e_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
	"monsoonspar.example/standin/listener"
)

// Guards against streams and replies without length and chunks that are taken for broken
// off.
func TestUnframedResponsesArriveWhole(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
	setFaults(t, c.engines[0], "listening", `{"unframed":true}`)
	setFaults(t, c.service, "listening", `{"unframed":true}`)
	for i := range c.daemons {
		id := fmt.Sprint("u", i)
		assertComplete(t, c.caller.Do(t.Context(), c.generationCall(i, id, 40)), id)
		assert.Equal(t, c.caller.Do(t.Context(), c.filingCall(i, id, "")).Status, 200)
		assert.Equal(t, c.runCount(id), 1)
	}
}

// Guards against a stream that ends inside an event and is taken for complete: it is
// resumed.
func TestStreamCutInsideEventIsResumed(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		t.Run(fmt.Sprint("unframed ", unframed), func(t *testing.T) {
			c := startCluster(t, clusterConfig{daemons: 1, engines: 1})
			setFaults(t, c.engines[0], "listening", fmt.Sprintf(`{"cut_in_event":7,"unframed":%v}`, unframed))
			for _, stream := range []bool{true, false} {
				id := fmt.Sprint("c", stream)
				call := c.generationCall(0, id, 40)
				call.Stream = stream
				assertComplete(t, c.caller.Do(t.Context(), call), id)
			}
			assert.Assert(t, c.counts(0).Resumed >= 2)
		})
	}
}

// Guards against a whole stream that is taken for broken off because its connection is lost
// behind the last token.
func TestStreamResetBehindLastTokenIsComplete(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, engines: 1})
	setFaults(t, c.engines[0], "listening", `{"reset_at_end":true}`)
	for _, stream := range []bool{true, false} {
		id := fmt.Sprint("r", stream)
		call := c.generationCall(0, id, 40)
		call.Stream = stream
		assertComplete(t, c.caller.Do(t.Context(), call), id)
	}
}

// Guards against engines and services that send bytes without end: the request gets a
// clear error, and the daemon goes on serving.
func TestEndlessResponsesAreRefused(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, engines: 1})
	for _, kind := range []string{
		listener.EndlessHead, listener.EndlessChunkSize, listener.EndlessChunks, listener.EndlessBody, listener.EndlessLength, listener.EndlessComments,
	} {
		setFaults(t, c.engines[0], "listening", `{"endless":"`+kind+`"}`)
		setFaults(t, c.service, "listening", `{"endless":"`+kind+`"}`)
		result := c.caller.Do(t.Context(), c.filingCall(0, kind, ""))
		assert.NilError(t, result.Err)
		assert.Equal(t, result.Outcome, "unknown", kind)
		assert.Equal(t, c.runCount(kind), 1)
	}
	for _, kind := range []string{listener.EndlessHead, listener.EndlessBody, listener.EndlessComments} {
		setFaults(t, c.engines[0], "listening", `{"endless":"`+kind+`"}`)
		for _, stream := range []bool{true, false} {
			id := fmt.Sprint(kind, stream)
			call := c.generationCall(0, id, 20)
			call.Stream = stream
			result := c.caller.Do(t.Context(), call)
			// The engine runs the request, and its stream is resumed.
			assertComplete(t, result, id)
		}
	}
	setFaults(t, c.engines[0], "listening", `{"endless":""}`)
	setFaults(t, c.service, "listening", `{"endless":""}`)
	assertComplete(t, c.caller.Do(t.Context(), c.generationCall(0, "after", 20)), "after")
	var result caller.Result
	waitFor(t, "the service to be used again", func() bool {
		result = c.caller.Do(t.Context(), c.filingCall(0, "after", ""))
		return result.Status == 200
	})
}

// Guards against a generation that does not end at the maximum number of tokens of its
// request.
func TestTokensBeyondTheMaximumEndTheGeneration(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, engines: 1})
	setFaults(t, c.engines[0], "listening", `{"extra_tokens":1000}`)
	for _, stream := range []bool{true, false} {
		call := c.generationCall(0, fmt.Sprint("x", stream), 20)
		call.Stream, call.MaxTokens = stream, 30
		result := c.caller.Do(t.Context(), call)
		assert.Assert(t, !result.Complete)
		assert.Assert(t, len(result.Tokens) <= 30, "%d tokens", len(result.Tokens))
		assert.Equal(t, result.Outcome, "unknown", result.Text)
	}
}
