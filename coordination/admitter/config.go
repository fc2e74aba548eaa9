package admitter

import (
	"time"

	"monsoonspar.example/state/cataloger"
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
	setDefault(&c.MemoryTokens, 64_000)
	setDefault(&c.BlockTokens, 16)
	setDefault(&c.MaxBatch, 256)
	setDefault(&c.Step.Base, 15*time.Millisecond)
	setDefault(&c.Step.PerSequence, 150*time.Microsecond)
	setDefault(&c.Step.PerPrefillToken, 50*time.Microsecond)
	setDefault(&c.GapTarget, 73*time.Millisecond)
	setDefault(&c.Quantile, 0.97)
	setDefault(&c.LongTokens, 256)
	setDefault(&c.LongShare, 0.9)
	setDefault(&c.ShortShare, 0.8)
	setDefault(&c.AgeBound, 30*time.Second)
	setDefault(&c.MinChance, 0.5)
	setDefault(&c.ResumeGrace, 10*time.Second)
	setDefault(&c.RestoreWait, 3*time.Second)
	setDefault(&c.TickEvery, 100*time.Millisecond)
	setDefault(&c.MaxRetry, 5*time.Minute)
	return c
}

// setDefault replaces the zero value of *field by value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
