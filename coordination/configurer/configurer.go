// Package configurer decides how a daemon comes by the manifest in force.
//
// A Core takes events with their times and returns the actions to take. It does
// no I/O, so that the same code runs in the daemon and in tests on virtual
// time. A Core is for one goroutine at a time.
//
// The platform holds the accepted manifest as a head that lists its parts. A
// few daemons of each failure domain watch the head; the others hear of a new
// generation from peers and fetch from them what has changed. The generation in
// force never decreases: a head, a peer or a delivery of an older generation is
// ignored, and a manifest that is invalid or incomplete leaves the old one in
// force.
package configurer

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
)

// The reasons for which a manifest is rejected.
var (
	ErrInvalid    = errors.New("manifest is invalid")
	ErrDeployment = errors.New("manifest is of another deployment")
	ErrDiverged   = errors.New("one generation has two contents")
)

// Config holds the identity and the limits of a Core.
type Config struct {
	Name       string // Of the daemon, as in its member entry.
	Domain     string // Failure domain of the daemon.
	Deployment string // Manifests of others are rejected; empty accepts all.

	Watchers         int           // Daemons of a failure domain that watch the platform.
	Fanout           int           // Peers told at once of a new generation.
	AnnounceInterval time.Duration // Between announcements to one random peer.
	RereadInterval   time.Duration // Between reads of the head by all watchers together.
	WatchSilence     time.Duration // Silence after which a watch is replaced.
	PeerSilence      time.Duration // Silence of the peers after which a daemon reads by itself.
	FetchTimeout     time.Duration // Longest wait for a peer's answer to a request.
	ReadTimeout      time.Duration // Longest wait for the platform's answer to ReadParts.
	JoinWait         time.Duration // Longest wait of a new daemon for its peers' answers.
	DeliveryBytes    int           // Size of the largest delivery.
	LogBytes         int           // Size of all recent changes kept for peers.
}

// DefaultConfig returns the limits in use; the identity is empty.
func DefaultConfig() Config {
	return Config{
		Watchers:         2,
		Fanout:           3,
		AnnounceInterval: time.Second,
		RereadInterval:   time.Second,
		WatchSilence:     30 * time.Second,
		PeerSilence:      5 * time.Second,
		FetchTimeout:     500 * time.Millisecond,
		ReadTimeout:      3 * time.Second,
		JoinWait:         time.Second,
		DeliveryBytes:    48 << 10,
		LogBytes:         256 << 10,
	}
}

// Core is the state of one daemon. New makes one.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	members []Member // Live members without the daemon itself.

	manifest *cataloger.Manifest // In force, or nil.
	inForce  version
	snapshot partitioner.Snapshot
	log      changeLog
	rejected map[version]bool

	fetch     *fetch
	staged    map[partitioner.Digest]string
	candidate *candidate // Complete, but held back while joining.

	watch     watch
	nextRead  time.Time
	nextTell  time.Time
	lastHeard time.Time // Last announcement of a peer.
	join      join

	// trusting makes the Core install whatever it is given; tests use it to
	// show that they find a reverted generation.
	trusting bool
}

// version names a manifest's generation and content.
type version struct {
	Generation cataloger.Generation
	Root       partitioner.Digest
}

// candidate is a complete manifest that is not in force.
type candidate struct {
	version  version
	snapshot partitioner.Snapshot
}

// join is the state of a new daemon that asks its peers what they have before
// it trusts a read, which may be stale.
type join struct {
	started bool
	until   time.Time
	peers   int             // Peers that were asked.
	asked   map[string]bool // Those of them that have not answered.
}

// maxRejected bounds the memory of rejected manifests.
const maxRejected = 32

// New returns a Core without a manifest. The random source rng belongs to it.
func New(cfg Config, rng *rand.Rand) *Core {
	return &Core{
		cfg:      cfg,
		rng:      rng,
		rejected: make(map[version]bool),
		staged:   make(map[partitioner.Digest]string),
		watch:    watch{elected: true, watchers: 1},
	}
}

// Manifest returns the manifest in force, or nil while there is none. It must
// not be changed.
func (c *Core) Manifest() *cataloger.Manifest { return c.manifest }

// Generation returns the generation in force, or zero.
func (c *Core) Generation() cataloger.Generation { return c.inForce.Generation }

// Announcement returns what the daemon tells its peers of the manifest in force.
func (c *Core) Announcement() Announcement {
	return Announcement{Generation: c.inForce.Generation, Root: c.inForce.Root}
}

