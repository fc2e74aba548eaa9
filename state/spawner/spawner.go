// Package spawner starts the goroutines of a daemon. A panic in one of them is
// logged and told, since it may have left state behind that others rely on.
package spawner

import (
	"runtime/debug"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// Spawner is a group of goroutines. Use New to make one.
type Spawner struct {
	log    zerolog.Logger
	prefix string // Of log lines.
	group  conc.WaitGroup
	failed chan struct{}
	once   sync.Once
}

// New returns a Spawner that logs with the prefix.
func New(log zerolog.Logger, prefix string) *Spawner {
	return &Spawner{log: log, prefix: prefix, failed: make(chan struct{})}
}

// Go starts a goroutine.
func (s *Spawner) Go(run func()) {
	s.group.Go(func() {
		defer s.ReportPanic()
		run()
	})
}

// ReportPanic is deferred. It logs a panic, closes the channel of Failed and
// passes the panic on.
func (s *Spawner) ReportPanic() {
	v := recover()
	if v == nil {
		return
	}
	s.log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Msg(s.prefix + ": goroutine failed")
	s.once.Do(func() { close(s.failed) })
	panic(v)
}

// Failed returns a channel that is closed when a goroutine has panicked.
func (s *Spawner) Failed() <-chan struct{} { return s.failed }

// Wait waits for all goroutines, and panics if one has.
func (s *Spawner) Wait() { s.group.Wait() }
