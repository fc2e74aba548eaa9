// Command review3 holds the stand-ins and the scripts of the second sitting on issue 57: cases 6, 7, 8 and 10 of the review, and
// scripts without a folder.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(*scene) int{
	"reborn": caseReborn, "overlap": caseOverlap, "deferred": caseDeferred, "leaving": caseLeaving, "foreign": caseForeign, "ids": caseIDs, "zero": caseZero,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		os.Exit(notRun)
	}
	if os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "worker:", err)
			os.Exit(notRun)
		}
		return
	}
	run, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(notRun)
	}
	s, err := newScene(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code := run(s)
	s.close()
	os.Exit(code)
}
