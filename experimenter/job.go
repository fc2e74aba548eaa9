package experimenter

import (
	"fmt"
	"slices"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/emulator"
)

// job is the processing of a request by the fleet, in one or more attempts. It
// implements emulator.Listener.
type job struct {
	f        *fleet
	request  *request
	daemon   *daemon
	deadline time.Duration
	attempt  int
	excluded []string
	ended    bool

	controller *controllerNode // Controller that was asked for a permit, or nil.
	queued     bool            // Enqueue has returned; a refusal before that counts no queue wait.
	inBacklog  bool            // Counted as backlog at the endpoint.
	sequence   *emulator.Sequence

	submittedAt time.Duration
	started     bool
	lastTokenAt time.Duration // Time of the last token, or of submission or first prefill before it.
	preemptedAt time.Duration // Time of the preemption; negative while not preempted.
	stall       time.Duration // Wait for the engine, time preempted, and token gaps beyond TokenGapTarget.
}

// id returns the permit id of the current attempt.
func (j *job) id() string {
	if j.request.retry {
		return fmt.Sprintf("%s-r%d", j.request.id, j.attempt)
	}
	return fmt.Sprintf("%s-%d", j.request.id, j.attempt)
}

// arrive sends r to a random daemon, like the load balancer.
func (f *fleet) arrive(r *request) {
	j := &job{f: f, request: r, deadline: r.arrivedAt + r.slack, preemptedAt: -1}
	if r.retry && f.measured(r) {
		f.metrics.retries++
	}
	f.jobs = append(f.jobs, j)
	if len(f.jobs)%1024 == 0 {
		f.jobs = slices.DeleteFunc(f.jobs, func(j *job) bool { return j.ended })
	}
	j.daemon = f.anyDaemon()
	f.loop.At(j.deadline, j.expire)
	f.loop.After(f.deployment.ClientLatency, j.route)
}

func (f *fleet) anyDaemon() *daemon {
	for {
		d := f.daemons[f.rnd.IntN(len(f.daemons))]
		if !d.dead {
			return d
		}
	}
}

// route selects the candidates and asks their controllers for estimates.
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
		j.refuse(0)
		return
	}
	if f.opt.Routing == RouteAffinity {
		cs = cs[:1]
	}
	nodes := make([]*controllerNode, len(cs))
	estimates := make([]router.Estimate, len(cs))
	attempt := j.attempt
	onEstimates := func() {
		if j.ended || j.attempt != attempt || j.controller != nil {
			return
		}
		j.requestPermit(nodes, estimates)
	}
	for i, c := range cs {
		estimates[i] = router.Estimate{Candidate: c, Refused: true}
		nodes[i] = f.controllerFor(j.daemon, c.Endpoint)
	}
	if f.opt.Routing == RouteSequential || f.opt.Routing == "" {
		j.estimateInSequence(nodes, estimates, 0, onEstimates)
	} else {
		j.estimateInParallel(nodes, estimates, onEstimates)
	}
	f.loop.After(estimateTimeout, onEstimates)
}

// estimateInParallel asks all nodes for an estimate at once.
func (j *job) estimateInParallel(nodes []*controllerNode, estimates []router.Estimate, onEstimates func()) {
	pending := len(nodes)
	for i, n := range nodes {
		if n == nil {
			pending--
			continue
		}
		j.requestEstimate(n, &estimates[i], func() {
			pending--
			if pending == 0 {
				onEstimates()
			}
		})
	}
}

// estimateInSequence asks the nodes for an estimate one after the other, until one
// can grant at once.
func (j *job) estimateInSequence(nodes []*controllerNode, estimates []router.Estimate, i int, onEstimates func()) {
	for i < len(nodes) && nodes[i] == nil {
		i++
	}
	if i == len(nodes) {
		onEstimates()
		return
	}
	j.requestEstimate(nodes[i], &estimates[i], func() {
		if !estimates[i].Refused && estimates[i].Wait <= 0 {
			onEstimates()
			return
		}
		j.estimateInSequence(nodes, estimates, i+1, onEstimates)
	})
}

