package follower_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/fetcher"
	"monsoonspar.example/coordination/follower"
	"monsoonspar.example/state/registrar"
)

// The simulation has a store, daemons with a Follower and a Fetcher each, and the messages
// between them, on virtual time. What is lost is never answered.
const (
	tick         = 4 * time.Millisecond
	storeTime    = 8 * time.Millisecond // Of a call that is answered at once.
	hopTime      = 4 * time.Millisecond // Of a message.
	fetchTime    = 12 * time.Millisecond
	syncInterval = time.Second
	syncTimeout  = 600 * time.Millisecond
	heardLately  = 800 * time.Millisecond // Since a peer synced with a daemon; it then leaves out its own sync.
	applyTime    = 2 * time.Second        // From the change to the last daemon.
	refusedFor   = 2 * time.Second        // That a refusal of the store names.
)

// fleet is a simulated deployment.
type fleet struct {
	now      time.Time
	rand     *rand.Rand
	version  int64 // In the store.
	silent   bool  // The store answers no call.
	daemons  []*node
	messages []message
	calls    int
	cfg      follower.Config
	direct   bool                // Messages and syncs contain the value, the evacuated failure domains.
	domains  []string            // Evacuated ones in the store.
	apart    func(a, b int) bool // The link between two daemons is cut; nil for none.
	vm       vm
}

// vm is the size of the VMs of a fleet. The zero value costs no time.
type vm struct {
	cores       float64 // Share of a core that is left beside the requests.
	bytesPerSec float64 // Of the link that is left beside the requests.
	valueBytes  float64
}

// Processor times of a full core.
const (
	messageCPU = 200 * time.Microsecond // To read, handle and answer a message.
	valueCPU   = 2 * time.Millisecond   // To decode a value and put it in force.
)

// work queues processor time behind that which waits, and returns when it is done.
func (d *node) work(cpu time.Duration) time.Time {
	v := d.fleet.vm
	if v.cores == 0 {
		return d.fleet.now
	}
	if d.busyUntil.Before(d.fleet.now) {
		d.busyUntil = d.fleet.now
	}
	d.busyUntil = d.busyUntil.Add(time.Duration(float64(cpu) / v.cores))
	return d.busyUntil
}

// transfer queues a value behind those that the link carries, and returns when it has arrived.
func (d *node) transfer() time.Time {
	v := d.fleet.vm
	if v.bytesPerSec == 0 {
		return d.fleet.now
	}
	if d.linkUntil.Before(d.fleet.now) {
		d.linkUntil = d.fleet.now
	}
	d.linkUntil = d.linkUntil.Add(time.Duration(v.valueBytes / v.bytesPerSec * float64(time.Second)))
	return d.linkUntil
}

// node is a simulated daemon.
type node struct {
	i          int
	fleet      *fleet
	follower   *follower.Follower
	fetcher    *fetcher.Fetcher
	version    int64
	evacuated  *registrar.Registrar // Of a fleet with direct messages.
	frozen     bool
	cut        bool // From the store.
	refused    bool // The store refuses its calls.
	call       *call
	pauseUntil time.Time
	fetchFrom  int
	fetchEnds  time.Time // Zero if no fetch is under way.
	fetchOK    bool
	failFetch  int               // Number of fetches whose answers will be lost.
	reachable  map[int]bool      // By index of the other daemon.
	lost       map[int]bool      // Others whose calls the store does not answer.
	muted      map[int]bool      // Others from which nothing arrives any more.
	nextSync   map[int]time.Time // With each other daemon.
	heardAt    map[int]time.Time // When each other daemon synced with this one.
	syncDue    time.Time         // The earliest of them.
	seen       int64             // Version known from the last answer of the store.
	longest    time.Duration     // Greatest age of its knowledge.
	busyUntil  time.Time         // When the processor time that waits is done.
	linkUntil  time.Time         // When the link has carried the values that wait.
	syncEnds   map[int]time.Time // When the other daemon has answered the sync that is under way.
	late       int               // Syncs that a peer answered too late.
	answerAt   time.Time         // When the answer to its call has been handled; zero if none has arrived.
}

// call is a call to the store that is pending.
type call struct {
	step    follower.Step
	started time.Time
	read    bool
	lost    bool
}

