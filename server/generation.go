package server

import (
	"context"
	"fmt"
	"io"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/coordination/claimer"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/protocol/generator"
	"monsoonspar.example/protocol/responder"
	"monsoonspar.example/state/cataloger"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"
)

// Limits and estimates of one generation.
const (
	maxAttempts       = 4 // Also for a call to a plain service.
	maxResumes        = 3
	maxEngineSilence  = 30 * time.Second
	keepAliveInterval = time.Second // Between KeepAlive chunks until the stream is open.
	maxClaimTextBytes = 64 << 10    // The text of an answer is collected for its claim up to this size, which exceeds the largest answer that a claim stores.
	bytesPerToken     = 4           // Prompt bytes per token, for estimates.
)

// errTooManyTokens means that an engine sent more tokens than the request permits.
var errTooManyTokens = errors.New("server: the engine exceeded the maximum number of tokens")

// generation is one request for a generation while it is served. It is read by a
// single goroutine.
type generation struct {
	s                *Server
	ctx              context.Context
	cancel           context.CancelFunc
	span             trace.Span
	req              responder.Generation
	placement        cataloger.Placement
	permitTemplate   admitter.Request // Request for a permit, without its id.
	promptPrefixHash uint64
	deadline         time.Time
	startedAt        time.Time

	attempts        *attempter.Attempter
	seq             *sequencer.Sequencer
	failedEndpoints []string // Endpoints that failed this request and are not tried again.

	claim         *generationClaim // Set for a non-idempotent generation with an idempotency key.
	permit        *permit
	stream        *generator.Stream
	eventIDSuffix string // Follows the token index in event ids.
	opened        chan openResult
	buffered      []responder.Chunk // Tokens of an answer that is not streamed.
	lastTokenAt   time.Time         // Time of the last token.
	done          bool
}

// openResult is the result of openStream, or the stored answer of an earlier
// attempt.
type openResult struct {
	permit *permit
	stream *generator.Stream
	stored string // Answer of an earlier attempt with the same idempotency key.
	err    error
}

// Generate starts a generation.
func (s *Server) Generate(ctx context.Context, g responder.Generation) (responder.Stream, error) {
	cat := s.catalog.Load()
	if s.rejecting.Load() {
		return nil, stoppingError()
	}
	placement, err := cat.resolvePlacement(g.Model)
	if err != nil {
		return nil, &responder.RequestError{Status: 404, Code: "model_not_found", Message: "no such version or adapter of the model"}
	}
	if g.MaxTokens, err = maxOutputTokens(cat, g, placement); err != nil {
		return nil, err
	}
	gen := s.newGeneration(ctx, g, placement)
	if g.NonIdempotent && g.IdempotencyKey != "" {
		return s.claimGeneration(gen)
	}
	gen.startAttempt("")
	return gen, nil
}

// newGeneration returns a generation without an attempt.
func (s *Server) newGeneration(ctx context.Context, g responder.Generation, p cataloger.Placement) *generation {
	now := s.clock.Now()
	deadline := now.Add(g.Timeout)
	ctx, span := s.tracer.Start(ctx, "caller")
	ctx, cancel := context.WithDeadline(ctx, deadline)
	s.retries.RecordRequest()
	s.inFlight.beginRequest(now)
	gen := &generation{
		s: s, ctx: ctx, cancel: cancel, span: span, req: g, placement: p,
		promptPrefixHash: prefixHash(g), deadline: deadline, startedAt: now,
		opened: make(chan openResult, 1),
	}
	gen.permitTemplate = admitter.Request{
		Daemon: s.cfg.Daemon.Name, Customer: g.Customer.Name,
		Model: p.Model, Version: p.Version, Adapter: p.Adapter, Kind: g.JobKind,
		PromptTokens: promptTokens(g), MaxTokens: g.MaxTokens,
		Arrived: now, Deadline: deadline,
	}
	if n := g.SharedPrefixBytes; n > 0 {
		gen.permitTemplate.Prefix = uint64(uint32(hashString(g.Prompt[:n])))
		gen.permitTemplate.CachedTokens = n / bytesPerToken
	}
	gen.attempts = attempter.New(attempter.Config{
		Streamed: g.Stream, NonIdempotent: g.NonIdempotent, Resumable: true,
		Deadline: deadline, MaxAttempts: maxAttempts, MaxResumes: maxResumes, MaxSilence: maxEngineSilence,
	}, s)
	return gen
}

