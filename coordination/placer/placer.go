package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/estimator"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Costs are in milliseconds of delay to the first event, and memory limits in
// fractions of an engine's memory.
const (
	prefillSlowdown   = 2.0  // Factor on the prefill time, since prefill alternates with the decode steps of other sequences.
	sequenceCostMs    = 30.0 // A sequence slows the steps of the others and is one more to migrate when the engine shuts down.
	lowPeak           = 0.3  // An engine with a lower forecast peak counts as empty.
	memoryCostMs      = 3000 // Per unit of forecast peak above lowPeak.
	coldCostMs        = 300  // An engine is slow just after its start.
	noReportCostMs    = 60   // The load of an engine is unknown before its first report.
	refusedCostMs     = 1000 // The engine refused a job within refusalBackoff.
	minCrossingCostMs = 150  // The engine is in another failure domain; see Config.CrossingShare.
	jitterCostMs      = 150  // Spreads jobs over equivalent engines when daemons place them before they receive each other's updates.

	// Costs of migration targets, in fractions of an engine's memory.
	migrationJitter          = 0.05                   // Spreads migrations over equivalent engines.
	spreadMargin             = 0.5                    // Engines that shut down together choose among the targets that cost at most this much more than the best.
	crossDomainMigrationCost = 1.0                    // A migration to another failure domain takes twice as long.
	busyLinkCost             = 0.8                    // Another migration uses the link to the target; a fuller engine is preferable.
	limitedCost              = 4.0                    // The engine's limit may not permit the run, which is lost if it stays.
	overcommitCost           = 3.0                    // The run may be preempted there or preempt another one, but is lost if it stays.
	evacuationTime           = 2 * time.Second        // By then the runs have migrated or are lost; the shutdown notice of the platform is shorter.
	fullBackoff              = 200 * time.Millisecond // Before another migration to an engine that had no memory for one.
	linkBusyTime             = 400 * time.Millisecond // Time that a link needs to copy the memory of one long run.

	maxPeak            = 0.97                    // No job is placed on an engine that would exceed this forecast peak, unless it has no sequences.
	minBackupTime      = 1500 * time.Millisecond // Shorter runs end within the shutdown notice of their engine.
	maxBackupPeak      = 0.3                     // Backups on fuller engines would take memory from jobs that need it more.
	unusableRetention  = 20 * time.Second        // Longer than an engine serves after its shutdown notice.
	unreachableBackoff = 1500 * time.Millisecond // Before an unreachable engine is tried again.
	refusalBackoff     = 300 * time.Millisecond  // Time for which refusedCostMs is added.
	startedUpdateLag   = 300 * time.Millisecond  // Bounds the delay of a peer's update that a job has started.
	endedRetention     = 3 * time.Second         // An engine's report may list a sequence this long after its end.
	copyDelay          = 50 * time.Millisecond   // By which the times of copies of one report may differ, which come on different ways.
	minOutputSteps     = 16                      // A job is refused if its deadline leaves time for fewer decode steps.
)

// Config describes the engines of one service. The fields up to Deviations but Regions are required.
type Config struct {
	Domain             string          // Failure domain of the daemon.
	Regions            matcher.Regions // Of the engines; may be nil if no job has allowed regions.
	Slots              int             // Largest number of sequences on an engine.
	MemoryTokens       int             // Size of an engine's KV cache, in tokens.
	BlockTokens        int             // Tokens per block of memory.
	TokensPerEvent     int             // Output tokens in each event of an answer.
	StepTime           time.Duration   // Duration of a decode step on the mean engine, which adds one token to each sequence.
	PrefillTokensPerMs float64         // Prefill rate of the mean engine while it runs no other sequences.
	ReportLag          time.Duration   // Age of the figures in a report when it is received.
	Deviations         float64         // Standard deviations added to the forecast mean as a safety margin.
	// CrossingShare is the delay to the first event that is accepted to avoid another failure domain, as a
	// fraction of the time in which the first event is due; minCrossingCostMs at least.
	CrossingShare float64
	// ExposedBackupPeak is the forecast peak up to which engines take backups of exposed runs (see
	// isExposed), as a fraction of their memory. Zero treats these runs like others.
	ExposedBackupPeak float64
	// LinkTokensPerSecond is the rate at which an engine copies its KV cache to another one; zero if not known.
	LinkTokensPerSecond float64
	// Updated, if not nil, gets a value when there are updates to take. It should have a buffer.
	Updated chan<- struct{}
}

