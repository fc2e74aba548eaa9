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

// Times of the calls to the store and to engines.
const (
	watchWait      = 20 * time.Second // The store allows 30 s.
	retryBase      = 100 * time.Millisecond
	retryLimit     = 800 * time.Millisecond // A returned store is found well within the bound of a configuration.
	awayAfter      = time.Second            // A store that has not answered for this long was away.
	daemonsEvery   = 10 * time.Second
	daemonsSoon    = 3                      // Lists after a start that follow one another sooner, since daemons start together.
	followerTick   = 100 * time.Millisecond // Until a daemon sees that it has to watch itself.
	watchers       = 4                      // Daemons that watch the store; the others hear from them.
	eagerWatchers  = 2                      // Of them, those that take each change at once.
	lazyPause      = time.Second            // Between the calls of the others, which each bring all changes since.
	listTimeout    = 2 * time.Second
	watchOvertime  = 1500 * time.Millisecond // Beyond the wait before a watch counts as silent.
	withdrawWithin = time.Second
)

// backoff returns the delay before the next call after failures in a row.
func (f *Forwarder) backoff(failures int) time.Duration {
	bound := min(retryBase<<min(failures, 8), retryLimit)
	return time.Duration((0.5 + 0.5*f.random()) * float64(bound))
}

// dependency follows whether the store answers, for one kind of calls.
type dependency struct {
	f        *Forwarder
	name     string
	failures int
	lost     time.Time // Since when it does not answer; zero while it does.
}

// answered notes a call that was answered. It reports whether the store was
// away before.
func (d *dependency) answered() bool {
	away := d.failures > 0 && d.f.clock.Now().Sub(d.lost) > awayAfter
	if d.failures > 0 {
		d.f.log.Info().Str("dependency", d.name).Int("failures", d.failures).Dur("away_ms", d.f.clock.Now().Sub(d.lost)).Msg("forwarder: dependency regained")
	}
	d.failures, d.lost = 0, time.Time{}
	return away
}

// failed notes a call without an answer and waits before the next one.
func (d *dependency) failed(ctx context.Context, err error) error {
	if d.failures == 0 {
		d.lost = d.f.clock.Now()
		d.f.log.Warn().Err(err).Str("dependency", d.name).Msg("forwarder: dependency lost")
	}
	d.failures++
	d.f.metrics.count("store_failures")
	return d.f.clock.Sleep(ctx, d.f.backoff(d.failures))
}

// followManifest keeps the newest manifest in force until ctx ends.
func (f *Forwarder) followManifest(ctx context.Context) {
	d := &dependency{f: f, name: "store_manifest"}
	revision := int64(0)
	for ctx.Err() == nil {
		if !f.watches() {
			revision = 0
			if f.clock.Sleep(ctx, followerTick) != nil {
				return
			}
			continue
		}
		c, cancel := context.WithTimeout(ctx, watchWait+watchOvertime)
		var m *matcher.Manifest
		var err error
		if revision == 0 {
			m, revision, err = f.store.Manifest(c)
		} else {
			m, revision, err = f.store.WatchManifest(c, revision, watchWait)
		}
		cancel()
		f.metrics.count("store_calls")
		switch {
		case err == nil:
			d.answered()
			f.useManifest(m, "store")
		case errors.Is(err, ErrHistoryGone):
			revision = 0
		default:
			revision = 0
			if d.failed(ctx, err) != nil {
				return
			}
		}
	}
}

// watches reports whether this daemon watches the store: a few do, by rendezvous
// among those that answer each other, and every daemon that hears from no
// watcher.
func (f *Forwarder) watches() bool { return f.watchRank() < watchers }

// watchRank returns how many daemons go before this one as watchers.
func (f *Forwarder) watchRank() int {
	if f.table.Load() == nil || f.registry.Revision() == 0 || !f.peers.hearsWatcher() {
		return 0
	}
	ahead := 0
	own := xxhash.Sum64String(f.cfg.Daemon.Name)
	for _, d := range f.peers.living() {
		if xxhash.Sum64String(d.Name) < own {
			ahead++
		}
	}
	return ahead
}

// useManifest puts m in force unless a newer one is.
func (f *Forwarder) useManifest(m *matcher.Manifest, source string) {
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
	f.peers.tellManifest(m.Version)
	f.log.Info().Int64("manifest", m.Version).Str("source", source).Int("routes", len(m.Routes)).Int("customers", len(m.Customers)).Msg("forwarder: manifest in force")
}

