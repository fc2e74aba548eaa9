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

// errNoOwner is returned if no admission owner of an endpoint can be reached.
var errNoOwner = errors.New("server: no admission owner can be reached")

// Limits of calls to owners.
const (
	maxOwnersTried   = 3           // Daemons asked for one endpoint, in the order of ownership.
	shortCallTimeout = time.Second // For calls that are not queued at the other end.
)

// memberView is the part of the membership that permits need.
type memberView interface {
	// candidates returns the daemons that may own an endpoint of a failure
	// domain, including this daemon.
	candidates(domain string) []string
	// addr returns the address of a daemon.
	addr(daemon string) (string, bool)
	// self returns the name of this daemon.
	self() string
}

// permit is the permission of an admission owner to run one request at an endpoint,
// held by this daemon.
type permit struct {
	endpoint cataloger.Endpoint
	request  admitter.Request
	priority int          // Scheduling priority at the engine.
	owner    string       // Daemon that granted it.
	produced atomic.Int64 // Tokens received so far; read and written concurrently.
}

// heldPermit returns the permit in the form that is reported to its owner.
func (h *permit) heldPermit() admitter.HeldPermit {
	return admitter.HeldPermit{Request: h.request, Produced: int(h.produced.Load())}
}

// permits requests permits from owners and holds those that were granted. They are
// spread over shards by id, to reduce lock contention.
type permits struct {
	members     memberView
	peerClient  *messenger.Messenger
	localOwners *owners
	clock       timekeeper.Clock
	log         zerolog.Logger

	shards [permitShardCount]permitShard
}

const permitShardCount = 16

// permitShard holds the permits whose ids hash to it.
type permitShard struct {
	mu   sync.Mutex
	held map[admitter.PermitID]*permit
}

// newPermits returns permits of which none is held.
func newPermits(m memberView, peerClient *messenger.Messenger, localOwners *owners, clock timekeeper.Clock, log zerolog.Logger) *permits {
	p := &permits{members: m, peerClient: peerClient, localOwners: localOwners, clock: clock, log: log}
	for i := range p.shards {
		p.shards[i].held = map[admitter.PermitID]*permit{}
	}
	return p
}

