package forwarder

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/coordination/gatekeeper"
	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/registrar"
)

// Endpoints that are brittle end if they have to reject too many requests within a second. Package
// gatekeeper bounds how many requests of all daemons together are at each of them. Everything that
// may wait for a slot there counts: first attempts, retries, resumes and new runs.

// errNoRoom means that a brittle endpoint has no room for a request.
var errNoRoom = errors.New("the endpoint has no room, and rejecting requests may end it")

// isUnreachable reports whether err proves that a request was not sent, since the endpoint could not be
// reached.
func isUnreachable(err error) bool {
	return err != nil && provesNotRun(err) && !errors.Is(err, errNoRoom)
}

// placeTimeout limits the answer of a daemon that admits requests; a request waits during this time.
const placeTimeout = 100 * time.Millisecond

// placeRequest asks for one request to a brittle endpoint.
type placeRequest struct {
	Endpoint  registrar.Identity `msgpack:"endpoint"`
	Domain    string             `msgpack:"domain"` // Failure domain of the endpoint.
	Service   string             `msgpack:"service"`
	Daemon    string             `msgpack:"daemon"`
	Slots     int                `msgpack:"slots"`
	Tolerance int                `msgpack:"tolerance"`
	AgeMs     int64              `msgpack:"age_ms"` // Of the answer that named the tolerance.
	Urgent    bool               `msgpack:"urgent,omitempty"`
	Relayed   bool               `msgpack:"relayed,omitempty"`
}

func (r *placeRequest) endpoint() registrar.Endpoint {
	return registrar.Endpoint{Identity: r.Endpoint, Domain: r.Domain}
}

// placeResponse is the response to a placeRequest.
type placeResponse struct {
	Admitted     bool  `msgpack:"admitted"`
	RetryAfterMs int64 `msgpack:"retry_after_ms,omitempty"`
}

// leaveMessage tells that a request to a brittle endpoint has ended.
type leaveMessage struct {
	Endpoint registrar.Identity `msgpack:"endpoint"`
	Daemon   string             `msgpack:"daemon"`
	Slots    int                `msgpack:"slots"`
	Rejected bool               `msgpack:"rejected,omitempty"` // By the endpoint, for want of room.
}

// holdingsMessage tells how many requests of a daemon are at the endpoints whose requests the receiver
// admits.
type holdingsMessage struct {
	Daemon   string    `msgpack:"daemon"`
	Holdings []holding `msgpack:"holdings"`
}

type holding struct {
	Endpoint registrar.Identity `msgpack:"endpoint"`
	Count    int                `msgpack:"count"`
}

// brittleState is the wire form of what a daemon knows of a brittle service.
type brittleState struct {
	Service   string `msgpack:"service"`
	Tolerance int    `msgpack:"tolerance"`
	AgeMs     int64  `msgpack:"age_ms"`
}

// brittleServices returns what this daemon knows of brittle services, for a peer.
func (f *Forwarder) brittleServices(now time.Time) []brittleState {
	var all []brittleState
	for _, name := range f.gates.Services(now) {
		if tolerance, at, ok := f.gates.Brittle(name, now); ok {
			all = append(all, brittleState{Service: name, Tolerance: tolerance, AgeMs: now.Sub(at).Milliseconds()})
		}
	}
	return all
}

// applyBrittle records what a peer knows of brittle services.
func (f *Forwarder) applyBrittle(all []brittleState) {
	now := f.clock.Now()
	for _, b := range all {
		f.observeBrittle(b.Service, b.Tolerance, now.Add(-time.Duration(b.AgeMs)*time.Millisecond), "peer")
	}
}

// observeBrittle records that the endpoints of a service are brittle.
func (f *Forwarder) observeBrittle(service string, tolerance int, at time.Time, source string) {
	now := f.clock.Now()
	_, _, known := f.gates.Brittle(service, now)
	f.gates.Observe(service, tolerance, at)
	if _, _, brittle := f.gates.Brittle(service, now); brittle && !known {
		f.metrics.count("services_brittle")
		f.log.Info().Str("service", service).Int("rejections", tolerance).Str("source", source).Msg("forwarder: endpoints of a service are brittle; requests to them are admitted by one daemon each")
	}
}

// place is the place of a request at a brittle endpoint.
type place struct {
	f         *Forwarder
	endpoint  registrar.Endpoint
	admitter  limiter.Daemon // Daemon that counts it; without a name, none does.
	tolerance int
}

