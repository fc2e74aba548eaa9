package experimenter

import (
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/estimator"
)

// Controller is an admission controller: it decides which requests may run at one
// endpoint. It is implemented by admitter.Owner and by the baselines.
type Controller interface {
	Enqueue(now time.Time, r admitter.Request) []admitter.Action
	Observe(now time.Time, r admitter.LoadReport) []admitter.Action
	Release(now time.Time, id admitter.PermitID, res admitter.Result) []admitter.Action
	AwaitRestore(now time.Time, daemons []string)
	Restore(now time.Time, daemon string, held []admitter.HeldPermit) []admitter.Action
	RemoveDaemon(now time.Time, daemon string) []admitter.Action
	StopAdmission(now time.Time) []admitter.Action
	Tick(now time.Time) []admitter.Action
	NextWake(now time.Time) time.Time
	Estimate(now time.Time, r admitter.Request) admitter.Estimate
}

// Policy is an admission policy.
type Policy struct {
	Name          string
	PerDaemon     bool // Each daemon has its own controller for every endpoint, instead of one at the owner.
	ExactLengths  bool // The controller knows the output lengths in advance.
	NewController func(s controllerConfig) Controller
}

// controllerConfig holds the parameters of a controller.
type controllerConfig struct {
	deployment  Deployment
	estimator   *estimator.Estimator
	concurrency int // Limit of the policy "fixed".
	daemons     int // Number of daemons that admit to the engine independently.
}

// Policies lists all policies, in the order of the table:
//   - "fixed" limits the number of running requests.
//   - "free" grants a request if its prompt fits into the free memory.
//   - "reserve" reserves memory for the output limit of each request.
//   - "alone" grants every request at once.
//   - "split" has an admission owner at each daemon, with an equal share of the engine.
//   - "ours" has one admission owner per engine, as in production.
//   - "oracle" is "ours" with output lengths that are known in advance.
var Policies = []Policy{
	{Name: "fixed", NewController: func(s controllerConfig) Controller {
		return newBaseline(s, admitBelowConcurrency)
	}},
	{Name: "free", NewController: func(s controllerConfig) Controller {
		return newBaseline(s, admitIntoFreeMemory)
	}},
	{Name: "reserve", NewController: func(s controllerConfig) Controller {
		return newBaseline(s, admitIntoUnreservedMemory)
	}},
	{Name: "alone", PerDaemon: true, NewController: func(s controllerConfig) Controller {
		return newBaseline(s, admitAlways)
	}},
	{Name: "split", PerDaemon: true, NewController: func(s controllerConfig) Controller {
		return newOwner(s, s.daemons)
	}},
	{Name: "ours", NewController: func(s controllerConfig) Controller {
		return newOwner(s, 1)
	}},
	{Name: "oracle", ExactLengths: true, NewController: func(s controllerConfig) Controller {
		return newOwner(s, 1)
	}},
}

// PolicyByName returns the policy with the given name.
func PolicyByName(name string) (Policy, error) {
	for _, p := range Policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, errors.Wrapf(ErrUnknownName, "policy %q", name)
}

// newOwner returns the daemon's admission owner for a 1/parts share of the engine.
func newOwner(s controllerConfig, parts int) Controller {
	e := s.deployment.Engine
	cfg := admitter.Config{
		MemoryTokens:   e.MemoryTokens / parts,
		BlockTokens:    e.BlockTokens,
		MaxBatch:       e.MaxBatch / parts,
		TokenGapTarget: s.deployment.TokenGapTarget,
		Weights:        s.deployment.Weights,
		MaxQueueWait:   s.deployment.MaxQueueWait,
	}
	cfg.Step.Base = e.Step.Base
	cfg.Step.PerSequence = e.Step.PerSequence * time.Duration(parts) // The other parts are assumed to run as many sequences.
	cfg.Step.PerPrefillToken = e.Step.PerPrefillToken
	return admitter.NewOwner(cfg, s.estimator)
}
