// Package evacuator tracks when engines that are shutting down will end, and decides until when
// their runs may begin to migrate.
//
// The first sign of a shutdown often does not say how much time is left, and later reports of
// the engine do. Until then a minimum notice is assumed. It serves to plan migrations, and not to
// give runs up: a run that stays is lost when its engine ends, and an attempt to migrate it costs little.
package evacuator

import (
	"sync"
	"time"

	"monsoonspar.example/state/registrar"
)

// Limits of the time until an engine ends.
const (
	MinNotice = 1500 * time.Millisecond // From the first sign of a shutdown to its end; the shortest notice that the platform gives.
	// endTolerance is added to the end that a report states. The report may be older than the daemon
	// assumes, and the engine may serve for a little longer.
	endTolerance = time.Second
	maxDuration  = 20 * time.Second // From the first sign, for which runs are tried if no end is stated.
	retention    = time.Minute      // Of the state of an engine after its first sign; longer than an engine serves afterwards.
)

// Shutdown is what is known of the end of one engine.
type Shutdown struct {
	FirstSign time.Time
	End       time.Time // Stated by the engine, or FirstSign plus MinNotice.
	Stated    bool      // The engine has stated its end.
}

// Left returns the time until the end, at least zero.
func (s Shutdown) Left(now time.Time) time.Duration { return max(s.End.Sub(now), 0) }

// MayMigrate reports whether a run that is still on the engine may begin to migrate.
func (s Shutdown) MayMigrate(now time.Time) bool {
	if !s.Stated {
		return now.Before(s.FirstSign.Add(maxDuration))
	}
	return now.Before(s.End.Add(endTolerance))
}

// Shutdowns holds the engines that are shutting down. It is safe for concurrent use. The zero value
// holds none.
type Shutdowns struct {
	mu   sync.Mutex
	byID map[registrar.Identity]Shutdown
}

// Observe records a sign that an engine is shutting down. The notice is the time that the engine says
// is left; zero if the sign does not tell. The latest stated time holds.
func (s *Shutdowns) Observe(id registrar.Identity, notice time.Duration, now time.Time) Shutdown {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[registrar.Identity]Shutdown{}
	}
	d, known := s.byID[id]
	if !known {
		s.forget(now)
		d = Shutdown{FirstSign: now, End: now.Add(MinNotice)}
	}
	if notice > 0 {
		d.End, d.Stated = now.Add(notice), true
	}
	s.byID[id] = d
	return d
}

// Get returns what is known of the end of an engine; false if there was no sign of a shutdown.
func (s *Shutdowns) Get(id registrar.Identity) (Shutdown, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.byID[id]
	return d, ok
}

// forget drops the engines whose first sign is older than the retention. The mutex is held.
func (s *Shutdowns) forget(now time.Time) {
	for id, d := range s.byID {
		if now.Sub(d.FirstSign) > retention {
			delete(s.byID, id)
		}
	}
}
