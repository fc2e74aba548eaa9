package experimenter

import (
	"fmt"
	"slices"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/emulator"
)

// job is a request on its way through the fleet.
type job struct {
	f        *fleet
	request  *request
	daemon   *daemon
	deadline time.Duration
	attempt  int
	excluded []string
	ended    bool

	host     *host // Where the permit was asked for; nil before.
	queued   bool  // The gate did not answer at once.
	waiting  bool  // Counted as backlog at the endpoint.
	sequence *emulator.Sequence

	submitted time.Duration
	started   bool
	lastToken time.Duration // Of the last token, or when the engine got the request.
	preempted time.Duration // When it lost its memory; negative while it has some.
	stall     time.Duration
}

// id returns the permit id of the present attempt.
func (j *job) id() string {
	if j.request.returned {
		return fmt.Sprintf("%s-r%d", j.request.id, j.attempt)
	}
	return fmt.Sprintf("%s-%d", j.request.id, j.attempt)
}

// arrive hands r to a random daemon, as the balancer does.
func (f *fleet) arrive(r *request) {
	j := &job{f: f, request: r, deadline: r.at + r.slack, preempted: -1}
	if r.returned && f.measured(r) {
		f.m.returned++
	}
	f.jobs = append(f.jobs, j)
	if len(f.jobs)%1024 == 0 {
		f.jobs = slices.DeleteFunc(f.jobs, func(j *job) bool { return j.ended })
	}
	j.daemon = f.anyDaemon()
	f.loop.At(j.deadline, j.expire)
	f.loop.After(f.d.ToClient, j.route)
}

func (f *fleet) anyDaemon() *daemon {
	for {
		d := f.daemons[f.rnd.IntN(len(f.daemons))]
		if !d.dead {
			return d
		}
	}
}

// route picks the candidates and asks their gates for quotes.
func (j *job) route() {
	if j.ended {
		return
	}
	f := j.f
	j.attempt++
	req := router.Request{Target: target, PrefixHash: j.request.prefix, Exclude: j.excluded, NoProbe: true}
	if f.opt.Routing == RouteRandom {
		req.PrefixHash = 0
	}
	cs, err := j.daemon.router.Candidates(req, f.rnd, f.now())
	if err != nil {
		j.refused(0)
		return
	}
	if f.opt.Routing == RouteAffine {
		cs = cs[:1]
	}
	hosts := make([]*host, len(cs))
	quotes := make([]router.Quote, len(cs))
	attempt := j.attempt
	choose := func() {
		if j.ended || j.attempt != attempt || j.host != nil {
			return
		}
		j.choose(hosts, quotes)
	}
	for i, c := range cs {
		quotes[i] = router.Quote{Candidate: c, Refused: true}
		hosts[i] = f.hostOf(j.daemon, c.Endpoint)
	}
	if f.opt.Routing == RouteOrdered || f.opt.Routing == "" {
		j.askInOrder(hosts, quotes, 0, choose)
	} else {
		j.askAll(hosts, quotes, choose)
	}
	f.loop.After(quoteTimeout, choose)
}

// askAll asks all hosts at once.
func (j *job) askAll(hosts []*host, quotes []router.Quote, choose func()) {
	missing := len(hosts)
	for i, h := range hosts {
		if h == nil {
			missing--
			continue
		}
		j.ask(h, &quotes[i], func() {
			missing--
			if missing == 0 {
				choose()
			}
		})
	}
}

// askInOrder asks the hosts one after the other, until one can grant at once.
func (j *job) askInOrder(hosts []*host, quotes []router.Quote, i int, choose func()) {
	for i < len(hosts) && hosts[i] == nil {
		i++
	}
	if i == len(hosts) {
		choose()
		return
	}
	j.ask(hosts[i], &quotes[i], func() {
		if !quotes[i].Refused && quotes[i].Wait <= 0 {
			choose()
			return
		}
		j.askInOrder(hosts, quotes, i+1, choose)
	})
}

// ask fills q with the quote of h and calls done.
func (j *job) ask(h *host, q *router.Quote, done func()) {
	f := j.f
	f.send(j.daemon, h.daemon, func() {
		req := h.request(j)
		quote := h.gate.Estimate(f.now(), req)
		f.send(h.daemon, j.daemon, func() {
			j.daemon.router.ObserveWait(q.Candidate.Endpoint, quote.QueueWait, f.now())
			q.Wait = quote.QueueWait
			q.CachedTokens = req.CachedTokens
			q.Refused = !quote.Available
			done()
		})
	})
}

// choose asks the better gate for a permit.
func (j *job) choose(hosts []*host, quotes []router.Quote) {
	best, ok := j.daemon.router.Best(quotes)
	if !ok {
		j.f.loop.After(quoteTimeout, j.route) // No owner answers; until the deadline.
		return
	}
	j.enqueueAt(hosts[best])
}

func (j *job) enqueueAt(h *host) {
	j.host = h
	j.f.send(j.daemon, h.daemon, func() {
		if !j.ended && j.host == h {
			h.enqueue(j)
			j.queued = true
		}
	})
}

// act carries out a decision of the gate.
func (j *job) act(h *host, a admitter.Action) {
	if j.ended || j.host != h || string(a.ID) != j.id() {
		return
	}
	switch a.Kind {
	case admitter.Grant:
		j.submit(a)
	case admitter.Cancel:
		h.engine.engine.Cancel(j.id())
		j.fail()
	case admitter.Refuse:
		if a.Reason == admitter.ReasonShuttingDown {
			j.goElsewhere(h.engine.name)
			return
		}
		j.refused(a.RetryAfter)
	}
}

