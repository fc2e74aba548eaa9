package router

// maxCacheEntries bounds the hashes kept for one endpoint.
const maxCacheEntries = 1 << 14

// CacheEventType tells what happened to a cached prefix.
type CacheEventType uint8

// The types of cache event.
const (
	CacheStored CacheEventType = iota
	CacheEvicted
	CacheCleared
)

// CacheEvent is one change of an engine's prefix cache. Seq numbers the changes
// of one boot from 1 without gaps.
type CacheEvent struct {
	Seq  uint64
	Type CacheEventType
	Hash uint64
}

// CacheIndex knows which prefixes an engine holds. An event that does not
// follow the last one makes the index stale: it then claims nothing until it is
// rebuilt. The zero value is an index of an engine that has just booted.
type CacheIndex struct {
	last   uint64
	stale  bool
	bootID string
	held   map[uint64]struct{}
}

// Stale reports whether events are missing. The caller then reads the events
// again from After, and gives them to Apply.
func (x *CacheIndex) Stale() bool { return x.stale }

// After returns the sequence number to read events after: 0 for a stale index,
// which needs a replay from the start or from a clearing.
func (x *CacheIndex) After() uint64 {
	if x.stale {
		return 0
	}
	return x.last
}

// Has reports whether the engine is known to hold the prefix.
func (x *CacheIndex) Has(hash uint64) bool {
	if x.stale {
		return false
	}
	_, ok := x.held[hash]
	return ok
}

// Apply takes in events in the order in which they were read. A new bootID
// starts the index anew.
func (x *CacheIndex) Apply(bootID string, events []CacheEvent) {
	if bootID != x.bootID {
		*x = CacheIndex{bootID: bootID}
	}
	for _, ev := range events {
		x.apply(ev)
	}
}

func (x *CacheIndex) apply(ev CacheEvent) {
	if x.restart(ev) {
		x.stale = false
		x.held = map[uint64]struct{}{}
	} else {
		if ev.Seq <= x.last {
			return // Seen already.
		}
		if ev.Seq != x.last+1 {
			x.stale = true
			x.held = nil
		}
	}
	x.last = ev.Seq
	if x.stale {
		return
	}
	switch ev.Type {
	case CacheStored:
		x.store(ev.Hash)
	case CacheEvicted:
		delete(x.held, ev.Hash)
	case CacheCleared:
		clear(x.held)
	}
}

// restart reports whether ev rebuilds a stale index: the first event of the
// boot does, and so does a clearing, after which nothing earlier matters.
func (x *CacheIndex) restart(ev CacheEvent) bool {
	if !x.stale {
		return false
	}
	return ev.Seq == 1 || (ev.Type == CacheCleared && ev.Seq >= x.last)
}

func (x *CacheIndex) store(hash uint64) {
	if x.held == nil {
		x.held = map[uint64]struct{}{}
	}
	if len(x.held) >= maxCacheEntries {
		return // A prefix left out costs a prefill at most.
	}
	x.held[hash] = struct{}{}
}
