package admitter

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/coordination/scheduler"
	"monsoonspar.example/state/estimator"
)

// permitState is the state of a permit that has not ended.
type permitState int

const (
	queued   permitState = iota // Not granted yet.
	running                     // Granted and held by a daemon that is alive.
	orphaned                    // Granted; the daemon that held it has failed.
)

// permit is a request that is queued or granted.
type permit struct {
	req          Request
	class        estimator.Class
	state        permitState
	entry        *scheduler.Entry[*permit]
	outputLength estimator.Bounded

	expectedTokens float64 // Expected output tokens, estimated on arrival.
	chargedTokens  float64 // Output tokens charged to the customer so far.

	enqueuedAt   time.Time
	grantedIndex int           // Index in Owner.granted.
	grantedAt    time.Time     // Zero if another owner granted it.
	orphanedAt   time.Time     // When its daemon failed.
	priority     int           // Priority at the engine.
	expectedWait time.Duration // Queue wait forecast on arrival.

	startStep     float64 // Engine step from which its output tokens are counted.
	reported      bool    // Whether a load report has listed it.
	missedReports int     // Consecutive load reports that did not list it.
	moments       forecaster.Moments
}

// class returns the class of the request for the estimate of its output length.
func (r *Request) class() estimator.Class {
	return estimator.Class{Model: r.Model, Customer: r.Customer, Kind: r.Kind}
}

// uncachedTokens returns the number of prompt tokens that need prefill.
func (r *Request) uncachedTokens() int { return max(r.PromptTokens-r.CachedTokens, 0) }

// produced extrapolates the number of output tokens at an engine step. It stays
// below the limit, since a generation that reaches it has ended.
func (p *permit) produced(step float64) int {
	n := max(int(step-p.startStep), 0)
	if p.req.MaxTokens > 0 {
		n = min(n, max(p.req.MaxTokens-1, 0))
	}
	return n
}

// presumedEnded reports whether load reports show that the engine no longer holds
// p although it has not been released.
func (p *permit) presumedEnded() bool { return p.missedReports >= maxMissedReports }

// untrackedSequence is a sequence at the engine for which the owner has no
// granted permit.
type untrackedSequence struct {
	prompt    int
	startStep float64
}
