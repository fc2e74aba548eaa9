package forwarder

import (
	"time"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/coordination/reporter"
)

// Reports, and updates that are not urgent, go to other failure domains over relays if package
// reporter says so: the sender sends a batch to one daemon of each of them, which passes it on
// within its own. A batch that is lost with a relay is not sent again. A daemon whose report gets
// old polls the engine, and one that misses the end of a job removes it when the reports of its
// engine do not list it.

// Started updates that go over relays should arrive within batchedUpdateInterval, as the placers
// assume: they wait at most for both of these times, and take two hops of 10 to 40 ms.
const (
	relayedUpdateInterval = 150 * time.Millisecond // In place of batchedUpdateInterval.
	relayDelay            = 100 * time.Millisecond // After a batch with urgent updates was sent without them.
)

// usesRelays reports whether this daemon sends news that is not urgent to relays.
func (p *peers) usesRelays() bool {
	return reporter.Relaying(p.f.members.Count(), p.f.cfg.Daemon.RelayAbove)
}

// publish queues a batch for the peers and returns the part for relays, together with the
// part of earlier batches that was held for them.
func (p *peers) publish(m, held *updateMessage) updateMessage {
	if !p.usesRelays() {
		p.enqueue(m)
		return *held
	}
	p.enqueueFor(m, p.isLocal)
	// Above FullMeshLimit only few daemons of other failure domains know the placements of this one,
	// so that Started and Ended updates go the same way as the placements.
	direct, relayed := m.split(held, p.f.members.Count() <= reporter.FullMeshLimit)
	if !direct.empty() {
		p.enqueueFor(&direct, func(d Daemon) bool { return !p.isLocal(d) })
	}
	return relayed
}

// split returns the parts of a batch that are sent directly and over relays. The second contains what
// was held for relays before, and Started and Ended updates only if updates is set. Updates of jobs
// about which the batch has urgent ones are sent with these, so that they arrive in order at daemons
// of all versions.
func (m *updateMessage) split(held *updateMessage, updates bool) (direct, relayed updateMessage) {
	direct = *m
	direct.Reports, direct.Services = nil, nil
	relayed.Reports = append(held.Reports, m.Reports...)
	if !updates {
		direct.Services = m.Services
		return direct, relayed
	}
	urgent := map[string]bool{}
	for _, s := range m.Services {
		for i := range s.Updates {
			if isUrgent(&s.Updates[i]) {
				urgent[s.Updates[i].JobID] = true
			}
		}
	}
	for _, services := range [][]serviceUpdates{held.Services, m.Services} {
		for _, s := range services {
			var now, later []placer.Update
			for _, u := range s.Updates {
				if urgent[u.JobID] {
					now = append(now, u)
				} else {
					later = append(later, u)
				}
			}
			direct.addUpdates(s.Service, now)
			relayed.addUpdates(s.Service, later)
		}
	}
	return direct, relayed
}

// addUpdates adds updates of the placer of a service.
func (m *updateMessage) addUpdates(service string, updates []placer.Update) {
	if len(updates) == 0 {
		return
	}
	for i := range m.Services {
		if m.Services[i].Service == service {
			m.Services[i].Updates = append(m.Services[i].Updates, updates...)
			return
		}
	}
	m.Services = append(m.Services, serviceUpdates{Service: service, Updates: updates})
}

// isUrgent reports whether an update affects the placements of other daemons.
func isUrgent(u *placer.Update) bool {
	switch u.Event {
	case placer.Placed, placer.Migrating, placer.Queued:
		return true
	case placer.Started, placer.Ended:
	}
	return false
}

// enqueueRelayed queues a batch for one daemon of each other failure domain, which passes it on, and
// for all daemons of those in which none does: they are of earlier versions.
func (p *peers) enqueueRelayed(m *updateMessage) {
	p.relayedBatches++
	able, relays := map[string]bool{}, map[string]bool{}
	p.mu.Lock()
	var candidates []reporter.Daemon
	for _, o := range p.known {
		if o.reachable() && o.compact {
			candidates = append(candidates, limiter.Daemon(o.daemon))
			able[o.daemon.Domain] = true
		}
	}
	p.mu.Unlock()
	for _, d := range reporter.RelaysOf(limiter.Daemon(p.f.cfg.Daemon.daemon()), candidates, p.relayedBatches) {
		relays[d.Name] = true
	}
	relayed := *m
	relayed.relay = true
	p.enqueueFor(&relayed, func(d Daemon) bool { return relays[d.Name] })
	p.enqueueFor(m, func(d Daemon) bool { return !able[d.Domain] && !p.isLocal(d) })
}

// passOn queues a batch of a daemon of another failure domain for the peers of this one.
func (p *peers) passOn(m *updateMessage) {
	if !m.empty() {
		p.f.metrics.count("batches_passed_on")
		p.enqueueFor(m, p.isLocal)
	}
}
