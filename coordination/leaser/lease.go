package leaser

import "time"

// Lease is the object that stands in the platform for one failure domain.
type Lease struct {
	Holder   string // Daemon; empty once released.
	Writer   Writer
	Duration time.Duration // Time from the write after which others may take it.
}

// Writer identifies one write of one life of a daemon.
type Writer struct {
	Life string // Unique to the life of the process.
	Seq  uint64
}

// Term is one uninterrupted holding of a lease.
type Term struct {
	Fence uint64    // Fencing number; higher than in every earlier term.
	Until time.Time // End of the time for which this daemon may trust the lease.
	// Quiet is the time from which no order of an earlier holder can still
	// arrive, given that orders fit in the holder's time.
	Quiet time.Time
}

// Result is what became of a platform call.
type Result int

// The results of a platform call.
const (
	ResultOK          Result = iota
	ResultConflict           // The version has moved on, or the name is taken.
	ResultNotFound           // There is no object.
	ResultUnavailable        // The call is proven to have had no effect.
	ResultLost               // No answer: the call may have taken effect, or may still do so.
)

// Event is something that happened.
type Event interface{ event() }

// Tick lets time pass. It must come at least every TickInterval.
type Tick struct{}

// ReadResult answers Read.
type ReadResult struct {
	Result  Result
	Version uint64
	Lease   Lease
}

// WriteResult answers Create and Update. Version is set for ResultOK.
type WriteResult struct {
	Result  Result
	Version uint64
}

func (Tick) event()        {}
func (ReadResult) event()  {}
func (WriteResult) event() {}

// Action is something that the caller of Handle must do.
type Action interface{ action() }

// Read asks for the lease object; answered by ReadResult.
type Read struct{}

// Create asks for a new object; answered by WriteResult.
type Create struct{ Lease Lease }

// Update asks for a replacement of the object if its version is still Version;
// answered by WriteResult.
type Update struct {
	Version uint64
	Lease   Lease
}

func (Read) action()   {}
func (Create) action() {}
func (Update) action() {}
