package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"monsoonspar.example/state/seeder"
)

// simulation models a platform, an endpoint and the attempts at one keyed
// request on virtual time. Each call succeeds, is lost, is delayed or is
// refused, as drawn.
type simulation struct {
	t         *rapid.T
	disabled  mechanisms
	now       time.Time
	rand      *rand.Rand
	resumable bool // The endpoint retains the answer for resuming.
	lookups   bool // Some attempts find no endpoint.
	claim     *Claim
	version   uint64
	created   time.Time
	attempts  []*attempt
	delayed   []Action // Writes that may still take effect.
	runs      []run
	violation error
}

type run struct {
	writer string
	answer string
}

type attempt struct {
	writer    string
	c         *Claimer
	pending   []Action // Issued and not answered yet.
	alive     bool
	runCount  int
	responses []Action
}

func newSimulation(t *rapid.T, disabled mechanisms) *simulation {
	seed := uint64(seeder.DrawUniform(t, "seed", 1<<20))
	return &simulation{t: t, disabled: disabled, now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, 1)), resumable: rapid.Bool().Draw(t, "streams")}
}

func (s *simulation) pick(label string, n int) int { return seeder.DrawUniform(s.t, label, n) }

func (s *simulation) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

func (s *simulation) startAttempt() {
	writer := fmt.Sprintf("w%d", len(s.attempts))
	cfg := DefaultSettings()
	cfg.disabled = s.disabled
	req := Request{
		Customer: "registro", Key: "k", Fingerprint: "f",
		Writer: writer, Holder: writer,
		Target:   Target{Endpoint: "e0", AttemptID: writer + "-0", Resumable: s.resumable},
		Deadline: s.now.Add(30 * time.Second),
	}
	a := &attempt{writer: writer, c: New(cfg, req, s.rand), alive: true}
	s.attempts = append(s.attempts, a)
	if s.lookups && s.pick("lookup", 2) == 0 {
		s.deliver(a, Lookup{})
		return
	}
	s.deliver(a, Begin{})
}

// deliver passes ev to a. A failed assertion of the Claimer is a violation.
func (s *simulation) deliver(a *attempt, ev Event) {
	defer func() {
		if r := recover(); r != nil {
			s.fail("assertion failed: %v", r)
		}
	}()
	for _, act := range a.c.Handle(s.now, ev) {
		switch act := act.(type) {
		case Answer:
			a.responses = append(a.responses, act)
			s.checkAnswer(a, act)
		case Refuse:
			a.responses = append(a.responses, act)
			s.checkNotRun(a, act.Outcome)
			s.checkNotSendable(a, act.Reason)
		case Done:
		default:
			a.pending = append(a.pending, act)
		}
	}
	if len(a.pending) > 1 {
		s.fail("%s has %d outstanding actions", a.writer, len(a.pending))
	}
	if len(a.responses) > 1 {
		s.fail("%s got several responses: %v", a.writer, a.responses)
	}
}

func (s *simulation) checkNotRun(a *attempt, o Outcome) {
	if o == OutcomeNotRun && a.runCount > 0 {
		s.fail("%s got the outcome not_run although it ran", a.writer)
	}
}

func (s *simulation) checkNotSendable(a *attempt, r Reason) {
	if r == ReasonNotSendable && s.claim != nil && s.claim.State != StateNotRun {
		s.fail("%s got no answer from the claim %+v", a.writer, *s.claim)
	}
}

func (s *simulation) checkAnswer(a *attempt, act Answer) {
	s.checkNotRun(a, act.Outcome)
	if act.Outcome != OutcomeRan {
		return
	}
	if len(s.runs) == 0 {
		s.fail("%s got the outcome ran although nothing ran", a.writer)
		return
	}
	if act.Stored != nil && string(act.Stored.Body) != s.runs[0].answer {
		s.fail("%s got the answer %q", a.writer, act.Stored.Body)
	}
}

