package parser

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxLineBytes is the length of the longest line that is read.
const maxLineBytes = 64 << 10

// lineOptions make the library read one line as this package defines it.
var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	ReaderBufferSize:         256,
}

// scan splits text into sections. Each line goes through the library by itself,
// so that every syntax error is found and has its line.
func scan(file string, text []byte) *document {
	d := &document{file: file, byName: make(map[string]*section)}
	if len(text) > MaxBytes {
		d.report(1, "", "", fmt.Sprintf("the text has %d bytes, more than %d", len(text), MaxBytes))
		return d
	}
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	var current *section
	n := 0
	for raw := range bytes.Lines(text) {
		n++
		line := bytes.TrimSpace(raw)
		if problem := lineProblem(line); problem != "" {
			d.report(n, "", "", problem)
			continue
		}
		switch {
		case len(line) == 0, line[0] == '#', line[0] == ';':
		case line[0] == '[':
			current = d.addSection(n, line)
		default:
			d.addEntry(current, n, line)
		}
	}
	return d
}

// lineProblem returns what makes a line unreadable, or "".
func lineProblem(line []byte) string {
	if len(line) > maxLineBytes {
		return fmt.Sprintf("the line has %d bytes, more than %d", len(line), maxLineBytes)
	}
	if !utf8.Valid(line) {
		return "the line is not UTF-8"
	}
	if bytes.ContainsFunc(line, func(r rune) bool { return unicode.IsControl(r) && r != '\t' }) {
		return "the line holds a control character"
	}
	return ""
}

// addSection reads a line such as [customer alfa]. The keys of a duplicate are
// read, to find their problems, but belong to no declared section.
func (d *document) addSection(n int, line []byte) *section {
	title, ok := sectionTitle(line)
	if !ok {
		d.report(n, "", "", "a section is written as [kind] or [kind name]")
		return &section{line: n}
	}
	kind, name, _ := strings.Cut(title, " ")
	s := &section{title: title, kind: kind, name: strings.TrimSpace(name), line: n}
	if first := d.byName[title]; first != nil {
		d.report(n, title, "", "the section is declared at line "+strconv.Itoa(first.line)+" already")
		return s
	}
	d.byName[title] = s
	d.sections = append(d.sections, s)
	return s
}

// sectionTitle returns the text between the brackets with single spaces.
func sectionTitle(line []byte) (string, bool) {
	end := bytes.IndexByte(line, ']')
	if end < 0 {
		return "", false
	}
	rest := bytes.TrimSpace(line[end+1:])
	if len(rest) > 0 && rest[0] != '#' && rest[0] != ';' {
		return "", false
	}
	if inner := line[1:end]; isPlain(inner) {
		title := strings.Join(strings.Fields(string(inner)), " ")
		return title, title != ""
	}
	f, err := ini.LoadSources(lineOptions, line[:end+1])
	if err != nil {
		return "", false
	}
	for _, title := range f.SectionStrings() {
		if title == ini.DefaultSection {
			continue
		}
		title = strings.Join(strings.Fields(title), " ")
		return title, title != ""
	}
	return "", false
}

// addEntry reads a line such as key = value into s.
func (d *document) addEntry(s *section, n int, line []byte) {
	title := ""
	if s != nil {
		title = s.title
	}
	e, ok := readEntry(line)
	e.line = n
	if !ok {
		d.report(n, title, "", "the line is not written as key = value")
		return
	}
	if s == nil {
		d.report(n, "", e.key, "the key stands before the first section")
		return
	}
	if first := s.find(e.key); first != nil {
		d.report(n, title, e.key, "the key is set at line "+strconv.Itoa(first.line)+" already")
		return
	}
	s.keys = append(s.keys, e)
}

// readEntry reads a line such as key = value.
func readEntry(line []byte) (entry, bool) {
	if e, ok := readPlainEntry(line); ok {
		return e, true
	}
	return readAnyEntry(line)
}

// readPlainEntry reads a line without quotes, escapes and comments as the
// library would, at a small part of the cost.
func readPlainEntry(line []byte) (entry, bool) {
	key, value, ok := bytes.Cut(line, []byte("="))
	key, value = bytes.TrimSpace(key), bytes.TrimSpace(value)
	if !ok || !isPlainKey(key) || !isPlain(value) {
		return entry{}, false
	}
	return entry{key: string(key), value: string(value)}, true
}

// readAnyEntry reads a line through the library.
func readAnyEntry(line []byte) (entry, bool) {
	f, err := ini.LoadSources(lineOptions, line)
	if err != nil {
		return entry{}, false
	}
	keys := f.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 {
		return entry{}, false
	}
	return entry{key: keys[0].Name(), value: keys[0].Value()}, true
}

// isPlain reports whether text holds nothing that has a meaning in INI.
func isPlain(text []byte) bool {
	return !bytes.ContainsAny(text, "\"'`#;\\[]")
}

// isPlainKey reports whether key is made of lower-case letters and underscores.
func isPlainKey(key []byte) bool {
	for _, b := range key {
		if (b < 'a' || b > 'z') && b != '_' {
			return false
		}
	}
	return len(key) > 0
}