// enter asks for a place at the endpoint of a dispatch. It returns nil if the endpoint is not brittle, and
// errNoRoom if it has no room.
func (f *Forwarder) enter(ctx context.Context, d *Dispatch) (*place, error) {
	tolerance, at, ok := f.gates.Brittle(d.Endpoint.Service, f.clock.Now())
	if !ok {
		return nil, nil
	}
	e := d.Endpoint
	ask := placeRequest{
		Endpoint: e.Identity, Domain: e.Domain, Service: e.Service, Daemon: f.cfg.Daemon.Name, Slots: e.Slots, Tolerance: tolerance,
		AgeMs: f.clock.Now().Sub(at).Milliseconds(), Urgent: d.Resume.Copy != "",
	}
	admitter, res := f.askForPlace(ctx, e, ask)
	if !res.Admitted {
		f.metrics.count("places_denied")
		return nil, errNoRoom
	}
	f.metrics.count("places_admitted")
	f.gates.Enter(e.Identity)
	return &place{f: f, endpoint: e, admitter: admitter, tolerance: tolerance}, nil
}

// askForPlace asks the daemons that may admit requests to an endpoint until one of them answers. If none
// does, a daemon sends one request at a time.
func (f *Forwarder) askForPlace(ctx context.Context, e registrar.Endpoint, ask placeRequest) (limiter.Daemon, placeResponse) {
	for _, d := range f.members.Rank(e, f.clock.Now()) {
		if f.members.IsSelf(d) {
			return d, f.admitPlace(ask)
		}
		c, cancel := context.WithTimeout(ctx, placeTimeout)
		var res placeResponse
		err := f.peers.call(c, d.Addr, methodPlace, ask, &res)
		cancel()
		if err == nil {
			return d, res
		}
		if ctx.Err() != nil {
			break
		}
		f.members.MarkFailed(d.Name, f.clock.Now())
		f.metrics.count("place_asks_failed")
	}
	return limiter.Daemon{}, placeResponse{Admitted: f.gates.Own(e.Identity) == 0}
}

// admitPlace decides about an ask on behalf of all daemons for which this daemon may.
func (f *Forwarder) admitPlace(ask placeRequest) placeResponse {
	now := f.clock.Now()
	d := f.gates.Admit(ask.Endpoint, gatekeeper.Ask{Daemon: ask.Daemon, Slots: ask.Slots, Tolerance: ask.Tolerance, Urgent: ask.Urgent},
		f.members.Share(ask.endpoint(), now), now)
	return placeResponse{Admitted: d.Admitted, RetryAfterMs: d.RetryAfter.Milliseconds()}
}

// handlePlaces handles a call of a peer about places.
func (f *Forwarder) handlePlaces(ctx context.Context, method string, body []byte) ([]byte, error) {
	switch method {
	case methodPlace:
		return f.handlePlace(ctx, body)
	case methodLeave:
		return nil, f.handleLeave(body)
	default:
		return nil, f.handleHoldings(body)
	}
}

// handlePlace handles the ask of a peer. If another daemon precedes this one, which the peer may fail
// to reach, the ask is passed on to it.
func (f *Forwarder) handlePlace(ctx context.Context, body []byte) ([]byte, error) {
	var ask placeRequest
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	now := f.clock.Now()
	f.observeBrittle(ask.Service, ask.Tolerance, now.Add(-time.Duration(ask.AgeMs)*time.Millisecond), "peer")
	if first, relay := f.members.Relay(ask.endpoint(), now); relay && !ask.Relayed {
		ask.Relayed = true
		c, cancel := context.WithTimeout(ctx, placeTimeout/2)
		defer cancel()
		var res placeResponse
		if f.peers.call(c, first.Addr, methodPlace, ask, &res) == nil {
			return msgpack.Marshal(res)
		}
	}
	return msgpack.Marshal(f.admitPlace(ask))
}

// leave records that the request has ended, and whether the endpoint has rejected it for want of room.
func (p *place) leave(rejected bool) {
	f := p.f
	f.gates.Leave(p.endpoint.Identity)
	m := leaveMessage{Endpoint: p.endpoint.Identity, Daemon: f.cfg.Daemon.Name, Slots: p.endpoint.Slots, Rejected: rejected}
	if rejected {
		f.metrics.count("brittle_rejections")
	}
	switch {
	case p.admitter.Name == "":
	case f.members.IsSelf(p.admitter):
		f.gates.Release(m.Endpoint, m.Daemon, m.Slots, m.Rejected, f.clock.Now())
	default:
		f.spawn(func() { f.peers.send(p.admitter.Addr, methodLeave, m) })
	}
}

// handleLeave handles the end of a request of a peer.
func (f *Forwarder) handleLeave(body []byte) error {
	var m leaveMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return err
	}
	f.gates.Release(m.Endpoint, m.Daemon, m.Slots, m.Rejected, f.clock.Now())
	return nil
}

