package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
	"monsoonspar.example/standin/marker"
)

const (
	streamsPath      = "/v1/streams/"
	defaultMaxTokens = 1024
	typicalTokens    = 60.0 // Median output of a prompt without a mark.
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
	if s.current().Silent {
		<-s.ctx.Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if take(&s.faults.DropCalls) {
		listener.DropAnswer(ctx)
		return
	}
	m := Model{Model: req.Model, Version: req.Version, Adapter: req.Adapter}
	q := s.newSequence(req, m)
	if status, code := s.refusal(q); status != 0 {
		writeError(ctx, status, code)
		return
	}
	s.scheduler.add(q)
	s.counts.Started++
	select {
	case s.wake <- struct{}{}:
	default:
	}
	if take(&s.faults.LoseAnswers) {
		listener.DropAnswer(ctx)
		return
	}
	s.openStream(ctx, q, 0, true)
}

// refusal returns the status and code with which a new sequence is refused, a
// status of zero if it is not. The caller holds the lock.
func (s *Server) refusal(q *sequence) (int, string) {
	switch {
	case s.faults.Leaving:
		s.counts.Refused++
		return fasthttp.StatusServiceUnavailable, "leaving"
	case s.faults.Refuse != "":
		return fasthttp.StatusServiceUnavailable, s.faults.Refuse
	case !s.orders.holds(q.model):
		return fasthttp.StatusServiceUnavailable, "not_loaded"
	case s.scheduler.sequences[q.attemptID] != nil:
		return fasthttp.StatusConflict, "duplicate_attempt"
	case s.scheduler.blocks(q.promptTokens+q.length) > s.cfg.MemoryTokens:
		return fasthttp.StatusServiceUnavailable, "overloaded"
	}
	return 0, ""
}

func (s *Server) newSequence(req completionRequest, m Model) *sequence {
	marks := marker.Parse(req.Prompt)
	limit := req.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	length := marks.Tokens
	if length <= 0 {
		length = drawLength(req.Prompt)
	}
	return &sequence{
		attemptID:    req.AttemptID,
		model:        m,
		id:           marks.ID,
		generation:   marker.Hash(s.bootID + req.AttemptID),
		promptTokens: len(req.Prompt)/bytesPerToken + 1,
		length:       min(length, limit),
		limited:      length > limit,
		priority:     req.Priority,
		prefix:       prefixHashes(m, req.Prompt),
		idleSince:    time.Now(),
	}
}

// drawLength returns a log-normal output length that depends on the prompt.
func drawLength(prompt string) int {
	h := xxhash.Sum64String(prompt)
	u1 := (float64(h>>40) + 1) / (1<<24 + 1)
	u2 := float64(h&(1<<24-1)) / (1 << 24)
	normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
	return max(1, int(typicalTokens*math.Exp(normal)))
}

// serveStream resumes or cancels a stream.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, attemptID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.scheduler.sequences[attemptID]
	if ctx.IsDelete() {
		if q != nil {
			s.scheduler.cancel(q)
		}
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	if q == nil {
		writeError(ctx, fasthttp.StatusNotFound, "unknown_stream")
		return
	}
	s.counts.Resumed++
	s.openStream(ctx, q, ctx.QueryArgs().GetUintOrZero("offset"), false)
}

// openStream answers with the tokens of q from offset on. The caller holds the
// lock.
func (s *Server) openStream(ctx *fasthttp.RequestCtx, q *sequence, offset int, first bool) {
	s.opened++
	q.readers++
	w := streamWriter{server: s, sequence: q, next: offset, number: s.opened, first: first}
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(w.run)
}

// streamWriter sends one stream to one reader.
type streamWriter struct {
	server   *Server
	sequence *sequence
	next     int // Index of the next token to send.
	number   int
	first    bool // Opened by POST.
}

func (w *streamWriter) run(out *bufio.Writer) {
	defer w.leave()
	for {
		state := w.observe()
		if w.muted() {
			if !w.server.wait(w.server.cfg.KeepAlive) {
				return
			}
			continue
		}
		if state.cancelled {
			return
		}
		sent := w.next
		done := w.writeTokens(out, state.produced)
		if sent == w.next && !done {
			_, _ = out.WriteString(": keep-alive\n\n")
		}
		if out.Flush() != nil || done || w.cut() {
			return
		}
		if !w.await(state.changed) {
			return
		}
	}
}

// observation is what a reader sees of a sequence.
type observation struct {
	produced  int
	cancelled bool
	changed   <-chan struct{}
}

func (w *streamWriter) observe() observation {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	q := w.sequence
	return observation{produced: q.produced, cancelled: q.cancelled, changed: q.changed}
}

func (w *streamWriter) muted() bool {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	if w.number <= w.server.mutedUpTo {
		return true
	}
	after := w.server.faults.MuteAfter
	return w.first && after > 0 && w.next >= after
}

func (w *streamWriter) cut() bool {
	after := w.server.current().CutAfter
	return w.first && after > 0 && w.next >= after
}

// await returns when the sequence changes or a keep-alive is due. It reports
// false when the server is closed.
func (w *streamWriter) await(changed <-chan struct{}) bool {
	t := time.NewTimer(w.server.cfg.KeepAlive)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-w.server.ctx.Done():
		return false
	}
	return true
}

func (w *streamWriter) leave() {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	w.sequence.readers--
	w.sequence.idleSince = time.Now()
}

// writeTokens writes the tokens up to produced and reports whether the stream
// is at its end.
func (w *streamWriter) writeTokens(out *bufio.Writer, produced int) bool {
	faults := w.server.current()
	for ; w.next < produced && !w.cut() && !w.muted(); w.next++ {
		i := w.next
		switch {
		case every(faults.DuplicateEvery, i):
			w.writeToken(out, i)
			w.writeToken(out, i)
		case every(faults.ReorderEvery, i) && i+1 < produced:
			w.writeToken(out, i+1)
			w.writeToken(out, i)
			w.next++
		case every(faults.ForeignEvery, i):
			w.writeForeign(out, i)
			w.writeToken(out, i)
		default:
			w.writeToken(out, i)
		}
	}
	if w.next < w.sequence.length {
		return false
	}
	_, _ = out.WriteString("data: [DONE]\n\n")
	return true
}

func every(n, i int) bool { return n > 0 && i%n == n-1 }

func (w *streamWriter) writeToken(out *bufio.Writer, index int) {
	q := w.sequence
	c := chunk{
		AttemptID: q.attemptID,
		Index:     index,
		Choices:   []choice{{Text: q.token(index).String()}},
	}
	if index == q.length-1 {
		reason := "stop"
		if q.limited {
			reason = "length"
		}
		c.Choices[0].FinishReason = &reason
		c.Usage = &usage{PromptTokens: q.promptTokens, CompletionTokens: q.length}
	}
	writeChunk(out, c)
}

// writeForeign writes a token of an attempt that nobody here asked for.
func (w *streamWriter) writeForeign(out *bufio.Writer, index int) {
	text := marker.Token{ID: "foreign", Generation: "foreign", Index: index}.String()
	writeChunk(out, chunk{AttemptID: "foreign", Index: index, Choices: []choice{{Text: text}}})
}

func writeChunk(out *bufio.Writer, c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // The type has nothing that cannot be encoded.
	}
	// An error shows at the flush.
	_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", c.Index, data)
}
