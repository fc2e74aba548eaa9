package responder

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"

	"monsoonspar.example/coordination/sequencer"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// fixedStream is a Stream of fixed chunks.
type fixedStream struct {
	chunks []Chunk
	end    error
	closed int
}

func (s *fixedStream) Next() (Chunk, error) {
	if len(s.chunks) == 0 {
		return Chunk{}, s.end
	}
	ch := s.chunks[0]
	s.chunks = s.chunks[1:]
	return ch, nil
}

func (s *fixedStream) First() (sequencer.AttemptID, int) { return "a", 0 }

func (s *fixedStream) Close() { s.closed++ }

// tokenChunk returns a chunk with one token.
func tokenChunk(index int, more bool) Chunk {
	return Chunk{Token: sequencer.Token{Attempt: "a", Index: index, Text: "x"}, EventIDSuffix: ".r", MoreBuffered: more}
}

// newFixedEvents returns an eventReader for fixed chunks, and its Stream.
func newFixedEvents(t *testing.T, end error, chunks ...Chunk) (*eventReader, *fixedStream) {
	t.Helper()
	encoder, err := newChunkEncoder(completionMeta{id: "r"})
	assert.NilError(t, err)
	s := &fixedStream{chunks: chunks[1:], end: end}
	return &eventReader{stream: s, pending: &chunks[0], encoder: encoder, checker: sequencer.NewDeliveryChecker(s.First())}, s
}

// writeRecorder records the data of each Write.
type writeRecorder struct{ texts []string }

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.texts = append(w.texts, string(p))
	return len(p), nil
}

func TestBufferedEventsAreWrittenTogether(t *testing.T) {
	e, _ := newFixedEvents(t, io.EOF,
		tokenChunk(0, false), tokenChunk(1, true), tokenChunk(2, false), Chunk{KeepAlive: true}, tokenChunk(3, true))
	var w writeRecorder
	_, err := e.WriteTo(&w)
	assert.NilError(t, err)
	var events []int
	for _, text := range w.texts {
		events = append(events, strings.Count(text, "\n\n"))
	}
	assert.DeepEqual(t, events, []int{1, 2, 1, 2})
	assert.Equal(t, w.texts[2], ": keep-alive\n\n")
	assert.Assert(t, strings.HasSuffix(w.texts[3], "data: [DONE]\n\n"))
}

func TestLongBatchesAreSplit(t *testing.T) {
	var chunks []Chunk
	for i := range 200 {
		chunks = append(chunks, tokenChunk(i, true))
	}
	e, _ := newFixedEvents(t, io.EOF, chunks...)
	var w writeRecorder
	_, err := e.WriteTo(&w)
	assert.NilError(t, err)
	for _, text := range w.texts {
		assert.Assert(t, len(text) < eventBatchBytes+200, len(text))
	}
	assert.Equal(t, strings.Count(strings.Join(w.texts, ""), "id: "), 200)
}

func TestReadAndWriteToAreEquivalent(t *testing.T) {
	for _, end := range []error{io.EOF, errors.New("engine lost")} {
		chunks := []Chunk{tokenChunk(0, true), {KeepAlive: true}, tokenChunk(1, false)}
		e, _ := newFixedEvents(t, end, chunks...)
		var written bytes.Buffer
		_, err := e.WriteTo(&written)
		assert.NilError(t, err)
		e, s := newFixedEvents(t, end, chunks...)
		read, err := io.ReadAll(struct{ io.Reader }{e})
		assert.NilError(t, err)
		assert.Equal(t, string(read), written.String())
		assert.NilError(t, e.Close())
		assert.Equal(t, s.closed, 1)
	}
}

// TestViolationWhileStreamingEndsTheProcess checks that fasthttp does not recover
// an invariant violation. It runs itself in another process, which writes a token
// out of order through fasthttp.
func TestViolationWhileStreamingEndsTheProcess(t *testing.T) {
	const variable = "MONSOONSPAR_TEST_VIOLATE"
	if os.Getenv(variable) != "" {
		e, _ := newFixedEvents(t, io.EOF, tokenChunk(5, false))
		var res fasthttp.Response
		res.SetBodyStream(e, -1)
		_, _ = res.WriteTo(io.Discard)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestViolationWhileStreamingEndsTheProcess$")
	cmd.Env = append(os.Environ(), variable+"=1")
	out, err := cmd.CombinedOutput()
	assert.ErrorContains(t, err, "exit status 2")
	assert.Assert(t, strings.Contains(string(out), "tokens_in_order"), string(out))
}
