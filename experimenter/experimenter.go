// Package experimenter evaluates admission policies on simulated deployments.
//
// A run sends the requests generated from one seed to engines of package emulator
// in virtual time. A request runs on an engine only after the engine's admission
// controller has granted a permit for it; an admission policy determines which
// controller that is. Under most policies one daemon, the owner of the engine, runs
// the controller; under the others every daemon runs one of its own.
//
// Several daemons, each with its own view of the fleet, use the production code:
// router.Router and, for the policies "split", "ours" and "oracle",
// admitter.Owner. The same Options give the same Results.
package experimenter

import (
	"time"

	"github.com/pkg/errors"
)

// Routing selects the endpoints that are asked for an estimate, and their order.
type Routing string

// The routing modes.
const (
	RouteSequential Routing = "ordered" // The endpoint with prefix affinity; then a random one, unless the first can grant at once.
	RouteParallel   Routing = "both"    // Both of these in parallel.
	RouteRandom     Routing = "random"  // Two random endpoints in parallel.
	RouteAffinity   Routing = "affine"  // Only the endpoint with prefix affinity.
)

// Options are the parameters of a run.
type Options struct {
	Deployment  Deployment
	Load        Load
	Capacity    float64 // Requests per second at which a Load of 1 arrives.
	Fault       Fault
	Routing     Routing // Defaults to RouteSequential, the daemon's own routing.
	OmitJobKind bool    // Clients do not state the kind of their jobs.
	Seed        uint64
	Concurrency int           // Limit per engine of the policy "fixed".
	WarmUp      time.Duration // Requests that arrive earlier are not measured.
	Duration    time.Duration // Time of the last arrival.
}

// LoadByName returns the load with the given name.
func LoadByName(name string) (Load, error) {
	for _, l := range Loads {
		if l.Name == name {
			return l, nil
		}
	}
	return Load{}, errors.Wrapf(ErrUnknownName, "load %q", name)
}

// Run simulates one seed with policy p.
func Run(opt Options, p Policy) Results { return newFleet(opt, p).run() }