// step serves one outstanding action, advances the time, applies a delayed
// write, starts an attempt or crashes one.
func (s *simulation) step() {
	switch k := s.pick("step", 12); {
	case k == 0 && len(s.attempts) < 5:
		s.startAttempt()
	case k == 1 && len(s.delayed) > 0:
		i := s.pick("delayed", len(s.delayed))
		act := s.delayed[i]
		s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
		s.apply(act)
	case k == 2 && len(s.attempts) > 0 && s.pick("crashes", 4) == 0:
		s.attempts[s.pick("crash", len(s.attempts))].alive = false
	case k == 3:
		s.now = s.now.Add(time.Duration(s.pick("ms", 15_000)) * time.Millisecond)
	case len(s.attempts) > 0:
		s.serve(s.attempts[s.pick("attempt", len(s.attempts))])
	}
}

func (s *simulation) serve(a *attempt) {
	if !a.alive || len(a.pending) == 0 {
		return
	}
	act := a.pending[0]
	a.pending = nil
	switch act := act.(type) {
	case Wait:
		s.now = s.now.Add(act.Duration)
		s.deliver(a, Tick{})
	case Create, Update:
		s.serveWrite(a, act)
	case Read:
		s.serveRead(a)
	case Send:
		s.serveSend(a, act)
	case Attach:
		s.serveAttach(a, act)
	}
}

func (s *simulation) serveAttach(a *attempt, act Attach) {
	switch {
	case !s.resumable:
		s.fail("%s attaches to an endpoint without resumable streams", a.writer)
	case s.pick("attach", 4) == 0:
		s.deliver(a, AttachResult{Result: AttachUnreachable})
	case len(s.runs) > 0 && s.runs[0].answer == act.Target.AttemptID:
		s.deliver(a, AttachResult{Result: AttachStreaming})
	default:
		s.deliver(a, AttachResult{Result: AttachNotFound})
	}
}

func (s *simulation) serveWrite(a *attempt, act Action) {
	var res Result
	var version uint64
	switch s.pick("write", 8) {
	case 0:
		res = ResultUnavailable
	case 1: // The write is lost before it takes effect.
		res = ResultUnknown
	case 2: // The write takes effect, and its response is lost.
		s.apply(act)
		res = ResultUnknown
	case 3: // The write takes effect later, if at all.
		s.delayed = append(s.delayed, act)
		res = ResultUnknown
	default:
		res, version = s.apply(act)
	}
	if res == ResultUnknown && s.pick("resolve", 2) == 0 {
		res, version = s.resolve(act)
	}
	if _, ok := act.(Create); ok {
		s.deliver(a, CreateResult{Result: res, Version: version})
		return
	}
	s.deliver(a, UpdateResult{Result: res, Version: version})
}

// resolve models a platform client that reads the object after a write without
// a response: it identifies the write by its writer and number.
func (s *simulation) resolve(act Action) (Result, uint64) {
	var want Claim
	var baseVersion uint64
	switch act := act.(type) {
	case Create:
		want = act.Claim
	case Update:
		want, baseVersion = act.Claim, act.Version
	}
	if s.claim != nil && s.claim.Writer == want.Writer && s.claim.WriteNumber == want.WriteNumber && s.version > baseVersion {
		return ResultOK, s.version
	}
	return ResultUnknown, 0
}

func (s *simulation) apply(act Action) (Result, uint64) {
	switch act := act.(type) {
	case Create:
		if s.claim != nil {
			return ResultExists, 0
		}
		s.created = s.now
		return s.put(act.Claim)
	case Update:
		if s.claim == nil || s.version != act.Version {
			return ResultConflict, 0
		}
		return s.put(act.Claim)
	}
	return ResultUnavailable, 0
}

func (s *simulation) put(c Claim) (Result, uint64) {
	s.claim = &c
	s.version++
	return ResultOK, s.version
}

func (s *simulation) serveRead(a *attempt) {
	switch {
	case s.pick("read", 6) == 0:
		s.deliver(a, ReadResult{Result: ResultUnavailable})
	case s.claim == nil:
		s.deliver(a, ReadResult{Result: ResultNotFound})
	default:
		s.deliver(a, ReadResult{
			Result: ResultOK, Version: s.version, Claim: *s.claim,
			// Membership is advisory and may be wrong.
			HolderAlive: s.pick("alive", 2) == 0,
			Age:         s.now.Sub(s.created),
		})
	}
}

