package quarantiner

import (
	"sync"
	"time"
)

// The table holds tableShards*tableSets*tableWays parts.
const (
	tableShards = 64
	tableSets   = 32
	tableWays   = 4
)

// progressTable holds when parts last made progress at this daemon. It is of a fixed size;
// the parts whose progress is oldest give way. It is safe for concurrent use.
type progressTable struct {
	shards [tableShards]tableShard
}

type tableShard struct {
	mu   sync.Mutex
	sets [tableSets][tableWays]tableEntry
}

type tableEntry struct {
	part Subject
	at   int64 // Unix nanoseconds; zero if the entry is free.
}

func (t *progressTable) set(p Subject) (*tableShard, *[tableWays]tableEntry) {
	s := &t.shards[uint64(p)%tableShards]
	return s, &s.sets[uint64(p)/tableShards%tableSets]
}

// record records progress of a part.
func (t *progressTable) record(p Subject, now time.Time) {
	s, set := t.set(p)
	at := now.UnixNano()
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := 0
	for i := range set {
		if set[i].part == p && set[i].at != 0 {
			set[i].at = max(set[i].at, at)
			return
		}
		if set[i].at < set[oldest].at {
			oldest = i
		}
	}
	set[oldest] = tableEntry{part: p, at: at}
}

// last returns when a part last made progress. It returns false if that is not known.
func (t *progressTable) last(p Subject) (time.Time, bool) {
	s, set := t.set(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range set {
		if set[i].part == p && set[i].at != 0 {
			return time.Unix(0, set[i].at), true
		}
	}
	return time.Time{}, false
}
