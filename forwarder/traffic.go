package forwarder

import (
	"context"
	"io"
	"time"

	"monsoonspar.example/protocol/decoder"
	"monsoonspar.example/state/registrar"
)

// Counters of the bytes that cross the borders of failure domains. Those of messages between
// daemons count what this daemon sends: bodies, without the frames around them. Those of calls and
// streams count requests sent to endpoints and response bodies received from them.
const (
	bytesReports = "domain_bytes_reports" // Load reports of engines.
	bytesUpdates = "domain_bytes_updates" // Everything else in batches of updates.
	bytesSyncs   = "domain_bytes_syncs"
	bytesControl = "domain_bytes_control" // Manifests, lists of endpoints, limits, grants, evidence and borrowed retries.
	bytesCalls   = "domain_bytes_calls"
	bytesStreams = "domain_bytes_streams"
)

// countBatch counts a batch of updates that was sent to a peer.
func (p *peers) countBatch(to Daemon, b batch) {
	if !p.isLocal(to) {
		p.f.metrics.add(bytesReports, b.reportBytes)
		p.f.metrics.add(bytesUpdates, len(b.body)-b.reportBytes)
	}
}

// countMessage counts the body of a call, or of the reply to one, that was sent to a daemon of the
// given failure domain; an empty one is not known and not counted.
func (p *peers) countMessage(domain, method string, n int) {
	switch {
	case domain == "" || domain == p.f.cfg.Daemon.Domain:
	case method == methodSync:
		p.f.metrics.add(bytesSyncs, n)
	default:
		p.f.metrics.add(bytesControl, n)
	}
}

// domainAt returns the failure domain of the peer with the given address, or an empty string if it
// is not known.
func (p *peers) domainAt(addr string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.known {
		if o.daemon.Addr == addr {
			return o.daemon.Domain
		}
	}
	return ""
}

// countedClient counts the bytes of the requests and responses that cross the borders of failure
// domains.
type countedClient struct {
	EndpointClient
	f *Forwarder
}

// Report implements EndpointClient.
func (c countedClient) Report(ctx context.Context, e registrar.Endpoint) (EngineReport, error) {
	r, err := c.EndpointClient.Report(ctx, e)
	c.f.countMalformed(err)
	return r, err
}

// Probe implements EndpointClient.
func (c countedClient) Probe(ctx context.Context, e registrar.Endpoint, healthPath string) (Notice, error) {
	n, err := c.EndpointClient.Probe(ctx, e, healthPath)
	c.f.countMalformed(err)
	return n, err
}

// WarmUp implements EndpointClient.
func (c countedClient) WarmUp(ctx context.Context, e registrar.Endpoint, healthPath string) (time.Duration, error) {
	d, err := c.EndpointClient.WarmUp(ctx, e, healthPath)
	c.f.countMalformed(err)
	return d, err
}

// Migrate implements EndpointClient.
func (c countedClient) Migrate(ctx context.Context, from registrar.Endpoint, id, to string, stopRun bool) (MigrationResult, error) {
	r, err := c.EndpointClient.Migrate(ctx, from, id, to, stopRun)
	c.f.countMalformed(err)
	return r, err
}

// countMalformed counts err if it is that of a malformed response, by the rule that the response breaks.
func (f *Forwarder) countMalformed(err error) {
	if form := decoder.FormOf(err); form != "" {
		f.metrics.count("malformed_responses_" + string(form))
	}
}

// Send implements EndpointClient.
func (c countedClient) Send(ctx context.Context, r *Request, d Dispatch) (Response, error) {
	res, err := c.EndpointClient.Send(ctx, r, d)
	c.f.countMalformed(err)
	if d.Endpoint.Domain == c.f.cfg.Daemon.Domain {
		return res, err
	}
	kind := c.f.trafficKind(d.Endpoint)
	c.f.metrics.add(kind, r.size())
	if res.Body != nil {
		res.Body = countedBody{ReadCloser: res.Body, count: func(n int) { c.f.metrics.add(kind, n) }}
	}
	return res, err
}

// trafficKind returns the counter of requests to an endpoint.
func (f *Forwarder) trafficKind(e registrar.Endpoint) string {
	if t := f.table.Load(); t != nil && t.Manifest.Services[e.Service].Engine != nil {
		return bytesStreams
	}
	return bytesCalls
}

// size returns the approximate size of the request in bytes, without the fields that are added for
// an endpoint.
func (r *Request) size() int {
	n := len(r.Method) + len(r.Host) + len(r.Path) + len(r.Body)
	for _, h := range r.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// countedBody counts the bytes that are read.
type countedBody struct {
	io.ReadCloser
	count func(n int)
}

// Read implements io.Reader.
func (b countedBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if n > 0 {
		b.count(n)
	}
	return n, err
}

// Abort resets the connection of the body.
func (b countedBody) Abort() { abortBody(b.ReadCloser) }
