package forwarder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"monsoonspar.example/coordination/follower"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Timing of the calls to the store.
const (
	outageThreshold    = time.Second // A store that did not answer for longer had an outage.
	daemonListInterval = 10 * time.Second
	initialDaemonLists = 3                      // Number of lists after the start that are read at shorter intervals, since daemons start at the same time.
	roleCheckInterval  = 100 * time.Millisecond // Interval for checking whether a call to the store should be given up.
	idleCheckInterval  = time.Minute            // The same while no call is pending; a new one ends the wait.
	batchedWatchPause  = time.Second            // Pause between long polls, which return all changes since the last one.
	listTimeout        = 2 * time.Second
	removeTimeout      = time.Second // For the deletion of this daemon's entry when it stops.
)

// dependency tracks whether the store answers one kind of call.
type dependency struct {
	f         *Forwarder
	name      string
	failures  int
	lostSince time.Time // Time of the first failure; zero while the store answers.
}

// recordSuccess records a call that was answered. It reports whether the store had
// an outage before.
func (d *dependency) recordSuccess() bool {
	hadOutage := d.failures > 0 && d.f.clock.Now().Sub(d.lostSince) > outageThreshold
	if d.failures > 0 {
		d.f.log.Info().Str("dependency", d.name).Int("failures", d.failures).Dur("away_ms", d.f.clock.Now().Sub(d.lostSince)).Msg("forwarder: dependency regained")
	}
	d.failures, d.lostSince = 0, time.Time{}
	return hadOutage
}

// count records a failed call.
func (d *dependency) count(err error) {
	if d.failures == 0 {
		d.lostSince = d.f.clock.Now()
		d.f.log.Warn().Err(err).Str("dependency", d.name).Msg("forwarder: dependency lost")
	}
	d.failures++
	d.f.metrics.count("store_failures")
	d.f.countMalformed(err)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, ErrUnavailable) {
		d.f.metrics.count("store_calls_unanswered")
	}
}

// recordFailure records a failed call and waits before the next one: for the time that a
// refusal names, or else for the backoff.
func (d *dependency) recordFailure(ctx context.Context, err error) error {
	d.count(err)
	return d.f.clock.Sleep(ctx, follower.Backoff(d.failures, retryAfter(err), d.f.random))
}

// retryAfter returns the time that a refusal of the store names, or zero.
func retryAfter(err error) time.Duration {
	var refusal StoreRefusedError
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return 0
}

// subscription is what this daemon does to keep its knowledge of one kind of object current:
// calls to the store when it watches, and updates of peers.
type subscription struct {
	*follower.Follower
	f      *Forwarder
	health *dependency
	view   func(now time.Time) follower.View
	// poll makes one call. It reports whether the answer has a change.
	poll func(ctx context.Context, step follower.Step) (changed bool, err error)

	called waker // Wakes supervise.

	mu     sync.Mutex
	cancel context.CancelCauseFunc // Ends the call that is pending; nil if none is.
	stale  bool                    // The log says that there is no recent proof.
}

// errGivenUp means that a call to the store was ended because its answer may be lost.
var errGivenUp = errors.New("the call was given up, since its answer may be lost")

// run makes calls to the store until ctx ends.
func (s *subscription) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := s.f.clock.Now()
		v := s.view(now)
		s.logAge(v, now)
		step := s.Next(v, now)
		if step.Delay > 0 {
			if s.f.clock.Sleep(ctx, step.Delay) != nil {
				return
			}
			continue
		}
		if s.call(ctx, step) == nil && step.Batched && s.f.clock.Sleep(ctx, batchedWatchPause) != nil {
			return
		}
	}
}

// call makes one call to the store and records its result.
func (s *subscription) call(ctx context.Context, step follower.Step) error {
	c, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.setCancel(cancel)
	changed, err := s.poll(c, step)
	s.setCancel(nil)
	s.f.metrics.count("store_calls")
	switch {
	case err == nil:
		s.Answered(changed, s.f.clock.Now())
		s.health.recordSuccess()
	case errors.Is(context.Cause(c), errGivenUp):
		s.GivenUp()
		s.f.metrics.count("store_calls_given_up")
	case ctx.Err() == nil:
		now := s.f.clock.Now()
		s.Failed(s.view(now), retryAfter(err), now)
		s.health.count(err)
	}
	return err
}

func (s *subscription) setCancel(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
	if cancel != nil {
		s.called.wake()
	}
}

// supervise ends calls that should be given up, until ctx ends.
func (s *subscription) supervise(ctx context.Context) {
	for s.called.wait(ctx, s.f.clock, idleCheckInterval) == nil {
		for s.isCalling() {
			if s.f.clock.Sleep(ctx, roleCheckInterval) != nil {
				return
			}
			now := s.f.clock.Now()
			v := s.view(now)
			s.logAge(v, now)
			if s.GiveUp(v, now) {
				s.giveUp()
			}
		}
	}
}

