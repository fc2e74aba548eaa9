package responder

import (
	"encoding/json"
	"testing"

	"monsoonspar.example/coordination/sequencer"

	"gotest.tools/v3/assert"
)

// chunkTexts are texts with and without what JSON escapes.
var chunkTexts = []string{
	"", " word", "perché", "日本", "\"quoted\" \\ back", "<b>&amp;</b>", "line\n\ttab", "\x00", "\x7f",
	"\u2028\u2029", "\ufffd", "cut \xe2\x80", "\xff",
}

// assertEncodedAsMarshalled fails unless a chunk has the form that
// encoding/json gives it.
func assertEncodedAsMarshalled(t *testing.T, a answer, tok sequencer.Token, u *Usage) {
	t.Helper()
	e, err := newChunkEncoder(a)
	assert.NilError(t, err)
	got, err := e.appendChunk([]byte("data: "), tok, u)
	assert.NilError(t, err)
	want, err := json.Marshal(a.chunk(tok, u))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "data: "+string(want))
}

func TestChunksAreEncodedAsMarshalled(t *testing.T) {
	answers := []answer{
		{id: "r1", model: "redazione", created: 1},
		{id: "r1", model: "redazione", created: 1, chat: true},
		{id: "\x00", model: "\x00"},
		{id: `"`},
	}
	for _, a := range answers {
		for _, text := range chunkTexts {
			assertEncodedAsMarshalled(t, a, sequencer.Token{Text: text}, nil)
			assertEncodedAsMarshalled(t, a, sequencer.Token{Text: text, Finish: "stop"}, &Usage{PromptTokens: 1})
			assertEncodedAsMarshalled(t, a, sequencer.Token{Text: text}, &Usage{TotalTokens: 2})
		}
	}
}

// FuzzChunkEncoder looks for chunks that encoding/json would write otherwise.
func FuzzChunkEncoder(f *testing.F) {
	for _, text := range chunkTexts {
		f.Add("r1", "redazione", false, text, "")
		f.Add(text, text, true, text, "stop")
	}
	f.Fuzz(func(t *testing.T, id, model string, chat bool, text, finish string) {
		assertEncodedAsMarshalled(t, answer{id: id, model: model, chat: chat}, sequencer.Token{Text: text, Finish: finish}, nil)
	})
}

func BenchmarkEncode(b *testing.B) {
	a := answer{id: "r1", model: "redazione", created: 1}
	tok := sequencer.Token{Text: " word"}
	b.Run("appended", func(b *testing.B) {
		e, err := newChunkEncoder(a)
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
			_, err := json.Marshal(a.chunk(tok, nil))
			assert.NilError(b, err)
		}
	})
}
