package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/cataloger"
)

// maxPreviousBoots bounds the earlier boot ids remembered for an endpoint.
const maxPreviousBoots = 8

// EndpointStatus is the state of one endpoint, taken from its own load report or
// received from another daemon.
type EndpointStatus struct {
	Endpoint     string
	BootID       string // Changes whenever the process of the endpoint restarts.
	ShuttingDown bool
	Ready        []cataloger.Placement // Placements loaded on the engine; unused for services.
}

// endpoint is the state of one endpoint in a Router.
type endpoint struct {
	name    string
	hash    uint64
	domain  string
	service string
	targets []Target // Targets whose pools contain the endpoint.

	bootID        string
	previousBoots []string
	shuttingDown  bool
	unreachable   bool
	forecastWait  time.Duration // Latest forecast of the endpoint's queue wait.
	forecastAt    time.Time     // Time of forecastWait.
	ejection      ejection
}

func (e *endpoint) candidate() Candidate {
	return Candidate{Endpoint: e.name, Domain: e.domain}
}

// available reports whether e is reachable, not shutting down and not in
// exclude. An ejected endpoint can be available.
func (e *endpoint) available(exclude []string) bool {
	return !e.shuttingDown && !e.unreachable && !slices.Contains(exclude, e.name)
}

// usable reports whether e is available and not ejected.
func (e *endpoint) usable(exclude []string) bool {
	return !e.ejection.active && e.available(exclude)
}

// expectedWait returns the latest wait forecast, less the time since it was
// made.
func (e *endpoint) expectedWait(now time.Time) time.Duration {
	return max(0, e.forecastWait-now.Sub(e.forecastAt))
}

// Bounds on the shutdowns of endpoints that are not declared.
const (
	maxEarlyShutdowns      = 256
	earlyShutdownManifests = 3 // Manifests that may come in force before the one that declares the endpoint.
)

// earlyShutdown is the shutdown of an endpoint that is not declared. Another daemon,
// which has put a newer manifest in force, announces it only once.
type earlyShutdown struct {
	bootID    string
	manifests int // Number of manifests that have come in force since.
}

// SetEndpoints replaces the declared endpoints by those of a manifest and keeps
// the state of endpoints that are still declared. A new endpoint is assumed to
// have its declared placements loaded until its first status.
func (r *Router) SetEndpoints(declared []cataloger.Endpoint) {
	keep := make(map[string]bool, len(declared))
	for _, d := range declared {
		keep[d.Name] = true
		r.declareEndpoint(d)
	}
	for name, e := range r.endpoints {
		if !keep[name] {
			r.removeEndpoint(e)
		}
	}
	r.applyEarlyShutdowns()
}

// applyEarlyShutdowns marks the endpoints that are declared now and whose shutdown was
// announced before.
func (r *Router) applyEarlyShutdowns() {
	for name, early := range r.early {
		early.manifests++
		r.early[name] = early
		if r.endpoints[name] != nil {
			r.MarkShuttingDown(name, early.bootID)
		}
		if r.endpoints[name] != nil || early.manifests > earlyShutdownManifests {
			delete(r.early, name)
		}
	}
}

func (r *Router) declareEndpoint(d cataloger.Endpoint) {
	e := r.endpoints[d.Name]
	if e != nil && e.domain == d.Domain && e.service == d.Service {
		if e.bootID == "" {
			r.setTargets(e, targetsOf(d.Service, d.Models))
		}
		return
	}
	if e != nil {
		r.removeEndpoint(e)
	}
	e = &endpoint{
		name:    d.Name,
		hash:    xxhash.Sum64String(d.Name),
		domain:  d.Domain,
		service: d.Service,
	}
	r.endpoints[d.Name] = e
	r.setTargets(e, targetsOf(d.Service, d.Models))
}

func (r *Router) removeEndpoint(e *endpoint) {
	if e.ejection.active {
		r.ejected--
	}
	r.setTargets(e, nil)
	delete(r.endpoints, e.name)
}