// isCalling reports whether a call is pending.
func (s *subscription) isCalling() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancel != nil
}

// giveUp ends the call that is pending.
func (s *subscription) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(errGivenUp)
	}
}

// logAge logs when the daemon begins or ceases to lack a recent proof that its knowledge is
// current.
func (s *subscription) logAge(v follower.View, now time.Time) {
	age, known := s.Age(now)
	stale := !s.Fresh(now)
	s.mu.Lock()
	changed := stale != s.stale
	s.stale = stale
	s.mu.Unlock()
	if !changed || !known {
		return
	}
	msg := "forwarder: knowledge is current"
	if stale {
		msg = "forwarder: no recent proof that knowledge is current"
	}
	s.f.log.Info().Str("dependency", s.health.name).Dur("age_ms", age).Dur("behind_ms", v.Behind).Int("preceding", v.Preceding).Int("preceding_lost", v.Lost).Msg(msg)
}

// ageMillis returns the age of the latest proof that the knowledge is current, or -1 if there
// is none.
func (s *subscription) ageMillis(now time.Time) int64 {
	age, ok := s.Age(now)
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// newSubscriptions creates the subscriptions of the manifest and the endpoints.
func (f *Forwarder) newSubscriptions() {
	m := &manifestWatch{f: f}
	f.manifests = &subscription{
		Follower: follower.New(f.newRand()), f: f, health: &dependency{f: f, name: "store_manifest"}, poll: m.poll, called: newWaker(),
		view: func(now time.Time) follower.View {
			v := f.peers.watcherView((*peer).losesManifest)
			v.Known, v.Behind = f.table.Load() != nil, f.peers.manifests.Behind(f.manifestVersion(), now)
			return v
		},
	}
	w := &endpointWatch{f: f, needsList: true}
	f.endpointEntries = &subscription{
		Follower: follower.New(f.newRand()), f: f, health: &dependency{f: f, name: "store_endpoints"}, poll: w.poll, called: newWaker(),
		view: func(time.Time) follower.View {
			v := f.peers.watcherView((*peer).losesEndpoints)
			v.Known = f.registry.Revision() > 0
			return v
		},
	}
	w.health = f.endpointEntries.health
}

// rankOf returns the rank of a daemon as a watcher. It spreads the watchers over the failure domains.
func rankOf(d Daemon) uint64 { return xxhash.Sum64String(d.Name) }

// watcherView returns what a Follower has to know of the peers. Those with lower ranks come first as
// watchers.
func (p *peers) watcherView(lost func(*peer) bool) follower.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	var v follower.View
	for _, o := range p.known {
		if !o.reachable() {
			continue
		}
		v.Peers++
		if o.rank < p.rank {
			v.Preceding++
			if lost(o) {
				v.Lost++
			}
		}
	}
	return v
}

// storeLocation is the address of the store.
type storeLocation struct {
	mu    sync.Mutex
	addr  string
	moves atomic.Int64 // How often the address has changed.
}

// moveStore makes the calls to the store go to addr. Those that are pending at the former address are given
// up, since it may not answer them any more, and the next ones read everything.
func (f *Forwarder) moveStore(addr string) {
	f.storeAt.mu.Lock()
	defer f.storeAt.mu.Unlock()
	if f.storeAt.addr == addr {
		return
	}
	f.storeAt.addr = addr
	f.store.SetAddr(addr)
	f.storeAt.moves.Add(1) // After the address, so that whoever sees it calls the new one.
	f.log.Info().Str("addr", addr).Msg("forwarder: the store has another address")
	for _, s := range []*subscription{f.manifests, f.endpointEntries, f.evacuations} {
		s.giveUp()
	}
}

// manifestWatch is the state of the watch of the manifest.
type manifestWatch struct {
	f        *Forwarder
	moves    int64 // Of the store when the revision was read.
	revision int64 // Zero if the manifest has to be read before the next watch.
}

// poll reads the manifest, or waits for a change of it.
func (w *manifestWatch) poll(ctx context.Context, step follower.Step) (bool, error) {
	if moves := w.f.storeAt.moves.Load(); moves != w.moves {
		w.moves, w.revision = moves, 0
	}
	if w.revision == 0 {
		c, cancel := context.WithTimeout(ctx, w.f.manifests.ReadTimeout())
		defer cancel()
		m, revision, err := w.f.store.Manifest(c)
		if err != nil {
			return false, err
		}
		w.revision = revision
		w.f.installManifest(m, sourceStore)
		return true, nil
	}
	c, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	m, revision, err := w.f.store.WatchManifest(c, w.revision, step.Wait)
	switch {
	case errors.Is(err, ErrRevisionExpired):
		w.revision = 0
		return true, nil
	case err != nil:
		w.revision = 0 // The answer has all versions since the revision; a read has the newest only.
		return false, err
	}
	w.revision = revision
	w.f.installManifest(m, sourceStore)
	return m != nil, nil
}

