package leaser_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonspar.example/coordination/leaser"
)

func Example() {
	now := time.Unix(0, 0)
	l := leaser.New(leaser.DefaultSettings(), "milano-a-1", "milano-a-1/42", rand.New(rand.NewPCG(1, 1)))
	l.SetCandidate(true)

	fmt.Printf("%T\n", l.Handle(now, leaser.Tick{}))
	fmt.Printf("%T\n", l.Handle(now, leaser.ReadResult{Result: leaser.ResultNotFound}))
	l.Handle(now, leaser.WriteResult{Result: leaser.ResultOK, Version: 17})

	term, held := l.Term(now)
	fmt.Println(held, term.FencingToken, term.Until.Sub(now))
	// Output:
	// leaser.Read
	// leaser.Create
	// true 17 19s
}
