// Package relay is a test double of the network between two processes. It
// passes TCP connections on and can cut, hold, delay or silence them.
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
	bufferBytes = 32 << 10
	maxQueued   = 1024
	holdPoll    = 5 * time.Millisecond
	dialTimeout = time.Second
)

// Faults is what POST /faults of the control address sets. Fields that a call
// leaves out keep their value. What is held is delivered once the hold ends, as
// a network that comes back delivers what is sent again.
type Faults struct {
	Cut      bool `json:"cut"`       // Closes all connections and takes no new ones.
	HoldUp   bool `json:"hold_up"`   // Delivers nothing to the target.
	HoldDown bool `json:"hold_down"` // Delivers nothing from the target.
	DelayMS  int  `json:"delay_ms"`  // Delivers this much later, each way.
	MuteOpen bool `json:"mute_open"` // Once: the open connections deliver nothing ever again.
}

// Relay passes connections on to one target. Create it by New.
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

// New returns a relay to target that is not started.
func New(target string) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{target: target, ctx: ctx, cancel: cancel, links: make(map[*link]struct{})}
	r.control.Handler = r.serveFaults
	return r
}

// Start listens on addr and returns the address that it is bound to.
func (r *Relay) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	r.ln = ln
	r.group.Go(r.accept)
	return ln.Addr().String(), nil
}

// StartControl serves POST /faults on addr and returns the address that it is
// bound to.
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

// SetFaults replaces the faults in force.
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
	f := r.current()
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.SetFaults(f)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (r *Relay) current() Faults {
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

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.serve(c) })
	}
}

// serve passes one connection on until either end closes it.
func (r *Relay) serve(near net.Conn) {
	if r.current().Cut {
		_ = near.Close()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(r.ctx, "tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{relay: r, near: near, far: far}
	if !r.add(l) {
		l.close()
		return
	}
	defer r.remove(l)
	var group conc.WaitGroup
	group.Go(func() { l.pass(near, far, func(f Faults) bool { return f.HoldUp }) })
	group.Go(func() { l.pass(far, near, func(f Faults) bool { return f.HoldDown }) })
	group.Wait()
}

// add reports false if the relay is cut or closed by now.
func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Cut || r.ctx.Err() != nil {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// wait reports whether d passed before the relay was closed.
func (r *Relay) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}
