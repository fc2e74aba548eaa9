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

// maxKeptEstimators bounds the estimators of endpoints that were handed over.
const maxKeptEstimators = 2

// canceller cancels generations at engines.
type canceller interface {
	cancelOrphan(endpoint string, id admitter.PermitID)
}

// owners holds the admission owners of the endpoints that this daemon owns.
// Each endpoint is a shard under its own lock.
type owners struct {
	clock     timekeeper.Clock
	tracer    trace.Tracer
	canceller canceller
	complete  func(admitter.Request) admitter.Request // Fills in what the manifest says of the customer.
	lookup    func(endpoint string) (cataloger.Endpoint, *cataloger.Manifest, bool)
	daemons   func() []string // Daemons that may hold permits of a former owner.

	mu         sync.RWMutex
	shards     map[string]*ownedEndpoint
	estimators map[string]*estimator.Estimator // Kept when an endpoint is handed over.
}

// ownedEndpoint is the owner of one endpoint and those who wait for it.
type ownedEndpoint struct {
	name string

	mu      sync.Mutex
	cfg     admitter.Config // Of the owner.
	owner   *admitter.Owner
	waiters map[admitter.PermitID]chan admitter.Action
	holders map[admitter.PermitID]string // Daemon that holds each permit.
	closed  bool
}

// newOwners returns owners of no endpoint.
func newOwners(clock timekeeper.Clock, c canceller, lookup func(string) (cataloger.Endpoint, *cataloger.Manifest, bool), daemons func() []string, complete func(admitter.Request) admitter.Request) *owners {
	return &owners{
		clock: clock, canceller: c, lookup: lookup, daemons: daemons, complete: complete,
		tracer: noop.NewTracerProvider().Tracer(""),
		shards: map[string]*ownedEndpoint{}, estimators: map[string]*estimator.Estimator{},
	}
}

// shard returns the owner of an endpoint and begins to own it if need be. A
// daemon that is asked owns the endpoint whatever its own view of membership.
func (o *owners) shard(endpoint string) (*ownedEndpoint, error) {
	o.mu.RLock()
	s, ok := o.shards[endpoint]
	o.mu.RUnlock()
	if ok {
		return s, nil
	}
	e, m, ok := o.lookup(endpoint)
	if !ok {
		return nil, errNoEndpoint
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.shards[endpoint]; ok {
		return s, nil
	}
	est, ok := o.estimators[endpoint]
	if !ok {
		est = estimator.New()
		o.forgetEstimators()
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
	s.owner.AwaitRestore(o.clock.Now(), o.daemons())
	o.shards[endpoint] = s
	return s, nil
}

// forgetEstimators makes room for one more estimator. Each takes megabytes where
// there are many customers, and a daemon owns many endpoints in turn as others
// are replaced. The caller holds the lock.
func (o *owners) forgetEstimators() {
	excess := len(o.estimators) - len(o.shards) - maxKeptEstimators + 1
	for name := range o.estimators {
		if excess <= 0 {
			return
		}
		if _, owned := o.shards[name]; !owned {
			delete(o.estimators, name)
			excess--
		}
	}
}

// ownerConfig returns the admission policy of an endpoint.
func ownerConfig(e cataloger.Endpoint, m *cataloger.Manifest) admitter.Config {
	return admitter.Config{
		MemoryTokens:   e.MemoryTokens,
		BlockTokens:    e.BlockTokens,
		MaxBatch:       e.MaxBatch,
		TokenGapTarget: m.Defaults.TokenGapTarget,
		Weights:        m.Weights,
		LongShare:      m.Defaults.LongShare,
		MaxQueueWait:   m.Defaults.LongJobAgeBound,
		ResumeGrace:    m.Defaults.ResumeGrace,
	}
}

// owned returns the names of the endpoints that are owned here.
func (o *owners) owned() []string {
	o.mu.RLock()
	defer o.mu.RUnlock()
	names := make([]string, 0, len(o.shards))
	for name := range o.shards {
		names = append(names, name)
	}
	return names
}

// Permit queues a request and waits until it is granted or refused. It queues
// nothing and answers with a quote if the wait would exceed maxWait.
func (o *owners) Permit(ctx context.Context, endpoint string, r admitter.Request, maxWait time.Duration) (messenger.Answer, error) {
	ctx, span := o.tracer.Start(ctx, "owner")
	defer span.End()
	s, err := o.shard(endpoint)
	if err != nil {
		return messenger.Answer{}, err
	}
	if e, _, ok := o.lookup(endpoint); !ok || e.Draining {
		return messenger.Answer{}, errNoEndpoint
	}
	r = o.complete(r)
	if maxWait != messenger.NoBound {
		q, err := s.quote(o.clock.Now(), r)
		if err != nil {
			return messenger.Answer{}, err
		}
		if !q.Available || !q.Feasible || q.QueueWait > maxWait {
			return messenger.Answer{Busy: true, Quote: q}, nil
		}
	}
	ch, err := s.wait(r)
	if err != nil {
		return messenger.Answer{}, err
	}
	o.act(s, func(now time.Time) []admitter.Action { return s.owner.Enqueue(now, r) })
	select {
	case a, ok := <-ch:
		if !ok {
			return messenger.Answer{}, errNotOwner
		}
		return messenger.Answer{Action: a}, nil
	case <-ctx.Done():
		o.withdraw(s, r.ID)
		return messenger.Answer{}, ctx.Err()
	}
}

// quote forecasts the wait of a request.
func (s *ownedEndpoint) quote(now time.Time, r admitter.Request) (admitter.Estimate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return admitter.Estimate{}, errNotOwner
	}
	return s.owner.Estimate(now, r), nil
}

// wait registers a waiter for the decision about r.
func (s *ownedEndpoint) wait(r admitter.Request) (chan admitter.Action, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errNotOwner
	}
	if old, ok := s.waiters[r.ID]; ok {
		close(old) // The asker has asked again; the first call gets no answer.
	}
	ch := make(chan admitter.Action, 1)
	s.waiters[r.ID] = ch
	s.holders[r.ID] = r.Daemon
	return ch, nil
}

