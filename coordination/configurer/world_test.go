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

// world runs some cores on virtual time with a platform and a network that
// fail.
type world struct {
	rng      *rand.Rand
	now      time.Time
	queue    pending
	sequence int
	daemons  []*daemon
	platform platform
	trusting bool

	loss        float64            // Part of the messages between daemons that is lost.
	cutPeers    map[[2]string]bool // Pairs of failure domains that are cut off.
	cutPlatform map[string]bool    // Failure domains cut off from the platform.
	failures    []string
	keys        int                // Key hashes of each customer.
	traffic     func(*daemon, int) // Told of the bytes that a daemon sends or receives.
	calls       int                // Made at the platform by all daemons.
}

// daemon is one VM with its present process.
type daemon struct {
	name, domain string
	core         *Core
	epoch        int // Counts the processes.
	alive        bool
	highest      cataloger.Generation // Of this process.
	watch        uint64               // The open watch, or zero.
	silent       bool                 // Whether the watch has gone silent for good.
	installedAt  time.Time
}

// platform keeps every head that was accepted.
type platform struct {
	heads  []Head
	valid  map[cataloger.Generation]bool // Whether the text is valid.
	parts  map[partitioner.Digest]string
	outage bool
	stale  bool
	slow   bool
}

// happening is something that takes place at a time.
type happening struct {
	at       time.Time
	sequence int
	do       func()
}

// pending is a heap of happenings.
type pending []happening

func (p pending) Len() int { return len(p) }
func (p pending) Less(i, j int) bool {
	if p[i].at.Equal(p[j].at) {
		return p[i].sequence < p[j].sequence
	}
	return p[i].at.Before(p[j].at)
}
func (p pending) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *pending) Push(x any)   { *p = append(*p, x.(happening)) }
func (p *pending) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, daemons, domains int, trusting bool) *world {
	w := &world{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		now:         time.Unix(0, 0),
		trusting:    trusting,
		keys:        4,
		traffic:     func(*daemon, int) {},
		cutPeers:    make(map[[2]string]bool),
		cutPlatform: make(map[string]bool),
		platform: platform{
			valid: make(map[cataloger.Generation]bool),
			parts: make(map[partitioner.Digest]string),
		},
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("vm-%d", i), domain: fmt.Sprintf("domain-%d", i%domains)}
		w.daemons = append(w.daemons, d)
		w.start(d)
	}
	w.tellMembers()
	return w
}

// after does something later.
func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, happening{at: w.now.Add(d), sequence: w.sequence, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		h := heap.Pop(&w.queue).(happening)
		w.now = h.at
		h.do()
	}
	w.now = end
}

const (
	// objectBytes is the size of a call for an object and of its answer without
	// the content.
	objectBytes = 700
	// frameBytes is the size of a message between daemons without its content:
	// the frame, the call's head, and the headers of TCP and IP both ways.
	frameBytes = 160
	// digestBytes is the size of a digest in JSON.
	digestBytes = 35
)

// headBytes returns the size of reading a head.
func headBytes(h Head) int { return objectBytes + digestBytes*len(h.Parts) }

// messageBytes returns the size of a message between daemons.
func messageBytes(ev Event) int {
	body, err := msgpack.Marshal(ev)
	if err != nil {
		panic(err)
	}
	return frameBytes + len(body)
}

