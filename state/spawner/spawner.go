// Package spawner starts the goroutines of a daemon. A panic in one of them is
// logged and closes a channel, so that the daemon can shut down: the panic may
// have left shared state inconsistent.
package spawner

import (
	"runtime/debug"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// Spawner is a group of goroutines. Use New to make one.
type Spawner struct {
	log      zerolog.Logger
	prefix   string // Prefix of log messages.
	group    conc.WaitGroup
	panicked chan struct{}
	once     sync.Once
}

// New returns a Spawner whose log messages start with prefix.
func New(log zerolog.Logger, prefix string) *Spawner {
	return &Spawner{log: log, prefix: prefix, panicked: make(chan struct{})}
}

// Go calls run in a new goroutine.
func (s *Spawner) Go(run func()) {
	s.group.Go(func() {
		defer s.ReportPanic()
		run()
	})
}

// ReportPanic must be deferred. It recovers a panic, logs it with its stack,
// closes the channel of Failed and panics again with the same value.
func (s *Spawner) ReportPanic() {
	value := recover()
	if value == nil {
		return
	}
	s.log.Error().Interface("panic", value).Bytes("stack", debug.Stack()).Msg(s.prefix + ": goroutine panicked")
	s.once.Do(func() { close(s.panicked) })
	panic(value)
}

// Failed returns a channel that is closed when a goroutine has panicked.
func (s *Spawner) Failed() <-chan struct{} { return s.panicked }

// Wait waits for all goroutines to finish. It panics if one of them panicked.
func (s *Spawner) Wait() { s.group.Wait() }
