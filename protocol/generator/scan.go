package generator

import (
	"bytes"
	"strconv"
	"unicode/utf8"

	"monsoonspar.example/coordination/sequencer"
)

// maxIndexDigits is the most digits that a token index may have to be scanned
// without a check for overflow.
const maxIndexDigits = 9

// scanToken decodes a token that has exactly the form given in PROTOCOLS.md,
// without a finish reason, usage, spaces or escapes. It reports false for any
// other data, about which encoding/json decides. The attempt is that of the
// stream where they are equal, so that its name is not copied for each token.
func scanToken(data []byte, attempt sequencer.AttemptID) (sequencer.Token, bool) {
	s := scan{rest: data}
	s.literal(`{"attempt_id":`)
	id := s.plainString()
	s.literal(`,"index":`)
	index := s.number()
	s.literal(`,"choices":[{"index":0,"text":`)
	text := s.plainString()
	s.literal(`,"finish_reason":null}]}`)
	if s.failed || len(s.rest) > 0 {
		return sequencer.Token{}, false
	}
	if string(id) != string(attempt) {
		attempt = sequencer.AttemptID(id)
	}
	return sequencer.Token{Attempt: attempt, Index: index, Text: string(text)}, true
}

// scan takes the parts of a fixed form off the front of data. Once a part does
// not match, it has failed and the later parts are empty.
type scan struct {
	rest   []byte
	failed bool
}

// literal takes exactly want.
func (s *scan) literal(want string) {
	if s.failed || len(s.rest) < len(want) || string(s.rest[:len(want)]) != want {
		s.failed = true
		return
	}
	s.rest = s.rest[len(want):]
}

// plainString takes a string of valid UTF-8 without escapes and returns what is
// between the quotes.
func (s *scan) plainString() []byte {
	s.literal(`"`)
	if s.failed {
		return nil
	}
	n := bytes.IndexByte(s.rest, '"')
	if n < 0 || !isPlain(s.rest[:n]) {
		s.failed = true
		return nil
	}
	text := s.rest[:n]
	s.rest = s.rest[n+1:]
	return text
}

// isPlain reports whether JSON gives b as it is between quotes.
func isPlain(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(b)
}

// number takes an integer that is not negative.
func (s *scan) number() int {
	n := 0
	for n < len(s.rest) && s.rest[n] >= '0' && s.rest[n] <= '9' {
		n++
	}
	if s.failed || n == 0 || n > maxIndexDigits || (n > 1 && s.rest[0] == '0') {
		s.failed = true
		return 0
	}
	v, err := strconv.Atoi(string(s.rest[:n]))
	s.failed = err != nil
	s.rest = s.rest[n:]
	return v
}