// requestEstimate stores the estimate of n in dst and calls done.
func (j *job) requestEstimate(n *controllerNode, dst *router.Estimate, done func()) {
	f := j.f
	f.send(j.daemon, n.daemon, func() {
		req := n.request(j)
		estimate := n.controller.Estimate(f.now(), req)
		f.send(n.daemon, j.daemon, func() {
			j.daemon.router.ObserveWait(dst.Candidate.Endpoint, estimate.QueueWait, f.now())
			dst.Wait = estimate.QueueWait
			dst.CachedTokens = req.CachedTokens
			dst.Refused = !estimate.Available
			done()
		})
	})
}

// requestPermit queues the job at the controller with the best estimate.
func (j *job) requestPermit(nodes []*controllerNode, estimates []router.Estimate) {
	best, ok := j.daemon.router.Best(estimates)
	if !ok {
		j.f.loop.After(estimateTimeout, j.route) // No controller is available; retry until the deadline.
		return
	}
	j.enqueueAt(nodes[best])
}

func (j *job) enqueueAt(n *controllerNode) {
	j.controller = n
	j.f.send(j.daemon, n.daemon, func() {
		if !j.ended && j.controller == n {
			n.enqueue(j)
			j.queued = true
		}
	})
}

// apply carries out a decision of the controller.
func (j *job) apply(n *controllerNode, a admitter.Action) {
	if j.ended || j.controller != n || string(a.ID) != j.id() {
		return
	}
	switch a.Kind {
	case admitter.Grant:
		j.submit(a)
	case admitter.Cancel:
		n.engine.engine.Cancel(j.id())
		j.fail()
	case admitter.Refuse:
		if a.Reason == admitter.ReasonShuttingDown {
			j.reroute(n.engine.name)
			return
		}
		j.refuse(a.RetryAfter)
	}
}

// reroute starts another attempt that excludes endpoint.
func (j *job) reroute(endpoint string) {
	j.daemon.router.MarkShuttingDown(endpoint, "")
	j.releasePermit(admitter.Result{})
	j.controller = nil
	j.excluded = append(j.excluded, endpoint)
	j.route()
}

// submit sends the request to the engine.
func (j *job) submit(a admitter.Action) {
	if j.sequence != nil {
		return // Duplicate grant.
	}
	e := j.controller.engine
	if j.daemon.router.ShuttingDown(e.name) {
		j.reroute(e.name)
		return
	}
	j.daemon.router.CheckDispatch(e.name)
	s := &emulator.Sequence{
		ID:           j.id(),
		Priority:     a.EnginePriority,
		PromptTokens: j.request.promptTokens,
		OutputTokens: j.request.outputTokens,
		Prefix:       j.request.prefix,
		PrefixTokens: j.request.kind.PrefixTokens,
		Parts:        j.request.parts,
		Listener:     j,
	}
	j.sequence = s
	j.f.loop.After(j.f.engineLatency(j.daemon, e), func() {
		if j.ended || j.sequence != s {
			return
		}
		j.submittedAt = j.f.loop.Now()
		j.lastTokenAt = j.submittedAt
		j.f.metrics.recordSend(j.request, j.submittedAt)
		if !e.engine.Submit(s) {
			j.sequence = nil
			j.reroute(e.name)
		}
	})
}

// Started records the queue wait of the request.
func (j *job) Started(s *emulator.Sequence) {
	j.started = true
	j.leaveBacklog()
	j.stall += j.f.loop.Now() - j.submittedAt
	j.lastTokenAt = j.f.loop.Now()
	if j.f.measured(j.request) {
		j.f.metrics.started++
		if s.PrefixHit() {
			j.f.metrics.prefixHits++
		}
		j.f.metrics.recordWait(j.request.kind, j.f.loop.Now()-j.request.arrivedAt)
	}
}

