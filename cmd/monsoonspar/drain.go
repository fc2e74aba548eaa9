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

// errUnknownEndpoint is returned for an endpoint that the manifest does not declare.
var errUnknownEndpoint = errors.New("the accepted manifest declares no such endpoint")

// drainingLine is the key that marks an endpoint as draining in its section of the
// manifest.
const drainingLine = "draining = true\n"

// drainCmd marks an endpoint as draining, so that it gets no new requests.
type drainCmd struct {
	Endpoint   string        `arg:"" help:"Name of the endpoint in the manifest."`
	Platform   string        `required:"" env:"MONSOONSPAR_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	Deployment string        `required:"" env:"MONSOONSPAR_DEPLOYMENT" placeholder:"NAME" help:"Name of the deployment."`
	Token      string        `env:"MONSOONSPAR_TOKEN" help:"Bearer token of the operator."`
	Undo       bool          `help:"Route new requests to the endpoint again."`
	Timeout    time.Duration `default:"30s" help:"Time limit for all calls."`
}

// Help returns the text of drain --help.
func (*drainCmd) Help() string {
	return `Sets "draining = true" for the endpoint in the accepted manifest. Once that is in
force, the endpoint gets no new requests; those in progress are completed. The
change is lost if a manifest without it is applied later, so it should also be made
in the pipeline that generates the manifest.`
}

// Run changes the accepted manifest. It retries if another manifest was accepted
// concurrently.
func (cmd *drainCmd) Run(ctx context.Context, c console) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	store := newStore(cmd.Platform, cmd.Deployment, cmd.Token)
	for attempt := 1; ; attempt++ {
		err := cmd.tryOnce(ctx, c, store, fmt.Sprint(rand.Text(), "-", attempt))
		if !errors.Is(err, publisher.ErrConflict) || attempt == maxAttempts {
			return classify(err)
		}
	}
}

// tryOnce makes one attempt to publish the change.
func (cmd *drainCmd) tryOnce(ctx context.Context, c console, store publisher.Store, writer string) error {
	stored, current, err := publisher.ReadSnapshot(ctx, store)
	if err != nil {
		return err
	}
	wanted, err := cmd.withDraining(current)
	if err != nil {
		return err
	}
	if wanted.Root == current.Root {
		fmt.Fprintf(c.Stdout, "generation %d needs no change\n", stored.Head.Generation)
		return nil
	}
	accepted, err := publisher.Publish(ctx, store, stored, wanted, writer, timekeeper.System{}.Now())
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Stdout, "generation %d accepted\n", accepted.Head.Generation)
	return nil
}

// withDraining returns the manifest with the endpoint's draining key set, or removed
// if cmd.Undo is set.
func (cmd *drainCmd) withDraining(s partitioner.Snapshot) (partitioner.Snapshot, error) {
	var text strings.Builder
	found := false
	for _, sec := range s.Sections() {
		if sec.Title == "endpoint "+cmd.Endpoint {
			found = true
			sec.Text = strings.Replace(sec.Text, drainingLine, "", 1)
			if !cmd.Undo {
				sec.Text += drainingLine
			}
		}
		text.WriteString(sec.Text)
	}
	if !found {
		return partitioner.Snapshot{}, errors.Wrap(errUnknownEndpoint, cmd.Endpoint)
	}
	sections, err := parser.Sections("manifest", []byte(text.String()))
	if err != nil {
		return partitioner.Snapshot{}, err
	}
	return partitioner.Split(sections)
}
