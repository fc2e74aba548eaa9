// Package prober implements the membership of the daemons: failure detection by
// probes, and gossip about what they find.
//
// Each daemon probes a constant number of others: its successors on several
// hash rings of its own region, and a few members of each other region. A member
// that answers neither directly nor through relays, which are other members that
// probe it on request, becomes suspect. It is declared dead unless it refutes the
// suspicion in time by raising its incarnation, a number in its entry. Only
// daemons of its own region declare a member suspect or dead, so that regions
// partitioned from each other keep each other's members listed.
//
// Updates are spread by probes and by gossip messages. The entries that a daemon
// holds are its view. Views that still differ are detected by their hashes, which
// each message carries, and synchronized.
//
// Membership is advisory: it may be late or wrong, and no correctness depends
// on it. A Prober does no I/O; it is given the time and messages and returns
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
var ErrBadSettings = errors.New("invalid membership settings")

// TickInterval is the longest time that may pass between two calls of Tick.
const TickInterval = 100 * time.Millisecond

// Settings are the intervals and limits of the membership protocol.
type Settings struct {
	ProbePeriod        time.Duration // Between two probes.
	ProbeTimeout       time.Duration // Of a direct probe, and again of an indirect one.
	MinSuspicion       time.Duration // Minimum time in which a suspect may refute.
	Relays             int           // Members asked to probe on this daemon's behalf.
	Rings              int           // Hash rings of the own region; one member is probed on each.
	CrossRegionRings   int           // Hash rings of each other region; one member is probed on each.
	CrossRegionPeriods int           // Periods between two probes of another region.
	ReconnectPeriods   int           // Periods between two probes of a dead member or seed.
	GossipInterval     time.Duration // Between two gossip messages while updates are queued.
	MaxGossipBytes     int           // Largest size of the queued updates in one message.
	BytesPerSecond     int           // Send budget; gossip and sync pause when it is used up.
	SyncInterval       time.Duration // Minimum time between two comparisons of views.
	MaxSyncMembers     int           // Largest number of members in one sync reply.
	DeadRetention      time.Duration // How long a dead member is kept and probed.
	LeftRetention      time.Duration // How long a member that has left is kept.
	RegionRetention    time.Duration // How long the members of a region that sends no messages are kept.

	disabled mechanisms
}

// mechanisms are parts of the protocol that tests disable to show what each is
// for.
type mechanisms struct {
	indirectProbes  bool // Probe through relays.
	refutation      bool // Answer a suspicion with a higher incarnation.
	reconnection    bool // Probe dead members and seeds.
	regionAuthority bool // Declare only members of the own region suspect or dead.
	viewSync        bool // Compare views.
	pauseDetection  bool // Discard probes after a pause of this daemon.
}

// DefaultSettings returns the settings of a deployment that configures none.
func DefaultSettings() Settings {
	return Settings{
		ProbePeriod:        time.Second,
		ProbeTimeout:       500 * time.Millisecond,
		MinSuspicion:       3 * time.Second,
		Relays:             3,
		Rings:              8,
		CrossRegionRings:   2,
		CrossRegionPeriods: 4,
		ReconnectPeriods:   5,
		GossipInterval:     200 * time.Millisecond,
		MaxGossipBytes:     400,
		BytesPerSecond:     1200,
		SyncInterval:       2 * time.Second,
		MaxSyncMembers:     32,
		DeadRetention:      3 * time.Hour,
		LeftRetention:      3 * time.Hour,
		RegionRetention:    24 * time.Hour,
	}
}

// Validate reports whether the settings are usable.
func (s Settings) Validate() error {
	switch {
	case s.ProbePeriod < 2*s.ProbeTimeout || s.ProbeTimeout <= 0:
		return errors.Wrap(ErrBadSettings, "probe period is shorter than two probe timeouts, direct and indirect")
	case s.MinSuspicion < 2*s.ProbePeriod:
		return errors.Wrap(ErrBadSettings, "minimum suspicion is shorter than two probe periods")
	case s.Rings < 1 || s.CrossRegionRings < 1 || s.CrossRegionPeriods < 1 || s.ReconnectPeriods < 1:
		return errors.Wrap(ErrBadSettings, "a number of rings or periods is below one")
	case s.BytesPerSecond < 1 || s.MaxGossipBytes < 2*MaxNameBytes || s.MaxSyncMembers < 1:
		return errors.Wrap(ErrBadSettings, "a limit of bytes or members is too small")
	}
	return nil
}

