// Package emulator simulates an inference engine in virtual time: continuous
// batching, a KV cache allocated in blocks, a prefix cache with eviction,
// chunked prefill, priorities, and preemption with recomputation.
//
// A step takes StepModel.Base, plus PerSequence for each decoding sequence, plus
// PerPrefillToken for each token prefilled in the step. After a preemption, the
// output produced so far is prefilled again with the prompt.
package emulator

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the parameters of an engine.
type Config struct {
	Name             string
	MemoryTokens     int // Capacity of the KV cache, in tokens.
	BlockTokens      int // Size of a KV cache block, in tokens.
	MaxBatch         int // Maximum number of sequences in the batch.
	MaxPrefillTokens int // Maximum number of tokens prefilled in one step.
	Step             StepModel
	CrashPart        uint64                       // Part of prompts that crashes the engine before their first token; 0 for none.
	OnCrash          func(unfinished []*Sequence) // Called at such a crash, unless it is nil.
}

// StepModel holds the components of the duration of a step.
type StepModel struct {
	Base            time.Duration
	PerSequence     time.Duration
	PerPrefillToken time.Duration
}

// Listener receives the events of sequences. Started and Preempted are called
// when a step begins, Token and Finished when it ends.
type Listener interface {
	Started(s *Sequence)   // The first prefill of s begins.
	Token(s *Sequence)     // s has produced another token.
	Finished(s *Sequence)  // s has produced its last token.
	Preempted(s *Sequence) // s has lost its KV cache and is queued again.
}

// Sequence is a generation on an engine.
type Sequence struct {
	ID           string
	Priority     int // Lower values are scheduled first.
	PromptTokens int
	OutputTokens int      // Actual output length; known to the engine only.
	Prefix       uint64   // Hash of the shared prefix of the prompt, or 0 for none.
	PrefixTokens int      // Length of the shared prefix.
	Parts        []uint64 // Hashes of the parts of the prompt after the prefix, without the last one.
	Listener     Listener

	produced       int
	computedTokens int         // Tokens after the cached prefix that are in the KV cache.
	targetTokens   int         // Value of computedTokens at which the next token is produced.
	blocks         int         // Allocated KV cache blocks, without those of the cached prefix.
	cached         *cacheEntry // Cached prefix in use, or nil.
	submitOrder    uint64
	started        bool
	running        bool
}

// Produced returns the number of output tokens produced so far.
func (s *Sequence) Produced() int { return s.produced }

// PrefixHit reports whether s runs on a prefix that was cached when its KV cache
// was allocated.
func (s *Sequence) PrefixHit() bool { return s.cached != nil }

func (s *Sequence) prefilling() bool { return s.computedTokens < s.targetTokens }

// Engine is a simulated inference engine. Use New to create one.
type Engine struct {
	cfg     Config
	loop    *Loop
	waiting []*Sequence
	batch   []*Sequence
	cache   prefixCache

	totalBlocks     int
	usedBlocks      int // By sequences and cached prefixes.
	lastSubmitOrder uint64
	stepInProgress  bool
	killed          bool
	shuttingDown    bool
	lastStep        time.Duration
	preemptions     int
}

// New returns an idle engine.
func New(cfg Config, loop *Loop) *Engine {
	return &Engine{cfg: cfg, loop: loop, totalBlocks: cfg.MemoryTokens / cfg.BlockTokens}
}

// Submit queues s for execution. It returns false, and s never runs, if the
// engine has been killed or is shutting down.
func (e *Engine) Submit(s *Sequence) bool {
	if e.killed || e.shuttingDown {
		return false
	}
	e.lastSubmitOrder++
	s.submitOrder = e.lastSubmitOrder
	e.enqueue(s)
	e.startStepIfIdle()
	return true
}

// Cancel removes the sequence with the given id from the queue or the batch.
func (e *Engine) Cancel(id string) {
	byID := func(s *Sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(e.waiting, byID); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	if i := slices.IndexFunc(e.batch, byID); i >= 0 {
		e.releaseMemory(e.batch[i])
		e.batch = slices.Delete(e.batch, i, i+1)
	}
}

// BeginShutdown makes the engine refuse new sequences and set
// Report.ShuttingDown.
func (e *Engine) BeginShutdown() { e.shuttingDown = true }

// Kill stops the engine and returns its unfinished sequences.
func (e *Engine) Kill() []*Sequence {
	unfinished := slices.Concat(e.batch, e.waiting)
	e.killed = true
	e.batch, e.waiting = nil, nil
	return unfinished
}

// Killed reports whether the engine was killed.
func (e *Engine) Killed() bool { return e.killed }

// enqueue inserts s by priority, then by order of submission, so that a
// preempted sequence precedes those submitted after it.
func (e *Engine) enqueue(s *Sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *Sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.submitOrder, b.submitOrder))
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// startStepIfIdle begins a step if there are sequences and no step is in
// progress.
func (e *Engine) startStepIfIdle() {
	if e.stepInProgress || e.killed || len(e.batch)+len(e.waiting) == 0 {
		return
	}
	e.stepInProgress = true
	e.beginStep()
}

