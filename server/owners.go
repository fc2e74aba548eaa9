package server

import (
	"context"
	"sync"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/protocol/messenger"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/estimator"
	"monsoonspar.example/state/timekeeper"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Errors of the owners.
var (
	errNoEndpoint = errors.New("server: no such endpoint")
	errNotOwner   = errors.New("server: endpoint was handed over")
)

// maxUnownedEstimators bounds the estimators that are kept of endpoints that were
// handed over.
const maxUnownedEstimators = 2

// canceller cancels generations at engines.
type canceller interface {
	cancelOrphan(endpoint string, id admitter.PermitID)
}

// owners holds the admission owners of the endpoints that this daemon owns. An
// admission owner decides which requests may run at its endpoint, and when. Each
// endpoint has its own lock.
type owners struct {
	clock              timekeeper.Clock
	tracer             trace.Tracer
	canceller          canceller
	withCustomerPolicy func(admitter.Request) admitter.Request // Sets the fields that depend on the customer.
	lookupEndpoint     func(endpoint string) (cataloger.Endpoint, *cataloger.Manifest, bool)
	otherDaemons       func() []string // Daemons that may hold permits granted by a former owner.

	mu         sync.RWMutex
	endpoints  map[string]*ownedEndpoint
	estimators map[string]*estimator.Estimator // Kept when an endpoint is handed over.
}

// ownedEndpoint is the admission owner of one endpoint, with the calls that wait for
// its decisions.
type ownedEndpoint struct {
	name string

	mu      sync.Mutex
	cfg     admitter.Config // Current configuration of owner.
	owner   *admitter.Owner
	waiters map[admitter.PermitID]chan admitter.Action
	holders map[admitter.PermitID]string // Daemon that holds each permit.
	closed  bool
}

// newOwners returns owners without endpoints.
func newOwners(clock timekeeper.Clock, c canceller, lookupEndpoint func(string) (cataloger.Endpoint, *cataloger.Manifest, bool), otherDaemons func() []string, withCustomerPolicy func(admitter.Request) admitter.Request) *owners {
	return &owners{
		clock: clock, canceller: c, lookupEndpoint: lookupEndpoint, otherDaemons: otherDaemons, withCustomerPolicy: withCustomerPolicy,
		tracer:    noop.NewTracerProvider().Tracer(""),
		endpoints: map[string]*ownedEndpoint{}, estimators: map[string]*estimator.Estimator{},
	}
}

// getOrCreate returns the owner of an endpoint and creates it if necessary. A daemon
// that receives a request for an endpoint owns it regardless of its own view of the
// membership.
func (o *owners) getOrCreate(endpoint string) (*ownedEndpoint, error) {
	o.mu.RLock()
	s, ok := o.endpoints[endpoint]
	o.mu.RUnlock()
	if ok {
		return s, nil
	}
	e, m, ok := o.lookupEndpoint(endpoint)
	if !ok {
		return nil, errNoEndpoint
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.endpoints[endpoint]; ok {
		return s, nil
	}
	est, ok := o.estimators[endpoint]
	if !ok {
		est = estimator.New()
		o.evictEstimators()
		o.estimators[endpoint] = est
	}
	cfg := ownerConfig(e, m)
	s = &ownedEndpoint{
		name:    endpoint,
		cfg:     cfg,
		owner:   admitter.NewOwner(cfg, est),
		waiters: map[admitter.PermitID]chan admitter.Action{},
		holders: map[admitter.PermitID]string{},
	}
	s.owner.AwaitRestore(o.clock.Now(), o.otherDaemons())
	o.endpoints[endpoint] = s
	return s, nil
}

// evictEstimators removes estimators of endpoints that are no longer owned, so that
// one more can be added within maxUnownedEstimators. An estimator takes megabytes if
// there are many customers, and over time a daemon owns many endpoints as other
// daemons are replaced. The caller holds the lock.
func (o *owners) evictEstimators() {
	excess := len(o.estimators) - len(o.endpoints) - maxUnownedEstimators + 1
	for name := range o.estimators {
		if excess <= 0 {
			return
		}
		if _, owned := o.endpoints[name]; !owned {
			delete(o.estimators, name)
			excess--
		}
	}
}

// ownerConfig returns the admission configuration of an endpoint.
func ownerConfig(e cataloger.Endpoint, m *cataloger.Manifest) admitter.Config {
	return admitter.Config{
		MemoryTokens:   e.MemoryTokens,
		BlockTokens:    e.BlockTokens,
		MaxBatch:       e.MaxBatch,
		TokenGapTarget: m.Defaults.TokenGapTarget,
		Weights:        m.Weights,
		LongShare:      m.Defaults.LongJobMemoryShare,
		MaxQueueWait:   m.Defaults.MaxQueueWait,
		ResumeGrace:    m.Defaults.ResumeGrace,
	}
}

// owned returns the names of the endpoints that this daemon owns.
func (o *owners) owned() []string {
	o.mu.RLock()
	defer o.mu.RUnlock()
	names := make([]string, 0, len(o.endpoints))
	for name := range o.endpoints {
		names = append(names, name)
	}
	return names
}

// Permit queues a request and waits until it is granted or refused. If the
// estimated wait exceeds maxWait, it returns the estimate and queues nothing.
func (o *owners) Permit(ctx context.Context, endpoint string, r admitter.Request, maxWait time.Duration) (messenger.PermitResult, error) {
	ctx, span := o.tracer.Start(ctx, "owner")
	defer span.End()
	s, err := o.getOrCreate(endpoint)
	if err != nil {
		return messenger.PermitResult{}, err
	}
	if e, _, ok := o.lookupEndpoint(endpoint); !ok || e.Draining {
		return messenger.PermitResult{}, errNoEndpoint
	}
	r = o.withCustomerPolicy(r)
	if maxWait != messenger.UnlimitedWait {
		est, err := s.estimate(o.clock.Now(), r)
		if err != nil {
			return messenger.PermitResult{}, err
		}
		if !est.Available || !est.Feasible || est.QueueWait > maxWait {
			return messenger.PermitResult{Busy: true, Estimate: est}, nil
		}
	}
	ch, err := s.addWaiter(r)
	if err != nil {
		return messenger.PermitResult{}, err
	}
	o.applyEvent(s, func(now time.Time) []admitter.Action { return s.owner.Enqueue(now, r) })
	select {
	case a, ok := <-ch:
		if !ok {
			return messenger.PermitResult{}, errNotOwner
		}
		return messenger.PermitResult{Action: a}, nil
	case <-ctx.Done():
		o.withdraw(s, r.ID)
		return messenger.PermitResult{}, ctx.Err()
	}
}

// estimate estimates the queue wait of a request.
func (s *ownedEndpoint) estimate(now time.Time, r admitter.Request) (admitter.Estimate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return admitter.Estimate{}, errNotOwner
	}
	return s.owner.Estimate(now, r), nil
}

// addWaiter returns a channel that receives the decision about r. The channel is
// closed without a decision if the request is repeated or the endpoint is dropped.
func (s *ownedEndpoint) addWaiter(r admitter.Request) (chan admitter.Action, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errNotOwner
	}
	if old, ok := s.waiters[r.ID]; ok {
		close(old) // The request was repeated; the earlier call gets no decision.
	}
	ch := make(chan admitter.Action, 1)
	s.waiters[r.ID] = ch
	s.holders[r.ID] = r.Daemon
	return ch, nil
}