// Prober is the membership protocol of one daemon. It is not safe for
// concurrent use.
type Prober struct {
	settings Settings
	rand     *rand.Rand
	self     Member
	view     view
	updates  updateQueue
	left     bool

	seeds           []string
	neighbours      []string // Members probed in the own region.
	crossRegion     []string // Members probed in other regions.
	neighboursStale bool     // neighbours and crossRegion must be chosen again.
	neighbourTurn   int
	crossRegionTurn int

	seq       uint32
	probes    map[uint32]*probe
	relays    map[uint32]relay
	suspects  map[string]struct{}
	lastHeard map[string]time.Time // Time of the last message from each region or, before the first one, of its first entry.

	started    bool
	startedAt  time.Time
	lastTick   time.Time
	nextProbe  time.Time
	nextGossip time.Time
	lastSync   time.Time
	nextExpiry time.Time
	lastUpdate time.Time // Last change that was queued for gossip.
	periods    int
	byteBudget float64 // Bytes that may be sent.
	changes    uint64
}

// New returns a Prober for self, whose incarnation must be higher than in any
// earlier run under the same name; the start time in seconds is sufficient.
func New(cfg Settings, self Member, r *rand.Rand) *Prober {
	self.State = StateAlive
	p := &Prober{
		settings:  cfg,
		rand:      r,
		self:      self,
		view:      newView(),
		probes:    make(map[uint32]*probe),
		relays:    make(map[uint32]relay),
		suspects:  make(map[string]struct{}),
		lastHeard: make(map[string]time.Time),
	}
	p.view.toggleDigest(self, xxhash.Sum64String(self.Name))
	return p
}

// SetSeeds sets the addresses at which members may be found.
func (p *Prober) SetSeeds(addrs []string) { p.seeds = slices.Clone(addrs) }

// SetGeneration sets the manifest generation in force on this daemon. It is
// sent with this daemon's messages, and is not gossiped further.
func (p *Prober) SetGeneration(g cataloger.Generation) { p.self.Generation = g }

// SetMeta sets the data of this daemon that is gossiped to all members. Data of
// more than MaxMetaBytes is ignored.
func (p *Prober) SetMeta(meta string) {
	if meta == p.self.Meta || len(meta) > MaxMetaBytes {
		return
	}
	p.self.Meta = meta
	p.raiseIncarnation(p.self.Incarnation + 1)
}

// raiseIncarnation moves this daemon to a higher incarnation.
func (p *Prober) raiseIncarnation(incarnation uint64) {
	asserter.That(incarnation > p.self.Incarnation, asserter.MembershipOrder, "own incarnation does not increase")
	hash := xxhash.Sum64String(p.self.Name)
	p.view.toggleDigest(p.self, hash)
	p.self.Incarnation = incarnation
	p.view.toggleDigest(p.self, hash)
	p.updates.add(p.self.Name)
}

// Self returns this daemon's own entry.
func (p *Prober) Self() Member { return p.self }

// ViewVersion returns the number of changes of the view, so that a caller can tell
// when to read Members again.
func (p *Prober) ViewVersion() uint64 { return p.changes }

// Members returns all members that are neither dead nor left, this one
// included, sorted by name.
func (p *Prober) Members() []Member {
	names := p.view.selectNames(func(r *record) bool { return !r.State.DeadOrLeft() })
	out := make([]Member, 0, len(names)+1)
	for _, name := range names {
		out = append(out, p.view.records[name].Member)
	}
	if !p.left {
		out = append(out, p.self)
		slices.SortFunc(out, func(a, b Member) int { return compareStrings(a.Name, b.Name) })
	}
	return out
}

// Member returns the entry of name, in any state.
func (p *Prober) Member(name string) (Member, bool) { return p.lookup(name) }

