package dialer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/transport/dialer"
)

// recordingNetwork records what a Dialer finds out about its connections.
type recordingNetwork struct {
	net.Dialer
	mu     sync.Mutex
	events []string
	added  chan string
}

func (n *recordingNetwork) add(event string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, event)
	select {
	case n.added <- event:
	default:
	}
}

// Dial implements dialer.Network.
func (n *recordingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return n.DialContext(ctx, "tcp", addr)
}

// Usable implements dialer.Network.
func (n *recordingNetwork) Usable(string, net.Conn, bool) bool { return true }

// RecordAnswer implements dialer.Network.
func (n *recordingNetwork) RecordAnswer(_ string, _ net.Conn, openedAt time.Time) {
	if !openedAt.IsZero() {
		n.add("answer")
	}
}

// RecordSilence implements dialer.Network.
func (n *recordingNetwork) RecordSilence(string, net.Conn) { n.add("silence") }

// RecordBreak implements dialer.Network.
func (n *recordingNetwork) RecordBreak(string, net.Conn) { n.add("break") }

// Guards against connections that break under a request without a word to the Network, which then takes their path for sound.
func TestNetworkLearnsWhatBecomesOfConnections(t *testing.T) {
	for _, tt := range []struct {
		name, response string
		want           []string
	}{
		{"answered", okResponse, []string{"answer"}},
		{"closed without a byte", closeSuffix, []string{"break"}},
		{"closed inside the header", "HTTP/1.1 200 OK\r\n" + closeSuffix, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t, tt.response)
			n := &recordingNetwork{added: make(chan string, 1)}
			d := newDialer(t, dialer.Config{Network: n})
			if res, err := d.Do(t.Context(), requester.Request{Method: "GET", Path: "/", Addr: s.addr}); err == nil {
				assert.NilError(t, res.Body.Close())
			}
			assert.DeepEqual(t, n.events, tt.want)
		})
	}
}

// Guards against a silent connection that is noticed only when its request fails, after seconds in which others follow it.
func TestSilenceIsRecordedWhileRequestWaits(t *testing.T) {
	s := startServer(t, hangSuffix)
	n := &recordingNetwork{added: make(chan string, 1)}
	d := newDialer(t, dialer.Config{Network: n})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		_, err := d.Do(ctx, requester.Request{Method: "GET", Path: "/", Addr: s.addr, Prompt: true})
		ended <- err
	})
	assert.Equal(t, <-n.added, "silence")
	select {
	case err := <-ended:
		t.Fatalf("the request has ended: %v", err)
	default:
	}
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}
