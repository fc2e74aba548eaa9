// Command monsoonspar serves language-model generations and plain services, and
// is the tool with which operators drive a deployment.
//
// Exit codes: 0 done, 1 failed, 2 wrong command line, 3 invalid settings or
// manifest, 4 conflict with another operator, 5 platform not reachable.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"monsoonspar.example/state/parser"
)

// The exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
)

// Errors that have an exit code of their own.
var (
	errConflict    = errors.New("conflict with another operator")
	errUnavailable = errors.New("platform not reachable")
)

const description = `Serves language-model generations of unknown length on crowded engines.

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 invalid settings or
manifest, 4 conflict with another operator, 5 platform not reachable.`

// cli lists the commands. Each has a file of its own.
type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run one daemon."`
	Forward forwardCmd `cmd:"" help:"Run one daemon on the users' platform."`
	Explain explainCmd `cmd:"" help:"Tell what became of a request, from the logs of daemons."`
	Demo    demoCmd    `cmd:"" help:"Show the main job on loopback."`
	Status  statusCmd  `cmd:"" help:"Show daemons, endpoints and leases."`
	Apply   applyCmd   `cmd:"" help:"Make a manifest the accepted one."`
	Drain   drainCmd   `cmd:"" help:"Keep new work away from an endpoint, or let it come again."`
	Check   checkCmd   `cmd:"" help:"Check settings and manifests."`
	Version versionCmd `cmd:"" help:"Print the version of this program."`
}

// console is where a command writes.
type console struct {
	Stdout io.Writer
	Stderr io.Writer
}

func main() {
	os.Exit(run(context.Background(), os.Args[1:], console{Stdout: os.Stdout, Stderr: os.Stderr}))
}

// run parses args, runs the command they name and returns the exit code.
func run(ctx context.Context, args []string, c console) int {
	exited := false
	parser, err := kong.New(&cli{},
		kong.Name("monsoonspar"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Writers(c.Stdout, c.Stderr),
		kong.Exit(func(int) { exited = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(c),
	)
	if err != nil {
		fmt.Fprintln(c.Stderr, "monsoonspar:", err)
		return exitFailed
	}
	command, err := parser.Parse(args)
	if exited {
		return exitDone // Help was printed.
	}
	if err != nil {
		fmt.Fprintln(c.Stderr, "monsoonspar:", err)
		fmt.Fprintln(c.Stderr, "Run monsoonspar --help for the commands.")
		return exitUsage
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(c.Stderr, err)
		return exitCode(err)
	}
	return exitDone
}

// exitCode returns the exit code that tells the kind of err.
func exitCode(err error) int {
	switch {
	case errors.Is(err, parser.ErrInvalid):
		return exitInvalid
	case errors.Is(err, errConflict):
		return exitConflict
	case errors.Is(err, errUnavailable):
		return exitUnavailable
	}
	return exitFailed
}
