package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker of a plain service, as a process of its own.
type worker struct {
	id, service, zone, addr, listen, store, log string
	half, slow                                  time.Duration
	born                                        int64
	mu                                          sync.Mutex
}

// bodyOf returns the body of the answer to a request. It does not depend on the worker.
func bodyOf(id string) []byte { return bytes.Repeat([]byte(id+"-"), 50) }

func runWorker(args []string) error {
	w := &worker{born: time.Now().UnixMilli()}
	fs := flag.NewFlagSet("worker", flag.ExitOnError)
	fs.StringVar(&w.id, "id", "", "")
	fs.StringVar(&w.service, "service", "", "")
	fs.StringVar(&w.zone, "zone", "zone-a", "")
	fs.StringVar(&w.addr, "addr", "", "")
	fs.StringVar(&w.listen, "listen", "", "address to listen on, if it is not that of the entry")
	fs.StringVar(&w.store, "store", "", "")
	fs.StringVar(&w.log, "log", "", "file that lists the requests that were run")
	fs.DurationVar(&w.half, "half", 0, "time between the halves of an answer without a length")
	_ = fs.Parse(args)
	if w.listen == "" {
		w.listen = w.addr
	}
	l, err := net.Listen("tcp", w.listen)
	if err != nil {
		return err
	}
	background.Go(func() { w.register() })
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		background.Go(func() { w.serve(c) })
	}
}

// register writes the entry of the worker to the store about every 1.2 s.
func (w *worker) register() {
	spec, _ := json.Marshal(map[string]any{"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": w.born})
	for {
		if err := w.writeEntry(spec); err != nil {
			fmt.Fprintln(os.Stderr, "worker: register:", err)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (w *worker) writeEntry(spec json.RawMessage) error {
	body, _ := json.Marshal(object{Metadata: metadata{Name: w.id}, Spec: spec})
	client := http.Client{Timeout: time.Second}
	for _, call := range []struct{ method, path string }{{http.MethodPut, "/objects/servers/" + w.id}, {http.MethodPost, "/objects/servers"}} {
		req, err := http.NewRequest(call.method, "http://"+w.store+call.path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		res, err := client.Do(req)
		if err != nil {
			return err
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusNotFound {
			return nil
		}
	}
	return nil
}

func (w *worker) logRun(id, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f, err := os.OpenFile(w.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	fmt.Fprintf(f, "%d %s %d %s %s\n", time.Now().UnixMilli(), w.id, w.born, id, what)
	_ = f.Close()
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		n, _ := strconv.Atoi(req.Header.Get("Content-Length"))
		if n > 0 {
			if _, err := br.Discard(n); err != nil {
				return
			}
		}
		id := req.Header.Get("X-Request-Id")
		head := "X-Request-Id: " + id + wire("\r\n{load}: 1,0,6\r\n")
		switch {
		case req.URL.Path == "/healthz":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
		case req.Header.Get(wire("{expect}")) != "" && req.Header.Get(wire("{expect}")) != w.id:
			fmt.Fprintf(c, wire("HTTP/1.1 421 Misdirected Request\r\n%sX-Instance-Id: %s\r\n{not_run}: 1\r\nContent-Length: 0\r\n\r\n"), head, w.id)
		case w.half > 0 && strings.HasPrefix(req.URL.Path, "/unframed/"):
			w.logRun(id, "runs")
			body := bodyOf(id)
			fmt.Fprintf(c, wire("HTTP/1.1 200 OK\r\n%s{seal}: seal-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"), head, id)
			_, _ = c.Write(body[:len(body)/2])
			time.Sleep(w.half)
			_, _ = c.Write(body[len(body)/2:])
			w.logRun(id, "done")
			return
		default:
			w.logRun(id, "runs")
			body := bodyOf(id)
			fmt.Fprintf(c, wire("HTTP/1.1 200 OK\r\n%s{seal}: seal-%s\r\nContent-Length: %d\r\n\r\n%s"), head, id, len(body), body)
		}
	}
}
