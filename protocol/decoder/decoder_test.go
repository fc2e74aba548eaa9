package decoder_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/decoder"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/standin/malformer"
)

func ExampleReadHead() {
	for _, text := range []string{"HTTP/1.1 200 \r\nX-A: 1\r\n\r\n", "HTTP/1.1 200 \r\nX A: 1\r\n\r\n"} {
		head, err := decoder.ReadHead(bufio.NewReader(strings.NewReader(text)), "GET")
		fmt.Println(head.Status, head.Fields, err)
	}
	// Output:
	// 200 [{X-A 1}] <nil>
	// 0 [] malformed response: field_name "X A: 1"
}

// read reads the response to a GET to its end.
func read(text []byte) (decoder.Head, []byte, error) {
	r := bufio.NewReader(bytes.NewReader(text))
	head, err := decoder.ReadHead(r, "GET")
	if err != nil {
		return decoder.Head{}, nil, err
	}
	stream := head.Body(r)
	if stream == nil {
		return head, nil, nil
	}
	body, err := io.ReadAll(stream)
	return head, body, err
}

// Guards against responses that a lenient reader repairs or takes for others.
func TestMalformedResponsesAreRefused(t *testing.T) {
	for _, c := range append(malformer.MalformedHeads(), malformer.MalformedBodies()...) {
		t.Run(c.Name, func(t *testing.T) {
			_, _, err := read([]byte(c.Text("X-B: 1\r\n")))
			assert.ErrorIs(t, err, decoder.ErrMalformed)
			assert.Equal(t, string(decoder.FormOf(errors.Wrap(err, "read"))), c.Form, "%v", err)
		})
	}
}

// Guards against rare responses that are refused although they break no rule.
func TestSoundResponsesAreRead(t *testing.T) {
	for _, c := range malformer.Sound() {
		t.Run(c.Name, func(t *testing.T) {
			head, body, err := read([]byte(c.Text("X-B: 1\r\n")))
			assert.NilError(t, err)
			assert.Equal(t, string(body), malformer.Body)
			assert.Assert(t, slices.Contains(head.Fields, requester.Header{Name: "X-B", Value: "1"}))
		})
	}
}

// Guards against a response that breaks off and counts as whole, or as malformed, which says more than is known.
func TestTruncatedResponsesAreNoWholeOnes(t *testing.T) {
	for _, c := range malformer.Sound() {
		text := c.Text("X-B: 1\r\n")
		for n := range len(text) {
			_, _, err := read([]byte(text[:n]))
			want := io.ErrUnexpectedEOF
			if n == 0 {
				want = io.EOF
			}
			if n > 0 && !strings.HasPrefix(text[:n], "HTTP/1.1 1") || n == 0 {
				assert.ErrorIs(t, err, want, "%q", text[:n])
			}
			assert.Assert(t, err != nil && !errors.Is(err, decoder.ErrMalformed), "%q: %v", text[:n], err)
		}
	}
}

// Guards against a body that is looked for where a response has none.
func TestResponsesWithoutBody(t *testing.T) {
	for method, texts := range map[string][]string{
		"GET":  {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"HEAD": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"},
	} {
		for _, text := range texts {
			r := bufio.NewReader(strings.NewReader(text + "rest"))
			head, err := decoder.ReadHead(r, method)
			assert.NilError(t, err)
			assert.Assert(t, head.Body(r) == nil, "%q", text)
			rest, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Equal(t, string(rest), "rest")
		}
	}
}

func TestClose(t *testing.T) {
	for text, closes := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                  false,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: x , Close\r\n\r\n":         true,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: closed\r\n\r\n":            false,
		"HTTP/1.1 200 OK\r\n\r\n":                                                       true,
		"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n":                                  true,
		"HTTP/1.0 200 OK\r\nContent-Length: 0\r\nConnection: keep-alive\r\n\r\n":        false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                false,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close, keep-alive\r\n\r\n": true,
	} {
		head, _, err := read([]byte(text))
		assert.NilError(t, err)
		assert.Equal(t, head.Close, closes, "%q", text)
	}
}

// The grammar of RFC 9112 and RFC 9110, as regular expressions over bytes that are widened to runes.
const (
	token     = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	text      = `[\t\x20-\x7e\x{80}-\x{ff}]*`
	fieldLine = token + ":" + text + "\r\n"
	extension = `(?:[ \t]*;[ \t]*` + token + `(?:[ \t]*=[ \t]*(?:` + token + `|"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x{80}-\x{ff}]|\\[\t\x20-\x7e\x{80}-\x{ff}])*"))?)*`
)

var (
	headGrammar  = regexp.MustCompile("^HTTP/1[.]([0-9]) ([1-9][0-9][0-9])(?: " + text + ")?\r\n((?:" + fieldLine + ")*)\r\n")
	fieldGrammar = regexp.MustCompile("(" + token + "):[ \t]*(" + text + ")\r\n")
	chunkGrammar = regexp.MustCompile("^0*([0-9A-Fa-f]{1,15})" + extension + "\r\n")
	endGrammar   = regexp.MustCompile("^((?:" + fieldLine + ")*)\r\n")
)

