package prober

import (
	"slices"
	"time"

	"monsoonspar.example/state/asserter"
)

// Buckets is the number of parts in which two views are compared.
const Buckets = 32

// MaxMembers bounds the members that are kept.
const MaxMembers = 4096

// view is what a daemon believes about all members but itself.
type view struct {
	records map[string]*record
	byAddr  map[string]string   // Name last seen at each address.
	dead    map[string]struct{} // Names of dead members.
	buckets [Buckets]uint32     // XOR of the digests of live members, itself included.
}

func bucketOf(hash uint64) int { return int(mix(hash) % Buckets) }

// flip adds m to the hashes, or takes it out again.
func (v *view) flip(m Member, hash uint64) {
	if !m.State.Gone() {
		v.buckets[bucketOf(hash)] ^= m.digest()
	}
}

// put makes m the entry of its name and returns the record and the state that
// it replaces.
func (v *view) put(now time.Time, m Member, hash uint64) (*record, State) {
	r := v.records[m.Name]
	if r == nil {
		r = &record{Member: m, hash: hash, since: now}
		v.records[m.Name] = r
		v.flip(m, hash)
		v.index(m)
		return r, 0
	}
	asserter.That(m.newerThan(r.Member), asserter.MembershipOrder, "older entry of "+m.Name)
	was := r.State
	v.flip(r.Member, r.hash)
	v.flip(m, hash)
	if m.State != was {
		r.since = now
	}
	if r.Addr != m.Addr {
		v.unindex(r.Member)
	}
	r.Member = m
	v.index(m)
	return r, was
}

func (v *view) index(m Member) {
	v.byAddr[m.Addr] = m.Name
	if m.State == StateDead {
		v.dead[m.Name] = struct{}{}
	} else {
		delete(v.dead, m.Name)
	}
}

func (v *view) unindex(m Member) {
	delete(v.dead, m.Name)
	if v.byAddr[m.Addr] == m.Name {
		delete(v.byAddr, m.Addr)
	}
}

// remove forgets name.
func (v *view) remove(name string) {
	if r := v.records[name]; r != nil {
		v.flip(r.Member, r.hash)
		v.unindex(r.Member)
		delete(v.records, name)
	}
}

func newView() view {
	return view{
		records: make(map[string]*record),
		byAddr:  make(map[string]string),
		dead:    make(map[string]struct{}),
	}
}

// hash stands for the whole view.
func (v *view) hash() uint32 {
	var h uint64
	for _, b := range v.buckets {
		h = mix(h ^ uint64(b) + 0x9e3779b97f4a7c15)
	}
	return uint32(h)
}

// names returns the names of the records that keep, sorted, so that the same
// seed gives the same choices.
func (v *view) names(keep func(*record) bool) []string {
	var out []string
	for name, r := range v.records {
		if keep(r) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// differing returns the live members of buckets that differ from theirs, at
// most limit, whole buckets first to last from bucket start.
func (v *view) differing(theirs []uint32, start, limit int) []Member {
	var wanted [Buckets]bool
	for i := range v.buckets {
		wanted[i] = i >= len(theirs) || theirs[i] != v.buckets[i]
	}
	names := v.names(func(r *record) bool { return !r.State.Gone() && wanted[bucketOf(r.hash)] })
	slices.SortStableFunc(names, func(a, b string) int {
		return v.rank(a, start) - v.rank(b, start)
	})
	out := make([]Member, 0, min(limit, len(names)))
	for _, name := range names[:min(limit, len(names))] {
		out = append(out, v.records[name].Member)
	}
	return out
}

// rank orders buckets as they are sent when sending begins at bucket start.
func (v *view) rank(name string, start int) int {
	return (bucketOf(v.records[name].hash) - start + Buckets) % Buckets
}
