// Package pathfinder decides how a daemon opens its connections to endpoints: directly, or
// through a peer while its own path to the endpoint is cut.
//
// A path counts as cut only on proof: the daemon could not open a connection, and a peer could
// at about the same time. Something between the daemon and the endpoint, such as a load balancer
// or a NAT, may accept connections and then break them. A connection that was accepted and broke
// is proof together with a response that a peer got; it takes a response on a newer connection
// to end such a cut, since one that opens shows nothing. An endpoint that nobody reaches is down,
// and peers are asked for it again only after a pause. A daemon none of whose connections works,
// while those of peers do, is cut off: it does not wait for each further path to prove cut.
//
// A peer opens connections to endpoints directly and never through another peer, so that a
// connection takes one hop at most.
//
// A Finder does no I/O, so that the same code runs in the daemon and in tests on virtual time.
package pathfinder

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Times of the decisions.
const (
	headStart     = 50 * time.Millisecond  // After which a peer is asked beside a direct attempt; several round trips between failure domains.
	proofTime     = time.Second            // Between a direct failure and a success through a peer that together prove a cut.
	downTime      = time.Second            // After peers failed too, until they are asked again.
	cutDownTime   = 250 * time.Millisecond // The same while the own path is cut.
	confirmTime   = 250 * time.Millisecond // After the first cut paths, in which a success elsewhere shows that the daemon is not cut off.
	probeInterval = time.Second            // Between direct attempts on a path that is cut.
	probeJitter   = 0.2                    // Of probeInterval, either way.
)

// Limits of the decisions.
const (
	cutOffPaths    = 2 // Cut paths without any success from which a daemon may be cut off.
	maxPeers       = 3 // Asked for one connection.
	probesPerRound = 4 // While some path works; one otherwise. See Round.

	// Tunnels that a peer must have fewer to be asked before others, if
	crossingCost = 16   // it is in another failure domain than the daemon and the endpoint,
	failureCost  = 200  // it has failed lately, for any endpoint,
	cutCost      = 1000 // or some of its own paths are cut.
)

// Round is the time between calls of Probes. A daemon that is cut off thus probes ten times a second, and
// all paths together up to forty times as they heal.
const Round = 100 * time.Millisecond

// Endpoint is what matters of an endpoint.
type Endpoint struct {
	Addr   string
	Domain string
}

// Peer is what matters of another daemon.
type Peer struct {
	Name    string
	Addr    string
	Domain  string
	Tunnels int  // Connections that it carries for other daemons.
	Cut     int  // Paths of its own that are cut.
	CutOff  bool // It is cut off itself.
}

// Plan says how to open a connection. The zero Plan means that nobody reaches the endpoint.
type Plan struct {
	Direct    bool          // Open it directly.
	HeadStart time.Duration // Of the direct attempt before peers are asked.
	Peers     []Peer        // Peers to ask, in order.
}

// Outcome is how an attempt to open a connection ended.
type Outcome int

// Outcomes of attempts.
const (
	Opened  Outcome = iota
	Refused         // The connection was refused or reset.
	Silent          // Nothing came back.
	Lost            // The peer could not be asked, or has no room; nothing is known of the endpoint.
	Broken          // It was opened, but reset, closed or silent before it brought anything back for a request.
)

// Config configures a Finder.
type Config struct {
	Domain  string            // Failure domain of the daemon.
	Regions map[string]string // Region of each failure domain; empty where there are none.
}

// Finder holds what a daemon knows of its paths. It is safe for concurrent use. Use New to make one.
type Finder struct {
	cfg Config

	mu         sync.Mutex
	rand       *rand.Rand
	paths      map[string]*path     // By address; only those with failures.
	failed     map[string]time.Time // When each peer has failed to open a connection.
	soundAt    time.Time            // When the newest direct connection was opened that works, to any endpoint. See RecordDirect.
	firstCutAt time.Time            // Of the paths that are cut; zero if none is.
	probedAt   time.Time
}

