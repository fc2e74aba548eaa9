package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Timing of the calls to the store, and the number of daemons that watch it.
const (
	watchTimeout          = 20 * time.Second // Duration of a long-poll; the store allows up to 30 s.
	backoffBase           = 100 * time.Millisecond
	backoffLimit          = 800 * time.Millisecond // Short enough to notice a recovered store well within the time limit for configuration changes.
	maxStoreRetryAfter    = 2 * time.Second        // Bounds the time that a refusal of the store names, for the same reason.
	outageThreshold       = time.Second            // A store that did not answer for longer had an outage.
	daemonListInterval    = 10 * time.Second
	initialDaemonLists    = 3                      // Number of lists after the start that are read at shorter intervals, since daemons start at the same time.
	roleCheckInterval     = 100 * time.Millisecond // Interval for checking whether this daemon has to watch the store.
	watcherCount          = 4                      // Daemons that watch the store; the others get the changes from them.
	immediateWatcherCount = 2                      // Of these, the daemons that fetch each change at once.
	batchedWatchPause     = time.Second            // Pause between the watches of the others, which return all changes since the last one.
	listTimeout           = 2 * time.Second
	watchTimeoutMargin    = 1500 * time.Millisecond // Added to watchTimeout before a watch counts as unanswered.
	removeTimeout         = time.Second             // For the deletion of this daemon's entry when it stops.
)

// backoff returns the delay before the next call after a number of consecutive
// failures, with jitter.
func (f *Forwarder) backoff(failures int) time.Duration {
	bound := min(backoffBase<<min(failures, 8), backoffLimit)
	return time.Duration((0.5 + 0.5*f.random()) * float64(bound))
}

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

// recordFailure records a failed call and waits before the next one: for the time that a
// refusal names, or else for the backoff.
func (d *dependency) recordFailure(ctx context.Context, err error) error {
	if d.failures == 0 {
		d.lostSince = d.f.clock.Now()
		d.f.log.Warn().Err(err).Str("dependency", d.name).Msg("forwarder: dependency lost")
	}
	d.failures++
	d.f.metrics.count("store_failures")
	delay := d.f.backoff(d.failures)
	var refusal StoreRefusedError
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 { // All daemons may have been refused; jitter spreads them.
		delay = max(delay, min(refusal.RetryAfter, maxStoreRetryAfter)+d.f.backoff(0))
	}
	return d.f.clock.Sleep(ctx, delay)
}

// followManifest installs each new manifest of the store until ctx ends. It is idle
// while this daemon is not a watcher.
func (f *Forwarder) followManifest(ctx context.Context) {
	d := &dependency{f: f, name: "store_manifest"}
	revision := int64(0)
	for ctx.Err() == nil {
		if !f.isWatcher() {
			revision = 0
			if f.clock.Sleep(ctx, roleCheckInterval) != nil {
				return
			}
			continue
		}
		c, cancel := context.WithTimeout(ctx, watchTimeout+watchTimeoutMargin)
		var m *matcher.Manifest
		var err error
		if revision == 0 {
			m, revision, err = f.store.Manifest(c)
		} else {
			m, revision, err = f.store.WatchManifest(c, revision, watchTimeout)
		}
		cancel()
		f.metrics.count("store_calls")
		switch {
		case err == nil:
			d.recordSuccess()
			f.installManifest(m, "store")
		case errors.Is(err, ErrRevisionExpired):
			revision = 0
		default:
			revision = 0
			if d.recordFailure(ctx, err) != nil {
				return
			}
		}
	}
}

// isWatcher reports whether this daemon has to watch the store. The daemons with the
// lowest hashes of their names among those that reach each other do, and so does
// every daemon that has no live watcher among its peers, or no manifest or list of
// endpoints yet.
func (f *Forwarder) isWatcher() bool { return f.watcherRank() < watcherCount }

// watcherRank returns the number of daemons that precede this one as watchers, or
// 0 if this daemon has to watch regardless of the others.
func (f *Forwarder) watcherRank() int {
	if f.table.Load() == nil || f.registry.Revision() == 0 || !f.peers.hasLiveWatcher() {
		return 0
	}
	ahead := 0
	own := xxhash.Sum64String(f.cfg.Daemon.Name)
	for _, d := range f.peers.reachablePeers() {
		if xxhash.Sum64String(d.Name) < own {
			ahead++
		}
	}
	return ahead
}

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
	f.log.Info().Int64("manifest", m.Version).Str("source", source).Int("routes", len(m.Routes)).Int("customers", len(m.Customers)).Msg("forwarder: manifest in force")
}

