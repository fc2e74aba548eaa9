package main

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/protocol/publisher"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
)

const (
	// maxAttempts bounds the attempts to publish a change while other operators
	// publish concurrently.
	maxAttempts = 5
	// sweepInterval is the number of generations between removals of the stored
	// parts that the accepted manifest does not use, see publisher.Sweep.
	sweepInterval = 64
	// minSweepAge is the minimum age at which an unused part is removed.
	minSweepAge = 24 * time.Hour
)

// applyCmd publishes a manifest on the platform.
type applyCmd struct {
	File     string        `arg:"" help:"Manifest to apply."`
	Platform string        `required:"" env:"MONSOONSPAR_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	Token    string        `env:"MONSOONSPAR_TOKEN" help:"Bearer token of the operator."`
	From     *uint64       `placeholder:"GENERATION" xor:"base" help:"Generation from which this manifest was derived; it is a conflict if another one is accepted."`
	Base     string        `placeholder:"FILE" xor:"base" help:"Manifest from which this one was derived; changes that others made to other sections are kept."`
	Above    uint64        `placeholder:"GENERATION" help:"Use a generation above this one, after the platform's store was restored from a backup."`
	DryRun   bool          `help:"Show the changes without publishing them."`
	Timeout  time.Duration `default:"30s" help:"Time limit for all calls."`
}

// Help returns the text of apply --help.
func (*applyCmd) Help() string {
	return `Checks the manifest and publishes it, provided that the accepted manifest is still
the one from which it was derived. If two operators apply concurrently, one
succeeds; for the other, apply prints the conflict and exits with 4. Without --from
and --base, the manifest is taken to be derived from the one accepted when apply
starts. With --base, only sections that both have changed, and changes that are
invalid together, are conflicts.

Applying a manifest equal to the accepted one succeeds without any change, so apply
can be repeated after any failure. Exit code 5 means that the platform was not
reachable; the message says whether the manifest may have been accepted.`
}

// parsedManifest is a manifest read from a file.
type parsedManifest struct {
	deployment string
	snapshot   partitioner.Snapshot
}

// Run checks and applies the manifest.
func (cmd *applyCmd) Run(ctx context.Context, c console) error {
	ours, err := readManifest(cmd.File)
	if err != nil {
		return err
	}
	var base *partitioner.Snapshot
	if cmd.Base != "" {
		file, err := readManifest(cmd.Base)
		if err != nil {
			return err
		}
		base = &file.snapshot
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	a := applier{cmd: cmd, out: c, store: newStore(cmd.Platform, ours.deployment, cmd.Token), clock: timekeeper.System{}, writer: rand.Text()}
	return classify(a.apply(ctx, ours.snapshot, base))
}

// newStore returns a client of the platform.
func newStore(addr, deployment, token string) *storer.Client {
	clock := timekeeper.System{}
	rng := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	cfg := storer.Config{Addr: addr, Deployment: deployment, Token: token}
	return storer.New(cfg, dialer.New(dialer.Config{}, clock), clock, rng)
}

// readManifest reads and checks a manifest.
func readManifest(file string) (parsedManifest, error) {
	text, err := readText(file)
	if err != nil {
		return parsedManifest{}, err
	}
	m, err := parser.ParseManifest(file, text)
	if err != nil {
		return parsedManifest{}, err
	}
	sections, err := parser.Sections(file, text)
	if err != nil {
		return parsedManifest{}, err
	}
	s, err := partitioner.Split(sections)
	return parsedManifest{deployment: m.Deployment, snapshot: s}, err
}

// classify wraps platform errors and time-outs in errUnavailable, which determines
// the exit code.
func classify(err error) error {
	for _, kind := range []error{storer.ErrUnavailable, storer.ErrRateLimited, storer.ErrOutcomeUnknown, context.DeadlineExceeded} {
		if errors.Is(err, kind) {
			return errors.Wrap(errUnavailable, "apply: "+err.Error())
		}
	}
	return err
}

// applier applies one manifest.
type applier struct {
	cmd    *applyCmd
	out    console
	store  publisher.SweepStore
	clock  timekeeper.Clock
	writer string // Identifies this run as the writer of a manifest.
}

// apply publishes ours, merged with the accepted manifest if there is a base. It
// retries a merge if another manifest was accepted concurrently.
func (a applier) apply(ctx context.Context, ours partitioner.Snapshot, base *partitioner.Snapshot) error {
	for attempt := 1; ; attempt++ {
		stored, theirs, err := publisher.ReadSnapshot(ctx, a.store)
		if err != nil && !errors.Is(err, publisher.ErrNoManifest) {
			return err
		}
		if ours.Root != theirs.Root && !a.baseMatches(stored.Head.Generation) {
			return conflict(stored, ours, theirs)
		}
		wanted := ours
		if base != nil && !theirs.IsZero() {
			if wanted, err = merge(stored, *base, ours, theirs); err != nil {
				return err
			}
		}
		err = a.publish(ctx, stored, theirs, wanted, fmt.Sprint(a.writer, "-", attempt))
		if !errors.Is(err, publisher.ErrConflict) {
			return err
		}
		if base == nil || attempt == maxAttempts {
			return a.readConflict(ctx, ours)
		}
	}
}

// baseMatches reports whether --from permits the manifest to replace generation g.
func (a applier) baseMatches(g cataloger.Generation) bool {
	return a.cmd.From == nil || cataloger.Generation(*a.cmd.From) == g
}

// publish publishes wanted as the successor of the accepted manifest.
func (a applier) publish(ctx context.Context, stored publisher.StoredHead, theirs, wanted partitioner.Snapshot, writer string) error {
	if wanted.Root == theirs.Root && stored.Head.Generation > cataloger.Generation(a.cmd.Above) {
		fmt.Fprintf(a.out.Stdout, "generation %d has this content already\n", stored.Head.Generation)
		return nil
	}
	changes := diff(theirs, wanted)
	if a.cmd.DryRun {
		fmt.Fprintf(a.out.Stdout, "would change generation %d:\n%s", stored.Head.Generation, changes)
		return nil
	}
	stored.Head.Generation = max(stored.Head.Generation, cataloger.Generation(a.cmd.Above))
	accepted, err := publisher.Publish(ctx, a.store, stored, wanted, writer, a.clock.Now())
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out.Stdout, "generation %d accepted:\n%s", accepted.Head.Generation, changes)
	if accepted.Head.Generation%sweepInterval != 0 {
		return nil
	}
	if _, err := publisher.Sweep(ctx, a.store, a.clock.Now().Add(-minSweepAge)); err != nil {
		fmt.Fprintf(a.out.Stderr, "apply: unused parts were not removed: %v\n", err)
	}
	return nil
}

// merge applies the changes from base to ours to the accepted manifest, theirs.
func merge(stored publisher.StoredHead, base, ours, theirs partitioner.Snapshot) (partitioner.Snapshot, error) {
	merged, conflicts, err := partitioner.Merge(base, ours, theirs)
	if err != nil {
		return merged, err
	}
	if len(conflicts) > 0 {
		return merged, conflictError{text: fmt.Sprintf("generation %d changed the same sections (%s); differences from it to yours:\n%s",
			stored.Head.Generation, strings.Join(conflicts, ", "), diff(theirs, ours))}
	}
	if _, err := parser.ParseManifest("merged", merged.Text()); err != nil {
		return merged, conflictError{text: fmt.Sprintf("the changes of generation %d and yours are invalid together:\n%v",
			stored.Head.Generation, err)}
	}
	return merged, nil
}

// readConflict reads the accepted manifest and returns its conflict with ours.
func (a applier) readConflict(ctx context.Context, ours partitioner.Snapshot) error {
	stored, theirs, err := publisher.ReadSnapshot(ctx, a.store)
	if err != nil {
		return conflictError{text: "another manifest was accepted concurrently and could not be read: " + err.Error()}
	}
	return conflict(stored, ours, theirs)
}

// conflict returns an error that lists the differences from the accepted manifest
// to ours.
func conflict(stored publisher.StoredHead, ours, theirs partitioner.Snapshot) error {
	return conflictError{text: fmt.Sprintf("generation %d was accepted, by writer %s; differences from it to yours:\n%s",
		stored.Head.Generation, stored.Writer(), diff(theirs, ours))}
}

// conflictError describes a conflict with the accepted manifest.
type conflictError struct{ text string }

// Error returns the description of the conflict.
func (e conflictError) Error() string {
	return errConflict.Error() + ": " + strings.TrimSuffix(e.text, "\n")
}

// Unwrap returns errConflict, which determines the exit code.
func (e conflictError) Unwrap() error { return errConflict }
