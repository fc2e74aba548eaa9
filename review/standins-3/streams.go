package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// streamResult is the answer to a request for a stream.
type streamResult struct {
	id string
	a  answer
}

// streamOnKept requests n streams, each on a channel that has had an answer before.
func (s *scene) streamOnKept(d *daemon, n int) <-chan streamResult {
	results := make(chan streamResult, n)
	for range n {
		background.Go(func() {
			c, err := net.DialTimeout("tcp", d.clients, time.Second)
			if err != nil {
				results <- streamResult{a: answer{err: err}}
				return
			}
			defer c.Close()
			br := bufio.NewReader(c)
			first := request{method: "GET", path: "/none/", id: newID(), key: "key", deadline: time.Second}
			if a := first.on(c, br); a.status != 404 {
				s.printf("the first request on a channel got %v", a)
			}
			r := request{method: "POST", path: "/draft/1", id: newID(), key: "key", body: "draft", deadline: 6 * time.Second, header: draftHeader}
			results <- streamResult{r.id, r.on(c, br)}
		})
		time.Sleep(20 * time.Millisecond)
	}
	return results
}

// countStreams returns how many streams broke off, and how many were whole.
func (s *scene) countStreams(results <-chan streamResult, n, total int) (cut, whole int) {
	for range n {
		r := <-results
		events := strings.Count(string(r.a.body), "id: ")
		s.printf("answer to %s: %v, %d of %d events", r.id, r.a, events, total)
		switch {
		case r.a.status == 200 && r.a.err == nil && events == total:
			whole++
		case r.a.err != nil:
			cut++
		}
	}
	return cut, whole
}

// runSound sends requests with soundPath, one after another at each daemon, until each engine has answered soundRuns.
func (s *scene) runSound(engines []*engine) bool {
	const attempts = 400
	var group sync.WaitGroup
	var failed atomic.Int64
	var sent atomic.Int64
	missing := func() bool {
		for _, e := range engines {
			e.mu.Lock()
			n := e.sound
			e.mu.Unlock()
			if n < soundRuns {
				return true
			}
		}
		return false
	}
	for i := range 5 * len(s.daemons) {
		group.Go(func() {
			for missing() && sent.Add(1) <= attempts {
				r := request{method: "POST", path: soundPath, id: newID(), key: "key", body: "draft", deadline: 39 * time.Second, header: draftHeader}
				if a := r.do(s.daemons[i%len(s.daemons)].clients); a.status != 200 || a.err != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	var counts []int
	for _, e := range engines {
		e.mu.Lock()
		counts = append(counts, e.sound)
		e.mu.Unlock()
	}
	s.printf("sound answers of each engine: %v; %d requests failed", counts, failed.Load())
	return failed.Load() == 0 && !missing()
}
