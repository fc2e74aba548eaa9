package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Figures of the case.
const (
	closingClients = 5
	closingStreams = 4 // Of each client, one after the other on a kept connection.
	closingEvents  = 4
)

func init() { cases["closing"] = playClosing }

// playClosing has generations served by a service that the configuration does not describe as an
// engine, and whose workers end their streams with the connection. Without the disruption the same
// streams are sent in chunks.
func playClosing(e *env) (verdict, error) {
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := newWorker(e, "plain-"+zone, "writer", "zone-"+zone, e.closingReply); err != nil {
			return verdict{}, err
		}
	}
	r := route("r-write", "/write/", "streaming", "writer", 6000, 1)
	e.store.put("config", "main", configuration(7, []any{r}, []any{plainService("writer")}))
	d := newDaemon(e, "edge-zone-a-1", "zone-a", e.store.addr, 134)
	if err := d.startReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // The machine is in touch.
	results := make(chan streamResult, closingClients*closingStreams)
	for n := range closingClients {
		e.group.Go(func() { e.closingClient(d.front, n, results) })
	}
	whole, cut, events := 0, 0, 0
	for range closingClients * closingStreams {
		s := <-results
		if s.whole && len(s.events) == closingEvents {
			whole++
			continue
		}
		cut++
		events += len(s.events)
	}
	text := fmt.Sprintf("%d of %d streams that the workers had sent whole reached their clients whole; %d were cut off, with %d of their %d events", whole, whole+cut, cut, events, cut*closingEvents)
	return verdict{broken: cut > 3, text: text}, nil
}

// closingReply writes a whole stream and, with the disruption, marks its end by closing the connection.
// Like other requests without an ID, a request for a report is rejected: such workers have none.
func (e *env) closingReply(w *worker, c net.Conn, r *request) bool {
	if r.id == "" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", name("not_executed"))
		return err == nil
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n", name("request_id"), r.id, name("seal"), w.seal(r.id))
	if e.trouble {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := 1; n <= closingEvents; n++ {
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, r.id, n)
		if !e.trouble {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			e.rec.printf("%s: could not send event %d of %s: %v", w.id, n, r.id, err)
			return false
		}
		time.Sleep(40 * time.Millisecond)
	}
	e.rec.printf("%s: sent all %d events of %s; the end is marked by the connection: %v", w.id, closingEvents, r.id, e.trouble)
	if e.trouble {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// closingClient sends generations on a connection that it keeps as long as the daemon does.
func (e *env) closingClient(addr string, number int, results chan<- streamResult) {
	var c net.Conn
	var br *bufio.Reader
	for n := range closingStreams {
		var out streamResult
		id := fmt.Sprintf("%08x%08x", 0xc10f0000+number, n+1)
		if c == nil {
			if c, out.err = net.Dial("tcp", addr); out.err != nil {
				results <- out
				continue
			}
			br = bufio.NewReader(c)
		}
		_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
		fmt.Fprintf(c, "POST /write/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 6000\r\n%s: m\r\n%s: 400,16\r\n%s: aa%s:380,bb%s:20\r\nAuthorization: Bearer key-one\r\nContent-Length: 4\r\n\r\nhalo",
			name("request_id"), id, name("deadline"), name("model"), name("token_counts"), name("prefix"), id, id)
		e.rec.printf("client %d: sent %s", number, id)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			out.err = err
		} else {
			out.status = res.Status
			text, err := io.ReadAll(res.Body)
			out.whole, out.err = err == nil && res.StatusCode == http.StatusOK, err
			for line := range strings.Lines(string(text)) {
				if strings.HasPrefix(line, "id: ") {
					out.events = append(out.events, len(out.events)+1)
				}
			}
		}
		e.rec.printf("client %d: %s: status %q, %d events, whole %v, error %v", number, id, out.status, len(out.events), out.whole, out.err)
		if !out.whole {
			_ = c.Close() // The daemon has closed it.
			c = nil
		}
		results <- out
	}
	if c != nil {
		_ = c.Close()
	}
}
