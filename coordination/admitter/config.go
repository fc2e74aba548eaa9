package admitter

import (
	"time"

	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/defaulter"
)

// StepModel is a linear model of the duration of one engine step.
type StepModel struct {
	Base            time.Duration
	PerSequence     time.Duration // Added for each sequence in the batch.
	PerPrefillToken time.Duration // Added for each prompt token prefilled in the step.
}

// Config describes an endpoint and its admission policy. NewOwner replaces each
// zero field by its default.
type Config struct {
	MemoryTokens   int // Capacity of the engine's KV cache, in tokens.
	BlockTokens    int // Allocation unit of the KV cache, in tokens.
	MaxBatch       int // Largest number of sequences decoded together.
	Step           StepModel
	TokenGapTarget time.Duration // Target for the time between two output tokens of a sequence.

	MemoryQuantile float64           // Probability with which the granted sequences fit into memory, from 0.5 to 1.
	Weights        cataloger.Weights // Weights of stall time, preemptions and token gap in the priority at the engine.

	LongJobTokens int           // Expected output, in tokens, from which a job counts as long.
	LongShare     float64       // Fraction of memory and batch that long jobs may use.
	ShortShare    float64       // Fraction that short jobs may use while long jobs are queued.
	MaxQueueWait  time.Duration // Longest time in the queue; the request is then refused.

	MinDeadlineProbability float64       // Minimum probability of meeting the deadline; requests below it are refused.
	ResumeGrace            time.Duration // Time after the failure of its daemon at which a generation is cancelled, unless another daemon takes it over.
	RestoreTimeout         time.Duration // Longest period of conservative admission after a change of owner.
	TickInterval           time.Duration // Interval between calls of Tick while requests are queued or running.
	MaxRetryAfter          time.Duration // Upper bound of Action.RetryAfter.
}

// withDefaults returns c with each zero field replaced by its default.
func (c Config) withDefaults() Config {
	defaulter.Set(&c.MemoryTokens, 64_000)
	defaulter.Set(&c.BlockTokens, 16)
	defaulter.Set(&c.MaxBatch, 256)
	defaulter.Set(&c.Step.Base, 15*time.Millisecond)
	defaulter.Set(&c.Step.PerSequence, 150*time.Microsecond)
	defaulter.Set(&c.Step.PerPrefillToken, 50*time.Microsecond)
	defaulter.Set(&c.TokenGapTarget, 73*time.Millisecond)
	defaulter.Set(&c.MemoryQuantile, 0.97)
	defaulter.Set(&c.LongJobTokens, 256)
	defaulter.Set(&c.LongShare, 0.9)
	defaulter.Set(&c.ShortShare, 0.8)
	defaulter.Set(&c.MaxQueueWait, 30*time.Second)
	defaulter.Set(&c.MinDeadlineProbability, 0.5)
	defaulter.Set(&c.ResumeGrace, 10*time.Second)
	defaulter.Set(&c.RestoreTimeout, 3*time.Second)
	defaulter.Set(&c.TickInterval, 100*time.Millisecond)
	defaulter.Set(&c.MaxRetryAfter, 5*time.Minute)
	return c
}
