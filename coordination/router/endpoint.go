package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/cataloger"
)

// maxPastBoots bounds the boot ids remembered for an endpoint.
const maxPastBoots = 8

// Report is news of one endpoint: its own load report, or what another daemon
// has learned of it.
type Report struct {
	Endpoint string
	BootID   string // Names one life of the endpoint's process.
	Leaving  bool
	Ready    []cataloger.Placement // What an engine holds ready.
}

// endpoint is the state of one endpoint.
type endpoint struct {
	name    string
	hash    uint64
	domain  string
	service string
	targets []Target // The sets that hold the endpoint.

	bootID    string
	pastBoots []string
	leaving   bool
	cutOff    bool
	wait      time.Duration
	waitSeen  time.Time
	ejection  ejection
}

func (e *endpoint) candidate() Candidate {
	return Candidate{Endpoint: e.name, Domain: e.domain}
}

func (e *endpoint) reachable(exclude []string) bool {
	return !e.leaving && !e.cutOff && !slices.Contains(exclude, e.name)
}

func (e *endpoint) usable(exclude []string) bool {
	return !e.ejection.active && e.reachable(exclude)
}

// waitAt returns the wait last forecast, less the time since.
func (e *endpoint) waitAt(now time.Time) time.Duration {
	return max(0, e.wait-now.Sub(e.waitSeen))
}

// SetEndpoints replaces the declared endpoints by those of a manifest. What is
// known of those that stay is kept. A new endpoint counts as holding its
// declared placements until its first Report.
func (r *Router) SetEndpoints(declared []cataloger.Endpoint) {
	keep := make(map[string]bool, len(declared))
	for _, d := range declared {
		keep[d.Name] = true
		r.declare(d)
	}
	for name, e := range r.endpoints {
		if !keep[name] {
			r.forget(e)
		}
	}
}

func (r *Router) declare(d cataloger.Endpoint) {
	e := r.endpoints[d.Name]
	if e != nil && e.domain == d.Domain && e.service == d.Service {
		if e.bootID == "" {
			r.setTargets(e, targetsOf(d.Service, d.Models))
		}
		return
	}
	if e != nil {
		r.forget(e)
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

func (r *Router) forget(e *endpoint) {
	if e.ejection.active {
		r.ejected--
	}
	r.setTargets(e, nil)
	delete(r.endpoints, e.name)
}

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

// setTargets moves e into the sets of targets.
func (r *Router) setTargets(e *endpoint, targets []Target) {
	if slices.Equal(e.targets, targets) {
		return
	}
	for _, t := range e.targets {
		s := r.sets[t]
		s.groupOf(e, r.cfg.Domain).remove(e)
		if s.size() == 0 {
			delete(r.sets, t)
		}
	}
	for _, t := range targets {
		s := r.sets[t]
		if s == nil {
			s = &set{}
			r.sets[t] = s
		}
		s.groupOf(e, r.cfg.Domain).add(e)
	}
	old := e.targets
	e.targets = targets
	r.relax(old)
	r.relax(targets)
}

// Observe takes in a report. A report of an earlier boot is ignored. A new boot
// id ends an earlier leaving, unless the report says leaving again.
func (r *Router) Observe(rep Report) {
	e := r.endpoints[rep.Endpoint]
	if e == nil || slices.Contains(e.pastBoots, rep.BootID) {
		return
	}
	r.enterBoot(e, rep.BootID)
	if rep.Leaving {
		r.leave(e)
	}
	r.setTargets(e, targetsOf(e.service, rep.Ready))
}

// MarkLeaving records that the endpoint is leaving in the life named by bootID,
// whoever says so. An empty bootID stands for the present one. Nothing but a
// new boot id makes the endpoint usable again.
func (r *Router) MarkLeaving(name, bootID string) {
	e := r.endpoints[name]
	if e == nil || slices.Contains(e.pastBoots, bootID) {
		return
	}
	if bootID != "" {
		r.enterBoot(e, bootID)
	}
	r.leave(e)
}

func (r *Router) leave(e *endpoint) {
	e.leaving = true
	r.relax(e.targets)
}

// enterBoot makes bootID the present life of e. A new life starts with a clean
// failure record.
func (r *Router) enterBoot(e *endpoint, bootID string) {
	if bootID == e.bootID || bootID == "" {
		return
	}
	if e.bootID != "" {
		e.pastBoots = append(e.pastBoots, e.bootID)
		if len(e.pastBoots) > maxPastBoots {
			e.pastBoots = e.pastBoots[1:]
		}
		e.leaving = false
		if e.ejection.active {
			r.restore(e)
		}
		e.ejection = ejection{}
	}
	e.bootID = bootID
}

// Leaving reports whether the endpoint is known to be leaving.
func (r *Router) Leaving(name string) bool {
	e := r.endpoints[name]
	return e != nil && e.leaving
}

// MarkNotReady takes the endpoint out of the set of target, after it refused a
// request because the model is not loaded. The next Report decides anew.
func (r *Router) MarkNotReady(name string, target Target) {
	e := r.endpoints[name]
	if e == nil {
		return
	}
	left := slices.DeleteFunc(slices.Clone(e.targets), func(t Target) bool { return t == target })
	r.setTargets(e, left)
}

// SetReachable records whether the endpoint can be reached from this daemon.
func (r *Router) SetReachable(name string, ok bool) {
	if e := r.endpoints[name]; e != nil {
		e.cutOff = !ok
		r.relax(e.targets)
	}
}
