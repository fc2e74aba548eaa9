// Package emulator models one inference engine on virtual time: continuous
// batching, memory in blocks of tokens, a prefix cache with eviction, chunked
// prefill, priorities, and preemption by recompute.
//
// The time of a step is StepModel.Base, plus PerSequence for each sequence that
// decodes, plus PerPrefillToken for each prompt token computed in the step.
package emulator

import (
	"cmp"
	"slices"
	"time"
)

// Config describes an engine.
type Config struct {
	Name         string
	MemoryTokens int // Token capacity of the memory.
	BlockTokens  int // Allocation unit of the memory, in tokens.
	MaxBatch     int // Largest number of sequences in the batch.
	MaxPrefill   int // Most prompt tokens computed in one step.
	Step         StepModel
}

// StepModel is the time of one step.
type StepModel struct {
	Base            time.Duration
	PerSequence     time.Duration
	PerPrefillToken time.Duration
}

// Listener is told what happens to sequences. Its methods are called on the
// Loop, at the end of the step concerned.
type Listener interface {
	Started(s *Sequence)   // The first prefill of s begins.
	Token(s *Sequence)     // s has produced one more token.
	Finished(s *Sequence)  // s has produced its last token.
	Preempted(s *Sequence) // s has lost its memory and waits again.
}

// Sequence is one generation at an engine.
type Sequence struct {
	ID           string
	Priority     int // A lower number goes first.
	Prompt       int // Tokens.
	Output       int // True length in tokens, which only the engine knows.
	Prefix       uint64
	PrefixTokens int // Tokens of the prompt that the prefix covers.
	Listener     Listener

	produced int
	computed int // Private tokens whose state is in memory.
	target   int // Private tokens to compute before the next token comes.
	blocks   int
	cached   *cacheEntry
	order    uint64
	started  bool
	running  bool
}

// Produced returns the output tokens so far.
func (s *Sequence) Produced() int { return s.produced }

// Hit reports whether s runs on a prefix that was cached when it got its memory.
func (s *Sequence) Hit() bool { return s.cached != nil }

func (s *Sequence) prefilling() bool { return s.computed < s.target }

// Engine is one engine. Use New to make one.
type Engine struct {
	cfg     Config
	loop    *Loop
	waiting []*Sequence
	batch   []*Sequence
	cache   prefixCache

	totalBlocks int
	usedBlocks  int // Of sequences and of cached prefixes.
	orders      uint64
	busy        bool
	dead        bool
	leaving     bool
	lastStep    time.Duration
	preemptions int
}

// New returns an idle engine.
func New(cfg Config, loop *Loop) *Engine {
	return &Engine{cfg: cfg, loop: loop, totalBlocks: cfg.MemoryTokens / cfg.BlockTokens}
}

// Submit hands s to the engine. It reports false if the engine is dead or
// leaving; s then never runs.
func (e *Engine) Submit(s *Sequence) bool {
	if e.dead || e.leaving {
		return false
	}
	e.orders++
	s.order = e.orders
	e.enqueue(s)
	e.wake()
	return true
}

// Cancel removes a sequence wherever it is.
func (e *Engine) Cancel(id string) {
	byID := func(s *Sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(e.waiting, byID); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	if i := slices.IndexFunc(e.batch, byID); i >= 0 {
		e.free(e.batch[i])
		e.batch = slices.Delete(e.batch, i, i+1)
	}
}

// Leave makes the engine refuse new work and say so in its reports.
func (e *Engine) Leave() { e.leaving = true }

// Kill ends the engine and returns the sequences that it held.
func (e *Engine) Kill() []*Sequence {
	lost := slices.Concat(e.batch, e.waiting)
	e.dead = true
	e.batch, e.waiting = nil, nil
	return lost
}

// Dead reports whether the engine was killed.
func (e *Engine) Dead() bool { return e.dead }

// enqueue inserts s by priority, then by order of submission, so that a
// preempted sequence comes before later ones.
func (e *Engine) enqueue(s *Sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *Sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.order, b.order))
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// wake starts a step unless one is under way.
func (e *Engine) wake() {
	if e.busy || e.dead || len(e.batch)+len(e.waiting) == 0 {
		return
	}
	e.busy = true
	e.beginStep()
}

func (e *Engine) beginStep() {
	decoding, preempted := e.growDecoding()
	prefilled := e.advancePrefill(e.cfg.MaxPrefill)
	if !preempted {
		prefilled += e.admit(e.cfg.MaxPrefill - prefilled)
	}
	m := e.cfg.Step
	e.lastStep = m.Base + time.Duration(decoding)*m.PerSequence + time.Duration(prefilled)*m.PerPrefillToken
	e.loop.After(e.lastStep, e.endStep)
}

