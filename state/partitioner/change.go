package partitioner

import (
	"maps"
	"slices"

	"monsoonspar.example/state/parser"
)

// Change is the difference between two manifests: the sections that were added or
// modified, and the titles of those that were removed.
type Change struct {
	Put    []parser.Section
	Remove []string
}

// Size returns the number of bytes in the texts and titles of the change.
func (c Change) Size() int {
	n := 0
	for _, s := range c.Put {
		n += len(s.Title) + len(s.Text)
	}
	for _, title := range c.Remove {
		n += len(title)
	}
	return n
}

// Titles returns the sorted titles of the sections that the change affects.
func (c Change) Titles() []string {
	titles := slices.Clone(c.Remove)
	for _, s := range c.Put {
		titles = append(titles, s.Title)
	}
	slices.Sort(titles)
	return titles
}

// Compare returns the change that turns from into to. Only parts whose digests
// differ are compared by section.
func Compare(from, to Snapshot) Change {
	known := make(map[Digest]bool, len(from.Parts))
	for _, p := range from.Parts {
		known[p.Digest] = true
	}
	shared := make(map[Digest]bool, len(to.Parts))
	after := make(map[string]string)
	for _, p := range to.Parts {
		if known[p.Digest] {
			shared[p.Digest] = true
			continue
		}
		for _, s := range splitSections(p.Text) {
			after[s.Title] = s.Text
		}
	}
	before := make(map[string]string)
	for _, p := range from.Parts {
		if shared[p.Digest] {
			continue
		}
		for _, s := range splitSections(p.Text) {
			before[s.Title] = s.Text
		}
	}
	return compareSections(before, after)
}

// compareSections compares sections by title.
func compareSections(before, after map[string]string) Change {
	var c Change
	for _, title := range slices.Sorted(maps.Keys(after)) {
		if text, ok := before[title]; !ok || text != after[title] {
			c.Put = append(c.Put, parser.Section{Title: title, Text: after[title]})
		}
	}
	for _, title := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[title]; !ok {
			c.Remove = append(c.Remove, title)
		}
	}
	return c
}

// Compose returns the change that has the same effect as c followed by next.
func (c Change) Compose(next Change) Change {
	put := make(map[string]string)
	removed := make(map[string]bool)
	for _, step := range []Change{c, next} {
		for _, s := range step.Put {
			put[s.Title] = s.Text
			delete(removed, s.Title)
		}
		for _, title := range step.Remove {
			delete(put, title)
			removed[title] = true
		}
	}
	joined := Change{Remove: slices.Sorted(maps.Keys(removed))}
	for _, title := range slices.Sorted(maps.Keys(put)) {
		joined.Put = append(joined.Put, parser.Section{Title: title, Text: put[title]})
	}
	return joined
}

// Apply returns s with the change applied.
func (s Snapshot) Apply(c Change) (Snapshot, error) {
	sections := make(map[string]string)
	for _, old := range s.Sections() {
		sections[old.Title] = old.Text
	}
	for _, title := range c.Remove {
		delete(sections, title)
	}
	for _, put := range c.Put {
		sections[put.Title] = put.Text
	}
	list := make([]parser.Section, 0, len(sections))
	for title, text := range sections {
		list = append(list, parser.Section{Title: title, Text: text})
	}
	return Split(list)
}

// Merge is a three-way merge: it returns theirs with the change from base to ours
// applied. The titles of sections that both sides changed to different texts are
// returned as conflicts; then there is no merged manifest.
func Merge(base, ours, theirs Snapshot) (merged Snapshot, conflicts []string, err error) {
	ourChange := Compare(base, ours)
	theirTitles := make(map[string]bool)
	for _, title := range Compare(base, theirs).Titles() {
		theirTitles[title] = true
	}
	differing := make(map[string]bool)
	for _, title := range Compare(ours, theirs).Titles() {
		differing[title] = true
	}
	for _, title := range ourChange.Titles() {
		if theirTitles[title] && differing[title] {
			conflicts = append(conflicts, title)
		}
	}
	if len(conflicts) > 0 {
		return Snapshot{}, conflicts, nil
	}
	merged, err = theirs.Apply(ourChange)
	return merged, nil, err
}
