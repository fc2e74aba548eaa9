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
	// mergeAttempts is the number of times that a merge is tried anew because
	// another operator was faster.
	mergeAttempts = 5
	// sweepEvery is the number of generations after which unused parts are
	// removed.
	sweepEvery = 64
	// sweepAge is the least age of an unused part that is removed.
	sweepAge = 24 * time.Hour
)

// applyCmd hands a manifest to the platform.
type applyCmd struct {
	File     string        `arg:"" help:"Manifest to apply."`
	Platform string        `required:"" env:"MONSOONSPAR_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	Token    string        `env:"MONSOONSPAR_TOKEN" help:"Bearer token of the operator."`
	From     *uint64       `placeholder:"GENERATION" xor:"base" help:"Generation the manifest was made from; another one in force is a conflict."`
	Base     string        `placeholder:"FILE" xor:"base" help:"Manifest that this one was made from; changes of other sections by others are kept."`
	Above    uint64        `placeholder:"GENERATION" help:"Use a generation above this one, after the platform's store was put back."`
	DryRun   bool          `help:"Show what would change and put nothing."`
	Timeout  time.Duration `default:"30s" help:"Longest time for all calls."`
}

// Help returns the text of apply --help.
func (*applyCmd) Help() string {
	return `Checks the manifest and makes it the accepted one, if the accepted one is still
that which it was made from: of two racing operators one wins, the other is shown
the conflict and exits with 4. Without --from and --base that is the one accepted
when apply starts. With --base only a section that both have changed, or changes
that are invalid together, are a conflict.

A manifest equal to the accepted one changes nothing and succeeds, so apply can be
repeated after any failure. Exit code 5 means that the platform was not reachable;
then the message says whether the manifest may have been accepted.`
}

// manifestFile is a manifest read from a file.
type manifestFile struct {
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
	a := applier{cmd: cmd, c: c, st: newStore(cmd.Platform, ours.deployment, cmd.Token), clock: timekeeper.System{}, writer: rand.Text()}
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
func readManifest(file string) (manifestFile, error) {
	text, err := readText(file)
	if err != nil {
		return manifestFile{}, err
	}
	m, err := parser.ParseManifest(file, text)
	if err != nil {
		return manifestFile{}, err
	}
	sections, err := parser.Sections(file, text)
	if err != nil {
		return manifestFile{}, err
	}
	s, err := partitioner.Split(sections)
	return manifestFile{deployment: m.Deployment, snapshot: s}, err
}

// classify gives err the sentinel that decides the exit code.
func classify(err error) error {
	for _, kind := range []error{storer.ErrUnavailable, storer.ErrLimited, storer.ErrUnknown, context.DeadlineExceeded} {
		if errors.Is(err, kind) {
			return errors.Wrap(errUnavailable, "apply: "+err.Error())
		}
	}
	return err
}

// applier applies one manifest.
type applier struct {
	cmd    *applyCmd
	c      console
	st     publisher.Sweepable
	clock  timekeeper.Clock
	writer string
}

// apply puts ours, or with a base its changes, until the platform accepts it or
// there is a conflict.
func (a applier) apply(ctx context.Context, ours partitioner.Snapshot, base *partitioner.Snapshot) error {
	for attempt := 1; ; attempt++ {
		stored, theirs, err := publisher.ReadSnapshot(ctx, a.st)
		if err != nil && !errors.Is(err, publisher.ErrNoManifest) {
			return err
		}
		if ours.Root != theirs.Root && !a.isFrom(stored.Head.Generation) {
			return conflict(stored, ours, theirs)
		}
		wanted := ours
		if base != nil && !theirs.IsZero() {
			if wanted, err = merge(stored, *base, ours, theirs); err != nil {
				return err
			}
		}
		err = a.put(ctx, stored, theirs, wanted, fmt.Sprint(a.writer, "-", attempt))
		if !errors.Is(err, publisher.ErrConflict) {
			return err
		}
		if base == nil || attempt == mergeAttempts {
			return a.showConflict(ctx, ours)
		}
	}
}

// isFrom reports whether the manifest may replace generation g.
func (a applier) isFrom(g cataloger.Generation) bool {
	return a.cmd.From == nil || cataloger.Generation(*a.cmd.From) == g
}

// put makes wanted the successor of the accepted manifest.
func (a applier) put(ctx context.Context, stored publisher.Stored, theirs, wanted partitioner.Snapshot, writer string) error {
	if wanted.Root == theirs.Root && stored.Head.Generation > cataloger.Generation(a.cmd.Above) {
		fmt.Fprintf(a.c.Stdout, "generation %d has this content already\n", stored.Head.Generation)
		return nil
	}
	changes := describe(theirs, wanted)
	if a.cmd.DryRun {
		fmt.Fprintf(a.c.Stdout, "would change generation %d:\n%s", stored.Head.Generation, changes)
		return nil
	}
	stored.Head.Generation = max(stored.Head.Generation, cataloger.Generation(a.cmd.Above))
	accepted, err := publisher.Publish(ctx, a.st, stored, wanted, writer, a.clock.Now())
	if err != nil {
		return err
	}
	fmt.Fprintf(a.c.Stdout, "generation %d accepted:\n%s", accepted.Head.Generation, changes)
	if accepted.Head.Generation%sweepEvery != 0 {
		return nil
	}
	if _, err := publisher.Sweep(ctx, a.st, a.clock.Now().Add(-sweepAge)); err != nil {
		fmt.Fprintf(a.c.Stderr, "apply: unused parts were not removed: %v\n", err)
	}
	return nil
}

// merge returns the accepted manifest with our changes made.
func merge(stored publisher.Stored, base, ours, theirs partitioner.Snapshot) (partitioner.Snapshot, error) {
	merged, clashes, err := partitioner.Merge(base, ours, theirs)
	if err != nil {
		return merged, err
	}
	if len(clashes) > 0 {
		return merged, conflictError{text: fmt.Sprintf("generation %d changed the same sections (%s); from it to yours:\n%s",
			stored.Head.Generation, strings.Join(clashes, ", "), describe(theirs, ours))}
	}
	if _, err := parser.ParseManifest("merged", merged.Text()); err != nil {
		return merged, conflictError{text: fmt.Sprintf("the changes of generation %d and yours are invalid together:\n%v",
			stored.Head.Generation, err)}
	}
	return merged, nil
}

// showConflict reads what was accepted and returns how it differs from ours.
func (a applier) showConflict(ctx context.Context, ours partitioner.Snapshot) error {
	stored, theirs, err := publisher.ReadSnapshot(ctx, a.st)
	if err != nil {
		return conflictError{text: "another manifest was accepted meanwhile; it can't be shown: " + err.Error()}
	}
	return conflict(stored, ours, theirs)
}

// conflict returns an error that shows how the accepted manifest differs from
// ours.
func conflict(stored publisher.Stored, ours, theirs partitioner.Snapshot) error {
	return conflictError{text: fmt.Sprintf("generation %d was accepted, by writer %s; from it to yours:\n%s",
		stored.Head.Generation, stored.Writer(), describe(theirs, ours))}
}

// conflictError shows a conflict.
type conflictError struct{ text string }

// Error returns what the conflict is.
func (e conflictError) Error() string {
	return errConflict.Error() + ": " + strings.TrimSuffix(e.text, "\n")
}

// Unwrap returns the error that decides the exit code.
func (e conflictError) Unwrap() error { return errConflict }
