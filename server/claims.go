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

const resourceClaims = "claims"

// errNoVerdict is the fault of a claim that ends without a last word.
var errNoVerdict = errors.New("claim ended without an answer")

// claimSpec is the form of a claim in the platform.
type claimSpec struct {
	Writer      string        `json:"writer"` // Of this write, as writeID gives it.
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
	Body        []byte `json:"body"`
	Truncated   bool   `json:"truncated"`
}

// newClaimSpec encodes a claim.
func newClaimSpec(c claimer.Claim) claimSpec {
	spec := claimSpec{
		Writer: writeID(c), Customer: c.Customer, KeyHash: c.KeyHash, Fingerprint: c.Fingerprint,
		Holder: c.Holder, Endpoint: c.Target.Endpoint, Attempt: c.Target.AttemptID,
		Resumable: c.Target.Resumable, TimeoutMS: c.Timeout.Milliseconds(), State: c.State,
	}
	if a := c.Answer; a != nil {
		spec.Answer = &answerSpec{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Truncated: a.Truncated}
	}
	return spec
}

// writeID returns the unique id of one write of a claim, by which the platform
// client finds a write that had no answer.
func writeID(c claimer.Claim) string { return c.Writer + "/" + strconv.FormatUint(c.WriteNumber, 10) }

// splitWriteID returns the writer and the number that an id was made from.
func splitWriteID(id string) (writer string, write uint64) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return id, 0
	}
	write, _ = strconv.ParseUint(id[i+1:], 10, 64) // An id of another form has no number.
	return id[:i], write
}

// claim decodes a claim.
func (s claimSpec) claim() claimer.Claim {
	c := claimer.Claim{
		Customer: s.Customer, KeyHash: s.KeyHash, Fingerprint: s.Fingerprint,
		Holder:  s.Holder,
		Target:  claimer.Target{Endpoint: s.Endpoint, AttemptID: s.Attempt, Resumable: s.Resumable},
		Timeout: time.Duration(s.TimeoutMS) * time.Millisecond, State: s.State,
	}
	c.Writer, c.WriteNumber = splitWriteID(s.Writer)
	if a := s.Answer; a != nil {
		c.Answer = &claimer.StoredAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Truncated: a.Truncated}
	}
	return c
}

// claimWork is what a claim is made for.
type claimWork interface {
	// send sends the request once and returns what became of it.
	send(ctx context.Context, a claimer.Send) claimer.SendResult
	// attach gives the caller the stream of an earlier attempt.
	attach(t claimer.Target) claimer.AttachOutcome
	// answer is the last word to the caller.
	answer(a claimer.Answer)
	// refuse is the last word to the caller of a request that is not run.
	refuse(r claimer.Refuse)
}

// runClaim carries out the actions of one claim until it needs no more events or
// the daemon ends. It goes on after the caller has its answer and is gone, to
// record the outcome.
func (s *Server) runClaim(ctx context.Context, req claimer.Request, work claimWork) {
	s.work.records.Add(1)
	defer s.work.records.Add(-1)
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	c := claimer.New(claimer.DefaultSettings(), req, s.newRand())
	queue := c.Handle(s.clock.Now(), claimer.Begin{})
	for len(queue) > 0 && ctx.Err() == nil {
		a := queue[0]
		queue = queue[1:]
		ev := s.doClaim(ctx, a, work)
		if ev != nil {
			queue = append(queue, c.Handle(s.clock.Now(), ev)...)
		}
	}
}

// doClaim carries out one action and returns the event that answers it, or nil.
func (s *Server) doClaim(ctx context.Context, a claimer.Action, work claimWork) claimer.Event {
	switch a := a.(type) {
	case claimer.Create:
		version, err := s.writeClaim(ctx, a.Name, 0, a.Claim)
		return claimer.CreateResult{Result: platformResult(err), Version: version}
	case claimer.Update:
		version, err := s.writeClaim(ctx, a.Name, a.Version, a.Claim)
		return claimer.UpdateResult{Result: platformResult(err), Version: version}
	case claimer.Read:
		return s.readClaim(ctx, a.Name)
	case claimer.Send:
		return work.send(ctx, a)
	case claimer.Attach:
		return claimer.AttachResult{Result: work.attach(a.Target)}
	case claimer.Wait:
		_ = s.clock.Sleep(ctx, a.Duration) // A stop only makes the wait shorter.
		return claimer.Tick{}
	case claimer.Answer:
		work.answer(a)
	case claimer.Refuse:
		work.refuse(a)
	}
	return nil
}

// writeClaim creates a claim, or replaces the one of a version.
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
		return claimer.ReadResult{Result: platformResult(err)}
	}
	var spec claimSpec
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		s.log.Error().Err(err).Str("claim", name).Msg("claim: not readable")
		return claimer.ReadResult{Result: claimer.ResultUnavailable}
	}
	return claimer.ReadResult{
		Version: o.Version, Claim: spec.claim(), HolderAlive: s.members.alive(spec.Holder), Age: s.store.Age(o),
	}
}

// platformResult returns what an error of the platform client means for a claim.
func platformResult(err error) claimer.Result {
	switch {
	case err == nil:
		return claimer.ResultOK
	case errors.Is(err, storer.ErrExists):
		return claimer.ResultExists
	case errors.Is(err, storer.ErrConflict):
		return claimer.ResultConflict
	case errors.Is(err, storer.ErrNotFound):
		return claimer.ResultNotFound
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrLimited):
		return claimer.ResultUnavailable
	}
	return claimer.ResultUnknown
}

