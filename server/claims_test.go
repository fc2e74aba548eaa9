package server

import (
	"testing"

	"monsoonspar.example/coordination/claimer"
	"monsoonspar.example/state/parser"

	"gotest.tools/v3/assert"
)

// A claim that is removed while its request may still be sent no longer prevents
// the request from running twice.
func TestMinimumRetentionExceedsTheLongestSend(t *testing.T) {
	assert.NilError(t, claimer.DefaultSettings().Validate(parser.MinClaimRetention))
}
