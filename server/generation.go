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

// Bounds of one generation.
const (
	maxAttempts    = 4
	maxResumes     = 3
	keepAliveEvery = time.Second
	maxClaimText   = 64 << 10 // Text collected for a claim; a longer answer is not kept.
	bytesPerToken  = 4        // Prompt bytes in one token, for estimates.
)

// generation is one request for a generation while it is served. It is read by
// one goroutine.
type generation struct {
	s         *Server
	ctx       context.Context
	cancel    context.CancelFunc
	span      trace.Span
	req       responder.Generation
	placement cataloger.Placement
	template  admitter.Request // Template of the requests for permits.
	prefix    uint64
	deadline  time.Time
	begun     time.Time

	attempts *attempter.Attempter
	seq      *sequencer.Sequencer
	failed   []string // Endpoints that have failed this request.

	claim    *generationClaim // For a keyed non-idempotent generation.
	permit   *permit
	stream   *generator.Stream
	resume   string // Suffix of the event ids.
	started  chan startResult
	buffered []responder.Chunk // Tokens of an answer that is sent whole.
	lastAt   time.Time         // Time of the last token.
	done     bool
}

// startResult is the end of the search for an engine.
type startResult struct {
	permit *permit
	stream *generator.Stream
	stored string // Answer of an earlier attempt with the same key.
	err    error
}

// Generate begins a generation.
func (s *Server) Generate(ctx context.Context, g responder.Generation) (responder.Stream, error) {
	cat := s.catalog.Load()
	if s.closing.Load() {
		return nil, stoppingError()
	}
	placement, err := cat.placement(g.Model)
	if err != nil {
		return nil, &responder.RequestError{Status: 404, Code: "model_not_found", Message: "no such version or adapter of the model"}
	}
	if g.MaxTokens, err = outputBound(cat, g, placement); err != nil {
		return nil, err
	}
	gen := s.newGeneration(ctx, g, placement)
	if g.NonIdempotent && g.Key != "" {
		return s.claimGeneration(gen)
	}
	gen.begin("")
	return gen, nil
}

// newGeneration returns a generation that has not begun.
func (s *Server) newGeneration(ctx context.Context, g responder.Generation, p cataloger.Placement) *generation {
	now := s.clock.Now()
	deadline := now.Add(g.Timeout)
	ctx, span := s.tracer.Start(ctx, "caller")
	ctx, cancel := context.WithDeadline(ctx, deadline)
	s.retries.RecordRequest()
	s.work.begin(now)
	gen := &generation{
		s: s, ctx: ctx, cancel: cancel, span: span, req: g, placement: p,
		prefix: prefixHash(g), deadline: deadline, begun: now,
		started: make(chan startResult, 1),
	}
	gen.template = admitter.Request{
		Daemon: s.cfg.Daemon.Name, Customer: g.Customer.Name,
		Model: p.Model, Version: p.Version, Adapter: p.Adapter, Kind: g.Kind,
		PromptTokens: promptTokens(g), MaxTokens: g.MaxTokens,
		Arrived: now, Deadline: deadline,
	}
	if n := g.SharedBytes; n > 0 {
		gen.template.Prefix = uint64(uint32(hashString(g.Prompt[:n])))
		gen.template.CachedTokens = n / bytesPerToken
	}
	gen.attempts = attempter.New(attempter.Config{
		Streamed: g.Stream, NonIdempotent: g.NonIdempotent, Resumable: true,
		Deadline: deadline, MaxAttempts: maxAttempts, MaxResumes: maxResumes,
	}, s)
	return gen
}

// promptTokens estimates the length of a prompt.
func promptTokens(g responder.Generation) int { return len(g.Prompt)/bytesPerToken + 1 }

// outputBound returns the largest output of a generation: what the caller names,
// or the default, within what the model allows after the prompt.
func outputBound(cat *catalog, g responder.Generation, p cataloger.Placement) (int, error) {
	n := g.MaxTokens
	if n == 0 {
		n = cat.manifest.Defaults.MaxTokens
	}
	m := cat.models[p.Model]
	if m.MaxTokens > 0 {
		n = min(n, m.MaxTokens)
	}
	if m.Context == 0 {
		return n, nil
	}
	room := m.Context - promptTokens(g)
	if room < 1 {
		return 0, &responder.RequestError{
			Status: 400, Code: "context_exceeded",
			Message: fmt.Sprintf("the prompt does not fit into the model's context of %d tokens", m.Context),
		}
	}
	return min(n, room), nil
}

