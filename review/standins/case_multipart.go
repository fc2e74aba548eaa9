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

func init() { cases["multipart"] = multipart }

// seen holds the bodies that workers have run, by request ID.
type seen struct {
	mu     sync.Mutex
	bodies map[string]string
}

func (s *seen) reply(w *worker, c net.Conn, r *request) bool {
	s.mu.Lock()
	s.bodies[r.id] = string(r.body)
	s.mu.Unlock()
	w.e.rec.printf("%s: %s: method %s, path %s, body %q", w.id, r.id, r.Method, r.RequestURI, shorten(string(r.body)))
	return answer(800)(w, c, r)
}

func shorten(s string) string {
	const limit = 400
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}

// startPlain starts three workers of a plain service and a daemon.
func startPlain(e *env, s *seen) (*daemon, error) {
	e.store.put("config", "main", configuration(3, []any{route("filing", "/filing/", "unsafe", "app", 6000, 1)}, []any{plainService("app")}))
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := newWorker(e, fmt.Sprintf("i-app-%d", i), "app", zone, s.reply); err != nil {
			return nil, err
		}
	}
	d := newDaemon(e, "edge-a-1", "zone-a", e.store.addr, 134)
	return d, d.startReady()
}

// head returns the head of a request with a body of n bytes.
func head(id, contentType string, n int) string {
	return "POST /filing/notice HTTP/1.1\r\nHost: shop.example\r\n" + name("request_id") + ": " + id + "\r\n" + name("deadline") + ": 5000\r\n" +
		"Authorization: Bearer key-one\r\nContent-Type: " + contentType + "\r\nContent-Length: " + strconv.Itoa(n) + "\r\n\r\n"
}

// formBody is what a browser or a mail client sends: a part with a content type of its own, a file, and a
// field after it.
const formBody = "--frontier\r\nContent-Disposition: form-data; name=\"meta\"\r\nContent-Type: application/json\r\n\r\n{\"order\":7}\r\n" +
	"--frontier\r\nContent-Disposition: form-data; name=\"scan\"; filename=\"a.txt\"\r\nContent-Type: text/plain\r\n\r\nfirst\r\n" +
	"--frontier\r\nContent-Disposition: form-data; name=\"note\"\r\n\r\nsecond\r\n--frontier--\r\n"

// multipart sends bodies of the type multipart/form-data and compares what the workers run with them.
func multipart(e *env) (verdict, error) {
	s := &seen{bodies: map[string]string{}}
	d, err := startPlain(e, s)
	if err != nil {
		return verdict{}, err
	}
	contentType := "application/octet-stream"
	if e.trouble {
		contentType = "multipart/form-data; boundary=frontier"
	}
	const requests = 10
	changed := 0
	for i := range requests {
		id := fmt.Sprintf("req-%d", i)
		c, err := net.Dial("tcp", d.front)
		if err != nil {
			return verdict{}, err
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		e.rec.printf("client: sends %s, body %q", id, formBody)
		_, _ = io.WriteString(c, head(id, contentType, len(formBody))+formBody)
		status := "no answer"
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			status = res.Status
		}
		_ = c.Close()
		s.mu.Lock()
		body, ran := s.bodies[id]
		s.mu.Unlock()
		e.rec.printf("client: %s: %s; run: %v, with the body that was sent: %v", id, status, ran, body == formBody)
		if ran && body != formBody {
			changed++
		}
		if !ran && !e.trouble {
			return verdict{}, fmt.Errorf("%s has not run", id)
		}
	}
	return verdict{broken: changed > 0, text: fmt.Sprintf("%d of %d requests ran with a changed body", changed, requests)}, nil
}
