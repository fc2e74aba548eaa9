package forwarder

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/coordination/follower"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/registrar"
)

// Operators evacuate a failure domain by an object in the store: nothing that starts work may
// be sent to its endpoints until the object is removed. Runs that are in progress go on, and
// are not migrated. The daemons follow the set of evacuated domains like the manifest
// (coordination/follower); registrar.Registrar holds it. Not work, and so permitted: polls
// for reports, and requests that make an engine copy or stop a run of its own so that it
// goes on in another domain.

const (
	excludedRetryAfter    = time.Second     // Retry-After while evacuations or allowed regions exclude all endpoints; the end is not known before.
	evacuationsKnownLimit = 3 * time.Second // After the start; a daemon that does not know the evacuations then is ready without.
)

// errDomainEvacuated means that the failure domain of an endpoint is evacuated, so that the
// endpoint gets no new work.
var errDomainEvacuated = errors.New("the failure domain of the endpoint is evacuated")

// evacuationsUpdate is the wire form of the evacuated failure domains.
type evacuationsUpdate struct {
	Domains  []string `msgpack:"domains,omitempty"`
	Revision int64    `msgpack:"revision"` // As in registrar.Evacuations.
}

// evacuationWatch is the state of the watch of evacuations.
type evacuationWatch struct {
	f           *Forwarder
	moves       int64           // Of the store when the revision was read.
	revision    int64           // Zero if the complete list has to be read before the next watch.
	domains     map[string]bool // Evacuated as of revision.
	kindMissing bool            // The store had no such kind of object at the last call.

	applying sync.Mutex // Held while a set is applied, so that the ends of evacuations are handled in order.
}

// followsEvacuations reports whether evacuations may occur in this deployment.
func (f *Forwarder) followsEvacuations() bool { return f.cfg.Bounds.EvacuationMillis > 0 }

// newEvacuationSubscription creates the subscription of the evacuations.
func (f *Forwarder) newEvacuationSubscription() {
	w := &f.evacuationWatch
	w.f = f
	f.evacuations = &subscription{
		Follower: follower.NewWith(follower.Slow, f.newRand()), f: f, health: &dependency{f: f, name: "store_evacuations"}, poll: w.poll, called: newWaker(),
		view: func(time.Time) follower.View {
			v := f.peers.watcherView(func(o *peer) bool { return o.evacuationsLost })
			v.Known = f.registry.Evacuations().Revision > 0
			return v
		},
	}
}

// poll reads the list of evacuations, or waits for changes of it, and applies the result.
func (w *evacuationWatch) poll(ctx context.Context, step follower.Step) (bool, error) {
	if moves := w.f.storeAt.moves.Load(); moves != w.moves {
		w.moves, w.revision = moves, 0
	}
	if w.revision == 0 {
		pause := time.Duration(0)
		if w.kindMissing { // The store reports no changes then.
			pause = step.Wait
		}
		return pause == 0, w.list(ctx, pause)
	}
	c, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	changes, next, err := w.f.store.WatchEvacuations(c, w.revision, step.Wait)
	switch {
	case errors.Is(err, ErrRevisionExpired), errors.Is(err, ErrNotFound):
		w.revision = 0
		return true, nil
	case err != nil:
		return false, err
	}
	for _, c := range changes {
		if c.Ended {
			if !w.domains[c.Domain] { // It has begun and ended since the last answer.
				w.f.beforeEvacuationEnds(c.Domain, next, w.f.clock.Now())
			}
			delete(w.domains, c.Domain)
		} else {
			w.domains[c.Domain] = true
		}
	}
	w.revision = next
	w.f.applyEvacuations(registrar.Evacuations{Domains: slices.Collect(maps.Keys(w.domains)), Revision: next}, sourceStore)
	return len(changes) > 0, nil
}

// list reads and applies the complete list after a pause.
func (w *evacuationWatch) list(ctx context.Context, pause time.Duration) error {
	if pause > 0 && w.f.clock.Sleep(ctx, pause) != nil {
		return context.Cause(ctx)
	}
	c, cancel := context.WithTimeout(ctx, w.f.evacuations.ReadTimeout())
	defer cancel()
	all, err := w.f.store.Evacuations(c)
	w.kindMissing = errors.Is(err, ErrNotFound)
	switch {
	case w.kindMissing:
		all = w.f.noEvacuations()
	case err != nil:
		return err
	default:
		w.revision = all.Revision
	}
	w.domains = map[string]bool{}
	for _, d := range all.Domains {
		w.domains[d] = true
	}
	w.f.applyEvacuations(all, sourceStore)
	return nil
}

// noEvacuations returns the empty set as of now, when the store has no evacuations and names no
// revision: that of the endpoints, or the next one after the known set if that is not empty.
func (f *Forwarder) noEvacuations() registrar.Evacuations {
	known := f.registry.Evacuations()
	revision := max(f.registry.Revision(), known.Revision, 1)
	if len(known.Domains) > 0 {
		revision = max(revision, known.Revision+1)
	}
	return registrar.Evacuations{Revision: revision}
}

