package forwarder

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

// newsMessage is the wire form of a batch of news.
type newsMessage struct {
	Service []serviceNews `msgpack:"services,omitempty"`
	Reports []reportNews  `msgpack:"reports,omitempty"`
	Leaving []leavingNews `msgpack:"leaving,omitempty"`
	// Manifest is the version that the sender has just put in force.
	Manifest  int64            `msgpack:"manifest,omitempty"`
	Endpoints []EndpointChange `msgpack:"endpoints,omitempty"`
}

type serviceNews struct {
	Service string          `msgpack:"service"`
	News    []placer.Update `msgpack:"news"`
}

// reportNews is an engine's report that a peer has asked for.
type reportNews struct {
	Service string             `msgpack:"service"`
	Engine  registrar.Identity `msgpack:"engine"`
	AgeMs   int64              `msgpack:"age_ms"`
	Report  placer.Report      `msgpack:"report"`
	taken   time.Time
}

type leavingNews struct {
	Engine  registrar.Identity `msgpack:"engine"`
	LeaveMs int64              `msgpack:"leave_ms"`
}

// takeNews takes a batch of a peer.
func (p *peers) takeNews(name string, m *newsMessage) {
	now := p.f.clock.Now()
	for i := range m.Service {
		if pl := p.f.knownPlacement(m.Service[i].Service); pl != nil {
			pl.ApplyUpdates(m.Service[i].News, now)
		}
	}
	for i := range m.Reports {
		r := &m.Reports[i]
		if pl := p.f.knownPlacement(r.Service); pl != nil {
			pl.Observe(r.Engine, r.Report, now.Add(-time.Duration(r.AgeMs)*time.Millisecond))
		}
	}
	if len(m.Endpoints) > 0 {
		p.f.applyEndpoints(m.Endpoints)
	}
	if t := p.f.table.Load(); m.Manifest > 0 && (t == nil || t.Manifest.Version < m.Manifest) {
		p.hurryManifest(name)
	}
	for _, l := range m.Leaving {
		p.f.engineLeaves(l.Engine, time.Duration(l.LeaveMs)*time.Millisecond, "peer")
	}
}

// hurryManifest fetches the manifest of the named peer.
func (p *peers) hurryManifest(name string) {
	p.mu.Lock()
	o := p.known[name]
	p.mu.Unlock()
	if o == nil {
		return
	}
	p.f.spawn(func() {
		c, cancel := context.WithTimeout(p.f.ctx, greetTimeout)
		defer cancel()
		if err := p.fetchManifest(c, o); err != nil {
			p.f.log.Info().Err(err).Str("peer", name).Msg("forwarder: manifest of a peer not fetched; the next greeting tries again")
		}
	})
}

// spread queues the news of this daemon for the peers until ctx ends: what
// changes where the others place at once, the rest in larger batches.
func (p *peers) spread(ctx context.Context) {
	var m newsMessage
	var sent time.Time
	for p.f.clock.Sleep(ctx, newsInterval) == nil {
		next := p.takeNext()
		m.add(&next)
		now := p.f.clock.Now()
		if m.empty() || (!next.urgent() && now.Sub(sent) < p.batchInterval()) {
			continue
		}
		p.queue(&m)
		m, sent = newsMessage{}, now
	}
}

// batchInterval returns how long news that are not urgent may wait.
func (p *peers) batchInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.known) < smallMesh {
		return 0
	}
	return lazyInterval
}

// takeNext returns what there is to tell.
func (p *peers) takeNext() newsMessage {
	p.mu.Lock()
	m := p.next
	p.next = newsMessage{}
	p.mu.Unlock()
	for name, pl := range p.f.allPlacements() {
		if news := pl.TakeUpdates(); len(news) > 0 {
			m.Service = append(m.Service, serviceNews{Service: name, News: news})
		}
	}
	return m
}

// add appends a later message.
func (m *newsMessage) add(later *newsMessage) {
	m.Service = append(m.Service, later.Service...)
	m.Reports = append(m.Reports, later.Reports...)
	m.Leaving = append(m.Leaving, later.Leaving...)
	m.Endpoints = append(m.Endpoints, later.Endpoints...)
	m.Manifest = max(m.Manifest, later.Manifest)
}

// urgent reports whether the news change where the others place, or what they
// hold in force.
func (m *newsMessage) urgent() bool {
	if len(m.Leaving)+len(m.Endpoints) > 0 || m.Manifest > 0 {
		return true
	}
	for _, s := range m.Service {
		for i := range s.News {
			switch s.News[i].Event {
			case placer.Placed, placer.Migrating, placer.Queued:
				return true
			case placer.Started, placer.Ended:
			}
		}
	}
	return false
}

// empty reports whether there is nothing to tell.
func (m *newsMessage) empty() bool {
	return len(m.Service)+len(m.Reports)+len(m.Leaving)+len(m.Endpoints) == 0 && m.Manifest == 0
}

// queue hands a batch to the senders of all peers. A peer that is too far behind
// misses it; reports and greetings correct what it believes.
func (p *peers) queue(m *newsMessage) {
	now := p.f.clock.Now()
	for i := range m.Reports {
		m.Reports[i].AgeMs = now.Sub(m.Reports[i].taken).Milliseconds()
	}
	body, err := msgpack.Marshal(m)
	if err != nil {
		p.f.log.Error().Err(err).Msg("forwarder: news could not be encoded")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.known {
		if !o.answers() {
			continue
		}
		select {
		case o.queue <- body:
		default:
			p.f.metrics.count("news_dropped")
		}
	}
}

// tellReport queues an engine's report for the peers.
func (p *peers) tellReport(service string, id registrar.Identity, r placer.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next.Reports = append(p.next.Reports, reportNews{Service: service, Engine: id, Report: r, taken: p.f.clock.Now()})
}

// tellLeaving queues the news that an engine leaves.
func (p *peers) tellLeaving(id registrar.Identity, notice time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next.Leaving = append(p.next.Leaving, leavingNews{Engine: id, LeaveMs: notice.Milliseconds()})
}

// tellManifest queues the version that is in force now.
func (p *peers) tellManifest(version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next.Manifest = max(p.next.Manifest, version)
}

// tellEndpoints queues changes that the store has told.
func (p *peers) tellEndpoints(changes []EndpointChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next.Endpoints = append(p.next.Endpoints, changes...)
}
