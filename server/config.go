package server

import (
	"context"
	"sync"
	"time"

	"monsoonspar.example/coordination/configurer"
	"monsoonspar.example/coordination/prober"
	"monsoonspar.example/protocol/publisher"

	"github.com/pkg/errors"
)

// configTickInterval is the interval between ticks of a configurer.Core.
const configTickInterval = 250 * time.Millisecond

// configRunner runs the core that distributes the manifest: it passes events to the
// core and carries out its actions, such as messages, reads and watches. The core
// follows the head of the manifest, an object on the platform that holds the
// generation of the manifest and the digests of its parts.
type configRunner struct {
	s *Server

	mu        sync.Mutex
	core      *configurer.Core
	stopWatch context.CancelFunc // Stops the current watch.
	watchID   uint64
}

// newConfigRunner returns a configRunner without a manifest.
func newConfigRunner(s *Server) *configRunner {
	cfg := configurer.DefaultConfig()
	cfg.Name = s.cfg.Daemon.Name
	cfg.Domain = s.cfg.Daemon.Domain
	cfg.Deployment = s.cfg.Platform.Deployment
	return &configRunner{s: s, core: configurer.New(cfg, s.newRand())}
}

// run feeds ticks and membership changes to the core until ctx ends.
func (c *configRunner) run(ctx context.Context) {
	var lastVersion uint64
	for c.s.clock.Sleep(ctx, configTickInterval) == nil {
		if n := c.s.members.viewVersion(); n != lastVersion {
			lastVersion = n
			c.handle(ctx, configurer.MembersChanged{Members: c.members()})
		}
		c.handle(ctx, configurer.Tick{})
	}
}

// members returns the other live daemons.
func (c *configRunner) members() []configurer.Member {
	var ms []configurer.Member
	for _, m := range c.s.members.others() {
		ms = append(ms, configurer.Member{Name: m.Name, Domain: m.Domain})
	}
	return ms
}

// handle passes an event to the core and carries out its actions.
func (c *configRunner) handle(ctx context.Context, ev configurer.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.core.Handle(c.s.clock.Now(), ev) {
		c.doAction(ctx, a)
	}
}

// doAction carries out one action. Reads and messages run in the background.
func (c *configRunner) doAction(ctx context.Context, a configurer.Action) {
	switch a := a.(type) {
	case configurer.Install:
		c.s.installManifest(a.Manifest)
	case configurer.Reject:
		c.s.log.Error().Err(a.Err).Uint64("generation", uint64(a.Generation)).Msg("config: manifest rejected")
	case configurer.Watch:
		c.startWatch(ctx, a.ID)
	case configurer.StopWatch:
		if a.ID == c.watchID && c.stopWatch != nil {
			c.stopWatch()
		}
	case configurer.ReadHead:
		c.s.spawn(func() { c.readHead(ctx) })
	case configurer.ReadParts:
		c.s.spawn(func() { c.readParts(ctx, a) })
	case configurer.SendAnnouncement:
		c.sendToPeer(ctx, a.To, a)
	case configurer.SendRequest:
		c.sendToPeer(ctx, a.To, a)
	case configurer.SendDelivery:
		c.sendToPeer(ctx, a.To, a)
	}
}

// sendToPeer sends a message to a peer in the background. It may be lost.
func (c *configRunner) sendToPeer(ctx context.Context, to string, a configurer.Action) {
	addr, ok := c.s.members.addr(to)
	if !ok {
		return
	}
	c.s.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
		defer cancel()
		_ = c.s.peerClient.SendConfig(ctx, addr, a) // The core repeats lost messages.
	})
}

// HandleConfig handles a configuration message of a peer.
func (s *Server) HandleConfig(ev configurer.Event) { s.config.handle(s.ctx, ev) }

// HandleGossip handles a membership message of a peer.
func (s *Server) HandleGossip(_ context.Context, msg prober.Message) { s.members.receive(s.ctx, msg) }

// startWatch replaces the current watch by one that follows the head of the
// manifest in the background, until it fails or is stopped.
func (c *configRunner) startWatch(ctx context.Context, id uint64) {
	if c.stopWatch != nil {
		c.stopWatch()
	}
	ctx, c.stopWatch = context.WithCancel(ctx)
	c.watchID = id
	c.s.spawn(func() {
		err := publisher.Watch(ctx, c.s.store, func(h configurer.Head, ok bool) {
			if ok {
				c.handle(c.s.ctx, configurer.HeadReceived{Watch: id, Head: h})
				return
			}
			c.handle(c.s.ctx, configurer.WatchAlive{Watch: id})
		})
		if !errors.Is(err, context.Canceled) {
			c.s.log.Debug().Err(err).Msg("config: watch ended")
		}
		c.handle(c.s.ctx, configurer.WatchFailed{Watch: id})
	})
}

// readHead reads the head of the manifest once.
func (c *configRunner) readHead(ctx context.Context) {
	ctx, span := c.s.tracer.Start(ctx, "platform")
	defer span.End()
	stored, err := publisher.ReadHead(ctx, c.s.store)
	if err != nil {
		c.s.log.Debug().Err(err).Msg("config: reading the manifest head failed")
		return
	}
	c.handle(c.s.ctx, configurer.HeadReceived{Head: stored.Head})
}

// readParts reads parts of a manifest by their digests.
func (c *configRunner) readParts(ctx context.Context, a configurer.ReadParts) {
	ctx, span := c.s.tracer.Start(ctx, "platform")
	defer span.End()
	parts, err := publisher.ReadParts(ctx, c.s.store, a.Digests)
	if err != nil {
		c.s.log.Debug().Err(err).Msg("config: reading manifest parts failed")
		c.handle(c.s.ctx, configurer.ReadPartsFailed{})
		return
	}
	c.handle(c.s.ctx, configurer.PartsRead{Parts: parts})
}