// promptTokens estimates the length of a prompt.
func promptTokens(g responder.Generation) int { return len(g.Prompt)/bytesPerToken + 1 }

// maxOutputTokens returns the output limit of a generation: the one in the request,
// or else the default, reduced to the limit of the model and to the remainder of
// its context after the prompt.
func maxOutputTokens(cat *catalog, g responder.Generation, p cataloger.Placement) (int, error) {
	n := g.MaxTokens
	if n == 0 {
		n = cat.manifest.Defaults.MaxTokens
	}
	m := cat.models[p.Model]
	if m.MaxTokens > 0 {
		n = min(n, m.MaxTokens)
	}
	if m.ContextTokens == 0 {
		return n, nil
	}
	remaining := m.ContextTokens - promptTokens(g)
	if remaining < 1 {
		return 0, &responder.RequestError{
			Status: 400, Code: "context_exceeded",
			Message: fmt.Sprintf("the prompt does not fit into the model's context of %d tokens", m.ContextTokens),
		}
	}
	return min(n, remaining), nil
}

// startAttempt opens a stream in the background, under a claim if the generation
// has one. An empty id is replaced by a new one.
func (g *generation) startAttempt(id sequencer.AttemptID) {
	if id == "" {
		id = sequencer.AttemptID(g.s.newID())
	}
	if g.seq == nil {
		g.seq = sequencer.New(id, 0)
	} else if err := g.seq.Restart(id); err != nil {
		g.opened <- openResult{err: internalError(err)}
		return
	}
	if g.claim != nil {
		g.s.spawn(func() { g.claim.run(id) })
		return
	}
	g.s.spawn(func() { g.opened <- g.openStream(id) })
}

// First returns the attempt and the index of the first token that Next will
// return.
func (g *generation) First() (sequencer.AttemptID, int) { return g.seq.Attempt(), g.seq.Next() }

// Next returns the next chunk of the answer.
func (g *generation) Next() (responder.Chunk, error) {
	for {
		if g.done {
			return g.nextBuffered()
		}
		var ch responder.Chunk
		var err error
		if g.stream == nil {
			ch, err = g.awaitStream()
		} else {
			ch, err = g.readEvent()
		}
		if err != nil || ch.KeepAlive || ch.Token.Attempt != "" {
			return ch, err
		}
	}
}

// nextBuffered returns the next buffered chunk of a complete answer.
func (g *generation) nextBuffered() (responder.Chunk, error) {
	if len(g.buffered) == 0 {
		return responder.Chunk{}, io.EOF
	}
	ch := g.buffered[0]
	g.buffered = g.buffered[1:]
	return ch, nil
}

// awaitStream waits for the stream to be opened. It returns a KeepAlive chunk after
// keepAliveInterval.
func (g *generation) awaitStream() (responder.Chunk, error) {
	// This timeout is independent of the deadline of the request, at which
	// openStream delivers an error.
	ctx, cancel := context.WithTimeout(context.Background(), keepAliveInterval)
	defer cancel()
	select {
	case res := <-g.opened:
		if res.err != nil {
			g.done = true
			return responder.Chunk{}, res.err
		}
		if res.stream == nil {
			return g.replayAnswer(res.stored)
		}
		g.attachStream(res.permit, res.stream)
		return responder.Chunk{}, nil
	case <-ctx.Done():
		return responder.Chunk{KeepAlive: true}, nil
	}
}

// replayAnswer returns the stored answer of an earlier attempt as a single chunk.
func (g *generation) replayAnswer(text string) (responder.Chunk, error) {
	g.done = true
	id := g.seq.Attempt()
	return responder.Chunk{Token: sequencer.Token{Attempt: id, Text: text, Finish: "stop"}}, nil
}