// begin searches for an engine in the background. The attempt id is chosen here
// unless a claim has named it.
func (g *generation) begin(id sequencer.AttemptID) {
	if id == "" {
		id = sequencer.AttemptID(g.s.newID())
	}
	if g.seq == nil {
		g.seq = sequencer.New(id, 0)
	} else if err := g.seq.Restart(id); err != nil {
		g.started <- startResult{err: internalError(err)}
		return
	}
	if g.claim != nil {
		g.s.spawn(func() { g.claim.run(id) })
		return
	}
	g.s.spawn(func() { g.started <- g.start(id) })
}

// First returns the first token that Next will return.
func (g *generation) First() (sequencer.AttemptID, int) { return g.seq.Attempt(), g.seq.Next() }

// Next returns the next chunk of the answer.
func (g *generation) Next() (responder.Chunk, error) {
	for {
		if g.done {
			return g.drain()
		}
		var ch responder.Chunk
		var err error
		if g.stream == nil {
			ch, err = g.await()
		} else {
			ch, err = g.read()
		}
		if err != nil || ch.KeepAlive || ch.Token.Attempt != "" {
			return ch, err
		}
	}
}

// drain returns what is left of a complete answer.
func (g *generation) drain() (responder.Chunk, error) {
	if len(g.buffered) == 0 {
		return responder.Chunk{}, io.EOF
	}
	ch := g.buffered[0]
	g.buffered = g.buffered[1:]
	return ch, nil
}

// await waits for an engine.
func (g *generation) await() (responder.Chunk, error) {
	// The deadline of the request ends the search, which then answers.
	ctx, cancel := context.WithTimeout(context.Background(), keepAliveEvery)
	defer cancel()
	select {
	case res := <-g.started:
		if res.err != nil {
			g.done = true
			return responder.Chunk{}, res.err
		}
		if res.stream == nil {
			return g.replay(res.stored)
		}
		g.attach(res.permit, res.stream)
		return responder.Chunk{}, nil
	case <-ctx.Done():
		return responder.Chunk{KeepAlive: true}, nil
	}
}

// replay returns the kept answer of an earlier attempt.
func (g *generation) replay(text string) (responder.Chunk, error) {
	g.done = true
	id := g.seq.Attempt()
	return responder.Chunk{Token: sequencer.Token{Attempt: id, Text: text, Finish: "stop"}}, nil
}

// attach begins to read a stream.
func (g *generation) attach(p *permit, st *generator.Stream) {
	g.permit = p
	g.stream = st
	g.resume = g.s.sealer.Stream(g.req.Customer.Name, p.endpoint.Name, st.Attempt())
}

// read returns the next event of the engine's stream.
func (g *generation) read() (responder.Chunk, error) {
	ev, err := g.stream.Next()
	if errors.Is(err, io.EOF) {
		g.complete()
		return responder.Chunk{}, nil
	}
	now := g.s.clock.Now()
	if err == nil && now.After(g.deadline) {
		return responder.Chunk{}, g.expire()
	}
	if err != nil {
		return responder.Chunk{}, g.recover(generator.FailureOf(err), err)
	}
	if ev.KeepAlive {
		return responder.Chunk{KeepAlive: true}, nil
	}
	return g.take(ev, now)
}

// take decides about one token that came now.
func (g *generation) take(ev generator.Event, now time.Time) (responder.Chunk, error) {
	switch g.seq.Offer(ev.Token) {
	case sequencer.Deliver:
	case sequencer.Gap:
		return responder.Chunk{}, g.recover(attempter.StreamTruncated, generator.ErrCut)
	default:
		g.s.metrics.droppedTokens.Add(1)
		return responder.Chunk{}, nil
	}
	g.observeGap(now)
	g.attempts.RecordToken(g.req.Stream)
	g.permit.produced.Store(int64(ev.Token.Index) + 1)
	ch := responder.Chunk{Token: ev.Token, Resume: g.resume, More: g.stream.Buffered()}
	if ev.Token.Finish != "" {
		ch.Usage = &responder.Usage{
			PromptTokens: ev.Usage.PromptTokens, CompletionTokens: ev.Usage.CompletionTokens,
			TotalTokens: ev.Usage.PromptTokens + ev.Usage.CompletionTokens,
		}
	}
	if g.claim != nil && g.claim.text.Len() < maxClaimText {
		g.claim.text.WriteString(ev.Token.Text)
	}
	if g.req.Stream {
		return ch, nil
	}
	g.buffered = append(g.buffered, ch)
	return responder.Chunk{KeepAlive: true}, nil
}

