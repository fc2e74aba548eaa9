// Package asserter checks the invariants of the system while it runs.
//
// A violation is counted in the expvar map invariant_violations and passed to the
// current handler. The default handler panics, so that a violation is fatal in
// tests; SetHandler replaces it.
package asserter

import (
	"expvar"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrViolated is wrapped by every ViolationError.
var ErrViolated = errors.New("invariant violated")

// Invariant names a property that always holds.
type Invariant string

// The invariants of the system.
const (
	TokensInOrder        Invariant = "tokens_in_order"       // Each token is delivered exactly once, in order.
	OneGeneration        Invariant = "one_generation"        // All tokens of a response come from one generation.
	OwnAnswer            Invariant = "own_answer"            // A response is delivered only to its own request.
	NotRunIsTrue         Invariant = "not_run_is_true"       // A request that is reported as not run was not run.
	AtMostOnce           Invariant = "at_most_once"          // A non-idempotent request runs at most once.
	NoWorkDuringShutdown Invariant = "no_work_while_leaving" // An endpoint that is shutting down gets no new work.
	NoRequestInterrupted Invariant = "nothing_cut_off"       // A graceful shutdown interrupts no request.
	ConfigMonotonic      Invariant = "config_monotonic"      // The generation in force never decreases.
	FenceMonotonic       Invariant = "fence_monotonic"       // Fencing tokens of orders never decrease.
	LastReadyCopy        Invariant = "last_ready_copy"       // A model with traffic keeps at least one ready replica.
	MembershipOrder      Invariant = "membership_order"      // A member's state never regresses within an incarnation.
	PermitsConsistent    Invariant = "permits_consistent"    // Each permit is in exactly one state.
)

// ViolationError describes a violated invariant.
type ViolationError struct {
	Invariant Invariant
	Detail    string
}

// Error returns the invariant and the detail.
func (e ViolationError) Error() string { return string(e.Invariant) + ": " + e.Detail }

// Unwrap returns ErrViolated.
func (e ViolationError) Unwrap() error { return ErrViolated }

// Handler is called with each violation.
type Handler func(ViolationError)

var (
	violations = expvar.NewMap("invariant_violations")
	handler    atomic.Pointer[Handler]
)

// SetHandler sets the handler of all later violations. A nil h restores the
// default, which panics.
func SetHandler(h Handler) {
	if h == nil {
		handler.Store(nil)
		return
	}
	handler.Store(&h)
}

// That reports a violation of inv if ok is false.
func That(ok bool, inv Invariant, detail string) {
	if ok {
		return
	}
	violation := ViolationError{Invariant: inv, Detail: detail}
	violations.Add(string(inv), 1)
	if h := handler.Load(); h != nil {
		(*h)(violation)
		return
	}
	panic(violation)
}
