// Package experimenter measures admission policies on modelled deployments.
//
// A run plays the requests of one seed against engines of package emulator on
// virtual time. Several daemons, each with its own view, decide with the code
// of the product: router.Router and, for the policies "split", "ours" and
// "oracle", admitter.Owner. The same Options give the same Figures.
package experimenter

import (
	"time"

	"github.com/pkg/errors"
)

// Routing is a way to pick the endpoints that are asked for a quote.
type Routing string

// The ways to route.
const (
	RouteOrdered Routing = "ordered" // The one preferred by prefix affinity, then a random one unless the first can grant at once.
	RouteBoth    Routing = "both"    // Both of these at once.
	RouteRandom  Routing = "random"  // Two random ones at once.
	RouteAffine  Routing = "affine"  // The one preferred by prefix affinity.
)

// Options say what one run plays.
type Options struct {
	Deployment  Deployment
	Load        Load
	Capacity    float64 // Requests a second that Load is a part of.
	Fault       Fault
	Routing     Routing // RouteOrdered, as the daemon does, if empty.
	Unnamed     bool    // Callers do not name the kind of their jobs.
	Seed        uint64
	Concurrency int           // Limit of the policy "fixed", for each engine.
	WarmUp      time.Duration // Requests that arrive before count for nothing.
	Duration    time.Duration // Time of the last arrival.
}

// LoadNamed returns the load called name.
func LoadNamed(name string) (Load, error) {
	for _, l := range Loads {
		if l.Name == name {
			return l, nil
		}
	}
	return Load{}, errors.Wrapf(ErrUnknown, "load %q", name)
}

// Run plays one seed with policy p.
func Run(opt Options, p Policy) Figures { return newFleet(opt, p).run() }
