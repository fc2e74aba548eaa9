package configurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
)

const tickInterval = 200 * time.Millisecond

// simulation runs Cores on virtual time, with faults of the platform and of the
// network.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	queue     eventQueue
	sequence  int
	daemons   []*daemon
	platform  platform
	acceptAny bool

	lossRate           float64            // Fraction of the messages between daemons that are lost.
	partitions         map[[2]string]bool // Pairs of failure domains that are partitioned.
	platformPartitions map[string]bool    // Failure domains that cannot reach the platform.
	failures           []string           // Violations found by checkInstall.
	keysPerCustomer    int                // Key hashes of each customer.
	onTraffic          func(*daemon, int) // Called with the bytes that a daemon sends or receives.
	calls              int                // Platform calls of all daemons.
}

// daemon is a VM and the daemon process that runs on it.
type daemon struct {
	name, domain      string
	core              *Core
	incarnation       int // Incremented for each process.
	alive             bool
	highestGeneration cataloger.Generation // Highest generation installed by this process.
	watchID           uint64               // ID of the open watch, or zero.
	watchStalled      bool                 // Whether the watch delivers nothing more and does not fail.
	installedAt       time.Time
}

// platform stores every head that was accepted.
type platform struct {
	heads  []Head
	valid  map[cataloger.Generation]bool // Whether a Core may install the generation.
	parts  map[partitioner.Digest]string
	outage bool // No call is answered.
	stale  bool // Reads return any of the heads.
	slow   bool // Reads take between 0.5 s and 6 s.
}

// scheduledEvent is a function to run at a time. Events of the same time run in
// the order of sequence.
type scheduledEvent struct {
	at       time.Time
	sequence int
	fn       func()
}

// eventQueue is a heap of scheduled events.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, daemons, domains int, acceptAny bool) *simulation {
	sim := &simulation{
		rng:                rand.New(rand.NewPCG(seed, 1)),
		now:                time.Unix(0, 0),
		acceptAny:          acceptAny,
		keysPerCustomer:    4,
		onTraffic:          func(*daemon, int) {},
		partitions:         make(map[[2]string]bool),
		platformPartitions: make(map[string]bool),
		platform: platform{
			valid: make(map[cataloger.Generation]bool),
			parts: make(map[partitioner.Digest]string),
		},
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("vm-%d", i), domain: fmt.Sprintf("domain-%d", i%domains)}
		sim.daemons = append(sim.daemons, d)
		sim.start(d)
	}
	sim.updateMembers()
	return sim
}

// schedule calls do after d.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.queue, scheduledEvent{at: sim.now.Add(d), sequence: sim.sequence, fn: do})
}

// run advances the time by d and runs the events that fall due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		ev := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = ev.at
		ev.fn()
	}
	sim.now = end
}

const (
	// callOverheadBytes is the size of a platform call for one object and of its
	// answer, without the content.
	callOverheadBytes = 700
	// messageOverheadBytes is the size of a message between daemons without its
	// content: the frame, the call header, and the TCP and IP headers in both
	// directions.
	messageOverheadBytes = 160
	// digestBytes is the size of a digest in JSON.
	digestBytes = 35
)

// headBytes returns the size of reading a head.
func headBytes(h Head) int { return callOverheadBytes + digestBytes*len(h.Parts) }

// messageBytes returns the size of a message between daemons.
func messageBytes(ev Event) int {
	body, err := msgpack.Marshal(ev)
	if err != nil {
		panic(err)
	}
	return messageOverheadBytes + len(body)
}

// start starts a new process on a VM.
func (sim *simulation) start(d *daemon) {
	cfg := DefaultConfig()
	cfg.Name, cfg.Domain, cfg.Deployment = d.name, d.domain, "demo"
	d.core = New(cfg, rand.New(rand.NewPCG(sim.rng.Uint64(), 2)))
	d.core.acceptAny = sim.acceptAny
	d.incarnation++
	d.alive, d.highestGeneration, d.watchID, d.watchStalled = true, 0, 0, false
	incarnation := d.incarnation
	var tick func()
	tick = func() {
		if d.alive && d.incarnation == incarnation {
			sim.deliver(d, incarnation, Tick{})
			sim.schedule(tickInterval, tick)
		}
	}
	sim.schedule(sim.millis(0, 200), tick)
}

func (sim *simulation) kill(d *daemon) { d.alive = false }

func (sim *simulation) millis(minMS, maxMS int) time.Duration {
	return time.Duration(minMS+sim.rng.IntN(maxMS-minMS+1)) * time.Millisecond
}

// updateMembers sends each daemon the live members that it can reach, after a
// random delay.
func (sim *simulation) updateMembers() {
	for _, d := range sim.daemons {
		var members []Member
		for _, m := range sim.daemons {
			if m.alive && !sim.partitioned(d.domain, m.domain) {
				members = append(members, Member{Name: m.name, Domain: m.domain})
			}
		}
		incarnation := d.incarnation
		sim.schedule(sim.millis(0, 2000), func() { sim.deliver(d, incarnation, MembersChanged{Members: members}) })
	}
}

