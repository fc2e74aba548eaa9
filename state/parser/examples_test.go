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

// The example manifests have the size of the deployments that they represent,
// and API keys that are derived from the customers' names.
func TestExampleManifests(t *testing.T) {
	tests := []struct {
		file             string
		engines          int
		services         int
		stallTimeLargest bool // Whether stall time has the largest weight.
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
			counts := make(map[cataloger.Kind]int)
			for _, e := range m.Endpoints {
				counts[e.Kind]++
			}
			assert.Equal(t, counts[cataloger.KindEngine], tt.engines)
			assert.Equal(t, counts[cataloger.KindService], tt.services)
			assert.Equal(t, len(m.Domains), 3)
			assert.Equal(t, len(m.Customers), 10)
			w := m.Weights
			assert.Equal(t, w.StallTime > w.Preemptions && w.StallTime > w.TokenGap, tt.stallTimeLargest)
			for _, c := range m.Customers {
				hash := sha256.Sum256([]byte("sample-key-" + c.Name))
				assert.DeepEqual(t, c.KeyHashes, []string{hex.EncodeToString(hash[:])})
			}
		})
	}
}
