package prober_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonspar.example/coordination/prober"
)

func Example() {
	now := time.Unix(0, 0)
	daemon := func(name, addr string) *prober.Prober {
		self := prober.Member{Name: name, Addr: addr, Domain: "milano-a", Region: "padania", Incarnation: 1}
		return prober.New(prober.DefaultSettings(), self, rand.New(rand.NewPCG(1, 1)))
	}
	a := daemon("milano-a-1", "127.0.0.1:7000")
	b := daemon("milano-a-2", "127.0.0.2:7000")
	a.SetSeeds([]string{"127.0.0.2:7000"})

	for range 20 {
		now = now.Add(prober.TickInterval)
		for _, act := range a.Tick(now) {
			send := act.(prober.Send)
			for _, answer := range b.Receive(now, send.Message) {
				if s, ok := answer.(prober.Send); ok {
					a.Receive(now, s.Message)
				}
			}
		}
	}
	for _, m := range a.Members() {
		fmt.Println(m.Name, m.State)
	}
	// Output:
	// milano-a-1 alive
	// milano-a-2 alive
}
