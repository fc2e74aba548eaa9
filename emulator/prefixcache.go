package emulator

import (
	"slices"
	"time"
)

// CacheEvent is one change of the prefix cache; Seq counts from 1.
type CacheEvent struct {
	Seq    uint64
	Stored bool // Evicted if false.
	Hash   uint64
}

// prefixCache holds the prefixes in memory, used by sequences or not.
type prefixCache struct {
	entries []*cacheEntry
	seq     uint64
	events  []CacheEvent
}

type cacheEntry struct {
	hash    uint64
	tokens  int
	blocks  int
	refs    int
	lastUse time.Duration
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
	c.note(true, hash)
}

// evict drops the unused prefix that was used least recently and returns its
// blocks, zero if all are in use.
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
	c.note(false, e.hash)
	return e.blocks
}

func (c *prefixCache) note(stored bool, hash uint64) {
	c.seq++
	c.events = append(c.events, CacheEvent{Seq: c.seq, Stored: stored, Hash: hash})
}

// idleBlocks returns the blocks that evict could free.
func (c *prefixCache) idleBlocks() int {
	n := 0
	for _, e := range c.entries {
		if e.refs == 0 {
			n += e.blocks
		}
	}
	return n
}
