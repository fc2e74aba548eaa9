// Package dialer sends HTTP requests over pooled connections and tells exactly
// what is known when one fails.
//
// It encodes by fasthttp and keeps its own pool, since the client of that
// library neither tells whether a request was written nor bounds the silence of
// a streamed answer. A request is sent at most once; there is no retry here.
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

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/defaulter"
	"monsoonspar.example/state/timekeeper"
)

// readBufferBytes bounds the head of an answer.
const readBufferBytes = 4 << 10

// maxStrays bounds the answers to earlier requests that are dropped before a
// connection is given up. A faulty server sends one.
const maxStrays = 4

// errStrays ends a connection that brings only answers to earlier requests.
var errStrays = errors.New("too many answers to earlier requests")

// Config sets up a Dialer. Zero fields take the defaults.
type Config struct {
	DialTimeout  time.Duration // 1 s by default.
	WriteTimeout time.Duration // Of a whole request; 5 s by default.
	Silence      time.Duration // Of requests that set none; 10 s by default.
	MaxIdleAge   time.Duration // Idle connections are closed at this age; 30 s by default.
	FreshAge     time.Duration // Oldest idle connection for a non-idempotent request; 300 ms by default.
	MaxIdle      int           // Idle connections to one address; 64 by default.
}

func (c *Config) setDefaults() {
	defaulter.Set(&c.DialTimeout, time.Second)
	defaulter.Set(&c.WriteTimeout, 5*time.Second)
	defaulter.Set(&c.Silence, 10*time.Second)
	defaulter.Set(&c.MaxIdleAge, 30*time.Second)
	defaulter.Set(&c.FreshAge, 300*time.Millisecond)
	defaulter.Set(&c.MaxIdle, 64)
}

// Dialer is a requester.Doer. It is safe for concurrent use.
type Dialer struct {
	cfg   Config
	clock timekeeper.Clock
	pool  pool
	net   net.Dialer

	strays atomic.Int64
}

// Strays returns the number of answers dropped because they belonged to
// earlier requests.
func (d *Dialer) Strays() int64 { return d.strays.Load() }

// New returns a Dialer without connections.
func New(cfg Config, clock timekeeper.Clock) *Dialer {
	cfg.setDefaults()
	return &Dialer{
		cfg:   cfg,
		clock: clock,
		pool:  pool{maxIdle: cfg.MaxIdle, maxAge: cfg.MaxIdleAge},
		net:   net.Dialer{Timeout: cfg.DialTimeout},
	}
}

// Close closes the idle connections. Those in use are closed with their bodies.
func (d *Dialer) Close() { d.pool.close() }

// Do sends req and returns the answer as soon as its head is there. Errors
// match requester.ErrNotSent or requester.ErrUnknown; those of a connection
// that went silent match requester.ErrSilent as well. The end of ctx closes the
// connection, also while the body is being read.
func (d *Dialer) Do(ctx context.Context, req requester.Request) (requester.Response, error) {
	c, err := d.connect(ctx, req)
	if err != nil {
		return requester.Response{}, requester.FailureError{Kind: requester.ErrNotSent, Cause: err}
	}
	c.silence = req.Silence
	if c.silence == 0 {
		c.silence = d.cfg.Silence
	}
	c.bind(ctx)
	if err := d.send(c, req); err != nil {
		c.close()
		return requester.Response{}, c.failure(ctx, err)
	}
	res, err := d.receive(ctx, c, req)
	if err != nil {
		c.close()
		return requester.Response{}, c.failure(ctx, err)
	}
	return res, nil
}

// connect takes an idle connection or opens one.
func (d *Dialer) connect(ctx context.Context, req requester.Request) (*conn, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	maxAge := d.cfg.MaxIdleAge
	if req.NonIdempotent {
		maxAge = min(maxAge, d.cfg.FreshAge)
	}
	if c := d.pool.get(req.Addr, maxAge, d.clock.Now()); c != nil {
		return c, nil
	}
	raw, err := d.net.DialContext(ctx, "tcp", req.Addr)
	if err != nil {
		return nil, err
	}
	c := &conn{raw: raw, addr: req.Addr, clock: d.clock}
	c.r = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

func (d *Dialer) send(c *conn, req requester.Request) error {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	r.Header.SetMethod(req.Method)
	r.Header.SetRequestURI(req.Path)
	r.Header.SetNoDefaultContentType(true)
	host := req.Host
	if host == "" {
		host = req.Addr
	}
	r.Header.SetHost(host)
	for _, h := range req.Header {
		if !ofConnection(h.Name) {
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

// receive reads the head of the answer that belongs to req. Answers to earlier
// requests on the connection are read to their end and dropped.
func (d *Dialer) receive(ctx context.Context, c *conn, req requester.Request) (requester.Response, error) {
	for range maxStrays + 1 {
		r, err := readHead(c, req)
		if err != nil {
			return requester.Response{}, err
		}
		if !isStray(r, req.Echo) {
			return d.response(ctx, c, r), nil
		}
		d.strays.Add(1)
		if r.BodyStream() == nil {
			continue
		}
		if _, err := io.Copy(io.Discard, r.BodyStream()); err != nil {
			return requester.Response{}, errors.Wrap(err, "answer to an earlier request")
		}
	}
	return requester.Response{}, errStrays
}

// readHead reads an answer up to its body.
func readHead(c *conn, req requester.Request) (*fasthttp.Response, error) {
	r := &fasthttp.Response{StreamBody: true}
	r.SkipBody = req.Method == fasthttp.MethodHead
	r.Header.SetNoDefaultContentType(true)
	return r, r.ReadLimitBody(c.r, 0)
}

// isStray reports whether r repeats another value than that of the request.
func isStray(r *fasthttp.Response, echo requester.Header) bool {
	if echo.Name == "" {
		return false
	}
	got := r.Header.Peek(echo.Name)
	return len(got) > 0 && string(got) != echo.Value
}

// response describes an answer whose head has been read.
func (d *Dialer) response(ctx context.Context, c *conn, r *fasthttp.Response) requester.Response {
	res := requester.Response{Status: r.StatusCode(), Length: max(r.Header.ContentLength(), -1)}
	for name, value := range r.Header.All() {
		if !ofConnection(string(name)) {
			res.Header = append(res.Header, requester.Header{Name: string(name), Value: string(value)})
		}
	}
	res.Body = &body{
		ctx:      ctx,
		dialer:   d,
		conn:     c,
		stream:   r.BodyStream(),
		reusable: !r.ConnectionClose(),
		ended:    r.BodyStream() == nil,
	}
	return res
}
