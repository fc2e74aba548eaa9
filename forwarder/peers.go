package forwarder

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/coordination/fetcher"
	"monsoonspar.example/coordination/follower"
	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/reporter"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/transport/framer"
)

// Timing and limits of the communication between daemons.
const (
	updateInterval        = 8 * time.Millisecond   // Interval of urgent updates; at 60 placements per second, peers receive each one before most later ones are made.
	batchedUpdateInterval = 300 * time.Millisecond // Interval of other updates, such as ended jobs and reports; a tenth of the duration of a job.
	reportBatchInterval   = 100 * time.Millisecond // The same for updates with reports, which daemons of other failure domains get late.
	idleUpdateInterval    = 100 * time.Millisecond // Interval of checks that find no update; a new one ends the wait.
	smallDeployment       = 16                     // With fewer peers, updates that are not urgent are not delayed either.
	syncInterval          = time.Second            // Interval of version exchanges with a peer, by either of the two, which also detect a peer that does not answer.
	syncJitter            = 0.1                    // By which the interval varies either way, so that both of the two take their turns.
	syncTimeout           = 600 * time.Millisecond // Enough for several round trips between failure domains.
	peerRetryInterval     = time.Second
	updateQueueLength     = 64 // Batches queued for one peer; a peer with a full queue is too far behind for updates to be useful.
)

// Methods that daemons call on each other.
const (
	methodUpdate    = "news"
	methodCompact   = "u" // Updates in the compact form.
	methodSync      = "greet"
	methodManifest  = "manifest"
	methodEndpoints = "endpoints"
	methodBorrow    = "lend"
	methodGrant     = "grant"
	methodQuota     = "quota"
	methodLimits    = "limits"
	methodEvidence  = "evidence"
	methodPlace     = "place"
	methodLeave     = "leave"
	methodHoldings  = "holdings"
)

// errUnknownMethod means that a peer called a method that this version does not
// implement.
var errUnknownMethod = errors.New("unknown method")

// syncMessage describes the state that a daemon has.
type syncMessage struct {
	Daemon   Daemon `msgpack:"daemon"`
	Manifest int64  `msgpack:"manifest"` // Version in force; zero if there is none.
	Digest   uint64 `msgpack:"digest"`   // Digest of the endpoints.
	Fresh    bool   `msgpack:"fresh"`    // The endpoints of the daemon are current.
	Daemons  int    `msgpack:"daemons"`  // Number of daemons that the daemon knows, itself included.
	Limits   uint64 `msgpack:"limits"`   // Digest of the limits of the endpoints; zero if there are none.
	Evidence uint64 `msgpack:"evidence"` // Digest of the evidence about crashes; zero if there is none.
	// Age of the latest proofs that the manifest and the endpoints are the newest.
	ManifestAge  proofAge `msgpack:"manifest_age"`
	EndpointsAge proofAge `msgpack:"endpoints_age"`
	// The store does not answer the calls of the daemon for them.
	ManifestLost  bool `msgpack:"manifest_lost,omitempty"`
	EndpointsLost bool `msgpack:"endpoints_lost,omitempty"`
	// Wire is the newest form of updates that the daemon decodes: compactWire, or zero in earlier versions.
	Wire int `msgpack:"wire,omitempty"`
	// Evacuations is the set that the daemon knows; nil if it follows none.
	Evacuations     *evacuationsUpdate `msgpack:"evacuations,omitempty"`
	EvacuationsAge  proofAge           `msgpack:"evacuations_age,omitempty"`
	EvacuationsLost bool               `msgpack:"evacuations_lost,omitempty"`
	// Tunnels is nil if the daemon opens no connections for others.
	Tunnels *tunnelState `msgpack:"tunnels,omitempty"`
	// Leaving are the endpoints that are shutting down although their entries don't say so. A daemon that
	// has started since would not know.
	Leaving []registrar.Identity `msgpack:"leaving,omitempty"`
	// Brittle are the services whose endpoints are brittle.
	Brittle []brittleState `msgpack:"brittle,omitempty"`
}

