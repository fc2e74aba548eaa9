// Package asserter checks the invariants of the system while it runs.
//
// A violation is counted under the expvar map invariant_violations and handed
// to the handler in force. The handler panics until SetHandler replaces it, so
// a violation is fatal in tests.
package asserter

import (
	"expvar"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrViolated is wrapped by every violation.
var ErrViolated = errors.New("invariant violated")

// Invariant names a property that always holds.
type Invariant string

// The invariants of the system.
const (
	TokensInOrder      Invariant = "tokens_in_order"       // Each token is delivered once, in order.
	OneGeneration      Invariant = "one_generation"        // All tokens of an answer come from one generation.
	OwnAnswer          Invariant = "own_answer"            // An answer goes to its own request.
	NotRunIsTrue       Invariant = "not_run_is_true"       // A request reported as not run was not run.
	AtMostOnce         Invariant = "at_most_once"          // A non-idempotent request runs at most once.
	NoWorkWhileLeaving Invariant = "no_work_while_leaving" // A leaving endpoint gets no new work.
	NothingCutOff      Invariant = "nothing_cut_off"       // A planned stop cuts off no request.
	ConfigMonotonic    Invariant = "config_monotonic"      // The generation in force never decreases.
	FenceMonotonic     Invariant = "fence_monotonic"       // Fencing numbers of orders never decrease.
	LastReadyCopy      Invariant = "last_ready_copy"       // A model with traffic keeps one ready copy.
	MembershipOrder    Invariant = "membership_order"      // A member's state never moves back within an incarnation.
	PermitsConsistent  Invariant = "permits_consistent"    // Each permit is in one state.
)

// ViolationError describes one failed check.
type ViolationError struct {
	Invariant Invariant
	Detail    string
}

// Error returns the invariant and the detail.
func (e ViolationError) Error() string { return string(e.Invariant) + ": " + e.Detail }

// Unwrap returns ErrViolated.
func (e ViolationError) Unwrap() error { return ErrViolated }

// Handler is told of a violation.
type Handler func(ViolationError)

var (
	violations = expvar.NewMap("invariant_violations")
	handler    atomic.Pointer[Handler]
)

// SetHandler makes h the handler of all later violations. A nil h restores the
// panic.
func SetHandler(h Handler) {
	if h == nil {
		handler.Store(nil)
		return
	}
	handler.Store(&h)
}

// That reports a violation of inv unless ok holds.
func That(ok bool, inv Invariant, detail string) {
	if ok {
		return
	}
	v := ViolationError{Invariant: inv, Detail: detail}
	violations.Add(string(inv), 1)
	if h := handler.Load(); h != nil {
		(*h)(v)
		return
	}
	panic(v)
}
