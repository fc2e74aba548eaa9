package forwarder

import (
	"cmp"
	"context"
	"slices"
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

	// Only the compact form carries these.
	relay  bool   // The receiver has to pass the batch on within its failure domain.
	origin string // Daemon whose batch a relay passes on; else empty.

	compact bool // It was received in the compact form.
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
	origin := cmp.Or(m.origin, name)
	if !m.compact { // It may have been passed on, which the other form does not tell.
		origin = ""
	}
	relayed := updateMessage{origin: origin}
	if m.relay {
		relayed.Services = m.Services
	}
	for i := range m.Services {
		for k := range m.Services[i].Updates {
			m.Services[i].Updates[k].Owner = origin
		}
		if pl := p.f.knownPlacer(m.Services[i].Service); pl != nil {
			pl.ApplyUpdates(m.Services[i].Updates, now)
		}
	}
	relays := m.relay || (len(m.Reports) > 0 && reporter.Relays(p.f.cfg.Daemon.Domain, p.domainOf(name), p.f.members.Count()))
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
	p.passOn(&relayed)
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
	var m, held updateMessage // What is not sent yet: to anybody, and to relays.
	var sentAt, heldAt, checkedAt time.Time
	for p.wake.wait(ctx, p.f.clock, p.updateDelay(!m.empty() || !held.empty())) == nil {
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
		due := now.Sub(sentAt) >= p.batchInterval(&m)
		if !m.empty() && (next.urgent() || due) {
			if held.empty() {
				heldAt = now
			}
			held = p.publish(&m, &held)
			m, sentAt = updateMessage{}, now
		}
		if !held.empty() && (due || now.Sub(heldAt) >= relayDelay) {
			p.enqueueRelayed(&held)
			held = updateMessage{}
		}
	}
}

// updateDelay returns the time until the next check for updates, unless one comes before: some wait to
// be sent, or something is due at a time that nothing announces.
func (p *peers) updateDelay(waiting bool) time.Duration {
	if waiting || p.f.quarantine.HasUpdates() || p.manifests.Behind(p.f.manifestVersion(), p.f.clock.Now()) > 0 {
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
	case p.usesRelays():
		return relayedUpdateInterval
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
			if isUrgent(&s.Updates[i]) {
				return true
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
	for _, form := range p.targets(selected) {
		b, err := m.encode(form.compact)
		if err != nil {
			p.f.log.Error().Err(err).Msg("forwarder: could not encode updates; dropped")
			continue
		}
		for _, o := range form.peers {
			select {
			case o.queue <- b:
			default:
				p.f.metrics.count("news_dropped")
			}
		}
	}
}

// targetForm holds the peers that get a batch in the same form.
type targetForm struct {
	compact bool
	peers   []*peer
}

// targets returns the selected peers that are reachable, by the form of updates that they get.
func (p *peers) targets(selected func(Daemon) bool) []targetForm {
	p.mu.Lock()
	defer p.mu.Unlock()
	var forms []targetForm
	for _, o := range p.known {
		if !o.reachable() || !selected(o.daemon) {
			continue
		}
		i := slices.IndexFunc(forms, func(t targetForm) bool { return t.compact == o.compact })
		if i < 0 {
			i = len(forms)
			forms = append(forms, targetForm{compact: o.compact})
		}
		forms[i].peers = append(forms[i].peers, o)
	}
	return forms
}

// batch is an encoded batch of updates.
type batch struct {
	method      string // That is called with the body.
	body        []byte
	reportBytes int // Of the body, approximately.
}

// encode returns the compact form of the batch, or the one that daemons of all versions decode.
func (m *updateMessage) encode(compact bool) (batch, error) {
	if compact {
		return m.encodeCompact()
	}
	body, err := msgpack.Marshal(m)
	if err != nil || len(m.Reports) == 0 {
		return batch{method: methodUpdate, body: body}, err
	}
	reports, err := msgpack.Marshal(m.Reports)
	return batch{method: methodUpdate, body: body, reportBytes: len(reports)}, err
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
