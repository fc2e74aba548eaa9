package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the engines of the deployment rettifiche-nord.
const (
	prefillTokensPerMs = 14
	eventTime          = 36 * time.Millisecond // Four tokens of 9 ms.
	engineSlots        = 24
	engineTokens       = 34298
	entryExpiry        = 3600 * time.Millisecond // Three heartbeat intervals.
	restartTime        = 4 * time.Second         // After a crash.
)

// kvCopies are the copies of the memory of runs, by handle, at all engines.
type kvCopies struct {
	mu   sync.Mutex
	next int
	used map[string]bool // By handle.
}

// run is a generation at an engine.
type run struct {
	id     string
	tokens int
	events int
	stop   chan struct{} // Closed by a call that moves it.
	conn   net.Conn
}

// engines starts engines, and again after a crash.
type engines struct {
	s      *scene
	copies *kvCopies
	poison string // ID of the part of prompts that crashes engines; empty for none.
	events int    // Of each run.

	mu      sync.Mutex
	started int
	crashes []time.Time
	begun   []arrival // Generations that have reached an engine.
	all     []*engine
}

// engine is one life of a model worker.
type engine struct {
	*worker
	es *engines

	mu      sync.Mutex
	runs    map[string]*run
	prefill time.Time // When the prompts that have arrived will have been read.
	crashed bool
}

func (es *engines) start(zone string) error {
	es.mu.Lock()
	es.started++
	n := es.started
	es.mu.Unlock()
	e := &engine{es: es, runs: map[string]*run{}}
	w, err := startWorker(es.s.store, fmt.Sprintf("i-llm-%03d", n), "redazione", zone, e.answer)
	if err != nil {
		return err
	}
	w.slots = engineSlots
	e.worker = w
	es.mu.Lock()
	es.all = append(es.all, e)
	es.mu.Unlock()
	return nil
}

// crash ends the process of the engine: nothing listens any more, and all of its connections end. It is back, with a new
// identity, after restartTime, and its entry expires.
func (e *engine) crash(why string) {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	lost := len(e.runs)
	e.mu.Unlock()
	e.es.mu.Lock()
	e.es.crashes = append(e.es.crashes, time.Now())
	e.es.mu.Unlock()
	e.es.s.rec.add("engine %s crashed on %s, %d runs", e.name, why, lost)
	_ = e.listener.Close()
	e.worker.mu.Lock()
	e.worker.stopped = true
	for c := range e.worker.conns {
		_ = c.Close()
	}
	e.worker.mu.Unlock()
	group.Go(func() {
		time.Sleep(entryExpiry)
		e.store.delete("servers", e.name)
	})
	group.Go(func() {
		time.Sleep(restartTime)
		if err := e.es.start(e.zone); err != nil {
			e.es.s.rec.add("engine not started again: %v", err)
		}
	})
}

func (e *engine) answer(_ *worker, c net.Conn, r *http.Request, body []byte) bool {
	switch {
	case r.URL.Path == "/report":
		return e.report(c)
	case r.URL.Path == names.Move:
		return e.move(c, body)
	case r.Method == http.MethodDelete:
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	default:
		return e.generate(c, r)
	}
}

func writeJSON(c net.Conn, status string, v any) bool {
	text, _ := json.Marshal(v)
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
	return err == nil
}

func (e *engine) report(c net.Conn) bool {
	e.worker.mu.Lock()
	state := e.worker.state
	e.worker.mu.Unlock()
	e.mu.Lock()
	used := 0
	rows := []any{}
	for _, r := range e.runs {
		used += r.tokens + 4*r.events
		rows = append(rows, []any{r.id, r.tokens + 4*r.events, r.events, 1})
	}
	e.mu.Unlock()
	return writeJSON(c, "200 OK", map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0, "queued": 0, "running": len(rows),
		names.Used: used, "kv_total": engineTokens, "handles": 0, "state": state, "runs": rows, "pinned": 0, "held": 0, "next": 0, "born": e.born,
	})
}

// move copies the memory of a run to another engine. With last it stops the run first.
func (e *engine) move(c net.Conn, body []byte) bool {
	var m struct {
		ID, To string
		Last   bool
	}
	_ = json.Unmarshal(body, &m)
	e.mu.Lock()
	r := e.runs[m.ID]
	if r != nil && m.Last {
		delete(e.runs, m.ID)
		close(r.stop)
	}
	events := 0
	if r != nil {
		events = r.events
	}
	e.mu.Unlock()
	if r == nil {
		return writeJSON(c, "404 Not Found", map[string]any{})
	}
	time.Sleep(20 * time.Millisecond)
	e.es.copies.mu.Lock()
	e.es.copies.next++
	handle := "h" + strconv.Itoa(e.es.copies.next)
	e.es.copies.used[handle] = false
	e.es.copies.mu.Unlock()
	return writeJSON(c, "200 OK", map[string]any{"handle": handle, "create_rev": events})
}

// takeCopy reports whether a copy that a request names exists and was not used, and marks it as used.
func (e *engine) takeCopy(name string) bool {
	_, handle, _ := strings.Cut(name, "/")
	e.es.copies.mu.Lock()
	defer e.es.copies.mu.Unlock()
	used, ok := e.es.copies.used[handle]
	e.es.copies.used[handle] = true
	return ok && !used
}

func (e *engine) generate(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	from := r.Header.Get(names.Copy)
	if from != "" && !e.takeCopy(from) {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", id, names.NotRun)
		return err == nil
	}
	tokens, _ := strconv.Atoi(strings.Split(r.Header.Get(names.Tokens), ",")[0])
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	g := &run{id: id, tokens: tokens, events: first - 1, stop: make(chan struct{}), conn: c}
	now := time.Now()
	e.mu.Lock()
	e.runs[id] = g
	if e.prefill.Before(now) {
		e.prefill = now
	}
	if from == "" {
		e.prefill = e.prefill.Add(time.Duration(tokens/prefillTokensPerMs) * time.Millisecond)
	}
	begin := e.prefill
	e.mu.Unlock()
	e.es.mu.Lock()
	e.es.begun = append(e.es.begun, arrival{id: id, header: r.Header, at: now, worker: e.name})
	e.es.mu.Unlock()
	e.es.s.rec.add("engine %s got %s %s %s", e.name, id, r.Header.Get(names.Prompt), from)
	defer func() {
		e.mu.Lock()
		if e.runs[id] == g {
			delete(e.runs, id)
		}
		e.mu.Unlock()
	}()
	gone := make(chan struct{})
	group.Go(func() { // Engines drop a run when its connection closes. The caller sends nothing else before the end of the answer.
		var one [1]byte
		_, _ = c.Read(one[:])
		close(gone)
	})
	if !g.sleep(time.Until(begin), gone) {
		return false
	}
	if p := e.es.poison; p != "" && strings.Contains(r.Header.Get(names.Prompt), p+":") {
		e.crash(id)
		return false
	}
	if _, err := io.WriteString(c, head(e.worker, "200 OK", r)+"Content-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for n := first; n <= e.es.events; n++ {
		text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		e.mu.Lock()
		g.events = n
		e.mu.Unlock()
		if n < e.es.events && !g.sleep(eventTime, gone) {
			return false
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return false
}

// sleep waits, and reports whether the run goes on.
func (g *run) sleep(d time.Duration, gone <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-g.stop:
	case <-gone:
	}
	return false
}