// growDecoding gives each decoding sequence room for one more token, and
// preempts others where there is none.
func (e *Engine) growDecoding() (decoding int, preempted bool) {
	for i := 0; i < len(e.batch); i++ {
		s := e.batch[i]
		if s.prefilling() {
			continue
		}
		s.target = s.computed + 1
		need := e.blocksFor(s.target) - s.blocks
		for need > 0 && !e.reserve(need) {
			preempted = true
			v := e.victim()
			at := slices.Index(e.batch, v)
			e.preempt(at)
			if at <= i {
				i--
			}
			if v == s {
				need = 0
			}
		}
		if !s.running {
			continue
		}
		s.blocks += max(need, 0)
		s.computed++
		decoding++
	}
	return decoding, preempted
}

// victim returns the sequence of the batch with the highest priority number,
// among these the one submitted last.
func (e *Engine) victim() *Sequence {
	return slices.MaxFunc(e.batch, func(a, b *Sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.order, b.order))
	})
}

func (e *Engine) preempt(i int) {
	s := e.batch[i]
	e.batch = slices.Delete(e.batch, i, i+1)
	e.free(s)
	e.preemptions++
	e.enqueue(s)
	s.Listener.Preempted(s)
}

// free returns the memory of s.
func (e *Engine) free(s *Sequence) {
	e.usedBlocks -= s.blocks
	s.blocks = 0
	s.computed = 0
	s.running = false
	if s.cached != nil {
		e.cache.unref(s.cached, e.loop.now)
		s.cached = nil
	}
}

// reserve takes n free blocks, evicting unused prefixes if needed.
func (e *Engine) reserve(n int) bool {
	for e.usedBlocks+n > e.totalBlocks {
		freed := e.cache.evict()
		if freed == 0 {
			return false
		}
		e.usedBlocks -= freed
	}
	e.usedBlocks += n
	return true
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.cfg.BlockTokens - 1) / e.cfg.BlockTokens
}

// advancePrefill computes prompts of the batch, at most budget tokens.
func (e *Engine) advancePrefill(budget int) int {
	used := 0
	for _, s := range e.batch {
		if !s.prefilling() {
			continue
		}
		n := min(s.target-s.computed, budget-used)
		s.computed += n
		used += n
	}
	return used
}

// admit moves waiting sequences into the batch, in order, while batch, memory
// and the prefill budget allow.
func (e *Engine) admit(budget int) int {
	used := 0
	for len(e.waiting) > 0 && len(e.batch) < e.cfg.MaxBatch && used < budget {
		s := e.waiting[0]
		if !e.allocate(s) {
			break
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.batch = append(e.batch, s)
		s.running = true
		if !s.started {
			s.started = true
			s.Listener.Started(s)
		}
		n := min(s.target-s.computed, budget-used)
		s.computed += n
		used += n
	}
	return used
}

// allocate takes the memory for the prompt of s and what it has produced.
func (e *Engine) allocate(s *Sequence) bool {
	private := s.Prompt + s.produced
	entry := e.cache.lookup(s.Prefix)
	if entry != nil {
		private -= entry.tokens
		e.cache.ref(entry)
	}
	if !e.reserve(e.blocksFor(private)) {
		if entry != nil {
			e.cache.unref(entry, e.loop.now)
		}
		return false
	}
	s.blocks = e.blocksFor(private)
	s.cached = entry
	s.computed = 0
	s.target = private
	return true
}

// endStep hands out the tokens of the step and begins the next one.
func (e *Engine) endStep() {
	if e.dead {
		return
	}
	e.busy = false
	for _, s := range slices.Clone(e.batch) {
		if !s.running || s.prefilling() {
			continue
		}
		s.produced++
		s.Listener.Token(s)
		if s.produced >= s.Output {
			e.finish(s)
		}
	}
	e.wake()
}

func (e *Engine) finish(s *Sequence) {
	i := slices.Index(e.batch, s)
	if i < 0 {
		return // Cancelled by its listener.
	}
	e.batch = slices.Delete(e.batch, i, i+1)
	e.keepPrefix(s)
	e.free(s)
	s.Listener.Finished(s)
}

// keepPrefix moves the prefix of a finished sequence into the cache, if the
// cache does not hold it.
func (e *Engine) keepPrefix(s *Sequence) {
	if s.Prefix == 0 || s.cached != nil || e.cache.lookup(s.Prefix) != nil {
		return
	}
	blocks := s.PrefixTokens / e.cfg.BlockTokens
	if blocks == 0 || blocks > s.blocks {
		return
	}
	s.blocks -= blocks
	e.cache.store(s.Prefix, blocks*e.cfg.BlockTokens, blocks, e.loop.now)
}
