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
	"time"
)

// Figures of an engine.
const (
	eventGap     = 25 * time.Millisecond  // Between two events of a run, unless the case sets another.
	prefillTime  = 120 * time.Millisecond // Until the first event of a new run.
	resumeTime   = 30 * time.Millisecond  // The same of a run that goes on from a copy.
	copyGap      = 200 * time.Millisecond // Between two parts of the copy at the backup.
	tokensPerEvt = 4
)

// fleet holds the engines of a service and what they have run.
type fleet struct {
	e   *env
	gap time.Duration // Between two events of a run.

	mu      sync.Mutex
	engines map[string]*engineWorker // By address.
	work    map[string][]*work       // By request ID, in the order of the starts.
}

// work is the time for which an engine has worked on a request.
type work struct {
	engine  string
	resumed bool
	begun   time.Time
	ended   time.Time // Zero while it works.
}

// engineWorker is a stand-in of a model worker. It makes the events of each run at a fixed rate.
type engineWorker struct {
	f    *fleet
	id   string
	zone string
	addr string
	born int64

	mu       sync.Mutex
	state    string
	leavesAt time.Time
	copies   map[string]int // Events of the copies that it holds, by the ID of the run or the handle.
	runs     map[string]*genRun
	lose     func(r *request) bool // Whether the answer to a request is lost.
	moves    int                   // Calls that it has got to move a run.
	conns    map[net.Conn]bool
	listener net.Listener
}

// genRun is a run of a request on an engine.
type genRun struct {
	prompt int // Tokens.
	events int
	stop   bool // By a call to move it.
}

func newFleet(e *env) *fleet {
	return &fleet{e: e, gap: eventGap, engines: map[string]*engineWorker{}, work: map[string][]*work{}}
}

func (f *fleet) add(id, zone string) (*engineWorker, error) {
	w := &engineWorker{f: f, id: id, zone: zone, born: time.Now().UnixMilli(), state: "ready", copies: map[string]int{}, runs: map[string]*genRun{}, conns: map[net.Conn]bool{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr, w.listener = ln.Addr().String(), ln
	f.mu.Lock()
	f.engines[w.addr] = w
	f.mu.Unlock()
	f.e.onEnd(func() { w.close() })
	f.e.group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			f.e.group.Go(func() { w.serve(c) })
		}
	})
	w.register()
	return w, nil
}

func (w *engineWorker) close() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

func (w *engineWorker) register() {
	w.mu.Lock()
	state := w.state
	w.mu.Unlock()
	w.f.e.store.put("servers", w.id, map[string]any{
		"service": "llm", "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 24, "state": state, "cold_left_ms": 0, "seq": 1, "born": w.born,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

// drain makes the engine report that it is leaving.
func (w *engineWorker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.f.e.rec.printf("%s: reports that it is draining; it goes on to serve its runs", w.id)
	w.register()
}

func (w *engineWorker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
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
		case r.URL.Path == "/report":
			w.report(c)
		case r.URL.Path == "/healthz":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", name("instance"), w.id)
		case r.URL.Path == name("move_path"):
			w.move(c, req)
		case strings.HasPrefix(r.URL.Path, name("handle_path")):
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case r.Header.Get(name("expect")) != "" && r.Header.Get(name("expect")) != w.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", name("request_id"), req.id, name("instance"), w.id)
		default:
			if !w.generate(c, req) {
				return
			}
		}
	}
}

func (w *engineWorker) report(c net.Conn) {
	w.mu.Lock()
	rows, used := []any{}, 0
	for id, r := range w.runs {
		tokens := r.prompt + r.events*tokensPerEvt
		rows = append(rows, []any{id, tokens, r.events, 1})
		used += tokens
	}
	v := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 2, "queued": 0, "running": len(rows),
		name("memory_used"): used, name("memory_total"): 34298, "handles": 0, "born": w.born, "state": w.state, "runs": rows,
	}
	w.mu.Unlock()
	text, _ := json.Marshal(v)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func (w *engineWorker) reply(c net.Conn, status, id string, v any) {
	text, _ := json.Marshal(v)
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, name("request_id"), id, len(text), text)
}

// move copies a run to another engine, and stops it first if it is the last call.
func (w *engineWorker) move(c net.Conn, r *request) {
	var b struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	_ = json.Unmarshal(r.body, &b)
	w.f.mu.Lock()
	to := w.f.engines[b.To]
	w.f.mu.Unlock()
	w.mu.Lock()
	w.moves++
	run := w.runs[b.ID]
	if run != nil && b.Last {
		run.stop = true
	}
	w.mu.Unlock()
	w.f.e.rec.printf("%s: is asked to move %s to %s, last %v", w.id, b.ID, b.To, b.Last)
	if run == nil || to == nil {
		w.reply(c, "404 Not Found", r.id, map[string]any{})
		return
	}
	time.Sleep(30 * time.Millisecond)
	handle := "h-" + b.ID
	w.mu.Lock()
	events := run.events
	w.copies[handle] = events
	w.mu.Unlock()
	to.mu.Lock()
	to.copies[handle] = events
	to.mu.Unlock()
	w.reply(c, "200 OK", r.id, map[string]any{"handle": handle, "create_rev": events})
}

