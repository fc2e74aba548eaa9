// Package parser reads the two kinds of INI text that monsoonspar knows: the
// manifest of a deployment and the settings of one daemon.
//
// Reading is strict. Unknown sections and keys, wrong types, values out of
// range, duplicates and references to things that no section declares are all
// problems, and one reading reports every problem that it can find.
//
// A value is one line. Lists are separated by commas, durations are written as
// in Go (1.5s, 200ms), and a comment starts with # or ; at the beginning of a
// line or after a space.
package parser

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// MaxBytes is the size of the largest text that is read.
const MaxBytes = 8 << 20

// ErrInvalid is wrapped by every error that this package returns.
var ErrInvalid = errors.New("invalid configuration")

// Problem is one fault of a text. Line counts from 1; Section and Key are empty
// where the fault lies in none.
type Problem struct {
	File    string
	Line    int
	Section string
	Key     string
	Text    string
}

// String returns the problem as "file:line: section.key: what is wrong".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File + ":" + strconv.Itoa(p.Line) + ": ")
	switch {
	case p.Section != "" && p.Key != "":
		b.WriteString(p.Section + "." + p.Key + ": ")
	case p.Section+p.Key != "":
		b.WriteString(p.Section + p.Key + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// ProblemsError holds every problem of a text, in the order of the lines.
type ProblemsError []Problem

// Error returns the problems, one a line.
func (e ProblemsError) Error() string {
	lines := make([]string, len(e))
	for i, p := range e {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (e ProblemsError) Unwrap() error { return ErrInvalid }

// Kind tells what a text configures.
type Kind string

// The kinds of text.
const (
	KindManifest Kind = "manifest"
	KindSettings Kind = "settings"
)

// Detect tells the kind of a text by its sections. A text whose sections belong
// to neither kind, or as many to one as to the other, gives an error.
func Detect(file string, text []byte) (Kind, error) {
	d := scan(file, text)
	var settings, manifest int
	for _, s := range d.sections {
		switch {
		case isSettingsSection(s.kind):
			settings++
		case isManifestSection(s.kind):
			manifest++
		}
	}
	switch {
	case settings > manifest:
		return KindSettings, nil
	case manifest > settings:
		return KindManifest, nil
	}
	d.report(1, "", "", "neither settings nor a manifest: the sections tell no kind")
	return "", d.err()
}

// Check reads text as the kind that Detect finds and returns that kind and the
// problems.
func Check(file string, text []byte) (Kind, error) {
	kind, err := Detect(file, text)
	if err != nil {
		return "", err
	}
	if kind == KindSettings {
		_, err = ParseSettings(file, text)
		return kind, err
	}
	_, err = ParseManifest(file, text)
	return kind, err
}

// document is a text split into sections, with the problems found so far.
type document struct {
	file     string
	sections []*section
	byName   map[string]*section
	problems []Problem
}

// section is one section of a text. The name of [customer alfa] is "alfa" and
// its kind "customer".
type section struct {
	title string
	kind  string
	name  string
	line  int
	keys  []entry
}

// entry is one key with its value.
type entry struct {
	key   string
	value string
	line  int
}

// find returns the entry of a key, or nil.
func (s *section) find(key string) *entry {
	for i := range s.keys {
		if s.keys[i].key == key {
			return &s.keys[i]
		}
	}
	return nil
}

// report adds a problem.
func (d *document) report(line int, title, key, text string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Section: title, Key: key, Text: text})
}

// reportKey adds a problem of a key in a section, at the line of the key or, if
// the key is absent, of the section.
func (d *document) reportKey(title, key, text string) {
	line := 1
	if s := d.byName[title]; s != nil {
		line = s.line
		if e := s.find(key); e != nil {
			line = e.line
		}
	}
	d.report(line, title, key, text)
}

// err returns the problems as an error, or nil if there are none.
func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return ProblemsError(d.problems)
}
