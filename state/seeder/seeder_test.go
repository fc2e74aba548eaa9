package seeder_test

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"monsoonspar.example/state/seeder"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 7)) }

func TestMainSetsNumberOfCases(t *testing.T) {
	runs := 0
	rapid.Check(t, func(*rapid.T) { runs++ })
	assert.Equal(t, strconv.Itoa(runs), flag.Lookup("rapid.checks").Value.String())
}
