package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// newID returns a new request ID.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// answer is what a client gets for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // Of an answer that is missing or not complete.
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, error: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete", a.status, len(a.body))
}

// request is a request of a client.
type request struct {
	method, path, id, key, body string
	deadline                    time.Duration
	header                      []string
}

func (r *request) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: case.example\r\nX-Request-Id: %s\r\n", r.method, r.path, r.id)
	if r.deadline > 0 {
		fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\n", r.deadline.Milliseconds())
	}
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	for _, h := range r.header {
		b.WriteString(h + "\r\n")
	}
	if r.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return []byte(b.String())
}

// do sends the request on a new connection and reads the answer.
func (r *request) do(addr string) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return r.on(c, bufio.NewReader(c))
}

// on sends the request on an open connection and reads the answer.
func (r *request) on(c net.Conn, br *bufio.Reader) answer {
	_ = c.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := c.Write(r.bytes()); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(br, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: body, err: err}
}
