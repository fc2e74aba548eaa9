package forwarder

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"monsoonspar.example/coordination/placer"
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
	daemonsSoon    = 3                       // Lists after a start that follow one another sooner, since daemons start together.
	pollInterval   = 400 * time.Millisecond  // Of the report of an engine that this daemon asks for all.
	pollFallback   = 1500 * time.Millisecond // Age of a report at which a daemon asks itself.
	pollTimeout    = 400 * time.Millisecond
	pollsFailed    = 2                      // Reports in a row without an answer that make an engine dead.
	followerTick   = 100 * time.Millisecond // Until a daemon sees that it has to watch itself.
	watchers       = 4                      // Daemons that watch the store; the others hear from them.
	queueTick      = 50 * time.Millisecond
	listTimeout    = 2 * time.Second
	watchOvertime  = 1500 * time.Millisecond // Beyond the wait before a watch counts as silent.
	announceTries  = 5
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
func (f *Forwarder) watches() bool {
	if f.table.Load() == nil || f.registry.Revision() == 0 || !f.peers.hearsWatcher() {
		return true
	}
	ahead := 0
	own := xxhash.Sum64String(f.cfg.Daemon.Name)
	for _, d := range f.peers.living() {
		if xxhash.Sum64String(d.Name) < own {
			ahead++
		}
	}
	return ahead < watchers
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
		if err == nil {
			continue
		}
		f.storeFresh.Store(false)
		if w.d.failed(ctx, err) != nil {
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

// engineList returns the endpoints of services that generate.
func (f *Forwarder) engineList() []registrar.Endpoint {
	t := f.table.Load()
	if t == nil {
		return nil
	}
	var all []registrar.Endpoint
	for _, e := range f.registry.All() {
		if t.Manifest.Services[e.Service].Engine != nil {
			all = append(all, e)
		}
	}
	return all
}

// poll is the state of the polling of one engine.
type poll struct {
	next     time.Time
	busy     bool
	failures int
}

// pollReports asks the engines for their load, and moves the queues and the
// streams of leaving engines on, until ctx ends.
func (f *Forwarder) pollReports(ctx context.Context) {
	polls := map[registrar.Identity]*poll{}
	results := make(chan pollResult, 64)
	for f.clock.Sleep(ctx, queueTick) == nil {
		now := f.clock.Now()
		f.takeResults(polls, results, now)
		present := map[registrar.Identity]bool{}
		living := f.peers.living()
		for _, e := range f.engineList() {
			present[e.Identity] = true
			p := polls[e.Identity]
			if p == nil {
				p = &poll{next: now.Add(time.Duration(f.random() * float64(pollInterval) / 4))}
				polls[e.Identity] = p
			}
			if p.busy || now.Before(p.next) {
				continue
			}
			if !f.shouldAsk(e, living, now) {
				p.next = now.Add(pollInterval / 2)
				continue
			}
			p.busy = true
			p.next = now.Add(time.Duration((0.85 + 0.3*f.random()) * float64(pollInterval)))
			f.spawn(func() { f.askReport(ctx, e, results) })
		}
		for id, p := range polls {
			if !present[id] && !p.busy {
				delete(polls, id)
			}
		}
		f.endpointsChanged(f.registry.Expire(now))
		f.settleQueues(now)
	}
}

// shouldAsk reports whether this daemon asks an engine for its report. One
// daemon does so for all that it talks to, preferably one in the engine's
// failure domain; another one does if its news stay away.
func (f *Forwarder) shouldAsk(e registrar.Endpoint, living []Daemon, now time.Time) bool {
	p := f.knownPlacement(e.Service)
	if p == nil {
		return false
	}
	self := Daemon{Name: f.cfg.Daemon.Name, Domain: f.cfg.Daemon.Domain}
	best, bestScore := self, askScore(self, e)
	for _, d := range living {
		if score := askScore(d, e); score > bestScore {
			best, bestScore = d, score
		}
	}
	return best.Name == self.Name || p.ReportAge(e.Identity, now) > pollFallback
}

// askScore orders the daemons that could ask an engine for its report.
func askScore(d Daemon, e registrar.Endpoint) uint64 {
	score := xxhash.Sum64String(d.Name+"/"+e.Name) >> 1
	if d.Domain == e.Domain {
		score |= 1 << 63
	}
	return score
}

// pollResult is a report or why there is none.
type pollResult struct {
	endpoint registrar.Endpoint
	report   placer.Report
	err      error
}

// askReport asks one engine.
func (f *Forwarder) askReport(ctx context.Context, e registrar.Endpoint, results chan<- pollResult) {
	c, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := f.endpoints.Report(c, e)
	select {
	case results <- pollResult{endpoint: e, report: r, err: err}:
	case <-ctx.Done():
	}
}

// takeResults takes the reports that have come.
func (f *Forwarder) takeResults(polls map[registrar.Identity]*poll, results <-chan pollResult, now time.Time) {
	for {
		select {
		case r := <-results:
			f.takeResult(polls[r.endpoint.Identity], r, now)
		default:
			return
		}
	}
}

// takeResult takes one report.
func (f *Forwarder) takeResult(p *poll, r pollResult, now time.Time) {
	p.busy = false
	f.metrics.count("reports_asked")
	if r.err != nil {
		p.failures++
		if p.failures == pollsFailed {
			f.log.Warn().Err(r.err).Str("endpoint", r.endpoint.Name).Str("addr", r.endpoint.Addr).Msg("forwarder: dependency lost: engine does not report")
		}
		if p.failures >= pollsFailed {
			f.abandonEngine(r.endpoint.Identity, now)
		}
		if pl := f.knownPlacement(r.endpoint.Service); pl != nil {
			pl.Unreachable(r.endpoint.Identity, now)
		}
		p.next = now.Add(pollTimeout / 2)
		return
	}
	if p.failures >= pollsFailed {
		f.log.Info().Str("endpoint", r.endpoint.Name).Msg("forwarder: dependency regained: engine reports")
	}
	p.failures = 0
	if pl := f.knownPlacement(r.endpoint.Service); pl != nil {
		pl.Observe(r.endpoint.Identity, r.report, now)
	}
	f.peers.tellReport(r.endpoint.Service, r.endpoint.Identity, r.report)
	if r.report.Leaving && f.engineLeaves(r.endpoint.Identity, r.report.LeavesIn, "report") {
		f.peers.tellLeaving(r.endpoint.Identity, r.report.LeavesIn)
	}
}

// engineLeaves takes the sign that an engine leaves. It reports whether that
// was news.
func (f *Forwarder) engineLeaves(id registrar.Identity, notice time.Duration, source string) bool {
	e, news := f.registry.MarkLeaving(id)
	if !news {
		return false
	}
	f.log.Info().Str("endpoint", id.Name).Dur("leaves_in_ms", notice).Str("source", source).Msg("forwarder: engine leaves")
	f.refreshServices()
	f.evacuate(e, notice)
	return true
}

// settleQueues decides the waiting jobs of all services.
func (f *Forwarder) settleQueues(now time.Time) {
	for _, p := range f.allPlacements() {
		p.settle(now)
	}
}
