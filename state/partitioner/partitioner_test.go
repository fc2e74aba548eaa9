package partitioner_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
)

func ExampleCompare() {
	before, _ := partitioner.Split([]parser.Section{
		{Title: "domain a", Text: "[domain a]\n"},
		{Title: "domain b", Text: "[domain b]\n"},
	})
	after, _ := partitioner.Split([]parser.Section{
		{Title: "domain a", Text: "[domain a]\nregion = north\n"},
		{Title: "domain c", Text: "[domain c]\n"},
	})
	change := partitioner.Compare(before, after)
	fmt.Println(change.Titles(), change.Remove)
	// Output: [domain a domain b domain c] [domain b]
}

// drawSections draws the sections of a manifest with up to 60 customers.
func drawSections(t *rapid.T, label string) []parser.Section {
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 60), 0, 60, rapid.ID[int]).Draw(t, label)
	sections := make([]parser.Section, len(names))
	for i, n := range names {
		title := fmt.Sprintf("customer c%d", n)
		pad := strings.Repeat("x", rapid.IntRange(0, 900).Draw(t, "pad"))
		sections[i] = parser.Section{Title: title, Text: "[" + title + "]\npad = " + pad + "\n"}
	}
	return sections
}

func TestApplyOfCompareGivesTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var states []partitioner.Snapshot
		for _, label := range []string{"a", "b", "c"} {
			s, err := partitioner.Split(drawSections(t, label))
			assert.NilError(t, err)
			states = append(states, s)
		}
		first := partitioner.Compare(states[0], states[1])
		second := partitioner.Compare(states[1], states[2])
		got, err := states[0].Apply(first)
		assert.NilError(t, err)
		assert.Equal(t, got.Root, states[1].Root)
		got, err = states[0].Apply(first.Compose(second))
		assert.NilError(t, err)
		assert.Equal(t, got.Root, states[2].Root)
	})
}

func TestSplitIgnoresSectionOrder(t *testing.T) {
	text, err := os.ReadFile("../../examples/registro.ini")
	assert.NilError(t, err)
	sections, err := parser.Sections("registro.ini", text)
	assert.NilError(t, err)
	a, err := partitioner.Split(sections)
	assert.NilError(t, err)
	slices.Reverse(sections)
	b, err := partitioner.Split(sections)
	assert.NilError(t, err)
	assert.Equal(t, a.Root, b.Root)
	want, err := parser.ParseManifest("registro.ini", text)
	assert.NilError(t, err)
	got, err := parser.ParseManifest("parts", a.Text())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

func TestAssembleRejectsWrongDigest(t *testing.T) {
	_, err := partitioner.Assemble([]partitioner.Part{{Digest: partitioner.Sum("a"), Text: "b"}})
	assert.ErrorIs(t, err, partitioner.ErrDigest)
}

func TestAssembleRejectsOversizePart(t *testing.T) {
	text := strings.Repeat("x", partitioner.MaxPartBytes+1)
	_, err := partitioner.Assemble([]partitioner.Part{{Digest: partitioner.Sum(text), Text: text}})
	assert.ErrorIs(t, err, partitioner.ErrSize)
}

func TestParseDigest(t *testing.T) {
	d := partitioner.Sum("a")
	got, err := partitioner.ParseDigest(d.String())
	assert.NilError(t, err)
	assert.Equal(t, got, d)
	for _, bad := range []string{"", "ab", strings.Repeat("g", 32)} {
		_, err := partitioner.ParseDigest(bad)
		assert.Assert(t, err != nil, bad)
	}
}
