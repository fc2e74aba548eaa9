package parser

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The short cut for plain lines reads what the library reads.
func TestPlainEntryAgreesWithLibrary(t *testing.T) {
	read := 0
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.StringMatching(`[a-z_-]{1,5}[ \t]{0,2}=[ \t]{0,2}[ -~]{0,12}`).Draw(t, "line")
		if lineProblem([]byte(line)) != "" || line[len(line)-1] == ' ' || line[len(line)-1] == '\t' {
			return // scan trims lines.
		}
		plain, ok := readPlainEntry([]byte(line))
		if !ok {
			return
		}
		read++
		full, ok := readAnyEntry([]byte(line))
		assert.Assert(t, ok)
		assert.Equal(t, plain, full)
	})
	assert.Assert(t, read > 0)
}
