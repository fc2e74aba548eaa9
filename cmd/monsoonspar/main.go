// Command monsoonspar runs the daemons that serve language-model generations and
// plain services, and is the command-line tool with which operators manage a
// deployment.
//
// There are two kinds of daemon: serve runs one with the packages of server, whose
// manifest operators publish with apply; forward runs one with package forwarder, on
// the operators' platform, which defines the protocols of the endpoints and of its
// store.
//
// Exit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid settings or
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
	"monsoonspar.example/transport/signaler"
)

// The exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
)

// Errors that have their own exit code.
var (
	errConflict    = errors.New("conflict with another operator")
	errUnavailable = errors.New("platform not reachable")
)

const description = `Serves language-model generations of unknown length on heavily loaded engines.

Exit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid settings or
manifest, 4 conflict with another operator, 5 platform not reachable.`

// cli lists the commands. Each has its own file.
type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run a daemon."`
	Forward forwardCmd `cmd:"" help:"Run a daemon on the users' platform."`
	Explain explainCmd `cmd:"" help:"Show the history of a request from the logs of daemons."`
	Demo    demoCmd    `cmd:"" help:"Run a demonstration deployment on loopback."`
	Status  statusCmd  `cmd:"" help:"Show daemons, endpoints and leases."`
	Apply   applyCmd   `cmd:"" help:"Publish a manifest."`
	Drain   drainCmd   `cmd:"" help:"Stop routing new requests to an endpoint, or resume it."`
	Check   checkCmd   `cmd:"" help:"Check settings and manifests."`
	Version versionCmd `cmd:"" help:"Print the version of this program."`
}

// console holds the output streams of a command.
type console struct {
	Stdout io.Writer
	Stderr io.Writer
}

func main() {
	os.Exit(run(context.Background(), os.Args[1:], console{Stdout: os.Stdout, Stderr: os.Stderr}))
}

// run parses args, runs the selected command and returns the exit code.
func run(ctx context.Context, args []string, c console) int {
	helpPrinted := false
	cliParser, err := kong.New(&cli{},
		kong.Name("monsoonspar"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Writers(c.Stdout, c.Stderr),
		kong.Exit(func(int) { helpPrinted = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(c),
	)
	if err != nil {
		fmt.Fprintln(c.Stderr, "monsoonspar:", err)
		return exitFailed
	}
	command, err := cliParser.Parse(args)
	if helpPrinted {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(c.Stderr, "monsoonspar:", err)
		fmt.Fprintln(c.Stderr, "Run monsoonspar --help for the commands.")
		return exitUsage
	}
	if name := command.Selected().Name; name != "serve" && name != "forward" {
		signaler.Release()
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(c.Stderr, err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode returns the exit code for err.
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
