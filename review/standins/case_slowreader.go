package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

// Figures of the case. A reader is done after 5.7 s, within the 8 s from SIGTERM to SIGKILL. It never
// pauses for more than slowStep.
const (
	slowBody    = 250_000 // Bytes of an answer.
	slowRate    = 8_000   // Bytes a second that a client reads at first.
	fastRate    = 100_000 // The same after slowTime.
	slowTime    = 3500 * time.Millisecond
	slowStep    = 100 * time.Millisecond // Between two reads.
	slowClients = 6
)

// slowReader sends SIGTERM to a daemon while clients read the answers to complete requests slowly.
func slowReader(e *env) (verdict, error) {
	e.store.put("config", "main", configuration(3, []any{route("records", "/records/", "safe", "app", 20000, 2)}, []any{plainService("app")}))
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := newWorker(e, fmt.Sprintf("i-app-%d", i), "app", zone, answer(slowBody)); err != nil {
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
	time.Sleep(5 * time.Second) // Both are in touch.
	var readers sync.WaitGroup
	results := make([]string, slowClients)
	for i := range slowClients {
		readers.Go(func() { results[i] = readSlowly(e, first.front, fmt.Sprintf("req-%d", i)) })
	}
	time.Sleep(300 * time.Millisecond)
	if e.trouble {
		e.rec.printf("edge-a-1: SIGTERM; SIGKILL would follow after 8 s")
		first.signal(syscall.SIGTERM)
	}
	readers.Wait()
	cut := 0
	for _, r := range results {
		if r != "whole" {
			cut++
		}
	}
	return verdict{broken: cut > 0, text: fmt.Sprintf("%d of %d answers to requests that were read whole and had run were cut off", cut, slowClients)}, nil
}

// readSlowly sends a request and reads the answer slowly. It returns "whole" or what was missing.
func readSlowly(e *env, addr, id string) string {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "GET /records/%s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 20000\r\nAuthorization: Bearer key-one\r\n\r\n", id, name("request_id"), id, name("deadline"))
	e.rec.printf("client: sent %s, whole", id)
	br := bufio.NewReaderSize(c, 1<<10)
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		e.rec.printf("client: %s: no answer: %v", id, err)
		return err.Error()
	}
	e.rec.printf("client: %s: answer begins: %d, length %d, seal %q", id, res.StatusCode, res.ContentLength, res.Header.Get(name("seal")))
	var text strings.Builder
	begun := time.Now()
	for {
		rate := float64(slowRate)
		if time.Since(begun) > slowTime {
			rate = fastRate
		}
		_, err := io.CopyN(&text, res.Body, int64(rate*slowStep.Seconds()))
		if err == io.EOF && text.Len() == slowBody && text.String() == bodyOf(id, slowBody) {
			e.rec.printf("client: %s: answer is whole, %d bytes", id, text.Len())
			return "whole"
		}
		if err != nil {
			e.rec.printf("client: %s: answer ends after %d of %d bytes: %v", id, text.Len(), res.ContentLength, err)
			return fmt.Sprintf("%d of %d bytes: %v", text.Len(), slowBody, err)
		}
		time.Sleep(slowStep)
	}
}
