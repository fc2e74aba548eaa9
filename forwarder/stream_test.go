package forwarder

import (
	"io"
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

// abortable is a body that records whether its connection was reset.
type abortable struct {
	io.ReadCloser
	aborted bool
}

// Abort records the call.
func (a *abortable) Abort() { a.aborted = true }

// Guards against a run of an engine in another failure domain, or of a brittle service, whose connection is still open when
// the request that continues it is sent: a wrapper hid how it is reset.
func TestAbortReachesWrappedBodies(t *testing.T) {
	for name, wrap := range map[string]func(io.ReadCloser) io.ReadCloser{
		"counted": func(b io.ReadCloser) io.ReadCloser { return countedBody{ReadCloser: b} },
		"placed":  func(b io.ReadCloser) io.ReadCloser { return &placedBody{ReadCloser: b} },
		"both":    func(b io.ReadCloser) io.ReadCloser { return &placedBody{ReadCloser: countedBody{ReadCloser: b}} },
	} {
		t.Run(name, func(t *testing.T) {
			b := &abortable{}
			r := run{response: Response{Body: wrap(b)}, interrupt: func(error) {}}
			r.abort(errEngineUnresponsive)
			assert.Assert(t, b.aborted)
		})
	}
}
