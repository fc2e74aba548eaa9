// Package listener serves HTTP for the stand-ins, which are test doubles. It
// can break off its open connections, as the outside systems sometimes do.
package listener

import (
	"encoding/json"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Listener serves a handler on one address. Set the handler before Start.
type Listener struct {
	Handler fasthttp.RequestHandler

	mu     sync.Mutex
	ln     net.Listener
	conns  map[net.Conn]fasthttp.ConnState
	closed bool
	group  conc.WaitGroup
}

// Start listens on addr and serves in the background. It returns the address
// that it is bound to.
func (l *Listener) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &fasthttp.Server{
		Handler:               l.Handler,
		ConnState:             l.track,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discard{},
	}
	l.mu.Lock()
	l.ln = ln
	l.conns = make(map[net.Conn]fasthttp.ConnState)
	l.mu.Unlock()
	l.group.Go(func() {
		// The error is that of the closed listener.
		_ = srv.Serve(ln)
	})
	return ln.Addr().String(), nil
}

// Close stops listening and breaks off every connection.
func (l *Listener) Close() error {
	l.mu.Lock()
	ln := l.ln
	l.closed = true
	l.mu.Unlock()
	if ln == nil {
		return nil
	}
	err := ln.Close()
	l.CloseAll()
	l.group.Wait()
	return errors.Wrap(err, "close listener")
}

// CloseIdle closes the connections that wait for their next request.
func (l *Listener) CloseIdle() {
	l.closeWhere(func(state fasthttp.ConnState) bool { return state == fasthttp.StateIdle })
}

// CloseAll closes all connections, also those with a request in flight.
func (l *Listener) CloseAll() {
	l.closeWhere(func(fasthttp.ConnState) bool { return true })
}

func (l *Listener) closeWhere(match func(fasthttp.ConnState) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, state := range l.conns {
		if match(state) {
			_ = c.Close()
		}
	}
}

func (l *Listener) track(c net.Conn, state fasthttp.ConnState) {
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

// discard drops the log lines of the HTTP server, which tell of broken
// connections that the tests cause.
type discard struct{}

func (discard) Printf(string, ...any) {}

// WriteJSON answers with status and v as JSON.
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

// DropAnswer closes the connection of ctx without an answer.
func DropAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}
