package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a worker: of a plain service, or a model worker if stream is set.
type worker struct {
	id, service, zone string
	stream            bool
	slots             int
	work              time.Duration
	st                *store
	rec               *recorder
	group             *sync.WaitGroup

	addr string
	born int64

	// handle, if set, is called when the worker begins to work on a request. It returns false if the
	// worker has crashed.
	handle func(w *worker, r *http.Request) bool
	// header, if set, returns header lines for all answers.
	header func() string

	running, ran atomic.Int64
	mu           sync.Mutex
	listener     net.Listener
	conns        map[net.Conn]bool
}

// start starts the worker, at its former address if it had one, and writes its entry.
func (w *worker) start() error {
	addr := w.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.addr, w.born, w.conns = l, l.Addr().String(), time.Now().UnixMilli(), map[net.Conn]bool{}
	w.mu.Unlock()
	w.group.Go(func() { w.accept(l) })
	w.register("ready")
	return nil
}

func (w *worker) register(state string) {
	w.st.put("servers", w.id, map[string]any{
		"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": w.born,
	})
}

// crash ends the worker: its listener and its connections are closed. Its entry stays until it has been silent
// for three intervals.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	_ = w.listener.Close()
	w.listener = nil
	for c := range w.conns {
		_ = c.Close()
	}
}

func (w *worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		alive := w.listener == l
		if alive {
			w.conns[c] = true
		}
		w.mu.Unlock()
		if !alive {
			_ = c.Close()
			return
		}
		w.group.Go(func() {
			w.serve(c)
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
			_ = c.Close()
		})
	}
}

func (w *worker) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !w.serveOne(c, req) {
			return
		}
	}
}

func (w *worker) answer(c net.Conn, status int, id string, header, body string) bool {
	extra := ""
	if w.header != nil {
		extra = w.header()
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: %d\r\n%s%s\r\n%s", status, http.StatusText(status), names["id"], id, len(body), extra, header, body)
	return err == nil
}

func (w *worker) seal() string { return names["seal"] + ": " + w.id + ".0.1\r\n" }

func (w *worker) loadHeader() string {
	return fmt.Sprintf("%s: %d,0,%d\r\n", names["load"], w.running.Load(), w.slots)
}

// serveOne answers one request. It reports whether the connection may go on.
func (w *worker) serveOne(c net.Conn, req *http.Request) bool {
	id := req.Header.Get(names["id"])
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/report":
		return w.serveReport(c)
	case req.URL.Path == "/healthz":
		return w.answer(c, http.StatusOK, "", names["instance"]+": "+w.id+"\r\n", "")
	case id == "":
		return w.answer(c, http.StatusBadRequest, "", names["not_run"]+": 1\r\n", "")
	case req.Header.Get(names["expect"]) != "" && req.Header.Get(names["expect"]) != w.id:
		return w.answer(c, http.StatusMisdirectedRequest, id, names["not_run"]+": 1\r\n", "")
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	w.ran.Add(1)
	w.rec.printf("run %s %s %s at %s", id, req.Method, req.RequestURI, w.id)
	if w.handle != nil && !w.handle(w, req) {
		return false
	}
	if w.stream {
		return w.serveStream(c, req, id)
	}
	time.Sleep(w.work)
	return w.answer(c, http.StatusOK, id, w.seal()+w.loadHeader(), "answer to "+id+" of "+w.id)
}

func (w *worker) serveReport(c net.Conn) bool {
	var report map[string]any
	if err := json.Unmarshal(reportText, &report); err != nil {
		panic(err) // The file is embedded.
	}
	report["running"], report[names["memory_used"]], report["born"] = w.running.Load(), 3000*w.running.Load(), w.born
	body, err := json.Marshal(report)
	if err != nil {
		panic(err) // Plain data.
	}
	return w.answer(c, http.StatusOK, "", "Content-Type: application/json\r\n", string(body))
}

// serveStream sends as many events as the request asks for, four tokens each.
func (w *worker) serveStream(c net.Conn, req *http.Request, id string) bool {
	_, out, _ := strings.Cut(req.Header.Get(names["counts"]), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(out))
	extra := ""
	if w.header != nil {
		extra = w.header()
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s%s\r\n", names["id"], id, extra, w.seal()); err != nil {
		return false
	}
	for i := 1; i <= max(tokens/4, 1); i++ {
		time.Sleep(w.work)
		e := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
