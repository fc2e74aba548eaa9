// Package placer decides which engine runs a generation, and when.
//
// An engine streams its answer as events of Config.TokensPerEvent output tokens
// each. The first event, which follows the prefill of the prompt, is due at a time
// that the job sets.
//
// Engines report their load late, and several daemons place generations on the
// same engines. A Placer therefore adds to each report what has been placed
// since, extrapolates the growth of the reported sequences, and forecasts the
// memory that all of them will hold. A generation is placed on the engine with
// the lowest cost, among those with enough free memory in the forecast and a
// prefill backlog short enough for the first event to be on time. Otherwise it
// is queued. It is refused when it can't be served before its deadline, or when it
// is late and probably won't be placed before its client leaves (refusal.go).
//
// Placers exchange updates about placements, first events, ends, migrations and
// queued jobs. All of them sort the queued jobs of all daemons in the same order
// (key.go), decide the placement of each, and apply the decisions to their own jobs
// (order.go). Of placements that were made concurrently and don't fit together,
// all daemons keep the same ones (confirm.go). Runs on an engine that is shutting
// down get migration targets (migration.go) and turns on its link (engine.go).
package placer

import (
	"time"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/estimator"
	"monsoonspar.example/state/registrar"
)

// Job is a generation to be placed.
type Job struct {
	ID              string
	Class           estimator.Class
	PromptTokens    int
	MaxTokens       int       // Limit on output tokens; zero means none.
	EstimatedTokens int       // The client's estimate of the output tokens; zero means none.
	OutputTokens    int       // Output tokens so far, of a job that migrates or is resumed.
	Priority        int       // 0 is the most urgent.
	FirstEventDue   time.Time // When the first event is due.
	FirstEventLimit time.Time // When the client leaves if it has received no event; zero if unknown.
	Deadline        time.Time // When the answer becomes useless.
	AllowedRegions  []string  // As returned by matcher.AllowedRegions; other engines must not get the job or a copy of its memory.
	AllowBackup     bool      // The engine may replicate the memory to a backup engine.
}

// tokensToRead returns the number of tokens that an engine reads before it produces the first
// event of the job. A job that is resumed without a copy of its memory is read with its output so far.
func (j *Job) tokensToRead() float64 { return float64(j.PromptTokens + j.OutputTokens) }

// Placement is the engine chosen for a job.
type Placement struct {
	Engine       registrar.Endpoint
	Backup       registrar.Endpoint // Zero if there is none.
	ForecastPeak float64            // Forecast peak of memory, as a fraction of the engine's memory.
	ReportAge    time.Duration      // Age of the engine's report at the decision; negative if there was none.
}

// Sequence is one generation in an engine's report.
type Sequence struct {
	ID     string
	Tokens int // Tokens in memory.
	Events int // Events produced so far.
}

// Report is an engine's report of its load. The figures are older than the
// report by Config.ReportLag.
type Report struct {
	Running      int
	Queued       int
	MemoryUsed   int // Tokens that can't be freed, copies included.
	MemoryTotal  int
	ShuttingDown bool          `msgpack:"Leaving"`
	ShutdownIn   time.Duration `msgpack:"LeavesIn"` // Time until the engine shuts down; zero if unknown.
	Sequences    []Sequence
}

// Outcome is the decision about a queued job.
type Outcome struct {
	Job        Job
	Placement  Placement
	Refused    bool          // The job can't, or probably won't, be served in time.
	RetryAfter time.Duration // With Refused, the time after which the client should retry.
	Waited     time.Duration
	Queue      QueueState // As of the last decision that left the job in the queue.
}

// QueueState says why a job stayed in the queue at a decision.
type QueueState struct {
	JobsAhead int  // Queued jobs of all daemons that precede the job.
	LateAhead int  // Those of them that are late.
	Late      bool // The first event could not be on time even if the job were placed now.
	// Engines that accept jobs, by the reason for which they did not get this one.
	EnginesFull int // Not enough free memory, or no free slot.
	EnginesBusy int // Enough memory, but so many prompts to process before that the first event would come too late.
}

// queuedJob is a job that waits for an engine, at this daemon or at a peer.
type queuedJob struct {
	job         Job
	enqueuedAt  time.Time
	excluded    map[registrar.Identity]bool // Engines that must not get the job.
	domain      string                      // Failure domain of the daemon that queues it.
	publishedAt time.Time                   // When its update was last sent to the peers or received from one.
	remote      bool                        // Queued at a peer.
	state       QueueState
	key         queueKey
	short       bool // Expected to end soon after its prefill.
	version     version
}

// run is a job on an engine, placed by this daemon or by a peer.
type run struct {
	job          Job
	remote       bool
	backup       registrar.Identity // Engine that keeps a copy of the memory; zero if there is none.
	addedAt      time.Time
	firstEventAt time.Time // Zero before the first event.
	prefillAhead float64   // Prompt tokens that the engine reads before the first event, those of the job included.
	moments      forecaster.Moments
	short        bool // Expected to end soon after its prefill.
	version      version
}

// Update is an update that a daemon sends to its peers about one of its own jobs.
//
// The compact form of updates between daemons depends on the order of the fields, and those that are
// not zero in frequent updates come first. New fields go to the end.
type Update struct {
	JobID string
	Event Event
	// Number rises with each update of the daemon's placer; zero if its version does not number them.
	Number         int                `msgpack:",omitempty"`
	FinalTokens    int                `msgpack:"Tokens"` // For Ended: the number of output tokens of a complete answer; else zero.
	Engine         registrar.Identity // For Placed and Migrating.
	Backup         registrar.Identity // For Placed; zero if there is none.
	PromptTokens   int                `msgpack:"Prompt"`
	MaxTokens      int                `msgpack:"Limit"` // Limit on output tokens; zero means none.
	Priority       int                `msgpack:"Rank"`
	Model          string
	Domain         string        // For Queued: the failure domain of the daemon.
	FirstEventIn   time.Duration `msgpack:"FirstIn"`            // For Queued: time until the first event is due.
	ClientLeavesIn time.Duration `msgpack:"LeavesIn,omitempty"` // For Queued: time until the client leaves without an event; zero if unknown.
	Running        bool          // For Placed: the job has had its first event.
	// AllowedRegions is that of the Job, for Queued. Peers of an earlier version do not know it.
	AllowedRegions []string `msgpack:"Regions,omitempty"`
	// OutputTokens is the number of output tokens so far of a job that migrates or is resumed.
	OutputTokens int `msgpack:"Produced"`
	// Owner is the daemon whose job it is. It is not sent, but set by the receiver; empty if it is not known.
	Owner string `msgpack:"-"`
}

// Event is a change of a job's state.
type Event uint8

// Events of jobs.
const (
	Placed    Event = iota + 1 // The job was placed on an engine.
	Started                    // The first event of the job was received.
	Ended                      // The job is neither queued nor on an engine.
	Queued                     // The job waits for free memory.
	Migrating                  // The job is migrating to an engine; a zero engine means that the migration failed.
)
