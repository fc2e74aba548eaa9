// Package dialer sends HTTP requests over pooled connections. For a request that
// fails it reports whether the server may have received it.
//
// It encodes requests with fasthttp, but reads responses with package decoder,
// which repairs nothing, and has its own connection pool, since the client of
// that library neither reports whether a request was written nor has a read
// timeout between the chunks of a streamed response. A request is sent at most
// once; this package does not retry.
package dialer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/decoder"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/defaulter"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/peeker"
)

// readBufferBytes is the size of the read buffer; a line of a response has to fit.
const readBufferBytes = 4 << 10

// minSilence is the time without a byte after which a connection counts as silent; a client may give up
// a request at any time before.
const minSilence = 300 * time.Millisecond

// maxStaleResponses is the number of responses to earlier requests that are
// dropped before the connection is closed. A faulty server sends one.
const maxStaleResponses = 4

// Limits of the responses to earlier requests that are read before the response to a request.
const (
	maxStaleBytes     = 1 << 20 // Size of the bodies.
	headTimeoutFactor = 2       // Multiple of the read timeout in which the header of the response must arrive.
)

// errStaleResponses means that a connection delivered only responses to earlier
// requests.
var errStaleResponses = errors.New("too many responses to earlier requests")

// errNoResponseFollows means that a response to an earlier request ends with its connection.
var errNoResponseFollows = errors.New("a response to an earlier request ends with the connection")

// Network opens the connections of a Dialer.
type Network interface {
	// Dial opens a connection to addr.
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Usable reports whether an idle connection to addr may be used for another request, and answered
	// whether it has brought a response before.
	Usable(addr string, c net.Conn, answered bool) bool
	// RecordAnswer records that a connection to addr brought the header of a response, and when
	// the connection was opened.
	RecordAnswer(addr string, c net.Conn, openedAt time.Time)
	// RecordSilence records that a connection to addr brought nothing back for a while after a
	// request.
	RecordSilence(addr string, c net.Conn)
	// RecordBreak records that a connection to addr was reset or closed before it brought anything
	// back for a request.
	RecordBreak(addr string, c net.Conn)
}

// indirect is a connection that goes through a third party.
type indirect interface {
	Via() string
}

// tcp is the Network that connects directly.
type tcp struct{ net.Dialer }

// Dial implements Network.
func (t *tcp) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return t.DialContext(ctx, "tcp", addr)
}

// Usable implements Network.
func (*tcp) Usable(string, net.Conn, bool) bool { return true }

// RecordAnswer implements Network.
func (*tcp) RecordAnswer(string, net.Conn, time.Time) {}

// RecordSilence implements Network.
func (*tcp) RecordSilence(string, net.Conn) {}

// RecordBreak implements Network.
func (*tcp) RecordBreak(string, net.Conn) {}

// Config configures a Dialer. Zero fields take the defaults.
type Config struct {
	Network Network // Connects directly by default.

	DialTimeout             time.Duration // Of the default Network; 1 s by default.
	WriteTimeout            time.Duration // Of a complete request; 5 s by default.
	ReadTimeout             time.Duration // Between bytes of a response, for requests that set none; 10 s by default.
	MaxIdleAge              time.Duration // Connections that are idle for longer are closed; 30 s by default.
	NonIdempotentMaxIdleAge time.Duration // Longest idle time of a connection for a non-idempotent request; 300 ms by default.
	ReceiveBufferBytes      int           // Receive buffer of connections, which bounds what the kernel holds of responses that are not read; sized by the kernel by default.
	MaxIdlePerAddr          int           // Idle connections to one address; 64 by default.
}

func (c *Config) setDefaults() {
	defaulter.Set(&c.DialTimeout, time.Second)
	defaulter.Set(&c.WriteTimeout, 5*time.Second)
	defaulter.Set(&c.ReadTimeout, 10*time.Second)
	defaulter.Set(&c.MaxIdleAge, 30*time.Second)
	defaulter.Set(&c.NonIdempotentMaxIdleAge, 300*time.Millisecond)
	defaulter.Set(&c.MaxIdlePerAddr, 64)
	if c.Network == nil {
		c.Network = &tcp{net.Dialer{Timeout: c.DialTimeout}}
	}
}

// Dialer is a requester.Client. It is safe for concurrent use.
type Dialer struct {
	cfg   Config
	clock timekeeper.Clock
	pool  pool

	staleResponses atomic.Int64
}

