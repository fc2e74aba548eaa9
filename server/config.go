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

// configTick is the interval at which the core of the configuration acts.
const configTick = 250 * time.Millisecond

// configuration carries the messages and reads of the configuration core.
type configuration struct {
	s *Server

	mu      sync.Mutex
	core    *configurer.Core
	stop    context.CancelFunc // Ends the watch.
	watchID uint64
}

// newConfiguration returns a configuration with no manifest.
func newConfiguration(s *Server) *configuration {
	cfg := configurer.DefaultConfig()
	cfg.Name = s.cfg.Daemon.Name
	cfg.Domain = s.cfg.Daemon.Domain
	cfg.Deployment = s.cfg.Platform.Deployment
	return &configuration{s: s, core: configurer.New(cfg, s.newRand())}
}

// run lets the core act until ctx ends.
func (c *configuration) run(ctx context.Context) {
	var changes uint64
	for c.s.clock.Sleep(ctx, configTick) == nil {
		if n := c.s.members.changes(); n != changes {
			changes = n
			c.handle(ctx, configurer.MembersChanged{Members: c.members()})
		}
		c.handle(ctx, configurer.Tick{})
	}
}

// members returns the other live daemons.
func (c *configuration) members() []configurer.Member {
	var ms []configurer.Member
	for _, m := range c.s.members.others() {
		ms = append(ms, configurer.Member{Name: m.Name, Domain: m.Domain})
	}
	return ms
}

// handle gives an event to the core and carries out its actions.
func (c *configuration) handle(ctx context.Context, ev configurer.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.core.Handle(c.s.clock.Now(), ev) {
		c.do(ctx, a)
	}
}

// do carries out one action. Reads and messages go on in the background.
func (c *configuration) do(ctx context.Context, a configurer.Action) {
	switch a := a.(type) {
	case configurer.Install:
		c.s.install(a.Manifest)
	case configurer.Reject:
		c.s.log.Error().Err(a.Err).Uint64("generation", uint64(a.Generation)).Msg("config: manifest rejected")
	case configurer.Watch:
		c.startWatch(ctx, a.ID)
	case configurer.StopWatch:
		if a.ID == c.watchID && c.stop != nil {
			c.stop()
		}
	case configurer.ReadHead:
		c.s.spawn(func() { c.readHead(ctx) })
	case configurer.ReadParts:
		c.s.spawn(func() { c.readParts(ctx, a) })
	case configurer.SendAnnouncement:
		c.send(ctx, a.To, a)
	case configurer.SendRequest:
		c.send(ctx, a.To, a)
	case configurer.SendDelivery:
		c.send(ctx, a.To, a)
	}
}

// send sends a message to a peer in the background. It may be lost.
func (c *configuration) send(ctx context.Context, to string, a configurer.Action) {
	addr, ok := c.s.members.addr(to)
	if !ok {
		return
	}
	c.s.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, shortTimeout)
		defer cancel()
		_ = c.s.msg.SendConfig(ctx, addr, a) // The core sends again.
	})
}

// HandleConfig takes a message of another daemon about configuration.
func (s *Server) HandleConfig(ev configurer.Event) { s.config.handle(s.ctx, ev) }

// HandleGossip takes a message of another daemon about membership.
func (s *Server) HandleGossip(_ context.Context, msg prober.Message) { s.members.receive(s.ctx, msg) }

// startWatch watches the head until the watch fails or is stopped.
func (c *configuration) startWatch(ctx context.Context, id uint64) {
	if c.stop != nil {
		c.stop()
	}
	ctx, c.stop = context.WithCancel(ctx)
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

// readHead reads the head once.
func (c *configuration) readHead(ctx context.Context) {
	ctx, span := c.s.tracer.Start(ctx, "platform")
	defer span.End()
	stored, err := publisher.ReadHead(ctx, c.s.store)
	if err != nil {
		c.s.log.Debug().Err(err).Msg("config: head not read")
		return
	}
	c.handle(c.s.ctx, configurer.HeadReceived{Head: stored.Head})
}

// readParts reads parts of a manifest.
func (c *configuration) readParts(ctx context.Context, a configurer.ReadParts) {
	ctx, span := c.s.tracer.Start(ctx, "platform")
	defer span.End()
	parts, err := publisher.ReadParts(ctx, c.s.store, a.Digests)
	if err != nil {
		c.s.log.Debug().Err(err).Msg("config: parts not read")
		c.handle(c.s.ctx, configurer.ReadPartsFailed{})
		return
	}
	c.handle(c.s.ctx, configurer.PartsRead{Parts: parts})
}
