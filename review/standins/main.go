// Command review-standins plays the cases of the review against the daemon: it starts the daemon
// as separate processes on loopback addresses, with stand-ins of the store, the workers and the
// clients. It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// env is what a case needs.
type env struct {
	root    string // Of the repository.
	tmp     string
	rec     *record
	trouble bool // Whether the disruption is injected.
	keep    bool // Whether the settings and logs are kept.
	store   *store
	group   sync.WaitGroup

	mu   sync.Mutex
	ends []func()
}

// onEnd registers a function that is called when the case has ended, the latest first.
func (e *env) onEnd(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends = append(e.ends, f)
}

func (e *env) end() {
	e.mu.Lock()
	ends := e.ends
	e.ends = nil
	e.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	e.group.Wait()
	if !e.keep {
		_ = os.RemoveAll(e.tmp) // Only temporary files.
	}
}

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name. Each returns an error if it could not run.
var cases = map[string]func(e *env) (verdict, error){}

func main() {
	os.Exit(run())
}

func run() int {
	const couldNotRun = 2
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE REPOSITORY FOLDER")
		return couldNotRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer rec.close()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	e := &env{root: root, tmp: tmp, rec: rec, trouble: os.Getenv("TROUBLE") != "0", keep: os.Getenv("KEEP") != ""}
	if e.keep {
		fmt.Println("settings and logs:", tmp)
	}
	e.rec.printf("disruption: %v", e.trouble)
	v, err := play(e)
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNotRun
	}
	rec.printf("result: broken=%v: %s", v.broken, v.text)
	fmt.Printf("broken=%v: %s\n", v.broken, v.text)
	if v.broken {
		return 1
	}
	return 0
}

func play(e *env) (verdict, error) {
	defer e.end()
	s, err := newStore(e)
	if err != nil {
		return verdict{}, err
	}
	e.store = s
	return cases[os.Args[1]](e)
}
