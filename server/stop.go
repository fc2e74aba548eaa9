package server

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"monsoonspar.example/coordination/drainer"
	"monsoonspar.example/state/asserter"

	"github.com/pkg/errors"
)

// Timeouts and intervals of a stop.
const (
	closeTimeout     = 5 * time.Second // Bounds the shutdown of the background components.
	stopTickInterval = 50 * time.Millisecond
	maxIdleTime      = 2 * time.Second // Upper bound of the time without arrivals before the listener is closed.
)

// inFlightWork counts the requests and claims that a daemon must finish before it
// may exit. It is safe for concurrent use.
type inFlightWork struct {
	requests         atomic.Int64
	unrecordedClaims atomic.Int64 // Claims whose outcome is not recorded yet.
	lastArrivalNS    atomic.Int64 // Unix time of the last request arrival, in nanoseconds; zero if there was none.
}

// beginRequest counts a request that arrived at now.
func (w *inFlightWork) beginRequest(now time.Time) {
	w.requests.Add(1)
	w.lastArrivalNS.Store(now.UnixNano())
}

// endRequest counts the end of a request.
func (w *inFlightWork) endRequest() { w.requests.Add(-1) }

// lastArrival returns the time of the last request arrival, or the zero time.
func (w *inFlightWork) lastArrival() time.Time {
	ns := w.lastArrivalNS.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Stop stops the daemon without interrupting requests. It hands its endpoints and
// lease over, continues to accept requests for the lag of the load balancer, and
// waits for the last answer.
func (s *Server) Stop() error {
	cfg := drainer.DefaultSettings()
	cfg.BalancerLag = s.cfg.Drain.BalancerLag
	cfg.IdlePeriod = min(cfg.BalancerLag, maxIdleTime)
	d := drainer.New(cfg)
	s.log.Info().Dur("balancer_lag", cfg.BalancerLag).Msg("server: draining")
	actions := d.Signal(s.clock.Now())
	var err error
	for d.Phase() != drainer.PhaseExited {
		for _, a := range actions {
			if actionErr := s.doStopAction(a); actionErr != nil {
				err = actionErr
			}
		}
		_ = s.clock.Sleep(context.Background(), stopTickInterval) // Sleep fails only if its context ends.
		actions = d.Tick(s.clock.Now(), s.drainStatus())
	}
	asserter.That(s.inFlight.requests.Load() == 0, asserter.NoRequestInterrupted,
		fmt.Sprintf("%d requests under way at the end of a stop", s.inFlight.requests.Load()))
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.close(ctx)
	return errors.Wrap(err, "stop")
}

// doStopAction carries out one action of a stop.
func (s *Server) doStopAction(a drainer.Action) error {
	s.log.Debug().Str("action", string(a)).Msg("server: stopping")
	switch a {
	case drainer.MarkNotReady:
		s.stopping.Store(true)
	case drainer.HandOver:
		s.members.setDraining()
		s.spawn(func() {
			ctx, cancel := context.WithTimeout(s.ctx, drainer.DefaultSettings().HandOverTimeout)
			defer cancel()
			// The next holder waits for the orders of this one only if the lease expires.
			if s.orders.awaitOutstanding(ctx) {
				s.lease.release(ctx)
			}
		})
	case drainer.RejectRequests:
		s.rejecting.Store(true)
	case drainer.CloseListener:
		s.rejecting.Store(true)
		return s.callerServer.Shutdown(context.Background())
	case drainer.AnnounceShutdown:
		ctx, cancel := context.WithTimeout(context.Background(), shortCallTimeout)
		defer cancel()
		s.members.leave(ctx)
	case drainer.Exit:
	}
	return nil
}

// drainStatus returns what the daemon must still finish or hand over.
func (s *Server) drainStatus() drainer.Status {
	st := drainer.Status{
		// After a disconnect a permit is held for the grace time, in which the
		// caller may resume the stream.
		Requests:         max(int(s.inFlight.requests.Load()), s.permits.count()),
		LastArrival:      s.inFlight.lastArrival(),
		Owned:            len(s.owners.owned()),
		UnrecordedClaims: int(s.inFlight.unrecordedClaims.Load()),
	}
	if _, held := s.lease.term(); held {
		st.Owned++
	}
	return st
}

// Close stops the daemon at once. Requests in flight are interrupted.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.stopping.Store(true)
	s.rejecting.Store(true)
	_ = s.callerListener.Close()
	s.close(ctx)
}

// close shuts down the background components and waits for the goroutines of the
// daemon.
func (s *Server) close(ctx context.Context) {
	s.cancel()
	s.admin.close()
	s.node.Close()
	s.group.Wait()
	s.tracing.close(ctx)
}
