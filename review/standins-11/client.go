package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the ID of a request attempt.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %.60q", a.status, a.body)
}

// client is a connection of a client.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, in: bufio.NewReader(c)}, nil
}

// request returns the bytes of a request of the first customer.
func request(method, path, id string, ms int, body string, extra ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n", method, path, id, ms)
	if method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	for _, h := range extra {
		text += h + "\r\n"
	}
	return text + "\r\n" + body
}

// do sends the bytes of a request and reads the answer.
func (c *client) do(text string, limit time.Duration) answer {
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, text); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(c.in, &http.Request{Method: strings.Fields(text)[0]})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(body), err: err}
}

// ask sends one request on a new connection.
func ask(addr, text string, limit time.Duration) answer {
	c, err := dial(addr)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.do(text, limit)
}
