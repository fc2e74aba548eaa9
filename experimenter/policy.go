package experimenter

import (
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/estimator"
)

// Gate decides which requests may run at one endpoint. The admission owner of
// the daemon is one; the baselines are others.
type Gate interface {
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

// Policy is one way to decide.
type Policy struct {
	Name      string
	PerDaemon bool // Each daemon has a gate of its own for every endpoint.
	Exact     bool // The gate is told the true lengths.
	NewGate   func(s gateSettings) Gate
}

// gateSettings is what a gate is made from.
type gateSettings struct {
	deployment  Deployment
	estimator   *estimator.Estimator
	concurrency int
	daemons     int
}

// Policies are those that can be measured, in the order of the table.
var Policies = []Policy{
	{Name: "fixed", NewGate: func(s gateSettings) Gate {
		return newBaseline(s, limitConcurrency)
	}},
	{Name: "free", NewGate: func(s gateSettings) Gate {
		return newBaseline(s, limitFreeNow)
	}},
	{Name: "reserve", NewGate: func(s gateSettings) Gate {
		return newBaseline(s, limitReserved)
	}},
	{Name: "alone", PerDaemon: true, NewGate: func(s gateSettings) Gate {
		return newBaseline(s, limitNone)
	}},
	{Name: "split", PerDaemon: true, NewGate: func(s gateSettings) Gate {
		return newOwner(s, s.daemons)
	}},
	{Name: "ours", NewGate: func(s gateSettings) Gate {
		return newOwner(s, 1)
	}},
	{Name: "oracle", Exact: true, NewGate: func(s gateSettings) Gate {
		return newOwner(s, 1)
	}},
}

// PolicyNamed returns the policy called name.
func PolicyNamed(name string) (Policy, error) {
	for _, p := range Policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, errors.Wrapf(ErrUnknown, "policy %q", name)
}

// newOwner returns the daemon's own admission owner for a part of the engine.
func newOwner(s gateSettings, parts int) Gate {
	e := s.deployment.Engine
	cfg := admitter.Config{
		MemoryTokens:   e.MemoryTokens / parts,
		BlockTokens:    e.BlockTokens,
		MaxBatch:       e.MaxBatch / parts,
		TokenGapTarget: s.deployment.GapTarget,
		Weights:        s.deployment.Weights,
		MaxQueueWait:   s.deployment.AgeBound,
	}
	cfg.Step.Base = e.Step.Base
	cfg.Step.PerSequence = e.Step.PerSequence * time.Duration(parts) // The other daemons run as much.
	cfg.Step.PerPrefillToken = e.Step.PerPrefillToken
	return admitter.NewOwner(cfg, s.estimator)
}
