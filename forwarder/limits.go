package forwarder

import (
	"sync"

	"monsoonspar.example/state/registrar"
)

// limitLog records the request limits that endpoints name in their responses, to
// log the changes.
type limitLog struct {
	mu     sync.Mutex
	limits map[registrar.Identity]float64 // Requests per second.
}

// observeLimit records the request limit that a response of an endpoint names.
func (f *Forwarder) observeLimit(e registrar.Endpoint, res *Response) {
	if res.Misdirected || (res.RequestLimit == nil && !res.FromEndpoint) {
		return
	}
	f.limitLog.mu.Lock()
	defer f.limitLog.mu.Unlock()
	old, limited := f.limitLog.limits[e.Identity]
	if limited {
		f.metrics.count("limited_sends")
	}
	switch {
	case res.RequestLimit == nil && limited:
		delete(f.limitLog.limits, e.Identity)
		f.log.Info().Str("endpoint", e.Name).Float64("old_limit", old).Msg("forwarder: endpoint no longer limits its requests")
	case res.RequestLimit != nil && (!limited || *res.RequestLimit != old):
		f.limitLog.limits[e.Identity] = *res.RequestLimit
		f.log.Info().Str("endpoint", e.Name).Float64("limit", *res.RequestLimit).Msg("forwarder: endpoint limits its requests")
	}
}