// reference is a reader of responses that shares nothing with the one that is tested.
type reference struct {
	status int
	fields []requester.Header
	body   []byte
}

// widen returns bytes as runes, and narrow the reverse.
func widen(p []byte) string {
	runes := make([]rune, len(p))
	for i, c := range p {
		runes[i] = rune(c)
	}
	return string(runes)
}

func narrow(s string) []byte {
	var p []byte
	for _, c := range s {
		p = append(p, byte(c))
	}
	return p
}

// fieldsOf returns the fields of lines that match the grammar.
func fieldsOf(lines string) []requester.Header {
	var fields []requester.Header
	for _, m := range fieldGrammar.FindAllStringSubmatch(lines, -1) {
		fields = append(fields, requester.Header{Name: m[1], Value: string(narrow(strings.TrimRight(m[2], " \t")))})
	}
	return fields
}

// parse returns the response to a GET that is the whole of p, and false if p is none.
func parse(p []byte) (reference, bool) {
	rest := widen(p)
	for {
		m := headGrammar.FindStringSubmatch(rest)
		if m == nil {
			return reference{}, false
		}
		var r reference
		r.status, _ = strconv.Atoi(m[2])
		r.fields = fieldsOf(m[3])
		body, ok := r.frame(rest[len(m[0]):], m[1])
		if !ok || r.status == 101 {
			return reference{}, false
		}
		if r.status >= 200 {
			r.body = narrow(body)
			return r, true
		}
		rest = rest[len(m[0]):]
	}
}

// frame returns the body in what follows the head.
func (r *reference) frame(rest, minor string) (string, bool) {
	var lengths, encodings []string
	for _, f := range r.fields {
		switch strings.ToLower(f.Name) {
		case "content-length":
			lengths = append(lengths, f.Value)
		case "transfer-encoding":
			encodings = append(encodings, strings.ToLower(f.Value))
		}
	}
	length, err := strconv.ParseInt(strings.Join(lengths, ","), 10, 64)
	if len(lengths) > 0 && (err != nil || strings.ContainsAny(lengths[0], "+-") || len(encodings) > 0) {
		return "", false
	}
	if len(encodings) > 0 && (len(encodings) > 1 || encodings[0] != "chunked" || minor == "0") {
		return "", false
	}
	switch {
	case r.status < 200 || r.status == 204 || r.status == 304:
		return "", true
	case len(lengths) > 0:
		runes := []rune(rest)
		if int64(len(runes)) < length {
			return "", false
		}
		return string(runes[:length]), true
	case len(encodings) > 0:
		return unchunk(rest)
	}
	return rest, true
}

// unchunk returns the data of chunks.
func unchunk(rest string) (string, bool) {
	var body strings.Builder
	for {
		m := chunkGrammar.FindStringSubmatch(rest)
		if m == nil {
			return "", false
		}
		size, _ := strconv.ParseInt(m[1], 16, 64)
		rest = rest[len(m[0]):]
		if size == 0 {
			end := endGrammar.FindStringSubmatch(rest)
			if end == nil {
				return "", false
			}
			for _, f := range fieldsOf(end[1]) {
				if slices.Contains([]string{"content-length", "transfer-encoding", "trailer"}, strings.ToLower(f.Name)) {
					return "", false
				}
			}
			return body.String(), true
		}
		runes := []rune(rest)
		if int64(len(runes)) < size+2 || string(runes[size:size+2]) != "\r\n" {
			return "", false
		}
		body.WriteString(string(runes[:size]))
		rest = string(runes[size+2:])
	}
}

// Holds that exactly what the grammar permits is read, as what it says.
func FuzzResponses(f *testing.F) {
	for _, c := range slices.Concat(malformer.MalformedHeads(), malformer.MalformedBodies(), malformer.Sound()) {
		f.Add([]byte(c.Text("X-B: 1\r\n")))
	}
	f.Add([]byte("HTTP/1.1 204 \r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 \r\nConnection: close\r\n\r\nrest"))
	f.Fuzz(func(t *testing.T, p []byte) {
		if len(p) > 2000 { // Below the limits of sizes.
			return
		}
		want, sound := parse(p)
		head, body, err := read(p)
		if sound != (err == nil) {
			t.Fatalf("%q: sound %v, read with %v", p, sound, err)
		}
		if !sound {
			return
		}
		if head.Status != want.status || !slices.Equal(head.Fields, want.fields) || !bytes.Equal(body, want.body) {
			t.Fatalf("%q: read %d %q %q, want %d %q %q", p, head.Status, head.Fields, body, want.status, want.fields, want.body)
		}
	})
}
