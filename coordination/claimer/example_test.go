package claimer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonspar.example/coordination/claimer"
)

func Example() {
	now := time.Unix(0, 0)
	c := claimer.New(claimer.DefaultSettings(), claimer.Request{
		Customer: "gazzetta",
		Key:      "correction-17",
		Writer:   "milano-a-1/1",
		Target:   claimer.Target{Endpoint: "registro-app-1", AttemptID: "a-1"},
		Deadline: now.Add(10 * time.Second),
	}, rand.New(rand.NewPCG(1, 1)))
	show := func(acts []claimer.Action) {
		for _, act := range acts {
			fmt.Printf("%T\n", act)
		}
	}
	show(c.Handle(now, claimer.Begin{}))
	show(c.Handle(now, claimer.CreateResult{Result: claimer.ResultOK, Version: 4}))
	show(c.Handle(now, claimer.SendResult{Outcome: claimer.OutcomeRan}))
	show(c.Handle(now, claimer.UpdateResult{Result: claimer.ResultOK, Version: 5}))
	// Output:
	// claimer.Create
	// claimer.Send
	// claimer.Answer
	// claimer.Update
	// claimer.Done
}
