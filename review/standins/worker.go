package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker of a plain service. It runs each request that it has read, and
// answers with what reply returns.
type worker struct {
	e       *env
	id      string
	service string
	zone    string
	addr    string
	born    int64
	reply   func(w *worker, c net.Conn, r *request) bool // Writes the answer; reports whether the connection is kept.

	mu   sync.Mutex
	runs map[string]int // By request ID.
}

// request is a request as a worker has read it.
type request struct {
	*http.Request
	id   string
	body []byte
}

func newWorker(e *env, id, service, zone string, reply func(w *worker, c net.Conn, r *request) bool) (*worker, error) {
	w := &worker{e: e, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), reply: reply, runs: map[string]int{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = ln.Addr().String()
	e.onEnd(func() { _ = ln.Close() })
	e.group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.onEnd(func() { _ = c.Close() })
			e.group.Go(func() { w.serve(c) })
		}
	})
	w.register("ready")
	return w, nil
}

// register writes the entry of the worker.
func (w *worker) register(state string) {
	w.e.store.put("servers", w.id, map[string]any{
		"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 24, "state": state, "cold_left_ms": 0, "seq": 1, "born": w.born,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req := &request{Request: r, id: r.Header.Get(name("request_id")), body: body}
		switch {
		case r.URL.Path == "/healthz":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", name("instance"), w.id)
		case r.Header.Get(name("expect")) != "" && r.Header.Get(name("expect")) != w.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", name("request_id"), req.id, name("instance"), w.id)
		default:
			w.mu.Lock()
			w.runs[req.id]++
			n := w.runs[req.id]
			w.mu.Unlock()
			w.e.rec.printf("%s: runs %s (run %d of it), %d bytes of body", w.id, req.id, n, len(body))
			if !w.reply(w, c, req) {
				return
			}
		}
	}
}

// seal returns the proof of an answer of this worker.
func (w *worker) seal(id string) string { return "seal." + w.id + "." + id }

// answer returns a reply of a fixed size with a length.
func answer(size int) func(w *worker, c net.Conn, r *request) bool {
	return func(w *worker, c net.Conn, r *request) bool {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", name("request_id"), r.id, name("seal"), w.seal(r.id), size)
		_, err := io.WriteString(c, head+bodyOf(r.id, size))
		return err == nil
	}
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, size int) string {
	part := id + " "
	return strings.Repeat(part, size/len(part)+1)[:size]
}

// route returns a route of the desired configuration.
func route(routeName, prefix, kind, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"name": routeName, "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, name("latency_target"): 1500,
		"priority": 1, "service": service, "attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false, name("gap_target"): 180,
	}
}

// configuration returns a version of the configuration.
func configuration(version int, routes []any, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "acme", "api_keys": []any{"key-one"}, "priority": 1}},
	}
}

// plainService returns a plain service.
func plainService(service string) map[string]any {
	return map[string]any{"name": service, "health_path": "/healthz", "max_conns": 222, "protocol": "h1", "tls": false}
}
