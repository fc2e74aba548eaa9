package placer

import (
	"cmp"
	"slices"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/gauger"
	"monsoonspar.example/state/registrar"
)

// engine is the state of one engine as seen by this daemon.
type engine struct {
	endpoint         registrar.Endpoint
	reportedAt       time.Time // Zero before the first report.
	report           Report
	runs             map[string]*run // Placed here by this daemon or, according to their updates, by peers.
	migratingIn      map[string]*run // Runs that are migrating to this engine.
	backups          map[string]*run // Runs on other engines whose memory is replicated here as it grows.
	registeredAt     time.Time
	nameHash         uint64          // Hash of the endpoint's name.
	reservations     []*run          // Queued jobs that precede the one being placed; set during placeQueued.
	listed           map[string]bool // IDs of the sequences in the report.
	avoidUntil       time.Time       // Set when the engine refuses a job.
	unreachableUntil time.Time       // Set when the engine does not answer.
	lastMigrationAt  time.Time       // Start of the last migration to this engine.
	fullUntil        time.Time       // Set when it has no memory for a migration.
	deferredUntil    time.Time       // Until when it wants no requests of this daemon.
	limited          bool            // Its limit on requests permits none now.
	unusableSince    time.Time       // Since when it accepts no new jobs, as it is shutting down or draining; zero while it accepts them.
	evacuated        bool            // Its failure domain is evacuated: it gets no new work, and its runs go on.
	lastPrefillAt    time.Time       // When a prefill last ended, seen as the first event of a job.

	growth    gauger.Rate // Tokens that a sequence grows by per millisecond.
	prefill   gauger.Rate // Prompt tokens per millisecond until a first event.
	speed     float64     // Set by updateSpeeds; 1 is the configured speed, and zero is not known yet.
	toldSpeed float64     // As TakeSpeedChanges last returned it.
	toldAt    time.Time

	// Derived from the report and the runs by refresh.
	forecast       forecaster.Forecast
	unattributed   float64 // Reported memory, in tokens, that no known sequence or copy accounts for.
	sequences      int
	pendingPrefill prefillBacklog
	dirty          bool // Whether the derived fields are out of date.
}

// acceptsJobs reports whether the engine accepts new jobs now.
func (e *engine) acceptsJobs(now time.Time) bool { return e.acceptsRuns(now) && !e.limited }

// acceptsRuns reports whether the engine is not shutting down, not evacuated, not known to
// be unreachable, and wants requests of this daemon.
func (e *engine) acceptsRuns(now time.Time) bool {
	return e.isOpen() && !now.Before(e.unreachableUntil) && !now.Before(e.deferredUntil)
}

// refresh recomputes the derived fields if they are out of date.
func (e *engine) refresh(p *Placer, now time.Time) {
	if !e.dirty {
		return
	}
	e.dirty = false
	e.forecast = forecaster.Forecast{}
	e.sequences, e.pendingPrefill = 0, prefillBacklog{lastDoneAt: e.lastPrefillAt}
	held := e.countReported(p, now) + e.countCopies(p, now)
	unlisted := e.countUnlisted()
	prefilling := max(e.report.Running-len(e.report.Sequences), 0)
	held += p.prefillingMemory(unlisted, prefilling, e.reportedAt.Add(-p.cfg.ReportLag))
	e.unattributed = 0
	if !e.reportedAt.IsZero() {
		e.unattributed = max(float64(e.report.MemoryUsed)-held, 0)
	}
	e.addQueued(p, max(e.report.Queued+prefilling-len(unlisted), 0))
}

// countReported adds the sequences listed in the report to the forecast, and
// returns the memory that they held at the time of the report.
func (e *engine) countReported(p *Placer, now time.Time) float64 {
	held := 0.0
	age := now.Sub(e.reportedAt) + p.cfg.ReportLag
	elapsedSteps := max(int(age/e.stepTime(p)), 0)
	for i := range e.report.Sequences {
		s := &e.report.Sequences[i]
		held += float64(s.Tokens)
		if e.runs[s.ID] == nil && p.endedOrMoved(s.ID) {
			continue
		}
		e.addReported(p, s, elapsedSteps)
	}
	return held
}