// path is the state of the path to one endpoint.
type path struct {
	failedAt   time.Time // Last direct failure.
	outcome    Outcome   // Of that attempt.
	relayedAt  time.Time // Last connection through a peer.
	answeredAt time.Time // Last response through a peer.
	cut        bool
	unreached  bool                 // Connections break whatever way they take; lasts until a probe shows otherwise.
	downUntil  time.Time            // Peers failed as well.
	avoided    map[string]time.Time // Peers not to ask until a time.
	probeAt    time.Time
}

// New returns a Finder for which all paths work. It takes ownership of r.
func New(cfg Config, r *rand.Rand) *Finder {
	return &Finder{cfg: cfg, rand: r, paths: map[string]*path{}, failed: map[string]time.Time{}}
}

// Plan returns how to open a connection to e. The peers are those that are reachable and open
// connections for others.
func (f *Finder) Plan(e Endpoint, peers []Peer, now time.Time) Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paths[e.Addr]
	cut := f.isCut(p, now)
	if p != nil && (p.unreached || now.Before(p.downUntil)) {
		return Plan{Direct: !cut && !p.broken(now)}
	}
	asked := f.choose(e, p, peers, now)
	if !cut {
		return Plan{Direct: true, HeadStart: headStart, Peers: asked}
	}
	// A path that accepts connections and breaks them takes requests, whose outcome is unknown then.
	return Plan{Direct: len(asked) == 0 && !f.breaksConnections(p, now), Peers: asked}
}

// Peers returns the peers to ask for a connection to e, in order, whatever the state of the path.
func (f *Finder) Peers(e Endpoint, peers []Peer, now time.Time) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.choose(e, f.paths[e.Addr], peers, now)
}

// isCut reports whether a path counts as cut; p is nil if it has not failed. The mutex is held.
func (f *Finder) isCut(p *path, now time.Time) bool {
	return p != nil && p.cut || f.cutOff(now)
}

// breaksConnections reports whether connections on a path that is cut may be accepted and then break. P is nil if the path
// counts as cut since the daemon is cut off. The mutex is held.
func (f *Finder) breaksConnections(p *path, now time.Time) bool {
	if p != nil && p.cut {
		return p.broken(now)
	}
	return f.anyBroken(now)
}

// broken reports whether a connection that the path accepted broke lately, or the path is cut or unreached since one did.
func (p *path) broken(now time.Time) bool {
	return p.outcome == Broken && (p.cut || p.unreached || now.Sub(p.failedAt) < proofTime)
}

// anyBroken reports whether some path is broken. The mutex is held.
func (f *Finder) anyBroken(now time.Time) bool {
	for _, p := range f.paths {
		if p.broken(now) {
			return true
		}
	}
	return false
}

// cutOff reports whether the daemon is cut off from all endpoints. The mutex is held.
func (f *Finder) cutOff(now time.Time) bool {
	if f.firstCutAt.IsZero() || now.Sub(f.firstCutAt) < confirmTime {
		return false
	}
	n := 0
	for _, p := range f.paths {
		if p.cut && p.failedAt.After(f.soundAt) {
			n++
		}
	}
	return n >= cutOffPaths && f.soundAt.Before(f.firstCutAt)
}

// CutOff reports whether the daemon is cut off from all endpoints, and from how many it is known to be.
func (f *Finder) CutOff(now time.Time) (cutOff bool, paths int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.paths {
		if p.cut {
			paths++
		}
	}
	return f.cutOff(now), paths
}

// choose returns the peers to ask, best first. The mutex is held.
func (f *Finder) choose(e Endpoint, p *path, peers []Peer, now time.Time) []Peer {
	type candidate struct {
		Peer
		cost float64
	}
	var all []candidate
	for _, o := range peers {
		if o.CutOff || !f.mayCarry(o.Domain, e.Domain) || p != nil && now.Before(p.avoided[o.Name]) {
			continue
		}
		cost := float64(o.Tunnels) + f.rand.Float64()
		if o.Domain != f.cfg.Domain && o.Domain != e.Domain {
			cost += crossingCost
		}
		if f.failedLately(o.Name, now) {
			cost += failureCost
		}
		if o.Cut > 0 {
			cost += cutCost
		}
		all = append(all, candidate{o, cost})
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.Name, b.Name)) })
	asked := make([]Peer, 0, maxPeers)
	for _, c := range all[:min(len(all), maxPeers)] {
		asked = append(asked, c.Peer)
	}
	return asked
}