// message is an offer of a version.
type message struct {
	from, to int
	version  int64
	at       time.Time
	set      registrar.Evacuations
	queued   bool // It waits for the processor of its receiver until at.
}

func newFleet(n int, seed uint64) *fleet { return newFleetWith(n, seed, follower.Usual) }

func newFleetWith(n int, seed uint64, cfg follower.Config) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), version: 1, cfg: cfg}
	for i := range n {
		f.add(i, n, seed)
	}
	return f
}

// add adds a daemon that knows nothing yet to a fleet of n.
func (f *fleet) add(i, n int, seed uint64) *node {
	d := &node{
		i: i, fleet: f, follower: follower.NewWith(f.cfg, rand.New(rand.NewPCG(seed, uint64(i+10)))), fetcher: fetcher.New(rand.New(rand.NewPCG(seed, uint64(i+1000)))),
		evacuated: registrar.New(0), reachable: map[int]bool{}, lost: map[int]bool{}, muted: map[int]bool{}, nextSync: map[int]time.Time{}, heardAt: map[int]time.Time{}, syncEnds: map[int]time.Time{},
	}
	for j := range n {
		if j != i {
			d.reachable[j] = true
			d.nextSync[j] = f.now.Add(time.Duration(f.rand.Float64() * float64(syncInterval)))
		}
	}
	f.daemons = append(f.daemons, d)
	return d
}

// view returns the view of a daemon; daemons with lower indexes come first as watchers.
func (d *node) view() follower.View {
	v := follower.View{Known: d.version > 0, Behind: d.fetcher.Behind(d.version, d.fleet.now)}
	for j, ok := range d.reachable {
		if !ok {
			continue
		}
		v.Peers++
		if j < d.i {
			v.Preceding++
			if d.lost[j] {
				v.Lost++
			}
		}
	}
	return v
}

// install puts a version in force and offers it to the peers.
func (d *node) install(version int64, fromStore bool) {
	if version <= d.version {
		return
	}
	d.version = version
	if d.fleet.direct && fromStore {
		d.evacuated.SetEvacuations(registrar.Evacuations{Domains: d.fleet.domains, Revision: version})
	}
	if !fromStore {
		d.follower.Overtake(d.fleet.now)
	}
	for j, ok := range d.reachable {
		if ok {
			d.fleet.messages = append(d.fleet.messages, message{from: d.i, to: j, version: version, at: d.fleet.now.Add(hopTime), set: d.evacuated.Evacuations()})
		}
	}
}

// step lets one tick pass.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	var requeued []message
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
		if m.at.After(f.now) {
			return false
		}
		if to := f.daemons[m.to]; !m.queued && f.vm.cores > 0 && !to.frozen {
			m.at, m.queued = to.work(messageCPU), true
			requeued = append(requeued, m)
			return true
		}
		switch to := f.daemons[m.to]; {
		case to.frozen || to.muted[m.from] || f.isApart(m.from, m.to):
		case f.direct:
			to.receive(m.set)
		default:
			to.fetcher.Offer(fmt.Sprint(m.from), m.version, len(f.daemons)-1, f.now)
		}
		return true
	})
	f.messages = append(f.messages, requeued...)
	for _, d := range f.daemons {
		if d.frozen {
			continue
		}
		d.poll()
		d.sync()
		d.fetch()
		if age, ok := d.follower.Age(f.now); ok {
			d.longest = max(d.longest, age)
		}
	}
}

// isApart reports whether the link between two daemons is cut.
func (f *fleet) isApart(a, b int) bool { return f.apart != nil && f.apart(a, b) }

// receive applies the set of a peer.
func (d *node) receive(set registrar.Evacuations) {
	d.evacuated.SetEvacuations(set)
	d.install(set.Revision, false)
}

