package server

import (
	"context"
	"time"

	"monsoonspar.example/state/asserter"

	"github.com/pkg/errors"
)

// stopTimeout bounds the work after the last request has ended.
const stopTimeout = 5 * time.Second

// Stop stops the daemon without cutting off a request: it hands its endpoints
// over, goes on accepting through the balancer's lag, and waits for the last
// answer.
func (s *Server) Stop() error {
	s.stopping.Store(true)
	s.log.Info().Dur("balancer_lag", s.cfg.Drain.BalancerLag).Msg("server: draining")
	s.members.drain()
	_ = s.clock.Sleep(context.Background(), s.cfg.Drain.BalancerLag) // A background context never ends.
	s.closing.Store(true)
	err := s.callers.Shutdown(context.Background())
	s.waitForPermits()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.leases.release(ctx)
	s.members.leave(ctx)
	s.close(ctx)
	return errors.Wrap(err, "stop")
}

// waitForPermits waits until the answers that callers may resume have ended.
func (s *Server) waitForPermits() {
	for s.permits.count() > 0 {
		if s.clock.Sleep(s.ctx, ownershipInterval) != nil {
			return
		}
	}
	asserter.That(s.permits.count() == 0, asserter.NothingCutOff, "a permit is held at the end of a stop")
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