// withdraw removes a request whose caller no longer waits.
func (o *owners) withdraw(s *ownedEndpoint, id admitter.PermitID) {
	o.applyEvent(s, func(now time.Time) []admitter.Action {
		delete(s.waiters, id)
		delete(s.holders, id)
		return s.owner.Release(now, id, admitter.Result{})
	})
}

// applyEvent applies one event to an owner under its lock and carries out the
// resulting actions.
func (o *owners) applyEvent(s *ownedEndpoint, event func(now time.Time) []admitter.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, a := range event(o.clock.Now()) {
		switch a.Kind {
		case admitter.Grant, admitter.Refuse:
			s.notifyWaiter(a)
		case admitter.Cancel:
			delete(s.holders, a.ID)
			o.canceller.cancelOrphan(s.name, a.ID)
		}
	}
}

// notifyWaiter passes a decision to the call that waits for it, if any.
func (s *ownedEndpoint) notifyWaiter(a admitter.Action) {
	if a.Kind == admitter.Refuse {
		delete(s.holders, a.ID)
	}
	ch, ok := s.waiters[a.ID]
	if !ok {
		return
	}
	delete(s.waiters, a.ID)
	ch <- a
}

// Release ends a permit and reports whether daemon held it. A release by a daemon
// that is no longer the holder has no effect.
func (o *owners) Release(endpoint, daemon string, id admitter.PermitID, res admitter.Result) (bool, error) {
	s, err := o.getOrCreate(endpoint)
	if err != nil {
		return false, err
	}
	holder := true
	o.applyEvent(s, func(now time.Time) []admitter.Action {
		if h, ok := s.holders[id]; ok && h != daemon {
			holder = false
			return nil
		}
		delete(s.holders, id)
		return s.owner.Release(now, id, res)
	})
	return holder, nil
}

