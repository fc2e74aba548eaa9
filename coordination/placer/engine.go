package placer

import (
	"cmp"
	"slices"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/registrar"
)

// engine is what is known of one engine.
type engine struct {
	endpoint   registrar.Endpoint
	reported   time.Time // Zero before the first report.
	report     Report
	runs       map[string]*running // Of this daemon and of peers that tell.
	arrivals   map[string]*running // Runs whose memory is being copied here.
	backups    map[string]*running // Runs elsewhere whose memory is copied here as it grows.
	added      time.Time
	hash       uint64          // Of the name.
	holds      []*running      // Jobs that go before the one that is decided on.
	known      map[string]bool // Sequences in the report.
	avoidUntil time.Time       // After a refusal.
	cutUntil   time.Time       // After it could not be reached.
	arrival    time.Time       // When a move was last sent here.
	fullUntil  time.Time       // After it had no room for a move.
	leaving    time.Time       // Since when it takes no jobs; zero while it does.
	progress   time.Time       // When a job last began to produce.

	// Derived from the report and the runs by refresh.
	forecast  forecaster.Forecast
	copies    float64 // Memory held by other things than sequences.
	sequences int
	unread    backlog
	dirty     bool
}

// open reports whether the engine takes jobs, as far as is known.
func (e *engine) open(now time.Time) bool { return e.leaving.IsZero() && !now.Before(e.cutUntil) }

// refresh computes the forecast anew.
func (e *engine) refresh(p *Placer, now time.Time) {
	if !e.dirty {
		return
	}
	e.dirty = false
	e.forecast = forecaster.Forecast{}
	e.sequences, e.unread = 0, backlog{since: e.progress}
	held := e.countReported(p, now) + e.countCopies(p, now)
	unlisted := e.countUnlisted()
	reading := max(e.report.Running-len(e.report.Sequences), 0)
	held += p.heldUnread(unlisted, reading, e.reported.Add(-p.cfg.ReportLag))
	e.copies = 0
	if !e.reported.IsZero() {
		e.copies = max(float64(e.report.MemoryUsed)-held, 0)
	}
	e.addQueued(p, max(e.report.Queued+reading-len(unlisted), 0))
}

// countReported counts the sequences on the list of the report, and returns the
// memory that they held then.
func (e *engine) countReported(p *Placer, now time.Time) float64 {
	held := 0.0
	age := now.Sub(e.reported) + p.cfg.ReportLag
	grown := max(int(age/p.cfg.StepTime), 0)
	for i := range e.report.Sequences {
		s := &e.report.Sequences[i]
		held += float64(s.Tokens)
		if e.runs[s.ID] == nil && p.elsewhere(s.ID) {
			continue
		}
		e.addReported(p, s, grown)
	}
	return held
}

// countCopies counts the runs elsewhere whose memory comes here, and returns
// what it holds.
func (e *engine) countCopies(p *Placer, now time.Time) float64 {
	held := 0.0
	for id, r := range e.arrivals {
		if now.Sub(r.since) > arrivalKept || e.runs[id] != nil {
			delete(e.arrivals, id)
			delete(p.arriving, id)
			continue
		}
		held += float64(r.job.Prompt + r.job.Produced)
		e.forecast.Add(&r.moments)
		e.sequences++
	}
	for _, r := range e.backups {
		held += float64(r.job.Prompt)
		e.forecast.Add(&r.moments)
	}
	return held
}

// countUnlisted counts the runs that the report does not list, and the jobs that
// go before the one that is decided on. It returns the former.
func (e *engine) countUnlisted() []*running {
	var unlisted []*running
	for id, r := range e.runs {
		if r.started.IsZero() {
			e.unread.add(r)
		}
		if e.known[id] {
			continue
		}
		unlisted = append(unlisted, r)
		e.forecast.Add(&r.moments)
		e.sequences++
	}
	for _, r := range e.holds {
		e.unread.add(r)
		e.forecast.Add(&r.moments)
		e.sequences++
	}
	return unlisted
}

// heldUnread returns the memory of n sequences whose prompts the engine was
// reading at the time of its report, which lists them only afterwards. They are
// the first of the unlisted runs that were placed by then; of others nothing is
// known.
func (p *Placer) heldUnread(unlisted []*running, n int, asOf time.Time) float64 {
	if n == 0 {
		return 0
	}
	slices.SortFunc(unlisted, func(a, b *running) int { return a.since.Compare(b.since) })
	held := 0.0
	for _, r := range unlisted {
		if n == 0 || r.since.After(asOf) {
			break
		}
		held += float64(r.job.Prompt + r.job.Produced)
		n--
	}
	return held + float64(n*p.meanPrompt())
}

// addReported counts a sequence of the report.
func (e *engine) addReported(p *Placer, s *Sequence, grown int) {
	produced := s.Events * p.cfg.Stride
	prompt := max(s.Tokens-produced, 0)
	if s.Events > 0 {
		produced += grown
	} else {
		prompt = max(prompt, p.meanPrompt())
	}
	length := p.anyLength()
	r := e.runs[s.ID]
	if r == nil && s.Events == 0 {
		e.unread.tokens += float64(prompt)
	}
	if r != nil {
		length = p.length(&r.job)
		prompt, produced = r.job.Prompt, max(produced, r.job.Produced)
	}
	m := forecaster.MomentsOf(forecaster.Sequence{Prompt: prompt, Produced: produced, Length: length}, p.cfg.Block)
	e.forecast.Add(&m)
	e.sequences++
}

