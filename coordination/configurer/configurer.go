// Package configurer distributes the accepted manifest, which is the
// configuration of a deployment, to the daemons.
//
// A Core is a state machine: it takes events with their times and returns the
// actions to take. It does no I/O, so that the same code runs in the daemon and
// in tests on virtual time. A Core is not safe for concurrent use.
//
// The platform stores the accepted manifest as parts and a head, which holds the
// number of the manifest (its generation) and the digests of the parts. A few
// daemons of each failure domain watch the head. The others learn of a new
// generation from the announcements of peers and fetch from them what has
// changed. The generation in force never decreases: a head, an
// announcement or a delivery of an older generation is ignored, and the old
// manifest stays in force if the new one is invalid or incomplete.
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
	ErrDeployment = errors.New("manifest belongs to another deployment")
	ErrDiverged   = errors.New("manifest differs from the one in force under the same generation")
)

// Config holds the identity and the limits of a Core.
type Config struct {
	Name       string // Name of the daemon, as in the membership.
	Domain     string // Failure domain of the daemon.
	Deployment string // Manifests of other deployments are rejected; empty accepts all.

	Watchers          int           // Daemons of a failure domain that watch the platform.
	Fanout            int           // Peers that are sent an announcement right after an installation.
	AnnounceInterval  time.Duration // Mean time between announcements, each to one random peer.
	PollInterval      time.Duration // Mean time between reads of the head, by all watchers together.
	WatchIdleTimeout  time.Duration // Time without an event after which a watch is replaced.
	PeerIdleTimeout   time.Duration // Time without announcements after which a daemon that is not a watcher reads the head.
	FetchTimeout      time.Duration // Longest wait for a peer's delivery.
	ReadTimeout       time.Duration // Longest wait for the platform's answer to ReadParts.
	JoinTimeout       time.Duration // Longest time for which a new daemon waits for its peers before it installs a manifest.
	MaxDeliveryBytes  int           // Largest change, or sum of parts, in a delivery; a larger single part is sent alone.
	MaxChangeLogBytes int           // Total size of the recent changes kept for peers.
}

// DefaultConfig returns the default limits, with an empty identity.
func DefaultConfig() Config {
	return Config{
		Watchers:          2,
		Fanout:            3,
		AnnounceInterval:  time.Second,
		PollInterval:      time.Second,
		WatchIdleTimeout:  30 * time.Second,
		PeerIdleTimeout:   5 * time.Second,
		FetchTimeout:      500 * time.Millisecond,
		ReadTimeout:       3 * time.Second,
		JoinTimeout:       time.Second,
		MaxDeliveryBytes:  48 << 10,
		MaxChangeLogBytes: 256 << 10,
	}
}

// Core is the configuration state of one daemon. Use New to create one.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	members []Member // Live members except the daemon itself.

	manifest *cataloger.Manifest // Manifest in force, or nil.
	inForce  version
	snapshot partitioner.Snapshot
	changes  changeLog
	rejected map[version]bool

	fetch     *fetch
	staged    map[partitioner.Digest]string // Texts of the parts that were fetched and are not in force yet.
	candidate *candidate                    // Complete manifest to install when the join ends.

	watch                watch
	nextPoll             time.Time
	nextAnnounce         time.Time
	lastPeerAnnouncement time.Time // When a peer last sent an announcement.
	join                 join

	// acceptAny disables the check that the generation increases. Tests use it
	// to show that they detect a reverted generation.
	acceptAny bool
}

// version identifies a manifest by its generation and the digest of its content.
type version struct {
	Generation cataloger.Generation
	Root       partitioner.Digest
}

// candidate is a complete manifest that has not been installed.
type candidate struct {
	version  version
	snapshot partitioner.Snapshot
}

// join is the state of a new daemon, which asks peers for the generation that
// they have in force before it installs a manifest read from the platform,
// because that read may be stale.
type join struct {
	started    bool
	deadline   time.Time
	polled     int             // Number of peers that were asked.
	unanswered map[string]bool // Peers that were asked and have not answered.
}

// maxRejected is the number of rejected manifests that are remembered.
const maxRejected = 32

// New returns a Core without a manifest. The Core takes ownership of rng.
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

// Announcement returns the announcement of the manifest in force.
func (c *Core) Announcement() Announcement {
	return Announcement{Generation: c.inForce.Generation, Root: c.inForce.Root}
}

