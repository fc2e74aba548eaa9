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
	resourceLeases  = "leases"
	leaseCandidates = 2 // Daemons of a failure domain that may take its lease.
	rankLease       = "lease "
)

// leaseSpec is the form of a lease in the platform.
type leaseSpec struct {
	Writer     string `json:"writer"` // Unique to one write.
	Life       string `json:"life"`
	Seq        uint64 `json:"seq"`
	Holder     string `json:"holder"`
	DurationMS int64  `json:"duration_ms"`
}

// leases contends for the lease of this daemon's failure domain.
type leases struct {
	s *Server

	mu   sync.Mutex
	core *leaser.Leaser
}

// newLeases returns leases that hold none.
func newLeases(s *Server) *leases {
	core := leaser.New(leaser.DefaultSettings(), s.cfg.Daemon.Name, s.newID(), s.newRand())
	return &leases{s: s, core: core}
}

// run contends until ctx ends.
func (l *leases) run(ctx context.Context) {
	for l.s.clock.Sleep(ctx, leaser.TickInterval) == nil {
		candidate := l.isCandidate()
		l.mu.Lock()
		l.core.SetCandidate(candidate)
		l.mu.Unlock()
		l.handle(ctx, leaser.Tick{})
	}
}

// isCandidate reports whether this daemon should take the lease if it lapses.
func (l *leases) isCandidate() bool {
	domain := l.s.cfg.Daemon.Domain
	order := router.OwnersOf(rankLease+domain, l.s.members.candidates(domain))
	return contains(order[:min(len(order), leaseCandidates)], l.s.members.self())
}

// handle gives an event to the core and makes the call that it asks for.
func (l *leases) handle(ctx context.Context, ev leaser.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.core.Handle(l.s.clock.Now(), ev)
	if a == nil {
		return
	}
	l.s.spawn(func() { l.handle(ctx, l.call(ctx, a)) })
}

// call makes one platform call and returns the event that answers it.
func (l *leases) call(ctx context.Context, a leaser.Action) leaser.Event {
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

// write creates the lease, or replaces the one of a version.
func (l *leases) write(ctx context.Context, version uint64, lease leaser.Lease) leaser.Event {
	spec, err := json.Marshal(leaseSpec{
		Writer: leaseWriter(lease.Writer), Life: lease.Writer.Life, Seq: lease.Writer.Seq,
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

// leaseWriter names one write.
func leaseWriter(w leaser.Writer) string {
	b, err := json.Marshal(w)
	if err != nil {
		return w.Life
	}
	return string(b)
}

// read reads the lease.
func (l *leases) read(ctx context.Context) leaser.Event {
	o, err := l.s.store.Get(ctx, resourceLeases, l.s.cfg.Daemon.Domain)
	if err != nil {
		return leaser.ReadResult{Result: leaseResult(err)}
	}
	var spec leaseSpec
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		l.s.log.Error().Err(err).Msg("lease: not readable")
		return leaser.ReadResult{Result: leaser.ResultUnavailable}
	}
	return leaser.ReadResult{Version: o.Version, Lease: leaser.Lease{
		Holder: spec.Holder, Writer: leaser.Writer{Life: spec.Life, Seq: spec.Seq},
		Duration: time.Duration(spec.DurationMS) * time.Millisecond,
	}}
}

// leaseResult returns what an error of the platform client means for a lease.
func leaseResult(err error) leaser.Result {
	switch {
	case err == nil:
		return leaser.ResultOK
	case errors.Is(err, storer.ErrExists), errors.Is(err, storer.ErrConflict):
		return leaser.ResultConflict
	case errors.Is(err, storer.ErrNotFound):
		return leaser.ResultNotFound
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrLimited):
		return leaser.ResultUnavailable
	}
	return leaser.ResultUnknown
}

// term returns the present term, if the lease is held.
func (l *leases) term() (leaser.Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Term(l.s.clock.Now())
}

// holder returns the daemon that held the lease when it was last seen.
func (l *leases) holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Holder()
}

// fenced gives the lease up after an endpoint has seen a later holder.
func (l *leases) fenced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ObserveHigherToken()
}

// release gives the lease up and waits until the platform knows it.
func (l *leases) release(ctx context.Context) {
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
