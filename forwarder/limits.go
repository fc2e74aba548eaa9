package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/state/registrar"
)

// Endpoints may limit the rate of the requests that they accept from all daemons
// together. One daemon grants the requests to such an endpoint; package limiter
// decides which one, and what it grants. Everything that is sent to the endpoint
// counts: attempts, retries, resumes, migrations and polls.
const (
	grantTimeout      = 100 * time.Millisecond // For the answer of one daemon; a request waits during this time.
	relayTimeout      = 50 * time.Millisecond  // For a daemon that passes an ask on; less than grantTimeout, so that its asker still gets an answer.
	noGrantRetryAfter = 200 * time.Millisecond // Before the next ask if no daemon answered.
	pollShare         = 0.1                    // Fraction of the limit of an engine that polls may use.
	maxPollInterval   = 10 * time.Second
)

// errEndpointLimited means that the limit of an endpoint permits no request to it
// now.
var errEndpointLimited = errors.New("the endpoint's limit on requests is used up")

// limitUpdate is the wire form of an observation of a limit.
type limitUpdate struct {
	Endpoint registrar.Identity `msgpack:"endpoint"`
	Limited  bool               `msgpack:"limited"`
	Rate     float64            `msgpack:"rate"` // Requests per second.
	AgeMs    int64              `msgpack:"age_ms"`
	at       time.Time          // Not sent; AgeMs is computed from it.
}

// limitsMessage is the wire form of all limits that a daemon knows.
type limitsMessage struct {
	Limits []limitUpdate `msgpack:"limits"`
}

// grantRequest asks for one request to an endpoint.
type grantRequest struct {
	Limit   limitUpdate     `msgpack:"limit"`
	Domain  string          `msgpack:"domain"` // Failure domain of the endpoint.
	Daemon  string          `msgpack:"daemon"`
	Urgency limiter.Urgency `msgpack:"urgency"`
	Relayed bool            `msgpack:"relayed"`
}

// endpoint returns what determines which daemon grants the request.
func (r *grantRequest) endpoint() registrar.Endpoint {
	return registrar.Endpoint{Identity: r.Limit.Endpoint, Domain: r.Domain}
}

// grantResponse is the response to a grantRequest.
type grantResponse struct {
	Granted      bool  `msgpack:"granted"`
	RetryAfterMs int64 `msgpack:"retry_after_ms"`
}

// newLimitUpdate returns the wire form of an observation as of now.
func newLimitUpdate(o limiter.Observation, now time.Time) limitUpdate {
	return limitUpdate{Endpoint: o.Endpoint, Limited: o.Limited, Rate: o.Rate, AgeMs: now.Sub(o.At).Milliseconds(), at: o.At}
}

// observation returns the observation of an update that was received now.
func (u *limitUpdate) observation(now time.Time) limiter.Observation {
	return limiter.Observation{Endpoint: u.Endpoint, Limited: u.Limited, Rate: u.Rate, At: now.Add(-time.Duration(u.AgeMs) * time.Millisecond)}
}

// observeLimit records the limit that a response of an endpoint names. A request that
// was sent without a grant, since its daemon did not know the limit, is counted.
func (f *Forwarder) observeLimit(e registrar.Endpoint, res *Response, granted bool) {
	if res.Misdirected || (res.RequestLimit == nil && (!res.FromEndpoint || res.NotExecuted)) {
		return
	}
	if res.RequestLimit == nil && !f.limits.Tracks(e.Identity) {
		return
	}
	if res.RequestLimit == nil {
		f.recordLimit(limiter.Observation{Endpoint: e.Identity, At: f.clock.Now()}, "response", true)
		return
	}
	f.observeNamedLimit(e, res.RequestLimit, granted)
}

// observeNamedLimit records the limit that an answer of an endpoint names, if it names one.
func (f *Forwarder) observeNamedLimit(e registrar.Endpoint, limit *float64, granted bool) {
	if limit == nil {
		return
	}
	f.metrics.count("limited_sends")
	f.recordLimit(limiter.Observation{Endpoint: e.Identity, Limited: true, Rate: *limit, At: f.clock.Now()}, "response", true)
	if !granted {
		f.spawn(func() { f.acquireGrant(f.ctx, e, limiter.Sent) })
	}
}

// migrate sends a request to copy the KV cache of a run, which must have been granted if the
// engine limits its requests.
func (f *Forwarder) migrate(ctx context.Context, from registrar.Endpoint, id, to string, stopRun bool) (MigrationResult, error) {
	granted := f.isGranted(from)
	result, err := f.endpoints.Migrate(ctx, from, id, to, stopRun)
	f.observeNamedLimit(from, result.RequestLimit, granted)
	f.observeNotice(from, result.Notice)
	return result, err
}

// recordLimit records an observation of a limit. If the limit has changed and tellPeers
// is set, it tells the peers.
func (f *Forwarder) recordLimit(o limiter.Observation, source string, tellPeers bool) {
	if !f.limits.Observe(o) {
		return
	}
	if tellPeers {
		f.peers.queueLimit(newLimitUpdate(o, f.clock.Now()))
	}
	f.log.Info().Str("endpoint", o.Endpoint.Name).Bool("limited", o.Limited).Float64("limit", o.Rate).Str("source", source).Msg("forwarder: limit of an endpoint changed")
}

