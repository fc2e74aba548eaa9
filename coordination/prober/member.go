package prober

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/cataloger"
)

// State is the state of a member in the view of a daemon.
type State uint8

// The states of a member. Within one incarnation a state only moves down this
// list.
const (
	StateAlive   State = iota + 1
	StateSuspect       // Probes failed; the member may still refute.
	StateDead          // The suspicion was not refuted in time.
	StateLeft          // The member announced its shutdown.
)

// String returns the name of s in logs and metrics.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	default:
		return "invalid"
	}
}

// DeadOrLeft reports whether the member is dead or has left.
func (s State) DeadOrLeft() bool { return s >= StateDead }

// Limits of one entry. Entries that exceed them are dropped.
const (
	MaxNameBytes = 64 // Of each of Name, Addr, Domain and Region.
	MaxMetaBytes = 64 // Of Meta.
)

// Member is one daemon in the view of another.
type Member struct {
	Name        string
	Addr        string // IP address and port.
	Domain      string
	Region      string
	Incarnation uint64 // Only the member itself raises it.
	State       State
	Generation  cataloger.Generation // Manifest generation in force when last heard.
	Meta        string               // Data set by the member itself; belongs to the incarnation.
}

// newerThan reports whether m replaces o. The order is total for one name, so
// that all daemons converge to the same entry in whatever order entries arrive.
func (m Member) newerThan(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.State > o.State
}

// valid reports whether m may be stored.
func (m Member) valid() bool {
	return m.Name != "" && m.Addr != "" &&
		len(m.Name) <= MaxNameBytes && len(m.Addr) <= MaxNameBytes &&
		len(m.Domain) <= MaxNameBytes && len(m.Region) <= MaxNameBytes &&
		len(m.Meta) <= MaxMetaBytes &&
		m.State >= StateAlive && m.State <= StateLeft
}

// record is a Member with this daemon's bookkeeping.
type record struct {
	Member
	nameHash   uint64
	stateSince time.Time // When the present state was stored.
	deadline   time.Time // End of the suspicion; for StateSuspect.
}

// digest returns a hash of the name and incarnation, which represents the entry
// in the hashes of the view.
func (m Member) digest() uint32 {
	h := xxhash.Sum64String(m.Name)
	return uint32(mix(h ^ m.Incarnation*0x9e3779b97f4a7c15))
}

// mix spreads the bits of h.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
