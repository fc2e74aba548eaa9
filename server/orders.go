package server

import (
	"context"
	"sync"
	"time"

	"monsoonspar.example/coordination/leaser"
	"monsoonspar.example/coordination/orderer"
	"monsoonspar.example/protocol/generator"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/cataloger"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// orderInterval is the time between two comparisons of the manifest with what
// the engines report.
const orderInterval = 5 * time.Second

// orders gives the orders of this daemon's failure domain while it holds the
// lease.
type orders struct {
	s  *Server
	mu sync.Mutex // Held while orders are planned and under way.

	core *orderer.Orderer
	rate float64 // Loads a minute that the core keeps to.
}

// newOrders returns orders without any under way.
func newOrders(s *Server) *orders { return &orders{s: s} }

// run compares and orders until ctx ends.
func (o *orders) run(ctx context.Context) {
	for o.s.clock.Sleep(ctx, orderInterval) == nil {
		if _, held := o.s.leases.term(); !held || !o.configure() {
			continue
		}
		view := o.look(ctx)
		o.plan(ctx, view)
	}
}

// plan gives the orders that a view asks for, unless the daemon stops.
func (o *orders) plan(ctx context.Context, view orderer.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	term, held := o.s.leases.term()
	if !held || o.s.stopping.Load() {
		return
	}
	o.give(ctx, o.core.Plan(o.s.clock.Now(), term, view))
}

// wait waits until the orders under way have ended. While the daemon stops no
// others follow.
func (o *orders) wait() {
	o.mu.Lock()
	defer o.mu.Unlock()
}

// configure makes the core anew if this failure domain's part of the weight
// store's rate has changed, and reports whether there is a manifest.
func (o *orders) configure() bool {
	m := o.s.Manifest()
	if m == nil {
		return false
	}
	rate := float64(m.Defaults.LoadsPerMinute) / float64(max(len(m.Domains), 1))
	if o.core != nil && (o.rate == rate || o.core.Outstanding(o.s.clock.Now()) > 0) {
		return true
	}
	cfg := orderer.DefaultSettings()
	cfg.LoadsPerMinute = rate
	o.rate, o.core = rate, orderer.New(cfg)
	return true
}

// look reads the engines of the failure domain.
func (o *orders) look(ctx context.Context) orderer.View {
	var view orderer.View
	m := o.s.Manifest()
	if m == nil {
		return view
	}
	view.Traffic = traffic(m)
	var engines []cataloger.Endpoint
	for _, e := range m.Endpoints {
		if e.Kind == cataloger.KindEngine && e.Domain == o.s.cfg.Daemon.Domain {
			engines = append(engines, e)
			view.Desired = append(view.Desired, desired(e))
		}
	}
	observed := make([]*orderer.Observed, len(engines))
	var g conc.WaitGroup
	for i, e := range engines {
		g.Go(func() { observed[i] = o.observe(ctx, e) })
	}
	g.Wait()
	for _, ob := range observed {
		if ob != nil {
			view.Observed = append(view.Observed, *ob)
		}
	}
	return view
}

// desired returns what the manifest asks of an engine. The mixed role is that
// of an engine that was told none.
func desired(e cataloger.Endpoint) orderer.Desired {
	d := orderer.Desired{Endpoint: e.Name, ChecksFence: e.ChecksFence, Placements: e.Models}
	if e.Role != cataloger.RoleMixed {
		d.Role = string(e.Role)
	}
	return d
}

// traffic returns the placements that callers may ask for.
func traffic(m *cataloger.Manifest) []cataloger.Placement {
	var ps []cataloger.Placement
	for _, model := range m.Models {
		for _, v := range model.Versions {
			ps = append(ps, cataloger.Placement{Model: model.Name, Version: v})
			for _, a := range model.Adapters {
				ps = append(ps, cataloger.Placement{Model: model.Name, Version: v, Adapter: a})
			}
		}
	}
	return ps
}

// observe reads one engine, or returns nil.
func (o *orders) observe(ctx context.Context, e cataloger.Endpoint) *orderer.Observed {
	load, err := o.s.engines.Load(ctx, e.Addr, o.s.clock.Now(), false)
	if err != nil {
		return nil
	}
	return &orderer.Observed{
		Endpoint: e.Name, At: load.Report.At, Ready: load.Ready, Role: load.Role,
		ShuttingDown: load.Leaving || o.s.leaving(e.Name),
	}
}

// give sends orders and takes in their results.
func (o *orders) give(ctx context.Context, list []orderer.Order) {
	results := make([]orderer.Result, len(list))
	var g conc.WaitGroup
	for i, ord := range list {
		g.Go(func() { results[i] = o.send(ctx, ord) })
	}
	g.Wait()
	for i, ord := range list {
		o.s.log.Info().Str("endpoint", ord.Endpoint).Str("kind", string(ord.Kind)).
			Str("model", ord.Placement.Model).Str("version", ord.Placement.Version).
			Uint64("fence", ord.FencingToken).Int("result", int(results[i])).Msg("order: sent")
		if o.core.Finish(o.s.clock.Now(), ord, results[i]) {
			o.s.leases.fenced()
		}
	}
}

// send sends one order, unless its time has passed.
func (o *orders) send(ctx context.Context, ord orderer.Order) orderer.Result {
	e, _, ok := o.s.lookup(ord.Endpoint)
	if !ok || o.s.clock.Now().After(ord.SendDeadline) {
		return orderer.ResultFailed
	}
	ctx, cancel := context.WithTimeout(ctx, ord.Timeout)
	defer cancel()
	err := o.s.engines.Order(ctx, e.Addr, generator.Order{
		ID: ord.ID, Kind: string(ord.Kind), Placement: ord.Placement,
		Role: cataloger.Role(ord.Role), Fence: ord.FencingToken,
	})
	switch {
	case err == nil:
		return orderer.ResultDone
	case errors.Is(err, generator.ErrStaleFence):
		return orderer.ResultFenced
	case errors.Is(err, requester.ErrNotSent), errors.Is(err, generator.ErrRefused):
		return orderer.ResultFailed
	}
	return orderer.ResultUnknown
}

// termOf returns the term of the lease for status, zero if it is not held.
func (s *Server) termOf() leaser.Term {
	t, held := s.leases.term()
	if !held {
		return leaser.Term{}
	}
	return t
}
