package main

import (
	"fmt"
	"slices"
	"strings"

	"monsoonspar.example/state/partitioner"
)

// diff returns the differences between two manifests, with one line for each
// changed key and each added or removed section.
func diff(from, to partitioner.Snapshot) string {
	before := make(map[string][]string)
	for _, s := range from.Sections() {
		before[s.Title] = keyLines(s.Text)
	}
	change := partitioner.Compare(from, to)
	var b strings.Builder
	for _, title := range change.Remove {
		fmt.Fprintf(&b, "- [%s]\n", title)
	}
	for _, s := range change.Put {
		old, ok := before[s.Title]
		if !ok {
			fmt.Fprintf(&b, "+ [%s]\n", s.Title)
			continue
		}
		diffKeys(&b, s.Title, old, keyLines(s.Text))
	}
	return b.String()
}

// keyLines returns the lines of a section in canonical form, without the title.
func keyLines(text string) []string {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	return lines[1:]
}

// diffKeys writes the keys that differ between two versions of a section.
func diffKeys(b *strings.Builder, title string, before, after []string) {
	for _, line := range before {
		if !slices.Contains(after, line) {
			fmt.Fprintf(b, "- %s.%s\n", title, line)
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			fmt.Fprintf(b, "+ %s.%s\n", title, line)
		}
	}
}