// countCopies adds the migrations to this engine and the backups on it to the
// forecast, and returns the memory that they hold.
func (e *engine) countCopies(p *Placer, now time.Time) float64 {
	held := 0.0
	for id, r := range e.migratingIn {
		if now.Sub(r.addedAt) > migrationTimeout || e.runs[id] != nil {
			delete(e.migratingIn, id)
			delete(p.migratingTo, id)
			continue
		}
		held += float64(r.job.PromptTokens + r.job.OutputTokens)
		e.forecast.Add(&r.moments)
		e.sequences++
	}
	for _, r := range e.backups {
		held += float64(r.job.PromptTokens)
		e.forecast.Add(&r.moments)
	}
	return held
}

// countUnlisted adds the runs that the report does not list and the reservations
// to the forecast, and all prompts without a first event to the prefill backlog.
// It returns the unlisted runs.
func (e *engine) countUnlisted() []*run {
	var unlisted []*run
	for id, r := range e.runs {
		if r.firstEventAt.IsZero() {
			e.pendingPrefill.add(r)
		}
		if e.listed[id] {
			continue
		}
		unlisted = append(unlisted, r)
		e.forecast.Add(&r.moments)
		e.sequences++
	}
	for _, r := range e.reservations {
		e.pendingPrefill.add(r)
		e.forecast.Add(&r.moments)
		e.sequences++
	}
	return unlisted
}

// prefillingMemory returns the memory of n sequences that were in prefill at the
// time asOf of the report, which lists sequences only after their prefill. They
// are taken to be the earliest of the unlisted runs that were placed by then; the
// rest of the n are unknown jobs and count with the average prompt.
func (p *Placer) prefillingMemory(unlisted []*run, n int, asOf time.Time) float64 {
	if n == 0 {
		return 0
	}
	slices.SortFunc(unlisted, func(a, b *run) int { return a.addedAt.Compare(b.addedAt) })
	held := 0.0
	for _, r := range unlisted {
		if n == 0 || r.addedAt.After(asOf) {
			break
		}
		held += float64(r.job.PromptTokens + r.job.OutputTokens)
		n--
	}
	return held + float64(n*p.meanPromptTokens())
}

// addReported adds a sequence of the report to the forecast, grown by the steps
// since the report.
func (e *engine) addReported(p *Placer, s *Sequence, elapsedSteps int) {
	produced := s.Events * p.cfg.TokensPerEvent
	prompt := max(s.Tokens-produced, 0)
	if s.Events > 0 {
		produced += elapsedSteps
	} else {
		prompt = max(prompt, p.meanPromptTokens())
	}
	length := p.defaultOutputLength()
	r := e.runs[s.ID]
	if r == nil && s.Events == 0 {
		e.pendingPrefill.tokens += float64(prompt)
	}
	if r != nil {
		length = p.outputLength(&r.job)
		prompt, produced = r.job.PromptTokens, max(produced, r.job.OutputTokens)
	}
	m := forecaster.MomentsOf(forecaster.Sequence{Prompt: prompt, Produced: produced, Length: length}, p.cfg.BlockTokens)
	e.forecast.Add(&m)
	e.sequences++
}

// addQueued adds n sequences to the forecast that are queued at the engine and
// otherwise unknown.
func (e *engine) addQueued(p *Placer, n int) {
	if n == 0 {
		return
	}
	m := forecaster.MomentsOf(forecaster.Sequence{Prompt: p.meanPromptTokens(), Length: p.defaultOutputLength()}, p.cfg.BlockTokens)
	for range n {
		e.forecast.Add(&m)
	}
	e.sequences += n
	e.pendingPrefill.tokens += float64(n * p.meanPromptTokens())
}

// peak returns the forecast peak of memory with m added, as a fraction of the
// engine's memory; m may be nil.
func (e *engine) peak(p *Placer, m *forecaster.Moments) float64 {
	return (e.forecast.Peak(m, p.cfg.Deviations) + e.unattributed) / e.memoryTotal(p)
}

// fitsNow reports whether m fits into the memory that is free now.
func (e *engine) fitsNow(p *Placer, m *forecaster.Moments) bool {
	return e.forecast.Held(m)+e.unattributed <= e.memoryTotal(p)
}

// memoryTotal returns the memory of the engine in tokens.
func (e *engine) memoryTotal(p *Placer) float64 {
	if e.report.MemoryTotal > 0 {
		return float64(e.report.MemoryTotal)
	}
	return float64(p.cfg.MemoryTokens)
}

