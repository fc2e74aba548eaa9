package dialer

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount    = 16          // Reduces lock contention.
	pruneInterval = time.Second // Of each shard.
)

// pool holds the idle connections. It is sharded by address.
type pool struct {
	maxIdlePerAddr int
	maxAge         time.Duration
	usable         func(addr string, c net.Conn, answered bool) bool
	shards         [shardCount]shard
}

// shard is the part of a pool that holds the connections of some addresses.
type shard struct {
	mu         sync.Mutex
	idle       map[string][]*conn // By address; the most recently used last.
	lastPruned time.Time
	closed     bool
}

func (p *pool) shard(addr string) *shard { return &p.shards[xxhash.Sum64String(addr)%shardCount] }

// get removes and returns the most recently used idle connection to addr that is
// still usable, or nil if there is none that has been idle for at most maxAge.
// Unusable connections are closed.
func (p *pool) get(addr string, maxAge time.Duration, now time.Time) *conn {
	s := p.shard(addr)
	for {
		c := s.pop(addr)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) > maxAge {
			s.push(c, p.maxIdlePerAddr)
			return nil
		}
		if p.usable(addr, c.raw, c.responses > 0) && c.usable() {
			return c
		}
		_ = c.raw.Close()
	}
}

// discardUnusable closes the connections that may not be used any more.
func (p *pool) discardUnusable() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for addr, conns := range s.idle {
			s.idle[addr] = slices.DeleteFunc(conns, func(c *conn) bool {
				if p.usable(addr, c.raw, c.responses > 0) {
					return false
				}
				_ = c.raw.Close()
				return true
			})
		}
		s.mu.Unlock()
	}
}

// put adds an idle connection for reuse by later requests, if it may be used for any.
func (p *pool) put(c *conn, now time.Time) {
	if !p.usable(c.addr, c.raw, c.responses > 0) {
		_ = c.raw.Close()
		return
	}
	c.idleSince = now
	s := p.shard(c.addr)
	s.push(c, p.maxIdlePerAddr)
	s.prune(p.maxAge, now)
}

func (p *pool) close() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		s.closed = true
		for _, conns := range s.idle {
			closeConns(conns)
		}
		s.idle = nil
		s.mu.Unlock()
	}
}

func (s *shard) pop(addr string) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := s.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	s.idle[addr] = conns[:last]
	return c
}

func (s *shard) push(c *conn, maxIdlePerAddr int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.idle[c.addr]) >= maxIdlePerAddr {
		_ = c.raw.Close()
		return
	}
	if s.idle == nil {
		s.idle = make(map[string][]*conn)
	}
	s.idle[c.addr] = append(s.idle[c.addr], c)
}

// prune closes the connections that have been idle for longer than maxAge. It
// does nothing if the last pass is less than pruneInterval ago.
func (s *shard) prune(maxAge time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastPruned) < pruneInterval {
		return
	}
	s.lastPruned = now
	for addr, conns := range s.idle {
		n := 0
		for n < len(conns) && now.Sub(conns[n].idleSince) > maxAge {
			n++
		}
		closeConns(conns[:n])
		if n == len(conns) {
			delete(s.idle, addr)
			continue
		}
		s.idle[addr] = append([]*conn(nil), conns[n:]...)
	}
}

func closeConns(conns []*conn) {
	for _, c := range conns {
		_ = c.raw.Close()
	}
}
