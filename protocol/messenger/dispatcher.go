package messenger

import (
	"context"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/timekeeper"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// newsMessage is the wire form of router.Report.
type newsMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Endpoint string
	BootID   string
	Leaving  bool
	Ready    []placementMessage
}

// placementMessage is the wire form of cataloger.Placement.
type placementMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Model    string
	Version  string
	Adapter  string
}

// SendNews tells the daemon at addr what is known of an endpoint.
func (m *Messenger) SendNews(ctx context.Context, addr string, rep router.Report) error {
	out := newsMessage{Endpoint: rep.Endpoint, BootID: rep.BootID, Leaving: rep.Leaving}
	for _, p := range rep.Ready {
		out.Ready = append(out.Ready, placementMessage{Model: p.Model, Version: p.Version, Adapter: p.Adapter})
	}
	body, err := msgpack.Marshal(&out)
	if err != nil {
		return errors.Wrap(err, "encode news")
	}
	return m.caller.Send(ctx, addr, methodNews, body)
}

// CallStatus asks the daemon at addr for its status.
func (m *Messenger) CallStatus(ctx context.Context, addr string) ([]byte, error) {
	return m.caller.Call(ctx, addr, methodStatus, nil)
}

// Dispatcher decodes the calls of other daemons and hands them on.
type Dispatcher struct {
	owners Owners
	gossip Gossip
	clock  timekeeper.Clock
}

// NewDispatcher returns a Dispatcher to the given handlers.
func NewDispatcher(owners Owners, gossip Gossip, clock timekeeper.Clock) *Dispatcher {
	return &Dispatcher{owners: owners, gossip: gossip, clock: clock}
}

// HandleCall answers one call.
func (d *Dispatcher) HandleCall(ctx context.Context, peer, method string, body []byte) ([]byte, error) {
	switch method {
	case methodPermit:
		return answer(body, func(m permitMessage) (actionMessage, error) { return d.permit(ctx, m) })
	case methodRelease:
		return answer(body, d.release)
	case methodQuote:
		return answer(body, d.quote)
	case methodHold:
		return answer(body, d.hold)
	case methodGossip:
		return nil, d.gossipCall(ctx, body)
	case methodConfig:
		return nil, d.configCall(peer, body)
	case methodNews:
		return answer(body, d.news)
	case methodStatus:
		return d.gossip.Status()
	}
	return nil, ErrMethod
}

// answer decodes a call, runs it and encodes its result.
func answer[In, Out any](body []byte, run func(In) (Out, error)) ([]byte, error) {
	var in In
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	out, err := run(in)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(&out)
}

func (d *Dispatcher) permit(ctx context.Context, m permitMessage) (actionMessage, error) {
	a, err := d.owners.Permit(ctx, m.Endpoint, m.request(d.clock.Now()))
	return actionMessage{
		Kind: int(a.Kind), Priority: a.EnginePriority,
		Reason: string(a.Reason), RetryAfter: a.RetryAfter,
	}, err
}

func (d *Dispatcher) release(m releaseMessage) (releaseReply, error) {
	res := admitter.Result{Produced: m.Produced, Finished: m.Finished}
	holder, err := d.owners.Release(m.Endpoint, m.Daemon, admitter.PermitID(m.ID), res)
	return releaseReply{Holder: holder}, err
}

func (d *Dispatcher) quote(m permitMessage) (quoteMessage, error) {
	q, err := d.owners.Quote(m.Endpoint, m.request(d.clock.Now()))
	return quoteMessage{Wait: q.Wait, Run: q.Run, Feasible: q.Feasible, Available: q.Available}, err
}

func (d *Dispatcher) hold(m holdMessage) (empty, error) {
	now := d.clock.Now()
	held := make([]admitter.Held, 0, len(m.Permits))
	for _, p := range m.Permits {
		held = append(held, admitter.Held{Request: p.request(now), Produced: p.Produced})
	}
	return empty{}, d.owners.Hold(m.Endpoint, m.Daemon, held)
}

func (d *Dispatcher) news(m newsMessage) (empty, error) {
	rep := router.Report{Endpoint: m.Endpoint, BootID: m.BootID, Leaving: m.Leaving}
	for _, p := range m.Ready {
		rep.Ready = append(rep.Ready, cataloger.Placement{Model: p.Model, Version: p.Version, Adapter: p.Adapter})
	}
	d.gossip.HandleNews(rep)
	return empty{}, nil
}