// failedLately reports whether a peer has failed to open a connection within downTime. The mutex is held.
func (f *Finder) failedLately(peer string, now time.Time) bool {
	at, ok := f.failed[peer]
	if ok && now.Sub(at) >= downTime {
		delete(f.failed, peer)
		return false
	}
	return ok
}

// mayCarry reports whether requests to an endpoint may pass through a peer. The daemon's own region
// has them already, and the endpoint's gets them.
func (f *Finder) mayCarry(peer, endpoint string) bool {
	if len(f.cfg.Regions) == 0 {
		return true
	}
	r := f.cfg.Regions[peer]
	return r != "" && (r == f.cfg.Regions[f.cfg.Domain] || r == f.cfg.Regions[endpoint])
}

// get returns the state of a path. The mutex is held.
func (f *Finder) get(addr string, now time.Time) *path {
	p := f.paths[addr]
	if p == nil {
		p = &path{avoided: map[string]time.Time{}}
		f.paths[addr] = p
	}
	p.probeAt = f.nextProbe(now)
	return p
}

func (f *Finder) nextProbe(now time.Time) time.Time {
	return now.Add(time.Duration((1 + probeJitter*(2*f.rand.Float64()-1)) * float64(probeInterval)))
}

// RecordDirect records how a direct attempt ended. It reports whether the path is cut now and was not
// before, or the other way round. On a path that breaks connections, one that was opened shows nothing, and while there is
// such a path, it does not show either that the daemon is not cut off.
func (f *Finder) RecordDirect(addr string, o Outcome, now time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o == Opened {
		if !f.anyBroken(now) {
			f.soundAt = now
		}
		if p := f.paths[addr]; p == nil || p.broken(now) {
			return false
		}
		return f.clear(addr)
	}
	p := f.get(addr, now)
	p.failedAt, p.outcome = now, o
	p.unreached = p.unreached && o == Broken
	return f.prove(p, now)
}

// RecordAnswer records that a direct connection, opened at a time, has brought a response. It returns as RecordDirect does.
// Only a connection that is newer than the last failure shows that the path works: open ones may live on while new ones fail.
func (f *Finder) RecordAnswer(addr string, openedAt time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if openedAt.After(f.soundAt) {
		f.soundAt = openedAt
	}
	if p := f.paths[addr]; p == nil || !openedAt.After(p.failedAt) {
		return false
	}
	return f.clear(addr)
}

// clear forgets the failures of a path, which works. It reports whether the path was cut. The mutex is held.
func (f *Finder) clear(addr string) (wasCut bool) {
	p := f.paths[addr]
	delete(f.paths, addr)
	f.updateFirstCut()
	return p.cut
}

// RecordRelayed records how an attempt through a peer ended, and returns as RecordDirect does.
func (f *Finder) RecordRelayed(addr, peer string, o Outcome, now time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.get(addr, now)
	if o != Opened {
		p.avoided[peer], f.failed[peer] = now.Add(downTime), now
		return false
	}
	delete(f.failed, peer)
	p.relayedAt, p.downUntil = now, time.Time{}
	delete(p.avoided, peer)
	return f.prove(p, now)
}

// RecordRelayedAnswer records that a connection through a peer has brought a response, and returns as RecordDirect does.
func (f *Finder) RecordRelayedAnswer(addr string, now time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paths[addr]
	if p == nil {
		return false
	}
	p.answeredAt, p.unreached = now, false
	return f.prove(p, now)
}

// RecordDown records that no attempt of a plan opened a connection, although a peer answered, or that connections break
// whatever way they take. The
// endpoint counts as down for a while, a shorter one if the daemon's own path is cut, since the peers
// may be cut off as well without knowing it yet.
func (f *Finder) RecordDown(addr string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.get(addr, now)
	p.downUntil = now.Add(downTime)
	p.unreached = !p.cut && p.broken(now)
	if f.isCut(p, now) {
		p.downUntil = now.Add(cutDownTime)
	}
}