// proofAge is the age of a proof in milliseconds plus one; zero if there is no proof, or if the
// version of the sender knows none.
type proofAge int64

// proofAgeOf returns the age of the latest proof of a follower.
func proofAgeOf(s *subscription, now time.Time) proofAge {
	age, ok := s.Age(now)
	if !ok {
		return 0
	}
	return proofAge(age.Milliseconds() + 1)
}

// confirm records the proof of a peer, as of a time before it was sent.
func (a proofAge) confirm(s *subscription, asOf time.Time) {
	if a > 0 {
		s.Confirm(asOf.Add(-time.Duration(a) * time.Millisecond))
	}
}

// endpointsMessage is the wire form of a list of endpoints.
type endpointsMessage struct {
	Endpoints []registrar.Endpoint `msgpack:"endpoints"`
	Revision  int64                `msgpack:"revision"`
}

// peers manages the communication with the other daemons.
type peers struct {
	f    *Forwarder
	node *framer.Node

	wake waker  // Wakes publishUpdates.
	rank uint64 // Of this daemon.

	mu      sync.Mutex
	known   map[string]*peer // By name.
	others  map[string]bool  // Names of the daemons in the list that are not peers.
	pending updateMessage    // Sent with the next batch, in addition to the updates of the placers.

	manifests         *fetcher.Fetcher
	encoded           atomic.Pointer[encodedManifest]
	fetchingEndpoints atomic.Bool
	exchangingLimits  atomic.Bool

	exchangingEvidence atomic.Bool

	relayedBatches uint64 // Batches sent to relays so far; used by publishUpdates alone.
}

// peer is one other daemon.
type peer struct {
	daemon Daemon
	rank   uint64 // Daemons of lower ranks come first as watchers.
	queue  chan batch
	cancel context.CancelFunc
	alive  bool // The last call succeeded.
	// heardAt is when the peer last synced with this daemon.
	heardAt time.Time
	// The store does not answer its calls for the manifest and the endpoints.
	manifestLost, endpointsLost bool
	compact                     bool // It decodes the compact form of updates.
	// evacuationsLost is the same for the evacuations; true also if the peer does not follow them.
	evacuationsLost bool
	tunnels         *tunnelState // Nil if it opens no connections for others.
}

func newPeers(f *Forwarder) *peers {
	p := &peers{f: f, wake: newWaker(), rank: rankOf(f.cfg.Daemon.daemon()), known: map[string]*peer{}, manifests: fetcher.New(f.newRand())}
	p.node = framer.NewNode(framer.Config{Name: f.cfg.Daemon.Name, Key: []byte(f.cfg.Daemon.PeersKey)}, p)
	return p
}

// setDaemons sets the list of daemons, of which those become peers that package reporter chooses.
func (p *peers) setDaemons(all []Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := make([]limiter.Daemon, len(all))
	for i, d := range all {
		members[i] = limiter.Daemon(d)
	}
	wanted := map[string]Daemon{}
	for _, d := range reporter.Peers(limiter.Daemon(p.f.cfg.Daemon.daemon()), members) {
		wanted[d.Name] = Daemon(d)
	}
	p.others = map[string]bool{}
	for _, d := range all {
		if _, ok := wanted[d.Name]; !ok {
			p.others[d.Name] = true
		}
	}
	p.f.members.SetAll(members, func(name string) bool { return !p.others[name] }, p.f.clock.Now())
	for name, o := range p.known {
		if d, ok := wanted[name]; !ok || d.Addr != o.daemon.Addr {
			o.cancel()
			delete(p.known, name)
			p.manifests.Forget(name)
		}
	}
	for name, d := range wanted {
		if p.known[name] == nil {
			p.add(d)
		}
	}
}

