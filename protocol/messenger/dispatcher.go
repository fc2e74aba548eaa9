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

// endpointStatusMessage is the wire form of router.EndpointStatus.
type endpointStatusMessage struct {
	Endpoint     string
	BootID       string
	ShuttingDown bool
	Ready        []placementMessage
}

// placementMessage is the wire form of cataloger.Placement.
type placementMessage struct {
	Model   string
	Version string
	Adapter string
}

// SendEndpointStatus sends the status of an endpoint to the daemon at addr.
func (m *Messenger) SendEndpointStatus(ctx context.Context, addr string, status router.EndpointStatus) error {
	out := endpointStatusMessage{Endpoint: status.Endpoint, BootID: status.BootID, ShuttingDown: status.ShuttingDown}
	for _, p := range status.Ready {
		out.Ready = append(out.Ready, placementMessage{Model: p.Model, Version: p.Version, Adapter: p.Adapter})
	}
	body, err := encode(&out)
	if err != nil {
		return err
	}
	return m.transport.Send(ctx, addr, methodEndpointStatus, body)
}

// CallStatus returns the status of the daemon at addr.
func (m *Messenger) CallStatus(ctx context.Context, addr string) ([]byte, error) {
	return m.transport.Call(ctx, addr, methodDaemonStatus, nil)
}

// Dispatcher decodes calls from peers and passes them to handlers.
type Dispatcher struct {
	permits PermitHandler
	cluster ClusterHandler
	names   NameResolver
	clock   timekeeper.Clock
}

// NewDispatcher returns a Dispatcher that passes calls to permits and cluster and
// resolves hashes with names.
func NewDispatcher(permits PermitHandler, cluster ClusterHandler, names NameResolver, clock timekeeper.Clock) *Dispatcher {
	return &Dispatcher{permits: permits, cluster: cluster, names: names, clock: clock}
}

// HandleCall handles one call from peer and returns the encoded reply.
func (d *Dispatcher) HandleCall(ctx context.Context, peer, method string, body []byte) ([]byte, error) {
	switch method {
	case methodPermit:
		return handle(body, func(m permitRequest) (permitReply, error) { return d.handlePermit(ctx, peer, m) })
	case methodRelease:
		return handle(body, func(m releaseRequest) (releaseReply, error) { return d.handleRelease(peer, m) })
	case methodRestore:
		return handle(body, func(m restoreRequest) (empty, error) { return d.handleRestore(peer, m) })
	case methodGossip:
		return nil, d.handleGossip(ctx, body)
	case methodConfig:
		return nil, d.handleConfig(peer, body)
	case methodEndpointStatus:
		return handle(body, d.handleEndpointStatus)
	case methodDaemonStatus:
		return d.cluster.Status()
	}
	return nil, ErrUnknownMethod
}

// handle decodes a request, passes it to handler and encodes the reply.
func handle[In, Out any](body []byte, handler func(In) (Out, error)) ([]byte, error) {
	var in In
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	out, err := handler(in)
	if err != nil {
		return nil, err
	}
	return encode(&out)
}

// resolve returns the names that a request carries or, if it carries none, those
// of its hashes. It reports false if a hash can't be resolved.
func (d *Dispatcher) resolve(m permitRequest) (permitNames, bool) {
	if m.Names != nil {
		return *m.Names, true
	}
	endpoint, ok1 := d.names.Name(m.EndpointHash)
	customer, ok2 := d.names.Name(m.CustomerHash)
	placement, ok3 := d.names.Name(m.PlacementHash)
	n := permitNames{Endpoint: endpoint, Customer: customer}
	placement, n.Adapter, _ = strings.Cut(placement, ":")
	n.Model, n.Version, _ = strings.Cut(placement, "@")
	return n, ok1 && ok2 && ok3
}

// apply returns r with its names set from n.
func (n permitNames) apply(r admitter.Request) admitter.Request {
	r.Customer, r.Model, r.Version, r.Adapter = n.Customer, n.Model, n.Version, n.Adapter
	return r
}

func (d *Dispatcher) handlePermit(ctx context.Context, peer string, m permitRequest) (permitReply, error) {
	names, ok := d.resolve(m)
	if !ok {
		return permitReply{Kind: replyUnknownNames}, nil
	}
	maxWait := time.Duration(m.MaxWaitMS) * time.Millisecond
	if m.MaxWaitMS < 0 {
		maxWait = UnlimitedWait
	}
	ctx = decodeTrace(ctx, m.Traceparent)
	result, err := d.permits.Permit(ctx, names.Endpoint, names.apply(m.request(peer, d.clock.Now())), maxWait)
	return newPermitReply(result), err
}

func (d *Dispatcher) handleRelease(peer string, m releaseRequest) (releaseReply, error) {
	endpoint, ok := d.names.Name(m.EndpointHash)
	if !ok {
		return releaseReply{}, ErrUnknownName
	}
	res := admitter.Result{Produced: m.Produced, Finished: m.Finished}
	holder, err := d.permits.Release(endpoint, peer, decodeID(m.ID), res)
	return releaseReply{Holder: holder}, err
}

func (d *Dispatcher) handleRestore(peer string, m restoreRequest) (empty, error) {
	now := d.clock.Now()
	held := make([]admitter.HeldPermit, 0, len(m.Permits))
	for _, p := range m.Permits {
		names, ok := d.resolve(p)
		if !ok {
			return empty{}, ErrUnknownName
		}
		held = append(held, admitter.HeldPermit{Request: names.apply(p.request(peer, now)), Produced: p.Produced})
	}
	return empty{}, d.permits.Restore(m.Endpoint, peer, held)
}

func (d *Dispatcher) handleEndpointStatus(m endpointStatusMessage) (empty, error) {
	status := router.EndpointStatus{Endpoint: m.Endpoint, BootID: m.BootID, ShuttingDown: m.ShuttingDown}
	for _, p := range m.Ready {
		status.Ready = append(status.Ready, cataloger.Placement{Model: p.Model, Version: p.Version, Adapter: p.Adapter})
	}
	d.cluster.HandleEndpointStatus(status)
	return empty{}, nil
}
