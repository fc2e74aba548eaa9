package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a worker has received whole.
type arrival struct {
	id, method, path, body string
	header                 http.Header
	at                     time.Time
	worker                 string
}

// worker is a worker of a service. Each request is handled by answer, which writes the bytes of the
// response and reports whether the connection stays open.
type worker struct {
	name, service, zone, addr string
	born                      int64
	slots                     int
	store                     *store
	listener                  net.Listener
	answer                    func(w *worker, c net.Conn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	state    string
	arrivals []arrival
	conns    map[net.Conn]bool
	running  int
	stopped  bool
	admits   func(c net.Conn) bool // Whether a new connection passes the path to the worker, else it is reset; nil for all.
}

func startWorker(st *store, name, service, zone string, answer func(*worker, net.Conn, *http.Request, []byte) bool) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), slots: 6, store: st, listener: l, answer: answer, state: "ready", conns: map[net.Conn]bool{}}
	group.Go(func() { w.accept(l) })
	group.Go(w.heartbeat)
	return w, nil
}

// heartbeat writes the entry of the worker in the store each 1.2 s.
func (w *worker) heartbeat() {
	for seq := 1; w.register(seq); seq++ {
		time.Sleep(1200 * time.Millisecond)
	}
}

// register writes the entry of the worker. It reports false if the worker has stopped.
func (w *worker) register(seq int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.store.put("servers", w.name, map[string]any{
		"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"cold_left_ms": 0, "born": w.born, "seq": seq,
	})
	return true
}

func (w *worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		group.Go(func() {
			w.mu.Lock()
			w.conns[c] = true
			admits := w.admits
			w.mu.Unlock()
			if admits != nil && !admits(c) {
				w.reset(c)
				return
			}
			w.serve(c)
		})
	}
}

// reset resets a connection.
func (w *worker) reset(c net.Conn) {
	w.mu.Lock()
	delete(w.conns, c)
	w.mu.Unlock()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.name)
			continue
		}
		if want := r.Header.Get(names.Instance); want != "" && want != w.name {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Request-Id"), w.name)
			continue
		}
		w.mu.Lock()
		w.arrivals = append(w.arrivals, arrival{id: r.Header.Get("X-Request-Id"), method: r.Method, path: r.RequestURI, body: string(body), header: r.Header, at: time.Now(), worker: w.name})
		w.mu.Unlock()
		if !w.answer(w, c, r, body) {
			return
		}
	}
}

// received returns the requests that the worker has received.
func (w *worker) received() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// seal is the proof of a response to a request.
func seal(w *worker, id string) string { return w.name + "." + id }

// head returns the first lines of a response to a request.
func head(w *worker, status string, r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n" + names.Seal + ": " + seal(w, id) + "\r\n"
}

// plainAnswer runs a request for 15 ms and answers with a body that names it.
func plainAnswer(w *worker, c net.Conn, r *http.Request, _ []byte) bool {
	time.Sleep(15 * time.Millisecond)
	body := "result of " + r.Header.Get("X-Request-Id")
	_, err := io.WriteString(c, head(w, "200 OK", r)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}
