package asserter_test

import (
	"fmt"
	"testing"

	"monsoonspar.example/state/asserter"

	"gotest.tools/v3/assert"
)

func ExampleThat() {
	asserter.SetHandler(func(v asserter.ViolationError) { fmt.Println(v) })
	defer asserter.SetHandler(nil)
	asserter.That(1 < 2, asserter.TokensInOrder, "never reported")
	asserter.That(2 < 1, asserter.TokensInOrder, "index 1 after 2")
	// Output: tokens_in_order: index 1 after 2
}

func TestThatPanicsWithoutHandler(t *testing.T) {
	defer func() {
		err, ok := recover().(error)
		assert.Assert(t, ok)
		assert.ErrorIs(t, err, asserter.ErrViolated)
	}()
	asserter.That(false, asserter.AtMostOnce, "ran twice")
}
