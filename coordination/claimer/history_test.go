package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"monsoonspar.example/state/seeder"
)

// world is a platform, an endpoint and the attempts of one keyed request, on
// virtual time. Every call is served, lost, delayed or refused as drawn.
type world struct {
	t        *rapid.T
	off      mechanisms
	now      time.Time
	rand     *rand.Rand
	streams  bool // The endpoint keeps the answer for resuming.
	claim    *Claim
	version  uint64
	created  time.Time
	attempts []*attempt
	delayed  []Action // Writes that may still take effect.
	runs     []run
	broken   error
}

type run struct {
	writer string
	answer string
}

type attempt struct {
	writer  string
	c       *Claimer
	pending []Action // Asked for and not yet answered.
	alive   bool
	ran     int
	told    []Action
}

func newWorld(t *rapid.T, off mechanisms) *world {
	seed := uint64(seeder.Pick(t, "seed", 1<<20))
	return &world{t: t, off: off, now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, 1)), streams: rapid.Bool().Draw(t, "streams")}
}

func (w *world) pick(label string, n int) int { return seeder.Pick(w.t, label, n) }

func (w *world) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
	}
}

func (w *world) start() {
	writer := fmt.Sprintf("w%d", len(w.attempts))
	cfg := DefaultSettings()
	cfg.off = w.off
	req := Request{
		Customer: "registro", Key: "k", Fingerprint: "f",
		Writer: writer, Holder: writer,
		Target:   Target{Endpoint: "e0", Generation: writer + "-0", Resumable: w.streams},
		Deadline: w.now.Add(30 * time.Second),
	}
	a := &attempt{writer: writer, c: New(cfg, req, w.rand), alive: true}
	w.attempts = append(w.attempts, a)
	w.feed(a, Begin{})
}

// feed gives ev to a. A violation that the program asserts fails the history.
func (w *world) feed(a *attempt, ev Event) {
	defer func() {
		if r := recover(); r != nil {
			w.fail("asserted: %v", r)
		}
	}()
	for _, act := range a.c.Handle(w.now, ev) {
		switch act := act.(type) {
		case Answer:
			a.told = append(a.told, act)
			w.checkAnswer(a, act)
		case Refuse:
			a.told = append(a.told, act)
			w.checkNotRun(a, act.Outcome)
		case Done:
		default:
			a.pending = append(a.pending, act)
		}
	}
	if len(a.pending) > 1 {
		w.fail("%s asks for %d things at once", a.writer, len(a.pending))
	}
	if len(a.told) > 1 {
		w.fail("%s was told %v", a.writer, a.told)
	}
}

func (w *world) checkNotRun(a *attempt, o Outcome) {
	if o == OutcomeNotRun && a.ran > 0 {
		w.fail("%s is told not run and ran", a.writer)
	}
}

func (w *world) checkAnswer(a *attempt, act Answer) {
	w.checkNotRun(a, act.Outcome)
	if act.Outcome != OutcomeRan {
		return
	}
	if len(w.runs) == 0 {
		w.fail("%s is told ran and nothing ran", a.writer)
		return
	}
	if act.Stored != nil && string(act.Stored.Body) != w.runs[0].answer {
		w.fail("%s is given the answer %q", a.writer, act.Stored.Body)
	}
}

// step serves one outstanding action, or lets time, a delayed write, a new
// attempt or a crash come in between.
func (w *world) step() {
	switch k := w.pick("step", 12); {
	case k == 0 && len(w.attempts) < 5:
		w.start()
	case k == 1 && len(w.delayed) > 0:
		i := w.pick("delayed", len(w.delayed))
		act := w.delayed[i]
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
		w.apply(act)
	case k == 2 && len(w.attempts) > 0 && w.pick("crashes", 4) == 0:
		w.attempts[w.pick("crash", len(w.attempts))].alive = false
	case k == 3:
		w.now = w.now.Add(time.Duration(w.pick("ms", 15_000)) * time.Millisecond)
	case len(w.attempts) > 0:
		w.serve(w.attempts[w.pick("attempt", len(w.attempts))])
	}
}

func (w *world) serve(a *attempt) {
	if !a.alive || len(a.pending) == 0 {
		return
	}
	act := a.pending[0]
	a.pending = nil
	switch act := act.(type) {
	case Wait:
		w.now = w.now.Add(act.Duration)
		w.feed(a, Tick{})
	case Create, Update:
		w.serveWrite(a, act)
	case Read:
		w.serveRead(a)
	case Send:
		w.serveSend(a, act)
	case Attach:
		w.serveAttach(a, act)
	}
}

func (w *world) serveAttach(a *attempt, act Attach) {
	switch {
	case !w.streams:
		w.fail("%s attaches to a plain service", a.writer)
	case w.pick("attach", 4) == 0:
		w.feed(a, AttachResult{Result: AttachUnreachable})
	case len(w.runs) > 0 && w.runs[0].answer == act.Target.Generation:
		w.feed(a, AttachResult{Result: AttachStreaming})
	default:
		w.feed(a, AttachResult{Result: AttachGone})
	}
}

func (w *world) serveWrite(a *attempt, act Action) {
	var res Result
	var version uint64
	switch w.pick("write", 8) {
	case 0:
		res = ResultUnavailable
	case 1: // Lost before it took effect.
		res = ResultLost
	case 2: // Takes effect, and the answer is lost.
		w.apply(act)
		res = ResultLost
	case 3: // Takes effect later, if at all.
		w.delayed = append(w.delayed, act)
		res = ResultLost
	default:
		res, version = w.apply(act)
	}
	if res == ResultLost && w.pick("resolve", 2) == 0 {
		res, version = w.resolve(act)
	}
	if _, ok := act.(Create); ok {
		w.feed(a, CreateResult{Result: res, Version: version})
		return
	}
	w.feed(a, UpdateResult{Result: res, Version: version})
}

