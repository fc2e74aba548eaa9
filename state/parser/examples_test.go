package parser_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/parser"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 4)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, err = parser.Check(file, text)
		assert.NilError(t, err)
	}
}

// The samples have the sizes of the deployments that they stand for, and keys
// that follow from the customers' names.
func TestExampleManifests(t *testing.T) {
	tests := []struct {
		file      string
		engines   int
		services  int
		stallHigh bool // Whether the stall time weighs most.
	}{
		{"registro.ini", 12, 3, true},
		{"carpati.ini", 14, 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			text, err := os.ReadFile("../../examples/" + tt.file)
			assert.NilError(t, err)
			m, err := parser.ParseManifest(tt.file, text)
			assert.NilError(t, err)
			count := make(map[cataloger.Kind]int)
			for _, e := range m.Endpoints {
				count[e.Kind]++
			}
			assert.Equal(t, count[cataloger.KindEngine], tt.engines)
			assert.Equal(t, count[cataloger.KindService], tt.services)
			assert.Equal(t, len(m.Domains), 3)
			assert.Equal(t, len(m.Customers), 10)
			w := m.Weights
			assert.Equal(t, w.StallTime > w.Preemptions && w.StallTime > w.TokenGap, tt.stallHigh)
			for _, c := range m.Customers {
				hash := sha256.Sum256([]byte("sample-key-" + c.Name))
				assert.DeepEqual(t, c.KeyHashes, []string{hex.EncodeToString(hash[:])})
			}
		})
	}
}
