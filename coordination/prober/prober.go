// Package prober keeps track of which daemons are alive.
//
// Each daemon probes a constant number of others: its successors on several
// rings of its own region, and a few members of each other region. A member
// that answers neither directly nor through relays becomes suspect, and dead
// unless it refutes in time. Only daemons of a region judge its members, so that
// regions that are cut off from each other keep each other's lists. News rides
// on the probes; views that still differ are compared by hash and mended.
//
// Membership is advisory: it may be late or wrong, and nothing correct depends
// on it. A Prober does no I/O; it is told of time and messages and returns
// actions.
package prober

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/cataloger"
)

// ErrBadSettings is wrapped by the errors of Settings.Validate.
var ErrBadSettings = errors.New("bad membership settings")

// TickInterval is the longest time that may pass between two calls of Tick.
const TickInterval = 100 * time.Millisecond

// Settings are the periods and bounds of probing.
type Settings struct {
	Period          time.Duration // Between two probes.
	Timeout         time.Duration // Of a direct probe, and again of an indirect one.
	Suspicion       time.Duration // Shortest time in which a suspect may refute.
	Relays          int           // Members asked to probe on this one's behalf.
	Rings           int           // Members of the own region that are probed.
	CrossRings      int           // Members of each other region that are probed.
	CrossEvery      int           // Periods between two probes of another region.
	ReconnectEvery  int           // Periods between two probes of a dead member or seed.
	GossipInterval  time.Duration // Between two gossip messages while there is news.
	GossipBytes     int           // Updates carried by one message.
	BytesPerSecond  int           // Budget; gossip and sync wait when it is used up.
	SyncInterval    time.Duration // Shortest time between two comparisons of views.
	SyncMembers     int           // Members carried by one sync reply.
	DeadRetention   time.Duration // How long a dead member is probed again.
	LeftRetention   time.Duration
	RegionRetention time.Duration // How long a silent region is remembered.

	off mechanisms
}

// mechanisms are parts that tests switch off to show what they are for.
type mechanisms struct {
	indirect  bool // Probe through relays.
	refute    bool // Answer a suspicion with a higher incarnation.
	reconnect bool // Probe dead members and seeds.
	authority bool // Judge members of the own region only.
	sync      bool // Compare views.
	pause     bool // Discard probes after a pause of this daemon.
}

// DefaultSettings returns the settings of a deployment that sets none.
func DefaultSettings() Settings {
	return Settings{
		Period:          time.Second,
		Timeout:         500 * time.Millisecond,
		Suspicion:       3 * time.Second,
		Relays:          3,
		Rings:           8,
		CrossRings:      2,
		CrossEvery:      4,
		ReconnectEvery:  5,
		GossipInterval:  200 * time.Millisecond,
		GossipBytes:     400,
		BytesPerSecond:  1200,
		SyncInterval:    2 * time.Second,
		SyncMembers:     32,
		DeadRetention:   3 * time.Hour,
		LeftRetention:   3 * time.Hour,
		RegionRetention: 24 * time.Hour,
	}
}

// Validate reports whether the settings can work.
func (s Settings) Validate() error {
	switch {
	case s.Period < 2*s.Timeout || s.Timeout <= 0:
		return errors.Wrap(ErrBadSettings, "a period is shorter than a direct and an indirect timeout")
	case s.Suspicion < 2*s.Period:
		return errors.Wrap(ErrBadSettings, "a suspicion is shorter than two periods")
	case s.Rings < 1 || s.CrossRings < 1 || s.CrossEvery < 1 || s.ReconnectEvery < 1:
		return errors.Wrap(ErrBadSettings, "a count is below one")
	case s.BytesPerSecond < 1 || s.GossipBytes < 2*MaxNameBytes || s.SyncMembers < 1:
		return errors.Wrap(ErrBadSettings, "a size is too small")
	}
	return nil
}

// Prober is the membership of one daemon. It is not safe for concurrent use.
type Prober struct {
	cfg  Settings
	rand *rand.Rand
	self Member
	view view
	news gossip
	left bool

	seeds      []string
	neighbours []string // Members probed in the own region.
	cross      []string // Members probed in other regions.
	stale      bool     // The two above must be chosen anew.
	turn       int
	crossTurn  int

	seq      uint32
	probes   map[uint32]*probe
	relays   map[uint32]relay
	suspects map[string]struct{}
	heard    map[string]time.Time // Last message from each region.

	started    bool
	startedAt  time.Time
	lastTick   time.Time
	nextProbe  time.Time
	nextGossip time.Time
	lastSync   time.Time
	nextSweep  time.Time
	lastNews   time.Time // Last change that was passed on.
	period     int
	budget     float64 // Bytes that may be sent.
	changes    uint64
}

// New returns the membership of self, whose incarnation must be higher than in
// an earlier life under the same name; the start time in seconds will do.
func New(cfg Settings, self Member, r *rand.Rand) *Prober {
	self.State = StateAlive
	p := &Prober{
		cfg:      cfg,
		rand:     r,
		self:     self,
		view:     newView(),
		probes:   make(map[uint32]*probe),
		relays:   make(map[uint32]relay),
		suspects: make(map[string]struct{}),
		heard:    make(map[string]time.Time),
	}
	p.view.flip(self, xxhash.Sum64String(self.Name))
	return p
}

// SetSeeds gives the addresses at which members may be found.
func (p *Prober) SetSeeds(addrs []string) { p.seeds = slices.Clone(addrs) }

// SetGeneration gives the manifest generation in force here. It travels with
// this daemon's messages, and is not gossiped further.
func (p *Prober) SetGeneration(g cataloger.Generation) { p.self.Generation = g }

