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

// largeManifest returns a manifest with the given number of customers.
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

// addSeedCorpus adds the texts of the other tests to the corpus.
func addSeedCorpus(f *testing.F) {
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

// A valid manifest parses to the same value from its canonical sections, and
// canonical sections are unchanged when they are formatted again.
func FuzzManifest(f *testing.F) {
	addSeedCorpus(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := parser.ParseManifest("fuzz.ini", text)
		if err != nil {
			assert.ErrorIs(t, err, parser.ErrInvalid)
			return
		}
		sections, err := parser.Sections("fuzz.ini", text)
		assert.NilError(t, err)
		canonical := joinSections(sections)
		reparsed, err := parser.ParseManifest("canonical.ini", []byte(canonical))
		assert.NilError(t, err)
		assert.DeepEqual(t, reparsed, m)
		sections, err = parser.Sections("canonical.ini", []byte(canonical))
		assert.NilError(t, err)
		assert.Equal(t, joinSections(sections), canonical)
	})
}

func FuzzSettings(f *testing.F) {
	addSeedCorpus(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := parser.ParseSettings("fuzz.ini", text)
		if err != nil {
			assert.ErrorIs(t, err, parser.ErrInvalid)
		}
	})
}

func joinSections(sections []parser.Section) string {
	var b strings.Builder
	for _, s := range sections {
		b.WriteString(s.Text)
	}
	return b.String()
}
