package main

import (
	"bufio"
	"net"
	"strings"
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
