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

// channel is a connection of a requester.
type channel struct {
	net.Conn
	r *bufio.Reader
}

// dialTimeout is the time that a requester allows for a new channel.
const dialTimeout = time.Second

func open(addr string) (*channel, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, r: bufio.NewReader(c)}, nil
}

var requestCount atomic.Int64

// newID returns a new request ID.
func newID(prefix string) string { return fmt.Sprintf("%s%06d", prefix, requestCount.Add(1)) }

// outcome is what a requester got.
type outcome struct {
	status int // Zero without an answer.
	sealed bool
	retry  string
	body   string
	worker string // Of the proof.
	err    error
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("no answer: %v", o.err)
	}
	return fmt.Sprintf("status %d sealed=%t retry=%q %.60q", o.status, o.sealed, o.retry, o.body)
}

// get sends a request without a body on the channel and reads its answer.
func (c *channel) get(path, id string, budget time.Duration) outcome {
	return c.getWith(key, path, id, budget)
}

// getWith is like get with another key.
func (c *channel) getWith(key, path, id string, budget time.Duration) outcome {
	return c.do(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n\r\n", path, host, names["id"], id, names["deadline"], budget.Milliseconds(), key), budget)
}

// post sends a generation.
func (c *channel) post(path, id, counts, prefix string, budget time.Duration) outcome {
	body := "prompt of " + id
	return c.do(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n%s: m\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, host, names["id"], id, names["deadline"], budget.Milliseconds(), key, names["model"], names["counts"], counts, names["prefix"], prefix, len(body), body), budget)
}

func (c *channel) do(text string, budget time.Duration) outcome {
	_ = c.SetDeadline(time.Now().Add(budget + time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return outcome{err: err}
	}
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return outcome{status: res.StatusCode, body: string(body), err: err}
	}
	seal := res.Header.Get(names["seal"])
	worker, _, _ := strings.Cut(seal, ".")
	return outcome{status: res.StatusCode, sealed: seal != "", worker: worker, retry: res.Header.Get("Retry-After"), body: string(body)}
}
