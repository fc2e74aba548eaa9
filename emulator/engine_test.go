package emulator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/emulator"
)

// recorder is a Listener that records the events of sequences.
type recorder struct {
	loop      *emulator.Loop
	started   map[string]time.Duration
	finished  map[string]time.Duration
	tokens    map[string]int
	preempted map[string]int
}

func newRecorder(l *emulator.Loop) *recorder {
	return &recorder{
		loop:      l,
		started:   map[string]time.Duration{},
		finished:  map[string]time.Duration{},
		tokens:    map[string]int{},
		preempted: map[string]int{},
	}
}

func (r *recorder) Started(s *emulator.Sequence)   { r.started[s.ID] = r.loop.Now() }
func (r *recorder) Token(s *emulator.Sequence)     { r.tokens[s.ID]++ }
func (r *recorder) Finished(s *emulator.Sequence)  { r.finished[s.ID] = r.loop.Now() }
func (r *recorder) Preempted(s *emulator.Sequence) { r.preempted[s.ID]++ }

func newEngine(memoryTokens int) (*emulator.Loop, *emulator.Engine, *recorder) {
	l := &emulator.Loop{}
	e := emulator.New(emulator.Config{
		MemoryTokens:     memoryTokens,
		BlockTokens:      16,
		MaxBatch:         8,
		MaxPrefillTokens: 100,
		Step: emulator.StepModel{
			Base:            10 * time.Millisecond,
			PerSequence:     time.Millisecond,
			PerPrefillToken: 100 * time.Microsecond,
		},
	}, l)
	return l, e, newRecorder(l)
}

func ExampleEngine() {
	loop, engine, listener := newEngine(1600)
	engine.Submit(&emulator.Sequence{ID: "a", PromptTokens: 100, OutputTokens: 3, Listener: listener})
	loop.Run(time.Second)
	// One step prefills 100 tokens and yields the first token; two more steps decode.
	fmt.Println(listener.tokens["a"], listener.finished["a"])
	// Output: 3 42ms
}

func TestPrefillIsChunked(t *testing.T) {
	loop, engine, rec := newEngine(1600)
	engine.Submit(&emulator.Sequence{ID: "a", PromptTokens: 250, OutputTokens: 1, Listener: rec})
	loop.Run(time.Second)
	assert.Equal(t, rec.finished["a"], 55*time.Millisecond) // 20 ms, 20 ms, 15 ms.
}

func TestFullMemoryPreemptsLatestSequenceOfLowestPriority(t *testing.T) {
	loop, engine, rec := newEngine(320)
	for i, priority := range []int{0, 1, 1} {
		s := &emulator.Sequence{ID: fmt.Sprint(i), Priority: priority, PromptTokens: 90, OutputTokens: 60, Listener: rec}
		assert.Assert(t, engine.Submit(s))
	}
	loop.Run(10 * time.Second)
	assert.Equal(t, rec.preempted["0"], 0)
	assert.Assert(t, rec.preempted["2"] > 0)
	for i := range 3 {
		assert.Equal(t, rec.tokens[fmt.Sprint(i)], 60, "each token once")
	}
	assert.Equal(t, engine.Report().UsedTokens, 0)
}

func TestPrefixIsSharedAndEvicted(t *testing.T) {
	loop, engine, rec := newEngine(320)
	run := func(id string, prefix uint64, prompt int) time.Duration {
		start := loop.Now()
		s := &emulator.Sequence{ID: id, PromptTokens: prompt, OutputTokens: 1, Prefix: prefix, PrefixTokens: 80, Listener: rec}
		assert.Assert(t, engine.Submit(s))
		loop.Run(start + time.Second)
		return rec.finished[id] - start
	}
	assert.Equal(t, run("a", 1, 90), 19*time.Millisecond)
	assert.Equal(t, engine.CachedTokens(1), 80)
	assert.Equal(t, run("b", 1, 90), 11*time.Millisecond, "the prefix is not computed again")
	run("c", 0, 300)
	assert.Equal(t, engine.CachedTokens(1), 0, "evicted to free memory")
	events := engine.CacheEvents()
	assert.DeepEqual(t, events, []emulator.CacheEvent{{Seq: 1, Stored: true, Hash: 1}, {Seq: 2, Hash: 1}})
}