// prefillWait returns the time until the engine has processed its prefill backlog.
func (e *engine) prefillWait(p *Placer, now time.Time) time.Duration {
	return e.slowed(p.prefillTimeOf(e.pendingPrefill.remaining(now, e.prefillRate(p))))
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// cost returns the cost of placing a queued job on the engine, in milliseconds of
// delay to its first event.
func (e *engine) cost(p *Placer, q *queuedJob, peak float64, now time.Time) float64 {
	cost := milliseconds(e.prefillWait(p, now)) + float64(e.sequences)*sequenceCostMs + e.slownessCost(p, &q.job)
	if peak > lowPeak {
		cost += (peak - lowPeak) * memoryCostMs
	}
	if e.endpoint.RemainingWarmUp > 0 {
		cost += coldCostMs
	}
	if e.reportedAt.IsZero() {
		cost += noReportCostMs
	}
	if now.Before(e.avoidUntil) {
		cost += refusedCostMs
	}
	if e.endpoint.Domain != q.domain {
		due := milliseconds(q.job.FirstEventDue.Sub(q.enqueuedAt))
		cost += max(minCrossingCostMs, p.cfg.CrossingShare*due)
	}
	return cost
}

// prefillBacklog holds the prompts that an engine has not finished processing. It
// processes them one after the other.
type prefillBacklog struct {
	tokens       float64
	headTokens   float64   // Size of the prompt at the head, which is processed first.
	headPlacedAt time.Time // When the prompt at the head was placed; zero if there is none.
	lastDoneAt   time.Time // When the engine last finished a prompt.
}

// add adds the prompt of a run without a first event.
func (b *prefillBacklog) add(r *run) {
	b.tokens += r.job.tokensToRead()
	if b.headPlacedAt.IsZero() || r.addedAt.Before(b.headPlacedAt) {
		b.headPlacedAt, b.headTokens = r.addedAt, r.job.tokensToRead()
	}
}

// remaining returns the tokens that are not processed yet at a rate in tokens per
// millisecond. Beyond the prompt at the head it subtracts at most the tokens
// processed during startedUpdateLag: had the engine processed more, the first
// event of the head would have been received by now.
func (b *prefillBacklog) remaining(now time.Time, rate float64) float64 {
	headStart := b.lastDoneAt
	if b.headPlacedAt.After(headStart) {
		headStart = b.headPlacedAt
	}
	processed := rate * milliseconds(max(now.Sub(headStart), 0))
	processed = min(processed, b.headTokens+rate*milliseconds(startedUpdateLag))
	return max(b.tokens-processed, 0)
}

// Parameters of migrations and evacuations.
const (
	migrationTimeout  = 2500 * time.Millisecond // Longer than a migration takes; the engine frees a copy that is not used.
	turnOverhead      = 15 * time.Millisecond   // Time of a migration besides the copy: the calls and the transfer of the last part.
	linkSharingFactor = 1.3                     // Ratio of the copy time to that on an idle link; backups share the links.
	minMigrationTime  = 250 * time.Millisecond  // A run that ends sooner needs no migration.
)

// evacuationTurns returns the turns of the engine's runs, the most urgent first.
// Runs whose backup engine is available migrate at once.
func (e *engine) evacuationTurns(p *Placer, tokensPerSecond float64, now time.Time) map[string]EvacuationTurn {
	ids := make([]string, 0, len(e.runs))
	for id := range e.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.runs[a].job.Priority, e.runs[b].job.Priority), cmp.Compare(a, b))
	})
	turns := make(map[string]EvacuationTurn, len(ids))
	offset := time.Duration(0)
	ahead := 0
	var migrating []string
	for _, id := range ids {
		r := e.runs[id]
		if b := p.engines[r.backup]; b != nil && b.isOpen() {
			turns[id] = EvacuationTurn{Local: !r.remote}
			continue
		}
		turns[id] = EvacuationTurn{StartAfter: offset, RunsAhead: ahead, Local: !r.remote}
		if produced := e.expectedOutput(p, r, now); e.slowed(p.expectedRemaining(&r.job, produced)) > minMigrationTime {
			ahead++
			migrating = append(migrating, id)
			held := float64(r.job.PromptTokens + produced)
			offset += turnOverhead + time.Duration(linkSharingFactor*held/tokensPerSecond*float64(time.Second))
		}
	}
	for _, id := range migrating {
		turn := turns[id]
		turn.TimeNeeded = offset - turn.StartAfter
		turns[id] = turn
	}
	return turns
}

// expectedOutput returns the output tokens that a run should have produced by
// now.
func (e *engine) expectedOutput(p *Placer, r *run, now time.Time) int {
	if r.firstEventAt.IsZero() {
		return r.job.OutputTokens
	}
	return r.job.OutputTokens + int(now.Sub(r.firstEventAt)/e.stepTime(p))
}
