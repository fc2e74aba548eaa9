package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["storm"] = storm }

// Figures of the case.
const (
	stormRoutes  = 3800                   // Of each version, which has some 910,000 bytes; 1,048,576 are the limit.
	stormRefusal = 9 * time.Second        // For which the store turns the machines away.
	stormGap     = 330 * time.Millisecond // Between two versions.
	stormContact = 3 * time.Second        // After which the machines are in touch again.
	stormApply   = 2 * time.Second        // In which a version must be in force.
	stormHistory = 20 * time.Second       // Of the store.
	stormChecks  = 20                     // Requests with the key that was taken away, every stormPause.
	stormPause   = 250 * time.Millisecond
)

// storm takes a key away while the store turns the machines that are left away, in the last of many
// versions of a large configuration. Without the disruption the store serves the machines.
func storm(e *env) (verdict, error) {
	e.store.history = stormHistory
	size := e.putLarge(3, "key-one", "key-two")
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := newWorker(e, fmt.Sprintf("i-app-%d", i), "app", zone, answer(800)); err != nil {
			return verdict{}, err
		}
	}
	first := newDaemon(e, "edge-a-1", "zone-a", e.store.addr, 134)
	second := newDaemon(e, "edge-b-1", "zone-b", e.store.addr, 134, first.control)
	daemons := []*daemon{first, second}
	for _, d := range daemons {
		if err := d.startReady(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(4 * time.Second) // They are in touch.
	e.rec.printf("store: turns the machines away: %v", e.trouble)
	e.store.setRefusing(e.trouble)
	version := 3
	for begun := time.Now(); time.Since(begun) < stormRefusal; time.Sleep(stormGap) {
		version++
		e.putLarge(version, "key-one", "key-two")
	}
	version++
	e.putLarge(version, "key-one")
	e.rec.printf("operator: version %d takes a key away; %d versions of %d bytes since the first one", version, version-3, size)
	e.store.setRefusing(false)
	time.Sleep(stormContact + stormApply)
	ran := 0
	for n := range stormChecks {
		for i, d := range daemons {
			id := fmt.Sprintf("check-%d-%d", i, n)
			status := e.check(d.front, id)
			e.rec.printf("client: %s with the key that was taken away, %s after the acknowledgement and more: %s", id, stormContact+stormApply, status)
			if status == "200 OK" {
				ran++
			}
		}
		time.Sleep(stormPause)
	}
	text := fmt.Sprintf("%d of %d requests ran with a key that had been taken away %v to %v before; the store had served the machines again all that time",
		ran, stormChecks*len(daemons), stormContact+stormApply, stormContact+stormApply+stormChecks*stormPause)
	return verdict{broken: ran > 0, text: text}, nil
}

// putLarge writes a version of the configuration and returns its size in bytes.
func (e *env) putLarge(version int, keys ...any) int {
	routes := []any{route("filing", "/filing/", "unsafe", "app", 6000, 1)}
	for i := range stormRoutes {
		routes = append(routes, route(fmt.Sprintf("r-%06d", i), fmt.Sprintf("/p-%06d/", i), "unsafe", "app", 6000, 1))
	}
	c := configuration(version, routes, []any{plainService("app")})
	c["tenants"] = []any{map[string]any{"name": "acme", "api_keys": keys, "priority": 1}}
	text, _ := json.Marshal(c)
	e.store.put("config", "main", c)
	return len(text)
}

// check sends a request with the second key.
func (e *env) check(addr, id string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /filing/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 5000\r\nAuthorization: Bearer key-two\r\nContent-Length: 4\r\n\r\nnote", name("request_id"), id, name("deadline"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	_, _ = io.Copy(io.Discard, res.Body) // The status tells.
	return res.Status
}
