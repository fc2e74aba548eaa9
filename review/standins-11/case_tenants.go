package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { cases["tenants"] = tenants }

const applyTime = 2 * time.Second

// withTenants returns the configuration with another version and list of tenants.
func withTenants(version int, list []any) map[string]any {
	var m map[string]any
	if err := json.Unmarshal(manifest, &m); err != nil {
		panic(err)
	}
	m["version"], m["tenants"] = version, list
	return m
}

// tenants has a deployment of one tenant, which the operator takes away: the list of tenants is empty then.
func tenants(s *scene) error {
	s.store.put("config", "main", withTenants(7, []any{map[string]any{"name": "huka270", "api_keys": []string{"key-1"}, "priority": 1}}))
	var workers []*worker
	for _, zone := range []string{"milano-a", "torino-b", "verona-c"} {
		w, err := startWorker(s.store, "i-app-"+zone, "registro-app", zone, plainAnswer)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	for _, zone := range []string{"milano-a", "torino-b", "verona-c"} {
		s.addDaemon(zone)
	}
	if err := s.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	if _, run := s.withKeys(workers, "key-1"); run != 10 {
		return fmt.Errorf("the tenant is not served")
	}
	if refused, run := s.withKeys(workers, "key-nobody-ever-had"); refused != 10 || run != 0 {
		return fmt.Errorf("%w: requests with an unknown key ran", errBroken)
	}
	if trouble() {
		s.store.put("config", "main", withTenants(9, []any{}))
		s.rec.add("version 9 acknowledged, with an empty list of tenants")
	}
	time.Sleep(applyTime + time.Second)
	broken := false
	for _, key := range []string{"key-nobody-ever-had", "key-1", ""} {
		if !trouble() && key == "key-1" {
			continue
		}
		refused, run := s.withKeys(workers, key)
		s.rec.say("key %q: %d of 10 requests were refused with 401, %d ran", key, refused, run)
		broken = broken || run > 0
	}
	if broken {
		return fmt.Errorf("%w: requests ran whose key no configuration ever held, or that the one in force has dropped", errBroken)
	}
	return nil
}

// withKeys sends ten requests with a key, or without one if it is empty. It returns how many were refused with 401, and how many ran.
func (s *scene) withKeys(workers []*worker, key string) (refused, run int) {
	ids := map[string]bool{}
	for n := range 10 {
		id := newID()
		ids[id] = true
		text := request("POST", "/file/a", id, 1500, "x")
		line := "Authorization: Bearer " + key + "\r\n"
		if key == "" {
			line = ""
		}
		text = strings.Replace(text, "Authorization: Bearer key-1\r\n", line, 1)
		a := ask(s.daemons[n%len(s.daemons)].clients, text, 2*time.Second)
		s.rec.add("request %s with key %q: %v", id, key, a)
		if a.status == 401 {
			refused++
		}
	}
	for _, w := range workers {
		for _, a := range w.received() {
			if ids[a.id] {
				run++
				s.rec.add("worker %s ran %s for tenant %q", w.name, a.id, a.header.Get("X-Tenant-Id"))
			}
		}
	}
	return refused, run
}