// add adds a peer and starts its goroutine. The mutex is held.
func (p *peers) add(d Daemon) {
	ctx, cancel := context.WithCancel(p.f.ctx)
	o := &peer{daemon: d, rank: rankOf(d), queue: make(chan batch, updateQueueLength), cancel: cancel}
	p.known[d.Name] = o
	p.f.spawn(func() { p.runPeer(ctx, o) })
}

// addSeeds adds peers of which only the address is known, so that a daemon that
// starts during an outage of the store finds the others. The list of daemons
// replaces them.
func (p *peers) addSeeds(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range addrs {
		if addr != "" && addr != p.f.cfg.Daemon.Peers {
			p.add(Daemon{Name: seedNamePrefix + addr, Addr: addr})
		}
	}
}

// seedNamePrefix is the prefix of the names of peers of which only the address is
// known.
const seedNamePrefix = "seed "

// isSeed reports whether only the address of the peer is known.
func (o *peer) isSeed() bool { return strings.HasPrefix(o.daemon.Name, seedNamePrefix) }

// reachable reports whether the peer is known by name and answers. The mutex of
// the peers is held.
func (o *peer) reachable() bool { return o.alive && !o.isSeed() }

// reachablePeers returns the peers that are reachable.
func (p *peers) reachablePeers() []Daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Daemon
	for _, o := range p.known {
		if o.reachable() {
			all = append(all, o.daemon)
		}
	}
	return all
}

// anyReachable reports whether at least one peer is reachable.
func (p *peers) anyReachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.known {
		if o.reachable() {
			return true
		}
	}
	return false
}

// runPeer sends the queued updates to a peer and syncs with it periodically, until
// ctx ends.
func (p *peers) runPeer(ctx context.Context, o *peer) {
	for ctx.Err() == nil {
		err := error(nil)
		if !p.heardLately(o) || p.mayRenewProof(o) {
			err = p.syncWith(ctx, o)
			p.setAlive(o, err)
		}
		if err != nil {
			if p.f.clock.Sleep(ctx, peerRetryInterval) != nil {
				return
			}
			continue
		}
		if err := p.sendQueued(ctx, o); err != nil {
			p.setAlive(o, err)
		}
	}
}

// heardLately reports whether a peer that answers has synced with this daemon within the interval.
func (p *peers) heardLately(o *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return o.alive && p.f.clock.Now().Sub(o.heardAt) < time.Duration((1-2*syncJitter)*float64(syncInterval))
}

