package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/protocol/messenger"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/timekeeper"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// errNoOwner is returned when no daemon answers for an endpoint.
var errNoOwner = errors.New("server: no admission owner can be reached")

// Limits of the search for an owner.
const (
	ownersTried  = 3
	shortTimeout = time.Second
)

// memberView is what permits need to know of membership.
type memberView interface {
	// owners returns the daemons that may own an endpoint of a failure domain,
	// and the address of each, the daemon itself included.
	candidates(domain string) []string
	addr(daemon string) (string, bool)
	self() string
}

// permit is a permit that this daemon holds.
type permit struct {
	endpoint cataloger.Endpoint
	request  admitter.Request
	priority int          // For the engine.
	owner    string       // Daemon that granted it.
	produced atomic.Int64 // Tokens so far; read while it is written.
}

// held returns the permit as its owner is told of it.
func (h *permit) held() admitter.HeldPermit {
	return admitter.HeldPermit{Request: h.request, Produced: int(h.produced.Load())}
}

// permits asks owners for permits and keeps those that are held. Endpoints are
// spread over shards.
type permits struct {
	members memberView
	msg     *messenger.Messenger
	local   *owners
	clock   timekeeper.Clock
	log     zerolog.Logger

	shards [permitShards]permitShard
}

const permitShards = 16

// permitShard holds the permits whose id falls into it.
type permitShard struct {
	mu   sync.Mutex
	held map[admitter.PermitID]*permit
}

// newPermits returns permits without any held.
func newPermits(m memberView, msg *messenger.Messenger, local *owners, clock timekeeper.Clock, log zerolog.Logger) *permits {
	p := &permits{members: m, msg: msg, local: local, clock: clock, log: log}
	for i := range p.shards {
		p.shards[i].held = map[admitter.PermitID]*permit{}
	}
	return p
}

// shard returns the shard of a permit id.
func (p *permits) shard(id admitter.PermitID) *permitShard {
	return &p.shards[hashString(string(id))%permitShards]
}

// count returns the number of permits held.
func (p *permits) count() int {
	n := 0
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		n += len(s.held)
		s.mu.Unlock()
	}
	return n
}

// ownersOf returns the daemons to ask for an endpoint, in order.
func (p *permits) ownersOf(e cataloger.Endpoint) []string {
	order := router.OwnersOf(e.Name, p.members.candidates(e.Domain))
	return order[:min(len(order), ownersTried)]
}

// ask asks the owner of an endpoint for a permit and waits for the decision, or
// for the answer that its wait would exceed maxWait. It returns a nil permit
// unless the request is granted. An owner that is lost meanwhile is passed over
// with the same permit id.
func (p *permits) ask(ctx context.Context, e cataloger.Endpoint, r admitter.Request, maxWait time.Duration) (*permit, messenger.Answer, error) {
	for _, owner := range p.ownersOf(e) {
		a, err := p.askOne(ctx, owner, e.Name, r, maxWait)
		if ctx.Err() != nil {
			return nil, a, ctx.Err()
		}
		if err != nil {
			p.log.Warn().Err(err).Str("owner", owner).Str("endpoint", e.Name).Msg("permit: owner passed over")
			continue
		}
		if a.Busy || a.Action.Kind != admitter.Grant {
			return nil, a, nil
		}
		h := &permit{endpoint: e, request: r, priority: a.Action.EnginePriority, owner: owner}
		p.keep(h)
		return h, a, nil
	}
	return nil, messenger.Answer{}, errNoOwner
}

// askOne asks one daemon for a permit.
func (p *permits) askOne(ctx context.Context, owner, endpoint string, r admitter.Request, maxWait time.Duration) (messenger.Answer, error) {
	if owner == p.members.self() {
		return p.local.Permit(ctx, endpoint, r, maxWait)
	}
	addr, ok := p.members.addr(owner)
	if !ok {
		return messenger.Answer{}, errNoOwner
	}
	return p.msg.Permit(ctx, addr, endpoint, r, maxWait)
}

// keep records a permit as held here.
func (p *permits) keep(h *permit) {
	s := p.shard(h.request.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[h.request.ID] = h
}

// release ends a permit and reports whether this daemon still held it. Where no
// owner answers it counts as held. A permit that another reader of this daemon
// has taken over is not held by the first one.
func (p *permits) release(ctx context.Context, h *permit, res admitter.Result) bool {
	if !p.forget(h) {
		return false
	}
	for _, owner := range p.ownersOf(h.endpoint) {
		holder, err := p.releaseAt(ctx, owner, h.endpoint.Name, h.request.ID, res)
		if err == nil {
			return holder
		}
	}
	return true
}

// finish ends the permit of a complete generation. The message may be lost.
func (p *permits) finish(ctx context.Context, h *permit, res admitter.Result) {
	if !p.forget(h) {
		return
	}
	order := p.ownersOf(h.endpoint)
	if len(order) == 0 {
		return
	}
	if order[0] == p.members.self() {
		_, _ = p.local.Release(h.endpoint.Name, order[0], h.request.ID, res) // It holds the endpoint or begins anew.
		return
	}
	if addr, ok := p.members.addr(order[0]); ok {
		_ = p.msg.Finish(ctx, addr, h.endpoint.Name, h.request.ID, res)
	}
}

// forget removes a permit from those held here, and reports whether it was one.
func (p *permits) forget(h *permit) bool {
	s := p.shard(h.request.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[h.request.ID] != h {
		return false
	}
	delete(s.held, h.request.ID)
	return true
}

// releaseAt ends a permit at one daemon.
func (p *permits) releaseAt(ctx context.Context, owner, endpoint string, id admitter.PermitID, res admitter.Result) (bool, error) {
	if owner == p.members.self() {
		return p.local.Release(endpoint, owner, id, res)
	}
	addr, ok := p.members.addr(owner)
	if !ok {
		return false, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	return p.msg.Release(ctx, addr, endpoint, id, res)
}

// adopt tells the owner of an endpoint that this daemon holds a permit that
// another one was granted.
func (p *permits) adopt(ctx context.Context, h *permit) {
	p.keep(h)
	p.report(ctx, h.endpoint, []admitter.HeldPermit{h.held()})
}

// report sends held permits to the first owner that answers.
func (p *permits) report(ctx context.Context, e cataloger.Endpoint, held []admitter.HeldPermit) {
	for _, owner := range p.ownersOf(e) {
		if p.reportTo(ctx, owner, e.Name, held) == nil {
			return
		}
	}
	p.log.Warn().Str("endpoint", e.Name).Msg("permit: no owner took the report")
}

// reportTo sends held permits to one daemon.
func (p *permits) reportTo(ctx context.Context, owner, endpoint string, held []admitter.HeldPermit) error {
	if owner == p.members.self() {
		return p.local.Hold(endpoint, owner, held)
	}
	addr, ok := p.members.addr(owner)
	if !ok {
		return errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	return p.msg.Hold(ctx, addr, endpoint, held)
}

// moved reports the permits of endpoints whose owner has changed.
func (p *permits) moved(ctx context.Context) {
	byEndpoint := map[string][]admitter.HeldPermit{}
	endpoints := map[string]cataloger.Endpoint{}
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, h := range s.held {
			order := p.ownersOf(h.endpoint)
			if len(order) == 0 || order[0] == h.owner {
				continue
			}
			h.owner = order[0]
			byEndpoint[h.endpoint.Name] = append(byEndpoint[h.endpoint.Name], h.held())
			endpoints[h.endpoint.Name] = h.endpoint
		}
		s.mu.Unlock()
	}
	for name, held := range byEndpoint {
		p.report(ctx, endpoints[name], held)
	}
}