func (s *simulation) serveSend(a *attempt, act Send) {
	if s.now.After(act.Deadline) {
		s.deliver(a, SendResult{Outcome: OutcomeNotRun})
		return
	}
	switch s.pick("send", 6) {
	case 0: // Refused before running.
		s.deliver(a, SendResult{Outcome: OutcomeNotRun})
	case 1: // Refused before running; another endpoint is available.
		next := act.Target
		next.AttemptID += "+"
		s.deliver(a, SendResult{Outcome: OutcomeNotRun, NextTarget: &next})
	case 2: // The request is lost.
		s.deliver(a, SendResult{Outcome: OutcomeUnknown})
	case 3: // The request runs, and its answer is lost.
		s.run(a, act)
		s.deliver(a, SendResult{Outcome: OutcomeUnknown})
	case 4: // The request runs, and the holder crashes.
		s.run(a, act)
		a.alive = false
	default:
		body := s.run(a, act)
		s.deliver(a, SendResult{Outcome: OutcomeRan, Answer: &StoredAnswer{Status: 200, Body: []byte(body)}})
	}
}

func (s *simulation) run(a *attempt, act Send) string {
	if len(s.runs) > 0 {
		s.fail("runs twice: %s after %s", a.writer, s.runs[0].writer)
	}
	a.runCount++
	if s.claim == nil || s.claim.Writer != a.writer || s.claim.Target != act.Target {
		s.fail("%s runs without its claim; found %+v", a.writer, s.claim)
	}
	s.runs = append(s.runs, run{writer: a.writer, answer: act.Target.AttemptID})
	return act.Target.AttemptID
}

// runHistory simulates a random history and returns its first violation.
func runHistory(t *rapid.T, disabled mechanisms, lookups bool) error {
	s := newSimulation(t, disabled)
	s.lookups = lookups
	s.startAttempt()
	steps := 10 + seeder.DrawUniform(t, "steps", 120)
	for range steps {
		s.step()
		if s.violation != nil {
			return s.violation
		}
	}
	s.quiesce()
	return s.violation
}

// quiesce finishes all attempts without further faults. If every attempt
// reported that it did not run, all claims are settled, and a new attempt must
// run.
func (s *simulation) quiesce() {
	for _, act := range s.delayed {
		s.apply(act)
	}
	s.delayed = nil
	crashed := false
	for _, a := range s.attempts {
		crashed = crashed || !a.alive
		for a.alive && !a.c.Finished() {
			s.serveWithoutFaults(a)
		}
	}
	if crashed || len(s.runs) > 0 {
		return
	}
	for _, a := range s.attempts {
		if len(a.responses) == 0 {
			return
		}
		if ans, ok := a.responses[0].(Answer); ok && ans.Outcome == OutcomeUnknown && !ans.Replayed {
			return
		}
	}
	s.lookups = false
	s.startAttempt()
	last := s.attempts[len(s.attempts)-1]
	for !last.c.Finished() {
		s.serveWithoutFaults(last)
	}
	if last.runCount != 1 {
		s.fail("nothing ran, but a repeat got %v over %+v", last.responses, s.claim)
	}
}

func (s *simulation) serveWithoutFaults(a *attempt) {
	if len(a.pending) == 0 {
		s.fail("%s is not finished and has no outstanding action", a.writer)
		a.alive = false
		return
	}
	act := a.pending[0]
	a.pending = nil
	switch act := act.(type) {
	case Wait:
		s.deliver(a, Tick{})
	case Create:
		res, v := s.apply(act)
		s.deliver(a, CreateResult{Result: res, Version: v})
	case Update:
		res, v := s.apply(act)
		s.deliver(a, UpdateResult{Result: res, Version: v})
	case Read:
		if s.claim == nil {
			s.deliver(a, ReadResult{Result: ResultNotFound})
			return
		}
		s.deliver(a, ReadResult{Result: ResultOK, Version: s.version, Claim: *s.claim, HolderAlive: true})
	case Attach:
		s.deliver(a, AttachResult{Result: AttachNotFound})
	case Send:
		if s.now.After(act.Deadline) {
			s.deliver(a, SendResult{Outcome: OutcomeNotRun})
			return
		}
		body := s.run(a, act)
		s.deliver(a, SendResult{Outcome: OutcomeRan, Answer: &StoredAnswer{Status: 200, Body: []byte(body)}})
	}
}
