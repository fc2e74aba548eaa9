package engine

import (
	"cmp"
	"slices"
	"time"

	"monsoonspar.example/standin/marker"
)

type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseFinished
)

// sequence is one generation.
type sequence struct {
	attemptID    string
	model        Model
	id           string // The mark of the request.
	generation   string
	promptTokens int
	length       int  // Tokens that it will produce.
	limited      bool // The length is that of max_tokens.
	priority     int
	arrival      int
	prefix       []string // Hashes of the prompt's prefixes.

	phase     phase
	cancelled bool
	produced  int
	held      int // Tokens of memory.
	readers   int
	idleSince time.Time     // When the last token was produced or the last reader left.
	changed   chan struct{} // Closed at the next change.
}

func (q *sequence) token(index int) marker.Token {
	return marker.Token{ID: q.id, Generation: q.generation, Index: index}
}

func (q *sequence) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// scheduler decides which sequences run in the next step.
type scheduler struct {
	memory      int
	block       int
	maxBatch    int
	retention   time.Duration
	sequences   map[string]*sequence
	waiting     []*sequence
	running     []*sequence
	used        int
	arrivals    int
	preemptions int
}

func newScheduler(cfg Config) scheduler {
	return scheduler{
		memory:    cfg.MemoryTokens,
		block:     cfg.BlockTokens,
		maxBatch:  cfg.MaxBatch,
		retention: cfg.Retention,
		sequences: make(map[string]*sequence),
	}
}

// before orders sequences by urgency, the most urgent first.
func before(a, b *sequence) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
}

func (s *scheduler) add(q *sequence) {
	s.arrivals++
	q.arrival = s.arrivals
	q.changed = make(chan struct{})
	s.sequences[q.attemptID] = q
	s.waiting = append(s.waiting, q)
}

// cancel ends a sequence and forgets it.
func (s *scheduler) cancel(q *sequence) {
	s.release(q)
	q.phase = phaseFinished
	q.cancelled = true
	delete(s.sequences, q.attemptID)
	q.notify()
}

// release takes q out of the queue or the batch and frees its memory.
func (s *scheduler) release(q *sequence) {
	same := func(other *sequence) bool { return other == q }
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.running = slices.DeleteFunc(s.running, same)
	s.used -= q.held
	q.held = 0
}

// blocks rounds n tokens up to whole blocks.
func (s *scheduler) blocks(n int) int { return (n + s.block - 1) / s.block * s.block }

// admit moves waiting sequences into the batch and returns them.
func (s *scheduler) admit() []*sequence {
	slices.SortFunc(s.waiting, before)
	var admitted []*sequence
	for len(s.waiting) > 0 && len(s.running) < s.maxBatch {
		q := s.waiting[0]
		need := s.blocks(q.promptTokens + q.produced + 1)
		if s.used+need > s.memory {
			break
		}
		s.waiting = s.waiting[1:]
		s.running = append(s.running, q)
		s.used += need
		q.held = need
		q.phase = phaseRunning
		admitted = append(admitted, q)
	}
	return admitted
}

// step produces one token of each running sequence, preempting the least
// urgent ones when the memory is full.
func (s *scheduler) step(now time.Time) {
	batch := slices.Clone(s.running)
	slices.SortFunc(batch, before)
	for _, q := range batch {
		if q.phase != phaseRunning || !s.grow(q) {
			continue
		}
		q.produced++
		q.idleSince = now
		if q.produced == q.length {
			s.release(q)
			q.phase = phaseFinished
		}
		q.notify()
	}
}

// grow makes room for the next token of q. It reports false if q itself was
// preempted.
func (s *scheduler) grow(q *sequence) bool {
	need := s.blocks(q.promptTokens+q.produced+1) - q.held
	for need > 0 && s.used+need > s.memory {
		victim := slices.MaxFunc(s.running, before)
		s.preempt(victim)
		if victim == q {
			return false
		}
	}
	s.used += max(need, 0)
	q.held += max(need, 0)
	return true
}

func (s *scheduler) preempt(q *sequence) {
	s.release(q)
	q.phase = phaseWaiting
	s.waiting = append(s.waiting, q)
	s.preemptions++
}

// expire drops the sequences that have had no reader and no token for the
// retention time.
func (s *scheduler) expire(now time.Time) {
	for _, q := range s.sequences {
		if q.readers == 0 && now.Sub(q.idleSince) > s.retention {
			s.cancel(q)
		}
	}
}

// runSteps produces tokens until the server is closed.
func (s *Server) runSteps() {
	for s.ctx.Err() == nil {
		d := s.beginStep()
		if d == 0 {
			select {
			case <-s.wake:
			case <-time.After(time.Second):
			case <-s.ctx.Done():
			}
			continue
		}
		if !s.wait(d) {
			return
		}
		s.mu.Lock()
		s.scheduler.step(time.Now())
		s.mu.Unlock()
	}
}

// beginStep fills the batch and returns the time that the step takes, zero if
// there is nothing to do.
func (s *Server) beginStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.expire(time.Now())
	prefill := 0
	for _, q := range s.scheduler.admit() {
		cached := s.cache.lookup(q.prefix) * prefixBytes / bytesPerToken
		prefill += max(q.promptTokens-cached, 0) + q.produced
		s.cache.store(q.prefix, time.Now())
	}
	n := len(s.scheduler.running)
	if n == 0 {
		return 0
	}
	return s.cfg.StepTime + time.Duration(n)*s.cfg.SequenceTime + time.Duration(prefill)*s.cfg.PrefillTime
}
