package router

import "time"

// ejection is the failure record of one endpoint.
type ejection struct {
	active        bool
	failures      int // Consecutive failures.
	ejections     int // Ejections since the last success outside of a probe.
	ejectedUntil  time.Time
	probing       bool      // A request that probes the endpoint is in progress.
	probeDeadline time.Time // When a probe without a result is given up.
}

// ReportFailure records a failure of the endpoint itself: no response, a
// refused connection or a server error, but not a rejection because the
// endpoint is at capacity. After EjectAfter consecutive failures the endpoint
// is ejected, unless that would leave more than half of one of its pools
// ejected.
func (r *Router) ReportFailure(name string, now time.Time) {
	e := r.endpoints[name]
	if e == nil {
		return
	}
	ej := &e.ejection
	ej.failures++
	if ej.active {
		if ej.probing {
			r.eject(ej, now)
		}
		return
	}
	if ej.failures >= r.cfg.EjectAfter && r.canEject(e) {
		r.eject(ej, now)
	}
}

// ReportSuccess records a response from the endpoint. It ends an ejection.
func (r *Router) ReportSuccess(name string) {
	e := r.endpoints[name]
	if e == nil {
		return
	}
	if e.ejection.active {
		r.endEjection(e)
		return
	}
	e.ejection = ejection{}
}

// Ejected reports whether the endpoint is ejected.
func (r *Router) Ejected(name string) bool {
	e := r.endpoints[name]
	return e != nil && e.ejection.active
}

func (r *Router) eject(ej *ejection, now time.Time) {
	duration := r.cfg.BaseEjectionTime << min(ej.ejections, 16)
	if !ej.active {
		r.ejected++
	}
	ej.active = true
	ej.probing = false
	ej.ejections++
	ej.ejectedUntil = now.Add(min(duration, r.cfg.MaxEjectionTime))
}

func (r *Router) canEject(e *endpoint) bool {
	if !e.available(nil) {
		return false // Gets no work in any case.
	}
	for _, t := range e.targets {
		ejected, available := r.pools[t].countEjected()
		if 2*(ejected+1) > available {
			return false
		}
	}
	return true
}

// countEjected returns how many endpoints of the pool are available, and how
// many of these are ejected.
func (p *endpointPool) countEjected() (ejected, available int) {
	for _, g := range [...]*group{&p.local, &p.remote} {
		for _, e := range g.members {
			if !e.available(nil) {
				continue
			}
			available++
			if e.ejection.active {
				ejected++
			}
		}
	}
	return ejected, available
}

// restoreExcess ends ejections in pools that have shrunk so far that more than
// half of their available endpoints are ejected. Those due to end first are
// ended first.
func (r *Router) restoreExcess(targets []Target) {
	if r.ejected == 0 {
		return
	}
	for _, t := range targets {
		for pool := r.pools[t]; pool != nil; {
			ejected, available := pool.countEjected()
			if 2*ejected <= available {
				break
			}
			r.endEjection(pool.earliestDue())
		}
	}
}

// earliestDue returns the ejected endpoint of the pool, among those available,
// whose ejection is due to end first, or nil.
func (p *endpointPool) earliestDue() *endpoint {
	var earliest *endpoint
	for _, g := range [...]*group{&p.local, &p.remote} {
		for _, e := range g.members {
			if !e.ejection.active || !e.available(nil) {
				continue
			}
			if earliest == nil || e.ejection.ejectedUntil.Before(earliest.ejection.ejectedUntil) {
				earliest = e
			}
		}
	}
	return earliest
}

func (r *Router) endEjection(e *endpoint) {
	e.ejection = ejection{ejections: e.ejection.ejections}
	r.ejected--
}

// pickProbe returns an endpoint of the pool whose ejection time has passed and
// that no other request is probing, or nil.
func (r *Router) pickProbe(pool *endpointPool, req *Request, now time.Time) *endpoint {
	if req.NoProbe || r.ejected == 0 {
		return nil
	}
	for _, g := range [...]*group{&pool.local, &pool.remote} {
		for _, e := range g.members {
			ej := &e.ejection
			if !ej.active || now.Before(ej.ejectedUntil) || !e.available(req.Exclude) {
				continue
			}
			if ej.probing && now.Before(ej.probeDeadline) {
				continue
			}
			ej.probing = true
			ej.probeDeadline = now.Add(r.cfg.ProbeTimeout)
			return e
		}
	}
	return nil
}
