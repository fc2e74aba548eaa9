package resumer

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/registrar"
)

// numberingShards reduces lock contention.
const numberingShards = 16

// inconsistent stands for the ID of the first event of an engine whose runs do not begin alike.
const inconsistent = int64(-1)

// Numbering holds the IDs with which engines begin to number the events of a run. The protocol of the
// endpoints leaves open what they are, so that "after the event 0" may mean the first event or the second
// one. It is safe for concurrent use. The zero value knows no engine.
type Numbering struct {
	shards [numberingShards]numberingShard
}

type numberingShard struct {
	mu    sync.Mutex
	first map[registrar.Identity]int64
}

func (n *Numbering) shard(id registrar.Identity) *numberingShard {
	return &n.shards[xxhash.Sum64String(id.Name)%numberingShards]
}

// Record records the ID of the first event of a run that an engine has begun from its start.
func (n *Numbering) Record(engine registrar.Identity, first int64) {
	s := n.shard(engine)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == nil {
		s.first = map[registrar.Identity]int64{}
	}
	if known, ok := s.first[engine]; ok && known != first {
		first = inconsistent
	}
	s.first[engine] = first
}

// First returns the ID of the first event of each run of an engine. It returns false if the ID is not known, or
// if there is no ID before it after which a run could be asked to go on: IDs are not negative.
func (n *Numbering) First(engine registrar.Identity) (int64, bool) {
	s := n.shard(engine)
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.first[engine]
	return first, first > 0
}

// Retain removes what is known of all engines that are not present.
func (n *Numbering) Retain(present func(registrar.Identity) bool) {
	for i := range n.shards {
		s := &n.shards[i]
		s.mu.Lock()
		for id := range s.first {
			if !present(id) {
				delete(s.first, id)
			}
		}
		s.mu.Unlock()
	}
}
