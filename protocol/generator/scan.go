package generator

import (
	"bytes"
	"strconv"
	"unicode/utf8"

	"monsoonspar.example/coordination/sequencer"
)

// maxIndexDigits is the maximum number of digits of a scanned token index. An
// index of 9 digits can't overflow an int of 32 bits.
const maxIndexDigits = 9

// scanToken decodes a token that has exactly the form given in docs/PROTOCOLS.md,
// without a finish reason, usage, spaces or escapes. It reports false for any
// other data, which the caller then decodes with encoding/json. If the token
// belongs to attempt, the result shares that string, which saves an allocation
// per token.
func scanToken(data []byte, attempt sequencer.AttemptID) (sequencer.Token, bool) {
	s := tokenScanner{rest: data}
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

// tokenScanner consumes input of a fixed form from the front. After the first
// mismatch, failed is set and later calls return zero values.
type tokenScanner struct {
	rest   []byte
	failed bool
}

// literal consumes want.
func (s *tokenScanner) literal(want string) {
	if s.failed || len(s.rest) < len(want) || string(s.rest[:len(want)]) != want {
		s.failed = true
		return
	}
	s.rest = s.rest[len(want):]
}

// plainString consumes a string literal of valid UTF-8 without escapes and
// returns its contents without the quotes.
func (s *tokenScanner) plainString() []byte {
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

// isPlain reports whether b, as the contents of a JSON string literal, is valid
// and stands for itself. The caller ensures that it holds no quote.
func isPlain(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(b)
}

// number consumes an integer that is not negative.
func (s *tokenScanner) number() int {
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
