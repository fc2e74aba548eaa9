package engine

import (
	"container/list"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
)

const (
	prefixBytes   = 256 // Unit of the prompt cache.
	bytesPerToken = 4
	maxEvents     = 100000
	maxEventBatch = 1000
)

type cacheEvent struct {
	Seq  int    `json:"seq"`
	Type string `json:"type"`
	Hash string `json:"hash,omitempty"`

	at time.Time
}

// cache remembers the prompt prefixes used last.
type cache struct {
	capacity int
	order    *list.List // Of hashes, the one used last in front.
	entries  map[string]*list.Element
	events   []cacheEvent
	seq      int
}

func newCache(capacity int) cache {
	return cache{capacity: capacity, order: list.New(), entries: make(map[string]*list.Element)}
}

// prefixHashes returns the hashes of the whole units at the start of a prompt.
func prefixHashes(m Model, prompt string) []string {
	digest := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = digest.WriteString(m.Model + "\x00" + m.Version + "\x00" + m.Adapter + "\x00")
	var hashes []string
	for ; len(prompt) >= prefixBytes; prompt = prompt[prefixBytes:] {
		_, _ = digest.WriteString(prompt[:prefixBytes])
		hashes = append(hashes, fmt.Sprintf("%016x", digest.Sum64()))
	}
	return hashes
}

// lookup returns how many of the hashes, from the first on, are cached.
func (c *cache) lookup(hashes []string) int {
	for i, h := range hashes {
		if _, ok := c.entries[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

func (c *cache) store(hashes []string, now time.Time) {
	for _, h := range hashes {
		if e, ok := c.entries[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[h] = c.order.PushFront(h)
		c.publish(cacheEvent{Type: "stored", Hash: h, at: now})
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		h, _ := c.order.Remove(oldest).(string)
		delete(c.entries, h)
		c.publish(cacheEvent{Type: "evicted", Hash: h, at: now})
	}
}

func (c *cache) publish(e cacheEvent) {
	c.seq++
	e.Seq = c.seq
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

type cacheEvents struct {
	Events []cacheEvent `json:"events"`
	Next   int          `json:"next"`
}

// serveCacheEvents answers with the events after a sequence number.
func (s *Server) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := cacheEvents{Events: []cacheEvent{}, Next: after}
	newest := time.Now().Add(-time.Duration(s.faults.EventDelayMS) * time.Millisecond)
	for _, e := range s.cache.events {
		if e.Seq <= after {
			continue
		}
		if e.at.After(newest) || len(answer.Events) == maxEventBatch {
			break
		}
		answer.Next = e.Seq
		if n := s.faults.EventGapEvery; n > 0 && e.Seq%n == 0 {
			continue
		}
		answer.Events = append(answer.Events, e)
	}
	listener.WriteJSON(ctx, fasthttp.StatusOK, answer)
}
