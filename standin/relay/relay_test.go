package relay_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/relay"
)

// startEchoServer returns the address of a server that echoes its input.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		group.Wait()
	})
	return ln.Addr().String()
}

func startRelay(t *testing.T) (*relay.Relay, string) {
	t.Helper()
	target := startEchoServer(t)
	r := relay.New(target)
	addr, err := r.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.Close()) })
	return r, addr
}

type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return client{Conn: c, r: bufio.NewReader(c)}
}

func (c client) send(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(c, "ping\n")
	assert.NilError(t, err)
}

func (c client) receive(t *testing.T) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	line, err := c.r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "ping\n")
}

// receiveNothing checks that nothing is received within 50 ms.
func (c client) receiveNothing(t *testing.T) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.r.ReadByte()
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

func TestHeldDataIsDeliveredAfterTheHold(t *testing.T) {
	r, addr := startRelay(t)
	c := dial(t, addr)
	c.send(t)
	c.receive(t)
	for _, f := range []relay.Faults{{HoldUp: true}, {HoldDown: true}} {
		r.SetFaults(f)
		c.send(t)
		c.receiveNothing(t)
		r.SetFaults(relay.Faults{})
		c.receive(t)
	}
	r.SetFaults(relay.Faults{DelayMS: 5})
	c.send(t)
	c.receive(t)
}

func TestCutClosesAndRefusesConnections(t *testing.T) {
	r, addr := startRelay(t)
	c := dial(t, addr)
	c.send(t)
	c.receive(t)
	r.SetFaults(relay.Faults{Cut: true})
	_, err := c.r.ReadByte()
	assert.Assert(t, err != nil)
	_, err = dial(t, addr).r.ReadByte()
	assert.Assert(t, err != nil)
	r.SetFaults(relay.Faults{})
	c = dial(t, addr)
	c.send(t)
	c.receive(t)
}

func TestMutedConnectionsDeliverNothingAndNewOnesWork(t *testing.T) {
	r, addr := startRelay(t)
	old := dial(t, addr)
	old.send(t)
	old.receive(t)
	r.SetFaults(relay.Faults{MuteOpen: true})
	old.send(t)
	c := dial(t, addr)
	c.send(t)
	c.receive(t)
	old.receiveNothing(t)
}