// mayRenewProof reports whether the reply of a peer to a sync may renew proofs of this daemon that get old.
// Those of other daemons than the watchers are rarely younger. The evacuations have the same watchers, so that
// their proofs come with the others.
func (p *peers) mayRenewProof(o *peer) bool {
	now := p.f.clock.Now()
	manifest, endpoints := p.f.manifests.NeedsProof(now), p.f.endpointEntries.NeedsProof(now)
	if !manifest && !endpoints {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return manifest && p.watches(o, (*peer).losesManifest) || endpoints && p.watches(o, (*peer).losesEndpoints)
}

// watches reports whether a peer is one of the daemons that watch the store, as far as this daemon knows. The
// mutex is held.
func (p *peers) watches(o *peer, lost func(*peer) bool) bool {
	if lost(o) {
		return false
	}
	preceding := 0
	if p.rank < o.rank {
		preceding++
	}
	for _, other := range p.known {
		if other.rank < o.rank && other.reachable() && !lost(other) {
			preceding++
		}
	}
	return preceding < follower.Watchers
}

// losesManifest reports whether the store does not answer the calls of the peer for the manifest. The mutex of
// the peers is held.
func (o *peer) losesManifest() bool { return o.manifestLost }

// losesEndpoints is like losesManifest for the endpoints.
func (o *peer) losesEndpoints() bool { return o.endpointsLost }

// recordSync records that a peer has synced with this daemon.
func (p *peers) recordSync(m *syncMessage) {
	p.addDiscovered(m.Daemon)
	p.f.recordDaemonCount(m.Daemons)
	p.mu.Lock()
	o := p.known[m.Daemon.Name]
	if o != nil {
		o.heardAt = p.f.clock.Now()
		o.record(m)
	}
	p.mu.Unlock()
	p.f.paths.handlePeer(m.Tunnels)
	p.f.applyPeerEvacuations(m.Evacuations, m.Daemon.Name)
	p.f.applyBrittle(m.Brittle)
	p.f.applyLeaving(m.Leaving)
	if o != nil {
		p.offerManifest(m.Daemon.Name, m.Manifest)
	}
}

// setAlive records whether a peer answers: it does if err is nil.
func (p *peers) setAlive(o *peer, err error) {
	p.mu.Lock()
	wasAlive := o.alive
	o.alive = err == nil
	current := p.known[o.daemon.Name] == o
	p.mu.Unlock()
	if err != nil {
		p.manifests.Defer(o.daemon.Name)
	}
	if current {
		p.f.members.SetReachable(o.daemon.Name, err == nil, p.f.clock.Now())
	}
	switch {
	case wasAlive && err != nil:
		p.f.metrics.count("peers_lost")
		p.f.log.Warn().Err(err).Str("peer", o.daemon.Name).Msg("forwarder: dependency lost: peer")
	case !wasAlive && err == nil:
		p.f.metrics.count("peers_regained")
		p.f.log.Info().Str("peer", o.daemon.Name).Msg("forwarder: dependency regained: peer")
	}
}

// sendQueued sends the queued updates to a peer until the next sync is due.
func (p *peers) sendQueued(ctx context.Context, o *peer) error {
	interval := time.Duration((1 - syncJitter + 2*syncJitter*p.f.random()) * float64(syncInterval))
	c, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	for {
		select {
		case b := <-o.queue:
			if err := p.node.Send(ctx, o.daemon.Addr, b.method, b.body); err != nil {
				return err
			}
			p.countBatch(o.daemon, b)
		case <-c.Done():
			return nil
		}
	}
}

// syncWith exchanges versions with a peer. It fetches the endpoints of the peer if they
// differ and only the peer watches the store.
func (p *peers) syncWith(ctx context.Context, o *peer) error {
	c, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var remote syncMessage
	asOf := p.f.clock.Now()
	if err := p.call(c, o.daemon.Addr, methodSync, p.syncState(), &remote); err != nil {
		return err
	}
	p.recordReply(o, &remote)
	p.addDiscovered(remote.Daemon)
	p.f.recordDaemonCount(remote.Daemons)
	p.f.applyPeerEvacuations(remote.Evacuations, o.daemon.Name)
	p.f.applyBrittle(remote.Brittle)
	p.f.applyLeaving(remote.Leaving)
	p.f.confirmEvacuations(&remote, asOf)
	local := p.syncState()
	p.offerManifest(o.daemon.Name, remote.Manifest)
	if remote.Manifest == local.Manifest {
		remote.ManifestAge.confirm(p.f.manifests, asOf)
	}
	if remote.Digest == local.Digest {
		remote.EndpointsAge.confirm(p.f.endpointEntries, asOf)
	}
	if remote.Limits != local.Limits && remote.Limits != 0 {
		if err := p.exclusively(&p.exchangingLimits, func() error { return p.exchangeLimits(c, o) }); err != nil {
			return err
		}
	}
	// A peer without evidence asks for it, unless its version knows none.
	if remote.Evidence != 0 && p.f.quarantine.ShouldSync(remote.Evidence, p.f.clock.Now()) {
		if err := p.exclusively(&p.exchangingEvidence, func() error { return p.exchangeEvidence(c, o) }); err != nil {
			return err
		}
	}
	if remote.Digest != local.Digest && remote.Fresh && !local.Fresh {
		return p.exclusively(&p.fetchingEndpoints, func() error { return p.fetchEndpoints(c, o) })
	}
	return nil
}

// exclusively calls run unless another call is in progress that sets busy. The lists
// that daemons exchange are large, and one peer's is enough.
func (p *peers) exclusively(busy *atomic.Bool, run func() error) error {
	if !busy.CompareAndSwap(false, true) {
		return nil
	}
	defer busy.Store(false)
	return run()
}

// fetchEndpoints replaces the endpoints by those of a peer.
func (p *peers) fetchEndpoints(ctx context.Context, o *peer) error {
	var l endpointsMessage
	if err := p.call(ctx, o.daemon.Addr, methodEndpoints, p.syncState(), &l); err != nil {
		return err
	}
	p.f.log.Info().Str("peer", o.daemon.Name).Int64("revision", l.Revision).Msg("forwarder: endpoints replaced by those of a peer")
	p.f.handleEndpointChanges(p.f.replaceEndpoints(l.Endpoints, l.Revision, false))
	return nil
}

// offerManifest records that a peer has a version of the manifest; zero for none.
func (p *peers) offerManifest(name string, version int64) {
	if version == 0 {
		return
	}
	p.mu.Lock()
	n := len(p.known)
	p.mu.Unlock()
	p.manifests.Offer(name, version, n, p.f.clock.Now())
	if version > p.f.manifestVersion() {
		p.wake.wake()
	}
}

// fetchDueManifest fetches the newest manifest from a peer, in the background, if that
// is due.
func (p *peers) fetchDueManifest() {
	name, ok := p.manifests.Next(p.f.manifestVersion(), p.f.clock.Now())
	if !ok {
		return
	}
	p.f.spawn(func() {
		err := p.fetchManifest(name)
		p.manifests.End(name, err)
		if err != nil {
			p.f.log.Info().Err(err).Str("peer", name).Msg("forwarder: could not fetch the manifest of a peer")
		}
	})
}

// fetchManifest fetches the manifest of the named peer and puts it in force if it is
// newer.
func (p *peers) fetchManifest(name string) error {
	p.mu.Lock()
	o := p.known[name]
	p.mu.Unlock()
	if o == nil {
		return ErrNotFound
	}
	c, cancel := context.WithTimeout(p.f.ctx, p.manifests.Timeout())
	defer cancel()
	var m matcher.Manifest
	if err := p.call(c, o.daemon.Addr, methodManifest, p.syncState(), &m); err != nil {
		return err
	}
	if m.MayLackRegions() && len(p.f.cfg.Regions) > 0 || m.MayLackKeys() {
		return errManifestFormat // This daemon asks the store itself soon.
	}
	p.f.installManifest(m.FromPeer(), "peer "+name)
	return nil
}

// encodedManifest is the manifest of a table in the form in which peers fetch it.
type encodedManifest struct {
	table *matcher.Table
	body  []byte
}

// handleManifest returns the manifest in force for a peer.
func (p *peers) handleManifest() ([]byte, error) {
	t := p.f.table.Load()
	if t == nil {
		return nil, ErrNotFound
	}
	p.f.metrics.count("manifests_sent")
	if e := p.encoded.Load(); e != nil && e.table == t {
		return e.body, nil
	}
	body, err := msgpack.Marshal(t.Manifest.ForPeers())
	if err == nil {
		p.encoded.Store(&encodedManifest{table: t, body: body})
	}
	return body, err
}

// recordReply records what a peer says of itself in its reply to a sync.
func (p *peers) recordReply(o *peer, m *syncMessage) {
	p.mu.Lock()
	o.record(m)
	p.mu.Unlock()
	p.f.paths.handlePeer(m.Tunnels)
}

// record records whether the store answers the calls of the peer, and which form of updates it
// decodes. The mutex of the peers is held.
func (o *peer) record(m *syncMessage) {
	o.manifestLost, o.endpointsLost = m.ManifestLost, m.EndpointsLost
	o.compact = m.Wire >= compactWire
	o.evacuationsLost = m.EvacuationsLost || m.Evacuations == nil
	o.tunnels = m.Tunnels
}

// syncState returns the state of this daemon for a sync.
func (p *peers) syncState() syncMessage {
	now := p.f.clock.Now()
	m := syncMessage{
		Daemon: p.f.cfg.Daemon.daemon(),
		Digest: p.f.registry.Digest(), Limits: p.f.limits.Digest(), Daemons: p.f.members.Count(), Fresh: p.f.endpointEntries.Fresh(now),
		ManifestAge: proofAgeOf(p.f.manifests, now), EndpointsAge: proofAgeOf(p.f.endpointEntries, now),
		ManifestLost: p.f.manifests.Lost(), EndpointsLost: p.f.endpointEntries.Lost(), Wire: compactWire,
	}
	if m.Evacuations = p.f.evacuationsState(); m.Evacuations != nil {
		m.EvacuationsAge, m.EvacuationsLost = proofAgeOf(p.f.evacuations, now), p.f.evacuations.Lost()
	}
	m.Leaving = p.f.registry.Marked()
	m.Tunnels, m.Brittle = p.f.paths.state(now), p.f.brittleServices(now)
	m.Manifest, m.Evidence = p.f.manifestVersion(), p.f.quarantine.Digest(now)
	return m
}

// call calls a method of the daemon at addr and decodes the result into out.
func (p *peers) call(ctx context.Context, addr, method string, in, out any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode "+method)
	}
	p.countMessage(p.domainAt(addr), method, len(body))
	reply, err := p.node.Call(ctx, addr, method, body)
	if err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(reply, out), "decode "+method)
}

