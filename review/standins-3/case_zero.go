package main

import (
	"fmt"
	"regexp"
	"time"
)

// caseZero loses the answer of a model worker, which goes on with the run. The IDs of its events are their numbers,
// beginning with 0.
func caseZero(s *scene) int {
	s.configure(draftConfig(39000, true))
	f := &fleet{engines: map[string]*engine{}}
	var total int
	var engines []*engine
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		e := &engine{id: id, total: 60, fromZero: true, loseAnswer: s.trouble}
		if err := startEngine(s, f, e); err != nil {
			return notRun
		}
		engines = append(engines, e)
		total = e.total
	}
	if !s.startDaemons(284, []string{"edge-a-1", "edge-b-1", "edge-c-1"}, []string{"zone-a", "zone-b", "zone-c"}) {
		return notRun
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	if !s.runSound(engines) {
		return notRun
	}
	r := request{method: "POST", path: "/draft/1", id: newID(), key: "key", body: "draft", deadline: 39 * time.Second, header: draftHeader}
	a := r.do(s.daemons[0].clients)
	s.printf("answer to %s: %v", r.id, a)
	var pieces []string
	for _, m := range regexp.MustCompile(`data: \S+-(\d+)\n`).FindAllStringSubmatch(string(a.body), -1) {
		pieces = append(pieces, m[1])
	}
	s.printf("pieces that the client got: %v", pieces)
	if a.status != 200 || a.err != nil {
		if !s.trouble {
			return notRun
		}
		return held // The stream does not count as complete.
	}
	for i := range total {
		if i >= len(pieces) || pieces[i] != fmt.Sprint(i+1) {
			s.printf("broken: the stream is marked as complete, and piece %d of %d is missing", i+1, total)
			return broken
		}
	}
	return held
}
