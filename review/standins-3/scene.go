package main

import (
	"encoding/json"
	"os"
	"time"
)

// scene holds what a case starts.
type scene struct {
	*record
	folder  string // Temporary.
	trouble bool
	store   *store
	daemons []*daemon
	workers []*process
}

func newScene(folder string) (*scene, error) {
	r, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	s := &scene{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	if s.folder, err = os.MkdirTemp("", "review3-"); err != nil {
		return nil, err
	}
	s.store, err = startStore()
	return s, err
}

// close ends all processes that the case has started.
func (s *scene) close() {
	for _, d := range s.daemons {
		if d.process != nil {
			d.signal(18) // SIGCONT
			d.kill()
		}
	}
	for _, w := range s.workers {
		w.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		s.printf("logs are kept in a temporary folder")
		println(s.folder)
	}
}

// startDaemons starts the daemons and waits until they are ready.
func (s *scene) startDaemons(memoryMB int, names, zones []string) bool {
	var err error
	if s.daemons, err = newDaemons(s.folder, s.store.addr(), memoryMB, names, zones); err != nil {
		s.printf("could not prepare the daemons: %v", err)
		return false
	}
	for _, d := range s.daemons {
		if err := d.run(); err != nil {
			s.printf("could not start a daemon: %v", err)
			return false
		}
	}
	for _, d := range s.daemons {
		if !d.awaitReady(10 * time.Second) {
			s.printf("daemon %s did not get ready", d.name)
			return false
		}
	}
	s.printf("%d daemons are ready", len(s.daemons))
	return true
}

// startWorker starts a worker as a process of its own.
func (s *scene) startWorker(args ...string) (*process, error) {
	log, err := os.OpenFile(s.folder+"/workers.log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p, err := start(log, nil, os.Args[0], append([]string{"worker", "-store", s.store.addr(), "-log", s.folder + "/runs.txt"}, args...)...)
	if err == nil {
		s.workers = append(s.workers, p)
	}
	return p, err
}

// runs returns the log of the workers.
func (s *scene) runs() string {
	text, _ := os.ReadFile(s.folder + "/runs.txt")
	return string(text)
}

// configure writes the configuration.
func (s *scene) configure(c any) {
	text, _ := json.Marshal(c)
	s.store.put("config", "main", text)
}

type fields map[string]any

// limits are those of the users' example of a configuration.
var limits = fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
