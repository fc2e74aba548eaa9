package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["uploads"] = uploads }

// Figures of the case.
const (
	uploadMemoryMB = 134
	uploadBytes    = 4_000_000              // The limit of the configuration is 4,194,304.
	uploadChunk    = 16_000                 // Sent every uploadPause: 160 kB/s, the rate of a slow link.
	uploadPause    = 100 * time.Millisecond // See uploadChunk.
	uploadBudget   = 39 * time.Second       // Of an upload, which takes 25 s.
	uploadClients  = 48
	uploadStart    = 40 * time.Millisecond // Between the first requests of two clients.
	filingClients  = 12
	filingBytes    = 600
	filingWork     = 400 * time.Millisecond // For which a worker runs a filing.
	uploadLimit    = 60 * time.Second       // For which the clients send at most.
)

// uploads has clients on slow links send large bodies, while others file small requests on connections
// that they keep. The platform kills the process if it exceeds its memory. Without the disruption the
// first clients send small bodies at the same rate.
func uploads(e *env) (verdict, error) {
	e.store.put("config", "main", configuration(3, []any{
		route("filing", "/filing/", "unsafe", "app", 6000, 1), route("scan", "/scan/", "unsafe", "app", int(uploadBudget.Milliseconds()), 1),
	}, []any{plainService("app")}))
	var workers []*worker
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		w, err := newWorker(e, fmt.Sprintf("i-app-%d", i), "app", zone, func(w *worker, c net.Conn, r *request) bool {
			time.Sleep(filingWork)
			return answer(800)(w, c, r)
		})
		if err != nil {
			return verdict{}, err
		}
		workers = append(workers, w)
	}
	d := newDaemon(e, "edge-a-1", "zone-a", e.store.addr, uploadMemoryMB)
	if err := d.startReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // The machine is in touch.
	u := &uploadCase{e: e, addr: d.front, end: make(chan struct{})}
	e.rec.printf("the process has %.1f MB of anonymous memory", d.anonymousMB())
	var clients sync.WaitGroup
	for i := range filingClients {
		clients.Go(func() { u.file(i) })
	}
	time.Sleep(2 * time.Second)
	for i := range uploadClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * uploadStart)
			u.upload(i)
		})
	}
	limit := uploadLimit
	if !e.trouble {
		limit /= 3
	}
	peak, killed := u.enforceMemory(d, limit)
	time.Sleep(500 * time.Millisecond) // Until the clients see the end of the process.
	close(u.end)
	clients.Wait()
	lost := 0
	for _, id := range u.unanswered {
		ran := 0
		for _, w := range workers {
			w.mu.Lock()
			ran += w.runs[id]
			w.mu.Unlock()
		}
		e.rec.printf("client: %s got no answer on a kept connection, which was closed; passed on to a worker: %v", id, ran > 0)
		if ran > 0 {
			lost++
		}
	}
	text := fmt.Sprintf("%d requests on kept connections that had been passed on got no answer; %d were answered; uploads: %d answered with success, %d refused; the process had up to %.0f of %d MB of anonymous memory, killed by the platform: %v",
		lost, u.filed.Load(), u.uploaded.Load(), u.refused.Load(), peak, uploadMemoryMB, killed)
	return verdict{broken: lost > 3, text: text}, nil
}

// uploadCase is the state of the clients.
type uploadCase struct {
	e    *env
	addr string
	end  chan struct{} // Closed when the clients end.

	filed, uploaded, refused atomic.Int64

	mu         sync.Mutex
	unanswered []string // IDs of the requests whose kept connection was closed without an answer.
}

// enforceMemory does what the platform does with a process that exceeds its memory. It counts less than
// the platform: neither pages of files nor what the operating system has received and the process has
// not read.
func (u *uploadCase) enforceMemory(d *daemon, limit time.Duration) (peak float64, killed bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		mb := d.anonymousMB()
		peak = max(peak, mb)
		if mb > float64(d.memoryMB) {
			u.e.rec.printf("%s: has %.1f MB of anonymous memory and is killed; its limit is %d MB", d.label, mb, d.memoryMB)
			d.signal(syscall.SIGKILL)
			return peak, true
		}
	}
	return peak, false
}

func (u *uploadCase) ended() bool {
	select {
	case <-u.end:
		return true
	default:
		return false
	}
}

// file sends small requests, one after the other, on a connection that it keeps.
func (u *uploadCase) file(number int) {
	c, err := net.Dial("tcp", u.addr)
	if err != nil {
		u.e.rec.printf("client: filing %d: %v", number, err)
		return
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; !u.ended(); n++ {
		id := fmt.Sprintf("filing-%d-%d", number, n)
		_ = c.SetDeadline(time.Now().Add(8 * time.Second))
		_, err := io.WriteString(c, uploadHead("/filing/notice", id, filingBytes, 6*time.Second)+bodyOf(id, filingBytes))
		if err == nil {
			err = readWhole(br)
		}
		if err != nil {
			u.e.rec.printf("client: %s: no answer: %v", id, err)
			if n > 0 {
				u.mu.Lock()
				u.unanswered = append(u.unanswered, id)
				u.mu.Unlock()
			}
			return
		}
		u.filed.Add(1)
	}
}

// readWhole reads an answer.
func readWhole(br *bufio.Reader) error {
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// upload sends bodies over a slow link. It waits for as long as a refusal says.
func (u *uploadCase) upload(number int) {
	size := uploadBytes
	if !u.e.trouble {
		size = filingBytes
	}
	for n := 0; !u.ended(); n++ {
		id := fmt.Sprintf("scan-%d-%d", number, n)
		wait, err := u.uploadOnce(id, size)
		u.e.rec.printf("client: %s, %d bytes of body: %v", id, size, err)
		select {
		case <-u.end:
		case <-time.After(max(wait, uploadPause)):
		}
	}
}

func (u *uploadCase) uploadOnce(id string, size int) (wait time.Duration, err error) {
	c, err := net.Dial("tcp", u.addr)
	if err != nil {
		return time.Second, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(uploadBudget))
	answered := make(chan error, 1)
	var res *http.Response
	u.e.group.Go(func() {
		var err error
		if res, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		answered <- err
	})
	text := uploadHead("/scan/page", id, size, uploadBudget) + bodyOf(id, size)
	for len(text) > 0 {
		n := min(len(text), uploadChunk)
		if _, err := io.WriteString(c, text[:n]); err != nil {
			break // The answer may tell why.
		}
		text = text[n:]
		select {
		case <-u.end:
			return 0, nil
		case <-time.After(uploadPause):
		}
	}
	if err := <-answered; err != nil {
		return time.Second, err
	}
	if res.StatusCode == http.StatusOK {
		u.uploaded.Add(1)
		return 0, nil
	}
	u.refused.Add(1)
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second)), fmt.Errorf("answered with %s", res.Status)
}

// uploadHead returns the head of a request with a body of n bytes.
func uploadHead(path, id string, n int, budget time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer key-one\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n",
		path, name("request_id"), id, name("deadline"), budget.Milliseconds(), n)
}
