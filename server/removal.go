package server

import (
	"context"
	"encoding/json"
	"time"

	"monsoonspar.example/coordination/claimer"
	"monsoonspar.example/state/cataloger"
)

// Intervals and limits of the removal of expired claims.
const (
	removalTickInterval   = time.Second
	removalPassInterval   = 10 * time.Minute // Delay between two passes over all claims.
	removalPageSize       = 100              // Claims listed by one call.
	removalsPerSecond     = 20
	removalListRetryDelay = 30 * time.Second // Delay after a list call that failed.
)

// removeClaims removes claims past their retention until ctx ends. Only one daemon
// of a deployment does so: the holder of the lease of its first failure domain.
func (s *Server) removeClaims(ctx context.Context) {
	var r *claimer.Remover
	for s.clock.Sleep(ctx, removalTickInterval) == nil {
		m := s.Manifest()
		if _, held := s.lease.term(); !held || m == nil || !s.inFirstDomain(m) {
			r = nil
			continue
		}
		if r == nil {
			r = claimer.NewRemover(claimer.RemoverSettings{
				Retention: m.Defaults.ClaimRetention, PassInterval: removalPassInterval, PageSize: removalPageSize,
				RemovalsPerSecond: removalsPerSecond, ListRetryDelay: removalListRetryDelay,
			})
		}
		s.removeDueClaims(ctx, r)
	}
}

// inFirstDomain reports whether this daemon is in the first failure domain of the
// manifest.
func (s *Server) inFirstDomain(m *cataloger.Manifest) bool {
	return len(m.Domains) > 0 && m.Domains[0].Name == s.cfg.Daemon.Domain
}

// removeDueClaims removes the claims that the rate limit allows now, and lists the
// next page if the remover asks for it.
func (s *Server) removeDueClaims(ctx context.Context, r *claimer.Remover) {
	removals, list := r.Tick(s.clock.Now())
	for _, removal := range removals {
		if err := s.store.Delete(ctx, resourceClaims, removal.Name, removal.Version); err != nil {
			s.log.Debug().Err(err).Str("claim", removal.Name).Msg("claim: removal failed")
		}
	}
	if list != nil {
		r.HandlePage(s.clock.Now(), s.listClaims(ctx, *list))
	}
}

// listClaims reads one page of claims. Claims that can't be decoded are skipped.
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
