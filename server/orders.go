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

// orderInterval is the interval at which the manifest is compared with the reports
// of the engines.
const orderInterval = 5 * time.Second

// orderRunner sends the orders that bring the engines of this daemon's failure
// domain to the state in the manifest, while the daemon holds the lease.
type orderRunner struct {
	s  *Server
	mu sync.Mutex // Held while orders are planned and outstanding.

	core           *orderer.Orderer
	loadsPerMinute float64 // Rate limit that the core was created with.
}

// newOrderRunner returns an orderRunner without outstanding orders.
func newOrderRunner(s *Server) *orderRunner { return &orderRunner{s: s} }

// run compares the engines with the manifest and sends orders until ctx ends.
func (o *orderRunner) run(ctx context.Context) {
	for o.s.clock.Sleep(ctx, orderInterval) == nil {
		if _, held := o.s.lease.term(); !held || !o.updateCore() {
			continue
		}
		view := o.readView(ctx)
		o.planAndSend(ctx, view)
	}
}

// planAndSend sends the orders that a view requires, unless the lease is not held
// or the daemon is stopping.
func (o *orderRunner) planAndSend(ctx context.Context, view orderer.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	term, held := o.s.lease.term()
	if !held || o.s.stopping.Load() {
		return
	}
	o.sendOrders(ctx, o.core.Plan(o.s.clock.Now(), term, view))
}

// awaitOutstanding waits until no order can still arrive, also none whose response was
// lost. Once the daemon is stopping, no others are sent. It reports false if ctx ends first.
func (o *orderRunner) awaitOutstanding(ctx context.Context) bool {
	for !o.mayRelease() {
		if o.s.clock.Sleep(ctx, ownershipInterval) != nil {
			return false
		}
	}
	return true
}

// mayRelease reports whether the lease may be released.
func (o *orderRunner) mayRelease() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core == nil || o.core.MayRelease(o.s.clock.Now())
}

// updateCore replaces the core if this failure domain's share of the weight store's
// load rate has changed and no order is outstanding. It reports whether there is a
// manifest.
func (o *orderRunner) updateCore() bool {
	m := o.s.Manifest()
	if m == nil {
		return false
	}
	rate := float64(m.Defaults.ModelLoadsPerMinute) / float64(max(len(m.Domains), 1))
	if o.core != nil && (o.loadsPerMinute == rate || o.core.Outstanding(o.s.clock.Now()) > 0) {
		return true
	}
	cfg := orderer.DefaultSettings()
	cfg.LoadsPerMinute = rate
	o.loadsPerMinute, o.core = rate, orderer.New(cfg)
	return true
}

// readView reads the load reports of all engines of the failure domain.
func (o *orderRunner) readView(ctx context.Context) orderer.View {
	var view orderer.View
	m := o.s.Manifest()
	if m == nil {
		return view
	}
	view.Traffic = routablePlacements(m)
	var engines []cataloger.Endpoint
	for _, e := range m.Endpoints {
		if e.Kind == cataloger.KindEngine && e.Domain == o.s.cfg.Daemon.Domain {
			engines = append(engines, e)
			view.Desired = append(view.Desired, desiredFor(e))
		}
	}
	observed := make([]*orderer.Observed, len(engines))
	var g conc.WaitGroup
	for i, e := range engines {
		g.Go(func() { observed[i] = o.observeEngine(ctx, e) })
	}
	g.Wait()
	for _, ob := range observed {
		if ob != nil {
			view.Observed = append(view.Observed, *ob)
		}
	}
	return view
}

// desiredFor returns the state that the manifest declares for an engine. An engine
// that has not been assigned a role is mixed, so the mixed role is left empty.
func desiredFor(e cataloger.Endpoint) orderer.Desired {
	d := orderer.Desired{Endpoint: e.Name, ChecksFence: e.ChecksFence, Placements: e.Models}
	if e.Role != cataloger.RoleMixed {
		d.Role = string(e.Role)
	}
	return d
}

// routablePlacements returns the placements that callers may request.
func routablePlacements(m *cataloger.Manifest) []cataloger.Placement {
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

// observeEngine reads the load report of one engine, and returns nil if that fails.
func (o *orderRunner) observeEngine(ctx context.Context, e cataloger.Endpoint) *orderer.Observed {
	load, err := o.s.engines.Load(ctx, e.Addr, o.s.clock.Now(), false)
	if err != nil {
		return nil
	}
	return &orderer.Observed{
		Endpoint: e.Name, At: load.Report.At, Ready: load.Ready, Role: load.Role,
		ShuttingDown: load.ShuttingDown || o.s.isShuttingDown(e.Name),
	}
}

// sendOrders sends orders in parallel and passes their results to the core.
func (o *orderRunner) sendOrders(ctx context.Context, pending []orderer.Order) {
	results := make([]orderer.Result, len(pending))
	var g conc.WaitGroup
	for i, ord := range pending {
		g.Go(func() { results[i] = o.sendOrder(ctx, ord) })
	}
	g.Wait()
	for i, ord := range pending {
		o.s.log.Info().Str("endpoint", ord.Endpoint).Str("kind", string(ord.Kind)).
			Str("model", ord.Placement.Model).Str("version", ord.Placement.Version).
			Uint64("fence", ord.FencingToken).Int("result", int(results[i])).Msg("order: finished")
		if o.core.Finish(o.s.clock.Now(), ord, results[i]) {
			o.s.lease.markFenced()
		}
	}
}

// sendOrder sends one order, unless its send deadline has passed.
func (o *orderRunner) sendOrder(ctx context.Context, ord orderer.Order) orderer.Result {
	e, _, ok := o.s.lookupEndpoint(ord.Endpoint)
	if !ok || o.s.clock.Now().After(ord.SendDeadline) {
		return orderer.ResultFailed
	}
	ctx, cancel := context.WithTimeout(ctx, ord.Timeout)
	defer cancel()
	err := o.s.engines.Order(ctx, e.Addr, generator.Order{
		ID: ord.ID, Kind: string(ord.Kind), Placement: ord.Placement,
		Role: cataloger.Role(ord.Role), FencingToken: ord.FencingToken,
	})
	switch {
	case err == nil:
		return orderer.ResultDone
	case errors.Is(err, generator.ErrStaleFencingToken):
		return orderer.ResultFenced
	case errors.Is(err, requester.ErrNotSent), errors.Is(err, generator.ErrRefused):
		return orderer.ResultFailed
	}
	return orderer.ResultUnknown
}

// leaseTerm returns the current term of the lease, and the zero Term if this daemon
// does not hold it.
func (s *Server) leaseTerm() leaser.Term {
	t, held := s.lease.term()
	if !held {
		return leaser.Term{}
	}
	return t
}
