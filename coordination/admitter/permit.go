package admitter

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/coordination/scheduler"
	"monsoonspar.example/state/estimator"
)

// state is where a live permit stands.
type state int

const (
	queued  state = iota // Waits for its grant.
	running              // Granted, and its daemon is there.
	orphan               // Granted, and its daemon is lost.
)

// permit is one live request.
type permit struct {
	req    Request
	class  estimator.Class
	state  state
	entry  *scheduler.Entry[*permit]
	length estimator.Bounded

	expected float64 // Output tokens expected at the grant.
	charged  float64 // Output tokens charged to the customer.

	enqueuedAt time.Time
	slot       int           // Place in Owner.granted.
	grantedAt  time.Time     // Zero if another owner granted it.
	orphanedAt time.Time     // When its daemon was lost.
	priority   int           // At the engine.
	promised   time.Duration // Wait forecast when it was queued.

	startStep float64 // Step of the engine at which it had produced nothing.
	seen      bool    // Reports whether a report has listed it.
	absent    int     // Reports in a row that did not list it.
	moments   forecaster.Moments
}

// class returns the class of outputs that a request belongs to.
func (r *Request) class() estimator.Class {
	return estimator.Class{Model: r.Model, Customer: r.Customer, Kind: r.Kind}
}

// uncached returns the prompt tokens that the engine has to compute.
func (r *Request) uncached() int { return max(r.PromptTokens-r.CachedTokens, 0) }

// produced returns the output tokens by a step of the engine, dead-reckoned.
func (p *permit) produced(step float64) int {
	n := max(int(step-p.startStep), 0)
	if p.req.MaxTokens > 0 {
		n = min(n, max(p.req.MaxTokens-1, 0))
	}
	return n
}

// gone reports whether the engine seems not to hold p any more.
func (p *permit) gone() bool { return p.absent >= absentReports }

// foreign is a sequence at the engine that the owner holds no permit for.
type foreign struct {
	prompt    int
	startStep float64
}