// goElsewhere starts another attempt at other endpoints.
func (j *job) goElsewhere(endpoint string) {
	j.daemon.router.MarkLeaving(endpoint, "")
	j.leaveHost(admitter.Result{})
	j.host = nil
	j.excluded = append(j.excluded, endpoint)
	j.route()
}

// submit sends the request to the engine.
func (j *job) submit(a admitter.Action) {
	if j.sequence != nil {
		return // A repeated grant.
	}
	e := j.host.engine
	if j.daemon.router.Leaving(e.name) {
		j.goElsewhere(e.name)
		return
	}
	j.daemon.router.Sent(e.name)
	s := &emulator.Sequence{
		ID:           j.id(),
		Priority:     a.EnginePriority,
		PromptTokens: j.request.prompt,
		OutputTokens: j.request.output,
		Prefix:       j.request.prefix,
		PrefixTokens: j.request.kind.PrefixTokens,
		Listener:     j,
	}
	j.sequence = s
	j.f.loop.After(j.f.engineDelay(j.daemon, e), func() {
		if j.ended || j.sequence != s {
			return
		}
		j.submitted = j.f.loop.Now()
		j.lastToken = j.submitted
		if !e.engine.Submit(s) {
			j.sequence = nil
			j.goElsewhere(e.name)
		}
	})
}

// Started notes the wait of the request.
func (j *job) Started(s *emulator.Sequence) {
	j.started = true
	j.stopWaiting()
	j.stall += j.f.loop.Now() - j.submitted
	j.lastToken = j.f.loop.Now()
	if j.f.measured(j.request) {
		j.f.m.started++
		if s.PrefixHit() {
			j.f.m.hits++
		}
		j.f.m.recordWait(j.request.kind, j.f.loop.Now()-j.request.at)
	}
}

// Token notes the time since the last token.
func (j *job) Token(s *emulator.Sequence) {
	now := j.f.loop.Now()
	e := j.host.engine
	e.fairness.serve(j.request.customer)
	if s.Produced() > 1 {
		gap := now - j.lastToken
		if j.preempted >= 0 {
			j.stall += now - j.preempted
		} else {
			j.stall += max(0, gap-j.f.d.GapTarget)
		}
		if j.f.measured(j.request) {
			record(j.f.m.gap, gap)
		}
	}
	j.preempted = -1
	j.lastToken = now
}

// Preempted notes when the request lost its memory.
func (j *job) Preempted(*emulator.Sequence) {
	if j.preempted < 0 {
		j.preempted = j.f.loop.Now()
	}
	if j.f.measured(j.request) {
		j.f.m.preemptions++
	}
}

// Finished ends the request with its whole answer.
func (j *job) Finished(s *emulator.Sequence) {
	f := j.f
	inTime := f.loop.Now()+f.d.ToClient <= j.deadline
	switch {
	case !f.measured(j.request):
	case !inTime:
		f.m.late++
	default:
		f.m.inTime++
		if j.request.returned {
			f.m.returnedInTime++
		}
	}
	j.leaveHost(admitter.Result{Produced: s.Produced(), Finished: true})
	j.end()
}

// expire gives the request up at its deadline.
func (j *job) expire() {
	if j.ended {
		return
	}
	if j.f.measured(j.request) {
		j.f.m.late++
		if !j.started {
			j.f.m.recordWait(j.request.kind, j.f.loop.Now()-j.request.at)
		}
	}
	produced := 0
	if j.sequence != nil {
		produced = j.sequence.Produced()
		j.host.engine.engine.Cancel(j.sequence.ID)
	}
	j.leaveHost(admitter.Result{Produced: produced})
	j.end()
}

// fail ends the request with a part of its answer.
func (j *job) fail() {
	if j.f.measured(j.request) {
		j.f.m.failed++
	}
	produced := 0
	if j.sequence != nil {
		produced = j.sequence.Produced()
	}
	j.leaveHost(admitter.Result{Produced: produced})
	j.end()
}

// refused ends the request; its caller comes back once at the time told.
func (j *job) refused(retryAfter time.Duration) {
	f := j.f
	if f.measured(j.request) {
		f.m.refused++
		if j.queued {
			f.m.recordWait(j.request.kind, f.loop.Now()-j.request.at)
		}
	}
	j.leaveHost(admitter.Result{})
	j.end()
	if j.request.returned || retryAfter <= 0 {
		return
	}
	again := *j.request
	again.returned = true
	again.at = f.loop.Now() + retryAfter + f.d.ToClient
	f.loop.At(again.at, func() { f.arrive(&again) })
}

// leaveHost tells the gate that the attempt is over.
func (j *job) leaveHost(res admitter.Result) {
	j.stopWaiting()
	h := j.host
	if h == nil {
		return
	}
	id := j.id()
	j.f.send(j.daemon, h.daemon, func() { h.release(id, res) })
}

func (j *job) stopWaiting() {
	if j.waiting {
		j.waiting = false
		j.host.engine.fairness.wait(j.request.customer, -1)
	}
}

func (j *job) end() {
	j.ended = true
	if j.sequence == nil || !j.f.measured(j.request) {
		return
	}
	now := j.f.loop.Now()
	switch {
	case !j.started:
		j.stall += now - j.submitted
	case j.preempted >= 0:
		j.stall += now - j.preempted
	}
	j.f.m.recordStall(j.stall)
}
