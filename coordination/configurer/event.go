package configurer

import (
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/partitioner"
)

// Event is an input to Core.Handle.
type Event interface{ event() }

// Tick lets the Core do what is due. It must be sent several times a second.
type Tick struct{}

// Member is a live daemon.
type Member struct {
	Name   string
	Domain string // Failure domain.
}

// MembersChanged holds the daemons that the membership considers live.
type MembersChanged struct{ Members []Member }

// Head identifies the accepted manifest on the platform by its generation and
// the digests of its parts.
type Head struct {
	Generation cataloger.Generation
	Parts      []partitioner.Digest
}

// HeadReceived holds the platform's head. Watch is the ID of the Watch action, or
// zero for an answer to ReadHead.
type HeadReceived struct {
	Watch uint64
	Head  Head
}

// WatchAlive reports that the watch is still connected, without a new head.
type WatchAlive struct{ Watch uint64 }

// WatchFailed reports that the watch has ended.
type WatchFailed struct{ Watch uint64 }

// PartsRead answers ReadParts with the parts that were read.
type PartsRead struct{ Parts []partitioner.Part }

// ReadPartsFailed reports that ReadParts failed or that a part is missing.
type ReadPartsFailed struct{}

// AnnouncementReceived is a peer's announcement.
type AnnouncementReceived struct {
	From         string
	Announcement Announcement
}

// RequestReceived is a peer's request.
type RequestReceived struct {
	From    string
	Request Request
}

// DeliveryReceived is a peer's delivery.
type DeliveryReceived struct {
	From     string
	Delivery Delivery
}

func (Tick) event()                 {}
func (MembersChanged) event()       {}
func (HeadReceived) event()         {}
func (WatchAlive) event()           {}
func (WatchFailed) event()          {}
func (PartsRead) event()            {}
func (ReadPartsFailed) event()      {}
func (AnnouncementReceived) event() {}
func (RequestReceived) event()      {}
func (DeliveryReceived) event()     {}

// Announcement informs a peer of the manifest in force at the sender.
type Announcement struct {
	Generation cataloger.Generation
	Root       partitioner.Digest // Digest of the whole manifest.
	Pull       bool               // Whether the receiver should reply with its own announcement.
}

// Request asks a peer for a newer manifest than that in force at the sender.
type Request struct {
	Generation cataloger.Generation // In force at the sender, or zero.
	Root       partitioner.Digest   // Of the manifest in force at the sender.
	Target     partitioner.Digest   // Root of the manifest that is fetched.
	Want       []partitioner.Digest // Parts to send; empty to ask for a change or the list of all parts.
	ListParts  bool                 // With an empty Want, asks for the list of all parts instead of a change.
}

// Delivery answers a Request with a change, the list of all parts, or some of
// the parts.
type Delivery struct {
	Generation cataloger.Generation
	Root       partitioner.Digest
	Base       partitioner.Digest   // Root of the manifest that Change applies to.
	Change     *partitioner.Change  // Difference between the manifests Base and Root.
	Digests    []partitioner.Digest // All parts of the manifest.
	Parts      []partitioner.Part
}
