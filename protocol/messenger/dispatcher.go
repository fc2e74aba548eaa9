package messenger

import (
	"context"
	"strings"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/timekeeper"
)

// newsMessage is the wire form of router.Report.
type newsMessage struct {
	Endpoint string
	BootID   string
	Leaving  bool
	Ready    []placementMessage
}

// placementMessage is the wire form of cataloger.Placement.
type placementMessage struct {
	Model   string
	Version string
	Adapter string
}

// SendNews tells the daemon at addr what is known of an endpoint.
func (m *Messenger) SendNews(ctx context.Context, addr string, rep router.Report) error {
	out := newsMessage{Endpoint: rep.Endpoint, BootID: rep.BootID, Leaving: rep.Leaving}
	for _, p := range rep.Ready {
		out.Ready = append(out.Ready, placementMessage{Model: p.Model, Version: p.Version, Adapter: p.Adapter})
	}
	body, err := pack(&out)
	if err != nil {
		return err
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
	names  Names
	clock  timekeeper.Clock
}

// NewDispatcher returns a Dispatcher to the given handlers.
func NewDispatcher(owners Owners, gossip Gossip, names Names, clock timekeeper.Clock) *Dispatcher {
	return &Dispatcher{owners: owners, gossip: gossip, names: names, clock: clock}
}

// HandleCall answers one call.
func (d *Dispatcher) HandleCall(ctx context.Context, peer, method string, body []byte) ([]byte, error) {
	switch method {
	case methodPermit:
		return answer(body, func(m permitMessage) (answerMessage, error) { return d.permit(ctx, peer, m) })
	case methodRelease:
		return answer(body, func(m releaseMessage) (releaseReply, error) { return d.release(peer, m) })
	case methodHold:
		return answer(body, func(m holdMessage) (empty, error) { return d.hold(peer, m) })
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
	return pack(&out)
}

// resolve returns the names of a message, from its hashes if need be.
func (d *Dispatcher) resolve(m permitMessage) (permitNames, bool) {
	if m.Names != nil {
		return *m.Names, true
	}
	endpoint, ok1 := d.names.Name(m.Endpoint)
	customer, ok2 := d.names.Name(m.Customer)
	placement, ok3 := d.names.Name(m.Placement)
	n := permitNames{Endpoint: endpoint, Customer: customer}
	placement, n.Adapter, _ = strings.Cut(placement, ":")
	n.Model, n.Version, _ = strings.Cut(placement, "@")
	return n, ok1 && ok2 && ok3
}

// apply fills in the names of a request.
func (n permitNames) apply(r admitter.Request) admitter.Request {
	r.Customer, r.Model, r.Version, r.Adapter = n.Customer, n.Model, n.Version, n.Adapter
	return r
}

func (d *Dispatcher) permit(ctx context.Context, peer string, m permitMessage) (answerMessage, error) {
	names, ok := d.resolve(m)
	if !ok {
		return answerMessage{Kind: answerUnknownNames}, nil
	}
	maxWait := time.Duration(m.MaxWaitMS) * time.Millisecond
	if m.MaxWaitMS < 0 {
		maxWait = NoBound
	}
	ctx = decodeTrace(ctx, m.Trace)
	a, err := d.owners.Permit(ctx, names.Endpoint, names.apply(m.request(peer, d.clock.Now())), maxWait)
	return newAnswerMessage(a), err
}

func (d *Dispatcher) release(peer string, m releaseMessage) (releaseReply, error) {
	endpoint, ok := d.names.Name(m.Endpoint)
	if !ok {
		return releaseReply{}, ErrNames
	}
	res := admitter.Result{Produced: m.Produced, Finished: m.Finished}
	holder, err := d.owners.Release(endpoint, peer, decodeID(m.ID), res)
	return releaseReply{Holder: holder}, err
}

func (d *Dispatcher) hold(peer string, m holdMessage) (empty, error) {
	now := d.clock.Now()
	held := make([]admitter.HeldPermit, 0, len(m.Permits))
	for _, p := range m.Permits {
		names, ok := d.resolve(p)
		if !ok {
			return empty{}, ErrNames
		}
		held = append(held, admitter.HeldPermit{Request: names.apply(p.request(peer, now)), Produced: p.Produced})
	}
	return empty{}, d.owners.Hold(m.Endpoint, peer, held)
}

func (d *Dispatcher) news(m newsMessage) (empty, error) {
	rep := router.Report{Endpoint: m.Endpoint, BootID: m.BootID, Leaving: m.Leaving}
	for _, p := range m.Ready {
		rep.Ready = append(rep.Ready, cataloger.Placement{Model: p.Model, Version: p.Version, Adapter: p.Adapter})
	}
	d.gossip.HandleNews(rep)
	return empty{}, nil
}
