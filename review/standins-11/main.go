// Command standins11 runs the cases of the review. It starts the daemons of the system as separate
// processes, and has stand-ins of the store, of workers and of clients.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// trouble reports whether the case is to bring about its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(*scene) error{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins11 CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	s, err := newScene(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](s)
	s.end()
	switch {
	case errors.Is(err, errBroken):
		s.rec.say("BROKEN: %v", err)
		os.Exit(1)
	case err != nil:
		s.rec.say("could not run: %v", err)
		os.Exit(2)
	}
	s.rec.say("held")
}
