package placer

import (
	"time"

	"monsoonspar.example/state/registrar"
)

const (
	maxNews     = 4096            // News that wait to be taken; more mean that nobody takes them.
	remoteKept  = 3 * time.Second // A peer's job that no report shows for this long has ended unnoticed.
	remoteLimit = 60 * time.Second
)

// tell adds news for the peers. The mutex is held.
func (p *Placer) tell(n News) { p.news = append(p.news, n) }

// tellPlaced adds the news that a job was placed. The mutex is held.
func (p *Placer) tellPlaced(r *running, e *engine) {
	n := newsOf(&r.job, Placed)
	n.Engine, n.Backup, n.Running = e.endpoint.Identity, r.backup, !r.started.IsZero()
	p.tell(n)
}

// leaveAndTell takes a job off its engine and tells the peers that it runs
// nowhere. The mutex is held.
func (p *Placer) leaveAndTell(id string) {
	p.leave(id)
	p.tell(News{JobID: id, Event: Ended})
}

// newsOf returns news of an event with all that peers know of the job.
func newsOf(job *Job, event Event) News {
	return News{
		JobID: job.ID, Event: event, Prompt: job.Prompt, Limit: job.MaxTokens, Produced: job.Produced, Rank: job.Rank, Model: job.Class.Model,
	}
}

// TakeNews returns the news since the last call.
func (p *Placer) TakeNews() []News {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := p.news
	p.news = nil
	if len(news) > maxNews {
		news = news[len(news)-maxNews:]
	}
	return news
}

// Learn takes the news of a peer.
func (p *Placer) Learn(news []News, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range news {
		p.learn(&news[i], now)
	}
}

// learn takes one piece of news. The mutex is held.
func (p *Placer) learn(n *News, now time.Time) {
	if e := p.engines[p.jobs[n.JobID]]; e != nil && e.runs[n.JobID] != nil && !e.runs[n.JobID].remote {
		return // The daemon knows its own jobs best.
	}
	delete(p.others, n.JobID)
	switch n.Event {
	case Queued:
		job := n.job()
		job.FirstBy = now.Add(n.FirstIn)
		p.others[n.JobID] = &waiting{job: job, since: now, domain: n.Domain, told: now, remote: true}
	case Placed:
		p.leave(n.JobID)
		p.unexpect(n.JobID)
		e := p.engines[n.Engine]
		if e == nil {
			return
		}
		job := n.job()
		r := p.join(e, &job, n.Backup, now)
		r.remote = true
		if n.Running {
			r.started = now
		}
	case Arriving:
		p.unexpect(n.JobID)
		if e := p.engines[n.Engine]; e != nil {
			job := n.job()
			e.arrival = now
			p.expect(e, &job, p.moments(&job), now)
		}
	case Started:
		p.begun(n.JobID, now)
	case Ended:
		if e := p.engines[p.jobs[n.JobID]]; e != nil && e.runs[n.JobID] != nil && n.Tokens > 0 {
			p.lengths.Record(e.runs[n.JobID].job.Class, n.Tokens)
		}
		p.leave(n.JobID)
		p.unexpect(n.JobID)
		p.endedAt[n.JobID] = now
	}
}

// job returns the job that the news are about, as far as peers know it: what
// newsOf has taken of it.
func (n *News) job() Job {
	return Job{ID: n.JobID, Class: ClassOf(n.Model, n.Rank), Prompt: n.Prompt, MaxTokens: n.Limit, Produced: n.Produced, Rank: n.Rank}
}

// forgetLost drops the jobs of peers on an engine whose end went unnoticed: the
// report does not show them. The mutex is held.
func (p *Placer) forgetLost(e *engine, now time.Time) {
	for id, r := range e.runs {
		if !r.remote || e.known[id] {
			continue
		}
		if age := now.Sub(r.since); age > remoteLimit || (age > remoteKept && e.report.Queued == 0) {
			p.leave(id)
		}
	}
}

// Turn is when a run should leave its engine.
type Turn struct {
	After time.Duration // From now, as far as the sizes of the runs ahead tell.
	Need  time.Duration // For the run itself and those behind it.
	Ahead int           // Runs that go first.
	Mine  bool
}

// Evacuation returns the turns of the runs of an engine that is leaving. All
// daemons that know of the same runs compute the same turns, so that the runs
// follow one another on the link of the engine.
func (p *Placer) Evacuation(id registrar.Identity, linkBytesPerSecond float64, tokenBytes int64, now time.Time) map[string]Turn {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	if e == nil {
		return nil
	}
	return e.turns(p, linkBytesPerSecond/float64(max(tokenBytes, 1)), now)
}
