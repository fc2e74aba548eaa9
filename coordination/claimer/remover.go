package claimer

import "time"

// RemoverSettings bound the removal of old claims.
type RemoverSettings struct {
	Retention  time.Duration // Age at which a finished claim is removed.
	Pause      time.Duration // Time between two passes over all claims.
	Batch      int           // Claims listed at once.
	PerSecond  float64       // Write budget, in removals a second.
	RetryAfter time.Duration // Pause after the platform did not answer.
}

// Removers remove a pending claim after this many retention periods, since its
// holder may still be paused.
const pendingRetentions = 2

// Listed is one claim in a page of claims.
type Listed struct {
	Name    string
	Version uint64
	State   State
	Age     time.Duration // On the platform's clock.
}

// Page is the answer to a List. A page without an answer has OK clear.
type Page struct {
	OK       bool
	Claims   []Listed
	Continue string // Empty on the last page.
}

// List asks for a page of claims.
type List struct {
	Limit    int
	Continue string
}

// Remove asks for the removal of an object if its version is still Version. Its
// result does not matter: what is left is listed again on the next pass.
type Remove struct {
	Name    string
	Version uint64
}

// Remover removes claims past their retention, within a write budget. One
// runs for each deployment, at the holder of a lease. It is not safe for
// concurrent use.
type Remover struct {
	cfg      RemoverSettings
	queue    []Remove
	next     string
	listing  bool
	notUntil time.Time // No list before this time.
	budget   float64
	filled   time.Time
}

// NewRemover returns a Remover that starts a pass at its first Tick.
func NewRemover(cfg RemoverSettings) *Remover { return &Remover{cfg: cfg} }

// Tick returns the removals that the budget allows at now and, once a page is
// used up, a List of the next one.
func (r *Remover) Tick(now time.Time) ([]Remove, *List) {
	r.refill(now)
	n := min(int(r.budget), len(r.queue))
	due := r.queue[:n:n]
	r.queue = r.queue[n:]
	r.budget -= float64(n)
	if len(r.queue) > 0 || r.listing || now.Before(r.notUntil) {
		return due, nil
	}
	r.listing = true
	return due, &List{Limit: r.cfg.Batch, Continue: r.next}
}

// refill adds to the budget, of which at most one second is kept.
func (r *Remover) refill(now time.Time) {
	if !r.filled.IsZero() {
		r.budget += now.Sub(r.filled).Seconds() * r.cfg.PerSecond
	}
	r.budget = min(r.budget, max(r.cfg.PerSecond, 1))
	r.filled = now
}

// Take takes in the answer to a List.
func (r *Remover) Take(now time.Time, p Page) {
	r.listing = false
	if !p.OK {
		r.notUntil = now.Add(r.cfg.RetryAfter)
		return
	}
	for _, l := range p.Claims {
		if l.Age > r.retention(l.State) {
			r.queue = append(r.queue, Remove{Name: l.Name, Version: l.Version})
		}
	}
	r.next = p.Continue
	if p.Continue == "" {
		r.notUntil = now.Add(r.cfg.Pause)
	}
}

func (r *Remover) retention(s State) time.Duration {
	if s == StatePending {
		return pendingRetentions * r.cfg.Retention
	}
	return r.cfg.Retention
}
