package configurer

import (
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/partitioner"
)

// Action is something for the daemon to do.
type Action interface{ action() }

// Watch starts a watch of the head. Its first event is the present head; a
// watch ends with WatchFailed.
type Watch struct{ ID uint64 }

// StopWatch ends a watch. No event of it is needed afterwards.
type StopWatch struct{ ID uint64 }

// ReadHead reads the head. HeadSeen answers it; a failure needs no event.
type ReadHead struct{}

// ReadParts reads parts of the platform. PartsRead or PartsFailed answers it.
type ReadParts struct{ Digests []partitioner.Digest }

// SendAnnouncement sends to a peer. It may be lost.
type SendAnnouncement struct {
	To           string
	Announcement Announcement
}

// SendRequest sends to a peer. It may be lost.
type SendRequest struct {
	To      string
	Request Request
}

// SendDelivery sends to a peer. It may be lost.
type SendDelivery struct {
	To       string
	Delivery Delivery
}

// Install puts a manifest in force.
type Install struct {
	Manifest *cataloger.Manifest
	Snapshot partitioner.Snapshot
}

// Reject reports a manifest that stays out of force.
type Reject struct {
	Generation cataloger.Generation
	Root       partitioner.Digest
	Err        error
}

func (Watch) action()            {}
func (StopWatch) action()        {}
func (ReadHead) action()         {}
func (ReadParts) action()        {}
func (SendAnnouncement) action() {}
func (SendRequest) action()      {}
func (SendDelivery) action()     {}
func (Install) action()          {}
func (Reject) action()           {}
