package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hangup"] = hangup }

// Figures of the case.
const (
	hangupWork    = 3 * time.Second // For which a worker runs a request.
	hangupClients = 8
	hangupDelay   = time.Second // From SIGTERM to SIGHUP.
)

// hangup sends SIGHUP to a daemon that is stopping after SIGTERM, while it serves requests.
func hangup(e *env) (verdict, error) {
	e.store.put("config", "main", configuration(3, []any{route("filing", "/filing/", "unsafe", "app", 10000, 1)}, []any{plainService("app")}))
	slowly := func(w *worker, c net.Conn, r *request) bool {
		time.Sleep(hangupWork)
		w.e.rec.printf("%s: has run %s and answers", w.id, r.id)
		return answer(800)(w, c, r)
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := newWorker(e, fmt.Sprintf("i-app-%d", i), "app", zone, slowly); err != nil {
			return verdict{}, err
		}
	}
	first := newDaemon(e, "edge-a-1", "zone-a", e.store.addr, 134)
	second := newDaemon(e, "edge-b-1", "zone-b", e.store.addr, 134, first.control)
	for _, d := range []*daemon{first, second} {
		if err := d.startReady(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(4 * time.Second) // Both are in touch.
	var clients sync.WaitGroup
	lost := make([]bool, hangupClients)
	for i := range hangupClients {
		clients.Go(func() {
			id := fmt.Sprintf("req-%d", i)
			err := file(first.front, id)
			e.rec.printf("client: %s: answered whole: %v (%v)", id, err == nil, err)
			lost[i] = err != nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	e.rec.printf("edge-a-1: SIGTERM; SIGKILL would follow after 8 s")
	first.signal(syscall.SIGTERM)
	time.Sleep(hangupDelay)
	if e.trouble {
		e.rec.printf("edge-a-1: SIGHUP, since the settings file has changed")
		first.signal(syscall.SIGHUP)
	}
	clients.Wait()
	n := 0
	for _, l := range lost {
		if l {
			n++
		}
	}
	return verdict{broken: n > 0, text: fmt.Sprintf("%d of %d requests that were read whole and passed on got no answer", n, hangupClients)}, nil
}

// file sends a request that is not idempotent and reads the whole answer.
func file(addr, id string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(9 * time.Second))
	fmt.Fprintf(c, "POST /filing/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 9000\r\nAuthorization: Bearer key-one\r\nContent-Length: 4\r\n\r\nfile", name("request_id"), id, name("deadline"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", res.Status)
	}
	return nil
}
