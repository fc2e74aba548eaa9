package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes on the connections to a server. While it is cut, it holds what the connections carry, their
// ends too, as a link does that loses all packets: the sender's system sends them again after the cut.
// What is held arrives `again` after the end of the cut. New connections get no answer.
type proxy struct {
	listener net.Listener
	target   string
	again    time.Duration

	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
}

func startProxy(addr, target string, again time.Duration) (*proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, again: again}
	p.healed = sync.NewCond(&p.mu)
	background.Go(func() { p.run() })
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.healed.Broadcast()
}

// pass waits while the link is cut, and reports whether it was.
func (p *proxy) pass() bool {
	p.mu.Lock()
	held := p.cut
	for p.cut {
		p.healed.Wait()
	}
	p.mu.Unlock()
	if held {
		time.Sleep(p.again)
	}
	return held
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		background.Go(func() {
			if p.pass() { // Its opening packets were lost; the client has given up.
				_ = c.Close()
				return
			}
			t, err := net.Dial("tcp", p.target)
			if err != nil {
				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = c.Close()
				return
			}
			background.Go(func() { p.copy(t, c) })
			p.copy(c, t)
		})
	}
}

// copy passes on one direction of a connection. An orderly end of one side is passed on as such, a reset as
// a reset.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.pass()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			for _, c := range []net.Conn{to, from} {
				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = c.Close()
			}
			return
		}
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		return
	}
}