// poll advances the call to the store.
func (d *node) poll() {
	f := d.fleet
	if d.call == nil {
		if f.now.Before(d.pauseUntil) {
			return
		}
		s := d.follower.Next(d.view(), f.now)
		d.pauseUntil = f.now.Add(s.Delay) // As the daemon sleeps.
		if s.Delay == 0 {
			d.call = &call{step: s, started: f.now, read: d.seen == 0, lost: f.silent || d.cut}
			f.calls++
		}
		return
	}
	c := d.call
	age := f.now.Sub(c.started)
	changed := f.version > d.seen
	limit := c.step.Timeout
	if c.read {
		limit = d.follower.ReadTimeout()
	}
	switch {
	case d.refused && age >= storeTime:
		d.follower.Failed(d.view(), refusedFor, f.now)
	case !c.lost && !f.silent && age >= storeTime && (c.read || changed || age >= c.step.Wait):
		if d.answerAt.IsZero() {
			d.answerAt = d.work(valueCPU)
		}
		if f.now.Before(d.answerAt) && age < limit {
			return
		}
		d.follower.Answered(c.read || changed, f.now)
		d.seen = f.version
		d.install(f.version, true)
		if c.step.Batched {
			d.pauseUntil = f.now.Add(time.Second)
		}
	case age >= limit:
		d.follower.Failed(d.view(), 0, f.now)
		if !f.direct {
			d.seen = 0 // The value is read next; sets are still watched.
		}
	case d.follower.GiveUp(d.view(), f.now):
		d.follower.GivenUp()
	default:
		return
	}
	d.call, d.answerAt = nil, time.Time{}
}

// sync exchanges versions with the peers whose turn it is.
func (d *node) sync() {
	f := d.fleet
	if f.now.Before(d.syncDue) {
		return
	}
	defer d.planSync()
	for j, at := range d.nextSync {
		if f.now.Before(at) {
			continue
		}
		o := f.daemons[j]
		_, begun := d.syncEnds[j]
		renews := d.follower.NeedsProof(f.now) && d.watches(j)
		if !begun && d.reachable[j] && f.now.Sub(d.heardAt[j]) < heardLately && !renews {
			d.nextSync[j] = f.now.Add(f.syncPause())
			continue
		}
		if !begun && !o.frozen {
			d.syncEnds[j] = o.work(messageCPU)
		}
		if !o.frozen && f.now.Before(d.syncEnds[j]) && f.now.Before(at.Add(syncTimeout)) {
			continue
		}
		late := f.now.Before(d.syncEnds[j])
		if late || o.frozen || d.muted[j] || f.isApart(d.i, j) {
			if f.now.Before(at.Add(syncTimeout)) {
				continue
			}
			if late {
				d.late++
			}
			delete(d.syncEnds, j)
			d.reachable[j] = false
			d.fetcher.Defer(fmt.Sprint(j))
			d.muted[j] = false // A new connection.
			d.nextSync[j] = f.now.Add(syncInterval)
			continue
		}
		delete(d.syncEnds, j)
		d.reachable[j], d.lost[j] = true, o.follower.Lost()
		d.nextSync[j] = f.now.Add(f.syncPause())
		o.heardAt[d.i] = f.now
		if o.reachable[d.i] {
			o.lost[d.i] = d.follower.Lost()
		}
		if f.direct {
			d.receive(o.evacuated.Evacuations())
			o.receive(d.evacuated.Evacuations())
		} else {
			d.fetcher.Offer(fmt.Sprint(j), o.version, len(f.daemons)-1, f.now)
			o.fetcher.Offer(fmt.Sprint(d.i), d.version, len(f.daemons)-1, f.now)
		}
		if age, ok := o.follower.Age(f.now); ok && o.version == d.version {
			d.follower.Confirm(f.now.Add(-age - hopTime))
		}
	}
}

// syncPause returns the time between two syncs with a daemon.
func (f *fleet) syncPause() time.Duration {
	return time.Duration((0.9 + 0.2*f.rand.Float64()) * float64(syncInterval))
}

// watches reports whether another daemon watches the store, as far as this one knows.
func (d *node) watches(j int) bool {
	preceding := 0
	for i, ok := range d.reachable {
		if ok && i < j && !d.lost[i] {
			preceding++
		}
	}
	return !d.lost[j] && preceding < follower.Watchers
}

// planSync sets when the next sync begins or, if one is under way, goes on.
func (d *node) planSync() {
	d.syncDue = d.fleet.now.Add(syncInterval)
	for _, at := range d.nextSync {
		if at.Before(d.syncDue) {
			d.syncDue = at
		}
	}
}