func (e *Engine) beginStep() {
	decoding, preempted := e.extendDecoding()
	prefilled := e.advancePrefill(e.cfg.MaxPrefillTokens)
	if !preempted {
		prefilled += e.admit(e.cfg.MaxPrefillTokens - prefilled)
	}
	m := e.cfg.Step
	e.lastStep = m.Base + time.Duration(decoding)*m.PerSequence + time.Duration(prefilled)*m.PerPrefillToken
	e.loop.After(e.lastStep, e.endStep)
}

// extendDecoding allocates KV cache for one more token of each decoding sequence,
// and preempts sequences if there is not enough free memory. It returns the
// number of sequences that decode in this step.
func (e *Engine) extendDecoding() (decoding int, preempted bool) {
	for i := 0; i < len(e.batch); i++ {
		s := e.batch[i]
		if s.prefilling() {
			continue
		}
		s.targetTokens = s.computedTokens + 1
		need := e.blocksFor(s.targetTokens) - s.blocks
		for need > 0 && !e.reserveBlocks(need) {
			preempted = true
			victim := e.selectVictim()
			victimIndex := slices.Index(e.batch, victim)
			e.preempt(victimIndex)
			if victimIndex <= i {
				i--
			}
			if victim == s {
				need = 0
			}
		}
		if !s.running {
			continue
		}
		s.blocks += max(need, 0)
		s.computedTokens++
		decoding++
	}
	return decoding, preempted
}

// selectVictim returns the sequence to preempt: of those in the batch with the
// highest Priority value, the one submitted last.
func (e *Engine) selectVictim() *Sequence {
	return slices.MaxFunc(e.batch, func(a, b *Sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.submitOrder, b.submitOrder))
	})
}

func (e *Engine) preempt(i int) {
	s := e.batch[i]
	e.batch = slices.Delete(e.batch, i, i+1)
	e.releaseMemory(s)
	e.preemptions++
	e.enqueue(s)
	s.Listener.Preempted(s)
}

// releaseMemory frees the KV cache of s and drops its reference to a cached prefix.
func (e *Engine) releaseMemory(s *Sequence) {
	e.usedBlocks -= s.blocks
	s.blocks = 0
	s.computedTokens = 0
	s.running = false
	if s.cached != nil {
		e.cache.unref(s.cached, e.loop.now)
		s.cached = nil
	}
}

// reserveBlocks allocates n blocks, evicting unused prefixes if necessary. It
// reports whether enough blocks were available.
func (e *Engine) reserveBlocks(n int) bool {
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

// advancePrefill prefills up to budget tokens of sequences in the batch and
// returns their number.
func (e *Engine) advancePrefill(budget int) int {
	used := 0
	for _, s := range e.batch {
		if !s.prefilling() {
			continue
		}
		n := min(s.targetTokens-s.computedTokens, budget-used)
		s.computedTokens += n
		used += n
	}
	return used
}

// admit moves waiting sequences into the batch, in order, until the batch, the
// memory or the prefill budget is exhausted. It returns the number of tokens
// prefilled.
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
		n := min(s.targetTokens-s.computedTokens, budget-used)
		s.computedTokens += n
		used += n
	}
	return used
}

// allocate reserves KV cache for the prompt of s and its output so far. It
// reports whether there was enough free memory.
func (e *Engine) allocate(s *Sequence) bool {
	private := s.PromptTokens + s.produced
	entry := e.cache.lookup(s.Prefix)
	if entry != nil {
		private -= entry.tokens
		e.cache.ref(entry)
	}
	if !e.reserveBlocks(e.blocksFor(private)) {
		if entry != nil {
			e.cache.unref(entry, e.loop.now)
		}
		return false
	}
	s.blocks = e.blocksFor(private)
	s.cached = entry
	s.computedTokens = 0
	s.targetTokens = private
	return true
}

// endStep delivers the tokens of the step and begins the next one.
func (e *Engine) endStep() {
	if e.killed {
		return
	}
	if slices.ContainsFunc(e.batch, e.crashesOn) {
		unfinished := e.Kill()
		if e.cfg.OnCrash != nil {
			e.cfg.OnCrash(unfinished)
		}
		return
	}
	e.stepInProgress = false
	for _, s := range slices.Clone(e.batch) {
		if !s.running || s.prefilling() {
			continue
		}
		s.produced++
		s.Listener.Token(s)
		if s.produced >= s.OutputTokens {
			e.finish(s)
		}
	}
	e.startStepIfIdle()
}

// crashesOn reports whether the first token of s is due and crashes the engine.
func (e *Engine) crashesOn(s *Sequence) bool {
	return e.cfg.CrashPart != 0 && s.running && !s.prefilling() && s.produced == 0 && slices.Contains(s.Parts, e.cfg.CrashPart)
}

func (e *Engine) finish(s *Sequence) {
	i := slices.Index(e.batch, s)
	if i < 0 {
		return // The listener has cancelled it.
	}
	e.batch = slices.Delete(e.batch, i, i+1)
	e.cachePrefix(s)
	e.releaseMemory(s)
	s.Listener.Finished(s)
}

// cachePrefix moves the prefix of a finished sequence into the prefix cache,
// unless it is already there.
func (e *Engine) cachePrefix(s *Sequence) {
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
