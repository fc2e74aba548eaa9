package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/state/registrar"
)

// An endpoint that is cold can handle few requests per second, and crashes at rates well above
// that. Package warmer determines which endpoints are cold; the requests to them are granted by
// the few daemons that hold quotas (limiter.Quotas), so that the bound holds in any second
// whichever daemons reach each other.
const (
	minColdRate   = 0.1  // Requests per second that are granted at least, since only responses tell when a limit ends.
	normalAsks    = 2    // Holders that a daemon asks for a request.
	coldPollShare = 0.25 // Number of polls of a cold engine per request that it can handle. Polls are not granted; the slack of the bound has room for them.
)

// quotaRequest asks for one request to a cold endpoint.
type quotaRequest struct {
	Endpoint registrar.Identity `msgpack:"endpoint"`
	Revision int64              `msgpack:"revision"` // Of the entry.
	Assumed  bool               `msgpack:"assumed"`  // The entry does not say that the endpoint is cold.
	Rate     float64            `msgpack:"rate"`     // Requests per second that the endpoint can handle.
	Daemon   string             `msgpack:"daemon"`
	Urgency  limiter.Urgency    `msgpack:"urgency"`
	Relayed  bool               `msgpack:"relayed"`
}

// quotaResponse is the response to a quotaRequest.
type quotaResponse struct {
	Granted      bool  `msgpack:"granted"`
	RetryAfterMs int64 `msgpack:"retry_after_ms"`
	Warm         bool  `msgpack:"warm"`    // The endpoint has become warm since its entry was written.
	Unknown      bool  `msgpack:"unknown"` // The daemon holds no quota and reaches no daemon that does.
}

// coldRate returns the requests per second that an endpoint can handle while it is cold, at most
// those that it accepts. It returns false if requests to it are not bounded.
func (f *Forwarder) coldRate(e registrar.Endpoint, now time.Time) (float64, bool) {
	if f.cfg.Bounds.ColdRatio == 0 || !f.warmer.AnyCold(now) {
		return 0, false
	}
	t := f.table.Load()
	if t == nil {
		return 0, false
	}
	rate, cold := f.warmer.Rate(e, t.Manifest.Services[e.Service], now)
	if limit, limited := f.limits.Limit(e.Identity); cold && limited {
		rate = max(min(rate, limit), minColdRate)
	}
	return rate, cold
}

// isGranted reports whether requests to the endpoint are granted before they are sent.
func (f *Forwarder) isGranted(e registrar.Endpoint) bool {
	if _, limited := f.limits.Limit(e.Identity); limited {
		return true
	}
	_, cold := f.coldRate(e, f.clock.Now())
	return cold
}

// observeEntries records the warm-up that entries state which were received now, in a complete
// list or as changes.
func (f *Forwarder) observeEntries(entries []registrar.Endpoint, listed bool) {
	now := f.clock.Now()
	for _, e := range entries {
		removed := !f.registry.Known(e.Identity) && f.registry.HasRevision(e.Name, e.Revision)
		if !removed && f.warmer.Observe(e, listed, now) {
			f.logWarmUp(e, "entry", now)
		}
	}
}

// logWarmUp logs that an endpoint has become cold or warm.
func (f *Forwarder) logWarmUp(e registrar.Endpoint, source string, now time.Time) {
	remaining, _ := f.warmer.Remaining(e.Identity, now)
	l := f.log.Info().Str("endpoint", e.Name).Str("service", e.Service).Str("failure_domain", e.Domain).Str("source", source)
	if remaining > 0 {
		l.Dur("warm_in_ms", remaining).Msg("forwarder: endpoint is cold")
		return
	}
	l.Msg("forwarder: endpoint is no longer cold")
}

// checkWarmUps asks endpoints whether they are still cold whose entries were read from a list, and
// may have been written long ago. Only daemons that hold a quota ask; the others learn it from them.
func (f *Forwarder) checkWarmUps(now time.Time) {
	t := f.table.Load()
	if t == nil {
		return
	}
	due := f.warmer.DueChecks(func(e registrar.Endpoint) bool {
		rate, cold := f.coldRate(e, now)
		return cold && slices.ContainsFunc(f.members.Holders(e, f.coldBound(rate).QuotaCount(), now), f.members.IsSelf)
	}, now)
	for _, e := range due {
		f.spawn(func() { f.checkWarmUp(e, t.Manifest.Services[e.Service].HealthPath) })
	}
}

