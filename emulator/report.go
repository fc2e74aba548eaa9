package emulator

import "time"

// Report is what an engine says of itself.
type Report struct {
	At          time.Duration
	Running     int
	Waiting     int
	UsedTokens  int // Without prefixes that are cached but not in use.
	Step        time.Duration
	Preemptions int
	Leaving     bool
	Sequences   []Progress
}

// Progress is one generation in a Report.
type Progress struct {
	ID       string
	Produced int
	Prompt   int
}

// Report returns the present state. The caller delivers it late.
func (e *Engine) Report() Report {
	r := Report{
		At:          e.loop.now,
		Running:     len(e.batch),
		Waiting:     len(e.waiting),
		UsedTokens:  (e.usedBlocks - e.cache.idleBlocks()) * e.cfg.BlockTokens,
		Step:        e.lastStep,
		Preemptions: e.preemptions,
		Leaving:     e.leaving,
		Sequences:   make([]Progress, 0, len(e.batch)+len(e.waiting)),
	}
	for _, s := range e.batch {
		r.Sequences = append(r.Sequences, Progress{s.ID, s.produced, s.Prompt})
	}
	for _, s := range e.waiting {
		r.Sequences = append(r.Sequences, Progress{s.ID, s.produced, s.Prompt})
	}
	return r
}

// Cached returns the tokens that the cache holds of a prefix.
func (e *Engine) Cached(prefix uint64) int {
	if c := e.cache.lookup(prefix); c != nil {
		return c.tokens
	}
	return 0
}

// CacheEvents returns the changes of the prefix cache since the last call.
func (e *Engine) CacheEvents() []CacheEvent {
	events := e.cache.events
	e.cache.events = nil
	return events
}
