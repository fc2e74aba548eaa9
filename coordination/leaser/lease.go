package leaser

import "time"

// Lease is the content of the lease object that the platform stores for each
// failure domain.
type Lease struct {
	Holder   string // Name of the daemon; empty once released.
	Writer   Writer
	Duration time.Duration // Time after the write, without a renewal, at which the lease expires.
}

// Writer identifies one write by one process of a daemon. It is stored with the
// lease as JSON, under these field names, so that a process recognizes its own
// write after a lost response.
type Writer struct {
	Life string // Unique to the process.
	Seq  uint64 // Number of the write within the process.
}

// Term is a period for which a daemon holds the lease without interruption.
type Term struct {
	FencingToken uint64    // Higher than in every earlier term.
	Until        time.Time // Time until which this daemon may act as the holder.
	// SafeFrom is the time from which no order of an earlier holder can still
	// arrive, provided that a holder sends no order that may still be in flight at
	// Until.
	SafeFrom time.Time
}

// Result is the outcome of a platform call.
type Result int

// The results of a platform call.
const (
	ResultOK          Result = iota
	ResultConflict           // The version has changed, or the object exists already.
	ResultNotFound           // The object does not exist.
	ResultUnavailable        // The call is proven to have had no effect.
	ResultUnknown            // No response: the call may have taken effect, or may still do so.
)

// Event is an input to Leaser.Handle.
type Event interface{ event() }

// Tick lets the Leaser do what is due. It must be sent at least every
// TickInterval.
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

// Action is a platform call for the caller of Leaser.Handle to make.
type Action interface{ action() }

// Read reads the lease object. ReadResult answers it.
type Read struct{}

// Create creates the lease object. WriteResult answers it.
type Create struct{ Lease Lease }

// Update replaces the lease object if its version is still Version. WriteResult
// answers it.
type Update struct {
	Version uint64
	Lease   Lease
}

func (Read) action()   {}
func (Create) action() {}
func (Update) action() {}
