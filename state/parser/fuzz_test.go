package parser_test

import (
	"crypto/sha256"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/parser"
)

// largeManifest returns a manifest with that many customers.
func largeManifest(customers int) []byte {
	var b strings.Builder
	b.WriteString("[deployment]\nname = large\nregion = r\n\n[priority normal]\nlevel = 1\n")
	for i := range customers {
		hash := sha256.Sum256(fmt.Append(nil, i))
		fmt.Fprintf(&b, "\n[customer c%d]\nkey_hashes = %x\npriority = normal\nweight = 2\nmax_queued = 100\nmax_running = 20\n", i, hash)
	}
	return []byte(b.String())
}

func BenchmarkParseManifest(b *testing.B) {
	for _, customers := range []int{10, 130, 1300} {
		text := largeManifest(customers)
		b.Run(fmt.Sprint(customers, "-customers"), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				_, err := parser.ParseManifest("large.ini", text)
				assert.NilError(b, err)
			}
		})
	}
}

// addSeeds adds the texts that the tests use.
func addSeeds(f *testing.F) {
	f.Helper()
	for _, file := range []string{
		"testdata/bad/manifest.ini", "testdata/bad/settings.ini", "testdata/bad/bytes.ini",
		"../../examples/registro.ini", "../../examples/registro-daemon.ini",
	} {
		text, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(text)
	}
}

// A valid manifest reads the same from its canonical sections, and these are
// their own canonical form.
func FuzzManifest(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := parser.ParseManifest("fuzz.ini", text)
		if err != nil {
			assert.ErrorIs(t, err, parser.ErrInvalid)
			return
		}
		sections, err := parser.Sections("fuzz.ini", text)
		assert.NilError(t, err)
		canonical := join(sections)
		again, err := parser.ParseManifest("canonical.ini", []byte(canonical))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, m)
		sections, err = parser.Sections("canonical.ini", []byte(canonical))
		assert.NilError(t, err)
		assert.Equal(t, join(sections), canonical)
	})
}

func FuzzSettings(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := parser.ParseSettings("fuzz.ini", text)
		if err != nil {
			assert.ErrorIs(t, err, parser.ErrInvalid)
		}
	})
}

func join(sections []parser.Section) string {
	var b strings.Builder
	for _, s := range sections {
		b.WriteString(s.Text)
	}
	return b.String()
}