// SetMeta gives the data that all members should know of this one.
func (p *Prober) SetMeta(meta string) {
	if meta == p.self.Meta || len(meta) > MaxMetaBytes {
		return
	}
	p.self.Meta = meta
	p.raise(p.self.Incarnation + 1)
}

// raise moves this daemon to a new incarnation.
func (p *Prober) raise(incarnation uint64) {
	asserter.That(incarnation > p.self.Incarnation, asserter.MembershipOrder, "own incarnation goes back")
	hash := xxhash.Sum64String(p.self.Name)
	p.view.flip(p.self, hash)
	p.self.Incarnation = incarnation
	p.view.flip(p.self, hash)
	p.news.add(p.self.Name)
}

// Self returns this daemon's own entry.
func (p *Prober) Self() Member { return p.self }

// Changes counts the changes of the view, so that a caller can tell when to
// read Members again.
func (p *Prober) Changes() uint64 { return p.changes }

// Members returns all members that are not gone, this one included, sorted by
// name.
func (p *Prober) Members() []Member {
	names := p.view.names(func(r *record) bool { return !r.State.Gone() })
	out := make([]Member, 0, len(names)+1)
	for _, name := range names {
		out = append(out, p.view.records[name].Member)
	}
	if !p.left {
		out = append(out, p.self)
		slices.SortFunc(out, func(a, b Member) int { return cmpString(a.Name, b.Name) })
	}
	return out
}

// Member returns the entry of name, gone or not.
func (p *Prober) Member(name string) (Member, bool) { return p.entry(name) }

func (p *Prober) entry(name string) (Member, bool) {
	if name == p.self.Name {
		return p.self, true
	}
	if r := p.view.records[name]; r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// SilentFor returns how long no member of region has been heard. It is zero for
// the own region, and for a region never heard the time since the first Tick.
func (p *Prober) SilentFor(now time.Time, region string) time.Duration {
	if region == p.self.Region {
		return 0
	}
	last, ok := p.heard[region]
	if !ok {
		last = p.startedAt
	}
	return now.Sub(last)
}

// Leave says goodbye. From then on the Prober answers probes and passes news
// on, and probes nobody.
func (p *Prober) Leave(now time.Time) []Action {
	if p.left {
		return nil
	}
	p.left = true
	p.view.flip(p.self, xxhash.Sum64String(p.self.Name))
	p.self.State = StateLeft
	p.chooseNeighbours()
	var acts []Action
	for _, name := range slices.Concat(p.neighbours, p.cross) {
		acts = append(acts, p.sendTo(name, Message{Kind: KindGossip}))
	}
	p.probes = make(map[uint32]*probe)
	return acts
}

// Tick lets time pass. It must be called at least every TickInterval.
func (p *Prober) Tick(now time.Time) []Action {
	p.start(now)
	p.notePause(now)
	p.refill(now)
	p.lastTick = now
	acts := p.endSuspicions(now)
	if p.left {
		return append(acts, p.gossipNews(now)...)
	}
	acts = append(acts, p.advanceProbes(now)...)
	if !now.Before(p.nextProbe) {
		p.nextProbe = now.Add(p.cfg.Period)
		acts = append(acts, p.probePeriod(now)...)
	}
	acts = append(acts, p.gossipNews(now)...)
	p.sweep(now)
	return acts
}

// start spreads the first probes of daemons that start together.
func (p *Prober) start(now time.Time) {
	if p.started {
		return
	}
	p.started = true
	p.startedAt = now
	p.lastTick = now
	p.nextProbe = now.Add(time.Duration(p.rand.Int64N(int64(p.cfg.Period))))
	p.nextSweep = now.Add(sweepInterval)
	p.budget = burst.Seconds() * float64(p.cfg.BytesPerSecond)
	p.stale = true
	p.news.add(p.self.Name)
}

// notePause discards probes that ran out while this daemon was paused, and gives
// suspects the time back.
func (p *Prober) notePause(now time.Time) {
	gap := now.Sub(p.lastTick)
	if gap <= p.cfg.Timeout || p.cfg.off.pause {
		return
	}
	clear(p.probes)
	clear(p.relays)
	for name := range p.suspects {
		r := p.view.records[name]
		r.deadline = r.deadline.Add(gap)
	}
}

// burst is the time for which an unused byte budget is kept.
const burst = 8 * time.Second

// refill adds to the byte budget.
func (p *Prober) refill(now time.Time) {
	rate := float64(p.cfg.BytesPerSecond)
	p.budget = min(p.budget+now.Sub(p.lastTick).Seconds()*rate, burst.Seconds()*rate)
}

// sweepInterval is the time between two searches for entries to forget.
const sweepInterval = 10 * time.Second

// sweep forgets members that have been gone, or whose region has been silent,
// past their retention.
func (p *Prober) sweep(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(sweepInterval)
	old := p.view.names(func(r *record) bool { return now.Sub(r.since) > p.retention(now, r) })
	for _, name := range old {
		p.view.remove(name)
		delete(p.suspects, name)
		p.changes++
		p.stale = true
	}
}

func (p *Prober) retention(now time.Time, r *record) time.Duration {
	const forever = 1<<63 - 1
	switch {
	case r.State == StateDead:
		return p.cfg.DeadRetention
	case r.State == StateLeft:
		return p.cfg.LeftRetention
	case p.SilentFor(now, r.Region) > p.cfg.RegionRetention:
		return p.cfg.RegionRetention
	default:
		return forever
	}
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
