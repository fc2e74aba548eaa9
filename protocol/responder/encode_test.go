package responder

import (
	"encoding/json"
	"testing"

	"monsoonspar.example/coordination/sequencer"

	"gotest.tools/v3/assert"
)

// chunkTexts holds texts with and without characters that JSON escapes.
var chunkTexts = []string{
	"", " word", "perché", "日本", "\"quoted\" \\ back", "<b>&amp;</b>", "line\n\ttab", "\x00", "\x7f",
	"\u2028\u2029", "\ufffd", "cut \xe2\x80", "\xff",
}

// assertMatchesMarshal fails unless appendChunk and encoding/json encode a chunk
// alike.
func assertMatchesMarshal(t *testing.T, meta completionMeta, tok sequencer.Token, u *Usage) {
	t.Helper()
	e, err := newChunkEncoder(meta)
	assert.NilError(t, err)
	got, err := e.appendChunk([]byte("data: "), tok, u)
	assert.NilError(t, err)
	want, err := json.Marshal(meta.chunkBody(tok, u))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "data: "+string(want))
}

func TestChunkEncoderMatchesMarshal(t *testing.T) {
	metas := []completionMeta{
		{id: "r1", model: "redazione", created: 1},
		{id: "r1", model: "redazione", created: 1, chat: true},
		{id: "\x00", model: "\x00"},
		{id: `"`},
	}
	for _, meta := range metas {
		for _, text := range chunkTexts {
			assertMatchesMarshal(t, meta, sequencer.Token{Text: text}, nil)
			assertMatchesMarshal(t, meta, sequencer.Token{Text: text, Finish: "stop"}, &Usage{PromptTokens: 1})
			assertMatchesMarshal(t, meta, sequencer.Token{Text: text}, &Usage{TotalTokens: 2})
		}
	}
}

// FuzzChunkEncoder searches for chunks that encoding/json encodes differently.
func FuzzChunkEncoder(f *testing.F) {
	for _, text := range chunkTexts {
		f.Add("r1", "redazione", false, text, "")
		f.Add(text, text, true, text, "stop")
	}
	f.Fuzz(func(t *testing.T, id, model string, chat bool, text, finish string) {
		assertMatchesMarshal(t, completionMeta{id: id, model: model, chat: chat}, sequencer.Token{Text: text, Finish: finish}, nil)
	})
}

func BenchmarkEncode(b *testing.B) {
	meta := completionMeta{id: "r1", model: "redazione", created: 1}
	tok := sequencer.Token{Text: " word"}
	b.Run("appended", func(b *testing.B) {
		e, err := newChunkEncoder(meta)
		assert.NilError(b, err)
		var buf []byte
		b.ReportAllocs()
		for b.Loop() {
			buf, err = e.appendChunk(buf[:0], tok, nil)
			assert.NilError(b, err)
		}
	})
	b.Run("json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := json.Marshal(meta.chunkBody(tok, nil))
			assert.NilError(b, err)
		}
	})
}