// start begins a new process on a VM.
func (w *world) start(d *daemon) {
	cfg := DefaultConfig()
	cfg.Name, cfg.Domain, cfg.Deployment = d.name, d.domain, "demo"
	d.core = New(cfg, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	d.core.trusting = w.trusting
	d.epoch++
	d.alive, d.highest, d.watch, d.silent = true, 0, 0, false
	epoch := d.epoch
	var tick func()
	tick = func() {
		if d.alive && d.epoch == epoch {
			w.give(d, epoch, Tick{})
			w.after(tickInterval, tick)
		}
	}
	w.after(w.millis(0, 200), tick)
}

func (w *world) kill(d *daemon) { d.alive = false }

func (w *world) millis(least, most int) time.Duration {
	return time.Duration(least+w.rng.IntN(most-least+1)) * time.Millisecond
}

// tellMembers gives each daemon the members that it can reach, with a lag.
func (w *world) tellMembers() {
	for _, d := range w.daemons {
		var members []Member
		for _, m := range w.daemons {
			if m.alive && !w.cutOff(d.domain, m.domain) {
				members = append(members, Member{Name: m.name, Domain: m.domain})
			}
		}
		epoch := d.epoch
		w.after(w.millis(0, 2000), func() { w.give(d, epoch, MembersChanged{Members: members}) })
	}
}

func (w *world) cutOff(a, b string) bool {
	return w.cutPeers[[2]string{a, b}] || w.cutPeers[[2]string{b, a}]
}

// give hands an event to a process, if it is still there, and does its actions.
func (w *world) give(d *daemon, epoch int, ev Event) {
	if !d.alive || d.epoch != epoch {
		return
	}
	for _, a := range d.core.Handle(w.now, ev) {
		w.act(d, a)
	}
}

func (w *world) act(d *daemon, a Action) {
	switch a := a.(type) {
	case Install:
		w.checkInstall(d, a)
	case Watch:
		w.calls += 2 // A read, and the watch itself.
		w.openWatch(d, a.ID)
	case StopWatch:
		if d.watch == a.ID {
			d.watch = 0
		}
	case ReadHead:
		w.calls++
		w.readHead(d)
	case ReadParts:
		w.calls += len(a.Digests)
		w.readParts(d, a.Digests)
	case SendAnnouncement:
		w.send(d, a.To, AnnouncementReceived{From: d.name, Announcement: a.Announcement})
	case SendRequest:
		w.send(d, a.To, RequestReceived{From: d.name, Request: a.Request})
	case SendDelivery:
		w.send(d, a.To, DeliveryReceived{From: d.name, Delivery: a.Delivery})
	}
}

// checkInstall checks what the brief promises of each installation.
func (w *world) checkInstall(d *daemon, a Install) {
	g := a.Manifest.Generation
	if g <= d.highest {
		w.failf("%s went from generation %d to %d", d.name, d.highest, g)
	}
	if !w.platform.valid[g] {
		w.failf("%s installed generation %d, which is not valid", d.name, g)
	}
	if a.Snapshot.Root != partitioner.Root(w.platform.head(g).Parts) {
		w.failf("%s installed another content of generation %d", d.name, g)
	}
	d.highest = g
	d.installedAt = w.now
}

func (w *world) failf(format string, args ...any) {
	w.failures = append(w.failures, w.now.Sub(time.Unix(0, 0)).String()+" "+fmt.Sprintf(format, args...))
}

// send delivers a message between daemons, or loses it, or repeats it.
func (w *world) send(from *daemon, to string, ev Event) {
	for _, d := range w.daemons {
		if d.name != to || w.cutOff(from.domain, d.domain) {
			continue
		}
		copies := 1
		if w.rng.Float64() < 0.02 {
			copies = 2
		}
		for range copies {
			if w.rng.Float64() < w.loss {
				continue
			}
			epoch := d.epoch
			w.traffic(from, messageBytes(ev))
			w.traffic(d, messageBytes(ev))
			w.after(w.millis(1, 30), func() { w.give(d, epoch, ev) })
		}
	}
}

// reaches reports whether the platform answers a daemon.
func (w *world) reaches(d *daemon) bool {
	return !w.platform.outage && !w.cutPlatform[d.domain]
}

func (w *world) openWatch(d *daemon, id uint64) {
	epoch := d.epoch
	d.watch = 0
	w.after(w.millis(2, 10), func() {
		if !d.alive || d.epoch != epoch {
			return
		}
		if !w.reaches(d) {
			w.give(d, epoch, WatchFailed{Watch: id})
			return
		}
		d.watch, d.silent = id, false
		if head, ok := w.platform.latest(w.rng); ok {
			w.traffic(d, headBytes(head))
			w.give(d, epoch, HeadSeen{Watch: id, Head: head})
		}
	})
}

func (w *world) readHead(d *daemon) {
	epoch := d.epoch
	w.after(w.platformDelay(), func() {
		if !w.reaches(d) {
			return
		}
		if head, ok := w.platform.latest(w.rng); ok {
			w.traffic(d, headBytes(head))
			w.give(d, epoch, HeadSeen{Head: head})
		}
	})
}

func (w *world) platformDelay() time.Duration {
	if w.platform.slow {
		return w.millis(500, 6000)
	}
	return w.millis(2, 10)
}

func (w *world) readParts(d *daemon, digests []partitioner.Digest) {
	epoch := d.epoch
	w.after(w.platformDelay(), func() {
		if !w.reaches(d) {
			w.give(d, epoch, PartsFailed{})
			return
		}
		var parts []partitioner.Part
		for _, digest := range digests {
			if text, ok := w.platform.parts[digest]; ok && w.rng.Float64() > 0.02 {
				parts = append(parts, partitioner.Part{Digest: digest, Text: text})
				w.traffic(d, objectBytes+len(text))
			}
		}
		if len(parts) == 0 {
			w.give(d, epoch, PartsFailed{})
			return
		}
		w.give(d, epoch, PartsRead{Parts: parts})
	})
}

// latest returns the head that a read shows.
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

// fault is what may be wrong with a manifest that the platform accepts.
type fault int

const (
	noFault fault = iota
	invalidText
	otherDeployment
	missingPart
)

// put makes a manifest the accepted one, as an operator does.
func (w *world) put(customers int, f fault) {
	s := w.compose(customers, f)
	g := cataloger.Generation(len(w.platform.heads) + 1)
	w.platform.heads = append(w.platform.heads, Head{Generation: g, Parts: s.Digests()})
	w.platform.valid[g] = f == noFault || f == missingPart
	left := f == missingPart
	for _, p := range s.Parts {
		if _, stored := w.platform.parts[p.Digest]; left && !stored {
			left = false
			continue
		}
		w.platform.parts[p.Digest] = p.Text
	}
	for _, d := range w.daemons {
		if d.alive && d.watch != 0 && !d.silent && w.reaches(d) {
			id, epoch, head := d.watch, d.epoch, w.platform.heads[g-1]
			w.traffic(d, headBytes(head))
			w.after(w.millis(1, 20), func() { w.give(d, epoch, HeadSeen{Watch: id, Head: head}) })
		}
	}
}

// compose makes a manifest whose customers differ from put to put.
func (w *world) compose(customers int, f fault) partitioner.Snapshot {
	name := "demo"
	if f == otherDeployment {
		name = "other"
	}
	text := "[deployment]\nname = " + name + "\nregion = r\n[priority normal]\nlevel = 1\n"
	if f == invalidText {
		text += "[priority low]\nlevel = 1\n"
	}
	changed := w.rng.IntN(customers)
	for i := range customers {
		weight := 1
		if i == changed || f == missingPart {
			weight = 2 + w.rng.IntN(1000)
		}
		text += fmt.Sprintf("[customer c%d]\npriority = normal\nweight = %d\nkey_hashes = %s\n",
			i, weight, strings.Join(hashes(i, w.keys), ", "))
	}
	s, err := partitioner.Split(canonicalSections(text))
	if err != nil {
		panic(err)
	}
	return s
}

// canonicalSections cuts text that is already canonical, valid or not.
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

// heal ends every fault but the watches that have gone silent.
func (w *world) heal() {
	w.loss = 0
	clear(w.cutPeers)
	clear(w.cutPlatform)
	w.platform.outage, w.platform.stale, w.platform.slow = false, false, false
	for _, d := range w.daemons {
		if !d.alive {
			w.start(d)
		}
	}
	w.tellMembers()
}