func (sim *simulation) partitioned(a, b string) bool {
	return sim.partitions[[2]string{a, b}] || sim.partitions[[2]string{b, a}]
}

// deliver passes an event to a process and performs the resulting actions, if
// the process still runs.
func (sim *simulation) deliver(d *daemon, incarnation int, ev Event) {
	if !d.alive || d.incarnation != incarnation {
		return
	}
	for _, a := range d.core.Handle(sim.now, ev) {
		sim.perform(d, a)
	}
}

func (sim *simulation) perform(d *daemon, a Action) {
	switch a := a.(type) {
	case Install:
		sim.checkInstall(d, a)
	case Watch:
		sim.calls += 2 // A read and the watch itself.
		sim.openWatch(d, a.ID)
	case StopWatch:
		if d.watchID == a.ID {
			d.watchID = 0
		}
	case ReadHead:
		sim.calls++
		sim.readHead(d)
	case ReadParts:
		sim.calls += len(a.Digests)
		sim.readParts(d, a.Digests)
	case SendAnnouncement:
		sim.send(d, a.To, AnnouncementReceived{From: d.name, Announcement: a.Announcement})
	case SendRequest:
		sim.send(d, a.To, RequestReceived{From: d.name, Request: a.Request})
	case SendDelivery:
		sim.send(d, a.To, DeliveryReceived{From: d.name, Delivery: a.Delivery})
	}
}

// checkInstall checks that an installation raises the generation of the process
// and that the manifest is valid and has the accepted content.
func (sim *simulation) checkInstall(d *daemon, a Install) {
	g := a.Manifest.Generation
	if g <= d.highestGeneration {
		sim.failf("%s replaced generation %d by %d", d.name, d.highestGeneration, g)
	}
	if !sim.platform.valid[g] {
		sim.failf("%s installed generation %d, which is not valid", d.name, g)
	}
	if a.Snapshot.Root != partitioner.Root(sim.platform.head(g).Parts) {
		sim.failf("%s installed another content of generation %d", d.name, g)
	}
	d.highestGeneration = g
	d.installedAt = sim.now
}

func (sim *simulation) failf(format string, args ...any) {
	sim.failures = append(sim.failures, sim.now.Sub(time.Unix(0, 0)).String()+" "+fmt.Sprintf(format, args...))
}

// send schedules the delivery of a message between daemons, which may be lost or
// duplicated.
func (sim *simulation) send(from *daemon, to string, ev Event) {
	for _, d := range sim.daemons {
		if d.name != to || sim.partitioned(from.domain, d.domain) {
			continue
		}
		copies := 1
		if sim.rng.Float64() < 0.02 {
			copies = 2
		}
		for range copies {
			if sim.rng.Float64() < sim.lossRate {
				continue
			}
			incarnation := d.incarnation
			sim.onTraffic(from, messageBytes(ev))
			sim.onTraffic(d, messageBytes(ev))
			sim.schedule(sim.millis(1, 30), func() { sim.deliver(d, incarnation, ev) })
		}
	}
}

// platformReachable reports whether the platform answers a daemon.
func (sim *simulation) platformReachable(d *daemon) bool {
	return !sim.platform.outage && !sim.platformPartitions[d.domain]
}

func (sim *simulation) openWatch(d *daemon, id uint64) {
	incarnation := d.incarnation
	d.watchID = 0
	sim.schedule(sim.millis(2, 10), func() {
		if !d.alive || d.incarnation != incarnation {
			return
		}
		if !sim.platformReachable(d) {
			sim.deliver(d, incarnation, WatchFailed{Watch: id})
			return
		}
		d.watchID, d.watchStalled = id, false
		if head, ok := sim.platform.latest(sim.rng); ok {
			sim.onTraffic(d, headBytes(head))
			sim.deliver(d, incarnation, HeadReceived{Watch: id, Head: head})
		}
	})
}

func (sim *simulation) readHead(d *daemon) {
	incarnation := d.incarnation
	sim.schedule(sim.platformDelay(), func() {
		if !sim.platformReachable(d) {
			return
		}
		if head, ok := sim.platform.latest(sim.rng); ok {
			sim.onTraffic(d, headBytes(head))
			sim.deliver(d, incarnation, HeadReceived{Head: head})
		}
	})
}

func (sim *simulation) platformDelay() time.Duration {
	if sim.platform.slow {
		return sim.millis(500, 6000)
	}
	return sim.millis(2, 10)
}

