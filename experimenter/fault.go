package experimenter

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/emulator"
	"monsoonspar.example/state/cataloger"
)

// Fault is a failure injected into a run.
type Fault string

// The faults.
const (
	FaultNone            Fault = "none"
	FaultEngineLost      Fault = "engine_lost"      // An engine fails without notice.
	FaultEngineReclaimed Fault = "engine_reclaimed" // An engine fails after a reclaim notice.
	FaultDaemonLost      Fault = "owner_lost"       // A daemon fails.
	FaultLateReports     Fault = "late_reports"     // Load reports are delayed by lateReportDelay.
	FaultPartition       Fault = "domain_cut"       // A failure domain is partitioned from the others.
	FaultCrashingPart    Fault = "crashing_part"    // Some prompts have a part that crashes each engine that begins to respond.
)

// Faults lists all faults.
var Faults = []Fault{FaultNone, FaultEngineLost, FaultEngineReclaimed, FaultDaemonLost, FaultLateReports, FaultPartition, FaultCrashingPart}

// FaultByName returns the fault with the given name.
func FaultByName(name string) (Fault, error) {
	if !slices.Contains(Faults, Fault(name)) {
		return FaultNone, errors.Wrapf(ErrUnknownName, "fault %q", name)
	}
	return Fault(name), nil
}

// Times of the faults, during the burst that the load "burst3" has at 180 s.
const (
	faultTime         = 195 * time.Second
	partitionDuration = 60 * time.Second
)

// Parameters of FaultCrashingPart.
const (
	crashingPart      = 1 << 32
	crashingPartShare = 0.05 // Fraction of the requests from faultTime on whose prompts have the part.
	engineDowntime    = 5 * time.Second
)

// From lateSendDelay after the crash number firstCrashes on, the sends of requests with
// crashingPart count as late.
const (
	firstCrashes  = 5
	lateSendDelay = 3 * time.Second
)

// schedule schedules the events of the fault.
func (x Fault) schedule(f *fleet) {
	switch x {
	case FaultNone, FaultCrashingPart: // The requests cause the crashes.
	case FaultEngineLost:
		f.loop.At(faultTime, func() { f.killEngine(f.engines[0]) })
	case FaultEngineReclaimed:
		f.loop.At(faultTime, func() { f.reclaim(f.engines[0]) })
	case FaultDaemonLost:
		f.loop.At(faultTime, func() { f.killDaemon(f.daemons[0]) })
	case FaultLateReports:
		f.reportDelay = lateReportDelay
	case FaultPartition:
		f.loop.At(faultTime, func() { f.setPartition(f.deployment.Domains[0]) })
		f.loop.At(faultTime+partitionDuration, func() { f.setPartition("") })
	}
}

// killEngine stops an engine. Requests that have no token yet are rerouted
// immediately, the others fail.
func (f *fleet) killEngine(e *engineNode) {
	unfinished := e.engine.Kill()
	for _, s := range unfinished {
		j := s.Listener.(*job)
		if s.Produced() > 0 {
			j.fail()
			continue
		}
		j.sequence = nil
		j.started = false
		j.reroute(e.name)
	}
	f.loop.After(failureDetectionDelay, func() { f.announceShutdown(e) })
}

// addCrashingPart adds crashingPart to the prompts of some requests.
func (x Fault) addCrashingPart(rs []*request, rnd *rand.Rand) {
	if x != FaultCrashingPart {
		return
	}
	for _, r := range rs {
		if r.arrivedAt >= faultTime && rnd.Float64() < crashingPartShare {
			r.parts = []uint64{crashingPart}
		}
	}
}

// crashed handles the crash of an engine, which starts again after engineDowntime. Requests
// whose prefill had begun fail; the others are rerouted immediately.
func (f *fleet) crashed(e *engineNode, unfinished []*emulator.Sequence) {
	f.metrics.crashes++
	if f.metrics.crashes == firstCrashes {
		f.metrics.lateSendsFrom = f.loop.Now() + lateSendDelay
	}
	for _, s := range unfinished {
		j := s.Listener.(*job)
		if j.started {
			j.fail()
			continue
		}
		j.sequence = nil
		j.reroute(e.name)
	}
	f.loop.After(failureDetectionDelay, func() { f.announceShutdown(e) })
	f.loop.After(engineDowntime, func() { f.restartEngine(e) })
}

// restartEngine replaces an engine that has crashed by a new boot of it.
func (f *fleet) restartEngine(e *engineNode) {
	e.boot++
	e.engine = f.newEngine(e)
	e.cacheEvents = nil
	for _, d := range f.daemons {
		delete(d.controllers, e.name)
		d.router.Observe(router.EndpointStatus{Endpoint: e.name, BootID: e.bootID(), Ready: []cataloger.Placement{target.Placement}})
	}
}

