package main

import (
	"strings"
	"time"
)

// overlapLimit is the time after which the worker before may no longer work on a request that goes on elsewhere.
const overlapLimit = 400 * time.Millisecond

// caseOverlap lets a model worker send bytes that are no answer in the middle of a stream. The worker does not
// drop the run when its channel closes.
func caseOverlap(s *scene) int {
	s.configure(draftConfig(39000, true))
	f := &fleet{engines: map[string]*engine{}}
	spoilAt := 0
	if s.trouble {
		spoilAt = 60
	}
	var engines []*engine
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		e := &engine{id: id, total: 150, spoilAt: spoilAt, keepsRuns: true}
		if err := startEngine(s, f, e); err != nil {
			return notRun
		}
		engines = append(engines, e)
	}
	if !s.startDaemons(284, []string{"edge-a-1", "edge-b-1", "edge-c-1"}, []string{"zone-a", "zone-b", "zone-c"}) {
		return notRun
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	if !s.runSound(engines) {
		return notRun
	}
	r := request{
		method: "POST", path: "/draft/1", id: newID(), key: "key", body: "draft", deadline: 39 * time.Second,
		header: draftHeader,
	}
	s.printf("stream %s requested", r.id)
	a := r.do(s.daemons[0].clients)
	s.printf("answer: %v, %d events", a, strings.Count(string(a.body), "id: "))
	time.Sleep(overlapLimit)
	var first, second *engineRun
	var firstID, secondID string
	for _, e := range engines {
		e.mu.Lock()
		if run := e.runs[r.id]; run != nil && run.resumed {
			second, secondID = run, e.id
		} else if run != nil {
			first, firstID = run, e.id
		}
		e.mu.Unlock()
	}
	if first == nil {
		s.printf("no worker ran the request")
		return notRun
	}
	if second == nil {
		if !s.trouble && a.status == 200 && a.err == nil {
			return held
		}
		s.printf("the request did not go on at another worker")
		if s.trouble {
			return held
		}
		return notRun
	}
	overlap := first.works[len(first.works)-1].Sub(second.startAt)
	s.printf("%s went on with the request at %s; %s worked on it for another %d ms", secondID, second.startAt.Sub(s.start).Round(time.Millisecond), firstID, overlap.Milliseconds())
	if overlap > overlapLimit {
		s.printf("broken: two workers worked on the request for more than %d ms", overlapLimit.Milliseconds())
		return broken
	}
	return held
}
