// Package listener is the HTTP server of the stand-ins. It can close open
// connections on demand, as real servers do when they fail or restart.
package listener

import (
	"encoding/json"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Listener serves Handler on one address. Handler must be set before Start.
type Listener struct {
	Handler fasthttp.RequestHandler

	mu     sync.Mutex
	ln     net.Listener
	conns  map[net.Conn]fasthttp.ConnState
	closed bool
	group  conc.WaitGroup
}

// Start listens on addr and serves in the background. It returns the bound
// address. It may be called again after Close.
func (l *Listener) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &fasthttp.Server{
		Handler:               l.Handler,
		ConnState:             l.trackConn,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	l.mu.Lock()
	l.ln, l.closed = ln, false
	l.conns = make(map[net.Conn]fasthttp.ConnState)
	l.mu.Unlock()
	l.group.Go(func() {
		// Serve returns an error when the listener is closed.
		_ = srv.Serve(ln)
	})
	return ln.Addr().String(), nil
}

// Close stops listening and closes all connections. It has no effect if Start has not been
// called since the last Close.
func (l *Listener) Close() error {
	l.mu.Lock()
	ln := l.ln
	l.ln, l.closed = nil, true
	l.mu.Unlock()
	if ln == nil {
		return nil
	}
	err := ln.Close()
	l.CloseAll()
	l.group.Wait()
	return errors.Wrap(err, "close listener")
}

// CloseIdle closes the idle keep-alive connections.
func (l *Listener) CloseIdle() {
	l.closeMatching(func(state fasthttp.ConnState) bool { return state == fasthttp.StateIdle })
}

// CloseAll closes all connections, including those with a request in flight.
func (l *Listener) CloseAll() {
	l.closeMatching(func(fasthttp.ConnState) bool { return true })
}

func (l *Listener) closeMatching(match func(fasthttp.ConnState) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, state := range l.conns {
		if match(state) {
			_ = c.Close()
		}
	}
}

func (l *Listener) trackConn(c net.Conn, state fasthttp.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == fasthttp.StateClosed {
		delete(l.conns, c)
		return
	}
	l.conns[c] = state
	if l.closed {
		_ = c.Close()
	}
}

// discardLogger discards the log of the HTTP server, which reports connections
// that the tests break on purpose.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// WriteJSON writes a response with status and v as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// DropResponse closes the connection of ctx without sending a response.
func DropResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}