// reclaim begins the shutdown of an engine and kills it after reclaimNotice.
func (f *fleet) reclaim(e *engineNode) {
	e.engine.BeginShutdown()
	f.loop.After(vmListDelay, func() { f.announceShutdown(e) })
	f.loop.After(reclaimNotice, func() { f.killEngine(e) })
}

func (f *fleet) announceShutdown(e *engineNode) {
	for _, d := range f.daemons {
		d.router.MarkShuttingDown(e.name, e.bootID())
		if n := d.controllers[e.name]; n != nil && !d.dead {
			n.dispatch(n.controller.StopAdmission(f.now()))
		}
	}
}

// killDaemon stops a daemon. Its clients reconnect to other daemons. The ownership
// of its endpoints passes to other daemons after failureDetectionDelay.
func (f *fleet) killDaemon(dead *daemon) {
	dead.dead = true
	for _, j := range f.unfinishedJobs() {
		if j.daemon == dead {
			f.loop.After(reconnectDelay, func() { j.reconnect() })
		}
	}
	f.loop.After(failureDetectionDelay, func() {
		for _, d := range f.daemons {
			d.lostDaemons[dead.name] = true
		}
		for _, d := range f.daemons {
			f.removeDaemonAt(d, dead)
		}
		f.reassignJobs(dead)
	})
}

func (f *fleet) unfinishedJobs() []*job {
	return slices.DeleteFunc(slices.Clone(f.jobs), func(j *job) bool { return j.ended })
}

// reconnect moves the client of j to a live daemon. A request that had not been
// sent to an engine is routed again.
func (j *job) reconnect() {
	if j.ended {
		return
	}
	j.daemon = j.f.anyDaemon()
	if j.sequence == nil {
		j.leaveBacklog()
		j.controller = nil
		j.route()
	}
}

// removeDaemonAt removes the dead daemon at the controllers of d, and restores the
// permits that its clients now hold through other daemons.
func (f *fleet) removeDaemonAt(d, dead *daemon) {
	if d.dead {
		return
	}
	for _, e := range f.engines {
		n := d.controllers[e.name]
		if n == nil {
			continue
		}
		n.dispatch(n.controller.RemoveDaemon(f.now(), dead.name))
		f.restore(n)
	}
}

// restore reports the permits that the live daemons hold from n back to n.
func (f *fleet) restore(n *controllerNode) {
	held := map[string][]admitter.HeldPermit{}
	for _, j := range f.unfinishedJobs() {
		if j.controller == n && j.sequence != nil {
			n.jobs[j.id()] = j
			r := n.request(j)
			held[j.daemon.name] = append(held[j.daemon.name], admitter.HeldPermit{Request: r, Produced: j.sequence.Produced()})
		}
	}
	for _, d := range f.daemons {
		if !d.dead {
			n.dispatch(n.controller.Restore(f.now(), d.name, held[d.name]))
		}
	}
}

// reassignJobs moves the jobs at the controllers of a dead daemon to the next owner
// of each endpoint: the permits of running jobs are restored, waiting jobs are
// queued again with the same permit id.
func (f *fleet) reassignJobs(dead *daemon) {
	var names []string
	for _, d := range f.daemons {
		if !d.dead {
			names = append(names, d.name)
		}
	}
	var nodes []*controllerNode
	var waiting []*job
	for _, j := range f.unfinishedJobs() {
		if j.controller == nil || j.controller.daemon != dead {
			continue
		}
		next := f.controllerFor(j.daemon, j.controller.engine.name)
		j.controller = next
		if next != nil && !slices.Contains(nodes, next) {
			nodes = append(nodes, next)
			next.controller.AwaitRestore(f.now(), names)
		}
		if j.sequence == nil {
			waiting = append(waiting, j)
		}
	}
	for _, n := range nodes {
		f.restore(n)
	}
	for _, j := range waiting {
		if j.controller == nil {
			j.route()
			continue
		}
		j.enqueueAt(j.controller)
	}
}

// setPartition partitions a failure domain from the others, or ends the partition
// if domain is empty. The daemons notice after failureDetectionDelay.
func (f *fleet) setPartition(domain string) {
	f.partitioned = domain
	f.loop.After(failureDetectionDelay, func() {
		for _, d := range f.daemons {
			for _, e := range f.engines {
				d.router.SetReachable(e.name, f.connected(d.domain, e.domain))
			}
		}
		if domain != "" {
			f.dropUnreachable()
		}
	})
}

// dropUnreachable fails the streams that cross the partition and reroutes the
// requests that wait on its other side.
func (f *fleet) dropUnreachable() {
	for _, j := range f.unfinishedJobs() {
		if j.controller == nil || f.connected(j.daemon.domain, j.controller.engine.domain) {
			continue
		}
		if j.sequence != nil {
			j.controller.engine.engine.Cancel(j.sequence.ID)
			n, id := j.controller, j.id()
			j.fail()
			n.release(id, admitter.Result{})
			continue
		}
		j.leaveBacklog()
		n, id := j.controller, j.id()
		j.controller = nil
		n.release(id, admitter.Result{})
		j.route()
	}
}
