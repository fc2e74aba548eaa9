package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/coordination/claimer"
	"monsoonspar.example/protocol/responder"
	"monsoonspar.example/protocol/storer"

	"github.com/pkg/errors"
)

// resourceClaims is the resource of the platform's object API that holds claims.
const resourceClaims = "claims"

// errNoOutcome is returned to the caller if the claim ends without a final answer.
var errNoOutcome = errors.New("claim ended without an answer")

// claimSpec is the encoding of a claim in the platform's object API.
type claimSpec struct {
	Writer      string        `json:"writer"` // Id of this write, from writeID.
	Customer    string        `json:"customer"`
	KeyHash     string        `json:"key_hash"`
	Fingerprint string        `json:"fingerprint"`
	Holder      string        `json:"holder"`
	Endpoint    string        `json:"endpoint"`
	Attempt     string        `json:"attempt"`
	Resumable   bool          `json:"resumable"`
	TimeoutMS   int64         `json:"timeout_ms"`
	State       claimer.State `json:"state"`
	Answer      *answerSpec   `json:"answer,omitempty"`
}

type answerSpec struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	// ContentEncoding is missing in the claims of earlier versions, which drop it.
	ContentEncoding string `json:"content_encoding,omitempty"`
	Body            []byte `json:"body"`
	Truncated       bool   `json:"truncated"`
}

// newClaimSpec encodes a claim.
func newClaimSpec(c claimer.Claim) claimSpec {
	spec := claimSpec{
		Writer: writeID(c), Customer: c.Customer, KeyHash: c.KeyHash, Fingerprint: c.Fingerprint,
		Holder: c.Holder, Endpoint: c.Target.Endpoint, Attempt: c.Target.AttemptID,
		Resumable: c.Target.Resumable, TimeoutMS: c.Timeout.Milliseconds(), State: c.State,
	}
	if a := c.Answer; a != nil {
		spec.Answer = &answerSpec{Status: a.Status, ContentType: a.ContentType, ContentEncoding: a.ContentEncoding, Body: a.Body, Truncated: a.Truncated}
	}
	return spec
}

// writeID returns the unique id of one write of a claim. By this id the platform
// client recognizes a write to which it received no response.
func writeID(c claimer.Claim) string { return c.Writer + "/" + strconv.FormatUint(c.WriteNumber, 10) }

// parseWriteID returns the writer and the number that an id was made from.
func parseWriteID(id string) (writer string, number uint64) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return id, 0
	}
	number, _ = strconv.ParseUint(id[i+1:], 10, 64) // Zero for an id in another format.
	return id[:i], number
}

// decode returns the claim that s encodes.
func (s claimSpec) decode() claimer.Claim {
	c := claimer.Claim{
		Customer: s.Customer, KeyHash: s.KeyHash, Fingerprint: s.Fingerprint,
		Holder:  s.Holder,
		Target:  claimer.Target{Endpoint: s.Endpoint, AttemptID: s.Attempt, Resumable: s.Resumable},
		Timeout: time.Duration(s.TimeoutMS) * time.Millisecond, State: s.State,
	}
	c.Writer, c.WriteNumber = parseWriteID(s.Writer)
	if a := s.Answer; a != nil {
		c.Answer = &claimer.StoredAnswer{Status: a.Status, ContentType: a.ContentType, ContentEncoding: a.ContentEncoding, Body: a.Body, Truncated: a.Truncated}
	}
	return c
}

// claimedRequest is a request that runs under a claim.
type claimedRequest interface {
	// send sends the request once and returns its outcome.
	send(ctx context.Context, a claimer.Send) claimer.SendResult
	// attach gives the caller the stream of an earlier attempt.
	attach(t claimer.Target) claimer.AttachOutcome
	// answer gives the caller its final answer.
	answer(a claimer.Answer)
	// refuse gives the caller the final answer for a request that is not run.
	refuse(r claimer.Refuse)
}

// runClaim carries out the actions of one claim, which begin starts, until it needs no
// more events or the daemon closes. It continues after the caller has its answer or has
// disconnected, so that the outcome is recorded.
func (s *Server) runClaim(ctx context.Context, req claimer.Request, begin claimer.Event, claimed claimedRequest) {
	s.inFlight.unrecordedClaims.Add(1)
	defer s.inFlight.unrecordedClaims.Add(-1)
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	c := claimer.New(claimer.DefaultSettings(), req, s.newRand())
	queue := c.Handle(s.clock.Now(), begin)
	for len(queue) > 0 && ctx.Err() == nil {
		a := queue[0]
		queue = queue[1:]
		ev := s.doClaimAction(ctx, a, claimed)
		if ev != nil {
			queue = append(queue, c.Handle(s.clock.Now(), ev)...)
		}
	}
}

