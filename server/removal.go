package server

import (
	"context"
	"encoding/json"
	"time"

	"monsoonspar.example/coordination/claimer"
	"monsoonspar.example/state/cataloger"
)

// Bounds of the removal of old claims.
const (
	removalInterval = time.Second
	removalPause    = 10 * time.Minute
	removalBatch    = 100
	removalRate     = 20 // Claims a second.
	removalRetry    = 30 * time.Second
)

// removeClaims removes claims past their retention until ctx ends. The holder
// of the lease of the deployment's first failure domain does so.
func (s *Server) removeClaims(ctx context.Context) {
	var r *claimer.Remover
	for s.clock.Sleep(ctx, removalInterval) == nil {
		m := s.Manifest()
		if _, held := s.leases.term(); !held || m == nil || !s.inFirstDomain(m) {
			r = nil
			continue
		}
		if r == nil {
			r = claimer.NewRemover(claimer.RemoverSettings{
				Retention: m.Defaults.ClaimRetention, PassInterval: removalPause, PageSize: removalBatch,
				RemovalsPerSecond: removalRate, ListRetryDelay: removalRetry,
			})
		}
		s.removeSome(ctx, r)
	}
}

// inFirstDomain reports whether this daemon is in the first failure domain.
func (s *Server) inFirstDomain(m *cataloger.Manifest) bool {
	return len(m.Domains) > 0 && m.Domains[0].Name == s.cfg.Daemon.Domain
}

// removeSome removes what the budget allows and lists more if need be.
func (s *Server) removeSome(ctx context.Context, r *claimer.Remover) {
	removals, list := r.Tick(s.clock.Now())
	for _, rm := range removals {
		if err := s.store.Delete(ctx, resourceClaims, rm.Name, rm.Version); err != nil {
			s.log.Debug().Err(err).Str("claim", rm.Name).Msg("claim: not removed")
		}
	}
	if list != nil {
		r.HandlePage(s.clock.Now(), s.listClaims(ctx, *list))
	}
}

// listClaims reads one page of claims.
func (s *Server) listClaims(ctx context.Context, l claimer.ListClaims) claimer.Page {
	objects, next, err := s.store.ListPage(ctx, resourceClaims, l.Limit, l.Continue)
	if err != nil {
		return claimer.Page{}
	}
	page := claimer.Page{OK: true, Continue: next}
	for _, o := range objects.Items {
		var spec claimSpec
		if json.Unmarshal(o.Spec, &spec) != nil {
			continue
		}
		page.Claims = append(page.Claims, claimer.ListedClaim{Name: o.Name, Version: o.Version, State: spec.State, Age: s.store.Age(o)})
	}
	return page
}
