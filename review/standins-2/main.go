// Command standins2 runs the scripted cases of the second review: it starts stand-ins of the platform's store and
// workers, starts the product's own program in separate processes, sends requests, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
)

// bench is what a case runs in.
type bench struct {
	*deployment
	st    *store
	rec   *recorder
	group sync.WaitGroup

	trouble bool
	workers []*worker
}

// errCouldNotRun means that the case could not run.
var errCouldNotRun = errors.New("the case could not run")

var cases = map[string]func(b *bench) (broken bool, err error){
	"descriptors": runDescriptors,
	"amnesia":     runAmnesia,
	"limit":       runLimit,
	"moved":       runMoved,
	"settings":    runSettings,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "hold" {
		if err := runHolder(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// run runs a case and returns the exit status.
func run(play func(b *bench) (bool, error), root, folder string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	rec, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b := &bench{deployment: &deployment{root: root, dir: dir}, st: newStore(), rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	if err := b.st.start(&b.group); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b.storeAddr = b.st.addr
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	b.group.Go(func() {
		<-signals
		b.end()
		os.Exit(2)
	})
	broken, err := play(b)
	b.end()
	for _, w := range b.workers {
		w.crash()
	}
	b.st.stop()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range b.daemons {
			text, _ := os.ReadFile(n.log)
			_ = os.WriteFile(filepath.Join(keep, n.name+".log"), text, 0o600)
		}
	}
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		return 1
	default:
		return 0
	}
}

// Hosts, paths and keys of the configuration in manifest.json.
const (
	host      = "log.example"
	safePath  = "/lookup/"
	draftPath = "/draft/"
	longPath  = "/notice/"
	key       = "k-editor"
)

// putManifest writes the configuration, which has the limits and times of the deployment rettifiche-nord.
func (b *bench) putManifest() { b.st.put("config", "main", json.RawMessage(manifestText)) }

// addWorkers starts workers of a service.
func (b *bench) addWorkers(n int, service string, prepare func(w *worker)) error {
	zones := []string{"milano-a", "torino-b"}
	for i := range n {
		w := &worker{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i%len(zones)], slots: 6, st: b.st, rec: b.rec, group: &b.group}
		prepare(w)
		if err := w.start(); err != nil {
			return err
		}
		b.workers = append(b.workers, w)
	}
	return nil
}