// applyEvacuations puts a set of evacuated failure domains in force unless a newer one is known.
func (f *Forwarder) applyEvacuations(s registrar.Evacuations, source string) {
	w := &f.evacuationWatch
	w.applying.Lock()
	defer w.applying.Unlock()
	known := f.registry.Evacuations()
	if s.Revision <= known.Revision {
		return
	}
	now := f.clock.Now()
	for _, d := range known.Domains {
		if !slices.Contains(s.Domains, d) {
			f.beforeEvacuationEnds(d, s.Revision, now)
		}
	}
	begun, ended := f.registry.SetEvacuations(s)
	if len(begun)+len(ended) == 0 && known.Revision > 0 {
		return
	}
	f.updateServices()
	f.quarantineWatch.notify() // Generations that wait for an engine may have to be refused.
	f.peers.queueEvacuations(f.registry.Evacuations())
	if source != sourceStore {
		f.evacuations.Overtake(now)
	}
	f.log.Info().Strs("begun", begun).Strs("ended", ended).Strs("evacuated", s.Domains).Int64("revision", s.Revision).Str("source", source).Msg("forwarder: evacuations in force")
}

// beforeEvacuationEnds is called before the endpoints of a failure domain that was evacuated may get
// requests again, as of a revision of the store. They may have become cold, and their entries may say so late.
func (f *Forwarder) beforeEvacuationEnds(domain string, revision int64, now time.Time) {
	f.assumeCold(domain, revision, now)
	f.log.Info().Str("failure_domain", domain).Msg("forwarder: evacuation ends")
}

// mayStartWork returns an error that matches requester.ErrNotSent if nothing that starts work on a
// request may be sent to the endpoint: its failure domain is evacuated, or the allowed regions of the
// request exclude it. It is checked right before each such request, since the endpoint may have been
// chosen before an evacuation.
func (f *Forwarder) mayStartWork(x *exchange, e registrar.Endpoint) error {
	switch {
	case f.registry.Evacuated(e.Domain):
		f.metrics.count("evacuation_denials")
		return requester.FailureError{Kind: requester.ErrNotSent, Cause: errDomainEvacuated}
	case !f.isAllowed(x, &e):
		f.metrics.count("region_denials")
		return requester.FailureError{Kind: requester.ErrNotSent, Cause: errRegionNotAllowed}
	}
	return nil
}

// excludesEndpoints reports whether evacuations or regions may exclude endpoints from requests.
func (f *Forwarder) excludesEndpoints() bool {
	return len(f.registry.Evacuations().Domains) > 0 || len(f.cfg.Regions) > 0
}

// noEndpointRefusal returns the refusal of a request for which no endpoint may be used now, or nil
// if there is one.
func (f *Forwarder) noEndpointRefusal(x *exchange) *Refusal {
	r := &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonNoEndpoint, RetryAfter: defaultRetryAfter}
	serving := f.registry.Serving(x.service)
	switch {
	case f.anyAllowed(x, f.registry.Usable(x.service)):
		return nil
	case f.anyAllowed(x, serving):
		r.Reason, r.RetryAfter = ReasonDomainEvacuated, excludedRetryAfter
	case len(serving) > 0:
		r.Reason, r.RetryAfter = ReasonNoAllowedRegion, excludedRetryAfter
	}
	return r
}

// knowsEvacuations reports whether the daemon knows which failure domains are evacuated, or has waited
// for long enough: peers of an earlier version can't tell, and the store may be away.
func (f *Forwarder) knowsEvacuations() bool {
	return !f.followsEvacuations() || f.registry.Evacuations().Revision > 0 || f.clock.Now().Sub(f.startedAt) > evacuationsKnownLimit
}

// evacuationsState returns the known set for a sync; nil if evacuations can't occur.
func (f *Forwarder) evacuationsState() *evacuationsUpdate {
	if !f.followsEvacuations() {
		return nil
	}
	known := f.registry.Evacuations()
	return &evacuationsUpdate{Domains: known.Domains, Revision: known.Revision}
}

// applyPeerEvacuations applies the set of a peer, which is nil if the peer has sent none.
func (f *Forwarder) applyPeerEvacuations(u *evacuationsUpdate, name string) {
	if u != nil && f.followsEvacuations() {
		f.applyEvacuations(registrar.Evacuations{Domains: u.Domains, Revision: u.Revision}, "peer "+name)
	}
}

// confirmEvacuations records the proof of a peer that its set is the newest, if it is that of this
// daemon.
func (f *Forwarder) confirmEvacuations(remote *syncMessage, asOf time.Time) {
	if remote.Evacuations == nil || !f.followsEvacuations() {
		return
	}
	known := f.registry.Evacuations()
	if known.Same(&registrar.Evacuations{Domains: remote.Evacuations.Domains, Revision: remote.Evacuations.Revision}) {
		remote.EvacuationsAge.confirm(f.evacuations, asOf)
	}
}

// queueEvacuations queues the set of evacuated failure domains.
func (p *peers) queueEvacuations(s registrar.Evacuations) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.Evacuations = &evacuationsUpdate{Domains: s.Domains, Revision: s.Revision}
	p.wake.wake()
}
