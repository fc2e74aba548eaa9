package storer_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/storer"
)

// Guards against an object that is taken for the one that was read, since the response to an
// earlier call arrived late.
func TestGetReturnsTheObjectAskedFor(t *testing.T) {
	client, _ := newClient(reply{status: 200, body: other})
	_, err := client.Get(t.Context(), "claims", "a")
	assert.ErrorIs(t, err, storer.ErrUnavailable)
}

// Guards against an update that seems to have taken effect, since the response to an earlier
// write of the same object arrived late.
func TestResponseToEarlierUpdateProvesNothing(t *testing.T) {
	client, doer := newClient(foundTheirs, foundTheirs)
	_, err := client.Update(t.Context(), storer.Object{Resource: "claims", Name: "a", Version: 7, Spec: json.RawMessage(`{"writer":"w1"}`)})
	assert.ErrorIs(t, err, storer.ErrOutcomeUnknown)
	assert.Equal(t, len(doer.replies), 0)
}
