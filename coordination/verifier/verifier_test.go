package verifier_test

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/verifier"
)

func ExampleBody_CheckEnd() {
	whole := verifier.Body{Framing: verifier.ByConnection, Stream: true, Events: 3}
	half := verifier.Body{Framing: verifier.ByConnection, Stream: true, Events: 3, Unfinished: true}
	fmt.Println(whole.CheckEnd(verifier.NotStopped))
	fmt.Println(half.CheckEnd(verifier.NotStopped))
	// Output:
	// <nil>
	// the stream ended inside an event: response is incomplete
}

func ExampleBody_Add() {
	b := verifier.Body{Limit: 10}
	fmt.Println(b.Add(10), errors.Is(b.Add(1), verifier.ErrTooLarge))
	// Output: <nil> true
}

func TestCheckEnd(t *testing.T) {
	for _, c := range []struct {
		body  verifier.Body
		stop  verifier.Stop
		whole bool
	}{
		{verifier.Body{Framing: verifier.ByConnection}, verifier.NotStopped, true},
		{verifier.Body{Framing: verifier.ByConnection}, verifier.MaybeStopped, false},
		{verifier.Body{Framing: verifier.ByLength}, verifier.MaybeStopped, true},
		{verifier.Body{Framing: verifier.ByChunks}, verifier.MaybeStopped, true},
		{verifier.Body{Framing: verifier.ByLength, Stream: true}, verifier.NotStopped, true},
		{verifier.Body{Framing: verifier.ByChunks, Stream: true, Events: 1}, verifier.MaybeStopped, true},
		{verifier.Body{Framing: verifier.ByChunks, Stream: true, Events: 1}, verifier.Stopped, false},
		{verifier.Body{Framing: verifier.ByChunks, Stream: true, Events: 1, Unfinished: true}, verifier.NotStopped, false},
		{verifier.Body{Framing: verifier.ByLength, Stream: true, Events: 1, Unfinished: true}, verifier.NotStopped, false},
		{verifier.Body{Framing: verifier.ByConnection, Stream: true, Events: 1}, verifier.NotStopped, true},
		{verifier.Body{Framing: verifier.ByConnection, Stream: true, Events: 1}, verifier.MaybeStopped, false},
		{verifier.Body{Framing: verifier.ByConnection, Stream: true, Events: 1}, verifier.Stopped, false},
		{verifier.Body{Framing: verifier.ByConnection, Stream: true}, verifier.NotStopped, false},
	} {
		err := c.body.CheckEnd(c.stop)
		assert.Equal(t, err == nil, c.whole, "%+v, %v: %v", c.body, c.stop, err)
		assert.Assert(t, c.whole || errors.Is(err, verifier.ErrIncomplete))
	}
}

func TestDeclaredLengthIsLimited(t *testing.T) {
	b := verifier.Body{Limit: 10}
	assert.NilError(t, b.Declare(-1))
	assert.NilError(t, b.Declare(10))
	assert.ErrorIs(t, b.Declare(11), verifier.ErrTooLarge)
}