// mayAsk reports whether a request to the endpoint could be granted now, as far as
// this daemon knows, and the endpoint has not asked for none.
func (f *Forwarder) mayAsk(e registrar.Endpoint, now time.Time) bool {
	return f.limits.DeniedFor(e.Identity, limiter.Normal, now) == 0 && f.quotas.DeniedFor(e.Identity, limiter.Normal, now) == 0 && !f.isDeferred(e, now)
}

// permittedEndpoints returns the endpoints without those that accept no request now
// because of their limits or of a deferral.
func (f *Forwarder) permittedEndpoints(all []registrar.Endpoint, now time.Time) []registrar.Endpoint {
	for i := range all {
		if f.mayAsk(all[i], now) {
			continue
		}
		permitted := append([]registrar.Endpoint{}, all[:i]...)
		for _, e := range all[i+1:] {
			if f.mayAsk(e, now) {
				permitted = append(permitted, e)
			}
		}
		return permitted
	}
	return all
}

// limitRefusal returns the refusal of a request that the limits and deferrals of the
// endpoints of its service exclude, as far as they have not refused it themselves. The
// client may return when the first of them may permit it.
func (f *Forwarder) limitRefusal(x *exchange, now time.Time) Refusal {
	usable := f.allowedEndpoints(x, f.registry.Usable(x.service))
	if first, all := f.allDeferred(usable, now); all {
		return Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonDeferred, RetryAfter: first}
	}
	if r, all := f.coldRefusal(usable, now); all {
		return r
	}
	first, deferred := time.Duration(0), false
	reason := ReasonLimited
	for _, e := range usable {
		deferred = deferred || f.isDeferred(e, now)
		d := f.limits.DeniedFor(e.Identity, limiter.Normal, now)
		if d == 0 {
			if d = f.quotas.DeniedFor(e.Identity, limiter.Normal, now); d > 0 {
				reason = ReasonCold
			}
		}
		if d > 0 && (first == 0 || d < first) {
			first = d
		}
	}
	if deferred && first == 0 {
		reason = ReasonRefused // By those that are not deferred.
	}
	return Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: reason, RetryAfter: max(first, unavailableRetryAfter)}
}

// acquireGrant reports whether a request may be sent to the endpoint now.
func (f *Forwarder) acquireGrant(ctx context.Context, e registrar.Endpoint, u limiter.Urgency) bool {
	if u != limiter.Sent && f.isDeferred(e, f.clock.Now()) {
		f.metrics.count("deferral_denials")
		return false
	}
	rate, limited := f.limits.Limit(e.Identity)
	if coldRate, cold := f.coldRate(e, f.clock.Now()); cold {
		return f.acquireQuota(ctx, e, coldRate, u)
	}
	if !limited {
		return true
	}
	if f.limits.DeniedFor(e.Identity, u, f.clock.Now()) > 0 {
		f.metrics.count("limit_denials_known")
		return false
	}
	d := f.askForGrant(ctx, e, rate, u)
	if d.Granted {
		f.metrics.count("limit_grants")
		return true
	}
	f.metrics.count("limit_denials")
	f.limits.Deny(e.Identity, u, d.RetryAfter, f.clock.Now())
	return false
}

// askForGrant asks the daemons that may grant requests to the endpoint until one of
// them answers.
func (f *Forwarder) askForGrant(ctx context.Context, e registrar.Endpoint, rate float64, u limiter.Urgency) limiter.Decision {
	now := f.clock.Now()
	ask := grantRequest{
		Limit:  limitUpdate{Endpoint: e.Identity, Limited: true, Rate: rate, AgeMs: f.limits.Age(e.Identity, now).Milliseconds()},
		Domain: e.Domain, Daemon: f.cfg.Daemon.Name, Urgency: u,
	}
	for _, d := range f.members.Rank(e, now) {
		if f.members.IsSelf(d) {
			return f.grant(ask)
		}
		res, err := f.callForGrant(ctx, d, ask, grantTimeout)
		if err == nil {
			return limiter.Decision{Granted: res.Granted, RetryAfter: time.Duration(res.RetryAfterMs) * time.Millisecond}
		}
		if ctx.Err() != nil {
			break
		}
	}
	f.metrics.count("limit_asks_unanswered")
	return limiter.Decision{RetryAfter: noGrantRetryAfter}
}

// callForGrant sends an ask to another daemon. One that does not answer is not asked
// again for a while.
func (f *Forwarder) callForGrant(ctx context.Context, d limiter.Daemon, ask grantRequest, timeout time.Duration) (grantResponse, error) {
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var res grantResponse
	err := f.peers.call(c, d.Addr, methodGrant, ask, &res)
	if err != nil && ctx.Err() == nil {
		f.members.MarkFailed(d.Name, f.clock.Now())
		f.metrics.count("limit_asks_failed")
	}
	return res, err
}

