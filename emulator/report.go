package emulator

import "time"

// Report is the load report of an engine.
type Report struct {
	At           time.Duration
	Running      int
	Waiting      int
	UsedTokens   int           // Excludes cached prefixes that are not in use.
	StepTime     time.Duration // Duration of the last step.
	Preemptions  int           // Since the engine was created.
	ShuttingDown bool
	Sequences    []Progress
}

// Progress is the state of a sequence in a Report.
type Progress struct {
	ID           string
	Produced     int
	PromptTokens int
}

// Report returns the current state of the engine. Delivery delays are up to the
// caller.
func (e *Engine) Report() Report {
	r := Report{
		At:           e.loop.now,
		Running:      len(e.batch),
		Waiting:      len(e.waiting),
		UsedTokens:   (e.usedBlocks - e.cache.evictableBlocks()) * e.cfg.BlockTokens,
		StepTime:     e.lastStep,
		Preemptions:  e.preemptions,
		ShuttingDown: e.shuttingDown,
		Sequences:    make([]Progress, 0, len(e.batch)+len(e.waiting)),
	}
	for _, s := range e.batch {
		r.Sequences = append(r.Sequences, Progress{s.ID, s.produced, s.PromptTokens})
	}
	for _, s := range e.waiting {
		r.Sequences = append(r.Sequences, Progress{s.ID, s.produced, s.PromptTokens})
	}
	return r
}

// CachedTokens returns the cached length of a prefix, zero if it is not cached.
func (e *Engine) CachedTokens(prefix uint64) int {
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
