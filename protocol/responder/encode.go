package responder

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"monsoonspar.example/coordination/sequencer"

	"github.com/pkg/errors"
)

// chunkEncoder encodes the chunks of one answer. All but the last differ only in
// their text, so that the rest is encoded once. It is not safe for concurrent use.
type chunkEncoder struct {
	a    answer
	head []byte // What precedes the text of a chunk without a finish reason.
	tail []byte // What follows it.
}

// Text in the place of which the text of a chunk goes, and its JSON form.
const (
	markText = "\x00"
	markJSON = `"\u0000"`
)

// newChunkEncoder returns an encoder for the chunks of a.
func newChunkEncoder(a answer) (*chunkEncoder, error) {
	body, err := json.Marshal(a.chunk(sequencer.Token{Text: markText}, nil))
	if err != nil {
		return nil, errors.Wrap(err, "encode chunk")
	}
	at := bytes.LastIndex(body, []byte(markJSON)) // The text comes last of all strings.
	return &chunkEncoder{a: a, head: body[:at], tail: body[at+len(markJSON):]}, nil
}

// appendChunk appends the JSON form of a token to b.
func (e *chunkEncoder) appendChunk(b []byte, t sequencer.Token, u *Usage) ([]byte, error) {
	if t.Finish != "" || u != nil {
		return appendJSON(b, e.a.chunk(t, u))
	}
	b = append(b, e.head...)
	b, err := appendText(b, t.Text)
	if err != nil {
		return nil, err
	}
	return append(b, e.tail...), nil
}

// appendText appends the JSON form of a string.
func appendText(b []byte, text string) ([]byte, error) {
	if !isPlain(text) {
		return appendJSON(b, text)
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"'), nil
}

// appendJSON appends the JSON form of v.
func appendJSON(b []byte, v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode chunk")
	}
	return append(b, body...), nil
}

// isPlain reports whether encoding/json gives text as it is between quotes.
func isPlain(text string) bool {
	for _, r := range text {
		switch r {
		case '"', '\\', '<', '>', '&', '\u2028', '\u2029', utf8.RuneError:
			return false
		}
		if r < ' ' {
			return false
		}
	}
	return true
}