// StaleResponses returns the number of responses that were dropped because they
// belonged to earlier requests.
func (d *Dialer) StaleResponses() int64 { return d.staleResponses.Load() }

// New returns a Dialer without connections.
func New(cfg Config, clock timekeeper.Clock) *Dialer {
	cfg.setDefaults()
	return &Dialer{
		cfg:   cfg,
		clock: clock,
		pool:  pool{maxIdlePerAddr: cfg.MaxIdlePerAddr, maxAge: cfg.MaxIdleAge, usable: cfg.Network.Usable},
	}
}

// DiscardUnusable closes the idle connections that may not be used any more according to the
// Network.
func (d *Dialer) DiscardUnusable() { d.pool.discardUnusable() }

// Close closes the idle connections. Connections in use are closed when the
// bodies of their responses are closed.
func (d *Dialer) Close() { d.pool.close() }

// Do sends req and returns the response as soon as its header has been read.
// Errors match requester.ErrNotSent or requester.ErrOutcomeUnknown; read timeouts
// match requester.ErrReadTimeout as well. The end of ctx closes the connection,
// also while the body is being read.
func (d *Dialer) Do(ctx context.Context, req requester.Request) (requester.Response, error) {
	c, err := d.connect(ctx, req)
	if err != nil {
		return requester.Response{}, requester.FailureError{Kind: requester.ErrNotSent, Cause: err}
	}
	if ctx.Err() != nil { // The connection may have taken some time.
		d.pool.put(c, d.clock.Now())
		return requester.Response{}, requester.FailureError{Kind: requester.ErrNotSent, Cause: ctx.Err()}
	}
	c.readTimeout = req.ReadTimeout
	if c.readTimeout == 0 {
		c.readTimeout = d.cfg.ReadTimeout
	}
	c.headDeadline, c.answered = time.Time{}, false
	sentAt := d.clock.Now()
	c.silentAt = time.Time{}
	if req.Prompt {
		c.silentAt = sentAt.Add(minSilence)
	}
	c.bind(ctx)
	if err := d.send(c, req); err != nil {
		d.recordFailure(ctx, c, err, sentAt)
		c.close()
		return requester.Response{}, c.wrapFailure(ctx, err)
	}
	res, err := d.receive(ctx, c, req)
	if err != nil {
		d.recordFailure(ctx, c, err, sentAt)
		if errors.Is(err, decoder.ErrMalformed) {
			c.reset() // The server may work on, and notices a reset sooner.
		}
		c.close()
		return requester.Response{}, c.wrapFailure(ctx, err)
	}
	d.cfg.Network.RecordAnswer(c.addr, c.raw, c.openedAt)
	return res, nil
}

// recordFailure tells the Network what the failure of a request that was sent at a time shows of its connection.
func (d *Dialer) recordFailure(ctx context.Context, c *conn, err error, sentAt time.Time) {
	switch {
	case c.answered:
	case ctx.Err() == nil && !isTimeout(err):
		d.cfg.Network.RecordBreak(c.addr, c.raw)
	case d.clock.Now().Sub(sentAt) >= minSilence:
		d.cfg.Network.RecordSilence(c.addr, c.raw)
	}
}

// connect takes an idle connection from the pool or opens a new one.
func (d *Dialer) connect(ctx context.Context, req requester.Request) (*conn, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	maxAge := d.cfg.MaxIdleAge
	if req.NonIdempotent {
		maxAge = min(maxAge, d.cfg.NonIdempotentMaxIdleAge)
	}
	if !req.OwnConnection {
		if c := d.pool.get(req.Addr, maxAge, d.clock.Now()); c != nil {
			return c, nil
		}
	}
	return d.open(ctx, req.Addr)
}

