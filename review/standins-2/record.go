package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what happens in a case to record.txt, one line each, with the time since the start.
type recorder struct {
	start time.Time

	mu sync.Mutex
	w  io.WriteCloser
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), w: f}, nil
}

func (r *recorder) at() time.Duration { return time.Since(r.start) }

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", r.at().Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}