// checkWarmUp asks one endpoint. The request counts as one that this daemon grants, if it grants
// any yet.
func (f *Forwarder) checkWarmUp(e registrar.Endpoint, healthPath string) {
	rate, cold := f.coldRate(e, f.clock.Now())
	if !cold || f.isDeferred(e, f.clock.Now()) {
		return
	}
	if d := f.decideQuota(quotaRequest{Endpoint: e.Identity, Revision: e.Revision, Rate: rate, Daemon: f.cfg.Daemon.Name}); !d.Granted && !d.Unknown {
		return
	}
	c, cancel := context.WithTimeout(f.ctx, pollTimeout)
	defer cancel()
	remaining, err := f.endpoints.WarmUp(c, e, healthPath)
	if err != nil {
		f.log.Debug().Err(err).Str("endpoint", e.Name).Msg("forwarder: endpoint does not say how long it stays cold")
		return
	}
	f.warmer.SetRemaining(e, remaining, f.clock.Now())
	f.logWarmUp(e, "health", f.clock.Now())
}

// expireWarmUps notes the endpoints that have become warm.
func (f *Forwarder) expireWarmUps(now time.Time) {
	warm := f.warmer.Expire(now)
	if len(warm) == 0 {
		return
	}
	for _, e := range warm {
		f.quotas.Clear(e.Identity)
		f.logWarmUp(e, "time", now)
	}
	f.updateServices()
}

// assumeCold marks all endpoints of a failure domain as possibly cold from now for the time
// that their services name. Entries that are written later say otherwise.
func (f *Forwarder) assumeCold(domain string, revision int64, now time.Time) {
	t := f.table.Load()
	if t == nil {
		return
	}
	for _, e := range f.registry.All() {
		if e.Domain == domain && f.warmer.Assume(e, t.Manifest.Services[e.Service].WarmUp, revision, now) {
			f.logWarmUp(e, "evacuation", now)
		}
	}
	f.updateServices()
}

// withWarmUps returns the endpoints with the warm-up that remains now. It returns the same slice
// if none has changed.
func (f *Forwarder) withWarmUps(endpoints []registrar.Endpoint, now time.Time) []registrar.Endpoint {
	anyCold := f.warmer.AnyCold(now)
	copied := false
	for i := range endpoints {
		if !anyCold && endpoints[i].RemainingWarmUp == 0 {
			continue
		}
		remaining, _ := f.warmer.Remaining(endpoints[i].Identity, now)
		if remaining == endpoints[i].RemainingWarmUp {
			continue
		}
		if !copied {
			endpoints, copied = slices.Clone(endpoints), true
		}
		endpoints[i].RemainingWarmUp = remaining
	}
	return endpoints
}

// acquireQuota reports whether a request may be sent to a cold endpoint now, at the given rate
// over longer times.
func (f *Forwarder) acquireQuota(ctx context.Context, e registrar.Endpoint, rate float64, u limiter.Urgency) bool {
	now := f.clock.Now()
	if u != limiter.Sent && f.quotas.DeniedFor(e.Identity, u, now) > 0 {
		f.metrics.count("cold_denials_known")
		return false
	}
	_, assumed := f.warmer.Remaining(e.Identity, now)
	d := f.askForQuota(ctx, quotaRequest{Endpoint: e.Identity, Revision: e.Revision, Assumed: assumed, Rate: rate, Daemon: f.cfg.Daemon.Name, Urgency: u})
	if d.Granted || u == limiter.Sent {
		f.metrics.count("cold_grants")
		return true
	}
	f.metrics.count("cold_denials")
	f.quotas.Deny(e.Identity, u, d.RetryAfter, f.clock.Now())
	return false
}

// askForQuota asks the holders of the quotas of an endpoint, in random order, until one grants
// the request or enough have denied it.
func (f *Forwarder) askForQuota(ctx context.Context, ask quotaRequest) limiter.Decision {
	now := f.clock.Now()
	e := registrar.Endpoint{Identity: ask.Endpoint}
	holders := f.members.Reachable(f.members.Holders(e, f.coldBound(ask.Rate).QuotaCount(), now), now)
	if len(holders) == 0 {
		if d, ok := f.members.AnyReachable(e, now); ok {
			holders = append(holders, d)
		}
	}
	first := int(f.random() * float64(len(holders)))
	asks := normalAsks
	if ask.Urgency == limiter.Urgent {
		asks = len(holders)
	}
	denial := limiter.Decision{RetryAfter: noGrantRetryAfter}
	denials := 0
	for i := range holders {
		res, answered := f.askHolder(ctx, holders[(first+i)%len(holders)], ask)
		switch {
		case !answered:
			if ctx.Err() != nil {
				return denial
			}
			continue
		case res.Warm:
			f.warmer.MarkWarm(ask.Endpoint, ask.Revision, f.clock.Now())
			return limiter.Decision{Granted: true}
		case res.Granted || ask.Urgency == limiter.Sent:
			return limiter.Decision{Granted: true}
		}
		retryAfter := time.Duration(res.RetryAfterMs) * time.Millisecond
		if denials == 0 || retryAfter < denial.RetryAfter {
			denial.RetryAfter = retryAfter
		}
		if denials++; denials == asks {
			break
		}
	}
	if denials == 0 {
		f.metrics.count("cold_asks_unanswered")
	}
	return denial
}