// targetsOf returns the targets that an endpoint can serve, without duplicates.
func targetsOf(service string, ready []cataloger.Placement) []Target {
	if service != "" {
		return []Target{{Service: service}}
	}
	ts := make([]Target, 0, len(ready))
	for _, p := range ready {
		t := Target{Placement: p}
		if !slices.Contains(ts, t) {
			ts = append(ts, t)
		}
	}
	return ts
}

// setTargets moves e to the pools of targets.
func (r *Router) setTargets(e *endpoint, targets []Target) {
	if slices.Equal(e.targets, targets) {
		return
	}
	for _, t := range e.targets {
		pool := r.pools[t]
		pool.groupFor(e, r.cfg.Domain).remove(e)
		if pool.size() == 0 {
			delete(r.pools, t)
		}
	}
	for _, t := range targets {
		pool := r.pools[t]
		if pool == nil {
			pool = &endpointPool{}
			r.pools[t] = pool
		}
		pool.groupFor(e, r.cfg.Domain).add(e)
	}
	old := e.targets
	e.targets = targets
	r.restoreExcess(old)
	r.restoreExcess(targets)
}

// Observe processes an endpoint status. A status of an earlier boot is ignored. A
// new boot id means that the endpoint is no longer shutting down, unless the
// status says so again.
func (r *Router) Observe(status EndpointStatus) {
	e := r.endpoints[status.Endpoint]
	if e == nil || slices.Contains(e.previousBoots, status.BootID) {
		return
	}
	r.setBootID(e, status.BootID)
	if status.ShuttingDown {
		r.setShuttingDown(e)
	}
	r.setTargets(e, targetsOf(e.service, status.Ready))
}

// MarkShuttingDown records that the endpoint is shutting down in the boot named
// by bootID, whatever the source of the information. An empty bootID stands for
// the current boot. Only a new boot id makes the endpoint available again. The shutdown
// of an endpoint that is not declared is kept for the next manifests.
func (r *Router) MarkShuttingDown(name, bootID string) {
	e := r.endpoints[name]
	if e == nil && len(r.early) < maxEarlyShutdowns {
		r.early[name] = earlyShutdown{bootID: bootID}
	}
	if e == nil || slices.Contains(e.previousBoots, bootID) {
		return
	}
	if bootID != "" {
		r.setBootID(e, bootID)
	}
	r.setShuttingDown(e)
}

func (r *Router) setShuttingDown(e *endpoint) {
	e.shuttingDown = true
	r.restoreExcess(e.targets)
}

// setBootID makes bootID the current boot of e. A new boot starts with an empty
// failure record.
func (r *Router) setBootID(e *endpoint, bootID string) {
	if bootID == e.bootID || bootID == "" {
		return
	}
	if e.bootID != "" {
		e.previousBoots = append(e.previousBoots, e.bootID)
		if len(e.previousBoots) > maxPreviousBoots {
			e.previousBoots = e.previousBoots[1:]
		}
		e.shuttingDown = false
		if e.ejection.active {
			r.endEjection(e)
		}
		e.ejection = ejection{}
	}
	e.bootID = bootID
}

// ShuttingDown reports whether the endpoint is known to be shutting down.
func (r *Router) ShuttingDown(name string) bool {
	e := r.endpoints[name]
	return e != nil && e.shuttingDown
}

// MarkNotReady removes the endpoint from the pool of target, after it rejected
// a request because the model is not loaded. The next status sets its pools
// again.
func (r *Router) MarkNotReady(name string, target Target) {
	e := r.endpoints[name]
	if e == nil {
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(e.targets), func(t Target) bool { return t == target })
	r.setTargets(e, remaining)
}

// SetReachable records whether this daemon can reach the endpoint.
func (r *Router) SetReachable(name string, ok bool) {
	if e := r.endpoints[name]; e != nil {
		e.unreachable = !ok
		r.restoreExcess(e.targets)
	}
}
