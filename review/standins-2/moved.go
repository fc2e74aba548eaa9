package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Figures of runMoved.
const (
	withdrawnKey = "k-clerk"
	moveAfter    = 3 * time.Second
	changeAfter  = 5 * time.Second // From the move of the store to the change of the configuration.
	applyTime    = 2 * time.Second // apply_ms
	maxSkew      = 5 * time.Second // max_skew_ms, which an unstable store adds at most.
	watchTime    = 12 * time.Second
	hangups      = 1 // Machines that get SIGHUP, of three; the files of the others change without a signal.
)

// putVersion writes a version of the configuration, with the key of the clerks or without it.
func (b *bench) putVersion(version int, clerks bool) error {
	var m map[string]any
	if err := json.Unmarshal(manifestText, &m); err != nil {
		return err
	}
	m["version"] = version
	if clerks {
		tenants, _ := m["tenants"].([]any)
		m["tenants"] = append(tenants, map[string]any{"name": "clerks", "api_keys": []string{withdrawnKey}, "priority": 1})
	}
	b.st.put("config", "main", m)
	return nil
}

// runMoved checks CONFIG: a request sent later than apply_ms after the ack of a version runs with a key that the version has
// dropped. The disruption is a change of the settings files, 5 s before, with SIGHUP to one of three machines: the store has
// another address.
func runMoved(b *bench) (bool, error) {
	if err := b.putVersion(1, true); err != nil {
		return false, err
	}
	if err := b.addWorkers(3, "app", func(w *worker) { w.work = 15 * time.Millisecond }); err != nil {
		return false, err
	}
	for _, zone := range []string{"milano-a", "torino-b", "verona-c"} {
		n, err := b.add("edge-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		if err := b.start(n); err != nil {
			return false, err
		}
	}
	for _, n := range b.daemons {
		if !n.awaitReady(10 * time.Second) {
			return false, fmt.Errorf("%w: %s is not ready", errCouldNotRun, n.name)
		}
	}
	time.Sleep(moveAfter)
	if b.trouble {
		if err := b.st.move(&b.group); err != nil {
			return false, err
		}
		b.storeAddr = b.st.addr
		for _, n := range b.daemons {
			if err := b.writeSettings(n); err != nil {
				return false, err
			}
		}
		for _, n := range b.daemons[:hangups] {
			n.signal(syscall.SIGHUP)
			b.rec.printf("SIGHUP to %s", n.name)
		}
		b.rec.printf("the settings files name another address of the store")
	}
	time.Sleep(changeAfter)
	if err := b.putVersion(2, false); err != nil {
		return false, err
	}
	b.rec.printf("version 2, without the key of the clerks, is acknowledged")
	return b.useWithdrawnKey(), nil
}

// useWithdrawnKey sends requests with the key and reports whether one of them ran too late.
func (b *bench) useWithdrawnKey() bool {
	acked := time.Now()
	late, ready := make([]int, len(b.daemons)), 0
	for n := 0; time.Since(acked) < watchTime; n++ {
		i := n % len(b.daemons)
		d := b.daemons[i]
		sent := time.Since(acked)
		id := newID("clerk-")
		c, err := open(d.front)
		o := outcome{err: err}
		if err == nil {
			o = c.getWith(withdrawnKey, safePath+"entry", id, 600*time.Millisecond)
			_ = c.Close()
		}
		if sent > applyTime+maxSkew && o.status == http.StatusOK {
			late[i]++
			if d.isReady() {
				ready++
			}
		}
		b.rec.printf("%s at %s, %.1f s after the ack: %v", id, d.name, sent.Seconds(), o)
		time.Sleep(200 * time.Millisecond)
	}
	sum := 0
	for i, d := range b.daemons {
		b.rec.printf("%s: %d requests with the withdrawn key ran more than %v after the ack", d.name, late[i], applyTime+maxSkew)
		sum += late[i]
	}
	b.rec.printf("%d such requests in all, %d of them at machines that said then that they were ready", sum, ready)
	return sum > 0
}
