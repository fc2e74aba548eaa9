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

// Intervals of the periodic work for owned endpoints.
const (
	loadPollInterval   = 500 * time.Millisecond
	sequenceListPeriod = 10 // Every tenth load report is read with its sequences.
	ownerTickInterval  = 20 * time.Millisecond
	broadcastInterval  = 5 * time.Minute // After which an unchanged status is broadcast again.
)

// tickOwners ticks the admission owners until ctx ends.
func (s *Server) tickOwners(ctx context.Context) {
	for s.clock.Sleep(ctx, ownerTickInterval) == nil {
		s.owners.tick()
	}
}

// pollLoads reads the load reports of the owned endpoints until ctx ends.
func (s *Server) pollLoads(ctx context.Context) {
	for n := 0; s.clock.Sleep(ctx, loadPollInterval) == nil; n++ {
		var g conc.WaitGroup
		cat := s.catalog.Load()
		for _, name := range s.polledEndpoints() {
			if e, ok := cat.endpoints[name]; ok {
				g.Go(func() { s.pollLoad(ctx, e, n%sequenceListPeriod == 0) })
			}
		}
		g.Wait()
	}
}

// pollLoad reads the load report of one endpoint, with its sequences if
// listSequences is set, and passes it to the admission owner and the routers.
func (s *Server) pollLoad(ctx context.Context, e cataloger.Endpoint, listSequences bool) {
	load, err := s.engines.Load(ctx, e.Addr, s.clock.Now(), listSequences)
	if err != nil {
		s.log.Debug().Err(err).Str("endpoint", e.Name).Msg("load: reading the load report failed")
		return
	}
	s.countPreemptions(e.Name, load.Report.Preemptions)
	if e.Kind == cataloger.KindEngine {
		s.owners.observeLoad(e.Name, load.Report)
	}
	s.applyEndpointStatus(router.EndpointStatus{Endpoint: e.Name, BootID: load.BootID, ShuttingDown: load.ShuttingDown, Ready: load.Ready})
}

// applyEndpointStatus processes an endpoint status from a load report that this
// daemon has read. It broadcasts the status to the other daemons if it differs from
// the last one or broadcastInterval has passed.
func (s *Server) applyEndpointStatus(status router.EndpointStatus) {
	s.eachRouter(func(r *router.Router) { r.Observe(status) })
	due, restarted := s.broadcastDue(status)
	if restarted {
		s.owners.drop(status.Endpoint) // The permits ended with the previous process of the endpoint.
	}
	if !due {
		return
	}
	if status.ShuttingDown {
		s.owners.stopAdmission(status.Endpoint)
	}
	s.broadcast(status)
}

// broadcast sends an endpoint status to all other daemons.
func (s *Server) broadcast(status router.EndpointStatus) {
	for _, m := range s.members.others() {
		s.spawn(func() {
			ctx, cancel := context.WithTimeout(s.ctx, shortCallTimeout)
			defer cancel()
			_ = s.peerClient.SendEndpointStatus(ctx, m.Addr, status) // Repeated after broadcastInterval.
		})
	}
}

// broadcastDue reports whether a status must be broadcast, and whether the endpoint
// has restarted since the last broadcast.
func (s *Server) broadcastDue(current router.EndpointStatus) (due, restarted bool) {
	s.reportMu.Lock()
	defer s.reportMu.Unlock()
	now := s.clock.Now()
	last := s.lastBroadcasts[current.Endpoint]
	same := last.status.BootID == current.BootID && last.status.ShuttingDown == current.ShuttingDown &&
		slices.Equal(last.status.Ready, current.Ready)
	if same && now.Before(last.resendAt) {
		return false, false
	}
	s.lastBroadcasts[current.Endpoint] = sentStatus{status: current, resendAt: now.Add(broadcastInterval)}
	return true, last.status.BootID != "" && last.status.BootID != current.BootID
}

// sentStatus is the last status of an endpoint that was broadcast.
type sentStatus struct {
	status   router.EndpointStatus
	resendAt time.Time
}

// countPreemptions adds the preemptions since the last report to the metric. The
// first report of an endpoint only sets the base, and so does one with a lower
// total, which follows a restart.
func (s *Server) countPreemptions(endpoint string, total int) {
	s.reportMu.Lock()
	defer s.reportMu.Unlock()
	last, known := s.lastPreemptions[endpoint]
	s.lastPreemptions[endpoint] = total
	if known && total > last {
		s.metrics.preemptions.Add(int64(total - last))
	}
}

// markShuttingDown stops new work at an endpoint that is shutting down, for example
// because it refused a request for that reason.
func (s *Server) markShuttingDown(name string) {
	s.eachRouter(func(r *router.Router) { r.MarkShuttingDown(name, "") })
	s.owners.stopAdmission(name)
}

// HandleEndpointStatus handles an endpoint status that another daemon has broadcast.
func (s *Server) HandleEndpointStatus(status router.EndpointStatus) {
	if status.ShuttingDown {
		s.eachRouter(func(r *router.Router) { r.MarkShuttingDown(status.Endpoint, status.BootID) })
		s.owners.stopAdmission(status.Endpoint)
		return
	}
	s.eachRouter(func(r *router.Router) { r.Observe(status) })
}

// cancelOrphan cancels a generation whose permit was held by a dead daemon and was
// not taken over.
func (s *Server) cancelOrphan(endpoint string, id admitter.PermitID) {
	e, ok := s.catalog.Load().endpoints[endpoint]
	if !ok {
		return
	}
	s.metrics.cancelledOrphans.Add(1)
	s.spawn(func() {
		ctx, cancel := context.WithTimeout(s.ctx, shortCallTimeout)
		defer cancel()
		s.cancelGeneration(ctx, e, id)
	})
}
