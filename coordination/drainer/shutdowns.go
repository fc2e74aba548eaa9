package drainer

import (
	"slices"
	"time"

	"monsoonspar.example/state/asserter"
)

// maxShutdowns bounds the number of endpoints tracked as shutting down.
const maxShutdowns = 4096

// endpointShutdown is the state of one endpoint that is shutting down.
type endpointShutdown struct {
	bootID   string
	deadline time.Time // When the endpoint stops; zero if unknown.
	expired  bool      // Set once Expired has returned the endpoint.
}

// ShutdownTracker records which endpoints are shutting down. From the first
// notice on, an endpoint gets no new work, while its running streams continue
// until its deadline. Only a restart of the endpoint, seen as a new boot id,
// clears the state. A ShutdownTracker is not safe for concurrent use.
type ShutdownTracker struct {
	shutdowns    map[string]endpointShutdown
	currentBoot  map[string]string // Latest boot id of each endpoint.
	previousBoot map[string]string // Boot id before the latest one.

	disabled disabledTrackerRules
}

// disabledTrackerRules selects rules that tests disable to show that each one
// is needed.
type disabledTrackerRules struct {
	irreversible       bool // Ignore a report of the same boot that no longer says "shutting down".
	ignorePreviousBoot bool // Ignore updates about the previous boot.
}

// NewShutdownTracker returns a ShutdownTracker without endpoints.
func NewShutdownTracker() *ShutdownTracker {
	return &ShutdownTracker{
		shutdowns:    make(map[string]endpointShutdown),
		currentBoot:  make(map[string]string),
		previousBoot: make(map[string]string),
	}
}

// MarkShuttingDown records that endpoint is shutting down, as learned from the
// VM list, a load report, a refused request, an operator or another daemon. An
// empty bootID stands for the current boot. The endpoint stops after notice;
// zero means that the time is unknown. MarkShuttingDown reports whether this is
// the first notice of the shutdown.
func (t *ShutdownTracker) MarkShuttingDown(now time.Time, endpoint, bootID string, notice time.Duration) bool {
	if bootID != "" && bootID == t.previousBoot[endpoint] && !t.disabled.ignorePreviousBoot {
		return false
	}
	if bootID == "" {
		bootID = t.currentBoot[endpoint]
	}
	var deadline time.Time
	if notice > 0 {
		deadline = now.Add(notice)
	}
	old, known := t.shutdowns[endpoint]
	if known {
		t.shutdowns[endpoint] = old.withEarlierDeadline(deadline)
		return false
	}
	if len(t.shutdowns) >= maxShutdowns {
		return false
	}
	t.shutdowns[endpoint] = endpointShutdown{bootID: bootID, deadline: deadline}
	return true
}

// withEarlierDeadline returns s with the earlier of its deadline and the given
// one.
func (s endpointShutdown) withEarlierDeadline(deadline time.Time) endpointShutdown {
	if s.deadline.IsZero() || (!deadline.IsZero() && deadline.Before(s.deadline)) {
		s.deadline = deadline
	}
	return s
}

// Observe processes a load report of endpoint that does not announce a
// shutdown. Only a report with a new boot id clears the shutdown state.
func (t *ShutdownTracker) Observe(endpoint, bootID string) {
	if bootID == t.previousBoot[endpoint] {
		return
	}
	if last := t.currentBoot[endpoint]; last != bootID {
		t.previousBoot[endpoint] = last
		t.currentBoot[endpoint] = bootID
	}
	if shutdown, ok := t.shutdowns[endpoint]; ok && (shutdown.bootID != bootID || t.disabled.irreversible) {
		delete(t.shutdowns, endpoint)
	}
}

// Forget removes the state of an endpoint that is no longer in the manifest.
func (t *ShutdownTracker) Forget(endpoint string) {
	delete(t.shutdowns, endpoint)
	delete(t.currentBoot, endpoint)
	delete(t.previousBoot, endpoint)
}

// AcceptsNewWork reports whether endpoint may get new work.
func (t *ShutdownTracker) AcceptsNewWork(endpoint string) bool {
	_, shuttingDown := t.shutdowns[endpoint]
	return !shuttingDown
}

// AssertAcceptsNewWork checks the invariant that no work starts on an endpoint
// that is shutting down. It must be called for each new piece of work.
func (t *ShutdownTracker) AssertAcceptsNewWork(endpoint string) {
	asserter.That(t.AcceptsNewWork(endpoint), asserter.NoWorkDuringShutdown, "new work started on endpoint "+endpoint)
}

// Expired returns the endpoints whose deadline has passed at now, sorted by
// name and each of them only once. Work that was still running on them has
// ended, so callers don't have to wait for its timeouts.
func (t *ShutdownTracker) Expired(now time.Time) []string {
	var out []string
	for name, shutdown := range t.shutdowns {
		if !shutdown.expired && !shutdown.deadline.IsZero() && !now.Before(shutdown.deadline) {
			shutdown.expired = true
			t.shutdowns[name] = shutdown
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
