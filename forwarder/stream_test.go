package forwarder

import (
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
)

// A job that no engine could take at all must not look like one that waited for
// the jobs ahead of it.
func TestUnplacedCause(t *testing.T) {
	for cause, q := range map[string]placer.QueueState{
		"no_engine":       {JobsAhead: 9, Late: true},
		"engine_memory":   {JobsAhead: 9, EnginesFull: 30, EnginesBusy: 2},
		"prefill_backlog": {EnginesFull: 1, EnginesBusy: 2},
	} {
		assert.Equal(t, unplacedCause(q), cause)
	}
}