// observeGap records the time since the last token.
func (g *generation) observeGap(now time.Time) {
	if g.lastAt.IsZero() {
		g.s.metrics.firstToken.observe(now.Sub(g.begun))
	} else {
		gap := now.Sub(g.lastAt)
		g.s.metrics.tokenGap.observe(gap)
		if target := g.s.catalog.Load().manifest.Defaults.TokenGapTarget; gap > target {
			g.s.metrics.stall.observe(gap - target)
		}
	}
	g.lastAt = now
}

// complete ends an answer that has come whole.
func (g *generation) complete() {
	g.done = true
	_ = g.stream.Close()
	g.releasePermit(admitter.Result{Produced: g.seq.Next(), Finished: true})
	g.s.router(func(r *router.Router) { r.ReportSuccess(g.permit.endpoint.Name) })
	g.s.metrics.outcomes.Add(string(attempter.Ran), 1)
	g.endClaim(claimer.OutcomeRan)
}

// endClaim records how a claimed generation ended, if this is one.
func (g *generation) endClaim(o claimer.Outcome) {
	if g.claim != nil {
		g.claim.end(o)
	}
}

// expire ends an answer that is not complete at its deadline.
func (g *generation) expire() error {
	g.done = true
	g.abandon()
	g.endClaim(claimer.OutcomeUnknown)
	g.s.metrics.outcomes.Add(string(attempter.Unknown), 1)
	return &responder.RequestError{
		Status: 504, Code: "deadline", Outcome: attempter.Unknown,
		Message: "the answer was not complete in time", RetryAfter: time.Second,
	}
}

// abandon closes the stream and cancels the generation.
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
	g.s.spawn(func() { g.s.giveBack(p) })
}

// releasePermit ends the permit in the background.
func (g *generation) releasePermit(res admitter.Result) {
	p := g.permit
	g.s.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
		defer cancel()
		g.s.permits.finish(ctx, p, res)
	})
}

// recover decides what follows a failure of the stream.
func (g *generation) recover(f attempter.Failure, cause error) error {
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
	g.fail(now)
	if d.Step == attempter.GiveUp {
		g.done = true
		g.endClaim(claimer.OutcomeUnknown)
		return g.giveUp(d.Outcome, "the engine was lost")
	}
	g.buffered = nil
	if !g.req.Stream {
		g.seq = nil
	}
	g.beginAfter(d.Delay)
	return nil
}

// fail reports the endpoint as failed and abandons the attempt.
func (g *generation) fail(now time.Time) {
	name := g.permit.endpoint.Name
	g.failed = append(g.failed, name)
	g.s.router(func(r *router.Router) { r.ReportFailure(name, now) })
	g.abandon()
}

// beginAfter begins another attempt after a delay.
func (g *generation) beginAfter(delay time.Duration) {
	g.s.metrics.retries.Add(1)
	if g.s.clock.Sleep(g.ctx, delay) != nil {
		g.started <- startResult{err: g.giveUp(attempter.Unknown, "the deadline has passed")}
		return
	}
	g.begin("")
}

// giveUp returns the final answer for a request that is not served.
func (g *generation) giveUp(o attempter.Outcome, message string) error {
	g.attempts.AssertOutcome(o)
	g.s.metrics.outcomes.Add(string(o), 1)
	return &responder.RequestError{
		Status: 503, Code: "not_served", Outcome: o, Message: message, RetryAfter: time.Second,
	}
}

// internalError returns the final answer for a fault of our own.
func internalError(err error) error {
	return &responder.RequestError{Status: 500, Code: "internal", Message: fmt.Sprint(err), Outcome: attempter.Unknown}
}

// stoppingError returns the final answer while the daemon stops.
func stoppingError() error {
	return &responder.RequestError{Status: 503, Code: "stopping", Message: "this daemon is stopping", RetryAfter: time.Second}
}
