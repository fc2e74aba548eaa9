package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["upload"] = upload }

// Figures of the case.
const (
	uploadBody   = 4_000_000 // Bytes; the configuration permits 4,194,304.
	uploadUsual  = 24        // Requesters that send at once at a machine.
	uploadBurst  = 40        // 1.7 times as many, rounded down.
	uploadRounds = 3
	uploadRate   = 400_000 // Bytes a second of one client.
	uploadMemory = 134     // MB, as on the machines of the smallest deployment.
)

// upload lets many requesters send large bodies at once, and ends the daemons that use more than their memory,
// as the platform does. A daemon that has ended starts again.
func upload(e *env) (verdict, error) {
	e.store.put("config", "main", configuration(3, []any{route("records", "/records/", "unsafe", "app", 30000, 1)}, []any{plainService("app")}))
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := newWorker(e, fmt.Sprintf("i-app-%d", i), "app", zone, answer(800)); err != nil {
			return verdict{}, err
		}
	}
	daemons := []*daemon{newDaemon(e, "edge-a-1", "zone-a", e.store.addr, uploadMemory)}
	daemons = append(daemons, newDaemon(e, "edge-b-1", "zone-b", e.store.addr, uploadMemory, daemons[0].control))
	requesters := uploadUsual
	if e.trouble {
		requesters = uploadBurst
	}
	ends := make([]int, len(daemons))
	most := 0.0
	for round := range uploadRounds {
		for _, d := range daemons {
			if d.awaitExit(0) {
				if err := d.startReady(); err != nil {
					return verdict{}, err
				}
			}
		}
		time.Sleep(4 * time.Second) // They are in touch.
		var bursts sync.WaitGroup
		var mu sync.Mutex
		for i, d := range daemons {
			bursts.Go(func() {
				peak, killed := sendUploads(e, d, round, requesters)
				mu.Lock()
				defer mu.Unlock()
				most = max(most, peak)
				if killed {
					ends[i]++
				}
			})
		}
		bursts.Wait()
	}
	machines := 0
	for _, n := range ends {
		if n >= uploadRounds {
			machines++
		}
	}
	return verdict{broken: machines >= 2, text: fmt.Sprintf("processes ended for their memory %v times on the %d machines in %d bursts; most resident memory %.0f of %d MB", ends, len(daemons), uploadRounds, most, uploadMemory)}, nil
}

// sendUploads sends large bodies of some requesters to a daemon at once. It returns the most memory that the
// daemon used, and whether it was ended for it.
func sendUploads(e *env, d *daemon, round, requesters int) (peak float64, killed bool) {
	done := make(chan struct{})
	var watcher, senders sync.WaitGroup
	watcher.Go(func() {
		for {
			mb := d.residentMB()
			peak = max(peak, mb)
			if mb > uploadMemory && !killed {
				killed = true
				e.rec.printf("platform: %s uses %.0f MB, the limit is %d MB; its process is ended", d.label, mb, uploadMemory)
				d.signal(syscall.SIGKILL)
			}
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	var served, refused atomic.Int64
	for i := range requesters {
		senders.Go(func() {
			switch sendSlowly(e, d.front, fmt.Sprintf("req-%d-%s-%d", round, d.label, i)) {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			}
		})
	}
	senders.Wait()
	close(done)
	watcher.Wait()
	if killed {
		d.awaitExit(5 * time.Second)
	}
	e.rec.printf("round %d at %s: %d requesters, %d served, %d refused, %d got no answer; most memory %.0f MB", round, d.label, requesters, served.Load(), refused.Load(),
		int64(requesters)-served.Load()-refused.Load(), peak)
	return peak, killed
}

// sendSlowly sends a request with a large body at uploadRate and returns the status of the answer, or zero.
func sendSlowly(e *env, addr, id string) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "POST /records/%s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 30000\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n", id, name("request_id"), id, name("deadline"), uploadBody)
	chunk := make([]byte, uploadRate/20)
	sent := 0
	for sent < uploadBody {
		n, err := c.Write(chunk)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		e.rec.printf("client: %s: no answer after %d bytes of the body: %v", id, sent, err)
		return 0
	}
	e.rec.printf("client: %s: %s after %d bytes of the body", id, res.Status, sent)
	return res.StatusCode
}
