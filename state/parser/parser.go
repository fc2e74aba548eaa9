// Package parser parses the two kinds of INI text that monsoonspar uses: the
// manifest of a deployment and the settings of one daemon.
//
// Parsing is strict. Unknown sections and keys, wrong types, values out of
// range, duplicates and references to undeclared sections are all problems, and
// one pass reports every problem that it can find.
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

// MaxBytes bounds the size of a text.
const MaxBytes = 8 << 20

// ErrInvalid is wrapped by every error that this package returns.
var ErrInvalid = errors.New("invalid configuration")

// Problem is one problem in a text. Line counts from 1; Section and Key are empty
// if the problem concerns none.
type Problem struct {
	File    string
	Line    int
	Section string
	Key     string
	Text    string
}

// String returns the problem as "file:line: section.key: description".
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

// ProblemsError holds every problem of a text, sorted by line.
type ProblemsError []Problem

// Error returns the problems, one per line.
func (e ProblemsError) Error() string {
	lines := make([]string, len(e))
	for i, p := range e {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (e ProblemsError) Unwrap() error { return ErrInvalid }

// Kind is the kind of a text.
type Kind string

// The kinds of text.
const (
	KindManifest Kind = "manifest"
	KindSettings Kind = "settings"
)

// Detect determines the kind of a text from its sections. It returns an error if
// the sections belong to neither kind, or equally many to each.
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
	d.addProblem(1, "", "", "neither settings nor a manifest: the sections do not determine the kind")
	return "", d.err()
}

// Check parses text as the kind that Detect determines and returns that kind and
// the problems.
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
	byTitle  map[string]*section
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

// find returns the entry of a key, or nil if there is none.
func (s *section) find(key string) *entry {
	for i := range s.keys {
		if s.keys[i].key == key {
			return &s.keys[i]
		}
	}
	return nil
}

// addProblem records a problem.
func (d *document) addProblem(line int, title, key, text string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Section: title, Key: key, Text: text})
}

// addKeyProblem records a problem with a key of a section, at the line of the key
// or, if the key is absent, of the section.
func (d *document) addKeyProblem(title, key, text string) {
	line := 1
	if s := d.byTitle[title]; s != nil {
		line = s.line
		if e := s.find(key); e != nil {
			line = e.line
		}
	}
	d.addProblem(line, title, key, text)
}

// err returns the problems as an error, or nil if there are none.
func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return ProblemsError(d.problems)
}
