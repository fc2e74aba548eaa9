package messenger

import (
	"context"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/timekeeper"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// leavingMessage tells that an endpoint takes no new work.
type leavingMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Endpoint string
	BootID   string
}

// SendGossip sends membership bytes to addr.
func (m *Messenger) SendGossip(ctx context.Context, addr string, body []byte) error {
	return m.caller.Send(ctx, addr, methodGossip, body)
}

// CallConfig sends configuration bytes to addr and returns the answer.
func (m *Messenger) CallConfig(ctx context.Context, addr string, body []byte) ([]byte, error) {
	return m.caller.Call(ctx, addr, methodConfig, body)
}

// SendLeaving tells the daemon at addr that an endpoint is leaving.
func (m *Messenger) SendLeaving(ctx context.Context, addr, endpoint, bootID string) error {
	body, err := msgpack.Marshal(&leavingMessage{Endpoint: endpoint, BootID: bootID})
	if err != nil {
		return errors.Wrap(err, "encode leaving")
	}
	return m.caller.Send(ctx, addr, methodLeaving, body)
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
		d.gossip.HandleGossip(peer, body)
		return nil, nil
	case methodConfig:
		return d.gossip.HandleConfig(peer, body)
	case methodLeaving:
		return answer(body, d.leaving)
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
	return empty{}, d.owners.Hold(m.Endpoint, held)
}

func (d *Dispatcher) leaving(m leavingMessage) (empty, error) {
	d.gossip.HandleLeaving(m.Endpoint, m.BootID)
	return empty{}, nil
}
