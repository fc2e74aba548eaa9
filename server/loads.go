package server

import (
	"context"
	"slices"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"

	"github.com/sourcegraph/conc"
)

// Periods of the work for owned endpoints.
const (
	loadInterval = 500 * time.Millisecond
	listEvery    = 10 // Load reports of which one lists the sequences.
	tickInterval = 20 * time.Millisecond
	newsInterval = 5 * time.Minute
)

// tickOwners lets the owners act until ctx ends.
func (s *Server) tickOwners(ctx context.Context) {
	for s.clock.Sleep(ctx, tickInterval) == nil {
		s.owners.tick()
	}
}

// pollLoads reads the load of the owned endpoints until ctx ends.
func (s *Server) pollLoads(ctx context.Context) {
	for n := 0; s.clock.Sleep(ctx, loadInterval) == nil; n++ {
		var g conc.WaitGroup
		cat := s.catalog.Load()
		for _, name := range s.polled() {
			if e, ok := cat.endpoints[name]; ok {
				g.Go(func() { s.pollLoad(ctx, e, n%listEvery == 0) })
			}
		}
		g.Wait()
	}
}

// pollLoad reads the load of one endpoint, with its sequences if list is set, and
// passes it on.
func (s *Server) pollLoad(ctx context.Context, e cataloger.Endpoint, list bool) {
	load, err := s.engines.Load(ctx, e.Addr, s.clock.Now(), list)
	if err != nil {
		s.log.Debug().Err(err).Str("endpoint", e.Name).Msg("load: not read")
		return
	}
	s.countPreemptions(e.Name, load.Report.Preemptions)
	if e.Kind == cataloger.KindEngine {
		s.owners.observe(e.Name, load.Report)
	}
	s.learn(router.Report{Endpoint: e.Name, BootID: load.BootID, Leaving: load.Leaving, Ready: load.Ready})
}

// learn takes first-hand news of an endpoint, and tells the other daemons if it
// differs from the last or is due again.
func (s *Server) learn(rep router.Report) {
	s.router(func(r *router.Router) { r.Observe(rep) })
	due, restarted := s.newsDue(rep)
	if restarted {
		s.owners.drop(rep.Endpoint) // Its permits ended with the old process.
	}
	if !due {
		return
	}
	if rep.Leaving {
		s.owners.leave(rep.Endpoint)
	}
	s.broadcast(rep)
}

// broadcast tells the other daemons what is known of an endpoint.
func (s *Server) broadcast(rep router.Report) {
	for _, m := range s.members.others() {
		s.spawn(func() {
			ctx, cancel := context.WithTimeout(s.ctx, shortTimeout)
			defer cancel()
			_ = s.msg.SendNews(ctx, m.Addr, rep) // Sent again after newsInterval.
		})
	}
}

// newsDue reports whether news is to be sent, and whether the endpoint has
// restarted since the last.
func (s *Server) newsDue(rep router.Report) (due, restarted bool) {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	now := s.clock.Now()
	last := s.lastNews[rep.Endpoint]
	same := last.report.BootID == rep.BootID && last.report.Leaving == rep.Leaving &&
		slices.Equal(last.report.Ready, rep.Ready)
	if same && now.Before(last.again) {
		return false, false
	}
	s.lastNews[rep.Endpoint] = sentNews{report: rep, again: now.Add(newsInterval)}
	return true, last.report.BootID != "" && last.report.BootID != rep.BootID
}

// sentNews is what the other daemons were told of an endpoint.
type sentNews struct {
	report router.Report
	again  time.Time
}

// countPreemptions adds the preemptions since the last report.
func (s *Server) countPreemptions(endpoint string, total int) {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	last, known := s.lastPreemptions[endpoint]
	s.lastPreemptions[endpoint] = total
	if known && total > last {
		s.metrics.preemptions.Add(int64(total - last))
	}
}

// endpointLeaves stops new work at an endpoint that refused a request because
// it is leaving.
func (s *Server) endpointLeaves(name string) {
	s.router(func(r *router.Router) { r.MarkLeaving(name, "") })
	s.owners.leave(name)
}

// HandleNews takes news of an endpoint from another daemon.
func (s *Server) HandleNews(rep router.Report) {
	if rep.Leaving {
		s.router(func(r *router.Router) { r.MarkLeaving(rep.Endpoint, rep.BootID) })
		s.owners.leave(rep.Endpoint)
		return
	}
	s.router(func(r *router.Router) { r.Observe(rep) })
}

// cancelOrphan cancels a generation whose holder died.
func (s *Server) cancelOrphan(endpoint string, id admitter.PermitID) {
	e, ok := s.catalog.Load().endpoints[endpoint]
	if !ok {
		return
	}
	s.metrics.cancelled.Add(1)
	s.spawn(func() {
		ctx, cancel := context.WithTimeout(s.ctx, shortTimeout)
		defer cancel()
		s.cancelAt(ctx, e, id)
	})
}