// sourceStore is the source of a manifest that came from the store, in the log.
const sourceStore = "store"

// manifestVersion returns the version of the manifest in force; zero if there is none.
func (f *Forwarder) manifestVersion() int64 {
	if t := f.table.Load(); t != nil {
		return t.Manifest.Version
	}
	return 0
}

// installManifest puts m in force unless that version or a newer one already is.
func (f *Forwarder) installManifest(m *matcher.Manifest, source string) {
	if m == nil {
		return
	}
	for {
		old := f.table.Load()
		if old != nil && old.Manifest.Version >= m.Version {
			return
		}
		if f.table.CompareAndSwap(old, matcher.NewTable(m)) {
			break
		}
	}
	f.peers.queueManifest(m.Version)
	if source != sourceStore {
		f.manifests.Overtake(f.clock.Now())
	}
	f.log.Info().Int64("manifest", m.Version).Str("source", source).Int("routes", len(m.Routes)).Int("customers", len(m.Customers)).Bool("needs_keys", m.NeedsKeys()).Msg("forwarder: manifest in force")
}

// endpointWatch is the state of the watch of the endpoints.
type endpointWatch struct {
	f         *Forwarder
	health    *dependency
	needsList bool  // The complete list has to be read before the next watch.
	moves     int64 // Of the store when the list was read.
	revision  int64
}

// poll reads the list of endpoints, or waits for changes of it, and applies the result.
func (w *endpointWatch) poll(ctx context.Context, step follower.Step) (bool, error) {
	if moves := w.f.storeAt.moves.Load(); moves != w.moves {
		w.moves, w.needsList = moves, true
	}
	if w.needsList {
		return true, w.listEndpoints(ctx)
	}
	c, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	changes, next, err := w.f.store.WatchEndpoints(c, w.revision, step.Wait)
	if errors.Is(err, ErrRevisionExpired) {
		w.f.log.Info().Int64("revision", w.revision).Msg("forwarder: store no longer has the changes after the revision; reading the complete list of endpoints")
		w.needsList = true
		return true, nil
	}
	if err != nil {
		w.needsList = true
		return false, err
	}
	w.revision = next
	changed := len(changes) > 0
	changes = slices.DeleteFunc(changes, func(c EndpointChange) bool {
		revision := c.Endpoint.Revision
		if c.Deleted {
			revision = c.Revision
		}
		return w.f.registry.HasRevision(c.Name, revision) // Already received from a peer.
	})
	w.f.applyEndpoints(changes)
	w.f.peers.queueEndpointChanges(changes)
	return changed, nil
}

// listEndpoints reads and applies the complete list.
func (w *endpointWatch) listEndpoints(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, w.f.endpointEntries.ReadTimeout())
	defer cancel()
	l, err := w.f.store.Endpoints(c)
	if err != nil {
		return err
	}
	hadOutage := w.health.recordSuccess()
	changes := w.f.replaceEndpoints(l.Endpoints, l.Revision, hadOutage)
	w.f.handleEndpointChanges(changes)
	w.revision, w.needsList = l.Revision, false
	return nil
}

// replaceEndpoints applies a complete list of endpoints and returns the changes. Warm-ups are observed before
// the endpoints can be chosen, and again afterwards, since another change may have discarded those of
// endpoints that were not known yet.
func (f *Forwarder) replaceEndpoints(list []registrar.Endpoint, revision int64, afterOutage bool) []registrar.Change {
	f.observeEntries(list, true)
	changes := f.registry.Replace(list, revision, afterOutage, f.clock.Now())
	f.observeEntries(list, true)
	return changes
}

// applyEndpoints applies changes from a watch, of this daemon or of a peer.
func (f *Forwarder) applyEndpoints(changes []EndpointChange) {
	var all []registrar.Change
	for _, c := range changes {
		if c.Deleted {
			all = append(all, f.registry.Remove(c.Name, c.Revision)...)
			continue
		}
		f.observeEntries([]registrar.Endpoint{c.Endpoint}, false)
		all = append(all, f.registry.Set(c.Endpoint)...)
		f.observeEntries([]registrar.Endpoint{c.Endpoint}, false) // See replaceEndpoints.
	}
	f.handleEndpointChanges(all)
}

