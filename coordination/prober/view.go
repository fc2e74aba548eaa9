package prober

import (
	"slices"
	"time"

	"monsoonspar.example/state/asserter"
)

// NumBuckets is the number of buckets in which two views are compared.
const NumBuckets = 32

// MaxMembers limits the number of members that are kept.
const MaxMembers = 4096

// view holds a daemon's entries for all members except itself.
type view struct {
	records map[string]*record
	byAddr  map[string]string   // Name last seen at each address.
	dead    map[string]struct{} // Names of dead members.
	buckets [NumBuckets]uint32  // XOR of the digests of live members, this daemon included.
}

func bucketOf(hash uint64) int { return int(mix(hash) % NumBuckets) }

// toggleDigest adds the digest of m to its bucket, or removes it if it is
// there. Members that are dead or left have none.
func (v *view) toggleDigest(m Member, hash uint64) {
	if !m.State.DeadOrLeft() {
		v.buckets[bucketOf(hash)] ^= m.digest()
	}
}

// put stores m as the entry of its name and returns the record and its previous
// state, which is zero for a new record.
func (v *view) put(now time.Time, m Member, hash uint64) (*record, State) {
	r := v.records[m.Name]
	if r == nil {
		r = &record{Member: m, nameHash: hash, stateSince: now}
		v.records[m.Name] = r
		v.toggleDigest(m, hash)
		v.index(m)
		return r, 0
	}
	asserter.That(m.newerThan(r.Member), asserter.MembershipOrder, "entry is not newer than the one it replaces: "+m.Name)
	was := r.State
	v.toggleDigest(r.Member, r.nameHash)
	v.toggleDigest(m, hash)
	if m.State != was {
		r.stateSince = now
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

// remove deletes the record of name.
func (v *view) remove(name string) {
	if r := v.records[name]; r != nil {
		v.toggleDigest(r.Member, r.nameHash)
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

// hash returns a hash of the whole view.
func (v *view) hash() uint32 {
	var h uint64
	for _, b := range v.buckets {
		h = mix(h ^ uint64(b) + 0x9e3779b97f4a7c15)
	}
	return uint32(h)
}

// selectNames returns the names of the records that match, sorted, so that runs
// with the same seed make the same choices.
func (v *view) selectNames(match func(*record) bool) []string {
	var out []string
	for name, r := range v.records {
		if match(r) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// differingMembers returns the live members of the buckets that differ from
// remote, at most limit, in the order of the buckets from bucket start on.
func (v *view) differingMembers(remote []uint32, start, limit int) []Member {
	var wanted [NumBuckets]bool
	for i := range v.buckets {
		wanted[i] = i >= len(remote) || remote[i] != v.buckets[i]
	}
	names := v.selectNames(func(r *record) bool { return !r.State.DeadOrLeft() && wanted[bucketOf(r.nameHash)] })
	slices.SortStableFunc(names, func(a, b string) int {
		return v.bucketDistance(a, start) - v.bucketDistance(b, start)
	})
	out := make([]Member, 0, min(limit, len(names)))
	for _, name := range names[:min(limit, len(names))] {
		out = append(out, v.records[name].Member)
	}
	return out
}

// bucketDistance returns the distance of name's bucket from bucket start, where
// the first bucket follows the last.
func (v *view) bucketDistance(name string, start int) int {
	return (bucketOf(v.records[name].nameHash) - start + NumBuckets) % NumBuckets
}
