package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/estimator"
	"monsoonspar.example/state/registrar"
)

// Costs are in milliseconds until the first event, and bounds in parts of an
// engine's memory.
const (
	prefillShare   = 2.0  // Reading a prompt takes turns with the steps of other sequences.
	sequenceCostMs = 30.0 // A run slows the steps of others, and has to leave with them when the engine goes.
	easyPeak       = 0.3  // Below this forecast peak an engine counts as empty.
	crowdedCostMs  = 3000 // For a forecast peak of all memory.
	coldCostMs     = 300  // An engine that has just started is slow.
	unknownCostMs  = 60   // Nothing is known of the engine's load yet.
	refusedCostMs  = 1000 // The engine has just refused a job.
	crossingCostMs = 150  // Another failure domain.
	jitterCostMs   = 150  // Jobs that are placed before the news of each other spread over engines that are alike.

	// Of destinations of moves, in parts of an engine's memory.
	moveJitter = 0.05                   // Among engines that are alike.
	spreadCost = 0.5                    // Engines that leave together choose among those that cost no more than this above the best.
	farMove    = 1.0                    // A move to another failure domain takes twice as long.
	busyLink   = 0.8                    // Another move goes there; better a fuller engine.
	overfull   = 3.0                    // The run may have to yield there, or make another one yield; it is lost where it is.
	leaveTime  = 2 * time.Second        // The runs of an engine have left it, or are lost; the notice of the platform is shorter.
	fullTime   = 200 * time.Millisecond // Until an engine without room for a move is tried again.
	linkBusy   = 400 * time.Millisecond // Time in which a link carries the memory of one long run.

	fullPeak     = 0.97                    // No job is placed above this forecast peak.
	worthBackup  = 1500 * time.Millisecond // Shorter runs end within the notice of an engine that leaves.
	backupPeak   = 0.3                     // No backup is placed above this one: it would take the room of jobs.
	leavingKept  = 20 * time.Second        // Longer than an engine serves after its notice.
	cutTime      = 1500 * time.Millisecond // Until an engine that could not be reached is tried again.
	avoidTime    = 300 * time.Millisecond
	beginLag     = 300 * time.Millisecond // Until peers tell that a job has begun.
	endedKept    = 3 * time.Second        // An engine's report may show a sequence this long after its end.
	minimalSteps = 16                     // Output that a job must have time for to be started.
)

// Config describes the engines of one service. All fields are needed.
type Config struct {
	Domain       string // Failure domain of the daemon.
	Slots        int
	MemoryTokens int
	Block        int // Tokens that memory is allocated by.
	Stride       int // Tokens in one event.
	StepTime     time.Duration
	PrefillPerMs float64
	ReportLag    time.Duration
	Deviations   float64 // Standard deviations of the forecast that must fit.
}

// Placer places the jobs of one service for one daemon. It is safe for
// concurrent use. Use New to make one.
type Placer struct {
	mu      sync.Mutex
	cfg     Config
	rand    *rand.Rand
	lengths *estimator.Estimator
	engines map[registrar.Identity]*engine
	jobs    map[string]registrar.Identity // Engine of each placed job.
	endedAt map[string]time.Time
	// arriving holds the engine that each moving job's memory is copied to.
	arriving map[string]registrar.Identity
	queue    []*waiting
	news     []News              // For the peers; taken by TakeNews.
	others   map[string]*waiting // Jobs that wait at peers, by ID.
	prompts  float64             // Average prompt tokens.
	model    string
}

// New returns a Placer without engines.
func New(cfg Config, r *rand.Rand) *Placer {
	return &Placer{
		cfg: cfg, rand: r, lengths: estimator.New(),
		engines: map[registrar.Identity]*engine{}, jobs: map[string]registrar.Identity{},
		endedAt: map[string]time.Time{}, arriving: map[string]registrar.Identity{}, others: map[string]*waiting{},
	}
}

// SetEngines takes the engines that accept new jobs. Those that don't any more
// are kept for a while, since their runs have to leave them.
func (p *Placer) SetEngines(endpoints []registrar.Endpoint, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := make(map[registrar.Identity]bool, len(endpoints))
	for _, ep := range endpoints {
		present[ep.Identity] = true
		if e := p.engines[ep.Identity]; e != nil {
			e.endpoint, e.leaving = ep, time.Time{}
			continue
		}
		p.engines[ep.Identity] = &engine{added: now, hash: xxhash.Sum64String(ep.Name), endpoint: ep, runs: map[string]*running{}, arrivals: map[string]*running{}, backups: map[string]*running{}, known: map[string]bool{}}
	}
	for id, e := range p.engines {
		switch {
		case present[id]:
		case e.leaving.IsZero():
			e.leaving = now
		case now.Sub(e.leaving) > leavingKept:
			delete(p.engines, id)
		}
	}
}

// Observe takes a report of an engine.
func (p *Placer) Observe(id registrar.Identity, r Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	if e == nil || now.Before(e.reported) {
		return
	}
	e.report, e.reported, e.dirty = r, now, true
	clear(e.known)
	for i := range r.Sequences {
		e.known[r.Sequences[i].ID] = true
	}
	p.forgetLost(e, now)
	for job, at := range p.endedAt {
		if now.Sub(at) > endedKept {
			delete(p.endedAt, job)
		}
	}
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
	case e.reported.IsZero():
		return now.Sub(e.added)
	default:
		return now.Sub(e.reported)
	}
}

