package placer

import (
	"cmp"
	"slices"
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/estimator"
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
	usable     time.Time           // When this daemon begins to use a new engine.
	known      map[string]bool     // Sequences in the report.
	avoidUntil time.Time           // After a refusal.
	cutUntil   time.Time           // After it could not be reached.
	arrival    time.Time           // When a move was last sent here.
	leaving    time.Time           // Since when it takes no jobs; zero while it does.

	// Derived from the report and the runs by refresh.
	forecast  forecaster.Forecast
	copies    float64 // Memory held by other things than sequences.
	sequences int
	prefill   float64 // Prompt tokens still to be read.
	dirty     bool
}

// refresh computes the forecast anew.
func (e *engine) refresh(p *Placer, now time.Time) {
	if !e.dirty {
		return
	}
	e.dirty = false
	e.forecast = forecaster.Forecast{}
	e.sequences, e.prefill = 0, 0
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
	for id, r := range e.arrivals {
		if now.Sub(r.since) > arrivalKept || e.runs[id] != nil {
			delete(e.arrivals, id)
			continue
		}
		held += float64(r.job.Prompt)
		e.forecast.Add(&r.moments)
		e.sequences++
	}
	for _, r := range e.backups {
		held += float64(r.job.Prompt)
		e.forecast.Add(&r.moments)
	}
	e.copies = 0
	if !e.reported.IsZero() {
		e.copies = max(float64(e.report.MemoryUsed)-held, 0)
	}
	unseen := 0
	for id, r := range e.runs {
		if e.known[id] {
			continue
		}
		unseen++
		e.forecast.Add(&r.moments)
		e.sequences++
		if r.started.IsZero() {
			e.prefill += float64(r.job.Prompt)
		}
	}
	e.addQueued(p, max(e.report.Queued-unseen, 0))
}

// addReported counts a sequence of the report.
func (e *engine) addReported(p *Placer, s *Sequence, grown int) {
	produced := s.Events * p.cfg.Stride
	prompt := max(s.Tokens-produced, 0)
	if s.Events > 0 {
		produced += grown
	} else {
		e.prefill += float64(max(p.meanPrompt()-s.Tokens, 0))
		prompt = max(prompt, p.meanPrompt())
	}
	length := estimator.Bounded{Dist: p.distribution(s.Priority)}
	if r := e.runs[s.ID]; r != nil {
		length = p.length(&r.job)
		prompt = r.job.Prompt
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
	m := forecaster.MomentsOf(forecaster.Sequence{Prompt: p.meanPrompt(), Length: estimator.Bounded{Dist: p.distribution(0)}}, p.cfg.Block)
	for range n {
		e.forecast.Add(&m)
	}
	e.sequences += n
	e.prefill += float64(n * p.meanPrompt())
}

// peak returns the forecast peak of memory with m added, as a part of all.
func (e *engine) peak(p *Placer, m *forecaster.Moments) float64 {
	total := float64(p.cfg.MemoryTokens)
	if e.report.MemoryTotal > 0 {
		total = float64(e.report.MemoryTotal)
	}
	return (e.forecast.Peak(m, p.cfg.Deviations) + e.copies) / total
}

// cost returns what it costs a job to run on the engine, in milliseconds until
// its first event.
func (e *engine) cost(p *Placer, peak float64, domain string, now time.Time) float64 {
	cost := e.prefill/p.cfg.PrefillPerMs*prefillShare + float64(e.sequences)*sequenceCostMs
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
	if now.Before(e.cutUntil) {
		cost += cutCostMs
	}
	if e.endpoint.Domain != domain {
		cost += crossingCostMs
	}
	return cost
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
	for _, id := range ids {
		r := e.runs[id]
		if b := p.engines[r.backup]; b != nil && b.leaving.IsZero() {
			turns[id] = Turn{Mine: !r.remote}
			continue
		}
		turns[id] = Turn{After: after, Ahead: ahead, Mine: !r.remote}
		if p.rest(&r.job, e.produced(p, r, now)) > shortRest {
			ahead++
			held := float64(r.job.Prompt + e.produced(p, r, now))
			after += turnPause + time.Duration(turnSlack*held/tokensPerSecond*float64(time.Second))
		}
	}
	return turns
}

// produced returns the expected output of a run so far.
func (e *engine) produced(p *Placer, r *running, now time.Time) int {
	if r.started.IsZero() {
		return 0
	}
	return int(now.Sub(r.started) / p.cfg.StepTime)
}