// shard returns the shard of a permit id.
func (p *permits) shard(id admitter.PermitID) *permitShard {
	return &p.shards[hashString(string(id))%permitShardCount]
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

// ownersOf returns the daemons to ask for a permit at an endpoint, in the order of
// ownership.
func (p *permits) ownersOf(e cataloger.Endpoint) []string {
	order := router.OwnersOf(e.Name, p.members.candidates(e.Domain))
	return order[:min(len(order), maxOwnersTried)]
}

// acquire requests a permit from the owner of an endpoint and waits for the
// decision, or for the answer that the queue wait would exceed maxWait. It returns a
// nil permit unless the request is granted. If a call to an owner fails, the next
// owner is asked with the same permit id.
func (p *permits) acquire(ctx context.Context, e cataloger.Endpoint, r admitter.Request, maxWait time.Duration) (*permit, messenger.PermitResult, error) {
	for _, owner := range p.ownersOf(e) {
		res, err := p.acquireFrom(ctx, owner, e.Name, r, maxWait)
		if ctx.Err() != nil {
			return nil, res, ctx.Err()
		}
		if err != nil {
			p.log.Warn().Err(err).Str("owner", owner).Str("endpoint", e.Name).Msg("permit: call to the owner failed; skipping this owner")
			continue
		}
		if res.Busy || res.Action.Kind != admitter.Grant {
			return nil, res, nil
		}
		h := &permit{endpoint: e, request: r, priority: res.Action.EnginePriority, owner: owner}
		p.add(h)
		return h, res, nil
	}
	return nil, messenger.PermitResult{}, errNoOwner
}

// acquireFrom requests a permit from one daemon.
func (p *permits) acquireFrom(ctx context.Context, owner, endpoint string, r admitter.Request, maxWait time.Duration) (messenger.PermitResult, error) {
	if owner == p.members.self() {
		return p.localOwners.Permit(ctx, endpoint, r, maxWait)
	}
	addr, ok := p.members.addr(owner)
	if !ok {
		return messenger.PermitResult{}, errNoOwner
	}
	return p.peerClient.Permit(ctx, addr, endpoint, r, maxWait)
}

// add records a permit as held by this daemon.
func (p *permits) add(h *permit) {
	s := p.shard(h.request.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[h.request.ID] = h
}

// release ends a permit and reports whether this daemon still held it. If no owner
// answers, it counts as held. A permit that was taken over by another reader at this
// daemon is no longer held by the first one.
func (p *permits) release(ctx context.Context, h *permit, res admitter.Result) bool {
	if !p.remove(h) {
		return false
	}
	for _, owner := range p.ownersOf(h.endpoint) {
		holder, err := p.releaseFrom(ctx, owner, h.endpoint.Name, h.request.ID, res)
		if err == nil {
			return holder
		}
	}
	return true
}

// finish ends the permit of a complete generation. The message may be lost; the
// owner then detects the end from the load reports of the engine.
func (p *permits) finish(ctx context.Context, h *permit, res admitter.Result) {
	if !p.remove(h) {
		return
	}
	order := p.ownersOf(h.endpoint)
	if len(order) == 0 {
		return
	}
	if order[0] == p.members.self() {
		_, _ = p.localOwners.Release(h.endpoint.Name, order[0], h.request.ID, res) // It fails only if the endpoint is no longer declared.
		return
	}
	if addr, ok := p.members.addr(order[0]); ok {
		_ = p.peerClient.Finish(ctx, addr, h.endpoint.Name, h.request.ID, res)
	}
}

// remove removes a permit from those held by this daemon, and reports whether it was
// held.
func (p *permits) remove(h *permit) bool {
	s := p.shard(h.request.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[h.request.ID] != h {
		return false
	}
	delete(s.held, h.request.ID)
	return true
}

// releaseFrom ends a permit at one daemon.
func (p *permits) releaseFrom(ctx context.Context, owner, endpoint string, id admitter.PermitID, res admitter.Result) (bool, error) {
	if owner == p.members.self() {
		return p.localOwners.Release(endpoint, owner, id, res)
	}
	addr, ok := p.members.addr(owner)
	if !ok {
		return false, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	return p.peerClient.Release(ctx, addr, endpoint, id, res)
}

// adopt records a permit that was granted to another daemon, and reports to the
// owner that this daemon now holds it.
func (p *permits) adopt(ctx context.Context, h *permit) {
	p.add(h)
	p.reportHeld(ctx, h.endpoint, []admitter.HeldPermit{h.heldPermit()})
}

// reportHeld reports held permits to the first owner that accepts them.
func (p *permits) reportHeld(ctx context.Context, e cataloger.Endpoint, held []admitter.HeldPermit) {
	for _, owner := range p.ownersOf(e) {
		if p.reportHeldTo(ctx, owner, e.Name, held) == nil {
			return
		}
	}
	p.log.Warn().Str("endpoint", e.Name).Msg("permit: no owner accepted the report of held permits")
}

// reportHeldTo reports held permits to one daemon.
func (p *permits) reportHeldTo(ctx context.Context, owner, endpoint string, held []admitter.HeldPermit) error {
	if owner == p.members.self() {
		return p.localOwners.Restore(endpoint, owner, held)
	}
	addr, ok := p.members.addr(owner)
	if !ok {
		return errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	return p.peerClient.ReportHeld(ctx, addr, endpoint, held)
}

// reportMoved reports held permits to the new owner of each endpoint whose owner has
// changed.
func (p *permits) reportMoved(ctx context.Context) {
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
			byEndpoint[h.endpoint.Name] = append(byEndpoint[h.endpoint.Name], h.heldPermit())
			endpoints[h.endpoint.Name] = h.endpoint
		}
		s.mu.Unlock()
	}
	for name, held := range byEndpoint {
		p.reportHeld(ctx, endpoints[name], held)
	}
}
