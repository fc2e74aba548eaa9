package explainer_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"monsoonspar.example/explainer"
)

// The course of a stream that was cut, from the logs of a played day with
// lines of other requests and of a collector between them.
func TestExplainCutStream(t *testing.T) {
	f, err := os.Open("testdata/cut-stream.log")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := explainer.Read(f, "e659121c73956a6c")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, explainer.Explain(&b, "e659121c73956a6c", lines))
	golden.Assert(t, b.String(), "cut-stream.golden")
}

func TestExplainUnknownRequest(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader("no json\n{\"request\":\"other\"}\n{bad r1}\n"), "r1")
	assert.NilError(t, err)
	assert.ErrorIs(t, explainer.Explain(&bytes.Buffer{}, "r1", lines), explainer.ErrNoLines)
}
