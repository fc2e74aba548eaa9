package forwarder

import (
	"github.com/pkg/errors"

	"monsoonspar.example/state/registrar"
)

// The route and the customer of a request may name allowed regions. The request then reaches endpoints of
// these regions only, also as a retry, a resume, a migration or the run whose memory a backup keeps.

var (
	// errRegionNotAllowed means that an endpoint is in a region that a request excludes.
	errRegionNotAllowed = errors.New("the region of the endpoint is not allowed for the request")
	// errManifestFormat means that a peer of an earlier version may have dropped fields of a manifest.
	errManifestFormat = errors.New("the peer may have dropped fields of the manifest")
)

// isAllowed reports whether the allowed regions of a request permit an endpoint.
func (f *Forwarder) isAllowed(x *exchange, e *registrar.Endpoint) bool {
	return f.cfg.Regions.Allows(x.allowedRegions, e.Domain)
}

// anyAllowed reports whether the allowed regions of a request permit one of the endpoints.
func (f *Forwarder) anyAllowed(x *exchange, all []registrar.Endpoint) bool {
	for i := range all {
		if f.isAllowed(x, &all[i]) {
			return true
		}
	}
	return false
}

// allowedEndpoints returns the endpoints without those that the allowed regions of a request
// exclude. The caller must not modify the slice.
func (f *Forwarder) allowedEndpoints(x *exchange, all []registrar.Endpoint) []registrar.Endpoint {
	if x.allowedRegions == nil {
		return all
	}
	n := 0
	for i := range all {
		if f.isAllowed(x, &all[i]) {
			n++
		}
	}
	allowed := make([]registrar.Endpoint, 0, n)
	for i := range all {
		if f.isAllowed(x, &all[i]) {
			allowed = append(allowed, all[i])
		}
	}
	return allowed
}