func (sim *simulation) readParts(d *daemon, digests []partitioner.Digest) {
	incarnation := d.incarnation
	sim.schedule(sim.platformDelay(), func() {
		if !sim.platformReachable(d) {
			sim.deliver(d, incarnation, ReadPartsFailed{})
			return
		}
		var parts []partitioner.Part
		for _, digest := range digests {
			if text, ok := sim.platform.parts[digest]; ok && sim.rng.Float64() > 0.02 {
				parts = append(parts, partitioner.Part{Digest: digest, Text: text})
				sim.onTraffic(d, callOverheadBytes+len(text))
			}
		}
		if len(parts) == 0 {
			sim.deliver(d, incarnation, ReadPartsFailed{})
			return
		}
		sim.deliver(d, incarnation, PartsRead{Parts: parts})
	})
}

// latest returns the head that a read returns: the latest one or, with stale
// reads, any.
func (p *platform) latest(rng *rand.Rand) (Head, bool) {
	if len(p.heads) == 0 {
		return Head{}, false
	}
	i := len(p.heads) - 1
	if p.stale {
		i = rng.IntN(len(p.heads))
	}
	return p.heads[i], true
}

func (p *platform) head(g cataloger.Generation) Head {
	i := slices.IndexFunc(p.heads, func(h Head) bool { return h.Generation == g })
	if i < 0 {
		return Head{}
	}
	return p.heads[i]
}

// installable reports whether the latest head is valid and has all its parts.
func (p *platform) installable() bool {
	if len(p.heads) == 0 {
		return false
	}
	head := p.heads[len(p.heads)-1]
	for _, d := range head.Parts {
		if _, ok := p.parts[d]; !ok {
			return false
		}
	}
	return p.valid[head.Generation]
}

// fault is a defect of a manifest that the platform accepts.
type fault int

const (
	noFault fault = iota
	invalidText
	otherDeployment
	missingPart
)

// publish stores a new manifest as the accepted one and notifies the open
// watches.
func (sim *simulation) publish(customers int, f fault) {
	s := sim.newManifest(customers, f)
	g := cataloger.Generation(len(sim.platform.heads) + 1)
	sim.platform.heads = append(sim.platform.heads, Head{Generation: g, Parts: s.Digests()})
	sim.platform.valid[g] = f == noFault || f == missingPart
	omitPart := f == missingPart
	for _, p := range s.Parts {
		if _, stored := sim.platform.parts[p.Digest]; omitPart && !stored {
			omitPart = false
			continue
		}
		sim.platform.parts[p.Digest] = p.Text
	}
	for _, d := range sim.daemons {
		if d.alive && d.watchID != 0 && !d.watchStalled && sim.platformReachable(d) {
			id, incarnation, head := d.watchID, d.incarnation, sim.platform.heads[g-1]
			sim.onTraffic(d, headBytes(head))
			sim.schedule(sim.millis(1, 20), func() { sim.deliver(d, incarnation, HeadReceived{Watch: id, Head: head}) })
		}
	}
}

// newManifest returns a manifest in which the weight of one random customer is
// random. For missingPart all weights are, so that some parts are new.
func (sim *simulation) newManifest(customers int, f fault) partitioner.Snapshot {
	name := "demo"
	if f == otherDeployment {
		name = "other"
	}
	text := "[deployment]\nname = " + name + "\nregion = r\n[priority normal]\nlevel = 1\n"
	if f == invalidText {
		text += "[priority low]\nlevel = 1\n"
	}
	changed := sim.rng.IntN(customers)
	for i := range customers {
		weight := 1
		if i == changed || f == missingPart {
			weight = 2 + sim.rng.IntN(1000)
		}
		text += fmt.Sprintf("[customer c%d]\npriority = normal\nweight = %d\nkey_hashes = %s\n",
			i, weight, strings.Join(hashes(i, sim.keysPerCustomer), ", "))
	}
	s, err := partitioner.Split(canonicalSections(text))
	if err != nil {
		panic(err)
	}
	return s
}

// canonicalSections splits canonical text, which need not be valid, into its
// sections.
func canonicalSections(text string) []parser.Section {
	var sections []parser.Section
	for chunk := range strings.SplitSeq(strings.TrimPrefix(text, "["), "\n[") {
		title, _, _ := strings.Cut(chunk, "]")
		sections = append(sections, parser.Section{Title: title, Text: "[" + strings.TrimSuffix(chunk, "\n") + "\n"})
	}
	return sections
}

// hashes returns n key hashes of customer i.
func hashes(i, n int) []string {
	list := make([]string, n)
	for j := range list {
		list[j] = fmt.Sprintf("%064x", i*n+j)
	}
	return list
}

// endFaults ends every fault except stalled watches and restarts the daemons that
// do not run.
func (sim *simulation) endFaults() {
	sim.lossRate = 0
	clear(sim.partitions)
	clear(sim.platformPartitions)
	sim.platform.outage, sim.platform.stale, sim.platform.slow = false, false, false
	for _, d := range sim.daemons {
		if !d.alive {
			sim.start(d)
		}
	}
	sim.updateMembers()
}
