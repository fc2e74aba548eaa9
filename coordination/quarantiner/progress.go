package quarantiner

import (
	"sync"
	"time"
)

// Sizes of a progressTable. It holds shards*sets*ways subjects, and shards*repeatedSets*ways repeated ones.
const (
	tableShards  = 64
	tableSets    = 32
	repeatedSets = 8
	tableWays    = 4
)

// progressTable holds when subjects last made progress at this daemon. It is of a fixed size;
// those whose progress is oldest give way. Most subjects are of one request only. The others, parts with which
// several requests made progress, have a room of their own, so that they are known for longer. It is safe for concurrent use.
type progressTable struct {
	shards [tableShards]tableShard
}

type tableShard struct {
	mu       sync.Mutex
	sets     [tableSets]tableSet
	repeated [repeatedSets]tableSet
}

type tableSet [tableWays]tableEntry

type tableEntry struct {
	subject Subject
	at      int64   // Unix nanoseconds; zero if the entry is free.
	request Subject // That made the progress.
}

// find returns the shard of a subject, its set, and its set of repeated subjects.
func (t *progressTable) find(p Subject) (s *tableShard, all, repeated *tableSet) {
	s = &t.shards[uint64(p)%tableShards]
	h := uint64(p) / tableShards
	return s, &s.sets[h%tableSets], &s.repeated[h%repeatedSets]
}

// record records progress of a subject in a request, which is zero if it is not known.
func (t *progressTable) record(p, request Subject, now time.Time) {
	s, all, repeated := t.find(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := all.put(tableEntry{subject: p, at: now.UnixNano(), request: request})
	if !p.IsRequest() && request != 0 && (before != 0 && before != request || repeated.has(p)) {
		repeated.put(tableEntry{subject: p, at: now.UnixNano()})
	}
}

// put adds an entry, or updates that of the same subject. It returns the request of the entry before.
func (set *tableSet) put(e tableEntry) (before Subject) {
	oldest := 0
	for i := range set {
		if set[i].subject == e.subject && set[i].at != 0 {
			before = set[i].request
			e.at = max(set[i].at, e.at)
			set[i] = e
			return before
		}
		if set[i].at < set[oldest].at {
			oldest = i
		}
	}
	set[oldest] = e
	return 0
}

// last returns when a subject last made progress, in Unix nanoseconds; zero if that is not known.
func (set *tableSet) last(p Subject) int64 {
	for i := range set {
		if set[i].subject == p && set[i].at != 0 {
			return set[i].at
		}
	}
	return 0
}

// has reports whether the set holds a subject.
func (set *tableSet) has(p Subject) bool { return set.last(p) != 0 }

// last returns when a subject last made progress. It returns false if that is not known.
func (t *progressTable) last(p Subject) (time.Time, bool) {
	s, all, repeated := t.find(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := max(all.last(p), repeated.last(p)); at != 0 {
		return time.Unix(0, at), true
	}
	return time.Time{}, false
}
