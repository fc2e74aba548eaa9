package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
	"monsoonspar.example/standin/marker"
)

const (
	streamsPath        = "/v1/streams/"
	defaultMaxTokens   = 1024 // For requests without max_tokens.
	medianOutputTokens = 60.0 // Median output length of prompts without a length directive.
)

type completionRequest struct {
	Model     string `json:"model"`
	Version   string `json:"version"`
	Adapter   string `json:"adapter"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	AttemptID string `json:"attempt_id"`
}

type chunk struct {
	AttemptID string   `json:"attempt_id"`
	Index     int      `json:"index"`
	Choices   []choice `json:"choices"`
	Usage     *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func (s *Server) serveCompletion(ctx *fasthttp.RequestCtx) {
	var req completionRequest
	if json.Unmarshal(ctx.PostBody(), &req) != nil || !req.Stream || req.AttemptID == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request")
		return
	}
	if s.currentFaults().Silent {
		<-s.ctx.Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if consume(&s.faults.DropCalls) {
		listener.DropResponse(ctx)
		return
	}
	m := Model{Model: req.Model, Version: req.Version, Adapter: req.Adapter}
	seq := s.newSequence(req, m)
	if status, code := s.refusal(seq); status != 0 {
		writeError(ctx, status, code)
		return
	}
	s.scheduler.add(seq)
	s.counts.Started++
	select {
	case s.wake <- struct{}{}:
	default:
	}
	if consume(&s.faults.LoseResponses) {
		listener.DropResponse(ctx)
		return
	}
	s.openStream(ctx, seq, 0, true)
}

// refusal returns the status and error code with which a new sequence is
// refused, or a zero status if it is accepted. The caller holds the lock.
func (s *Server) refusal(seq *sequence) (int, string) {
	switch {
	case s.faults.ShuttingDown:
		s.counts.Refused++
		return fasthttp.StatusServiceUnavailable, "leaving"
	case s.faults.Refuse != "":
		return fasthttp.StatusServiceUnavailable, s.faults.Refuse
	case !s.orders.hasModel(seq.model):
		return fasthttp.StatusServiceUnavailable, "not_loaded"
	case s.scheduler.sequences[seq.attemptID] != nil:
		return fasthttp.StatusConflict, "duplicate_attempt"
	case s.scheduler.roundUpToBlocks(seq.promptTokens+seq.length) > s.cfg.MemoryTokens:
		return fasthttp.StatusServiceUnavailable, "overloaded"
	}
	return 0, ""
}

func (s *Server) newSequence(req completionRequest, m Model) *sequence {
	directives := marker.Parse(req.Prompt)
	limit := req.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	length := directives.Tokens
	if length <= 0 {
		length = sampleLength(req.Prompt)
	}
	return &sequence{
		attemptID:    req.AttemptID,
		model:        m,
		requestID:    directives.ID,
		generation:   marker.Hash(s.bootID + req.AttemptID),
		promptTokens: len(req.Prompt)/bytesPerToken + 1,
		length:       min(length, limit) + s.faults.ExtraTokens,
		truncated:    length > limit,
		crashes:      s.faults.CrashOn != "" && strings.Contains(req.Prompt, s.faults.CrashOn),
		priority:     req.Priority,
		blockHashes:  prefixHashes(m, req.Prompt),
		lastActive:   time.Now(),
	}
}

// sampleLength returns an output length that is log-normal over prompts and
// deterministic for each prompt. It uses the Box-Muller transform.
func sampleLength(prompt string) int {
	h := xxhash.Sum64String(prompt)
	u1 := (float64(h>>40) + 1) / (1<<24 + 1)
	u2 := float64(h&(1<<24-1)) / (1 << 24)
	normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
	return max(1, int(medianOutputTokens*math.Exp(normal)))
}

// serveStream resumes or cancels a stream.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, attemptID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.scheduler.sequences[attemptID]
	if ctx.IsDelete() {
		if seq != nil {
			s.scheduler.cancel(seq)
		}
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	if seq == nil {
		writeError(ctx, fasthttp.StatusNotFound, "unknown_stream")
		return
	}
	s.counts.Resumed++
	s.openStream(ctx, seq, ctx.QueryArgs().GetUintOrZero("offset"), false)
}

// openStream streams the tokens of seq from offset on. The caller holds the
// lock.
func (s *Server) openStream(ctx *fasthttp.RequestCtx, seq *sequence, offset int, initial bool) {
	s.streamsOpened++
	seq.readers++
	w := streamWriter{server: s, sequence: seq, nextIndex: offset, streamNumber: s.streamsOpened, initial: initial}
	ctx.SetContentType("text/event-stream")
	if initial && s.faults.LateRefusals {
		listener.LateRefusal(ctx, "", `{"error":{"code":"overloaded"}}`)
	}
	switch {
	case initial && s.faults.Endless != "":
		listener.Endless(ctx, s.faults.Endless, func(int, time.Duration) { w.close() })
	case initial && s.faults.ResetAtEnd:
		conn := ctx.Conn()
		listener.Unframed(ctx, func(c net.Conn) {
			w.run(bufio.NewWriter(c))
			// A connection that does not linger is reset when it is closed.
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
	case s.faults.Unframed:
		listener.Unframed(ctx, func(c net.Conn) { w.run(bufio.NewWriter(c)) })
	default:
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStreamWriter(w.run)
	}
}

// streamWriter writes the tokens of a sequence to one reader.
type streamWriter struct {
	server       *Server
	sequence     *sequence
	nextIndex    int // Index of the next token to send.
	streamNumber int
	initial      bool // Opened by POST, not resumed by GET.
}

func (w *streamWriter) run(out *bufio.Writer) {
	defer w.close()
	for {
		current := w.snapshot()
		if w.muted() {
			if !w.server.sleep(w.server.cfg.KeepAliveInterval) {
				return
			}
			continue
		}
		if current.cancelled {
			return
		}
		firstUnsent := w.nextIndex
		done := w.writeTokens(out, current.produced)
		if !done && w.shouldCutInEvent() {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: {", w.nextIndex)
			_ = out.Flush() // The stream ends either way.
			return
		}
		if firstUnsent == w.nextIndex && !done {
			_, _ = out.WriteString(": keep-alive\n\n")
		}
		if out.Flush() != nil || done || w.shouldCut() {
			return
		}
		if !w.waitForChange(current.changed) {
			return
		}
	}
}

// sequenceSnapshot is the state of a sequence that a reader uses.
type sequenceSnapshot struct {
	produced  int
	cancelled bool
	changed   <-chan struct{}
}

func (w *streamWriter) snapshot() sequenceSnapshot {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	seq := w.sequence
	return sequenceSnapshot{produced: seq.produced, cancelled: seq.cancelled, changed: seq.changed}
}

func (w *streamWriter) muted() bool {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	if w.streamNumber <= w.server.mutedUpTo {
		return true
	}
	after := w.server.faults.MuteAfter
	return w.initial && after > 0 && w.nextIndex >= after
}

func (w *streamWriter) shouldCut() bool {
	after := w.server.currentFaults().CutAfter
	return w.initial && after > 0 && w.nextIndex >= after
}

func (w *streamWriter) shouldCutInEvent() bool {
	after := w.server.currentFaults().CutInEvent
	return w.initial && after > 0 && w.nextIndex >= after
}

// waitForChange waits until the sequence changes or a keep-alive is due. It
// returns false if the server is closed.
func (w *streamWriter) waitForChange(changed <-chan struct{}) bool {
	t := time.NewTimer(w.server.cfg.KeepAliveInterval)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-w.server.ctx.Done():
		return false
	}
	return true
}

func (w *streamWriter) close() {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	w.sequence.readers--
	w.sequence.lastActive = time.Now()
}

// writeTokens writes the tokens before index produced and reports whether the
// stream is complete.
func (w *streamWriter) writeTokens(out *bufio.Writer, produced int) bool {
	faults := w.server.currentFaults()
	for ; w.nextIndex < produced && !w.shouldCut() && !w.muted(); w.nextIndex++ {
		i := w.nextIndex
		switch {
		case isNth(faults.DuplicateEvery, i):
			w.writeToken(out, i)
			w.writeToken(out, i)
		case isNth(faults.ReorderEvery, i) && i+1 < produced:
			w.writeToken(out, i+1)
			w.writeToken(out, i)
			w.nextIndex++
		case isNth(faults.ForeignEvery, i):
			w.writeForeignToken(out, i)
			w.writeToken(out, i)
		default:
			w.writeToken(out, i)
		}
	}
	if w.nextIndex < w.sequence.length {
		return false
	}
	if w.initial && faults.ResetAtEnd {
		return true
	}
	_, _ = out.WriteString("data: [DONE]\n\n")
	return true
}

func isNth(n, i int) bool { return n > 0 && i%n == n-1 }

func (w *streamWriter) writeToken(out *bufio.Writer, index int) {
	seq := w.sequence
	c := chunk{
		AttemptID: seq.attemptID,
		Index:     index,
		Choices:   []choice{{Text: seq.token(index).String()}},
	}
	if index == seq.length-1 {
		reason := "stop"
		if seq.truncated {
			reason = "length"
		}
		c.Choices[0].FinishReason = &reason
		c.Usage = &usage{PromptTokens: seq.promptTokens, CompletionTokens: seq.length}
	}
	writeChunk(out, c)
}

// writeForeignToken writes a token of an attempt that the reader did not request.
func (w *streamWriter) writeForeignToken(out *bufio.Writer, index int) {
	text := marker.Token{ID: "foreign", Generation: "foreign", Index: index}.String()
	writeChunk(out, chunk{AttemptID: "foreign", Index: index, Choices: []choice{{Text: text}}})
}

func writeChunk(out *bufio.Writer, c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // The type has no field that cannot be encoded.
	}
	// bufio.Writer reports a write error at the next Flush.
	_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", c.Index, data)
}