// doClaimAction carries out one action and returns the event that answers it, or nil.
func (s *Server) doClaimAction(ctx context.Context, a claimer.Action, claimed claimedRequest) claimer.Event {
	switch a := a.(type) {
	case claimer.Create:
		version, err := s.writeClaim(ctx, a.Name, 0, a.Claim)
		return claimer.CreateResult{Result: claimResult(err), Version: version}
	case claimer.Update:
		version, err := s.writeClaim(ctx, a.Name, a.Version, a.Claim)
		return claimer.UpdateResult{Result: claimResult(err), Version: version}
	case claimer.Read:
		return s.readClaim(ctx, a.Name)
	case claimer.Send:
		return claimed.send(ctx, a)
	case claimer.Attach:
		return claimer.AttachResult{Result: claimed.attach(a.Target)}
	case claimer.Wait:
		_ = s.clock.Sleep(ctx, a.Duration) // If the context ends, the wait is only shortened.
		return claimer.Tick{}
	case claimer.Answer:
		claimed.answer(a)
	case claimer.Refuse:
		claimed.refuse(a)
	}
	return nil
}

// writeClaim creates a claim if version is zero, and otherwise replaces it if it
// still has that version. It returns the new version.
func (s *Server) writeClaim(ctx context.Context, name string, version uint64, c claimer.Claim) (uint64, error) {
	ctx, span := s.tracer.Start(ctx, "platform")
	defer span.End()
	spec, err := json.Marshal(newClaimSpec(c))
	if err != nil {
		return 0, errors.Wrap(err, "encode claim")
	}
	o, err := storer.Put(ctx, s.store, storer.Object{Resource: resourceClaims, Name: name, Version: version, Spec: spec})
	return o.Version, err
}

// readClaim reads a claim.
func (s *Server) readClaim(ctx context.Context, name string) claimer.Event {
	ctx, span := s.tracer.Start(ctx, "platform")
	defer span.End()
	o, err := s.store.Get(ctx, resourceClaims, name)
	if err != nil {
		return claimer.ReadResult{Result: claimResult(err)}
	}
	var spec claimSpec
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		s.log.Error().Err(err).Str("claim", name).Msg("claim: object can't be decoded")
		return claimer.ReadResult{Result: claimer.ResultUnavailable}
	}
	return claimer.ReadResult{
		Version: o.Version, Claim: spec.decode(), HolderAlive: s.members.isAlive(spec.Holder), Age: s.store.Age(o),
	}
}

// claimResult converts an error of the platform client to the result of a call.
func claimResult(err error) claimer.Result {
	switch {
	case err == nil:
		return claimer.ResultOK
	case errors.Is(err, storer.ErrExists):
		return claimer.ResultExists
	case errors.Is(err, storer.ErrConflict):
		return claimer.ResultConflict
	case errors.Is(err, storer.ErrNotFound):
		return claimer.ResultNotFound
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrRateLimited):
		return claimer.ResultUnavailable
	}
	return claimer.ResultUnknown
}

// newRand returns a new random source, seeded from that of the server.
func (s *Server) newRand() *rand.Rand {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64()))
}

// callClaim is the claim of a call to a plain service.
type callClaim struct {
	s       *Server
	call    responder.Call
	done    chan callResult
	retried bool
	refusal error // Final answer of a call that can't be sent and that no earlier attempt may have run.
}

// callResult is the final answer to the caller.
type callResult struct {
	reply responder.Response
	err   error
}

// claimCall runs a call with an idempotency key to a plain service under a claim.
func (s *Server) claimCall(ctx context.Context, c responder.Call) (responder.Response, error) {
	deadline, _ := ctx.Deadline()
	claimed := &callClaim{s: s, call: c, done: make(chan callResult, 1)}
	begin := claimer.Event(claimer.Begin{})
	endpoint, ok := s.pickEndpoint(c, nil)
	if !ok {
		begin = claimer.Lookup{}
		claimed.refusal = &responder.RequestError{
			Status: 503, Code: "no_endpoint", Message: "no endpoint of the service is ready",
			Outcome: attempter.NotRun, RetryAfter: time.Second,
		}
	}
	req := claimer.Request{
		Customer: c.Customer.Name, Key: c.IdempotencyKey, Fingerprint: c.Fingerprint,
		Writer: s.newID(), Holder: s.cfg.Daemon.Name,
		Target: claimer.Target{Endpoint: endpoint, AttemptID: c.ID}, Deadline: deadline,
	}
	s.spawn(func() {
		s.runClaim(ctx, req, begin, claimed)
		claimed.deliver(responder.Response{}, internalError(errNoOutcome))
	})
	res := <-claimed.done
	return res.reply, res.err
}

