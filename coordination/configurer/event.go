package configurer

import (
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/partitioner"
)

// Event is something that happened to a daemon.
type Event interface{ event() }

// Tick says that time has passed. It comes several times a second.
type Tick struct{}

// Member is a live daemon.
type Member struct {
	Name   string
	Domain string // Failure domain.
}

// MembersChanged gives the daemons that membership holds for live.
type MembersChanged struct{ Members []Member }

// Head is what the platform keeps as the accepted manifest: its generation and
// the digests of its parts.
type Head struct {
	Generation cataloger.Generation
	Parts      []partitioner.Digest
}

// HeadSeen gives the platform's head. Watch is that of the Watch action, or
// zero for an answer to ReadHead.
type HeadSeen struct {
	Watch uint64
	Head  Head
}

// WatchAlive says that the watch showed a sign of life without a new head.
type WatchAlive struct{ Watch uint64 }

// WatchFailed says that the watch has ended.
type WatchFailed struct{ Watch uint64 }

// PartsRead answers ReadParts.
type PartsRead struct{ Parts []partitioner.Part }

// PartsFailed says that ReadParts got no answer, or that a part is missing.
type PartsFailed struct{}

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
func (HeadSeen) event()             {}
func (WatchAlive) event()           {}
func (WatchFailed) event()          {}
func (PartsRead) event()            {}
func (PartsFailed) event()          {}
func (AnnouncementReceived) event() {}
func (RequestReceived) event()      {}
func (DeliveryReceived) event()     {}

// Announcement tells a peer which manifest is in force at the sender.
type Announcement struct {
	Generation cataloger.Generation
	Root       partitioner.Digest
	Asks       bool // Whether the receiver shall answer with its own.
}

// Request asks a peer for a newer manifest than that in force at the sender.
type Request struct {
	Generation cataloger.Generation // In force at the sender, or zero.
	Root       partitioner.Digest
	Target     partitioner.Digest   // Root of the manifest whose parts are wanted.
	Want       []partitioner.Digest // Empty for a change or, with Whole, the list of all parts.
	Whole      bool
}

// Delivery answers a Request with one of a change, a list of all parts, or some
// parts.
type Delivery struct {
	Generation cataloger.Generation
	Root       partitioner.Digest
	Base       partitioner.Digest  // Root that the change applies to.
	Change     *partitioner.Change // Leads from Base to Root.
	Digests    []partitioner.Digest
	Parts      []partitioner.Part
}
