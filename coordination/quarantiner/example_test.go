package quarantiner_test

import (
	"fmt"
	"time"

	"monsoonspar.example/coordination/quarantiner"
	"monsoonspar.example/state/registrar"
)

func Example() {
	now := time.Unix(1000, 0)
	system, document := quarantiner.PartOf("chat", "5c1e07a2"), quarantiner.PartOf("chat", "91bd3f06")
	a := quarantiner.New(quarantiner.Config{Self: "daemon-a"})
	b := quarantiner.New(quarantiner.Config{Self: "daemon-b"})

	// Three engines end on prompts with the document, others go on with the system prompt.
	for i := range 3 {
		now = now.Add(time.Second)
		a.RecordProgress([]quarantiner.Subject{system}, now)
		engine := registrar.Identity{Name: fmt.Sprint("engine-", i)}
		a.RecordCrash(engine, []quarantiner.Suspect{{Subject: system}, {Subject: document, Depth: 1}}, now)
	}
	own, _ := a.TakeUpdates(now)
	b.Apply(own, false, now)

	now = now.Add(2 * time.Second)
	v, blocked := b.Check([]quarantiner.Subject{system, document}, now)
	fmt.Println(blocked, v.Subject == document, v.Crashes, v.RetryAfter)
	_, blocked = b.Check([]quarantiner.Subject{system}, now)
	fmt.Println(blocked)
	// Output:
	// true true 3 59s
	// false
}
