package forwarder

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/coordination/reporter"
	"monsoonspar.example/state/registrar"
)

// Timing of the polls of engines.
const (
	pollInterval     = 400 * time.Millisecond  // Interval for polling an engine on behalf of all daemons.
	maxReportAge     = 1500 * time.Millisecond // A daemon polls an engine itself if its newest report is older.
	pollTimeout      = 400 * time.Millisecond
	maxFailedPolls   = 2                      // Consecutive failed polls after which an engine counts as unresponsive.
	pollLoopInterval = 50 * time.Millisecond  // Interval for processing the queues of the placers.
	idlePollInterval = 100 * time.Millisecond // The same while no job is queued; a new one ends the wait, and so does a report.
)

// engines returns the endpoints of engine services.
func (f *Forwarder) engines() []registrar.Endpoint {
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

// enginePoll is the state of polling one engine.
type enginePoll struct {
	nextAt     time.Time // Zero before the first decision.
	inProgress bool
	failures   int
}

// pollReports polls the engines for their load until ctx ends. In the same loop it
// expires endpoints, checks the paths of silent streams, processes the queues of the placers and notices pauses of the
// daemon.
func (f *Forwarder) pollReports(ctx context.Context) {
	polls := map[registrar.Identity]*enginePoll{}
	results := make(chan pollResult, 64)
	base := f.clock.Now().Add(-time.Duration(f.random() * float64(pollInterval)))
	f.recordWake(0, f.clock.Now())
	for {
		delay := f.pollDelay()
		if f.pollWake.wait(ctx, f.clock, delay) != nil {
			return
		}
		now := f.clock.Now()
		f.recordWake(delay, now)
		f.handlePollResults(polls, results, now)
		f.startPolls(ctx, polls, results, base, now)
		f.handleEndpointChanges(f.registry.Expire(now))
		f.checkSilentStreams(now)
		f.checkWarmUps(now)
		f.expireWarmUps(now)
		f.processQueues(now)
	}
}

// recordWake records that a loop has woken up, which was to wait for delay.
func (f *Forwarder) recordWake(delay time.Duration, now time.Time) {
	if pause := f.pauses.Wake(delay, now); pause > 0 {
		f.metrics.count("daemon_pauses")
		f.metrics.add("daemon_paused_ms", int(pause.Milliseconds()))
		f.metrics.observe("daemon_pause", pause)
	}
	if r, ok := f.pauses.Report(now); ok {
		f.log.Warn().Dur("paused_ms", r.Sum).Dur("longest_ms", r.Longest).Int("pauses", r.Count).Dur("since_ms", now.Sub(r.Since)).Msg("forwarder: daemon did not run")
	}
}

// pollDelay returns the time until the next round of pollReports, unless something ends the wait.
func (f *Forwarder) pollDelay() time.Duration {
	for _, p := range f.allPlacers() {
		if p.QueueLength() > 0 {
			return pollLoopInterval
		}
	}
	return idlePollInterval
}

// startPolls starts the polls that are due. Regular polls are due at the same times after base.
func (f *Forwarder) startPolls(ctx context.Context, polls map[registrar.Identity]*enginePoll, results chan<- pollResult, base, now time.Time) {
	engines := f.engines()
	decide := f.pollDecisions(engines)
	present := make(map[registrar.Identity]bool, len(engines))
	for _, e := range engines {
		present[e.Identity] = true
		p := polls[e.Identity]
		if p == nil {
			p = &enginePoll{}
			polls[e.Identity] = p
		}
		if p.inProgress || now.Before(p.nextAt) {
			continue
		}
		if !f.shouldPoll(e, decide(e), now) {
			p.nextAt = now.Add(pollInterval / 2)
			continue
		}
		p.inProgress = true
		p.nextAt = nextPoll(base, now, f.pollIntervalOf(e))
		f.spawn(func() { f.pollEngine(ctx, e, results) })
	}
	for id, p := range polls {
		if !present[id] && !p.inProgress {
			delete(polls, id)
		}
	}
}

// nextPoll returns the time of the next poll, a multiple of the interval after base. Engines with the
// same interval are polled at the same times, so that their reports go in one message.
func nextPoll(base, now time.Time, interval time.Duration) time.Time {
	next := base.Add(now.Sub(base).Truncate(interval) + interval)
	if next.Sub(now) < interval/2 {
		next = next.Add(interval)
	}
	return next
}

// pollDecisions returns a function that decides whether this daemon polls an engine of the given
// ones.
func (f *Forwarder) pollDecisions(engines []registrar.Endpoint) func(registrar.Endpoint) reporter.Polls {
	inDomain := map[string]int{}
	for i := range engines {
		inDomain[engines[i].Domain]++
	}
	var reachable []reporter.Daemon
	for _, d := range f.peers.reachablePeers() {
		reachable = append(reachable, reporter.Daemon(d))
	}
	known := map[reporter.Group]reporter.Polls{}
	return func(e registrar.Endpoint) reporter.Polls {
		g := reporter.GroupOf(e, inDomain[e.Domain])
		p, ok := known[g]
		if !ok {
			p = reporter.PollsOf(g, reporter.Daemon(f.cfg.Daemon.daemon()), reachable)
			known[g] = p
		}
		return p
	}
}

// shouldPoll reports whether this daemon should poll an engine. One daemon does so on
// behalf of its peers, preferably one in the failure domain of the engine. The others
// poll the engine only if they have received no report for maxReportAge. An engine that
// is deferred gets no polls.
func (f *Forwarder) shouldPoll(e registrar.Endpoint, decision reporter.Polls, now time.Time) bool {
	p := f.knownPlacer(e.Service)
	if p == nil || f.isDeferred(e, now) {
		return false
	}
	return decision.Regular() || decision.Due(p.ReportAge(e.Identity, now), f.reportAgeLimit(e))
}

// Limits of finding out whether an engine still runs.
const (
	aliveTimeout  = time.Second
	aliveAttempts = 2 // An idle connection may have been closed.
)

// stillRuns reports whether the process of an engine answers a poll. One that has asked for
// no requests is not polled.
func (f *Forwarder) stillRuns(ctx context.Context, e registrar.Endpoint) bool {
	if f.isDeferred(e, f.clock.Now()) {
		return false
	}
	c, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	for range aliveAttempts {
		f.countPoll(c, e)
		r, err := f.endpoints.Report(c, e)
		f.observeNotice(e, r.Notice)
		if err == nil {
			return r.Started == 0 || e.Started == 0 || r.Started == e.Started
		}
		f.log.Debug().Err(err).Str("endpoint", e.Name).Msg("forwarder: engine does not answer whether it still runs")
	}
	return false
}

// pollResult is the report of an engine, or the error of the poll.
type pollResult struct {
	endpoint registrar.Endpoint
	report   placer.Report
	deferred bool // The engine has refused the poll and named a time to return.
	err      error
}

// pollEngine requests the report of one engine.
func (f *Forwarder) pollEngine(ctx context.Context, e registrar.Endpoint, results chan<- pollResult) {
	c, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	_, limited := f.limits.Limit(e.Identity)
	f.countPoll(c, e)
	r, err := f.endpoints.Report(c, e)
	f.observeNamedLimit(e, r.RequestLimit, limited)
	if err != nil { // Otherwise the report has the notice, and the time until the engine ends.
		f.observeNotice(e, r.Notice)
	}
	select {
	case results <- pollResult{endpoint: e, report: r.Report, deferred: r.Notice.RetryAfter > 0, err: err}:
		f.pollWake.wake()
	case <-ctx.Done():
	}
}

// countPoll counts a poll of an engine that limits its requests. Polls of cold engines are not
// counted.
func (f *Forwarder) countPoll(ctx context.Context, e registrar.Endpoint) {
	if _, cold := f.coldRate(e, f.clock.Now()); !cold {
		f.acquireGrant(ctx, e, limiter.Sent)
	}
}

// handlePollResults handles the results that are available.
func (f *Forwarder) handlePollResults(polls map[registrar.Identity]*enginePoll, results <-chan pollResult, now time.Time) {
	for {
		select {
		case r := <-results:
			f.handlePollResult(polls[r.endpoint.Identity], r, now)
		default:
			return
		}
	}
}

// handlePollResult handles the result of one poll.
func (f *Forwarder) handlePollResult(p *enginePoll, r pollResult, now time.Time) {
	p.inProgress = false
	f.metrics.count("reports_asked")
	if r.err != nil && r.deferred { // The engine has answered.
		return
	}
	if r.err != nil {
		p.failures++
		if p.failures == maxFailedPolls {
			f.log.Warn().Err(r.err).Str("endpoint", r.endpoint.Name).Str("addr", r.endpoint.Addr).Msg("forwarder: dependency lost: engine does not answer polls for its report")
		}
		if p.failures >= maxFailedPolls {
			f.replaceUnresponsive(r.endpoint.Identity, errors.Is(r.err, syscall.ECONNREFUSED), now)
		}
		if pl := f.knownPlacer(r.endpoint.Service); pl != nil {
			pl.MarkUnreachable(r.endpoint.Identity, now)
		}
		p.nextAt = now.Add(pollTimeout / 2)
		if p.failures >= maxFailedPolls { // The engine counts as unresponsive already.
			p.nextAt = now.Add(max(pollTimeout, f.pollIntervalOf(r.endpoint)) / 2)
		}
		return
	}
	if p.failures >= maxFailedPolls {
		f.log.Info().Str("endpoint", r.endpoint.Name).Msg("forwarder: dependency regained: engine answers polls for its report")
	}
	p.failures = 0
	if pl := f.knownPlacer(r.endpoint.Service); pl != nil {
		pl.Observe(r.endpoint.Identity, r.report, now)
	}
	f.peers.queueReport(r.endpoint.Service, r.endpoint.Identity, r.report)
	if r.report.ShuttingDown && f.handleShutdown(r.endpoint.Identity, r.report.ShutdownIn, "report") {
		f.peers.queueShutdown(r.endpoint.Identity, r.report.ShutdownIn)
	}
}

// processQueues delivers the outcomes of queued jobs of all services.
func (f *Forwarder) processQueues(now time.Time) {
	denied := f.deniedEngines(now)
	for service, p := range f.allPlacers() {
		p.SetLimited(denied)
		p.deliverOutcomes(now)
		f.logSpeeds(service, p, now)
	}
}