// resolve is what a client of the platform does that reads a write back which
// had no answer: it finds the write by its writer and number.
func (w *world) resolve(act Action) (Result, uint64) {
	var want Claim
	var over uint64
	switch act := act.(type) {
	case Create:
		want = act.Claim
	case Update:
		want, over = act.Claim, act.Version
	}
	if w.claim != nil && w.claim.Writer == want.Writer && w.claim.Write == want.Write && w.version > over {
		return ResultOK, w.version
	}
	return ResultLost, 0
}

func (w *world) apply(act Action) (Result, uint64) {
	switch act := act.(type) {
	case Create:
		if w.claim != nil {
			return ResultExists, 0
		}
		w.created = w.now
		return w.put(act.Claim)
	case Update:
		if w.claim == nil || w.version != act.Version {
			return ResultConflict, 0
		}
		return w.put(act.Claim)
	}
	return ResultUnavailable, 0
}

func (w *world) put(c Claim) (Result, uint64) {
	w.claim = &c
	w.version++
	return ResultOK, w.version
}

func (w *world) serveRead(a *attempt) {
	switch {
	case w.pick("read", 6) == 0:
		w.feed(a, ReadResult{Result: ResultUnavailable})
	case w.claim == nil:
		w.feed(a, ReadResult{Result: ResultNotFound})
	default:
		w.feed(a, ReadResult{
			Result: ResultOK, Version: w.version, Claim: *w.claim,
			// Membership is advisory and may be wrong.
			HolderAlive: w.pick("alive", 2) == 0,
			Age:         w.now.Sub(w.created),
		})
	}
}

func (w *world) serveSend(a *attempt, act Send) {
	if w.now.After(act.By) {
		w.feed(a, SendResult{Outcome: OutcomeNotRun})
		return
	}
	switch w.pick("send", 6) {
	case 0: // Refused before running.
		w.feed(a, SendResult{Outcome: OutcomeNotRun})
	case 1: // Refused before running; another endpoint is at hand.
		next := act.Target
		next.Generation += "+"
		w.feed(a, SendResult{Outcome: OutcomeNotRun, Next: &next})
	case 2: // Lost on the way.
		w.feed(a, SendResult{Outcome: OutcomeUnknown})
	case 3: // Runs, and the answer is lost.
		w.run(a, act)
		w.feed(a, SendResult{Outcome: OutcomeUnknown})
	case 4: // Runs while the holder dies.
		w.run(a, act)
		a.alive = false
	default:
		body := w.run(a, act)
		w.feed(a, SendResult{Outcome: OutcomeRan, Answer: &StoredAnswer{Status: 200, Body: []byte(body)}})
	}
}

func (w *world) run(a *attempt, act Send) string {
	if len(w.runs) > 0 {
		w.fail("runs twice: %s after %s", a.writer, w.runs[0].writer)
	}
	a.ran++
	if w.claim == nil || w.claim.Writer != a.writer || w.claim.Target != act.Target {
		w.fail("runs without its claim: %s over %+v", a.writer, w.claim)
	}
	w.runs = append(w.runs, run{writer: a.writer, answer: act.Target.Generation})
	return act.Target.Generation
}

// history plays a random history and returns the first violation.
func history(t *rapid.T, off mechanisms) error {
	w := newWorld(t, off)
	w.start()
	steps := 10 + seeder.Pick(t, "steps", 120)
	for range steps {
		w.step()
		if w.broken != nil {
			return w.broken
		}
	}
	w.quiesce()
	return w.broken
}

// quiesce lets everything end without further faults. A key whose attempts all
// said that they did not run, and whose claims are all settled, can be run.
func (w *world) quiesce() {
	for _, act := range w.delayed {
		w.apply(act)
	}
	w.delayed = nil
	crashed := false
	for _, a := range w.attempts {
		crashed = crashed || !a.alive
		for a.alive && !a.c.Finished() {
			w.serveWell(a)
		}
	}
	if crashed || len(w.runs) > 0 {
		return
	}
	for _, a := range w.attempts {
		if len(a.told) == 0 {
			return
		}
		if ans, ok := a.told[0].(Answer); ok && ans.Outcome == OutcomeUnknown && !ans.Replayed {
			return
		}
	}
	w.start()
	last := w.attempts[len(w.attempts)-1]
	for !last.c.Finished() {
		w.serveWell(last)
	}
	if last.ran != 1 {
		w.fail("nothing ran, and a repeat is told %v over %+v", last.told, w.claim)
	}
}

func (w *world) serveWell(a *attempt) {
	if len(a.pending) == 0 {
		w.fail("%s waits for nothing", a.writer)
		a.alive = false
		return
	}
	act := a.pending[0]
	a.pending = nil
	switch act := act.(type) {
	case Wait:
		w.feed(a, Tick{})
	case Create:
		res, v := w.apply(act)
		w.feed(a, CreateResult{Result: res, Version: v})
	case Update:
		res, v := w.apply(act)
		w.feed(a, UpdateResult{Result: res, Version: v})
	case Read:
		if w.claim == nil {
			w.feed(a, ReadResult{Result: ResultNotFound})
			return
		}
		w.feed(a, ReadResult{Result: ResultOK, Version: w.version, Claim: *w.claim, HolderAlive: true})
	case Attach:
		w.feed(a, AttachResult{Result: AttachGone})
	case Send:
		if w.now.After(act.By) {
			w.feed(a, SendResult{Outcome: OutcomeNotRun})
			return
		}
		body := w.run(a, act)
		w.feed(a, SendResult{Outcome: OutcomeRan, Answer: &StoredAnswer{Status: 200, Body: []byte(body)}})
	}
}