// generate runs a request. It reports whether the connection is kept.
func (w *engineWorker) generate(c net.Conn, r *request) bool {
	from, next := r.Header.Get(name("copy_from")), 1
	if from != "" {
		key := from[strings.Index(from, "/")+1:]
		w.mu.Lock()
		_, ok := w.copies[key]
		delete(w.copies, key)
		w.mu.Unlock()
		if !ok {
			w.f.e.rec.printf("%s: refuses to continue %s: no copy %s", w.id, r.id, key)
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", name("request_id"), r.id, name("not_executed"))
			return true
		}
	}
	if last := r.Header.Get(name("last_event")); last != "" {
		n, _ := strconv.Atoi(last)
		next = n + 1
	}
	total := eventsOf(r)
	w.mu.Lock()
	lost := w.lose != nil && w.lose(r)
	w.mu.Unlock()
	if from != "" {
		time.Sleep(resumeTime)
	} else {
		time.Sleep(prefillTime)
	}
	run := &genRun{prompt: promptOf(r), events: next - 1}
	job := &work{engine: w.id, resumed: from != "", begun: time.Now()}
	w.f.mu.Lock()
	w.f.work[r.id] = append(w.f.work[r.id], job)
	w.f.mu.Unlock()
	w.mu.Lock()
	w.runs[r.id] = run
	w.mu.Unlock()
	w.f.e.rec.printf("%s: begins to work on %s at event %d (copy %q, backup %q), answer lost: %v", w.id, r.id, next, from, r.Header.Get(name("backup")), lost)
	defer func() {
		w.mu.Lock()
		delete(w.runs, r.id)
		w.mu.Unlock()
		w.f.mu.Lock()
		job.ended = time.Now()
		w.f.mu.Unlock()
		w.f.e.rec.printf("%s: works no longer on %s, after event %d of %d", w.id, r.id, run.events, total)
	}()
	gone := make(chan struct{})
	if lost { // Nothing that the engine sends reaches the caller any more; it sees when the caller closes.
		w.f.e.group.Go(func() { _, _ = io.Copy(io.Discard, c); close(gone) })
	} else {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", name("request_id"), r.id, name("seal"), w.id, r.id)
	}
	begun := time.Now()
	for n := next; n <= total; n++ {
		w.mu.Lock()
		stopped := run.stop
		w.mu.Unlock()
		if stopped {
			return false
		}
		if backup := r.Header.Get(name("backup")); backup != "" && time.Since(begun) > copyGap {
			w.f.mu.Lock()
			to := w.f.engines[backup]
			w.f.mu.Unlock()
			if to != nil {
				to.mu.Lock()
				to.copies[r.id] = n - 1
				to.mu.Unlock()
			}
		}
		if lost {
			select {
			case <-gone:
				return false
			default:
			}
		} else {
			event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, r.id, n)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		w.mu.Lock()
		run.events = n
		w.mu.Unlock()
		time.Sleep(w.f.gap)
	}
	if lost {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// promptOf returns the number of tokens of the prompt of a request.
func promptOf(r *request) int {
	tokens, _, _ := strings.Cut(r.Header.Get(name("token_counts")), ",")
	n, _ := strconv.Atoi(tokens)
	return n
}

// eventsOf returns the number of events of a request.
func eventsOf(r *request) int {
	_, tokens, _ := strings.Cut(r.Header.Get(name("token_counts")), ",")
	n, _ := strconv.Atoi(tokens)
	return n / tokensPerEvt
}

// overlaps returns for how long two engines have worked on the same request at once, at most.
func (f *fleet) overlap(id string, now time.Time) (time.Duration, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest, text := time.Duration(0), ""
	all := f.work[id]
	for i, first := range all {
		for _, later := range all[i+1:] {
			if first.engine == later.engine {
				continue
			}
			end := first.ended
			if end.IsZero() {
				end = now
			}
			if d := end.Sub(later.begun); d > longest {
				longest, text = d, fmt.Sprintf("%s was still at work %v after %s had begun", first.engine, d.Round(time.Millisecond), later.engine)
			}
		}
	}
	return longest, text
}

// engineService returns a service of engines.
func engineService() map[string]any {
	return map[string]any{
		"name": "llm", "health_path": "/healthz", "max_conns": 222, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 24, "kv_tokens": 34298, "kv_bytes": 131072, "link_mbps": 19000.0, "moves": true, "backups": true, "stride": tokensPerEvt, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

// streamResult is what a client has got of a stream.
type streamResult struct {
	status string
	events []int
	whole  bool // The framing marks the end.
	err    error
}

// readStream sends a generation and reads its events.
func readStream(e *env, addr, id string, prompt, output int, patience time.Duration) streamResult {
	var out streamResult
	c, err := net.Dial("tcp", addr)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "POST /draft/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 39000\r\n%s: m\r\n%s: %d,%d\r\n%s: aa%s:%d,bb%s:20\r\nAuthorization: Bearer key-one\r\nContent-Length: 4\r\n\r\nhalo",
		name("request_id"), id, name("deadline"), name("model"), name("token_counts"), prompt, output, name("prefix"), id, prompt-20, id)
	e.rec.printf("client: sent %s", id)
	br := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(patience + 5*time.Second))
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		out.err = err
		e.rec.printf("client: %s: no answer: %v", id, err)
		return out
	}
	out.status = res.Status
	lines := bufio.NewReader(res.Body)
	for {
		_ = c.SetReadDeadline(time.Now().Add(patience))
		line, err := lines.ReadString('\n')
		if n, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			v, _ := strconv.Atoi(n)
			out.events = append(out.events, v)
		}
		if err == io.EOF {
			out.whole = true
			break
		}
		if err != nil {
			out.err = err
			break
		}
	}
	e.rec.printf("client: %s: %s, %d events, whole %v, error %v", id, out.status, len(out.events), out.whole, out.err)
	return out
}
