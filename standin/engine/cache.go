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
	prefixBlockBytes = 256    // Granularity of the prefix cache.
	bytesPerToken    = 4      // Prompt bytes that count as one token.
	maxStoredEvents  = 100000 // Beyond this number, the oldest events are discarded.
	maxEventBatch    = 1000   // Events in one response.
)

type cacheEvent struct {
	Seq  int    `json:"seq"`
	Type string `json:"type"`
	Hash string `json:"hash,omitempty"`

	createdAt time.Time
}

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	capacity int
	lru      *list.List // Hashes, the most recently used first.
	entries  map[string]*list.Element
	events   []cacheEvent
	seq      int
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, lru: list.New(), entries: make(map[string]*list.Element)}
}

// prefixHashes returns the chained hashes of the complete blocks of a prompt.
func prefixHashes(m Model, prompt string) []string {
	digest := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = digest.WriteString(m.Model + "\x00" + m.Version + "\x00" + m.Adapter + "\x00")
	var hashes []string
	for ; len(prompt) >= prefixBlockBytes; prompt = prompt[prefixBlockBytes:] {
		_, _ = digest.WriteString(prompt[:prefixBlockBytes])
		hashes = append(hashes, fmt.Sprintf("%016x", digest.Sum64()))
	}
	return hashes
}

// lookup returns the number of leading hashes that are cached.
func (c *prefixCache) lookup(hashes []string) int {
	for i, h := range hashes {
		if _, ok := c.entries[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

func (c *prefixCache) store(hashes []string, now time.Time) {
	for _, h := range hashes {
		if e, ok := c.entries[h]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.entries[h] = c.lru.PushFront(h)
		c.appendEvent(cacheEvent{Type: "stored", Hash: h, createdAt: now})
	}
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		h, _ := c.lru.Remove(oldest).(string)
		delete(c.entries, h)
		c.appendEvent(cacheEvent{Type: "evicted", Hash: h, createdAt: now})
	}
}

func (c *prefixCache) appendEvent(e cacheEvent) {
	c.seq++
	e.Seq = c.seq
	c.events = append(c.events, e)
	if len(c.events) > maxStoredEvents {
		c.events = c.events[len(c.events)-maxStoredEvents/2:]
	}
}

type cacheEventsResponse struct {
	Events []cacheEvent `json:"events"`
	Next   int          `json:"next"`
}

// serveCacheEvents returns the events after a sequence number.
func (s *Server) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	response := cacheEventsResponse{Events: []cacheEvent{}, Next: after}
	visibleUntil := time.Now().Add(-time.Duration(s.faults.EventDelayMS) * time.Millisecond)
	for _, e := range s.cache.events {
		if e.Seq <= after {
			continue
		}
		if e.createdAt.After(visibleUntil) || len(response.Events) == maxEventBatch {
			break
		}
		response.Next = e.Seq
		if n := s.faults.EventGapEvery; n > 0 && e.Seq%n == 0 {
			continue
		}
		response.Events = append(response.Events, e)
	}
	listener.WriteJSON(ctx, fasthttp.StatusOK, response)
}