// followEndpoints keeps the registry of endpoints current until ctx ends. While this
// daemon is not a watcher, it gets the changes from its peers.
func (f *Forwarder) followEndpoints(ctx context.Context) {
	w := &endpointWatch{f: f, health: &dependency{f: f, name: "store_endpoints"}, needsList: true}
	for ctx.Err() == nil {
		if !f.isWatcher() {
			w.needsList = true
			f.watchingStore.Store(false)
			if f.clock.Sleep(ctx, roleCheckInterval) != nil {
				return
			}
			continue
		}
		f.metrics.count("store_calls")
		err := w.pollStore(ctx)
		if err != nil {
			f.watchingStore.Store(false)
			err = w.health.recordFailure(ctx, err)
		} else if f.watcherRank() >= immediateWatcherCount {
			err = f.clock.Sleep(ctx, batchedWatchPause)
		}
		if err != nil {
			return
		}
	}
}

// endpointWatch is the state of the watch of the endpoints.
type endpointWatch struct {
	f         *Forwarder
	health    *dependency
	needsList bool // The complete list has to be read before the next watch.
	revision  int64
}

// pollStore makes one call to the store and applies the result.
func (w *endpointWatch) pollStore(ctx context.Context) error {
	if w.needsList {
		return w.listEndpoints(ctx)
	}
	c, cancel := context.WithTimeout(ctx, watchTimeout+watchTimeoutMargin)
	defer cancel()
	changes, next, err := w.f.store.WatchEndpoints(c, w.revision, watchTimeout)
	if errors.Is(err, ErrRevisionExpired) {
		w.f.log.Info().Int64("revision", w.revision).Msg("forwarder: store no longer has the changes after the revision; reading the complete list of endpoints")
		w.needsList = true
		return nil
	}
	if err != nil {
		w.needsList = true
		return err
	}
	w.health.recordSuccess()
	w.revision = next
	changes = slices.DeleteFunc(changes, func(c EndpointChange) bool {
		revision := c.Endpoint.Revision
		if c.Deleted {
			revision = c.Revision
		}
		return w.f.registry.HasRevision(c.Name, revision) // Already received from a peer.
	})
	w.f.applyEndpoints(changes)
	w.f.peers.queueEndpointChanges(changes)
	return nil
}

// listEndpoints reads and applies the complete list.
func (w *endpointWatch) listEndpoints(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l, err := w.f.store.Endpoints(c)
	if err != nil {
		return err
	}
	w.f.watchingStore.Store(true)
	hadOutage := w.health.recordSuccess()
	w.f.handleEndpointChanges(w.f.registry.Replace(l.Endpoints, l.Revision, hadOutage, w.f.clock.Now()))
	w.revision, w.needsList = l.Revision, false
	return nil
}

// applyEndpoints applies changes from a watch, of this daemon or of a peer.
func (f *Forwarder) applyEndpoints(changes []EndpointChange) {
	var all []registrar.Change
	for _, c := range changes {
		if c.Deleted {
			all = append(all, f.registry.Remove(c.Name, c.Revision)...)
			continue
		}
		all = append(all, f.registry.Set(c.Endpoint)...)
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
		if c.New || c.ShuttingDown {
			f.log.Info().Str("endpoint", c.Endpoint.Name).Str("service", c.Endpoint.Service).Str("addr", c.Endpoint.Addr).Str("failure_domain", c.Endpoint.Domain).
				Bool("leaving", c.ShuttingDown).Bool("new", c.New).Msg("forwarder: endpoint changed")
		}
	}
	f.updateServices()
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
		p.SetEngines(f.registry.Usable(name), f.clock.Now())
	}
	for name, b := range f.balancers {
		b.Retain(f.registry.Usable(name))
	}
	f.limits.Retain(f.registry.Known)
}

// followDaemons writes the entry of this daemon and then reads the list of daemons
// periodically until ctx ends.
func (f *Forwarder) followDaemons(ctx context.Context) {
	self := Daemon{Name: f.cfg.Daemon.Name, Addr: f.cfg.Daemon.Peers, Domain: f.cfg.Daemon.Domain}
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