// Handle processes an event that happened at now and returns the actions to
// take, in order.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	var actions []Action
	switch ev := ev.(type) {
	case Tick:
		actions = c.tick(now)
	case MembersChanged:
		actions = c.setMembers(now, ev.Members)
	case HeadReceived:
		actions = c.handleHead(now, ev)
	case WatchAlive:
		c.watch.recordAlive(now, ev.Watch)
	case WatchFailed:
		c.watch.recordFailure(now, ev.Watch, c.rng)
	case PartsRead:
		actions = c.handleParts(now, ev.Parts)
	case ReadPartsFailed:
		actions = c.handlePartsFailed(now)
	case AnnouncementReceived:
		actions = c.handleAnnouncement(now, ev.From, ev.Announcement)
	case RequestReceived:
		actions = c.handleRequest(ev.From, ev.Request)
	case DeliveryReceived:
		actions = c.handleDelivery(now, ev.From, ev.Delivery)
	}
	return append(actions, c.finishJoin(now)...)
}

// tick runs the periodic work that is due.
func (c *Core) tick(now time.Time) []Action {
	var actions []Action
	actions = append(actions, c.startJoin(now)...)
	actions = append(actions, c.maintainWatch(now)...)
	actions = append(actions, c.pollHead(now)...)
	actions = append(actions, c.announceIfDue(now)...)
	return append(actions, c.retryFetch(now)...)
}

// accept installs a complete manifest. While the daemon is joining it keeps the
// manifest of the highest generation as the candidate instead.
func (c *Core) accept(now time.Time, v version, s partitioner.Snapshot) []Action {
	if c.joining(now) {
		if c.candidate == nil || c.candidate.version.Generation < v.Generation {
			c.candidate = &candidate{version: v, snapshot: s}
		}
		return nil
	}
	return c.install(now, v, s)
}

// install puts a manifest in force, or rejects it if it is invalid.
func (c *Core) install(now time.Time, v version, s partitioner.Snapshot) []Action {
	if c.ignored(v) {
		return nil
	}
	m, err := c.parse(s)
	if err != nil {
		return c.reject(v, err)
	}
	asserter.That(v.Generation > c.inForce.Generation, asserter.ConfigMonotonic, "an older manifest was installed")
	m.Generation = v.Generation
	if c.manifest != nil {
		c.changes.add(c.inForce, v, partitioner.Compare(c.snapshot, s), c.cfg.MaxChangeLogBytes)
	}
	c.manifest, c.inForce, c.snapshot = &m, v, s
	clear(c.staged)
	if c.fetch != nil && c.ignored(c.fetch.target) {
		c.fetch = nil
	}
	actions := []Action{Install{Manifest: c.manifest, Snapshot: s}}
	actions = append(actions, c.announceToPeers()...)
	return append(actions, c.continueFetch(now)...)
}

// ignored reports whether v does not raise the generation in force or was
// rejected before.
func (c *Core) ignored(v version) bool {
	if c.acceptAny {
		return v == c.inForce
	}
	return v.Generation <= c.inForce.Generation || c.rejected[v]
}

// parse parses the manifest in s and checks its deployment.
func (c *Core) parse(s partitioner.Snapshot) (cataloger.Manifest, error) {
	m, err := parser.ParseManifest("manifest", s.Text())
	if err != nil {
		return m, errors.Wrap(ErrInvalid, err.Error())
	}
	if c.cfg.Deployment != "" && m.Deployment != c.cfg.Deployment {
		return m, errors.Wrap(ErrDeployment, m.Deployment)
	}
	return m, nil
}

// reject records v as rejected and abandons its fetch. The old manifest stays
// in force.
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

// startJoin begins the join on the first call and does nothing afterwards.
func (c *Core) startJoin(now time.Time) []Action {
	if c.join.started {
		return nil
	}
	c.join = join{started: true, deadline: now.Add(c.cfg.JoinTimeout), unanswered: make(map[string]bool)}
	c.lastPeerAnnouncement = now
	c.nextPoll = now
	return c.pollPeers()
}

// pollPeers asks random peers for their announcements.
func (c *Core) pollPeers() []Action {
	var actions []Action
	for _, peer := range c.randomPeers(c.cfg.Fanout) {
		c.join.polled++
		c.join.unanswered[peer] = true
		a := c.Announcement()
		a.Pull = true
		actions = append(actions, SendAnnouncement{To: peer, Announcement: a})
	}
	return actions
}

// joining reports whether the daemon still waits for announcements of peers, or
// for a manifest that is being fetched.
func (c *Core) joining(now time.Time) bool {
	if c.manifest != nil || !now.Before(c.join.deadline) || c.acceptAny {
		return false
	}
	return c.join.polled == 0 || len(c.join.unanswered) > 0 || c.fetch != nil
}

// finishJoin installs the candidate once the join is over.
func (c *Core) finishJoin(now time.Time) []Action {
	if c.candidate == nil || c.joining(now) {
		return nil
	}
	held := c.candidate
	c.candidate = nil
	return c.install(now, held.version, held.snapshot)
}