// newRand returns a random source of its own.
func (s *Server) newRand() *rand.Rand {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64()))
}

// callClaim is the claim of a call to a plain service.
type callClaim struct {
	s    *Server
	call responder.Call
	done chan callResult
	sent bool
}

// callResult is the answer to the caller.
type callResult struct {
	reply responder.Reply
	err   error
}

// claimCall runs a keyed call to a plain service.
func (s *Server) claimCall(ctx context.Context, c responder.Call) (responder.Reply, error) {
	endpoint, ok := s.pickService(c, nil)
	if !ok {
		return responder.Reply{}, &responder.RequestError{
			Status: 503, Code: "no_endpoint", Message: "no endpoint of the service is ready", RetryAfter: time.Second,
		}
	}
	deadline, _ := ctx.Deadline()
	work := &callClaim{s: s, call: c, done: make(chan callResult, 1)}
	req := claimer.Request{
		Customer: c.Customer.Name, Key: c.Key, Fingerprint: c.Fingerprint,
		Writer: s.newID(), Holder: s.cfg.Daemon.Name,
		Target: claimer.Target{Endpoint: endpoint, AttemptID: c.ID}, Deadline: deadline,
	}
	s.spawn(func() {
		s.runClaim(ctx, req, work)
		work.finish(responder.Reply{}, internalError(errNoVerdict))
	})
	res := <-work.done
	return res.reply, res.err
}

// send sends the call once.
func (w *callClaim) send(ctx context.Context, a claimer.Send) claimer.SendResult {
	if !w.s.clock.Now().Before(a.Deadline) {
		return claimer.SendResult{Outcome: claimer.OutcomeNotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, w.call.Timeout)
	defer cancel()
	call := w.call
	call.NonIdempotent = true
	reply, err := w.s.sendCall(ctx, call, a.Target.Endpoint)
	if err == nil {
		w.finish(reply, nil)
		return claimer.SendResult{Outcome: claimer.OutcomeRan, Answer: &claimer.StoredAnswer{
			Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body,
		}}
	}
	f := callFailure(err)
	if f != attempter.NotSent && f != attempter.Refused {
		return claimer.SendResult{Outcome: claimer.OutcomeUnknown}
	}
	res := claimer.SendResult{Outcome: claimer.OutcomeNotRun}
	if next, ok := w.s.pickService(w.call, []string{a.Target.Endpoint}); ok && !w.sent {
		w.sent = true // One further attempt, then the caller may come back.
		res.NextTarget = &claimer.Target{Endpoint: next, AttemptID: a.Target.AttemptID}
	}
	return res
}

// attach is not possible at a plain service.
func (*callClaim) attach(claimer.Target) claimer.AttachOutcome { return claimer.AttachNotFound }

// answer gives the caller the answer of this attempt or of an earlier one.
func (w *callClaim) answer(a claimer.Answer) {
	if a.Outcome == claimer.OutcomeRan && a.Stored != nil && !a.Stored.Truncated {
		w.finish(responder.Reply{
			Status: a.Stored.Status, ContentType: a.Stored.ContentType, Body: a.Stored.Body, Replayed: a.Replayed,
		}, nil)
		return
	}
	w.finish(responder.Reply{}, claimAnswerError(a))
}

// refuse tells the caller why the call was not run.
func (w *callClaim) refuse(r claimer.Refuse) { w.finish(responder.Reply{}, claimRefusal(r)) }

// finish gives the caller its answer. Only the first one counts.
func (w *callClaim) finish(reply responder.Reply, err error) {
	select {
	case w.done <- callResult{reply: reply, err: err}:
		w.s.metrics.outcomes.Add(string(outcomeOfError(err)), 1)
	default:
	}
}

// outcomeOfError returns the outcome that err tells, or ran without one.
func outcomeOfError(err error) attempter.Outcome {
	var re *responder.RequestError
	if errors.As(err, &re) {
		return re.Outcome
	}
	return attempter.Ran
}

// claimAnswerError returns the final answer where only the outcome is known.
func claimAnswerError(a claimer.Answer) error {
	e := &responder.RequestError{Status: 409, Code: "already_" + string(a.Outcome), Outcome: attempter.Outcome(a.Outcome)}
	switch a.Outcome {
	case claimer.OutcomeRan:
		e.Message = "a request with this idempotency key ran; its answer was too large to keep"
	case claimer.OutcomeNotRun:
		e.Status, e.Code, e.RetryAfter = 503, "not_served", time.Second
		e.Message = "the request was not run"
	default:
		e.Status, e.Code = 504, "outcome_unknown"
		e.Message = "the request may have run; it will not be run again under this key"
	}
	return e
}

// claimRefusal returns the final answer for a refused claim.
func claimRefusal(r claimer.Refuse) error {
	e := &responder.RequestError{
		Status: 503, Code: string(r.Reason), Outcome: attempter.Outcome(r.Outcome), RetryAfter: r.RetryAfter,
		Message: "the request was not run",
	}
	switch r.Reason {
	case claimer.ReasonInProgress:
		e.Status, e.Message = 409, "a request with this idempotency key is being run"
	case claimer.ReasonKeyReused:
		e.Status, e.Message = 422, "the idempotency key belongs to another request"
	case claimer.ReasonPlatformUnavailable, claimer.ReasonTooLate, claimer.ReasonContention:
	}
	return e
}