// prove marks a path as cut if a direct failure and a success through a peer prove it: a connection or, if the direct one
// was opened too, a response. The mutex is held.
func (f *Finder) prove(p *path, now time.Time) (changed bool) {
	reachedAt := p.relayedAt
	if p.outcome == Broken {
		reachedAt = p.answeredAt
	}
	if p.cut || p.failedAt.IsZero() || reachedAt.IsZero() || p.failedAt.Sub(reachedAt).Abs() > proofTime {
		return false
	}
	p.cut, p.downUntil = true, time.Time{}
	f.updateFirstCut()
	if f.firstCutAt.IsZero() {
		f.firstCutAt = now
	}
	return true
}

// updateFirstCut forgets the time of the first cut path if none is cut any more. The mutex is held.
func (f *Finder) updateFirstCut() {
	for _, p := range f.paths {
		if p.cut {
			return
		}
	}
	f.firstCutAt = time.Time{}
}

// Usable reports whether an idle connection to an endpoint may be used again. Via is the peer that it
// goes through, or empty.
func (f *Finder) Usable(addr, via string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paths[addr]
	if via != "" {
		return f.isCut(p, now)
	}
	switch {
	case p != nil && p.cut:
		return p.outcome == Refused
	case f.cutOff(now):
		return !f.losesRequests()
	default:
		return true
	}
}

// losesRequests reports whether some path that is cut is silent or breaks connections, so that open ones may lose requests
// as well. The mutex is held.
func (f *Finder) losesRequests() bool {
	for _, p := range f.paths {
		if p.cut && p.outcome != Refused {
			return true
		}
	}
	return false
}

// Breaks reports whether the path to an endpoint may break a connection that it accepts, so that one that was opened shows
// nothing.
func (f *Finder) Breaks(addr string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.paths[addr]; p != nil && p.broken(now) {
		return true
	}
	return f.cutOff(now) && f.anyBroken(now)
}

// NeedAnswers reports whether the probes that Probes asks for need a response to show anything, since some path breaks
// connections that it has accepted.
func (f *Finder) NeedAnswers(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.anyBroken(now)
}

// Probes returns the endpoints to which a direct connection should be tried now. It returns none
// while no path is cut or unreached, and otherwise a few: those whose path is, and, until a connection is
// opened, others, which show whether the daemon is cut off. The caller records the results.
func (f *Finder) Probes(all []Endpoint, now time.Time) []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.probing() || now.Sub(f.probedAt) < Round {
		return nil
	}
	f.probedAt = now
	working := !f.soundAt.Before(f.firstCutAt) || now.Sub(f.firstCutAt) < confirmTime
	limit := 1
	if working {
		limit = probesPerRound
	}
	var due []Endpoint
	for _, e := range all {
		if p := f.paths[e.Addr]; p == nil && f.soundAt.Before(f.firstCutAt) || p != nil && !now.Before(p.probeAt) {
			due = append(due, e)
		}
	}
	f.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	due = due[:min(len(due), limit)]
	for _, e := range due {
		f.get(e.Addr, now)
	}
	return due
}

// Probing reports whether Probes may return endpoints.
func (f *Finder) Probing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probing()
}

// probing reports whether some path is cut or unreached. The mutex is held.
func (f *Finder) probing() bool {
	if !f.firstCutAt.IsZero() {
		return true
	}
	for _, p := range f.paths {
		if p.unreached {
			return true
		}
	}
	return false
}

// Unreached reports whether connections to an endpoint break whatever way they take, so that a probe needs to try all ways.
func (f *Finder) Unreached(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paths[addr]
	return p != nil && p.unreached
}

// Retain forgets the paths to all other addresses.
func (f *Finder) Retain(known func(addr string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr := range f.paths {
		if !known(addr) {
			delete(f.paths, addr)
		}
	}
	f.updateFirstCut()
}
