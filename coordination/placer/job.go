// Package placer decides which engine runs a generation, and when.
//
// Engines report their load late, and several daemons place generations on the
// same engines. A Placer therefore adds to each report what its own daemon has
// sent since, lets the reported sequences grow by the time that has passed, and
// forecasts the memory that all of them will hold. A generation goes to the
// engine where it costs least among those where the forecast leaves room and the
// unread prompts leave time; otherwise it waits, or is refused if it could not be
// served in time.
//
// Placers tell each other news: what they placed, what began, ended or moves,
// and what waits. All order what waits alike, decide for all, and carry out the
// decisions on their own jobs (order.go). Placements that crossed on the way
// yield in an order that all know (confirm.go). Runs that must leave their
// engine get destinations (destination.go) and turns on its link (engine.go).
package placer

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/estimator"
	"monsoonspar.example/state/registrar"
)

// Job is a generation to be placed.
type Job struct {
	ID        string
	Class     estimator.Class
	Prompt    int       // Prompt tokens.
	MaxTokens int       // Bound on output tokens; zero means none.
	Hint      int       // The client's estimate of the output tokens; zero means none.
	Produced  int       // Output tokens so far, of a job that moves.
	Rank      int       // 0 is the most urgent.
	FirstBy   time.Time // When the first event should be there.
	Deadline  time.Time // When the answer is worth nothing any more.
	Backups   bool      // The engine may copy the memory to another one.
}

// Placement is where a job runs.
type Placement struct {
	Engine registrar.Endpoint
	Backup registrar.Endpoint // Zero without one.
	Peak   float64            // Forecast peak of memory, as a part of all of it.
	Age    time.Duration      // Age of the report that decided; negative without one.
}

// Sequence is one generation in an engine's report.
type Sequence struct {
	ID     string
	Tokens int // In memory.
	Events int // Produced so far.
}

// Report is what an engine tells of its load. The figures are older than the
// report by the engine's lag.
type Report struct {
	Running     int
	Queued      int
	MemoryUsed  int // Tokens that cannot yield, copies included.
	MemoryTotal int
	Leaving     bool
	LeavesIn    time.Duration // Zero if not known.
	Sequences   []Sequence
}

// Outcome is what the Placer decided about a waiting job.
type Outcome struct {
	Job       Job
	Placement Placement
	Refused   bool          // The job can't be served in time.
	ComeBack  time.Duration // With Refused, when room is expected.
	Waited    time.Duration
}

// waiting is a job in the queue.
type waiting struct {
	job     Job
	since   time.Time
	exclude map[registrar.Identity]bool
	domain  string    // Failure domain of the daemon where it waits.
	told    time.Time // When the peers were last told, or told this daemon.
	remote  bool      // It waits at a peer.
}

// running is a job on an engine, placed by this daemon or by a peer.
type running struct {
	job     Job
	remote  bool
	backup  registrar.Identity // Keeps a copy of the memory; zero without one.
	since   time.Time
	started time.Time // First event; zero before it.
	moments forecaster.Moments
}

// News is what a daemon tells its peers about a job of its own.
type News struct {
	JobID   string
	Event   Event
	Engine  registrar.Identity // For Placed.
	Backup  registrar.Identity // For Placed; zero without one.
	Prompt  int
	Limit   int // Bound on output tokens; zero means none.
	Rank    int
	Model   string
	Domain  string        // For Queued: the failure domain of the daemon.
	FirstIn time.Duration // For Queued: when the first event should be there, from now.
	Running bool          // For Placed: the job already produces output.
	// Produced is the output so far of a job that moves, in tokens.
	Produced int
	Tokens   int // For Ended: the output, if it is complete; else zero.
}

// Event is what happened to a job.
type Event uint8

// The events.
const (
	Placed   Event = iota + 1 // It was sent to an engine.
	Started                   // Its first event came.
	Ended                     // It runs nowhere any more.
	Queued                    // It waits for room.
	Arriving                  // Its memory is being copied to an engine; to none any more if that is zero.
)
