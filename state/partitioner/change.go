package partitioner

import (
	"maps"
	"slices"

	"monsoonspar.example/state/parser"
)

// Change is the difference between two manifests: the sections that are new or
// other, and the titles of those that are gone.
type Change struct {
	Put    []parser.Section
	Remove []string
}

// Size returns the bytes of the change's texts and titles.
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

// Titles returns the titles of the sections that the change touches.
func (c Change) Titles() []string {
	titles := slices.Clone(c.Remove)
	for _, s := range c.Put {
		titles = append(titles, s.Title)
	}
	slices.Sort(titles)
	return titles
}

// Compare returns the change that leads from one manifest to another.
func Compare(from, to Snapshot) Change {
	same := make(map[Digest]bool, len(from.Parts))
	for _, p := range from.Parts {
		same[p.Digest] = true
	}
	shared := make(map[Digest]bool, len(to.Parts))
	after := make(map[string]string)
	for _, p := range to.Parts {
		if same[p.Digest] {
			shared[p.Digest] = true
			continue
		}
		for _, s := range sectionsOf(p.Text) {
			after[s.Title] = s.Text
		}
	}
	before := make(map[string]string)
	for _, p := range from.Parts {
		if shared[p.Digest] {
			continue
		}
		for _, s := range sectionsOf(p.Text) {
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

// Join returns the change that has the effect of c followed by next.
func (c Change) Join(next Change) Change {
	put := make(map[string]string)
	gone := make(map[string]bool)
	for _, step := range []Change{c, next} {
		for _, s := range step.Put {
			put[s.Title] = s.Text
			delete(gone, s.Title)
		}
		for _, title := range step.Remove {
			delete(put, title)
			gone[title] = true
		}
	}
	joined := Change{Remove: slices.Sorted(maps.Keys(gone))}
	for _, title := range slices.Sorted(maps.Keys(put)) {
		joined.Put = append(joined.Put, parser.Section{Title: title, Text: put[title]})
	}
	return joined
}

// Apply returns s with the change made.
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

// Merge returns theirs with the change from base to ours made. Sections that
// both sides have changed, and not to the same text, are returned as clashes;
// then there is no merged manifest.
func Merge(base, ours, theirs Snapshot) (merged Snapshot, clashes []string, err error) {
	change := Compare(base, ours)
	other := make(map[string]bool)
	for _, title := range Compare(base, theirs).Titles() {
		other[title] = true
	}
	differ := make(map[string]bool)
	for _, title := range Compare(ours, theirs).Titles() {
		differ[title] = true
	}
	for _, title := range change.Titles() {
		if other[title] && differ[title] {
			clashes = append(clashes, title)
		}
	}
	if len(clashes) > 0 {
		return Snapshot{}, clashes, nil
	}
	merged, err = theirs.Apply(change)
	return merged, nil, err
}