// Withdraw takes a job out of the queue.
func (p *Placer) Withdraw(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.IndexFunc(p.queue, func(w *waiting) bool { return w.job.ID == id }); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
		p.tell(News{JobID: id, Event: Ended})
	}
}

// Waiting returns the number of jobs in the queue.
func (p *Placer) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)
}

// Begun notes the first event of a job.
func (p *Placer) Begun(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun(id, now)
	p.tell(News{JobID: id, Event: Started})
}

// begun notes the first event of a job. The mutex is held.
func (p *Placer) begun(id string, now time.Time) {
	if e := p.engines[p.jobs[id]]; e != nil && e.runs[id] != nil {
		e.runs[id].started = now
		e.progress = now
		e.dirty = true
	}
}

// Moved notes that a job runs on another engine now, and returns a new backup
// for it.
func (p *Placer) Moved(job Job, to registrar.Endpoint, now time.Time) registrar.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leave(job.ID)
	p.unexpect(job.ID)
	e := p.engines[to.Identity]
	if e == nil {
		p.tell(News{JobID: job.ID, Event: Ended})
		return registrar.Endpoint{}
	}
	backup := p.backup(&job, e, now)
	r := p.join(e, &job, backup.Identity, now)
	r.started = now
	p.tellPlaced(r, e)
	return backup
}

// Outlasts returns the probability that a job which has produced tokens will
// run for longer than d.
func (p *Placer) Outlasts(job Job, produced int, d time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.length(&job).Alive(produced, int(max(d, 0)/p.cfg.StepTime))
}

// rest returns the expected time until the end of a job. The mutex is held.
func (p *Placer) rest(job *Job, produced int) time.Duration {
	mean, _ := p.length(job).Residual(produced)
	return time.Duration(mean * float64(p.cfg.StepTime))
}

// Refused notes that an engine refused a job before running it, or could not be
// reached at all.
func (p *Placer) Refused(id string, unreachable bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[p.jobs[id]]; e != nil {
		e.avoidUntil = now.Add(avoidTime)
		if unreachable {
			e.cutUntil = now.Add(cutTime)
		}
	}
	p.leaveAndTell(id)
}

// Unreachable notes that an engine does not answer this daemon.
func (p *Placer) Unreachable(id registrar.Identity, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[id]; e != nil {
		e.cutUntil = now.Add(cutTime)
	}
}

// Done ends a placed job. A job that was answered in full teaches its length;
// tokens is its output.
func (p *Placer) Done(job Job, tokens int, complete bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leave(job.ID)
	p.unexpect(job.ID)
	p.endedAt[job.ID] = now
	news := News{JobID: job.ID, Event: Ended}
	if complete {
		news.Tokens = tokens
	}
	p.tell(news)
	switch {
	case complete && tokens > 0:
		p.lengths.Record(job.Class, tokens)
	case tokens > 0:
		p.lengths.RecordCensored(job.Class, tokens)
	}
}

// leave takes a job off its engine. The mutex is held.
func (p *Placer) leave(id string) {
	if e := p.engines[p.jobs[id]]; e != nil {
		if r := e.runs[id]; r != nil {
			p.dropBackup(r)
		}
		delete(e.runs, id)
		e.dirty = true
	}
	delete(p.jobs, id)
}

// join puts a job on an engine. The mutex is held.
func (p *Placer) join(e *engine, job *Job, backup registrar.Identity, now time.Time) *running {
	r := &running{job: *job, since: now, backup: backup, moments: p.moments(job)}
	e.runs[job.ID] = r
	p.jobs[job.ID] = e.endpoint.Identity
	e.dirty = true
	if b := p.engines[backup]; b != nil {
		b.backups[job.ID] = r
		b.dirty = true
	}
	return r
}

// dropBackup frees the room of a run's backup. The mutex is held.
func (p *Placer) dropBackup(r *running) {
	if b := p.engines[r.backup]; b != nil {
		delete(b.backups, r.job.ID)
		b.dirty = true
	}
}

// elsewhere reports whether a job is known to have ended or to run on another
// engine than the report says. The mutex is held.
func (p *Placer) elsewhere(id string) bool {
	if _, ended := p.endedAt[id]; ended {
		return true
	}
	_, placed := p.jobs[id]
	return placed
}

// backup returns the engine that should keep a copy of the job's memory: the
// emptiest, with the domain of the engine first. The mutex is held.
func (p *Placer) backup(job *Job, on *engine, now time.Time) registrar.Endpoint {
	if !job.Backups || p.rest(job, job.Produced) < worthBackup {
		return registrar.Endpoint{}
	}
	m := p.moments(job)
	var best *engine
	var bestCost float64
	for _, e := range p.engines {
		if e == on || !e.open(now) {
			continue
		}
		e.refresh(p, now)
		peak := e.peak(p, &m)
		if peak > backupPeak || e.endpoint.ColdFor > 0 {
			continue
		}
		cost := peak + 0.1*p.rand.Float64()
		if e.endpoint.Domain != on.endpoint.Domain {
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