// send sends the call once.
func (c *callClaim) send(ctx context.Context, a claimer.Send) claimer.SendResult {
	if !c.s.clock.Now().Before(a.Deadline) {
		return claimer.SendResult{Outcome: claimer.OutcomeNotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, c.call.Timeout)
	defer cancel()
	call := c.call
	call.NonIdempotent = true
	reply, err := c.s.sendCall(ctx, call, a.Target.Endpoint)
	if err == nil {
		c.deliver(reply, nil)
		return claimer.SendResult{Outcome: claimer.OutcomeRan, Answer: &claimer.StoredAnswer{
			Status: reply.Status, ContentType: reply.ContentType, ContentEncoding: reply.ContentEncoding, Body: reply.Body,
		}}
	}
	f := callFailure(err)
	if f != attempter.NotSent && f != attempter.Refused {
		return claimer.SendResult{Outcome: claimer.OutcomeUnknown}
	}
	res := claimer.SendResult{Outcome: claimer.OutcomeNotRun}
	if next, ok := c.s.pickEndpoint(c.call, []string{a.Target.Endpoint}); ok && !c.retried {
		c.retried = true // After one further attempt a retry is left to the caller.
		res.NextTarget = &claimer.Target{Endpoint: next, AttemptID: a.Target.AttemptID}
	}
	return res
}

// attach always fails, because plain services have no streams.
func (*callClaim) attach(claimer.Target) claimer.AttachOutcome { return claimer.AttachNotFound }

// answer gives the caller the answer of this attempt or of an earlier one.
func (c *callClaim) answer(a claimer.Answer) {
	if a.Outcome == claimer.OutcomeRan && a.Stored != nil && !a.Stored.Truncated {
		c.deliver(responder.Response{
			Status: a.Stored.Status, ContentType: a.Stored.ContentType, ContentEncoding: a.Stored.ContentEncoding, Body: a.Stored.Body, Replayed: a.Replayed,
		}, nil)
		return
	}
	c.deliver(responder.Response{}, claimAnswerError(a))
}

// refuse gives the caller the reason why the call was not run.
func (c *callClaim) refuse(r claimer.Refuse) {
	if r.Reason == claimer.ReasonNotSendable {
		c.deliver(responder.Response{}, c.refusal)
		return
	}
	c.deliver(responder.Response{}, claimRefusalError(r))
}

// deliver gives the caller its final answer. Only the first call has an effect.
func (c *callClaim) deliver(reply responder.Response, err error) {
	select {
	case c.done <- callResult{reply: reply, err: err}:
		c.s.metrics.outcomes.Add(string(outcomeOfError(err)), 1)
	default:
	}
}

// outcomeOfError returns the outcome in err, or Ran if err is nil.
func outcomeOfError(err error) attempter.Outcome {
	var re *responder.RequestError
	if errors.As(err, &re) {
		return re.Outcome
	}
	return attempter.Ran
}

// claimAnswerError returns the final answer if only the outcome is known.
func claimAnswerError(a claimer.Answer) error {
	e := &responder.RequestError{Status: 409, Code: "already_" + string(a.Outcome), Outcome: attempter.Outcome(a.Outcome)}
	switch a.Outcome {
	case claimer.OutcomeRan:
		e.Message = "a request with this idempotency key ran; its answer was too large to keep"
	case claimer.OutcomeNotRun:
		e.Status, e.Code, e.RetryAfter = 503, "not_served", time.Second
		e.Message = "the request was not run"
	default:
		return outcomeUnknownError("the request may have run; it will not be run again under this key")
	}
	return e
}

// claimRefusalError returns the final answer for a refused claim.
func claimRefusalError(r claimer.Refuse) error {
	e := &responder.RequestError{
		Status: 503, Code: string(r.Reason), Outcome: attempter.Outcome(r.Outcome), RetryAfter: r.RetryAfter,
		Message: "the request was not run",
	}
	switch r.Reason {
	case claimer.ReasonInProgress:
		e.Status, e.Message = 409, "a request with this idempotency key is being run"
	case claimer.ReasonKeyReused:
		e.Status, e.Message = 422, "the idempotency key belongs to another request"
	case claimer.ReasonPlatformUnavailable, claimer.ReasonTooLate, claimer.ReasonContention, claimer.ReasonNotSendable:
	}
	return e
}
