package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/protocol/publisher"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
	"monsoonspar.example/state/timekeeper"
)

// errNoEndpoint is returned for an endpoint that the manifest does not declare.
var errNoEndpoint = errors.New("the accepted manifest declares no such endpoint")

// drainLine marks an endpoint in its section of the manifest.
const drainLine = "draining = true\n"

// drainCmd keeps new work away from an endpoint.
type drainCmd struct {
	Endpoint   string        `arg:"" help:"Name of the endpoint in the manifest."`
	Platform   string        `required:"" env:"MONSOONSPAR_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	Deployment string        `required:"" env:"MONSOONSPAR_DEPLOYMENT" placeholder:"NAME" help:"Name of the deployment."`
	Token      string        `env:"MONSOONSPAR_TOKEN" help:"Bearer token of the operator."`
	Undo       bool          `help:"Let new work come again."`
	Timeout    time.Duration `default:"30s" help:"Longest time for all calls."`
}

// Help returns the text of drain --help.
func (*drainCmd) Help() string {
	return `Sets "draining = true" for the endpoint in the accepted manifest. New work stays
away as soon as that is in force; what runs there goes on to its end. The change
is lost if a manifest without it is applied later, so the pipeline that generates
the manifest should learn of it.`
}

// Run changes the accepted manifest until that succeeds or another error comes.
func (cmd *drainCmd) Run(ctx context.Context, c console) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	st := newStore(cmd.Platform, cmd.Deployment, cmd.Token)
	for attempt := 1; ; attempt++ {
		err := cmd.change(ctx, c, st, fmt.Sprint(rand.Text(), "-", attempt))
		if !errors.Is(err, publisher.ErrConflict) || attempt == mergeAttempts {
			return classify(err)
		}
	}
}

// change makes one attempt.
func (cmd *drainCmd) change(ctx context.Context, c console, st publisher.Store, writer string) error {
	stored, now, err := publisher.ReadSnapshot(ctx, st)
	if err != nil {
		return err
	}
	wanted, err := cmd.marked(now)
	if err != nil {
		return err
	}
	if wanted.Root == now.Root {
		fmt.Fprintf(c.Stdout, "generation %d says so already\n", stored.Head.Generation)
		return nil
	}
	accepted, err := publisher.Publish(ctx, st, stored, wanted, writer, timekeeper.System{}.Now())
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Stdout, "generation %d accepted\n", accepted.Head.Generation)
	return nil
}

// marked returns the manifest with the endpoint's mark set or taken away.
func (cmd *drainCmd) marked(s partitioner.Snapshot) (partitioner.Snapshot, error) {
	var text strings.Builder
	found := false
	for _, sec := range s.Sections() {
		if sec.Title == "endpoint "+cmd.Endpoint {
			found = true
			sec.Text = strings.Replace(sec.Text, drainLine, "", 1)
			if !cmd.Undo {
				sec.Text += drainLine
			}
		}
		text.WriteString(sec.Text)
	}
	if !found {
		return partitioner.Snapshot{}, errors.Wrap(errNoEndpoint, cmd.Endpoint)
	}
	sections, err := parser.Sections("manifest", []byte(text.String()))
	if err != nil {
		return partitioner.Snapshot{}, err
	}
	return partitioner.Split(sections)
}
