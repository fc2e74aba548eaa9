package router

import "time"

// ejection is the failure record of one endpoint.
type ejection struct {
	active   bool
	failures int // Consecutive.
	times    int // Ejections since the last success outside of a probe.
	until    time.Time
	probing  bool
	probeEnd time.Time
}

// ReportFailure counts a failure of the endpoint itself (no answer, connection
// refused, server error; not a refusal because it is full). The endpoint is
// ejected after EjectAfter consecutive ones, unless more than half of one of
// its sets would then be ejected.
func (r *Router) ReportFailure(name string, now time.Time) {
	e := r.endpoints[name]
	if e == nil {
		return
	}
	j := &e.ejection
	j.failures++
	if j.active {
		if j.probing {
			r.eject(j, now)
		}
		return
	}
	if j.failures >= r.cfg.EjectAfter && r.mayEject(e) {
		r.eject(j, now)
	}
}

// ReportSuccess counts an answer of the endpoint. It ends an ejection.
func (r *Router) ReportSuccess(name string) {
	e := r.endpoints[name]
	if e == nil {
		return
	}
	if e.ejection.active {
		r.restore(e)
		return
	}
	e.ejection = ejection{}
}

// Ejected reports whether the endpoint is ejected.
func (r *Router) Ejected(name string) bool {
	e := r.endpoints[name]
	return e != nil && e.ejection.active
}

func (r *Router) eject(j *ejection, now time.Time) {
	d := r.cfg.EjectionTime << min(j.times, 16)
	if !j.active {
		r.ejected++
	}
	j.active = true
	j.probing = false
	j.times++
	j.until = now.Add(min(d, r.cfg.MaxEjectionTime))
}

func (r *Router) mayEject(e *endpoint) bool {
	if !e.reachable(nil) {
		return false // Gets no work anyway.
	}
	for _, t := range e.targets {
		ejected, live := r.sets[t].count()
		if 2*(ejected+1) > live {
			return false
		}
	}
	return true
}

// count returns how many members are ejected among those that are reachable and
// not leaving.
func (s *set) count() (ejected, live int) {
	for _, g := range [...]*group{&s.own, &s.far} {
		for _, e := range g.members {
			if !e.reachable(nil) {
				continue
			}
			live++
			if e.ejection.active {
				ejected++
			}
		}
	}
	return ejected, live
}

// relax ends ejections where a set has shrunk so that more than half of it is
// ejected, those due first first.
func (r *Router) relax(targets []Target) {
	if r.ejected == 0 {
		return
	}
	for _, t := range targets {
		for s := r.sets[t]; s != nil; {
			ejected, live := s.count()
			if 2*ejected <= live {
				break
			}
			r.restore(s.firstDue())
		}
	}
}

func (s *set) firstDue() *endpoint {
	var first *endpoint
	for _, g := range [...]*group{&s.own, &s.far} {
		for _, e := range g.members {
			if !e.ejection.active || !e.reachable(nil) {
				continue
			}
			if first == nil || e.ejection.until.Before(first.ejection.until) {
				first = e
			}
		}
	}
	return first
}

func (r *Router) restore(e *endpoint) {
	e.ejection = ejection{times: e.ejection.times}
	r.ejected--
}

// probe returns an ejected endpoint of the set whose time is over and that no
// other request probes, or nil.
func (r *Router) probe(s *set, req *Request, now time.Time) *endpoint {
	if req.NoProbe || r.ejected == 0 {
		return nil
	}
	for _, g := range [...]*group{&s.own, &s.far} {
		for _, e := range g.members {
			j := &e.ejection
			if !j.active || now.Before(j.until) || !e.reachable(req.Exclude) {
				continue
			}
			if j.probing && now.Before(j.probeEnd) {
				continue
			}
			j.probing = true
			j.probeEnd = now.Add(r.cfg.ProbeTimeout)
			return e
		}
	}
	return nil
}