// grant decides about an ask on behalf of all daemons for which this daemon may.
func (f *Forwarder) grant(ask grantRequest) limiter.Decision {
	now := f.clock.Now()
	return f.limits.Grant(ask.Limit.Endpoint, limiter.Ask{Daemon: ask.Daemon, Urgency: ask.Urgency}, f.members.Share(ask.endpoint(), now), now)
}

// handleGrantRequest handles the ask of a peer. If another daemon precedes this one,
// which the peer may fail to reach, the ask is passed on to it.
func (f *Forwarder) handleGrantRequest(ctx context.Context, body []byte) ([]byte, error) {
	var ask grantRequest
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	now := f.clock.Now()
	f.recordLimit(ask.Limit.observation(now), "peer", false)
	if first, relay := f.members.Relay(ask.endpoint(), now); relay && !ask.Relayed {
		ask.Relayed = true
		if res, err := f.callForGrant(ctx, first, ask, relayTimeout); err == nil {
			return msgpack.Marshal(res)
		}
	}
	d := f.grant(ask)
	return msgpack.Marshal(grantResponse{Granted: d.Granted, RetryAfterMs: d.RetryAfter.Milliseconds()})
}

// allLimits returns the limits that this daemon knows, for a peer.
func (f *Forwarder) allLimits() limitsMessage {
	now := f.clock.Now()
	var m limitsMessage
	for _, o := range f.limits.All() {
		m.Limits = append(m.Limits, newLimitUpdate(o, now))
	}
	return m
}

// applyLimits records limits that a peer knows. Daemons send updates within their
// failure domain and to few others, so one from another domain is passed on.
func (f *Forwarder) applyLimits(updates []limitUpdate, peerDomain string) {
	now := f.clock.Now()
	for i := range updates {
		if f.registry.Known(updates[i].Endpoint) { // The limits of endpoints that have left would circulate for ever.
			f.recordLimit(updates[i].observation(now), "peer", peerDomain != f.cfg.Daemon.Domain)
		}
	}
}

// exchangeLimits tells a peer the limits that this daemon knows, and records those
// that the peer knows.
func (p *peers) exchangeLimits(ctx context.Context, o *peer) error {
	var remote limitsMessage
	if err := p.call(ctx, o.daemon.Addr, methodLimits, p.f.allLimits(), &remote); err != nil {
		return err
	}
	p.f.applyLimits(remote.Limits, p.domainOf(o.daemon.Name))
	return nil
}

// handleLimits handles the limits of a peer and returns those that this daemon knows.
func (p *peers) handleLimits(name string, body []byte) ([]byte, error) {
	var remote limitsMessage
	if err := msgpack.Unmarshal(body, &remote); err != nil {
		return nil, err
	}
	local := p.f.allLimits()
	p.f.applyLimits(remote.Limits, p.domainOf(name))
	return msgpack.Marshal(local)
}

// domainOf returns the failure domain of the named peer, or an empty string if it is
// not known.
func (p *peers) domainOf(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.known[name]; o != nil {
		return o.daemon.Domain
	}
	return ""
}

// queueLimit queues an observation of a limit.
func (p *peers) queueLimit(u limitUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.Limits = append(p.pending.Limits, u)
	p.wake.wake()
}

// deniedEngines returns the engines to which this daemon should send no request now
// because of their limits.
func (f *Forwarder) deniedEngines(now time.Time) map[registrar.Identity]bool {
	cold := f.quotas.Denied(limiter.Normal, now)
	if f.limits.Digest() == 0 && len(cold) == 0 {
		return nil
	}
	denied := map[registrar.Identity]bool{}
	for _, id := range cold {
		denied[id] = true
	}
	for _, o := range f.limits.All() {
		if f.limits.DeniedFor(o.Endpoint, limiter.Normal, now) > 0 {
			denied[o.Endpoint] = true
		}
	}
	return denied
}

// reportAgeLimit returns the age of a report of an engine after which a daemon polls
// the engine itself.
func (f *Forwarder) reportAgeLimit(e registrar.Endpoint) time.Duration {
	return max(maxReportAge, maxReportAge/pollInterval*f.pollIntervalOf(e))
}

// pollIntervalOf returns the interval for polling an engine, which is longer than
// pollInterval if polls would use too much of its limit.
func (f *Forwarder) pollIntervalOf(e registrar.Endpoint) time.Duration {
	if rate, cold := f.coldRate(e, f.clock.Now()); cold {
		return max(pollInterval, min(time.Duration(float64(time.Second)/(max(rate, minColdRate)*coldPollShare)), maxPollInterval))
	}
	rate, limited := f.limits.Limit(e.Identity)
	if !limited || rate*pollShare*pollInterval.Seconds() >= 1 {
		return pollInterval
	}
	if rate*pollShare*maxPollInterval.Seconds() <= 1 {
		return maxPollInterval
	}
	return time.Duration(float64(time.Second) / (rate * pollShare))
}
