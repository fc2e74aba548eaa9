package router

// maxCacheEntries bounds the prefix hashes kept for one endpoint.
const maxCacheEntries = 1 << 14

// CacheEventType is the kind of change to the prefix cache of an engine.
type CacheEventType uint8

// The types of cache event.
const (
	CacheStored CacheEventType = iota
	CacheEvicted
	CacheCleared
)

// CacheEvent is one change to the prefix cache of an engine. Seq numbers the
// changes since the engine booted, from 1 without gaps.
type CacheEvent struct {
	Seq  uint64
	Type CacheEventType
	Hash uint64
}

// CacheIndex tracks which prefixes the cache of an engine holds. A gap in the
// sequence of events makes the index stale: it then reports no prefix until it
// is rebuilt. The zero value is the index of an engine that has just booted.
type CacheIndex struct {
	lastSeq  uint64
	stale    bool
	bootID   string
	prefixes map[uint64]struct{}
}

// Stale reports whether events are missing. The caller should then read the
// events that follow After again and pass them to Apply.
func (x *CacheIndex) Stale() bool { return x.stale }

// After returns the sequence number after which to read events. It is 0 for a
// stale index, which needs a replay from the first event or from a CacheCleared
// event.
func (x *CacheIndex) After() uint64 {
	if x.stale {
		return 0
	}
	return x.lastSeq
}

// Has reports whether the cache of the engine is known to hold the prefix.
func (x *CacheIndex) Has(hash uint64) bool {
	if x.stale {
		return false
	}
	_, ok := x.prefixes[hash]
	return ok
}

// Apply processes events in the order in which they were read. A new bootID
// resets the index.
func (x *CacheIndex) Apply(bootID string, events []CacheEvent) {
	if bootID != x.bootID {
		*x = CacheIndex{bootID: bootID}
	}
	for _, ev := range events {
		x.apply(ev)
	}
}

func (x *CacheIndex) apply(ev CacheEvent) {
	if x.resynchronizes(ev) {
		x.stale = false
		x.prefixes = map[uint64]struct{}{}
	} else {
		if ev.Seq <= x.lastSeq {
			return // Already applied.
		}
		if ev.Seq != x.lastSeq+1 {
			x.stale = true
			x.prefixes = nil
		}
	}
	x.lastSeq = ev.Seq
	if x.stale {
		return
	}
	switch ev.Type {
	case CacheStored:
		x.store(ev.Hash)
	case CacheEvicted:
		delete(x.prefixes, ev.Hash)
	case CacheCleared:
		clear(x.prefixes)
	}
}

// resynchronizes reports whether ev ends the staleness of the index. The first
// event of a boot does, and so does CacheCleared, which makes all earlier
// events irrelevant.
func (x *CacheIndex) resynchronizes(ev CacheEvent) bool {
	if !x.stale {
		return false
	}
	return ev.Seq == 1 || (ev.Type == CacheCleared && ev.Seq >= x.lastSeq)
}

func (x *CacheIndex) store(hash uint64) {
	if x.prefixes == nil {
		x.prefixes = map[uint64]struct{}{}
	}
	if len(x.prefixes) >= maxCacheEntries {
		return // A missing entry costs at most one avoidable prefill.
	}
	x.prefixes[hash] = struct{}{}
}
