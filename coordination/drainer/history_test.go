package drainer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"monsoonspar.example/state/seeder"
)

// step is the time by which a simulation advances at once.
const step = 200 * time.Millisecond

// shutdownSimulation simulates the shutdown of a daemon that serves requests behind
// a load balancer.
type shutdownSimulation struct {
	drainer          *Drainer
	cfg              Settings
	rand             *rand.Rand
	now              time.Time
	signalAt         time.Time
	laterSignals     []time.Time // Times of the signals after the first.
	trafficEnd       time.Time   // When the load balancer stops sending requests.
	requestEnds      []time.Time // Ends of the requests in progress.
	lastEnd          time.Time
	lastArrival      time.Time
	owned            int
	peersUnreachable bool
	platformDown     bool // The platform is unavailable.
	pendingRecords   int
	listening        bool
	rejecting        bool
	handedOver       bool
	announced        bool
	exitedAt         time.Time
	failure          error
}

func newShutdownSimulation(t *rapid.T, disabled disabledRules) *shutdownSimulation {
	cfg := DefaultSettings()
	cfg.disabled = disabled
	begin := time.Unix(1000, 0)
	s := &shutdownSimulation{
		drainer: New(cfg), cfg: cfg, now: begin, listening: true,
		rand:             rand.New(rand.NewPCG(uint64(seeder.DrawUniform(t, "seed", 1<<20)), 1)),
		owned:            seeder.DrawUniform(t, "owned", 4),
		peersUnreachable: rapid.Bool().Draw(t, "peers unreachable"),
		platformDown:     rapid.Bool().Draw(t, "outage"),
	}
	s.signalAt = begin.Add(time.Duration(seeder.DrawUniform(t, "signal", 100)) * step)
	// The load balancer may take up to twice the configured lag.
	s.trafficEnd = s.signalAt.Add(time.Duration(seeder.DrawUniform(t, "notices", int(2*cfg.BalancerLag/step))) * step)
	for range seeder.DrawUniform(t, "again", 3) {
		s.laterSignals = append(s.laterSignals, s.signalAt.Add(time.Duration(1+seeder.DrawUniform(t, "gap", 300))*step))
	}
	return s
}

func (s *shutdownSimulation) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf(format, args...)
	}
}

// startRequests adds requests until the load balancer stops sending them, at
// intervals shorter than the time that counts as idle.
func (s *shutdownSimulation) startRequests() {
	due := s.rand.IntN(3) == 0 || s.now.Sub(s.lastArrival) > s.cfg.IdlePeriod/2
	if !s.now.Before(s.trafficEnd) || !due {
		return
	}
	if !s.listening {
		s.fail("a connection is refused at %v after the signal", s.now.Sub(s.signalAt))
		return
	}
	s.lastArrival = s.now
	if s.rejecting {
		return
	}
	length := time.Duration(s.rand.IntN(20)) * step
	if s.rand.IntN(20) == 0 {
		length *= 50
	}
	end := s.now.Add(length)
	s.requestEnds = append(s.requestEnds, end)
	if end.After(s.lastEnd) {
		s.lastEnd = end
	}
	if s.rand.IntN(4) == 0 {
		s.pendingRecords++
	}
}

func (s *shutdownSimulation) finishRequests() {
	kept := s.requestEnds[:0]
	for _, end := range s.requestEnds {
		if s.now.Before(end) {
			kept = append(kept, end)
		}
	}
	s.requestEnds = kept
	if s.handedOver && !s.peersUnreachable && s.owned > 0 && s.rand.IntN(3) == 0 {
		s.owned--
	}
	if !s.platformDown && s.pendingRecords > 0 && s.rand.IntN(2) == 0 {
		s.pendingRecords--
	}
}

func (s *shutdownSimulation) apply(actions []Action) {
	for _, action := range actions {
		switch action {
		case MarkNotReady:
		case HandOver:
			s.handedOver = true
		case RejectRequests:
			s.rejecting = true
		case CloseListener:
			s.listening = false
		case AnnounceShutdown:
			s.announced = true
			s.checkAnnouncement()
		case Exit:
			s.exitedAt = s.now
			s.checkExit()
		}
	}
}

