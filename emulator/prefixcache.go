package emulator

import (
	"slices"
	"time"
)

// CacheEvent is a change of the prefix cache. Seq is consecutive and starts at 1.
type CacheEvent struct {
	Seq    uint64
	Stored bool // Evicted if false.
	Hash   uint64
}

// prefixCache holds the cached prefixes, whether sequences use them or not.
type prefixCache struct {
	entries []*cacheEntry
	lastSeq uint64
	events  []CacheEvent
}

type cacheEntry struct {
	hash    uint64
	tokens  int
	blocks  int
	refs    int           // Sequences that use the prefix.
	lastUse time.Duration // When a sequence last released the prefix.
}

func (c *prefixCache) lookup(hash uint64) *cacheEntry {
	for _, e := range c.entries {
		if e.hash == hash && hash != 0 {
			return e
		}
	}
	return nil
}

func (c *prefixCache) ref(e *cacheEntry) { e.refs++ }

func (c *prefixCache) unref(e *cacheEntry, now time.Duration) {
	e.refs--
	e.lastUse = now
}

func (c *prefixCache) store(hash uint64, tokens, blocks int, now time.Duration) {
	c.entries = append(c.entries, &cacheEntry{hash: hash, tokens: tokens, blocks: blocks, lastUse: now})
	c.appendEvent(true, hash)
}

// evict removes the least recently used prefix that no sequence references. It
// returns the number of blocks freed, zero if all prefixes are in use.
func (c *prefixCache) evict() int {
	oldest := -1
	for i, e := range c.entries {
		if e.refs == 0 && (oldest < 0 || e.lastUse < c.entries[oldest].lastUse) {
			oldest = i
		}
	}
	if oldest < 0 {
		return 0
	}
	e := c.entries[oldest]
	c.entries = slices.Delete(c.entries, oldest, oldest+1)
	c.appendEvent(false, e.hash)
	return e.blocks
}

func (c *prefixCache) appendEvent(stored bool, hash uint64) {
	c.lastSeq++
	c.events = append(c.events, CacheEvent{Seq: c.lastSeq, Stored: stored, Hash: hash})
}

// evictableBlocks returns the number of blocks that evict can free.
func (c *prefixCache) evictableBlocks() int {
	n := 0
	for _, e := range c.entries {
		if e.refs == 0 {
			n += e.blocks
		}
	}
	return n
}
