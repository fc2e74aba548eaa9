package server

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"monsoonspar.example/coordination/leaser"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/protocol/storer"

	"github.com/pkg/errors"
)

const (
	resourceLeases     = "leases" // Resource of the platform's object API.
	maxLeaseCandidates = 2        // Daemons of a failure domain that contend for its lease.
	leaseKeyPrefix     = "lease " // With the name of a failure domain, the key that ranks the candidates.
)

// leaseSpec is the encoding of a lease in the platform's object API.
type leaseSpec struct {
	Writer     string `json:"writer"` // Unique to one write.
	Life       string `json:"life"`   // Unique to the process that wrote.
	Seq        uint64 `json:"seq"`    // Number of the write within the process.
	Holder     string `json:"holder"`
	DurationMS int64  `json:"duration_ms"`
}

// domainLease contends for the lease of this daemon's failure domain.
type domainLease struct {
	s *Server

	mu   sync.Mutex
	core *leaser.Leaser
}

// newDomainLease returns a domainLease that is not held.
func newDomainLease(s *Server) *domainLease {
	core := leaser.New(leaser.DefaultSettings(), s.cfg.Daemon.Name, s.newID(), s.newRand())
	return &domainLease{s: s, core: core}
}

// run contends for the lease until ctx ends.
func (l *domainLease) run(ctx context.Context) {
	for l.s.clock.Sleep(ctx, leaser.TickInterval) == nil {
		candidate := l.isCandidate()
		l.mu.Lock()
		l.core.SetCandidate(candidate)
		l.mu.Unlock()
		l.handle(ctx, leaser.Tick{})
	}
}

// isCandidate reports whether this daemon is one of those that contend for the
// lease.
func (l *domainLease) isCandidate() bool {
	domain := l.s.cfg.Daemon.Domain
	order := router.OwnersOf(leaseKeyPrefix+domain, l.s.members.candidates(domain))
	return contains(order[:min(len(order), maxLeaseCandidates)], l.s.members.self())
}

// handle passes an event to the core and starts the platform call that it returns,
// if any.
func (l *domainLease) handle(ctx context.Context, ev leaser.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.core.Handle(l.s.clock.Now(), ev)
	if a == nil {
		return
	}
	l.s.spawn(func() { l.handle(ctx, l.doAction(ctx, a)) })
}

// doAction makes one platform call and returns the event that answers it.
func (l *domainLease) doAction(ctx context.Context, a leaser.Action) leaser.Event {
	ctx, span := l.s.tracer.Start(ctx, "platform")
	defer span.End()
	switch a := a.(type) {
	case leaser.Create:
		return l.write(ctx, 0, a.Lease)
	case leaser.Update:
		return l.write(ctx, a.Version, a.Lease)
	}
	return l.read(ctx)
}

// write creates the lease if version is zero, and otherwise replaces it if it still
// has that version.
func (l *domainLease) write(ctx context.Context, version uint64, lease leaser.Lease) leaser.Event {
	spec, err := json.Marshal(leaseSpec{
		Writer: leaseWriterID(lease.Writer), Life: lease.Writer.Life, Seq: lease.Writer.Seq,
		Holder: lease.Holder, DurationMS: lease.Duration.Milliseconds(),
	})
	if err != nil {
		return leaser.WriteResult{Result: leaser.ResultUnavailable}
	}
	o, err := storer.Put(ctx, l.s.store, storer.Object{
		Resource: resourceLeases, Name: l.s.cfg.Daemon.Domain, Version: version, Spec: spec,
	})
	return leaser.WriteResult{Result: leaseResult(err), Version: o.Version}
}

// leaseWriterID returns the unique id of one write.
func leaseWriterID(w leaser.Writer) string {
	b, err := json.Marshal(w)
	if err != nil {
		return w.Life
	}
	return string(b)
}

// read reads the lease.
func (l *domainLease) read(ctx context.Context) leaser.Event {
	o, err := l.s.store.Get(ctx, resourceLeases, l.s.cfg.Daemon.Domain)
	if err != nil {
		return leaser.ReadResult{Result: leaseResult(err)}
	}
	var spec leaseSpec
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		l.s.log.Error().Err(err).Msg("lease: object can't be decoded")
		return leaser.ReadResult{Result: leaser.ResultUnavailable}
	}
	return leaser.ReadResult{Version: o.Version, Lease: leaser.Lease{
		Holder: spec.Holder, Writer: leaser.Writer{Life: spec.Life, Seq: spec.Seq},
		Duration: time.Duration(spec.DurationMS) * time.Millisecond,
	}}
}

// leaseResult converts an error of the platform client to the result of a call.
func leaseResult(err error) leaser.Result {
	switch {
	case err == nil:
		return leaser.ResultOK
	case errors.Is(err, storer.ErrExists), errors.Is(err, storer.ErrConflict):
		return leaser.ResultConflict
	case errors.Is(err, storer.ErrNotFound):
		return leaser.ResultNotFound
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrRateLimited):
		return leaser.ResultUnavailable
	}
	return leaser.ResultUnknown
}

// term returns the current term, and whether the lease is held.
func (l *domainLease) term() (leaser.Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Term(l.s.clock.Now())
}

// holder returns the daemon that held the lease when it was last read or written.
func (l *domainLease) holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Holder()
}

// markFenced ends the term after an endpoint has rejected an order because it has
// seen a higher fencing token.
func (l *domainLease) markFenced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ObserveHigherToken()
}

// release gives up the lease and waits until the platform has recorded that.
func (l *domainLease) release(ctx context.Context) {
	l.mu.Lock()
	l.core.Release()
	l.mu.Unlock()
	for l.s.clock.Sleep(ctx, ownershipInterval) == nil {
		l.handle(ctx, leaser.Tick{})
		l.mu.Lock()
		idle := l.core.Idle()
		l.mu.Unlock()
		if idle {
			return
		}
	}
}
