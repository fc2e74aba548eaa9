package server

import (
	"testing"

	"monsoonspar.example/coordination/claimer"
	"monsoonspar.example/state/parser"

	"gotest.tools/v3/assert"
)

func TestMinimumRetentionExceedsTheLongestSend(t *testing.T) {
	assert.NilError(t, claimer.DefaultSettings().Validate(parser.MinClaimRetention))
}