// withdraw gives up a request whose asker is gone.
func (o *owners) withdraw(s *ownedEndpoint, id admitter.PermitID) {
	o.act(s, func(now time.Time) []admitter.Action {
		delete(s.waiters, id)
		delete(s.holders, id)
		return s.owner.Release(now, id, admitter.Result{})
	})
}

// act runs one event of an owner under its lock and carries out the actions.
func (o *owners) act(s *ownedEndpoint, event func(now time.Time) []admitter.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, a := range event(o.clock.Now()) {
		switch a.Kind {
		case admitter.Grant, admitter.Refuse:
			s.settle(a)
		case admitter.Cancel:
			delete(s.holders, a.ID)
			o.canceller.cancelOrphan(s.name, a.ID)
		}
	}
}

// settle hands a decision to the one who waits for it.
func (s *ownedEndpoint) settle(a admitter.Action) {
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

// Release ends a permit, and reports whether daemon held it. A daemon that no
// longer holds it changes nothing.
func (o *owners) Release(endpoint, daemon string, id admitter.PermitID, res admitter.Result) (bool, error) {
	s, err := o.shard(endpoint)
	if err != nil {
		return false, err
	}
	holder := true
	o.act(s, func(now time.Time) []admitter.Action {
		if h, ok := s.holders[id]; ok && h != daemon {
			holder = false
			return nil
		}
		delete(s.holders, id)
		return s.owner.Release(now, id, res)
	})
	return holder, nil
}

// Hold takes over permits that their holder reports.
func (o *owners) Hold(endpoint, daemon string, held []admitter.HeldPermit) error {
	s, err := o.shard(endpoint)
	if err != nil {
		return err
	}
	o.act(s, func(now time.Time) []admitter.Action {
		for i, h := range held {
			held[i].Request = o.complete(h.Request)
			s.holders[h.Request.ID] = daemon
		}
		return s.owner.Restore(now, daemon, held)
	})
	return nil
}

// observe gives a load report to the owner of an endpoint, if it is owned here.
func (o *owners) observe(endpoint string, r admitter.LoadReport) {
	o.mu.RLock()
	s, ok := o.shards[endpoint]
	o.mu.RUnlock()
	if !ok {
		return
	}
	o.act(s, func(now time.Time) []admitter.Action { return s.owner.Observe(now, r) })
}

// leave stops new work at an endpoint, if it is owned here.
func (o *owners) leave(endpoint string) {
	o.mu.RLock()
	s, ok := o.shards[endpoint]
	o.mu.RUnlock()
	if ok {
		o.act(s, s.owner.StopAdmission)
	}
}

// lose ends the permits of a daemon that died.
func (o *owners) lose(daemon string) {
	for _, s := range o.all() {
		o.act(s, func(now time.Time) []admitter.Action { return s.owner.RemoveDaemon(now, daemon) })
	}
}

// tick lets each owner act on the passing of time.
func (o *owners) tick() {
	for _, s := range o.all() {
		o.act(s, func(now time.Time) []admitter.Action {
			if now.Before(s.owner.NextWake(now)) {
				return nil
			}
			return s.owner.Tick(now)
		})
	}
}

// reconfigure gives the owners what the manifest in force says of their
// endpoints.
func (o *owners) reconfigure() {
	for _, s := range o.all() {
		e, m, ok := o.lookup(s.name)
		if !ok {
			continue // It is dropped.
		}
		cfg := ownerConfig(e, m)
		o.act(s, func(now time.Time) []admitter.Action {
			if cfg == s.cfg {
				return nil
			}
			s.cfg = cfg
			return s.owner.Reconfigure(now, cfg)
		})
	}
}

// all returns the shards.
func (o *owners) all() []*ownedEndpoint {
	o.mu.RLock()
	defer o.mu.RUnlock()
	shards := make([]*ownedEndpoint, 0, len(o.shards))
	for _, s := range o.shards {
		shards = append(shards, s)
	}
	return shards
}

// drop hands an endpoint over: those who wait ask the next owner.
func (o *owners) drop(endpoint string) {
	o.mu.Lock()
	s, ok := o.shards[endpoint]
	delete(o.shards, endpoint)
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