// followEndpoints keeps the list of endpoints until ctx ends: by a watch, or
// through peers that watch.
func (f *Forwarder) followEndpoints(ctx context.Context) {
	w := &endpointWatch{f: f, d: &dependency{f: f, name: "store_endpoints"}, list: true}
	for ctx.Err() == nil {
		if !f.watches() {
			w.list = true
			f.storeFresh.Store(false)
			if f.clock.Sleep(ctx, followerTick) != nil {
				return
			}
			continue
		}
		f.metrics.count("store_calls")
		err := w.step(ctx)
		if err != nil {
			f.storeFresh.Store(false)
			err = w.d.failed(ctx, err)
		} else if f.watchRank() >= eagerWatchers {
			err = f.clock.Sleep(ctx, lazyPause)
		}
		if err != nil {
			return
		}
	}
}

// endpointWatch is the position of a daemon in the changes of the endpoints.
type endpointWatch struct {
	f        *Forwarder
	d        *dependency
	list     bool // The whole list is needed before the next watch.
	revision int64
}

// step makes one call to the store and takes its answer.
func (w *endpointWatch) step(ctx context.Context) error {
	if w.list {
		return w.readList(ctx)
	}
	c, cancel := context.WithTimeout(ctx, watchWait+watchOvertime)
	defer cancel()
	changes, next, err := w.f.store.WatchEndpoints(c, w.revision, watchWait)
	if errors.Is(err, ErrHistoryGone) {
		w.f.log.Info().Int64("revision", w.revision).Msg("forwarder: the store dropped its history; listing endpoints anew")
		w.list = true
		return nil
	}
	if err != nil {
		w.list = true
		return err
	}
	w.d.answered()
	w.revision = next
	changes = slices.DeleteFunc(changes, func(c EndpointChange) bool {
		revision := c.Endpoint.Revision
		if c.Gone {
			revision = c.Revision
		}
		return w.f.registry.Knows(c.Name, revision) // A peer has told it.
	})
	w.f.applyEndpoints(changes)
	w.f.peers.tellEndpoints(changes)
	return nil
}

// readList takes the whole list.
func (w *endpointWatch) readList(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l, err := w.f.store.Endpoints(c)
	if err != nil {
		return err
	}
	w.f.storeFresh.Store(true)
	away := w.d.answered()
	w.f.endpointsChanged(w.f.registry.Replace(l.Endpoints, l.Revision, away, w.f.clock.Now()))
	w.revision, w.list = l.Revision, false
	return nil
}

// applyEndpoints takes the changes of a watch.
func (f *Forwarder) applyEndpoints(changes []EndpointChange) {
	var all []registrar.Change
	for _, c := range changes {
		if c.Gone {
			all = append(all, f.registry.Remove(c.Name, c.Revision)...)
			continue
		}
		all = append(all, f.registry.Set(c.Endpoint)...)
	}
	f.endpointsChanged(all)
}

// endpointsChanged tells the parts what has changed.
func (f *Forwarder) endpointsChanged(changes []registrar.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.New || c.Leaving {
			f.log.Info().Str("endpoint", c.Endpoint.Name).Str("service", c.Endpoint.Service).Str("addr", c.Endpoint.Addr).Str("failure_domain", c.Endpoint.Domain).
				Bool("leaving", c.Leaving).Bool("new", c.New).Msg("forwarder: endpoint changed")
		}
	}
	f.refreshServices()
	for _, c := range changes {
		if c.Leaving {
			f.evacuate(c.Endpoint, 0)
		}
	}
}

// refreshServices gives placers and balancers their endpoints.
func (f *Forwarder) refreshServices() {
	f.servicesMu.Lock()
	defer f.servicesMu.Unlock()
	for name, p := range f.placers {
		p.SetEngines(f.registry.Usable(name), f.clock.Now())
	}
	for name, b := range f.balancers {
		b.Retain(f.registry.Usable(name))
	}
}

// followDaemons announces this daemon and counts the others until ctx ends.
func (f *Forwarder) followDaemons(ctx context.Context) {
	self := Daemon{Name: f.cfg.Daemon.Name, Addr: f.cfg.Daemon.Peers, Domain: f.cfg.Daemon.Domain}
	d := &dependency{f: f, name: "store_daemons"}
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, listTimeout)
		err := f.store.Announce(c, self)
		cancel()
		f.metrics.count("store_calls")
		if err == nil {
			break
		}
		if d.failed(ctx, err) != nil {
			return
		}
	}
	d.answered()
	for n := 0; ctx.Err() == nil; n++ {
		c, cancel := context.WithTimeout(ctx, listTimeout)
		all, err := f.store.Daemons(c)
		cancel()
		f.metrics.count("store_calls")
		if err != nil {
			if d.failed(ctx, err) != nil {
				return
			}
			continue
		}
		d.answered()
		f.budget.SetDaemons(len(all))
		f.peers.setDaemons(all)
		wait := daemonsEvery
		if n < daemonsSoon {
			wait = daemonsEvery / 8
		}
		if f.clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}