// attachStream sets the permit and the stream to read from.
func (g *generation) attachStream(p *permit, st *generator.Stream) {
	g.permit = p
	g.stream = st
	g.eventIDSuffix = g.s.sealer.StreamSuffix(g.req.Customer.Name, p.endpoint.Name, st.Attempt())
}

// readEvent reads the next event of the engine's stream.
func (g *generation) readEvent() (responder.Chunk, error) {
	ev, err := g.stream.Next()
	// Nothing is missing if the stream breaks off behind the last token.
	if errors.Is(err, io.EOF) || err != nil && g.seq.Finished() {
		g.complete()
		return responder.Chunk{}, nil
	}
	now := g.s.clock.Now()
	if err == nil && now.After(g.deadline) {
		return responder.Chunk{}, g.expire()
	}
	if err != nil {
		g.s.metrics.countMalformed(err)
		return responder.Chunk{}, g.handleStreamFailure(generator.FailureOf(err), err)
	}
	if ev.KeepAlive {
		return responder.Chunk{KeepAlive: true}, nil
	}
	return g.handleToken(ev, now)
}

// handleToken handles a token that was received at now. Duplicates, tokens of other
// attempts and tokens after the end are dropped; a gap in the token indexes counts
// as a failure of the stream.
func (g *generation) handleToken(ev generator.Event, now time.Time) (responder.Chunk, error) {
	if limit := g.req.MaxTokens; limit > 0 && ev.Token.Index >= limit {
		return responder.Chunk{}, g.handleStreamFailure(attempter.StreamTruncated, errTooManyTokens)
	}
	switch g.seq.Offer(ev.Token) {
	case sequencer.Deliver:
	case sequencer.Gap:
		return responder.Chunk{}, g.handleStreamFailure(attempter.StreamTruncated, generator.ErrTruncated)
	default:
		g.s.metrics.droppedTokens.Add(1)
		return responder.Chunk{}, nil
	}
	g.observeTokenGap(now)
	g.attempts.RecordToken(g.req.Stream)
	g.permit.produced.Store(int64(ev.Token.Index) + 1)
	ch := responder.Chunk{Token: ev.Token, EventIDSuffix: g.eventIDSuffix, MoreBuffered: g.stream.Buffered()}
	if ev.Token.Finish != "" {
		ch.Usage = &responder.Usage{
			PromptTokens: ev.Usage.PromptTokens, CompletionTokens: ev.Usage.CompletionTokens,
			TotalTokens: ev.Usage.PromptTokens + ev.Usage.CompletionTokens,
		}
	}
	if g.claim != nil && g.claim.text.Len() < maxClaimTextBytes {
		g.claim.text.WriteString(ev.Token.Text)
	}
	if g.req.Stream {
		return ch, nil
	}
	g.buffered = append(g.buffered, ch)
	return responder.Chunk{KeepAlive: true}, nil
}

// observeTokenGap records the time since the last token, or the time to the first
// one, in the metrics.
func (g *generation) observeTokenGap(now time.Time) {
	if g.lastTokenAt.IsZero() {
		g.s.metrics.firstToken.observe(now.Sub(g.startedAt))
	} else {
		gap := now.Sub(g.lastTokenAt)
		g.s.metrics.tokenGap.observe(gap)
		if target := g.s.catalog.Load().manifest.Defaults.TokenGapTarget; gap > target {
			g.s.metrics.stall.observe(gap - target)
		}
	}
	g.lastTokenAt = now
}

// complete ends a generation whose answer is complete.
func (g *generation) complete() {
	g.done = true
	_ = g.stream.Close()
	g.finishPermit(admitter.Result{Produced: g.seq.Next(), Finished: true})
	g.s.eachRouter(func(r *router.Router) { r.ReportSuccess(g.permit.endpoint.Name) })
	g.s.metrics.outcomes.Add(string(attempter.Ran), 1)
	g.endClaim(claimer.OutcomeRan)
}

// endClaim records the outcome in the claim, if the generation has one.
func (g *generation) endClaim(o claimer.Outcome) {
	if g.claim != nil {
		g.claim.end(o)
	}
}

