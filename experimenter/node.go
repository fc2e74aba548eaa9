package experimenter

import (
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/emulator"
)

// controllerNode runs a Controller at a daemon: it delivers events to the
// controller and dispatches the resulting actions.
type controllerNode struct {
	f          *fleet
	daemon     *daemon
	engine     *engineNode
	controller Controller
	jobs       map[string]*job // By permit id; from Enqueue to Release.
	cacheIndex router.CacheIndex
	nextTickAt time.Duration
}

// dispatch sends the actions to the daemons of the jobs concerned.
func (n *controllerNode) dispatch(actions []admitter.Action) {
	for _, a := range actions {
		j := n.jobs[string(a.ID)]
		if j == nil {
			continue
		}
		n.f.send(n.daemon, j.daemon, func() { j.apply(n, a) })
	}
	n.scheduleTick()
}

// scheduleTick schedules the next Tick, unless an earlier one is scheduled.
func (n *controllerNode) scheduleTick() {
	at := n.controller.NextWake(n.f.now()).Sub(epoch)
	if n.nextTickAt > n.f.loop.Now() && n.nextTickAt <= at {
		return
	}
	at = max(at, n.f.loop.Now()+time.Millisecond)
	n.nextTickAt = at
	n.f.loop.At(at, func() {
		if n.daemon.dead || n.nextTickAt != at {
			return
		}
		n.dispatch(n.controller.Tick(n.f.now()))
	})
}

// request returns the admission request for j.
func (n *controllerNode) request(j *job) admitter.Request {
	r := j.request
	customer := n.f.deployment.Customers[r.customer]
	req := admitter.Request{
		ID:           admitter.PermitID(j.id()),
		Daemon:       j.daemon.name,
		Customer:     customer.Name,
		Model:        "base",
		Kind:         r.kind.Name,
		Weight:       customer.Weight,
		PromptTokens: r.promptTokens,
		Prefix:       r.prefix,
		MaxTokens:    r.kind.MaxTokens,
		Arrived:      epoch.Add(r.arrivedAt),
		Deadline:     epoch.Add(j.deadline),
	}
	if n.cacheIndex.Has(r.prefix) {
		req.CachedTokens = r.kind.PrefixTokens
	}
	if n.f.opt.OmitJobKind {
		req.Kind = ""
	}
	if n.f.policy.ExactLengths {
		n.setExactLength(&req, r.outputTokens)
	}
	return req
}

func (n *controllerNode) enqueue(j *job) {
	n.jobs[j.id()] = j
	if !j.inBacklog {
		j.inBacklog = true
		n.engine.fairness.addBacklog(j.request.customer, 1)
	}
	n.dispatch(n.controller.Enqueue(n.f.now(), n.request(j)))
}

func (n *controllerNode) release(id string, res admitter.Result) {
	n.dispatch(n.controller.Release(n.f.now(), admitter.PermitID(id), res))
	delete(n.jobs, id)
}

// report sends a load report of an engine to all controllers of that engine.
func (f *fleet) report(e *engineNode) {
	if e.engine.Killed() {
		return
	}
	rep := e.engine.Report()
	f.loop.After(f.reportDelay, func() {
		for _, d := range f.daemons {
			n := d.controllers[e.name]
			if n == nil || d.dead || !f.connected(d.domain, e.domain) {
				continue
			}
			n.dispatch(n.controller.Observe(f.now(), n.loadReport(rep)))
		}
	})
}

// loadReport converts rep. With the policy "split", where each daemon admits to
// its own part of the engine, the report is limited to the jobs of this daemon.
func (n *controllerNode) loadReport(rep emulator.Report) admitter.LoadReport {
	r := admitter.LoadReport{
		At:           epoch.Add(rep.At),
		Running:      rep.Running,
		Waiting:      rep.Waiting,
		UsedTokens:   rep.UsedTokens,
		StepTime:     rep.StepTime,
		Preemptions:  rep.Preemptions,
		ShuttingDown: rep.ShuttingDown,
	}
	split := n.f.policy.Name == "split"
	if split {
		r.Running, r.Waiting, r.UsedTokens = 0, 0, 0
	}
	for _, p := range rep.Sequences {
		if split && n.jobs[p.ID] == nil {
			continue
		}
		if split {
			r.Running++
			r.UsedTokens += p.PromptTokens + p.Produced
		}
		r.Sequences = append(r.Sequences, admitter.Sequence{
			ID: admitter.PermitID(p.ID), Produced: p.Produced, PromptTokens: p.PromptTokens,
		})
	}
	return r
}

// publishCache sends the cache events of an engine, delayed and with losses. A
// controller whose index is stale reads the whole history again.
func (f *fleet) publishCache(e *engineNode) {
	var sent []router.CacheEvent
	for _, ev := range e.engine.CacheEvents() {
		c := router.CacheEvent{Seq: ev.Seq, Hash: ev.Hash}
		if !ev.Stored {
			c.Type = router.CacheEvicted
		}
		e.cacheEvents = append(e.cacheEvents, c)
		if f.rnd.Float64() >= cacheEventLoss {
			sent = append(sent, c)
		}
	}
	all, boot := e.cacheEvents, e.bootID()
	f.loop.After(cacheEventDelay, func() {
		for _, d := range f.daemons {
			n := d.controllers[e.name]
			if n == nil || d.dead || !f.connected(d.domain, e.domain) {
				continue
			}
			if n.cacheIndex.Stale() {
				n.cacheIndex.Apply(boot, all)
				continue
			}
			n.cacheIndex.Apply(boot, sent)
		}
	})
}