// askHolder asks one daemon. It returns false if the daemon did not answer in time, in which
// case the request may have been granted and is not sent.
func (f *Forwarder) askHolder(ctx context.Context, d limiter.Daemon, ask quotaRequest) (quotaResponse, bool) {
	if f.members.IsSelf(d) {
		res := f.decideQuota(ask)
		return res, !res.Unknown
	}
	return f.callHolder(ctx, d, ask, grantTimeout)
}

// callHolder sends an ask to another daemon. An answer that comes late, since this daemon did not
// run in between, is dropped: requests that were granted at different times would arrive
// together.
func (f *Forwarder) callHolder(ctx context.Context, d limiter.Daemon, ask quotaRequest, timeout time.Duration) (quotaResponse, bool) {
	asked := f.clock.Now()
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var res quotaResponse
	err := f.peers.call(c, d.Addr, methodQuota, ask, &res)
	if err != nil {
		if ctx.Err() == nil {
			f.members.MarkFailed(d.Name, f.clock.Now())
		}
		return res, false
	}
	return res, !res.Unknown && f.clock.Now().Sub(asked) <= timeout
}

// coldBound returns the bound on the requests to a cold endpoint that can handle the given rate.
func (f *Forwarder) coldBound(rate float64) limiter.Bound {
	return limiter.Bound{Rate: rate, Most: rate*f.cfg.Bounds.ColdRatio + f.cfg.Bounds.ColdSlack}
}

// decideQuota decides about an ask from the quota of this daemon.
func (f *Forwarder) decideQuota(ask quotaRequest) quotaResponse {
	now := f.clock.Now()
	if !ask.Assumed && f.warmer.IsWarm(ask.Endpoint, ask.Revision, now) {
		return quotaResponse{Granted: true, Warm: true}
	}
	bound := f.coldBound(ask.Rate)
	holders := f.members.Holders(registrar.Endpoint{Identity: ask.Endpoint}, bound.QuotaCount(), now)
	if !f.members.MayGrant(holders, now) {
		return quotaResponse{Unknown: true}
	}
	d := f.quotas.Grant(ask.Endpoint, limiter.Ask{Daemon: ask.Daemon, Urgency: ask.Urgency}, bound, len(holders), now)
	return quotaResponse{Granted: d.Granted, RetryAfterMs: d.RetryAfter.Milliseconds()}
}

// handleQuotaRequest handles the ask of a peer. If this daemon holds no quota of the endpoint, the
// ask is passed on to one that does, which the peer may fail to reach.
func (f *Forwarder) handleQuotaRequest(ctx context.Context, body []byte) ([]byte, error) {
	var ask quotaRequest
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	res := f.decideQuota(ask)
	if res.Unknown && !ask.Relayed {
		ask.Relayed = true
		now := f.clock.Now()
		holders := f.members.Holders(registrar.Endpoint{Identity: ask.Endpoint}, f.coldBound(ask.Rate).QuotaCount(), now)
		holders = slices.DeleteFunc(f.members.Reachable(holders, now), f.members.IsSelf)
		if len(holders) > 0 {
			if relayed, ok := f.callHolder(ctx, holders[int(f.random()*float64(len(holders)))], ask, relayTimeout); ok {
				res = relayed
			}
		}
	}
	return msgpack.Marshal(res)
}

// coldRefusal returns the refusal of a request to a service whose endpoints are all cold. The
// client may return when the first of them may get a request, or is warm. It returns false if
// one is not cold.
func (f *Forwarder) coldRefusal(usable []registrar.Endpoint, now time.Time) (Refusal, bool) {
	first := time.Duration(0)
	for _, e := range usable {
		if _, cold := f.coldRate(e, now); !cold {
			return Refusal{}, false
		}
		remaining, _ := f.warmer.Remaining(e.Identity, now)
		denied := f.quotas.DeniedFor(e.Identity, limiter.Normal, now)
		if wait := min(remaining, max(denied, unavailableRetryAfter)); first == 0 || wait < first {
			first = wait
		}
	}
	return Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonCold, RetryAfter: max(first, time.Millisecond)}, len(usable) > 0
}
