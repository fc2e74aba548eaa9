package forwarder

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

// Times of asking engines.
const (
	pollInterval = 400 * time.Millisecond  // Of the report of an engine that this daemon asks for all.
	pollFallback = 1500 * time.Millisecond // Age of a report at which a daemon asks itself.
	pollTimeout  = 400 * time.Millisecond
	pollsFailed  = 2 // Reports in a row without an answer that make an engine dead.
	queueTick    = 50 * time.Millisecond
)

// engineList returns the endpoints of services that generate.
func (f *Forwarder) engineList() []registrar.Endpoint {
	t := f.table.Load()
	if t == nil {
		return nil
	}
	var all []registrar.Endpoint
	for _, e := range f.registry.All() {
		if t.Manifest.Services[e.Service].Engine != nil {
			all = append(all, e)
		}
	}
	return all
}

// poll is the state of the polling of one engine.
type poll struct {
	next     time.Time
	busy     bool
	failures int
}

// pollReports asks the engines for their load, and moves the queues and the
// streams of leaving engines on, until ctx ends.
func (f *Forwarder) pollReports(ctx context.Context) {
	polls := map[registrar.Identity]*poll{}
	results := make(chan pollResult, 64)
	for f.clock.Sleep(ctx, queueTick) == nil {
		now := f.clock.Now()
		f.takeResults(polls, results, now)
		present := map[registrar.Identity]bool{}
		living := f.peers.living()
		for _, e := range f.engineList() {
			present[e.Identity] = true
			p := polls[e.Identity]
			if p == nil {
				p = &poll{next: now.Add(time.Duration(f.random() * float64(pollInterval) / 4))}
				polls[e.Identity] = p
			}
			if p.busy || now.Before(p.next) {
				continue
			}
			if !f.shouldAsk(e, living, now) {
				p.next = now.Add(pollInterval / 2)
				continue
			}
			p.busy = true
			p.next = now.Add(time.Duration((0.85 + 0.3*f.random()) * float64(pollInterval)))
			f.spawn(func() { f.askReport(ctx, e, results) })
		}
		for id, p := range polls {
			if !present[id] && !p.busy {
				delete(polls, id)
			}
		}
		f.endpointsChanged(f.registry.Expire(now))
		f.settleQueues(now)
	}
}

// shouldAsk reports whether this daemon asks an engine for its report. One
// daemon does so for all that it talks to, preferably one in the engine's
// failure domain; another one does if its news stay away.
func (f *Forwarder) shouldAsk(e registrar.Endpoint, living []Daemon, now time.Time) bool {
	p := f.knownPlacement(e.Service)
	if p == nil {
		return false
	}
	self := Daemon{Name: f.cfg.Daemon.Name, Domain: f.cfg.Daemon.Domain}
	best, bestScore := self, askScore(self, e)
	for _, d := range living {
		if score := askScore(d, e); score > bestScore {
			best, bestScore = d, score
		}
	}
	return best.Name == self.Name || p.ReportAge(e.Identity, now) > pollFallback
}

// askScore orders the daemons that could ask an engine for its report.
func askScore(d Daemon, e registrar.Endpoint) uint64 {
	score := xxhash.Sum64String(d.Name+"/"+e.Name) >> 1
	if d.Domain == e.Domain {
		score |= 1 << 63
	}
	return score
}

// pollResult is a report or why there is none.
type pollResult struct {
	endpoint registrar.Endpoint
	report   placer.Report
	err      error
}

// askReport asks one engine.
func (f *Forwarder) askReport(ctx context.Context, e registrar.Endpoint, results chan<- pollResult) {
	c, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := f.endpoints.Report(c, e)
	select {
	case results <- pollResult{endpoint: e, report: r, err: err}:
	case <-ctx.Done():
	}
}

// takeResults takes the reports that have come.
func (f *Forwarder) takeResults(polls map[registrar.Identity]*poll, results <-chan pollResult, now time.Time) {
	for {
		select {
		case r := <-results:
			f.takeResult(polls[r.endpoint.Identity], r, now)
		default:
			return
		}
	}
}

// takeResult takes one report.
func (f *Forwarder) takeResult(p *poll, r pollResult, now time.Time) {
	p.busy = false
	f.metrics.count("reports_asked")
	if r.err != nil {
		p.failures++
		if p.failures == pollsFailed {
			f.log.Warn().Err(r.err).Str("endpoint", r.endpoint.Name).Str("addr", r.endpoint.Addr).Msg("forwarder: dependency lost: engine does not report")
		}
		if p.failures >= pollsFailed {
			f.abandonEngine(r.endpoint.Identity, now)
		}
		if pl := f.knownPlacement(r.endpoint.Service); pl != nil {
			pl.MarkUnreachable(r.endpoint.Identity, now)
		}
		p.next = now.Add(pollTimeout / 2)
		return
	}
	if p.failures >= pollsFailed {
		f.log.Info().Str("endpoint", r.endpoint.Name).Msg("forwarder: dependency regained: engine reports")
	}
	p.failures = 0
	if pl := f.knownPlacement(r.endpoint.Service); pl != nil {
		pl.Observe(r.endpoint.Identity, r.report, now)
	}
	f.peers.tellReport(r.endpoint.Service, r.endpoint.Identity, r.report)
	if r.report.ShuttingDown && f.engineLeaves(r.endpoint.Identity, r.report.ShutdownIn, "report") {
		f.peers.tellLeaving(r.endpoint.Identity, r.report.ShutdownIn)
	}
}

// engineLeaves takes the sign that an engine leaves. It reports whether that
// was news.
func (f *Forwarder) engineLeaves(id registrar.Identity, notice time.Duration, source string) bool {
	e, news := f.registry.MarkLeaving(id)
	if !news {
		return false
	}
	f.log.Info().Str("endpoint", id.Name).Dur("leaves_in_ms", notice).Str("source", source).Msg("forwarder: engine leaves")
	f.refreshServices()
	f.evacuate(e, notice)
	return true
}

// settleQueues decides the waiting jobs of all services.
func (f *Forwarder) settleQueues(now time.Time) {
	for _, p := range f.allPlacements() {
		p.settle(now)
	}
}
