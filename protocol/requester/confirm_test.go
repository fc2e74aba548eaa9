package requester_test

import (
	"context"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
)

// connectorFunc is a Connector.
type connectorFunc func(ctx context.Context) error

func (f connectorFunc) Connect(ctx context.Context, _ string) error { return f(ctx) }

func TestConfirmEnd(t *testing.T) {
	silent := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	refused := func(context.Context) error { return errors.Wrap(syscall.ECONNREFUSED, "dial") }
	accepted := func(context.Context) error { return nil }
	for _, c := range []struct {
		name    string
		framing verifier.Framing
		results []func(context.Context) error // Of the calls of Connect.
		whole   bool
	}{
		{"length", verifier.ByLength, nil, true},
		{"chunks", verifier.ByChunks, nil, true},
		{"accepted", verifier.ByConnection, []func(context.Context) error{accepted}, true},
		{"refused", verifier.ByConnection, []func(context.Context) error{refused}, false},
		{"packet lost", verifier.ByConnection, []func(context.Context) error{silent, accepted}, true},
		{"silent", verifier.ByConnection, []func(context.Context) error{silent, silent}, false},
		{"silent, then refused", verifier.ByConnection, []func(context.Context) error{silent, refused}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			connector := connectorFunc(func(ctx context.Context) error {
				calls++
				return c.results[calls-1](ctx)
			})
			err := requester.Response{Framing: c.framing}.ConfirmEnd(t.Context(), connector, "")
			assert.Equal(t, calls, len(c.results))
			assert.Equal(t, err == nil, c.whole, "%v", err)
			assert.Assert(t, c.whole || errors.Is(err, verifier.ErrIncomplete))
		})
	}
}

func TestConfirmEndStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	connector := connectorFunc(func(ctx context.Context) error { cancel(); return ctx.Err() })
	err := requester.Response{Framing: verifier.ByConnection}.ConfirmEnd(ctx, connector, "")
	assert.ErrorIs(t, err, verifier.ErrIncomplete)
}
