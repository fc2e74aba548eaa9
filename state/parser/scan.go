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

// maxLineBytes bounds the length of a line.
const maxLineBytes = 64 << 10

// lineOptions make the INI library parse a single line in the syntax of this
// package.
var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	ReaderBufferSize:         256,
}

// scan splits text into sections. Each line is parsed by itself, so that every
// syntax error is found and reported with its line.
func scan(file string, text []byte) *document {
	d := &document{file: file, byTitle: make(map[string]*section)}
	if len(text) > MaxBytes {
		d.addProblem(1, "", "", fmt.Sprintf("the text has %d bytes, more than %d", len(text), MaxBytes))
		return d
	}
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	var current *section
	lineNumber := 0
	for raw := range bytes.Lines(text) {
		lineNumber++
		line := bytes.TrimSpace(raw)
		if problem := lineProblem(line); problem != "" {
			d.addProblem(lineNumber, "", "", problem)
			continue
		}
		switch {
		case len(line) == 0, line[0] == '#', line[0] == ';':
		case line[0] == '[':
			current = d.addSection(lineNumber, line)
		default:
			d.addEntry(current, lineNumber, line)
		}
	}
	return d
}

// lineProblem describes why a line cannot be parsed, or returns "".
func lineProblem(line []byte) string {
	if len(line) > maxLineBytes {
		return fmt.Sprintf("the line has %d bytes, more than %d", len(line), maxLineBytes)
	}
	if !utf8.Valid(line) {
		return "the line is not UTF-8"
	}
	if bytes.ContainsFunc(line, func(r rune) bool { return unicode.IsControl(r) && r != '\t' }) {
		return "the line contains a control character"
	}
	return ""
}

// addSection parses a line such as [customer alfa]. The keys of a duplicate
// section are still parsed, so that their problems are found, but the section is
// not added to the document.
func (d *document) addSection(lineNumber int, line []byte) *section {
	title, ok := sectionTitle(line)
	if !ok {
		d.addProblem(lineNumber, "", "", "a section must be written as [kind] or [kind name]")
		return &section{line: lineNumber}
	}
	kind, name, _ := strings.Cut(title, " ")
	s := &section{title: title, kind: kind, name: strings.TrimSpace(name), line: lineNumber}
	if first := d.byTitle[title]; first != nil {
		d.addProblem(lineNumber, title, "", "duplicate section (first declared at line "+strconv.Itoa(first.line)+")")
		return s
	}
	d.byTitle[title] = s
	d.sections = append(d.sections, s)
	return s
}

// sectionTitle returns the text between the brackets, with runs of white space
// replaced by single spaces.
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

// addEntry parses a line such as key = value and adds it to s.
func (d *document) addEntry(s *section, lineNumber int, line []byte) {
	title := ""
	if s != nil {
		title = s.title
	}
	e, ok := readEntry(line)
	e.line = lineNumber
	if !ok {
		d.addProblem(lineNumber, title, "", "the line is not of the form key = value")
		return
	}
	if s == nil {
		d.addProblem(lineNumber, "", e.key, "the key precedes the first section")
		return
	}
	if first := s.find(e.key); first != nil {
		d.addProblem(lineNumber, title, e.key, "duplicate key (first set at line "+strconv.Itoa(first.line)+")")
		return
	}
	s.keys = append(s.keys, e)
}

// readEntry parses a line such as key = value.
func readEntry(line []byte) (entry, bool) {
	if e, ok := readPlainEntry(line); ok {
		return e, true
	}
	return readLibraryEntry(line)
}

// readPlainEntry parses a line without quotes, escapes and comments with the
// same result as the INI library, at a fraction of the cost.
func readPlainEntry(line []byte) (entry, bool) {
	key, value, ok := bytes.Cut(line, []byte("="))
	key, value = bytes.TrimSpace(key), bytes.TrimSpace(value)
	if !ok || !isPlainKey(key) || !isPlain(value) {
		return entry{}, false
	}
	return entry{key: string(key), value: string(value)}, true
}

// readLibraryEntry parses a line with the INI library.
func readLibraryEntry(line []byte) (entry, bool) {
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

// isPlain reports whether text contains no INI syntax characters.
func isPlain(text []byte) bool {
	return !bytes.ContainsAny(text, "\"'`#;\\[]")
}

// isPlainKey reports whether key consists of lower-case letters and underscores.
func isPlainKey(key []byte) bool {
	for _, b := range key {
		if (b < 'a' || b > 'z') && b != '_' {
			return false
		}
	}
	return len(key) > 0
}
