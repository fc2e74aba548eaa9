package admitter

import (
	"time"

	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/defaulter"
)

// StepModel is the time of one step of the engine.
type StepModel struct {
	Base            time.Duration
	PerSequence     time.Duration // For each sequence in the batch.
	PerPrefillToken time.Duration // For each prompt token computed in the step.
}

// Config describes an endpoint and the policy for it. NewOwner replaces each
// zero field by its default.
type Config struct {
	MemoryTokens int // Token capacity of the engine's memory.
	BlockTokens  int // Allocation unit of the memory, in tokens.
	MaxBatch     int // Largest number of sequences decoded together.
	Step         StepModel
	GapTarget    time.Duration // Bound of the time between two tokens.

	Quantile float64 // Probability that memory suffices, from 0.5 to 1.
	Weights  cataloger.Weights

	LongTokens int           // Expected output from which a job is long.
	LongShare  float64       // Part of memory and batch that long jobs may fill.
	ShortShare float64       // Part that short jobs may fill while long ones wait.
	AgeBound   time.Duration // Longest wait in the queue.

	MinChance   float64       // Least probability of an answer in time.
	ResumeGrace time.Duration // Life of an orphan before it is cancelled.
	RestoreWait time.Duration // Longest cautious time after a change of owner.
	TickEvery   time.Duration // Interval of Tick.
	MaxRetry    time.Duration // Longest RetryAfter.
}

// withDefaults returns c with each zero field replaced.
func (c Config) withDefaults() Config {
	defaulter.Set(&c.MemoryTokens, 64_000)
	defaulter.Set(&c.BlockTokens, 16)
	defaulter.Set(&c.MaxBatch, 256)
	defaulter.Set(&c.Step.Base, 15*time.Millisecond)
	defaulter.Set(&c.Step.PerSequence, 150*time.Microsecond)
	defaulter.Set(&c.Step.PerPrefillToken, 50*time.Microsecond)
	defaulter.Set(&c.GapTarget, 73*time.Millisecond)
	defaulter.Set(&c.Quantile, 0.97)
	defaulter.Set(&c.LongTokens, 256)
	defaulter.Set(&c.LongShare, 0.9)
	defaulter.Set(&c.ShortShare, 0.8)
	defaulter.Set(&c.AgeBound, 30*time.Second)
	defaulter.Set(&c.MinChance, 0.5)
	defaulter.Set(&c.ResumeGrace, 10*time.Second)
	defaulter.Set(&c.RestoreWait, 3*time.Second)
	defaulter.Set(&c.TickEvery, 100*time.Millisecond)
	defaulter.Set(&c.MaxRetry, 5*time.Minute)
	return c
}
