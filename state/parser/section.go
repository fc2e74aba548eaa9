package parser

import (
	"cmp"
	"slices"
	"strings"
)

// Section is one section of a manifest in canonical form. The text starts with
// the title in brackets, followed by the keys in alphabetical order, one per line
// and without comments, so that equal sections have equal texts.
type Section struct {
	Title string
	Text  string
}

// Sections returns the sections of a valid manifest, sorted by title. The error
// is that of ParseManifest.
func Sections(file string, text []byte) ([]Section, error) {
	if _, err := ParseManifest(file, text); err != nil {
		return nil, err
	}
	d := scan(file, text)
	sections := make([]Section, len(d.sections))
	for i, s := range d.sections {
		sections[i] = Section{Title: s.title, Text: s.canonical()}
	}
	slices.SortFunc(sections, func(a, b Section) int { return cmp.Compare(a.Title, b.Title) })
	return sections, nil
}

// canonical returns the section in canonical form. Values are written without
// quotes, since no value of a valid manifest needs them.
func (s *section) canonical() string {
	keys := slices.Clone(s.keys)
	slices.SortFunc(keys, func(a, b entry) int { return cmp.Compare(a.key, b.key) })
	var b strings.Builder
	b.WriteString("[" + s.title + "]\n")
	for _, e := range keys {
		b.WriteString(strings.TrimRight(e.key+" = "+e.value, " ") + "\n")
	}
	return b.String()
}
