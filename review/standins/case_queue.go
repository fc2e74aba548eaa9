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

func init() { cases["queue"] = queueCase }

// Figures of the case. The latency target, the deadline and the grace are those of the sheet.
const (
	queueEngines = 12
	queueFillers = 150                     // Long generations of the other daemon, which fill the memory of the engines.
	queueGap     = 45 * time.Millisecond   // Between two of them: 22 a second, below the 23.5 of the sheet.
	queueFill    = 8 * time.Second         // Until the engines are full.
	queueEvent   = 40 * time.Millisecond   // Between two events of four tokens, at engines that are full; 180 are permitted.
	queueTarget  = 4000                    // Milliseconds; clients of such a stream wait for four times as long.
	queueClients = 6                       // Of the daemon that stops.
	queueBefore  = 500 * time.Millisecond  // From the first half of their requests to SIGTERM.
	queueAfter   = 1500 * time.Millisecond // From SIGTERM to the other half; the platform sends new channels for up to 3 s.
	queueGrace   = 8 * time.Second         // From SIGTERM to SIGKILL.
)

// queueCase stops a daemon at which generations wait for room at the engines. Without the disruption it is
// not stopped.
func queueCase(e *env) (verdict, error) {
	r := route("draft", "/draft/", "streaming", "llm", 39000, 1)
	r[name("latency_target")] = queueTarget
	e.store.put("config", "main", configuration(3, []any{r}, []any{engineService()}))
	f := newFleet(e)
	f.gap = queueEvent
	for i := range queueEngines {
		if _, err := f.add(fmt.Sprintf("i-llm-%d", i), []string{"zone-a", "zone-b", "zone-c"}[i%3]); err != nil {
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
	var fillers sync.WaitGroup
	fillers.Go(func() {
		for i := range queueFillers {
			fillers.Go(func() { readStream(e, second.front, fmt.Sprintf("filler-%d", i), 3000, 1760, 17*time.Second) })
			time.Sleep(queueGap)
		}
	})
	time.Sleep(queueFill)
	var g sync.WaitGroup
	results := make([]string, queueClients)
	send := func(from, to int) {
		for i := from; i < to; i++ {
			g.Go(func() { results[i] = e.waitForAnswer(first.front, fmt.Sprintf("waiting-%d", i)) })
		}
	}
	send(0, queueClients/2)
	time.Sleep(queueBefore)
	if e.trouble {
		e.rec.printf("edge-a-1: SIGTERM; SIGKILL would follow after %v", queueGrace)
		first.signal(syscall.SIGTERM)
	}
	time.Sleep(queueAfter)
	send(queueClients/2, queueClients)
	if e.trouble && !first.awaitExit(queueGrace+time.Second) {
		first.signal(syscall.SIGKILL)
	}
	g.Wait()
	lost := 0
	for i, r := range results {
		id := fmt.Sprintf("waiting-%d", i)
		f.mu.Lock()
		ran := len(f.work[id]) > 0
		f.mu.Unlock()
		e.rec.printf("client: %s: %s; passed on to an engine: %v", id, r, ran)
		if r == "no answer" {
			lost++
		}
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("%d of %d requests that were read whole got no answer", lost, queueClients)}, nil
}

// waitForAnswer sends a generation and returns the status of the answer, or "no answer".
func (e *env) waitForAnswer(addr, id string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "POST /draft/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 39000\r\n%s: m\r\n%s: 6000,40\r\n%s: aa%s:5900,bb%s:100\r\nAuthorization: Bearer key-one\r\nContent-Length: 4\r\n\r\nhalo",
		name("request_id"), id, name("deadline"), name("model"), name("token_counts"), name("prefix"), id, id)
	e.rec.printf("client: sent %s, whole", id)
	begun := time.Now()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		e.rec.printf("client: %s: the channel ended after %v: %v", id, time.Since(begun).Round(time.Millisecond), err)
		return "no answer"
	}
	text, err := io.ReadAll(res.Body)
	e.rec.printf("client: %s: %s after %v, %d bytes, error %v", id, res.Status, time.Since(begun).Round(time.Millisecond), len(text), err)
	if err != nil {
		return "an answer that was cut off"
	}
	return res.Status
}
