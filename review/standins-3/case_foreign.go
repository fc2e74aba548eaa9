package main

import (
	"encoding/json"
	"strings"
	"time"
)

// caseForeign lets another writer put an entry into the store that lacks fields, under the name of a worker of
// another service.
func caseForeign(s *scene) int {
	c := callConfig("/app/", "unsafe", 3000)
	c["routes"] = append(c["routes"].([]fields), fields{"name": "r-2", "host": "case.example", "path_prefix": "/other/", "kind": "unsafe", "timeout_ms": 3000, wire("{target}"): 1500, "priority": 1, "service": "other", "attempts": 1})
	c["services"] = append(c["services"].([]fields), fields{"name": "other", "health_path": "/healthz", "max_conns": 110})
	s.configure(c)
	ports, err := freePorts(2)
	if err != nil {
		return notRun
	}
	for i, service := range []string{"app", "other"} {
		if _, err := s.startWorker("-id", "i-"+service, "-service", service, "-addr", ports[i]); err != nil {
			return notRun
		}
	}
	time.Sleep(300 * time.Millisecond)
	if !s.startDaemons(284, []string{"edge-a-1", "edge-b-1", "edge-c-1"}, []string{"zone-a", "zone-b", "zone-c"}) {
		return notRun
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		spec, _ := json.Marshal(fields{"service": "app", "addr": ports[1], "zone": "zone-a", "slots": 6, "state": "ready"})
		s.store.put("servers", "i-other", spec)
		s.printf("another writer has put servers/i-other: %s", spec)
		time.Sleep(50 * time.Millisecond)
	}
	paths := map[string]string{}
	failed := 0
	for i := range 40 {
		r := request{method: "POST", path: "/app/1", id: newID(), key: "key", body: "order", deadline: 3 * time.Second}
		paths[r.id] = r.path
		a := r.do(s.daemons[i%len(s.daemons)].clients)
		s.printf("%s %s: %v", r.path, r.id, a)
		if a.status != 200 || a.err != nil {
			failed++
		}
	}
	wrong := 0
	s.printf("requests that were run (time, worker, its start, request):\n%s", s.runs())
	for _, line := range strings.Split(s.runs(), "\n") {
		f := strings.Fields(line)
		if len(f) == 5 && f[1] == "i-other" && paths[f[3]] != "" {
			wrong++
		}
	}
	if wrong > 0 {
		s.printf("broken: worker i-other of the service other ran %d requests of the route to the service app", wrong)
		return broken
	}
	if !s.trouble && failed > 0 {
		return notRun
	}
	return held
}
