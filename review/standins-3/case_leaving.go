package main

import "time"

// caseLeaving takes a model worker away whose answers end with their channels. It serves for as long as it has
// to, and ends after its last answer.
func caseLeaving(s *scene) int {
	const streams = 6
	s.configure(draftConfig(6000, false))
	f := &fleet{engines: map[string]*engine{}}
	leaving := &engine{id: "i-1", total: 110, unframed: true, noMoves: true}
	if err := startEngine(s, f, leaving); err != nil {
		return notRun
	}
	if !s.startDaemons(284, []string{"edge-a-1", "edge-b-1", "edge-c-1"}, []string{"zone-a", "zone-b", "zone-c"}) {
		return notRun
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	results := s.streamOnKept(s.daemons[0], streams)
	time.Sleep(300 * time.Millisecond)
	other := &engine{id: "i-2", total: 110, unframed: true, noMoves: true}
	if err := startEngine(s, f, other); err != nil {
		return notRun
	}
	if s.trouble {
		background.Go(func() { leaving.leave(3 * time.Second) })
	}
	cut, whole := s.countStreams(results, streams, leaving.total)
	if cut > 3 {
		s.printf("broken: %d requests on kept channels were passed on to a sound worker, which answered them whole, and their channels were closed without a whole answer", cut)
		return broken
	}
	if !s.trouble && whole < streams {
		return notRun
	}
	return held
}
