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

// Times of a stop.
const (
	stopTimeout  = 5 * time.Second // Bound on the work after the last request has ended.
	stopInterval = 50 * time.Millisecond
	maxQuiet     = 2 * time.Second
)

// work counts what a daemon has under way. It is safe for concurrent use.
type work struct {
	requests atomic.Int64
	records  atomic.Int64 // Claims whose outcome is not recorded.
	arrived  atomic.Int64 // Unix time of the last arrival, in nanoseconds.
}

// begin counts a request.
func (w *work) begin(now time.Time) {
	w.requests.Add(1)
	w.arrived.Store(now.UnixNano())
}

// end counts the end of a request.
func (w *work) end() { w.requests.Add(-1) }

// lastArrival returns the time of the last arrival, or the zero time.
func (w *work) lastArrival() time.Time {
	ns := w.arrived.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Stop stops the daemon without cutting off a request: it hands its endpoints
// over, goes on accepting through the balancer's lag, and waits for the last
// answer.
func (s *Server) Stop() error {
	cfg := drainer.DefaultSettings()
	cfg.Lag = s.cfg.Drain.BalancerLag
	cfg.Quiet = min(cfg.Lag, maxQuiet)
	d := drainer.New(cfg)
	s.log.Info().Dur("balancer_lag", cfg.Lag).Msg("server: draining")
	actions := d.Signal(s.clock.Now())
	var err error
	for d.Phase() != drainer.PhaseExited {
		for _, a := range actions {
			if failed := s.doStop(a); failed != nil {
				err = failed
			}
		}
		_ = s.clock.Sleep(context.Background(), stopInterval) // A background context never ends.
		actions = d.Tick(s.clock.Now(), s.workStatus())
	}
	asserter.That(s.work.requests.Load() == 0, asserter.NothingCutOff,
		fmt.Sprintf("%d requests under way at the end of a stop", s.work.requests.Load()))
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.close(ctx)
	return errors.Wrap(err, "stop")
}

// doStop carries out one action of a stop.
func (s *Server) doStop(a drainer.Action) error {
	s.log.Debug().Str("action", string(a)).Msg("server: stopping")
	switch a {
	case drainer.MarkNotReady:
		s.stopping.Store(true)
	case drainer.HandOver:
		s.members.drain()
		s.spawn(func() {
			ctx, cancel := context.WithTimeout(s.ctx, drainer.DefaultSettings().OwnedTimeout)
			defer cancel()
			s.orders.wait()
			s.leases.release(ctx)
		})
	case drainer.RefuseArrivals:
		s.closing.Store(true)
	case drainer.CloseListener:
		s.closing.Store(true)
		return s.callers.Shutdown(context.Background())
	case drainer.SayGoodbye:
		ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
		defer cancel()
		s.members.leave(ctx)
	case drainer.Exit:
	}
	return nil
}

// workStatus returns what is under way.
func (s *Server) workStatus() drainer.Status {
	st := drainer.Status{
		// A permit outlives its request while the caller may still resume.
		Requests: max(int(s.work.requests.Load()), s.permits.count()),
		Arrived:  s.work.lastArrival(),
		Owned:    len(s.owners.owned()),
		Records:  int(s.work.records.Load()),
	}
	if _, held := s.leases.term(); held {
		st.Owned++
	}
	return st
}

// Close ends everything at once. Requests that are being served are cut off.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.stopping.Store(true)
	s.closing.Store(true)
	_ = s.callerListener.Close()
	s.close(ctx)
}

// close ends the parts that run in the background.
func (s *Server) close(ctx context.Context) {
	s.cancel()
	s.admin.close()
	s.node.Close()
	s.group.Wait()
	s.tracing.close(ctx)
}