func TestShutdownRefusesRequestsAndKillStopsThem(t *testing.T) {
	loop, engine, rec := newEngine(320)
	engine.Submit(&emulator.Sequence{ID: "a", PromptTokens: 10, OutputTokens: 100, Listener: rec})
	engine.BeginShutdown()
	assert.Assert(t, !engine.Submit(&emulator.Sequence{ID: "b", PromptTokens: 10, OutputTokens: 1, Listener: rec}))
	loop.Run(50 * time.Millisecond)
	lost := engine.Kill()
	assert.Equal(t, len(lost), 1)
	loop.Run(time.Second)
	assert.Assert(t, rec.tokens["a"] < 100)
}

func TestPartOfPromptCrashesEngineAfterPrefill(t *testing.T) {
	loop := &emulator.Loop{}
	rec := newRecorder(loop)
	var lost []*emulator.Sequence
	engine := emulator.New(emulator.Config{
		MemoryTokens: 1600, BlockTokens: 16, MaxBatch: 8, MaxPrefillTokens: 100, Step: emulator.StepModel{Base: 10 * time.Millisecond},
		CrashPart: 7, OnCrash: func(unfinished []*emulator.Sequence) { lost = unfinished },
	}, loop)
	engine.Submit(&emulator.Sequence{ID: "sound", PromptTokens: 10, OutputTokens: 100, Prefix: 1, Parts: []uint64{2, 3}, Listener: rec})
	loop.Run(100 * time.Millisecond)
	engine.Submit(&emulator.Sequence{ID: "bad", PromptTokens: 250, OutputTokens: 100, Prefix: 1, Parts: []uint64{2, 7}, Listener: rec})
	loop.Run(120 * time.Millisecond)
	assert.Assert(t, !engine.Killed(), "the prefill takes three steps")
	loop.Run(time.Second)
	assert.Assert(t, engine.Killed())
	assert.Equal(t, len(lost), 2)
	assert.Equal(t, rec.tokens["bad"], 0)
	assert.Assert(t, rec.tokens["sound"] < 20)
}

// TestRandomLoadWithCancellations checks that each sequence that is not cancelled
// receives every token exactly once, and that all memory is freed.
func TestRandomLoadWithCancellations(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		loop, engine, rec := newEngine(2048)
		want := map[string]int{}
		for i := range 200 {
			s := &emulator.Sequence{
				ID: fmt.Sprint(i), Priority: rnd.IntN(3), PromptTokens: 64 + rnd.IntN(400), OutputTokens: 1 + rnd.IntN(300),
				Prefix: uint64(rnd.IntN(4)), PrefixTokens: 48, Listener: rec,
			}
			at := time.Duration(rnd.IntN(20_000)) * time.Millisecond
			loop.At(at, func() { engine.Submit(s) })
			if rnd.IntN(5) == 0 {
				loop.At(at+time.Duration(rnd.IntN(5000))*time.Millisecond, func() { engine.Cancel(s.ID) })
				continue
			}
			want[s.ID] = s.OutputTokens
		}
		loop.Run(10 * time.Minute)
		for id, n := range want {
			assert.Equal(t, rec.tokens[id], n, "seed %d, sequence %s", seed, id)
		}
		assert.Equal(t, engine.Report().UsedTokens, 0, "seed %d", seed)
	}
}

func BenchmarkEngine(b *testing.B) {
	for b.Loop() {
		loop, engine, rec := newEngine(100_000)
		for i := range 8 {
			engine.Submit(&emulator.Sequence{ID: fmt.Sprint(i), PromptTokens: 100, OutputTokens: 1000, Listener: rec})
		}
		loop.Run(time.Minute)
	}
}