// Token records the time since the previous token.
func (j *job) Token(s *emulator.Sequence) {
	now := j.f.loop.Now()
	e := j.controller.engine
	e.fairness.addToken(j.request.customer)
	if s.Produced() > 1 {
		gap := now - j.lastTokenAt
		if j.preemptedAt >= 0 {
			j.stall += now - j.preemptedAt
		} else {
			j.stall += max(0, gap-j.f.deployment.TokenGapTarget)
		}
		if j.f.measured(j.request) {
			record(j.f.metrics.tokenGap, gap)
		}
	}
	j.preemptedAt = -1
	j.lastTokenAt = now
}

// Preempted records the time of the preemption.
func (j *job) Preempted(*emulator.Sequence) {
	if j.preemptedAt < 0 {
		j.preemptedAt = j.f.loop.Now()
	}
	if j.f.measured(j.request) {
		j.f.metrics.preemptions++
	}
}

// Finished ends the request after its last token.
func (j *job) Finished(s *emulator.Sequence) {
	f := j.f
	inTime := f.loop.Now()+f.deployment.ClientLatency <= j.deadline
	switch {
	case !f.measured(j.request):
	case !inTime:
		f.metrics.late++
	default:
		f.metrics.inTime++
		if j.request.retry {
			f.metrics.retriesInTime++
		}
	}
	j.releasePermit(admitter.Result{Produced: s.Produced(), Finished: true})
	j.end()
}

// expire cancels the request at its deadline.
func (j *job) expire() {
	if j.ended {
		return
	}
	if j.f.measured(j.request) {
		j.f.metrics.late++
		if !j.started {
			j.f.metrics.recordWait(j.request.kind, j.f.loop.Now()-j.request.arrivedAt)
		}
	}
	produced := 0
	if j.sequence != nil {
		produced = j.sequence.Produced()
		j.controller.engine.engine.Cancel(j.sequence.ID)
	}
	j.releasePermit(admitter.Result{Produced: produced})
	j.end()
}

// fail ends the request with an incomplete answer.
func (j *job) fail() {
	if j.f.measured(j.request) {
		j.f.metrics.failed++
	}
	produced := 0
	if j.sequence != nil {
		produced = j.sequence.Produced()
	}
	j.releasePermit(admitter.Result{Produced: produced})
	j.end()
}

// refuse ends the request. The client retries once, after retryAfter.
func (j *job) refuse(retryAfter time.Duration) {
	f := j.f
	if f.measured(j.request) {
		f.metrics.refused++
		if !j.request.crashes() {
			f.metrics.soundRefused++
		}
		if j.queued {
			f.metrics.recordWait(j.request.kind, f.loop.Now()-j.request.arrivedAt)
		}
	}
	j.releasePermit(admitter.Result{})
	j.end()
	if j.request.retry || retryAfter <= 0 {
		return
	}
	retry := *j.request
	retry.retry = true
	retry.arrivedAt = f.loop.Now() + retryAfter + f.deployment.ClientLatency
	f.loop.At(retry.arrivedAt, func() { f.arrive(&retry) })
}

// releasePermit reports the end of the attempt to the controller.
func (j *job) releasePermit(res admitter.Result) {
	j.leaveBacklog()
	n := j.controller
	if n == nil {
		return
	}
	id := j.id()
	j.f.send(j.daemon, n.daemon, func() { n.release(id, res) })
}

func (j *job) leaveBacklog() {
	if j.inBacklog {
		j.inBacklog = false
		j.controller.engine.fairness.addBacklog(j.request.customer, -1)
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
		j.stall += now - j.submittedAt
	case j.preemptedAt >= 0:
		j.stall += now - j.preemptedAt
	}
	j.f.metrics.recordStall(j.stall)
}