// Handle takes an event that happened at now and returns the actions to take,
// in their order.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	var actions []Action
	switch ev := ev.(type) {
	case Tick:
		actions = c.tick(now)
	case MembersChanged:
		actions = c.setMembers(now, ev.Members)
	case HeadSeen:
		actions = c.seeHead(now, ev)
	case WatchAlive:
		c.watch.noteAlive(now, ev.Watch)
	case WatchFailed:
		c.watch.noteFailed(now, ev.Watch, c.rng)
	case PartsRead:
		actions = c.takeParts(now, ev.Parts)
	case PartsFailed:
		actions = c.failParts(now)
	case AnnouncementReceived:
		actions = c.hear(now, ev.From, ev.Announcement)
	case RequestReceived:
		actions = c.serve(ev.From, ev.Request)
	case DeliveryReceived:
		actions = c.takeDelivery(now, ev.From, ev.Delivery)
	}
	return append(actions, c.finishJoin(now)...)
}

// tick does what has become due.
func (c *Core) tick(now time.Time) []Action {
	var actions []Action
	actions = append(actions, c.startJoin(now)...)
	actions = append(actions, c.tendWatch(now)...)
	actions = append(actions, c.reread(now)...)
	actions = append(actions, c.announce(now)...)
	return append(actions, c.tendFetch(now)...)
}

// accept takes a complete manifest and installs it, unless it has to wait for
// the answers of peers.
func (c *Core) accept(now time.Time, v version, s partitioner.Snapshot) []Action {
	if c.joining(now) {
		if c.candidate == nil || c.candidate.version.Generation < v.Generation {
			c.candidate = &candidate{version: v, snapshot: s}
		}
		return nil
	}
	return c.install(now, v, s)
}

// install puts a manifest in force or rejects it.
func (c *Core) install(now time.Time, v version, s partitioner.Snapshot) []Action {
	if c.isOld(v) {
		return nil
	}
	m, err := c.read(s)
	if err != nil {
		return c.reject(v, err)
	}
	asserter.That(v.Generation > c.inForce.Generation, asserter.ConfigMonotonic, "an older manifest was installed")
	m.Generation = v.Generation
	if c.manifest != nil {
		c.log.add(c.inForce, v, partitioner.Compare(c.snapshot, s), c.cfg.LogBytes)
	}
	c.manifest, c.inForce, c.snapshot = &m, v, s
	clear(c.staged)
	if c.fetch != nil && c.isOld(c.fetch.target) {
		c.fetch = nil
	}
	actions := []Action{Install{Manifest: c.manifest, Snapshot: s}}
	actions = append(actions, c.tellMany()...)
	return append(actions, c.ask(now)...)
}

// isOld reports whether v would not raise the generation in force, or has been
// rejected already.
func (c *Core) isOld(v version) bool {
	if c.trusting {
		return v == c.inForce
	}
	return v.Generation <= c.inForce.Generation || c.rejected[v]
}

// read parses and checks the manifest of s.
func (c *Core) read(s partitioner.Snapshot) (cataloger.Manifest, error) {
	m, err := parser.ParseManifest("manifest", s.Text())
	if err != nil {
		return m, errors.Wrap(ErrInvalid, err.Error())
	}
	if c.cfg.Deployment != "" && m.Deployment != c.cfg.Deployment {
		return m, errors.Wrap(ErrDeployment, m.Deployment)
	}
	return m, nil
}

// reject leaves the old manifest in force and remembers v.
func (c *Core) reject(v version, err error) []Action {
	if len(c.rejected) >= maxRejected {
		clear(c.rejected)
	}
	c.rejected[v] = true
	if c.fetch != nil && c.fetch.target == v {
		c.fetch = nil
	}
	return []Action{Reject{Generation: v.Generation, Root: v.Root, Err: err}}
}

// startJoin asks some peers what they have, once.
func (c *Core) startJoin(now time.Time) []Action {
	if c.join.started {
		return nil
	}
	c.join = join{started: true, until: now.Add(c.cfg.JoinWait), asked: make(map[string]bool)}
	c.lastHeard = now
	c.nextRead = now
	return c.askPeers()
}

// askPeers asks some random peers for announcements.
func (c *Core) askPeers() []Action {
	var actions []Action
	for _, peer := range c.randomPeers(c.cfg.Fanout) {
		c.join.peers++
		c.join.asked[peer] = true
		a := c.Announcement()
		a.Asks = true
		actions = append(actions, SendAnnouncement{To: peer, Announcement: a})
	}
	return actions
}

// joining reports whether the daemon still waits for the answers of peers, or
// for a manifest that they have announced.
func (c *Core) joining(now time.Time) bool {
	if c.manifest != nil || !now.Before(c.join.until) || c.trusting {
		return false
	}
	return c.join.peers == 0 || len(c.join.asked) > 0 || c.fetch != nil
}

// finishJoin installs what was held back when the join is over.
func (c *Core) finishJoin(now time.Time) []Action {
	if c.candidate == nil || c.joining(now) {
		return nil
	}
	held := c.candidate
	c.candidate = nil
	return c.install(now, held.version, held.snapshot)
}