func (s *shutdownSimulation) checkAnnouncement() {
	if s.owned > 0 && !s.peersUnreachable && s.now.Sub(s.signalAt) < s.cfg.HandOverTimeout {
		s.fail("shutdown announced while %d endpoints are owned", s.owned)
	}
}

func (s *shutdownSimulation) checkExit() {
	switch {
	case len(s.requestEnds) > 0:
		s.fail("exit interrupts %d requests", len(s.requestEnds))
	case !s.handedOver || !s.announced:
		s.fail("exit without a hand-over or an announcement")
	case s.listening:
		s.fail("exit with the listener open")
	}
}

// exitDeadline returns the time by which the daemon must have exited.
func (s *shutdownSimulation) exitDeadline() time.Time {
	last := s.signalAt.Add(s.cfg.BalancerLag + s.cfg.IdlePeriod)
	for _, at := range []time.Time{s.lastEnd, s.trafficEnd.Add(s.cfg.IdlePeriod), s.signalAt.Add(s.cfg.HandOverTimeout)} {
		if at.After(last) {
			last = at
		}
	}
	return last.Add(s.cfg.RecordTimeout + s.cfg.GossipTime + 3*step)
}

func (s *shutdownSimulation) advance() {
	s.now = s.now.Add(step)
	s.finishRequests()
	s.startRequests()
	if !s.drainer.Ready() != !s.now.Before(s.signalAt.Add(step)) && s.now.Sub(s.signalAt) > step {
		s.fail("ready during a shutdown")
	}
	if s.now.Equal(s.signalAt.Add(step)) {
		s.apply(s.drainer.Signal(s.now))
	}
	for _, at := range s.laterSignals {
		if s.now.Equal(at) && s.exitedAt.IsZero() {
			s.apply(s.drainer.Signal(s.now))
		}
	}
	s.apply(s.drainer.Tick(s.now, Status{Requests: len(s.requestEnds), LastArrival: s.lastArrival, Owned: s.owned, UnrecordedClaims: s.pendingRecords}))
}

func simulateDaemonShutdown(t *rapid.T, disabled disabledRules) (err error) {
	defer func() {
		if v, ok := recover().(error); ok {
			err = v
		}
	}()
	s := newShutdownSimulation(t, disabled)
	for s.exitedAt.IsZero() || s.now.Before(s.trafficEnd) {
		s.advance()
		if s.failure != nil {
			return s.failure
		}
		if s.exitedAt.IsZero() && s.now.After(s.exitDeadline()) {
			return fmt.Errorf("no exit %v after the signal, in phase %s", s.now.Sub(s.signalAt), s.drainer.Phase())
		}
	}
	return nil
}

// simulateEndpointShutdowns applies random updates about one endpoint that
// restarts now and then. It returns an error if the endpoint accepts work after
// the first notice that its current boot is shutting down, or if a late update
// about an earlier boot keeps a new boot from accepting work.
func simulateEndpointShutdowns(t *rapid.T, disabled disabledTrackerRules) error {
	tracker := NewShutdownTracker()
	tracker.disabled = disabled
	now := time.Unix(1000, 0)
	bootNumber, shuttingDown := 0, false
	bootID := func(n int) string { return fmt.Sprintf("boot-%d", n) }
	tracker.Observe("e", bootID(bootNumber))
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		now = now.Add(step)
		switch seeder.DrawUniform(t, "update", 6) {
		case 0, 1: // A load report, which may lag behind other updates.
			tracker.Observe("e", bootID(bootNumber))
		case 2:
			first := tracker.MarkShuttingDown(now, "e", bootID(bootNumber), time.Minute)
			if first == shuttingDown {
				return fmt.Errorf("first notice for boot %d: %v", bootNumber, first)
			}
			shuttingDown = true
		case 3: // The VM list lags by one boot.
			if bootNumber > 0 {
				tracker.MarkShuttingDown(now, "e", bootID(bootNumber-1), 0)
			}
		case 4:
			bootNumber++
			shuttingDown = false
			tracker.Observe("e", bootID(bootNumber))
		case 5:
			if tracker.AcceptsNewWork("e") == shuttingDown {
				return fmt.Errorf("boot %d, shutting down %v, accepts work %v", bootNumber, shuttingDown, shuttingDown)
			}
		}
	}
	return nil
}
