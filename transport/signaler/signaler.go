// Package signaler receives the signals of a daemon, from the initialization of the program to its
// end, so that none of them has its default effect, which would end the process with all requests.
package signaler

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stops are the signals that stop a daemon.
var stops = []os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT}

// hangups is filled from the initialization on: a daemon may get SIGHUP before it has read its settings.
// One value stands for all signals that have not been handled.
var hangups = make(chan os.Signal, 1)

func init() { signal.Notify(hangups, syscall.SIGHUP) }

// Release restores the default effect of SIGHUP, for programs that are not daemons.
func Release() { signal.Stop(hangups) }

// Listen returns a context that ends at the first signal that stops a daemon, and a channel that
// receives each SIGHUP, those that came before too. For the rest of the process these signals have no
// other effect, and writes to a standard output that nobody reads fail without ending the process.
func Listen(ctx context.Context) (context.Context, <-chan os.Signal) {
	signal.Ignore(syscall.SIGPIPE)
	ctx, _ = signal.NotifyContext(ctx, stops...) //nolint:govet // The signals must never have their default effect again.
	return ctx, hangups
}
