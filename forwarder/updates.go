package forwarder

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/coordination/quarantiner"
	"monsoonspar.example/coordination/reporter"
	"monsoonspar.example/state/registrar"
)

// updateMessage is the wire form of a batch of updates for peers.
type updateMessage struct {
	Services     []serviceUpdates `msgpack:"services,omitempty"`
	Reports      []reportUpdate   `msgpack:"reports,omitempty"`
	ShuttingDown []shutdownUpdate `msgpack:"leaving,omitempty"`
	// Manifest is the version that the sender has just put in force, or 0.
	Manifest  int64            `msgpack:"manifest,omitempty"`
	Endpoints []EndpointChange `msgpack:"endpoints,omitempty"`
	Limits    []limitUpdate    `msgpack:"limits,omitempty"`
	// Evacuations is the newest set of evacuated failure domains, or nil if it has not changed.
	Evacuations *evacuationsUpdate `msgpack:"evacuations,omitempty"`
	// Evidence about crashes, or nil.
	Evidence *quarantiner.Evidence `msgpack:"evidence,omitempty"`
}

// serviceUpdates are the updates of the placer of one service.
type serviceUpdates struct {
	Service string          `msgpack:"service"`
	Updates []placer.Update `msgpack:"news"`
}

// reportUpdate is a load report of an engine that the sender has polled.
type reportUpdate struct {
	Service string             `msgpack:"service"`
	Engine  registrar.Identity `msgpack:"engine"`
	AgeMs   int64              `msgpack:"age_ms"`
	Report  placer.Report      `msgpack:"report"`
	takenAt time.Time          // Not sent; AgeMs is computed from it.
}

// shutdownUpdate states that an endpoint is shutting down.
type shutdownUpdate struct {
	Endpoint   registrar.Identity `msgpack:"engine"`
	ShutdownMs int64              `msgpack:"leave_ms"` // Time until the endpoint ends; zero if not known.
}

// applyMessage applies a batch of updates from the named peer.
func (p *peers) applyMessage(name string, m *updateMessage) {
	now := p.f.clock.Now()
	for i := range m.Services {
		if pl := p.f.knownPlacer(m.Services[i].Service); pl != nil {
			pl.ApplyUpdates(m.Services[i].Updates, now)
		}
	}
	relays := len(m.Reports) > 0 && reporter.Relays(p.f.cfg.Daemon.Domain, p.domainOf(name), p.f.members.Count())
	var relayed updateMessage
	for i := range m.Reports {
		r := &m.Reports[i]
		r.takenAt = now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		if pl := p.f.knownPlacer(r.Service); pl != nil && pl.Observe(r.Engine, r.Report, r.takenAt) && relays {
			relayed.Reports = append(relayed.Reports, *r)
		}
		if r.Report.ShuttingDown { // This daemon may have started after the news was sent.
			p.f.handleShutdown(r.Engine, r.Report.ShutdownIn, "report of a peer")
		}
	}
	if len(relayed.Reports) > 0 {
		p.enqueueFor(&relayed, p.isLocal)
	}
	if len(m.Endpoints) > 0 {
		p.f.applyEndpoints(m.Endpoints)
	}
	p.f.applyLimits(m.Limits, p.domainOf(name))
	p.f.applyPeerEvacuations(m.Evacuations, name)
	p.applyEvidence(m.Evidence, name)
	p.offerManifest(name, m.Manifest)
	for _, u := range m.ShuttingDown {
		p.f.handleShutdown(u.Endpoint, time.Duration(u.ShutdownMs)*time.Millisecond, "peer")
	}
}

// publishUpdates queues the updates of this daemon for the peers, and fetches manifests
// that they offer, until ctx ends.
// Urgent updates are queued at once, the others in larger batches.
func (p *peers) publishUpdates(ctx context.Context) {
	var m updateMessage
	var sentAt, checkedAt time.Time
	for p.wake.wait(ctx, p.f.clock, p.updateDelay(&m)) == nil {
		if early := updateInterval - p.f.clock.Now().Sub(checkedAt); early > 0 && p.f.clock.Sleep(ctx, early) != nil {
			return
		}
		p.fetchDueManifest()
		now := p.f.clock.Now()
		checkedAt = now
		next := p.collectUpdates()
		own, relayed := p.f.quarantine.TakeUpdates(now)
		p.relayEvidence(relayed)
		next.Evidence = &own
		m.add(&next)
		p.f.enforceQuarantine(now)
		if m.empty() || (!next.urgent() && now.Sub(sentAt) < p.batchInterval(&m)) {
			continue
		}
		p.enqueue(&m)
		m, sentAt = updateMessage{}, now
	}
}

// updateDelay returns the time until the next check for updates, unless one comes before: m waits to
// be sent, or something is due at a time that nothing announces.
func (p *peers) updateDelay(m *updateMessage) time.Duration {
	if !m.empty() || p.f.quarantine.HasUpdates() || p.manifests.Behind(p.f.manifestVersion(), p.f.clock.Now()) > 0 {
		return updateInterval
	}
	return idleUpdateInterval
}

