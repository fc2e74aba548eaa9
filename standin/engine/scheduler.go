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
	attemptID     string
	model         Model
	requestID     string // From the directive in the prompt, see marker.Parse.
	generation    string // Part of every token, see marker.Token.
	promptTokens  int
	length        int  // Number of tokens to produce.
	truncated     bool // The length was reduced to max_tokens.
	priority      int
	crashes       bool // The engine crashes before the first token.
	arrivalNumber int
	blockHashes   []string // Of the blocks of the prompt.

	phase           phase
	cancelled       bool
	produced        int
	allocatedTokens int // Tokens allocated in the KV cache.
	readers         int
	lastActive      time.Time     // When a token was last produced or a reader last detached.
	changed         chan struct{} // Closed at the next change.
}

func (seq *sequence) token(index int) marker.Token {
	return marker.Token{ID: seq.requestID, Generation: seq.generation, Index: index}
}

func (seq *sequence) notifyReaders() {
	close(seq.changed)
	seq.changed = make(chan struct{})
}

// scheduler selects the sequences that run in the next step.
type scheduler struct {
	memoryTokens int
	blockTokens  int
	maxBatch     int
	retention    time.Duration
	sequences    map[string]*sequence
	waiting      []*sequence
	running      []*sequence
	usedTokens   int
	arrivals     int
	preemptions  int
}

func newScheduler(cfg Config) scheduler {
	return scheduler{
		memoryTokens: cfg.MemoryTokens,
		blockTokens:  cfg.BlockTokens,
		maxBatch:     cfg.MaxBatch,
		retention:    cfg.Retention,
		sequences:    make(map[string]*sequence),
	}
}

// compareUrgency orders sequences by priority, then by arrival, the most urgent
// first.
func compareUrgency(a, b *sequence) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrivalNumber, b.arrivalNumber))
}

func (s *scheduler) add(seq *sequence) {
	s.arrivals++
	seq.arrivalNumber = s.arrivals
	seq.changed = make(chan struct{})
	s.sequences[seq.attemptID] = seq
	s.waiting = append(s.waiting, seq)
}

// cancel stops a sequence and deletes it.
func (s *scheduler) cancel(seq *sequence) {
	s.release(seq)
	seq.phase = phaseFinished
	seq.cancelled = true
	delete(s.sequences, seq.attemptID)
	seq.notifyReaders()
}

// release removes seq from the queue or the batch and frees its memory.
func (s *scheduler) release(seq *sequence) {
	isReleased := func(other *sequence) bool { return other == seq }
	s.waiting = slices.DeleteFunc(s.waiting, isReleased)
	s.running = slices.DeleteFunc(s.running, isReleased)
	s.usedTokens -= seq.allocatedTokens
	seq.allocatedTokens = 0
}

// roundUpToBlocks rounds n tokens up to a multiple of the block size.
func (s *scheduler) roundUpToBlocks(n int) int {
	return (n + s.blockTokens - 1) / s.blockTokens * s.blockTokens
}

// admit moves waiting sequences into the batch while memory and the batch size
// permit, and returns them.
func (s *scheduler) admit() []*sequence {
	slices.SortFunc(s.waiting, compareUrgency)
	var admitted []*sequence
	for len(s.waiting) > 0 && len(s.running) < s.maxBatch {
		seq := s.waiting[0]
		required := s.roundUpToBlocks(seq.promptTokens + seq.produced + 1)
		if s.usedTokens+required > s.memoryTokens {
			break
		}
		s.waiting = s.waiting[1:]
		s.running = append(s.running, seq)
		s.usedTokens += required
		seq.allocatedTokens = required
		seq.phase = phaseRunning
		admitted = append(admitted, seq)
	}
	return admitted
}

// step produces one token of each running sequence, and preempts the least
// urgent ones when the memory is full.
func (s *scheduler) step(now time.Time) {
	batch := slices.Clone(s.running)
	slices.SortFunc(batch, compareUrgency)
	for _, seq := range batch {
		if seq.phase != phaseRunning || !s.allocateToken(seq) {
			continue
		}
		seq.produced++
		seq.lastActive = now
		if seq.produced == seq.length {
			s.release(seq)
			seq.phase = phaseFinished
		}
		seq.notifyReaders()
	}
}

// allocateToken allocates memory for the next token of seq, and preempts the
// least urgent sequences if necessary. It returns false if seq was preempted.
func (s *scheduler) allocateToken(seq *sequence) bool {
	required := s.roundUpToBlocks(seq.promptTokens+seq.produced+1) - seq.allocatedTokens
	for required > 0 && s.usedTokens+required > s.memoryTokens {
		victim := slices.MaxFunc(s.running, compareUrgency)
		s.preempt(victim)
		if victim == seq {
			return false
		}
	}
	s.usedTokens += max(required, 0)
	seq.allocatedTokens += max(required, 0)
	return true
}

func (s *scheduler) preempt(seq *sequence) {
	s.release(seq)
	seq.phase = phaseWaiting
	s.waiting = append(s.waiting, seq)
	s.preemptions++
}

// expire cancels the sequences that have no reader and have been inactive for
// longer than the retention time.
func (s *scheduler) expire(now time.Time) {
	for _, seq := range s.sequences {
		if seq.readers == 0 && now.Sub(seq.lastActive) > s.retention {
			s.cancel(seq)
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
		if !s.sleep(d) {
			return
		}
		if !s.endStep() && !s.crash() {
			return
		}
	}
}

// endStep produces the tokens of a step. It returns false if a first token is due that
// crashes the engine.
func (s *Server) endStep() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.scheduler.running, func(seq *sequence) bool { return seq.crashes && seq.produced == 0 }) {
		return false
	}
	s.scheduler.step(time.Now())
	return true
}

// crash closes the listener and all connections, and starts the engine again at the same
// address after the time in its faults. It returns false if the server is closed first.
func (s *Server) crash() bool {
	_ = s.listener.Close() // Nothing depends on the error.
	s.mu.Lock()
	downtime := time.Duration(s.faults.CrashDownMS) * time.Millisecond
	for _, seq := range s.scheduler.sequences {
		s.scheduler.cancel(seq)
	}
	s.scheduler, s.cache, s.loadHistory = newScheduler(s.cfg), newPrefixCache(s.cfg.CacheBlocks), nil
	s.orders = orderState{readyModels: slices.Clone(s.cfg.Models)}
	s.bootID, s.counts.Crashes = newBootID(), s.counts.Crashes+1
	s.mu.Unlock()
	if !s.sleep(downtime) {
		return false
	}
	for {
		if _, err := s.listener.Start(s.addr); err == nil {
			return true
		}
		if !s.sleep(restartInterval) { // The port may be in use for a moment.
			return false
		}
	}
}

// restartInterval is the time between attempts to listen again.
const restartInterval = 10 * time.Millisecond

// beginStep admits sequences and returns the duration of the step, or zero if
// nothing is running.
func (s *Server) beginStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.expire(time.Now())
	prefill := 0
	for _, seq := range s.scheduler.admit() {
		cached := s.cache.lookup(seq.blockHashes) * prefixBlockBytes / bytesPerToken
		prefill += max(seq.promptTokens-cached, 0) + seq.produced
		s.cache.store(seq.blockHashes, time.Now())
	}
	running := len(s.scheduler.running)
	if running == 0 {
		return 0
	}
	return s.cfg.StepTime + time.Duration(running)*s.cfg.SequenceTime + time.Duration(prefill)*s.cfg.PrefillTime
}