// open opens a connection.
func (d *Dialer) open(ctx context.Context, addr string) (*conn, error) {
	raw, err := d.cfg.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if c, ok := raw.(interface{ SetReadBuffer(bytes int) error }); ok && d.cfg.ReceiveBufferBytes > 0 {
		if err := c.SetReadBuffer(d.cfg.ReceiveBufferBytes); err != nil {
			_ = raw.Close() // It was not used.
			return nil, err
		}
	}
	c := &conn{raw: raw, addr: addr, clock: d.clock, openedAt: d.clock.Now()}
	c.silent = func() { d.cfg.Network.RecordSilence(addr, raw) }
	c.r = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// errConnectionEnded means that the server has ended a connection at once.
var errConnectionEnded = errors.New("connection ended after it was accepted")

// settleTime is the time after which Connect looks whether a connection is still open. A process
// that is being ended may accept one between the ends of its connections and of its listener.
const settleTime = 20 * time.Millisecond

// Connect opens a connection to addr and adds it to the idle ones. It fails if the server
// does not accept it before ctx ends or the Network gives up, or ends it within settleTime.
func (d *Dialer) Connect(ctx context.Context, addr string) error {
	c, err := d.open(ctx, addr)
	if err != nil {
		return err
	}
	settled := time.NewTimer(settleTime)
	defer settled.Stop()
	select {
	case <-settled.C:
	case <-ctx.Done():
		_ = c.raw.Close() // It was not used.
		return ctx.Err()
	}
	if peeker.Peek(c.raw) == peeker.Closed {
		_ = c.raw.Close() // It was not used.
		return errConnectionEnded
	}
	d.pool.put(c, d.clock.Now())
	return nil
}

func (d *Dialer) send(c *conn, req requester.Request) error {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	r.Header.DisableSpecialHeader() // Otherwise the library writes cookies and other fields anew.
	r.Header.SetMethod(req.Method)
	r.Header.SetRequestURI(req.Path)
	r.Header.SetNoDefaultContentType(true)
	host := req.Host
	if host == "" {
		host = req.Addr
	}
	r.Header.Add(fasthttp.HeaderHost, host)
	for _, h := range req.Header {
		if !isConnectionHeader(h.Name) {
			r.Header.Add(h.Name, h.Value)
		}
	}
	r.SetBodyRaw(req.Body)
	c.written = 0
	if err := c.raw.SetWriteDeadline(d.clock.Now().Add(d.cfg.WriteTimeout)); err != nil {
		return err
	}
	_, err := r.WriteTo(c)
	return err
}

// receive reads the header of the response to req. Responses to earlier requests
// on the connection are read to their end and dropped.
func (d *Dialer) receive(ctx context.Context, c *conn, req requester.Request) (requester.Response, error) {
	c.headDeadline = d.clock.Now().Add(headTimeoutFactor * c.readTimeout)
	stale := verifier.Body{Limit: maxStaleBytes}
	for range maxStaleResponses + 1 {
		head, err := decoder.ReadHead(c.r, req.Method)
		if err != nil {
			return requester.Response{}, err
		}
		c.responses++
		if !isStaleResponse(head, req.EchoedHeader) {
			c.headDeadline = time.Time{}
			return d.response(ctx, c, head, req.OwnConnection), nil
		}
		d.staleResponses.Add(1)
		if err := discardStale(c.r, head, &stale); err != nil {
			return requester.Response{}, errors.Wrap(err, "read response to an earlier request")
		}
	}
	return requester.Response{}, errStaleResponses
}

// discardStale reads the body of a response to an earlier request. It fails at once if no
// response can follow it or if it exceeds the limit of total.
func discardStale(r *bufio.Reader, head decoder.Head, total *verifier.Body) error {
	body := head.Body(r)
	switch {
	case head.Framing == verifier.ByConnection:
		return errNoResponseFollows
	case body == nil:
		return nil
	}
	if err := total.Declare(total.Size + max(head.Length, 0)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, int64(total.Limit-total.Size)+1))
	if err != nil {
		return err
	}
	return total.Add(int(n))
}

// isStaleResponse reports whether a response belongs to an earlier request: its echoed
// header field differs from that of the request.
func isStaleResponse(head decoder.Head, echo requester.Header) bool {
	if echo.Name == "" {
		return false
	}
	got := requester.Response{Header: head.Fields}.Get(echo.Name)
	return got != "" && got != echo.Value
}

// response converts a response whose header has been read.
func (d *Dialer) response(ctx context.Context, c *conn, head decoder.Head, ownConnection bool) requester.Response {
	res := requester.Response{Status: head.Status, Length: head.Length, Framing: head.Framing, Via: c.via(), Reused: c.responses > 1}
	for _, f := range head.Fields {
		if !isConnectionHeader(f.Name) {
			res.Header = append(res.Header, f)
		}
	}
	stream := head.Body(c.r)
	res.Body = &body{
		ctx:      ctx,
		dialer:   d,
		conn:     c,
		unbind:   c.unbind,
		stream:   stream,
		reusable: !head.Close && !ownConnection,
		atEOF:    stream == nil,
	}
	return res
}
