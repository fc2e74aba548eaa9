// Package relay is a stand-in for the network between two processes. It is a
// TCP proxy that can close, hold, delay or mute connections.
package relay

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
)

const (
	bufferBytes      = 32 << 10 // Maximum size of a chunk.
	maxQueuedChunks  = 1024     // Chunks read but not delivered, in each direction of a connection.
	holdPollInterval = 5 * time.Millisecond
	dialTimeout      = time.Second // Time to connect to the target.
)

// Faults is the body of POST /faults at the control address. Omitted fields keep
// their values. Held data is delivered once the hold ends, as after a partition,
// when TCP retransmits.
type Faults struct {
	Cut      bool `json:"cut"`       // Closes all connections and accepts no new ones.
	HoldUp   bool `json:"hold_up"`   // Delivers nothing to the target.
	HoldDown bool `json:"hold_down"` // Delivers nothing from the target.
	DelayMS  int  `json:"delay_ms"`  // Delay in each direction.
	MuteOpen bool `json:"mute_open"` // One-shot: the open connections deliver nothing more.
}

// Relay forwards connections to one target. Create it with New.
type Relay struct {
	target  string
	control listener.Listener
	ctx     context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup
	ln      net.Listener

	mu     sync.Mutex
	faults Faults
	links  map[*link]struct{}
}

// New returns a Relay to target that is not started.
func New(target string) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{target: target, ctx: ctx, cancel: cancel, links: make(map[*link]struct{})}
	r.control.Handler = r.serveFaults
	return r
}

// Start listens on addr and returns the bound address.
func (r *Relay) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	r.ln = ln
	r.group.Go(r.acceptConnections)
	return ln.Addr().String(), nil
}

// StartControl serves POST /faults on addr and returns the bound address.
func (r *Relay) StartControl(addr string) (string, error) { return r.control.Start(addr) }

// Close stops the relay and closes its connections.
func (r *Relay) Close() error {
	r.cancel()
	_ = r.control.Close()
	var err error
	if r.ln != nil {
		err = r.ln.Close()
	}
	r.closeLinks()
	r.group.Wait()
	return errors.Wrap(err, "close relay")
}

// SetFaults replaces the active faults.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	mute := f.MuteOpen
	f.MuteOpen = false
	r.faults = f
	for l := range r.links {
		l.muted = l.muted || mute
	}
	r.mu.Unlock()
	if f.Cut {
		r.closeLinks()
	}
}

func (r *Relay) serveFaults(ctx *fasthttp.RequestCtx) {
	f := r.currentFaults()
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.SetFaults(f)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (r *Relay) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

func (r *Relay) closeLinks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

func (r *Relay) acceptConnections() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.serve(c) })
	}
}

// serve relays one connection until either end closes it.
func (r *Relay) serve(clientConn net.Conn) {
	if r.currentFaults().Cut {
		_ = clientConn.Close()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	targetConn, err := dialer.DialContext(r.ctx, "tcp", r.target)
	if err != nil {
		_ = clientConn.Close()
		return
	}
	l := &link{relay: r, clientConn: clientConn, targetConn: targetConn}
	if !r.addLink(l) {
		l.close()
		return
	}
	defer r.removeLink(l)
	var group conc.WaitGroup
	group.Go(func() { l.copyData(clientConn, targetConn, func(f Faults) bool { return f.HoldUp }) })
	group.Go(func() { l.copyData(targetConn, clientConn, func(f Faults) bool { return f.HoldDown }) })
	group.Wait()
}

// addLink returns false if the relay is cut or closed.
func (r *Relay) addLink(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Cut || r.ctx.Err() != nil {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) removeLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// sleep waits for d. It returns false if the relay is closed first.
func (r *Relay) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}