func (p *Prober) lookup(name string) (Member, bool) {
	if name == p.self.Name {
		return p.self, true
	}
	if r := p.view.records[name]; r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// TimeSinceHeard returns the time since the last message from a member of
// region. It is zero for the own region. Before the first message it is the time
// since a member of the region was first stored or, without one, since the Prober
// started.
func (p *Prober) TimeSinceHeard(now time.Time, region string) time.Duration {
	if region == p.self.Region {
		return 0
	}
	last, ok := p.lastHeard[region]
	if !ok {
		last = p.startedAt
	}
	return now.Sub(last)
}

// Leave announces that this daemon is shutting down. From then on the Prober
// answers probes and forwards updates, but sends no probes of its own.
func (p *Prober) Leave(now time.Time) []Action {
	if p.left {
		return nil
	}
	p.left = true
	p.view.toggleDigest(p.self, xxhash.Sum64String(p.self.Name))
	p.self.State = StateLeft
	p.refreshNeighbours()
	var acts []Action
	for _, name := range slices.Concat(p.neighbours, p.crossRegion) {
		acts = append(acts, p.sendTo(name, Message{Kind: KindGossip}))
	}
	p.probes = make(map[uint32]*probe)
	return acts
}

// Tick advances the time. It must be called at least every TickInterval.
func (p *Prober) Tick(now time.Time) []Action {
	p.start(now)
	p.compensatePause(now)
	p.refill(now)
	p.lastTick = now
	acts := p.expireSuspicions(now)
	if p.left {
		return append(acts, p.sendGossip(now)...)
	}
	acts = append(acts, p.advanceProbes(now)...)
	if !now.Before(p.nextProbe) {
		p.nextProbe = now.Add(p.settings.ProbePeriod)
		acts = append(acts, p.probePeriod(now)...)
	}
	acts = append(acts, p.sendGossip(now)...)
	p.removeExpired(now)
	return acts
}

// start sets the timers on the first call. The first probe comes after a random
// delay, so that daemons that start together do not probe at the same time.
func (p *Prober) start(now time.Time) {
	if p.started {
		return
	}
	p.started = true
	p.startedAt = now
	p.lastTick = now
	p.nextProbe = now.Add(time.Duration(p.rand.Int64N(int64(p.settings.ProbePeriod))))
	p.nextExpiry = now.Add(expiryInterval)
	p.byteBudget = budgetWindow.Seconds() * float64(p.settings.BytesPerSecond)
	p.neighboursStale = true
	p.updates.add(p.self.Name)
}

// compensatePause discards probes that expired while this daemon was paused,
// and extends the deadlines of suspects by the pause.
func (p *Prober) compensatePause(now time.Time) {
	pause := now.Sub(p.lastTick)
	if pause <= p.settings.ProbeTimeout || p.settings.disabled.pauseDetection {
		return
	}
	clear(p.probes)
	clear(p.relays)
	for name := range p.suspects {
		r := p.view.records[name]
		r.deadline = r.deadline.Add(pause)
	}
}

// budgetWindow is the time over which unused byte budget accumulates.
const budgetWindow = 8 * time.Second

// refill adds to the byte budget.
func (p *Prober) refill(now time.Time) {
	rate := float64(p.settings.BytesPerSecond)
	p.byteBudget = min(p.byteBudget+now.Sub(p.lastTick).Seconds()*rate, budgetWindow.Seconds()*rate)
}

// expiryInterval is the time between two removals of expired entries.
const expiryInterval = 10 * time.Second

// removeExpired removes members that have been dead or left, or whose region has
// sent no messages, for longer than their retention.
func (p *Prober) removeExpired(now time.Time) {
	if now.Before(p.nextExpiry) {
		return
	}
	p.nextExpiry = now.Add(expiryInterval)
	expired := p.view.selectNames(func(r *record) bool { return now.Sub(r.stateSince) > p.retention(now, r) })
	for _, name := range expired {
		p.view.remove(name)
		delete(p.suspects, name)
		p.changes++
		p.neighboursStale = true
	}
}

func (p *Prober) retention(now time.Time, r *record) time.Duration {
	const forever = 1<<63 - 1
	switch {
	case r.State == StateDead:
		return p.settings.DeadRetention
	case r.State == StateLeft:
		return p.settings.LeftRetention
	case p.TimeSinceHeard(now, r.Region) > p.settings.RegionRetention:
		return p.settings.RegionRetention
	default:
		return forever
	}
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
