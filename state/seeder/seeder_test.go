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

func TestMainSetsHistories(t *testing.T) {
	n := 0
	rapid.Check(t, func(*rapid.T) { n++ })
	assert.Equal(t, strconv.Itoa(n), flag.Lookup("rapid.checks").Value.String())
}