// addQueued counts n sequences that wait at the engine and of which nothing
// else is known.
func (e *engine) addQueued(p *Placer, n int) {
	if n == 0 {
		return
	}
	m := forecaster.MomentsOf(forecaster.Sequence{Prompt: p.meanPrompt(), Length: p.anyLength()}, p.cfg.Block)
	for range n {
		e.forecast.Add(&m)
	}
	e.sequences += n
	e.unread.tokens += float64(n * p.meanPrompt())
}

// peak returns the forecast peak of memory with m added, as a part of all; m may
// be nil.
func (e *engine) peak(p *Placer, m *forecaster.Moments) float64 {
	return (e.forecast.Peak(m, p.cfg.Deviations) + e.copies) / e.total(p)
}

// fitsNow reports whether m fits into the memory that is free now.
func (e *engine) fitsNow(p *Placer, m *forecaster.Moments) bool {
	return e.forecast.Held(m)+e.copies <= e.total(p)
}

// total returns the memory of the engine in tokens.
func (e *engine) total(p *Placer) float64 {
	if e.report.MemoryTotal > 0 {
		return float64(e.report.MemoryTotal)
	}
	return float64(p.cfg.MemoryTokens)
}

// readWait returns the time until the engine has read the prompts that it has.
func (e *engine) readWait(p *Placer, now time.Time) time.Duration {
	return p.reading(e.unread.left(now, p.readRate()))
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// cost returns what it costs a job to run on the engine, in milliseconds until
// its first event.
func (e *engine) cost(p *Placer, w *waiting, peak float64, now time.Time) float64 {
	cost := milliseconds(e.readWait(p, now)) + float64(e.sequences)*sequenceCostMs
	if peak > easyPeak {
		cost += (peak - easyPeak) * crowdedCostMs
	}
	if e.endpoint.ColdFor > 0 {
		cost += coldCostMs
	}
	if e.reported.IsZero() {
		cost += unknownCostMs
	}
	if now.Before(e.avoidUntil) {
		cost += refusedCostMs
	}
	if e.endpoint.Domain != w.domain {
		cost += crossingCostMs
	}
	return cost
}

// backlog is the prompts that an engine has still to read, one after the other.
type backlog struct {
	tokens float64
	head   float64   // The prompt that is read first.
	first  time.Time // When the head was placed; zero without one.
	since  time.Time // When the engine last ended a prompt.
}

// add counts the prompt of a run that has not begun.
func (b *backlog) add(r *running) {
	b.tokens += float64(r.job.Prompt)
	if b.first.IsZero() || r.since.Before(b.first) {
		b.first, b.head = r.since, float64(r.job.Prompt)
	}
}

// left returns the tokens that are unread now, at a rate in tokens a
// millisecond. More than the head can't have been read unnoticed for longer
// than peers take to tell.
func (b *backlog) left(now time.Time, rate float64) float64 {
	since := b.since
	if b.first.After(since) {
		since = b.first
	}
	read := rate * milliseconds(max(now.Sub(since), 0))
	read = min(read, b.head+rate*milliseconds(beginLag))
	return max(b.tokens-read, 0)
}

// Times of an evacuation.
const (
	arrivalKept = 2500 * time.Millisecond // Longer than a move takes; the engine frees a copy that is not used.
	turnPause   = 15 * time.Millisecond   // Calls and the last part of a move, besides the copy.
	turnSlack   = 1.3                     // Copies share the links with backups.
	shortRest   = 250 * time.Millisecond  // A run that ends so soon needs no move.
)

// turns returns when the runs of the engine leave it, the most urgent first,
// those with a backup at once.
func (e *engine) turns(p *Placer, tokensPerSecond float64, now time.Time) map[string]Turn {
	ids := make([]string, 0, len(e.runs))
	for id := range e.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.runs[a].job.Rank, e.runs[b].job.Rank), cmp.Compare(a, b))
	})
	turns := make(map[string]Turn, len(ids))
	after := time.Duration(0)
	ahead := 0
	var moving []string
	for _, id := range ids {
		r := e.runs[id]
		if b := p.engines[r.backup]; b != nil && b.leaving.IsZero() {
			turns[id] = Turn{Mine: !r.remote}
			continue
		}
		turns[id] = Turn{After: after, Ahead: ahead, Mine: !r.remote}
		if produced := e.produced(p, r, now); p.rest(&r.job, produced) > shortRest {
			ahead++
			moving = append(moving, id)
			held := float64(r.job.Prompt + produced)
			after += turnPause + time.Duration(turnSlack*held/tokensPerSecond*float64(time.Second))
		}
	}
	for _, id := range moving {
		turn := turns[id]
		turn.Need = after - turn.After
		turns[id] = turn
	}
	return turns
}

// produced returns the expected output of a run so far.
func (e *engine) produced(p *Placer, r *running, now time.Time) int {
	if r.started.IsZero() {
		return 0
	}
	return r.job.Produced + int(now.Sub(r.started)/p.cfg.StepTime)
}