// Placer places the jobs of one service for one daemon. It is safe for
// concurrent use. Use New to make one.
type Placer struct {
	mu       sync.Mutex
	cfg      Config
	rand     *rand.Rand
	lengths  *estimator.Estimator
	engines  map[registrar.Identity]*engine
	engineOf map[string]registrar.Identity // Engine of each placed job, by job ID.
	endedAt  map[string]time.Time
	// migratingTo holds the target of each migration, by job ID.
	migratingTo map[string]registrar.Identity
	queue       []*queuedJob
	updates     []Update              // Not yet sent to the peers.
	remoteQueue map[string]*queuedJob // Jobs queued at peers, by ID.
	promptMean  float64               // Moving average of prompt tokens; zero before the first job.
	lastModel   string
	updateCount int                // Updates published so far.
	arrivals    map[string]arrival // Started and Ended updates of peers that came lately, by job ID.
	// arrivalsPrunedAt is when old arrivals were last deleted.
	arrivalsPrunedAt time.Time
	// evacuated holds the failure domains whose engines must get no new work.
	evacuated map[string]bool
	speedsAt  time.Time // When the speeds of the engines were last compared.
	// latePlacements holds the times at which daemons placed late jobs lately.
	latePlacements []time.Time
}

// New returns a Placer without engines.
func New(cfg Config, r *rand.Rand) *Placer {
	return &Placer{
		cfg: cfg, rand: r, lengths: estimator.New(),
		engines: map[registrar.Identity]*engine{}, engineOf: map[string]registrar.Identity{},
		endedAt: map[string]time.Time{}, migratingTo: map[string]registrar.Identity{}, remoteQueue: map[string]*queuedJob{}, arrivals: map[string]arrival{},
	}
}

// SetEngines sets the engines that accept new jobs. Engines that no longer do
// are kept for unusableRetention, since their runs have to migrate.
func (p *Placer) SetEngines(endpoints []registrar.Endpoint, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := make(map[registrar.Identity]bool, len(endpoints))
	for _, ep := range endpoints {
		present[ep.Identity] = true
		if e := p.engines[ep.Identity]; e != nil {
			e.endpoint, e.unusableSince, e.evacuated = ep, time.Time{}, p.evacuated[ep.Domain]
			continue
		}
		p.engines[ep.Identity] = &engine{registeredAt: now, evacuated: p.evacuated[ep.Domain], nameHash: xxhash.Sum64String(ep.Name), endpoint: ep, runs: map[string]*run{}, migratingIn: map[string]*run{}, backups: map[string]*run{}, listed: map[string]bool{}}
	}
	for id, e := range p.engines {
		switch {
		case present[id]:
		case e.unusableSince.IsZero():
			e.unusableSince = now
		case now.Sub(e.unusableSince) > unusableRetention:
			delete(p.engines, id)
		}
	}
}

// Observe records a report of an engine. Reports older than the newest one are
// ignored. It returns false for these, and for another copy of the newest one.
func (p *Placer) Observe(id registrar.Identity, r Report, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	if e == nil || now.Before(e.reportedAt) {
		return false
	}
	isNew := now.Sub(e.reportedAt) > copyDelay
	if isNew {
		e.recordGrowth(&r, now)
	}
	e.report, e.reportedAt, e.dirty = r, now, true
	clear(e.listed)
	for i := range r.Sequences {
		e.listed[r.Sequences[i].ID] = true
	}
	p.removeLostRuns(e, now)
	for job, at := range p.endedAt {
		if now.Sub(at) > endedRetention {
			delete(p.endedAt, job)
		}
	}
	return isNew
}