// handleHoldings handles the report of a peer.
func (f *Forwarder) handleHoldings(body []byte) error {
	var m holdingsMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return err
	}
	f.recordHoldings(m)
	return nil
}

func (f *Forwarder) recordHoldings(m holdingsMessage) {
	now := f.clock.Now()
	for _, h := range m.Holdings {
		if f.registry.Known(h.Endpoint) {
			f.gates.Report(h.Endpoint, m.Daemon, h.Count, now)
		}
	}
}

// reportHoldings tells the daemons that admit requests to brittle endpoints how many of this daemon are
// there, until ctx ends. Nothing is sent while no service is brittle.
func (f *Forwarder) reportHoldings(ctx context.Context) {
	for f.clock.Sleep(ctx, gatekeeper.ReportInterval) == nil {
		now := f.clock.Now()
		byAdmitter := map[limiter.Daemon][]holding{}
		held := f.gates.Holdings()
		for _, service := range f.gates.Services(now) {
			for _, e := range f.registry.Serving(service) {
				first := f.members.Rank(e, now)[0]
				byAdmitter[first] = append(byAdmitter[first], holding{Endpoint: e.Identity, Count: held[e.Identity]})
			}
		}
		for d, all := range byAdmitter {
			m := holdingsMessage{Daemon: f.cfg.Daemon.Name, Holdings: all}
			if f.members.IsSelf(d) {
				f.recordHoldings(m)
				continue
			}
			f.peers.send(d.Addr, methodHoldings, m)
		}
	}
}

// send sends a one-way message to the daemon at addr. One that is lost is not sent again.
func (p *peers) send(addr, method string, m any) {
	body, err := msgpack.Marshal(m)
	if err != nil {
		p.f.log.Error().Err(err).Str("method", method).Msg("forwarder: could not encode a message")
		return
	}
	ctx, cancel := context.WithTimeout(p.f.ctx, placeTimeout)
	defer cancel()
	p.countMessage(p.domainAt(addr), method, len(body))
	_ = p.node.Send(ctx, addr, method, body) // A report makes up for it.
}

// placedBody is the body of a response of a brittle endpoint. The request holds its place until the body
// is closed.
type placedBody struct {
	io.ReadCloser
	place    *place
	rejected bool
	once     sync.Once
}

// Close implements io.Closer.
func (b *placedBody) Close() error {
	b.once.Do(func() { b.place.leave(b.rejected) })
	return b.ReadCloser.Close()
}

// Abort resets the connection of the body, which has to be closed all the same.
func (b *placedBody) Abort() { abortBody(b.ReadCloser) }

// gatedClient asks for a place before it sends a request to a brittle endpoint.
type gatedClient struct {
	EndpointClient
	f *Forwarder
}

// Send implements EndpointClient. The error matches errNoRoom if the request was not sent for want of
// room.
func (c gatedClient) Send(ctx context.Context, r *Request, d Dispatch) (Response, error) {
	p, err := c.f.enter(ctx, &d)
	if err != nil {
		return Response{}, requester.FailureError{Kind: requester.ErrNotSent, Cause: err}
	}
	res, err := c.EndpointClient.Send(ctx, r, d)
	if p == nil {
		return res, err
	}
	if err != nil {
		p.leave(false)
		return res, err
	}
	res.Body = &placedBody{ReadCloser: res.Body, place: p, rejected: res.NotExecuted && !res.Misdirected}
	return res, nil
}

// Probe implements EndpointClient.
func (c gatedClient) Probe(ctx context.Context, e registrar.Endpoint, healthPath string) (Notice, error) {
	if healthPath == "" { // Load reports need no slot.
		return c.EndpointClient.Probe(ctx, e, healthPath)
	}
	p, err := c.f.enter(ctx, &Dispatch{Endpoint: e})
	if err != nil {
		return Notice{}, requester.FailureError{Kind: requester.ErrNotSent, Cause: err}
	}
	n, err := c.EndpointClient.Probe(ctx, e, healthPath)
	if p != nil {
		p.leave(false)
	}
	return n, err
}

// WarmUp implements EndpointClient. Health requests wait for a slot like others.
func (c gatedClient) WarmUp(ctx context.Context, e registrar.Endpoint, healthPath string) (time.Duration, error) {
	p, err := c.f.enter(ctx, &Dispatch{Endpoint: e})
	if err != nil {
		return 0, err
	}
	d, err := c.EndpointClient.WarmUp(ctx, e, healthPath)
	if p != nil {
		p.leave(false)
	}
	return d, err
}
