package experimenter

import (
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/emulator"
)

// host carries a gate at a daemon: it delivers events and carries out actions.
type host struct {
	f      *fleet
	daemon *daemon
	engine *engineNode
	gate   Gate
	jobs   map[string]*job // By permit id, from Enqueue to Release.
	cache  router.CacheIndex
	wakeAt time.Duration
}

// do sends the actions to the daemons that wait for them.
func (h *host) do(actions []admitter.Action) {
	for _, a := range actions {
		j := h.jobs[string(a.ID)]
		if j == nil {
			continue
		}
		h.f.send(h.daemon, j.daemon, func() { j.act(h, a) })
	}
	h.arm()
}

// arm schedules the next Tick, unless an earlier one is due.
func (h *host) arm() {
	at := h.gate.NextWake(h.f.now()).Sub(epoch)
	if h.wakeAt > h.f.loop.Now() && h.wakeAt <= at {
		return
	}
	at = max(at, h.f.loop.Now()+time.Millisecond)
	h.wakeAt = at
	h.f.loop.At(at, func() {
		if h.daemon.dead || h.wakeAt != at {
			return
		}
		h.do(h.gate.Tick(h.f.now()))
	})
}

// request describes j to the gate.
func (h *host) request(j *job) admitter.Request {
	r := j.request
	customer := h.f.d.Customers[r.customer]
	req := admitter.Request{
		ID:           admitter.PermitID(j.id()),
		Daemon:       j.daemon.name,
		Customer:     customer.Name,
		Model:        "base",
		Kind:         r.kind.Name,
		Weight:       customer.Weight,
		PromptTokens: r.prompt,
		Prefix:       r.prefix,
		MaxTokens:    r.kind.MaxTokens,
		Arrived:      epoch.Add(r.at),
		Deadline:     epoch.Add(j.deadline),
	}
	if h.cache.Has(r.prefix) {
		req.CachedTokens = r.kind.PrefixTokens
	}
	if h.f.opt.Unnamed {
		req.Kind = ""
	}
	if h.f.policy.Exact {
		h.tellLength(&req, r.output)
	}
	return req
}

func (h *host) enqueue(j *job) {
	h.jobs[j.id()] = j
	if !j.waiting {
		j.waiting = true
		h.engine.fairness.wait(j.request.customer, 1)
	}
	h.do(h.gate.Enqueue(h.f.now(), h.request(j)))
}

func (h *host) release(id string, res admitter.Result) {
	h.do(h.gate.Release(h.f.now(), admitter.PermitID(id), res))
	delete(h.jobs, id)
}

// report sends the load of an engine to those that have a gate for it.
func (f *fleet) report(e *engineNode) {
	if e.engine.Killed() {
		return
	}
	rep := e.engine.Report()
	f.loop.After(f.reportLag, func() {
		for _, d := range f.daemons {
			h := d.hosts[e.name]
			if h == nil || d.dead || !f.reaches(d.domain, e.domain) {
				continue
			}
			h.do(h.gate.Observe(f.now(), h.loadReport(rep)))
		}
	})
}

// loadReport translates rep. A gate that shares the engine with others of its
// kind is shown its own part.
func (h *host) loadReport(rep emulator.Report) admitter.LoadReport {
	r := admitter.LoadReport{
		At:           epoch.Add(rep.At),
		Running:      rep.Running,
		Waiting:      rep.Waiting,
		UsedTokens:   rep.UsedTokens,
		StepTime:     rep.StepTime,
		Preemptions:  rep.Preemptions,
		ShuttingDown: rep.ShuttingDown,
	}
	split := h.f.policy.Name == "split"
	if split {
		r.Running, r.Waiting, r.UsedTokens = 0, 0, 0
	}
	for _, p := range rep.Sequences {
		if split && h.jobs[p.ID] == nil {
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

// publishCache sends the cache events of an engine late and with gaps. A host
// whose index is stale reads all of them again.
func (f *fleet) publishCache(e *engineNode) {
	var sent []router.CacheEvent
	for _, ev := range e.engine.CacheEvents() {
		c := router.CacheEvent{Seq: ev.Seq, Hash: ev.Hash}
		if !ev.Stored {
			c.Type = router.CacheEvicted
		}
		e.cacheLog = append(e.cacheLog, c)
		if f.rnd.Float64() >= cacheLoss {
			sent = append(sent, c)
		}
	}
	all := e.cacheLog
	f.loop.After(cacheLag, func() {
		for _, d := range f.daemons {
			h := d.hosts[e.name]
			if h == nil || d.dead || !f.reaches(d.domain, e.domain) {
				continue
			}
			if h.cache.Stale() {
				h.cache.Apply("1", all)
				continue
			}
			h.cache.Apply("1", sent)
		}
	})
}
