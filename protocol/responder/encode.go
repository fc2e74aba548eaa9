package responder

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"monsoonspar.example/coordination/sequencer"

	"github.com/pkg/errors"
)

// chunkEncoder encodes the chunks of one completion. All but the last differ only
// in their text, so the rest is encoded once. It is not safe for concurrent use.
type chunkEncoder struct {
	meta completionMeta
	head []byte // JSON before the text of a chunk without a finish reason.
	tail []byte // JSON after it.
}

// Placeholder for the text of a chunk, and its JSON form.
const (
	placeholderText = "\x00"
	placeholderJSON = `"\u0000"`
)

// newChunkEncoder returns an encoder for the chunks of a completion.
func newChunkEncoder(meta completionMeta) (*chunkEncoder, error) {
	body, err := json.Marshal(meta.chunkBody(sequencer.Token{Text: placeholderText}, nil))
	if err != nil {
		return nil, errors.Wrap(err, "encode chunk")
	}
	position := bytes.LastIndex(body, []byte(placeholderJSON)) // No string follows the text, so the last match is the placeholder.
	return &chunkEncoder{meta: meta, head: body[:position], tail: body[position+len(placeholderJSON):]}, nil
}

// appendChunk appends the chunk for a token to b.
func (e *chunkEncoder) appendChunk(b []byte, t sequencer.Token, u *Usage) ([]byte, error) {
	if t.Finish != "" || u != nil {
		return appendJSON(b, e.meta.chunkBody(t, u))
	}
	b = append(b, e.head...)
	b, err := appendText(b, t.Text)
	if err != nil {
		return nil, err
	}
	return append(b, e.tail...), nil
}

// appendText appends text to b as a JSON string.
func appendText(b []byte, text string) ([]byte, error) {
	if !isPlain(text) {
		return appendJSON(b, text)
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"'), nil
}

// appendJSON appends the JSON encoding of v to b.
func appendJSON(b []byte, v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode chunk")
	}
	return append(b, body...), nil
}

// isPlain reports whether encoding/json writes text without escapes or
// replacements.
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
