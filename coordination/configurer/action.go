package configurer

import (
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/partitioner"
)

// Action is an output of Core.Handle for the daemon to carry out.
type Action interface{ action() }

// Watch starts a watch of the head. Its first event is the current head. A watch
// that fails ends with WatchFailed.
type Watch struct{ ID uint64 }

// StopWatch ends a watch. Later events of the watch are ignored.
type StopWatch struct{ ID uint64 }

// ReadHead reads the head. HeadReceived answers it; a failed read is not reported.
type ReadHead struct{}

// ReadParts reads parts from the platform. PartsRead or ReadPartsFailed answers it.
type ReadParts struct{ Digests []partitioner.Digest }

// SendAnnouncement sends an announcement to a peer. It may be lost.
type SendAnnouncement struct {
	To           string
	Announcement Announcement
}

// SendRequest sends a request to a peer. It may be lost.
type SendRequest struct {
	To      string
	Request Request
}

// SendDelivery sends a delivery to a peer. It may be lost.
type SendDelivery struct {
	To       string
	Delivery Delivery
}

// Install puts a manifest in force.
type Install struct {
	Manifest *cataloger.Manifest
	Snapshot partitioner.Snapshot
}

// Reject reports a manifest that is not installed, and why.
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