// expire ends a generation that is not complete at its deadline.
func (g *generation) expire() error {
	g.done = true
	g.abandon()
	g.endClaim(claimer.OutcomeUnknown)
	g.s.metrics.outcomes.Add(string(attempter.Unknown), 1)
	const message = "the answer was not complete in time"
	if g.req.NonIdempotent {
		return outcomeUnknownError(message)
	}
	return &responder.RequestError{
		Status: 504, Code: "deadline", Outcome: attempter.Unknown, Message: message, RetryAfter: time.Second,
	}
}

// abandon closes the stream, releases the permit and cancels the generation at the
// engine, the latter two in the background.
func (g *generation) abandon() {
	if g.stream != nil {
		_ = g.stream.Close()
		g.stream = nil
	}
	if g.permit == nil {
		return
	}
	p := g.permit
	g.permit = nil
	g.s.spawn(func() { g.s.releaseAndCancel(p) })
}

// finishPermit releases the permit of a complete generation in the background.
func (g *generation) finishPermit(res admitter.Result) {
	p := g.permit
	g.s.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shortCallTimeout)
		defer cancel()
		g.s.permits.finish(ctx, p, res)
	})
}

// handleStreamFailure continues after a failure of the stream: it resumes the
// generation, starts another attempt, or returns the final answer.
func (g *generation) handleStreamFailure(f attempter.Failure, cause error) error {
	now := g.s.clock.Now()
	g.s.log.Info().Err(cause).Str("request", g.req.ID).Str("endpoint", g.permit.endpoint.Name).Msg("generation: stream failed")
	d := g.attempts.HandleFailure(now, f)
	for d.Step == attempter.Resume {
		_ = g.stream.Close()
		st, err := g.s.engines.Resume(g.ctx, g.permit.endpoint.Addr, g.seq.Attempt(), g.seq.Next())
		if err == nil {
			g.stream = st
			g.s.metrics.resumes.Add(1)
			return nil
		}
		d = g.attempts.HandleFailure(g.s.clock.Now(), generator.FailureOf(err))
	}
	g.failAttempt(now)
	if d.Step == attempter.GiveUp {
		g.done = true
		g.endClaim(claimer.OutcomeUnknown)
		return g.giveUp(d.Outcome, "the engine was lost")
	}
	g.buffered = nil
	if !g.req.Stream {
		g.seq = nil
	}
	g.startAttemptAfter(d.Delay)
	return nil
}

// failAttempt reports the endpoint as failed and abandons the attempt.
func (g *generation) failAttempt(now time.Time) {
	name := g.permit.endpoint.Name
	g.failedEndpoints = append(g.failedEndpoints, name)
	g.s.eachRouter(func(r *router.Router) { r.ReportFailure(name, now) })
	g.abandon()
}

// startAttemptAfter starts another attempt after the backoff.
func (g *generation) startAttemptAfter(delay time.Duration) {
	g.s.metrics.retries.Add(1)
	if g.s.clock.Sleep(g.ctx, delay) != nil {
		g.opened <- openResult{err: g.giveUp(attempter.Unknown, "the deadline has passed")}
		return
	}
	g.startAttempt("")
}

// giveUp returns the final answer for a request that was not served, and counts its
// outcome.
func (g *generation) giveUp(o attempter.Outcome, message string) error {
	g.attempts.AssertOutcome(o)
	g.s.metrics.outcomes.Add(string(o), 1)
	if g.req.NonIdempotent && o == attempter.Unknown {
		return outcomeUnknownError(message)
	}
	return &responder.RequestError{
		Status: 503, Code: "not_served", Outcome: o, Message: message, RetryAfter: time.Second,
	}
}

// internalError returns the final answer for an internal error of the daemon.
func internalError(err error) error {
	return &responder.RequestError{Status: 500, Code: "internal", Message: fmt.Sprint(err), Outcome: attempter.Unknown}
}

// stoppingError returns the final answer for a request that arrives while the daemon
// is stopping.
func stoppingError() error {
	return &responder.RequestError{Status: 503, Code: "stopping", Message: "this daemon is stopping", RetryAfter: time.Second}
}
