package dialer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount    = 16
	pruneInterval = time.Second
)

// pool holds the idle connections, by address.
type pool struct {
	maxIdle int
	maxAge  time.Duration
	shards  [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	idle   map[string][]*conn // The one used last at the end.
	pruned time.Time
	closed bool
}

func (p *pool) shard(addr string) *shard { return &p.shards[xxhash.Sum64String(addr)%shardCount] }

// get returns the idle connection to addr that was used last, if it is not
// older than maxAge and still open. It returns nil if there is none.
func (p *pool) get(addr string, maxAge time.Duration, now time.Time) *conn {
	s := p.shard(addr)
	for {
		c := s.pop(addr)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) > maxAge {
			s.push(c, p.maxIdle)
			return nil
		}
		if c.quiet() {
			return c
		}
		_ = c.raw.Close()
	}
}

// put keeps a connection for later requests.
func (p *pool) put(c *conn, now time.Time) {
	c.idleSince = now
	s := p.shard(c.addr)
	s.push(c, p.maxIdle)
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

func (s *shard) push(c *conn, maxIdle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.idle[c.addr]) >= maxIdle {
		_ = c.raw.Close()
		return
	}
	if s.idle == nil {
		s.idle = make(map[string][]*conn)
	}
	s.idle[c.addr] = append(s.idle[c.addr], c)
}

// prune closes the connections that are too old, once an interval.
func (s *shard) prune(maxAge time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.pruned) < pruneInterval {
		return
	}
	s.pruned = now
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