// fetch advances the fetch from a peer.
func (d *node) fetch() {
	f := d.fleet
	if d.fetchEnds.IsZero() {
		peer, ok := d.fetcher.Next(d.version, f.now)
		if !ok {
			return
		}
		_, err := fmt.Sscan(peer, &d.fetchFrom)
		if err != nil {
			panic(err)
		}
		d.fetchOK = d.failFetch == 0 && !f.daemons[d.fetchFrom].frozen && !d.muted[d.fetchFrom]
		d.fetchEnds = f.now.Add(fetchTime)
		if o := f.daemons[d.fetchFrom]; d.fetchOK && f.vm.cores > 0 {
			o.work(messageCPU)
			d.fetchEnds = later(o.busyUntil, o.transfer(), d.work(valueCPU)).Add(fetchTime)
			d.fetchOK = d.fetchEnds.Sub(f.now) <= d.fetcher.Timeout()
		}
		if !d.fetchOK {
			d.failFetch = max(d.failFetch-1, 0)
			d.fetchEnds = f.now.Add(d.fetcher.Timeout())
		}
		return
	}
	if f.now.Before(d.fetchEnds) {
		return
	}
	d.fetchEnds = time.Time{}
	if !d.fetchOK {
		d.fetcher.End(fmt.Sprint(d.fetchFrom), errors.New("timeout"))
		return
	}
	d.fetcher.End(fmt.Sprint(d.fetchFrom), nil)
	d.install(f.daemons[d.fetchFrom].version, false)
}