// HandleCall handles a call of a peer.
func (p *peers) HandleCall(ctx context.Context, name, method string, body []byte) ([]byte, error) {
	reply, err := p.handleCall(ctx, name, method, body)
	if len(reply) > 0 {
		p.countMessage(p.domainOf(name), method, len(reply))
	}
	return reply, err
}

// handleCall handles a call of a peer and returns the reply.
func (p *peers) handleCall(ctx context.Context, name, method string, body []byte) ([]byte, error) {
	switch method {
	case methodUpdate:
		var m updateMessage
		if err := msgpack.Unmarshal(body, &m); err != nil {
			p.f.log.Warn().Err(err).Str("peer", name).Msg("forwarder: could not decode updates of a peer; dropped")
			return nil, err
		}
		p.applyMessage(name, &m)
		return nil, nil
	case methodCompact:
		m, err := decodeCompact(body)
		if err != nil {
			p.f.log.Warn().Err(err).Str("peer", name).Msg("forwarder: could not decode updates of a peer; dropped")
			return nil, err
		}
		p.applyMessage(name, m)
		return nil, nil
	case methodSync:
		var remote syncMessage
		if err := msgpack.Unmarshal(body, &remote); err != nil {
			return nil, err
		}
		p.recordSync(&remote)
		return msgpack.Marshal(p.syncState())
	case methodManifest:
		return p.handleManifest()
	case methodBorrow:
		return p.grantRetry(name, body)
	case methodGrant:
		return p.f.handleGrantRequest(ctx, body)
	case methodQuota:
		return p.f.handleQuotaRequest(ctx, body)
	case methodLimits:
		return p.handleLimits(name, body)
	case methodPlace, methodLeave, methodHoldings:
		return p.f.handlePlaces(ctx, method, body)
	case methodEvidence:
		return p.handleEvidence(name, body)
	case methodEndpoints:
		return msgpack.Marshal(endpointsMessage{Endpoints: p.f.registry.All(), Revision: p.f.registry.Revision()})
	default:
		return nil, errUnknownMethod
	}
}

// addDiscovered adds a daemon that was found through a sync and is not in the list
// of daemons yet.
func (p *peers) addDiscovered(d Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.Name == "" || d.Addr == "" || d.Name == p.f.cfg.Daemon.Name || len(p.known) >= reporter.FullMeshLimit {
		return
	}
	if o := p.known[d.Name]; o == nil && !p.others[d.Name] {
		p.add(d)
		p.f.members.Add(limiter.Daemon(d), p.f.clock.Now())
	}
}