// Restore restores permits that their holder reports.
func (o *owners) Restore(endpoint, daemon string, held []admitter.HeldPermit) error {
	s, err := o.getOrCreate(endpoint)
	if err != nil {
		return err
	}
	o.applyEvent(s, func(now time.Time) []admitter.Action {
		for i, h := range held {
			held[i].Request = o.withCustomerPolicy(h.Request)
			s.holders[h.Request.ID] = daemon
		}
		return s.owner.Restore(now, daemon, held)
	})
	return nil
}

// observeLoad passes a load report to the owner of an endpoint, if this daemon owns
// it.
func (o *owners) observeLoad(endpoint string, r admitter.LoadReport) {
	o.mu.RLock()
	s, ok := o.endpoints[endpoint]
	o.mu.RUnlock()
	if !ok {
		return
	}
	o.applyEvent(s, func(now time.Time) []admitter.Action { return s.owner.Observe(now, r) })
}

// stopAdmission stops admission at an endpoint that is shutting down, if this daemon
// owns it.
func (o *owners) stopAdmission(endpoint string) {
	o.mu.RLock()
	s, ok := o.endpoints[endpoint]
	o.mu.RUnlock()
	if ok {
		o.applyEvent(s, s.owner.StopAdmission)
	}
}

// removeDaemon handles the failure of a daemon at all owned endpoints. Its
// generations are cancelled after the grace time unless another daemon takes them
// over.
func (o *owners) removeDaemon(daemon string) {
	for _, s := range o.snapshot() {
		o.applyEvent(s, func(now time.Time) []admitter.Action { return s.owner.RemoveDaemon(now, daemon) })
	}
}

// tick calls Tick of each owner whose next wake time has been reached.
func (o *owners) tick() {
	for _, s := range o.snapshot() {
		o.applyEvent(s, func(now time.Time) []admitter.Action {
			if now.Before(s.owner.NextWake(now)) {
				return nil
			}
			return s.owner.Tick(now)
		})
	}
}

// reconfigure updates the configuration of the owners from the manifest in force.
func (o *owners) reconfigure() {
	for _, s := range o.snapshot() {
		e, m, ok := o.lookupEndpoint(s.name)
		if !ok {
			continue // The endpoint is no longer declared; dropUnowned removes it.
		}
		cfg := ownerConfig(e, m)
		o.applyEvent(s, func(now time.Time) []admitter.Action {
			if cfg == s.cfg {
				return nil
			}
			s.cfg = cfg
			return s.owner.Reconfigure(now, cfg)
		})
	}
}

// snapshot returns the owned endpoints.
func (o *owners) snapshot() []*ownedEndpoint {
	o.mu.RLock()
	defer o.mu.RUnlock()
	endpoints := make([]*ownedEndpoint, 0, len(o.endpoints))
	for _, s := range o.endpoints {
		endpoints = append(endpoints, s)
	}
	return endpoints
}

// drop stops owning an endpoint. The waiting calls fail, so that their callers ask
// the next owner.
func (o *owners) drop(endpoint string) {
	o.mu.Lock()
	s, ok := o.endpoints[endpoint]
	delete(o.endpoints, endpoint)
	o.mu.Unlock()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for id, ch := range s.waiters {
		close(ch)
		delete(s.waiters, id)
	}
}
