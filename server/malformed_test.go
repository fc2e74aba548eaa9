package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/protocol/generator"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/standin/malformer"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
)

// serveRaw answers the first request on each connection with a text and returns its address.
func serveRaw(t *testing.T, text string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	t.Cleanup(func() { _ = ln.Close(); group.Wait() })
	group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, text) // The caller may have closed the connection.
				_, _ = c.Read(make([]byte, 1)) // Until the caller closes it.
			})
		}
	})
	return ln.Addr().String()
}

// refusals returns malformed responses that claim that the request was not run.
func refusals() map[string]string {
	texts := map[string]string{}
	for _, c := range append(malformer.MalformedHeads(), malformer.MalformedBodies()...) {
		texts[c.Name] = strings.Replace(c.Text(headerNotRun+": true\r\n"), "200 OK", "503 Service Unavailable", 1)
	}
	return texts
}

// Guards against a malformed reply that counts as one, or as proof that the call was not run (report MIXED of issue 60).
func TestMalformedReplyIsNoReply(t *testing.T) {
	for name, text := range refusals() {
		t.Run(name, func(t *testing.T) {
			d := dialer.New(dialer.Config{}, timekeeper.System{})
			defer d.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			res, err := d.Do(ctx, requester.Request{Method: "POST", Path: "/", Addr: serveRaw(t, text), NonIdempotent: true, OwnConnection: true})
			if err == nil {
				_, err = readReply(ctx, cancel, res)
			}
			assert.Assert(t, err != nil)
			assert.Equal(t, callFailure(err), attempter.ConnectionLost, "%v", err)
		})
	}
}

// Guards against a malformed answer of an engine that counts as proof that the generation was not started.
func TestMalformedAnswerOfEngineProvesNothing(t *testing.T) {
	for name, text := range refusals() {
		t.Run(name, func(t *testing.T) {
			d := dialer.New(dialer.Config{}, timekeeper.System{})
			defer d.Close()
			c := generator.NewClient(d, generator.Config{TokenTimeout: func() time.Duration { return time.Second }, CallTimeout: time.Second})
			_, err := c.Start(t.Context(), serveRaw(t, text), generator.Request{Attempt: "a", NonIdempotent: true}, nil)
			assert.Assert(t, err != nil)
			assert.Equal(t, generator.FailureOf(err), attempter.ConnectionLost, "%v", err)
		})
	}
}

// Guards against a refusal that holds up its call since its body does not end.
func TestRefusalWithoutEndIsReadForMoment(t *testing.T) {
	d := dialer.New(dialer.Config{}, timekeeper.System{})
	defer d.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	addr := serveRaw(t, "HTTP/1.1 503 Service Unavailable\r\n"+headerNotRun+": true\r\nContent-Length: 4\r\n\r\nbod")
	res, err := d.Do(ctx, requester.Request{Method: "POST", Path: "/", Addr: addr, OwnConnection: true})
	assert.NilError(t, err)
	_, err = readReply(ctx, cancel, res)
	assert.Equal(t, callFailure(err), attempter.Refused, "%v", err)
}
