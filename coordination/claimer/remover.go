package claimer

import "time"

// RemoverSettings are the intervals and limits of a Remover.
type RemoverSettings struct {
	Retention         time.Duration // Age at which a finished claim is removed.
	PassInterval      time.Duration // Delay between two passes over all claims.
	PageSize          int           // Claims in one page.
	RemovalsPerSecond float64       // Maximum removals per second.
	ListRetryDelay    time.Duration // Delay after a list call that failed.
}

// pendingRetentionFactor is the number of retention periods after which a
// pending claim is removed. It is above one since the holder may still be
// paused.
const pendingRetentionFactor = 2

// ListedClaim is the entry of one claim in a Page.
type ListedClaim struct {
	Name    string
	Version uint64
	State   State
	Age     time.Duration // On the platform's clock.
}

// Page is the response to a ListClaims. OK is false if the list call failed.
type Page struct {
	OK       bool
	Claims   []ListedClaim
	Continue string // Token of the next page; empty on the last page.
}

// ListClaims asks for a page of claims. Continue is empty for the first page.
type ListClaims struct {
	Limit    int
	Continue string
}

// Removal asks for an object to be removed if its version is still Version. Its
// result is not needed: a claim that remains is listed again in the next pass.
type Removal struct {
	Name    string
	Version uint64
}

// Remover removes claims past their retention, at a limited rate. One Remover
// runs for each deployment, on the daemon that holds a lease. It is not safe
// for concurrent use.
type Remover struct {
	settings      RemoverSettings
	removals      []Removal
	continueToken string
	listing       bool      // A ListClaims has no response yet.
	nextListAt    time.Time // No ListClaims before this time.
	budget        float64   // Removals allowed at refilledAt.
	refilledAt    time.Time
}

// NewRemover returns a Remover that starts a pass at its first Tick.
func NewRemover(cfg RemoverSettings) *Remover { return &Remover{settings: cfg} }

// Tick returns the removals that the budget allows at now and, once a page is
// used up, a ListClaims for the next one.
func (r *Remover) Tick(now time.Time) ([]Removal, *ListClaims) {
	r.refill(now)
	allowed := min(int(r.budget), len(r.removals))
	due := r.removals[:allowed:allowed]
	r.removals = r.removals[allowed:]
	r.budget -= float64(allowed)
	if len(r.removals) > 0 || r.listing || now.Before(r.nextListAt) {
		return due, nil
	}
	r.listing = true
	return due, &ListClaims{Limit: r.settings.PageSize, Continue: r.continueToken}
}

// refill adds to the budget, which holds at most the removals of one second, or
// one removal if the rate is lower.
func (r *Remover) refill(now time.Time) {
	if !r.refilledAt.IsZero() {
		r.budget += now.Sub(r.refilledAt).Seconds() * r.settings.RemovalsPerSecond
	}
	r.budget = min(r.budget, max(r.settings.RemovalsPerSecond, 1))
	r.refilledAt = now
}

// HandlePage processes the response to a ListClaims.
func (r *Remover) HandlePage(now time.Time, page Page) {
	r.listing = false
	if !page.OK {
		r.nextListAt = now.Add(r.settings.ListRetryDelay)
		return
	}
	for _, claim := range page.Claims {
		if claim.Age > r.retention(claim.State) {
			r.removals = append(r.removals, Removal{Name: claim.Name, Version: claim.Version})
		}
	}
	r.continueToken = page.Continue
	if page.Continue == "" {
		r.nextListAt = now.Add(r.settings.PassInterval)
	}
}

func (r *Remover) retention(state State) time.Duration {
	if state == StatePending {
		return pendingRetentionFactor * r.settings.Retention
	}
	return r.settings.Retention
}