// ReportAge returns the age of the newest report of an engine, or of the engine
// itself before its first one.
func (p *Placer) ReportAge(id registrar.Identity, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	switch {
	case e == nil:
		return 0
	case e.reportedAt.IsZero():
		return now.Sub(e.registeredAt)
	default:
		return now.Sub(e.reportedAt)
	}
}

// Withdraw removes a job from the queue and returns the state in which it left.
func (p *Placer) Withdraw(id string) QueueState {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.queue, func(q *queuedJob) bool { return q.job.ID == id })
	if i < 0 {
		return QueueState{}
	}
	state := p.queue[i].state
	p.queue = slices.Delete(p.queue, i, i+1)
	p.publish(Update{JobID: id, Event: Ended})
	return state
}

// QueueLength returns the number of jobs in the queue.
func (p *Placer) QueueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)
}

// RecordFirstEvent records the first event of a job.
func (p *Placer) RecordFirstEvent(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markStarted(id, now)
	p.publish(Update{JobID: id, Event: Started})
}

// markStarted records the first event of a job. The mutex is held.
func (p *Placer) markStarted(id string, now time.Time) {
	if e := p.engines[p.engineOf[id]]; e != nil && e.runs[id] != nil {
		e.recordPrefill(e.runs[id], now)
		e.runs[id].firstEventAt = now
		e.lastPrefillAt = now
		e.dirty = true
	}
}

// RecordMigration records that a job has migrated to another engine, and returns
// a new backup engine for it.
func (p *Placer) RecordMigration(job Job, to registrar.Endpoint, now time.Time) registrar.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeRun(job.ID)
	p.releaseMigration(job.ID)
	e := p.engines[to.Identity]
	if e == nil {
		p.publish(Update{JobID: job.ID, Event: Ended})
		return registrar.Endpoint{}
	}
	backup := p.chooseBackup(&job, e, now)
	r := p.addRun(e, &job, backup.Identity, now)
	r.firstEventAt = now
	p.publishPlaced(r, e)
	return backup
}

// SurvivalProbability returns the probability that a job with the given number of
// output tokens runs for longer than d.
func (p *Placer) SurvivalProbability(job Job, produced int, d time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outputLength(&job).Survival(produced, int(max(d, 0)/p.engines[p.engineOf[job.ID]].stepTime(p)))
}

// expectedRemaining returns the expected time until the end of a job at the configured
// speed. The mutex is held.
func (p *Placer) expectedRemaining(job *Job, produced int) time.Duration {
	mean, _ := p.outputLength(job).Residual(produced)
	return time.Duration(mean * float64(p.cfg.StepTime))
}

// RecordRefusal removes a job from an engine that refused it before running it or
// was unreachable.
func (p *Placer) RecordRefusal(id string, unreachable bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[p.engineOf[id]]; e != nil {
		e.avoidUntil = now.Add(refusalBackoff)
		if unreachable {
			e.unreachableUntil = now.Add(unreachableBackoff)
		}
	}
	p.removeAndPublish(id)
}

// SetLimited sets the engines whose limits on requests permit no new job now.
func (p *Placer) SetLimited(limited map[registrar.Identity]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.engines {
		e.limited = limited[id]
	}
}

// MarkUnreachable records that an engine does not answer this daemon.
func (p *Placer) MarkUnreachable(id registrar.Identity, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[id]; e != nil {
		e.unreachableUntil = now.Add(unreachableBackoff)
	}
}

// RecordEnd removes a placed job that has ended after the given number of output
// tokens. The output length estimates learn from it; if the answer is not
// complete, tokens is a lower bound of its length.
func (p *Placer) RecordEnd(job Job, tokens int, complete bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeRun(job.ID)
	p.releaseMigration(job.ID)
	p.endedAt[job.ID] = now
	update := Update{JobID: job.ID, Event: Ended}
	if complete {
		update.FinalTokens = tokens
	}
	p.publish(update)
	switch {
	case complete && tokens > 0:
		p.lengths.Record(job.Class, tokens)
	case tokens > 0:
		p.lengths.RecordCensored(job.Class, tokens)
	}
}

