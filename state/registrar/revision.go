package registrar

import "time"

// numberBits is the number of bits of a revision that hold its number within its era.
const numberBits = 40

// NewRevision returns a revision that orders by the era and then by the number that the
// source gave out in it.
func NewRevision(era, number int64) int64 { return era<<numberBits | number }

// Era returns the era of a revision.
func Era(revision int64) int64 { return revision >> numberBits }

// Number returns the number of a revision within its era.
func Number(revision int64) int64 { return revision & (1<<numberBits - 1) }

// holdTime is longer than the source keeps the entry of an endpoint that does not
// write, so that an entry that is still present after it belongs to a live one.
const holdTime = 10 * time.Second

// heldEntry is an entry that is not used yet.
type heldEntry struct {
	endpoint Endpoint
	since    time.Time
}

// mayHaveLeft reports whether an entry in the first list of an era may be that of an
// endpoint that had left in the era before, or of an earlier run of one: its removal or
// the later entry may have been lost. The mutex must be held.
func (g *Registrar) mayHaveLeft(e Endpoint) bool {
	if r := g.records[e.Name]; r != nil {
		return e.Started < r.endpoint.Started
	}
	last, removed := g.removed[e.Name]
	return removed && last.identity == e.Identity && Era(last.revision) < Era(e.Revision)
}