// handleEndpointChanges logs changes of the registry, updates the placers and
// balancers, and evacuates engines that are shutting down.
func (f *Forwarder) handleEndpointChanges(changes []registrar.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		f.observeEntries([]registrar.Endpoint{c.Endpoint}, true) // Of entries that were held; no other is new here.
		if c.New || c.ShuttingDown {
			f.log.Info().Str("endpoint", c.Endpoint.Name).Str("service", c.Endpoint.Service).Str("addr", c.Endpoint.Addr).Str("failure_domain", c.Endpoint.Domain).
				Bool("leaving", c.ShuttingDown).Bool("new", c.New).Msg("forwarder: endpoint changed")
		}
	}
	f.updateServices()
	if f.excludesEndpoints() {
		f.quarantineWatch.notify() // The last endpoint that queued generations may use may have left.
	}
	for _, c := range changes {
		if c.ShuttingDown {
			f.evacuate(c.Endpoint, 0)
		}
	}
}

// updateServices passes the usable endpoints to the placers and balancers.
func (f *Forwarder) updateServices() {
	f.servicesMu.Lock()
	defer f.servicesMu.Unlock()
	for name, p := range f.placers {
		f.setEngines(name, p)
	}
	for name, b := range f.balancers {
		b.Retain(f.registry.Serving(name))
	}
	f.limits.Retain(f.registry.Known)
	f.quotas.Retain(f.registry.Known)
	f.warmer.Retain(f.registry.Known)
	f.gates.Retain(f.registry.Known)
	f.numbering.Retain(f.registry.Known)
}

// setEngines passes the engines of a service to its placer.
func (f *Forwarder) setEngines(service string, p *servicePlacer) {
	p.SetEvacuated(f.registry.Evacuations().Domains)
	now := f.clock.Now()
	p.SetEngines(f.withWarmUps(f.registry.Serving(service), now), now)
}

// followDaemons writes the entry of this daemon and then reads the list of daemons
// periodically until ctx ends.
func (f *Forwarder) followDaemons(ctx context.Context) {
	self := f.cfg.Daemon.daemon()
	d := &dependency{f: f, name: "store_daemons"}
	for ctx.Err() == nil {
		err := f.putDaemonEntry(ctx, self)
		if err == nil {
			break
		}
		if d.recordFailure(ctx, err) != nil {
			return
		}
	}
	d.recordSuccess()
	listed := false // The list has contained this daemon.
	for n := 0; ctx.Err() == nil; n++ {
		c, cancel := context.WithTimeout(ctx, listTimeout)
		all, err := f.store.Daemons(c)
		cancel()
		f.metrics.count("store_calls")
		if err != nil {
			if d.recordFailure(ctx, err) != nil {
				return
			}
			continue
		}
		d.recordSuccess()
		f.peers.setDaemons(all)
		f.budget.SetDaemons(f.members.Count())
		switch {
		case slices.Contains(all, self):
			listed = true
		case listed || n >= initialDaemonLists: // The first lists may be older than the entry.
			f.log.Warn().Msg("forwarder: the store has lost the entry of this daemon; writing it again")
			if err := f.putDaemonEntry(ctx, self); err != nil {
				f.log.Warn().Err(err).Msg("forwarder: could not write the entry of this daemon; the next list tries again")
			}
		}
		f.deleteExpiredEntries(ctx)
		wait := daemonListInterval
		if n < initialDaemonLists {
			wait = daemonListInterval / 8
		}
		if f.clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// deleteExpiredEntries deletes the entries of daemons that have ended without doing so. A
// daemon that was only cut off writes its entry again.
func (f *Forwarder) deleteExpiredEntries(ctx context.Context) {
	expiry := time.Duration(f.cfg.Bounds.EntryExpiry * float64(time.Second))
	for _, d := range f.members.Expired(expiry, f.clock.Now()) {
		c, cancel := context.WithTimeout(ctx, listTimeout)
		err := f.store.DeleteDaemon(c, d.Name)
		cancel()
		f.metrics.count("store_calls")
		f.log.Info().Err(err).Str("peer", d.Name).Msg("forwarder: deleted the entry of a daemon that is not reachable")
	}
}

// recordDaemonCount records the number of daemons that a peer knows. It matters until
// this daemon has read the list: its shares would be too large.
func (f *Forwarder) recordDaemonCount(n int) {
	f.members.AtLeast(n)
	f.budget.SetDaemons(f.members.Count())
}

// putDaemonEntry writes the entry of this daemon.
func (f *Forwarder) putDaemonEntry(ctx context.Context, self Daemon) error {
	c, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.metrics.count("store_calls")
	return f.store.PutDaemon(c, self)
}