// removeRun removes a job from its engine. The mutex is held.
func (p *Placer) removeRun(id string) {
	if e := p.engines[p.engineOf[id]]; e != nil {
		if r := e.runs[id]; r != nil {
			p.releaseBackup(r)
		}
		delete(e.runs, id)
		e.dirty = true
	}
	delete(p.engineOf, id)
}

// addRun adds a job to an engine. The mutex is held.
func (p *Placer) addRun(e *engine, job *Job, backup registrar.Identity, now time.Time) *run {
	r := &run{job: *job, addedAt: now, backup: backup, moments: p.moments(job), short: p.isShort(job)}
	e.refresh(p, now)
	r.prefillAhead = e.pendingPrefill.remaining(now, e.prefillRate(p)) + job.tokensToRead()
	e.runs[job.ID] = r
	p.engineOf[job.ID] = e.endpoint.Identity
	e.dirty = true
	if b := p.engines[backup]; b != nil {
		b.backups[job.ID] = r
		b.dirty = true
	}
	return r
}

// releaseBackup releases the memory reserved for the backup of a run. The mutex
// is held.
func (p *Placer) releaseBackup(r *run) {
	if b := p.engines[r.backup]; b != nil {
		delete(b.backups, r.job.ID)
		b.dirty = true
	}
}

// endedOrMoved reports whether a job that is listed by an engine but not placed
// there is known to have ended or to be placed on another engine. The mutex is
// held.
func (p *Placer) endedOrMoved(id string) bool {
	if _, ended := p.endedAt[id]; ended {
		return true
	}
	_, placed := p.engineOf[id]
	return placed
}

// chooseBackup returns the engine that should keep a copy of the job's memory:
// the one with the lowest forecast peak, preferably in the failure domain of the
// primary engine, or of the daemon if the daemon may lose its connection to the primary engine
// in a network partition. It returns the zero Endpoint if there is none. The mutex is held.
func (p *Placer) chooseBackup(job *Job, primary *engine, now time.Time) registrar.Endpoint {
	if !job.AllowBackup || primary.slowed(p.expectedRemaining(job, job.OutputTokens)) < minBackupTime {
		return registrar.Endpoint{}
	}
	limit, domain := maxBackupPeak, primary.endpoint.Domain
	if p.isExposed(job, primary) {
		limit, domain = max(limit, p.cfg.ExposedBackupPeak), p.cfg.Domain
	}
	m := p.moments(job)
	var best *engine
	var bestCost float64
	for _, e := range p.engines {
		if e == primary || !e.acceptsJobs(now) || !p.allows(job, e) {
			continue
		}
		e.refresh(p, now)
		peak := e.peak(p, &m)
		if peak > limit || e.endpoint.RemainingWarmUp > 0 {
			continue
		}
		cost := peak + 0.1*p.rand.Float64()
		if e.endpoint.Domain != domain {
			cost += 0.1
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return registrar.Endpoint{}
	}
	return best.endpoint
}

// isExposed reports whether a run of the job on the primary engine would probably be lost without a
// backup if the engine shuts down or failure domains are cut off from each other: the daemon reaches the engine across
// the border of its domain, or the link of the engine needs more than half of the shortest shutdown notice to copy
// all runs without a backup, since the links of the targets are shared with other engines that shut
// down at the same time. The mutex is held.
func (p *Placer) isExposed(job *Job, primary *engine) bool {
	if p.cfg.ExposedBackupPeak <= 0 {
		return false
	}
	if primary.endpoint.Domain != p.cfg.Domain {
		return true
	}
	if p.cfg.LinkTokensPerSecond <= 0 {
		return false
	}
	tokens := float64(job.PromptTokens + job.OutputTokens)
	for _, r := range primary.runs {
		if b := p.engines[r.backup]; (b == nil || !b.isOpen()) && !r.short {
			tokens += float64(r.job.PromptTokens + r.job.OutputTokens)
		}
	}
	return time.Duration(linkSharingFactor*tokens/p.cfg.LinkTokensPerSecond*float64(time.Second)) > minBackupTime/2
}
