package experimenter

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/admitter"
)

// Fault is something that goes wrong during a run.
type Fault string

// The faults.
const (
	FaultNone      Fault = "none"
	FaultLost      Fault = "engine_lost"      // An engine dies.
	FaultReclaimed Fault = "engine_reclaimed" // An engine gets a notice, then dies.
	FaultOwner     Fault = "owner_lost"       // A daemon dies.
	FaultReports   Fault = "late_reports"     // Load reports come late by seconds.
	FaultCut       Fault = "domain_cut"       // A failure domain is cut off for a time.
)

// Faults lists all faults.
var Faults = []Fault{FaultNone, FaultLost, FaultReclaimed, FaultOwner, FaultReports, FaultCut}

// FaultNamed returns the fault called name.
func FaultNamed(name string) (Fault, error) {
	if !slices.Contains(Faults, Fault(name)) {
		return FaultNone, errors.Wrapf(ErrUnknown, "fault %q", name)
	}
	return Fault(name), nil
}

// Times of the faults. The burst begins at 180 s.
const (
	faultAt = 195 * time.Second
	cutFor  = 60 * time.Second
)

// plan schedules the fault.
func (x Fault) plan(f *fleet) {
	switch x {
	case FaultNone:
	case FaultLost:
		f.loop.At(faultAt, func() { f.killEngine(f.engines[0]) })
	case FaultReclaimed:
		f.loop.At(faultAt, func() { f.reclaim(f.engines[0]) })
	case FaultOwner:
		f.loop.At(faultAt, func() { f.killDaemon(f.daemons[0]) })
	case FaultReports:
		f.reportLag = lateReportLag
	case FaultCut:
		f.loop.At(faultAt, func() { f.setCut(f.d.Domains[0]) })
		f.loop.At(faultAt+cutFor, func() { f.setCut("") })
	}
}

// killEngine ends an engine. Requests without a token go elsewhere at once,
// others fail.
func (f *fleet) killEngine(e *engineNode) {
	lost := e.engine.Kill()
	for _, s := range lost {
		j := s.Listener.(*job)
		if s.Produced() > 0 {
			j.fail()
			continue
		}
		j.sequence = nil
		j.started = false
		j.goElsewhere(e.name)
	}
	f.loop.After(detectTime, func() { f.announceLeaving(e) })
}

// reclaim gives an engine its notice.
func (f *fleet) reclaim(e *engineNode) {
	e.engine.BeginShutdown()
	f.loop.After(vmListLag, func() { f.announceLeaving(e) })
	f.loop.After(reclaimNotice, func() { f.killEngine(e) })
}

func (f *fleet) announceLeaving(e *engineNode) {
	for _, d := range f.daemons {
		d.router.MarkLeaving(e.name, "")
		if h := d.hosts[e.name]; h != nil && !d.dead {
			h.do(h.gate.StopAdmission(f.now()))
		}
	}
}

// killDaemon ends a daemon. Its callers reconnect to others; the endpoints that
// it owned pass to the next owners once the loss is noticed.
func (f *fleet) killDaemon(dead *daemon) {
	dead.dead = true
	for _, j := range f.live() {
		if j.daemon == dead {
			f.loop.After(reconnectAfter, func() { j.reconnect() })
		}
	}
	f.loop.After(detectTime, func() {
		for _, d := range f.daemons {
			d.lost[dead.name] = true
		}
		for _, d := range f.daemons {
			f.loseAt(d, dead)
		}
		f.moveJobs(dead)
	})
}

func (f *fleet) live() []*job {
	return slices.DeleteFunc(slices.Clone(f.jobs), func(j *job) bool { return j.ended })
}

// reconnect moves the caller of j to a daemon that lives. A request that had
// not been sent to an engine starts anew.
func (j *job) reconnect() {
	if j.ended {
		return
	}
	j.daemon = j.f.anyDaemon()
	if j.sequence == nil {
		j.stopWaiting()
		j.host = nil
		j.route()
	}
}

// loseAt tells the gates at d of the dead daemon, and of the permits that its
// callers hold through other daemons now.
func (f *fleet) loseAt(d, dead *daemon) {
	if d.dead {
		return
	}
	for _, e := range f.engines {
		h := d.hosts[e.name]
		if h == nil {
			continue
		}
		h.do(h.gate.RemoveDaemon(f.now(), dead.name))
		f.restore(h)
	}
}

// restore reports to h all permits that daemons hold for it.
func (f *fleet) restore(h *host) {
	held := map[string][]admitter.HeldPermit{}
	for _, j := range f.live() {
		if j.host == h && j.sequence != nil {
			h.jobs[j.id()] = j
			r := h.request(j)
			held[j.daemon.name] = append(held[j.daemon.name], admitter.HeldPermit{Request: r, Produced: j.sequence.Produced()})
		}
	}
	for _, d := range f.daemons {
		if !d.dead {
			h.do(h.gate.Restore(f.now(), d.name, held[d.name]))
		}
	}
}

// moveJobs takes the jobs whose owner was dead to the next owner: running ones
// are reported, waiting ones are asked for again with the same permit id.
func (f *fleet) moveJobs(dead *daemon) {
	var names []string
	for _, d := range f.daemons {
		if !d.dead {
			names = append(names, d.name)
		}
	}
	var hosts []*host
	var waiting []*job
	for _, j := range f.live() {
		if j.host == nil || j.host.daemon != dead {
			continue
		}
		next := f.hostOf(j.daemon, j.host.engine.name)
		j.host = next
		if next != nil && !slices.Contains(hosts, next) {
			hosts = append(hosts, next)
			next.gate.AwaitRestore(f.now(), names)
		}
		if j.sequence == nil {
			waiting = append(waiting, j)
		}
	}
	for _, h := range hosts {
		f.restore(h)
	}
	for _, j := range waiting {
		if j.host == nil {
			j.route()
			continue
		}
		j.enqueueAt(j.host)
	}
}

// setCut cuts a failure domain off, or heals the cut if domain is empty. The
// daemons notice after a while.
func (f *fleet) setCut(domain string) {
	f.cut = domain
	f.loop.After(detectTime, func() {
		for _, d := range f.daemons {
			for _, e := range f.engines {
				d.router.SetReachable(e.name, f.reaches(d.domain, e.domain))
			}
		}
		if domain != "" {
			f.abandonUnreachable()
		}
	})
}

// abandonUnreachable ends the streams that cross the cut, and routes anew what
// waits behind it.
func (f *fleet) abandonUnreachable() {
	for _, j := range f.live() {
		if j.host == nil || f.reaches(j.daemon.domain, j.host.engine.domain) {
			continue
		}
		if j.sequence != nil {
			j.host.engine.engine.Cancel(j.sequence.ID)
			h, id := j.host, j.id()
			j.fail()
			h.release(id, admitter.Result{})
			continue
		}
		j.stopWaiting()
		h, id := j.host, j.id()
		j.host = nil
		h.release(id, admitter.Result{})
		j.route()
	}
}