// later returns the latest of some times.
func later(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// change writes a new version and returns how long the slowest daemon that runs takes to put it
// in force.
func (f *fleet) change() time.Duration { return f.changeAt(everyNode) }

// changeAt is like change for the daemons that are selected.
func (f *fleet) changeAt(selected func(*node) bool) time.Duration {
	f.version++
	acked := f.now
	for f.now.Sub(acked) < 10*applyTime {
		f.step()
		if !slices.ContainsFunc(f.daemons, func(d *node) bool { return !d.frozen && selected(d) && d.version < f.version }) {
			break
		}
	}
	return f.now.Sub(acked)
}

// loss is something that is lost at one moment.
type loss struct {
	name string
	lose func(f *fleet)
}

// losses are the losses that must not delay a change.
var losses = []loss{
	{"nothing", func(*fleet) {}},
	{"all pending answers", func(f *fleet) {
		for _, d := range f.daemons {
			if d.call != nil {
				d.call.lost = true
			}
		}
	}},
	{"an answer to a watcher", func(f *fleet) {
		if c := f.daemons[f.rand.IntN(follower.Watchers)].call; c != nil {
			c.lost = true
		}
	}},
	{"a watcher", func(f *fleet) { f.daemons[f.rand.IntN(follower.Watchers)].frozen = true }},
	{"a watcher's path to the store", func(f *fleet) {
		d := f.daemons[f.rand.IntN(follower.Watchers)]
		d.cut = true
		if d.call != nil {
			d.call.lost = true
		}
	}},
	{"the paths of all watchers to the store", func(f *fleet) {
		for _, d := range f.daemons[:follower.Watchers] {
			d.cut = true
			if d.call != nil {
				d.call.lost = true
			}
		}
	}},
	{"a connection from a watcher", func(f *fleet) {
		for _, d := range f.daemons[follower.Watchers:] {
			d.muted[f.rand.IntN(follower.Watchers)] = true
		}
	}},
	{"the answer to a fetch", func(f *fleet) {
		for _, d := range f.daemons {
			d.failFetch++
		}
	}},
}

// Guards against daemons that keep an old value because one answer, connection, peer or watcher
// was lost, or two at once: nobody asked the store again until a poll of 20 s had timed out.
func TestChangeIsInForceInTimeAfterLosses(t *testing.T) {
	for _, size := range []struct {
		daemons int
		seeds   uint64
	}{{9, 12}, {60, 1}} {
		for i, a := range losses {
			for _, b := range losses[i:] {
				slowest := time.Duration(0)
				for seed := range size.seeds {
					f := newFleet(size.daemons, seed)
					f.run(4*time.Second + time.Duration(f.rand.IntN(3000))*time.Millisecond)
					a.lose(f)
					b.lose(f)
					f.run(time.Duration(f.rand.IntN(int(follower.ShortPoll))))
					slowest = max(slowest, f.change())
				}
				t.Logf("%d daemons: %s, %s: %v", size.daemons, a.name, b.name, slowest)
				assert.Check(t, slowest <= applyTime, "%d daemons: %s, %s: %v", size.daemons, a.name, b.name, slowest)
			}
		}
	}
}

// Guards against a change that is missed after an outage of the store in which answers were lost
// without the ends of their connections, and against a rush of calls at its end.
func TestChangeIsInForceInTimeAfterOutage(t *testing.T) {
	for _, n := range []int{9, 60} {
		for seed := range uint64(3) {
			f := newFleet(n, seed)
			f.run(5 * time.Second)
			f.silent = true
			for _, d := range f.daemons {
				if d.call != nil {
					d.call.lost = true
				}
			}
			f.run(8 * time.Second)
			f.silent = false
			f.calls = 0
			f.run(time.Second)
			took := f.change()
			assert.Check(t, took <= applyTime, "%d daemons: %v", n, took)
			assert.Check(t, f.calls <= 8*n, "%d daemons: %d calls", n, f.calls)
		}
	}
}

// Guards against calls to the store that grow with the number of daemons, and against daemons
// that take old knowledge for new or new for old.
func TestFewDaemonsAskTheStore(t *testing.T) {
	for _, n := range []int{9, 60} {
		f := newFleet(n, 1)
		f.run(5 * time.Second)
		f.calls = 0
		for _, d := range f.daemons {
			d.longest = 0
		}
		f.run(20 * time.Second)
		t.Logf("%d daemons: %.2f calls a second", n, float64(f.calls)/20)
		assert.Check(t, f.calls <= 20*3, "%d daemons: %d calls", n, f.calls)
		for _, d := range f.daemons {
			assert.Check(t, d.longest <= 2500*time.Millisecond, "daemon %d of %d: age %v", d.i, n, d.longest)
		}
	}
}

// Guards against daemons that wait for watchers that have all frozen at one moment.
func TestChangeIsInForceInTimeWithoutAnyWatcher(t *testing.T) {
	slowest := time.Duration(0)
	for seed := range uint64(20) {
		f := newFleet(9, seed)
		f.run(4*time.Second + time.Duration(f.rand.IntN(1000))*time.Millisecond)
		for _, d := range f.daemons[:follower.Watchers] {
			d.frozen = true
		}
		slowest = max(slowest, f.change())
	}
	t.Logf("%v", slowest)
	assert.Check(t, slowest <= applyTime, "%v", slowest)
}

// Guards against daemons that rely on the few that watch after all of these have lost the store, with
// most of the fleet: the age at which a daemon asks the store itself grew with the number of its peers.
func TestChangeIsInForceInTimeWhereMostDaemonsLoseTheStore(t *testing.T) {
	for _, tt := range []struct {
		daemons, cut int
		seeds        uint64
		limit        time.Duration
	}{{9, 4, 20, applyTime}, {9, 8, 20, applyTime}, {60, 4, 4, largeApplyTime}, {60, 56, 4, largeApplyTime}, {128, 100, 1, largeApplyTime}} {
		slowest := time.Duration(0)
		for seed := range tt.seeds {
			f := newFleet(tt.daemons, seed)
			f.run(4*time.Second + time.Duration(f.rand.IntN(3000))*time.Millisecond)
			for _, d := range f.daemons[:tt.cut] {
				d.cut = true
				if d.call != nil {
					d.call.lost = true
				}
			}
			f.run(time.Duration(f.rand.IntN(int(200 * time.Millisecond))))
			slowest = max(slowest, f.changeAt(func(d *node) bool { return !d.cut }))
		}
		t.Logf("%d of %d daemons lose the store: %v", tt.cut, tt.daemons, slowest)
		assert.Check(t, slowest <= tt.limit, "%d of %d daemons lose the store: %v", tt.cut, tt.daemons, slowest)
	}
}
