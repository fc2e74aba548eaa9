package parser

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The fast path for plain lines must give the same entry as the INI library.
func TestPlainEntryAgreesWithLibrary(t *testing.T) {
	compared := 0
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.StringMatching(`[a-z_-]{1,5}[ \t]{0,2}=[ \t]{0,2}[ -~]{0,12}`).Draw(t, "line")
		if lineProblem([]byte(line)) != "" || line[len(line)-1] == ' ' || line[len(line)-1] == '\t' {
			return // scan trims lines.
		}
		got, ok := readPlainEntry([]byte(line))
		if !ok {
			return
		}
		compared++
		want, ok := readLibraryEntry([]byte(line))
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
	})
	assert.Assert(t, compared > 0)
}
