package main

import (
	"bytes"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"monsoonspar.example/experimenter"
)

func runMeasure(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var f flags
	p, err := kong.New(&f)
	assert.NilError(t, err)
	_, err = p.Parse(args)
	assert.NilError(t, err)
	var b bytes.Buffer
	err = f.run(&b)
	return b.String(), err
}

func TestSameFlagsSameOutput(t *testing.T) {
	args := []string{"--deployment=tiny", "--duration=60s", "--warm-up=10s", "--seeds=3"}
	for _, format := range []string{"--json", "--no-json"} {
		var want string
		for i, parallel := range []string{"--parallel=1", "--parallel=3"} {
			got, err := runMeasure(t, append(args, parallel, format)...)
			assert.NilError(t, err)
			if i > 0 {
				assert.Equal(t, got, want)
			}
			want = got
		}
	}
}

func TestUnknownFlagValues(t *testing.T) {
	for _, arg := range []string{"--load=2", "--fault=x", "--policy=x"} {
		_, err := runMeasure(t, "--deployment=tiny", arg)
		assert.ErrorIs(t, err, experimenter.ErrUnknownName)
	}
}
