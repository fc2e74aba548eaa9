package sequencer_test

import (
	"fmt"
	"os"
	"testing"

	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/seeder"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func ExampleSequencer() {
	s := sequencer.New("a", 0)
	fmt.Println(s.Offer(sequencer.Token{Attempt: "a", Index: 0}) == sequencer.Deliver)
	fmt.Println(s.Offer(sequencer.Token{Attempt: "a", Index: 0}) == sequencer.Duplicate)
	fmt.Println(s.Offer(sequencer.Token{Attempt: "b", Index: 1}) == sequencer.OtherAttempt)
	fmt.Println(s.Restart("b"))
	// Output:
	// true
	// true
	// true
	// sequencer: tokens of the generation were delivered
}

func TestDeliveryCheckerDetectsViolations(t *testing.T) {
	var violations []asserter.Invariant
	asserter.SetHandler(func(v asserter.ViolationError) { violations = append(violations, v.Invariant) })
	defer asserter.SetHandler(nil)
	var checker sequencer.DeliveryChecker
	checker.Check(sequencer.Token{Attempt: "a", Index: 0})
	checker.Check(sequencer.Token{Attempt: "a", Index: 0})
	checker.Check(sequencer.Token{Attempt: "b", Index: 1})
	assert.DeepEqual(t, violations, []asserter.Invariant{asserter.TokensInOrder, asserter.OneGeneration})
}

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 2000)) }

// TestRandomStreams offers tokens of several attempts delayed, duplicated,
// reordered and with gaps, and checks with a DeliveryChecker what is delivered.
func TestRandomStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "length")
		s := sequencer.New("a0", 0)
		var checker sequencer.DeliveryChecker
		attempts := 1
		for step := range 200 {
			if rapid.IntRange(0, 9).Draw(t, "op") == 0 {
				if s.Restart(sequencer.AttemptID(fmt.Sprint("a", attempts))) == nil {
					attempts++
				}
				continue
			}
			tok := sequencer.Token{
				Attempt: sequencer.AttemptID(fmt.Sprint("a", rapid.IntRange(0, attempts-1).Draw(t, "attempt"))),
				Index:   rapid.IntRange(0, n-1).Draw(t, "index"),
				Text:    fmt.Sprint(step),
			}
			if tok.Index == n-1 {
				tok.Finish = "stop"
			}
			if s.Offer(tok) == sequencer.Deliver {
				checker.Check(tok)
			}
		}
		if s.Finished() && s.Next() != n {
			t.Fatalf("finished after %d of %d tokens", s.Next(), n)
		}
	})
}
