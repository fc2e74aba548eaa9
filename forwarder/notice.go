package forwarder

import (
	"time"

	"monsoonspar.example/state/registrar"
)

// observeNotice handles what an answer of an endpoint says besides the response.
func (f *Forwarder) observeNotice(e registrar.Endpoint, n Notice) {
	if n.Brittle != nil {
		f.observeBrittle(e.Service, *n.Brittle, f.clock.Now(), "response")
	}
	if n.RetryAfter > 0 {
		f.deferRequests(e, n.RetryAfter)
	}
	if n.ShuttingDown && f.handleShutdown(e.Identity, 0, "response") {
		f.metrics.count("shutdowns_in_responses")
		f.peers.queueShutdown(e.Identity, 0)
	}
}

// observeResponse handles the header of a response, which may be that of a refusal. An
// endpoint that is limited must have granted the request, or is counted now.
func (f *Forwarder) observeResponse(e registrar.Endpoint, res *Response, granted bool) {
	f.observeLimit(e, res, granted)
	if !res.Misdirected {
		f.observeNotice(e, res.Notice)
	}
}

// applyLeaving records which endpoints a peer knows to be shutting down.
func (f *Forwarder) applyLeaving(ids []registrar.Identity) {
	for _, id := range ids {
		f.handleShutdown(id, 0, "peer")
	}
}

// handleShutdown handles a sign that an endpoint is shutting down, and evacuates it. The
// notice is the time until it ends; zero if not known. It reports whether the shutdown was
// not known before.
func (f *Forwarder) handleShutdown(id registrar.Identity, notice time.Duration, source string) bool {
	if notice > 0 { // Later signs may tell what the first one does not.
		f.shutdowns.Observe(id, notice, f.clock.Now())
	}
	e, changed := f.registry.MarkShuttingDown(id)
	if !changed {
		return false
	}
	f.quarantine.Retract(id, f.clock.Now())
	f.log.Info().Str("endpoint", id.Name).Dur("leaves_in_ms", notice).Str("source", source).Msg("forwarder: endpoint is shutting down")
	f.updateServices()
	f.evacuate(e, notice)
	return true
}
