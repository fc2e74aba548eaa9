package drainer_test

import (
	"fmt"
	"time"

	"monsoonspar.example/coordination/drainer"
)

func Example() {
	now := time.Unix(0, 0)
	d := drainer.New(drainer.DefaultSettings())
	fmt.Println(d.Signal(now))
	for d.Phase() != drainer.PhaseExited {
		now = now.Add(time.Second)
		status := drainer.Status{}
		if now.Unix() < 60 {
			status.Requests = 1 // A long generation, which delays the shutdown.
		}
		if acts := d.Tick(now, status); len(acts) > 0 {
			fmt.Println(now.Unix(), acts)
		}
	}
	// Output:
	// [mark_not_ready hand_over]
	// 10 [close_listener]
	// 60 [say_goodbye]
	// 61 [exit]
}

func ExampleShutdownTracker() {
	now := time.Unix(0, 0)
	d := drainer.NewShutdownTracker()
	d.Observe("gpu-1", "boot-1")
	d.MarkShuttingDown(now, "gpu-1", "boot-1", 30*time.Second)
	fmt.Println(d.AcceptsNewWork("gpu-1"))
	fmt.Println(d.Expired(now.Add(30 * time.Second)))
	d.Observe("gpu-1", "boot-2")
	fmt.Println(d.AcceptsNewWork("gpu-1"))
	// Output:
	// false
	// [gpu-1]
	// true
}