// batchInterval returns how long updates that are not urgent may be delayed.
func (p *peers) batchInterval(m *updateMessage) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.known) < smallDeployment:
		return 0
	case len(m.Reports) > 0:
		return reportBatchInterval
	default:
		return batchedUpdateInterval
	}
}

// collectUpdates returns and clears the updates that are pending.
func (p *peers) collectUpdates() updateMessage {
	p.mu.Lock()
	m := p.pending
	p.pending = updateMessage{}
	p.mu.Unlock()
	for name, pl := range p.f.allPlacers() {
		if updates := pl.TakeUpdates(); len(updates) > 0 {
			m.Services = append(m.Services, serviceUpdates{Service: name, Updates: updates})
		}
	}
	return m
}

// add merges a later message into m.
func (m *updateMessage) add(later *updateMessage) {
	m.Services = append(m.Services, later.Services...)
	m.Reports = append(m.Reports, later.Reports...)
	m.ShuttingDown = append(m.ShuttingDown, later.ShuttingDown...)
	m.Endpoints = append(m.Endpoints, later.Endpoints...)
	m.Limits = append(m.Limits, later.Limits...)
	if later.hasEvidence() {
		m.Evidence = later.Evidence // It is urgent, so that no other waits in m.
	}
	if later.Evacuations != nil {
		m.Evacuations = later.Evacuations
	}
	m.Manifest = max(m.Manifest, later.Manifest)
}

// urgent reports whether the updates affect the placements of other daemons or the
// manifest and endpoints that they use.
func (m *updateMessage) urgent() bool {
	if len(m.ShuttingDown)+len(m.Endpoints)+len(m.Limits) > 0 || m.Manifest > 0 || m.Evacuations != nil || m.hasEvidence() {
		return true
	}
	for _, s := range m.Services {
		for i := range s.Updates {
			switch s.Updates[i].Event {
			case placer.Placed, placer.Migrating, placer.Queued:
				return true
			case placer.Started, placer.Ended:
			}
		}
	}
	return false
}

// empty reports whether the message contains no updates.
func (m *updateMessage) empty() bool {
	return len(m.Services)+len(m.Reports)+len(m.ShuttingDown)+len(m.Endpoints)+len(m.Limits) == 0 && m.Manifest == 0 && m.Evacuations == nil && !m.hasEvidence()
}

// hasEvidence reports whether the message contains evidence.
func (m *updateMessage) hasEvidence() bool { return m.Evidence != nil && !m.Evidence.Empty() }

// enqueue adds a batch to the queues of all reachable peers. A peer whose queue is
// full misses the batch; later reports and syncs correct its state.
func (p *peers) enqueue(m *updateMessage) { p.enqueueFor(m, func(Daemon) bool { return true }) }

// isLocal reports whether a daemon is in the failure domain of this one.
func (p *peers) isLocal(d Daemon) bool { return d.Domain == p.f.cfg.Daemon.Domain }

// enqueueFor is like enqueue for the peers that are selected.
func (p *peers) enqueueFor(m *updateMessage, selected func(Daemon) bool) {
	now := p.f.clock.Now()
	for i := range m.Reports {
		m.Reports[i].AgeMs = now.Sub(m.Reports[i].takenAt).Milliseconds()
	}
	for i := range m.Limits {
		m.Limits[i].AgeMs = now.Sub(m.Limits[i].at).Milliseconds()
	}
	body, err := msgpack.Marshal(m)
	if err != nil {
		p.f.log.Error().Err(err).Msg("forwarder: could not encode updates; dropped")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.known {
		if !o.reachable() || !selected(o.daemon) {
			continue
		}
		select {
		case o.queue <- body:
		default:
			p.f.metrics.count("news_dropped")
		}
	}
}

// queueReport queues a load report of an engine for the peers.
func (p *peers) queueReport(service string, id registrar.Identity, r placer.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.Reports = append(p.pending.Reports, reportUpdate{Service: service, Engine: id, Report: r, takenAt: p.f.clock.Now()})
	p.wake.wake()
}

// queueShutdown queues the update that an endpoint is shutting down.
func (p *peers) queueShutdown(id registrar.Identity, notice time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.ShuttingDown = append(p.pending.ShuttingDown, shutdownUpdate{Endpoint: id, ShutdownMs: notice.Milliseconds()})
	p.wake.wake()
}

// queueManifest queues the version of the manifest that is in force now.
func (p *peers) queueManifest(version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.Manifest = max(p.pending.Manifest, version)
	p.wake.wake()
}

// queueEndpointChanges queues changes that were received from the store.
func (p *peers) queueEndpointChanges(changes []EndpointChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.Endpoints = append(p.pending.Endpoints, changes...)
	p.wake.wake()
}
