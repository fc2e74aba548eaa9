package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is a process of the system under review.
type daemon struct {
	e        *env
	label    string
	settings string
	front    string
	ready    string
	control  string
	metrics  string
	memoryMB int

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // Closed when the process has ended.
	state  string        // How it ended.
}

// settingsText follows deploy/settings.ini with the values of a small deployment.
const settingsText = `[daemon]
name = %s
failure_domain = %s
region = r
callers_listen = %s
ready_listen = %s
peers_listen = %s
peers_key = %s
metrics_listen = %s
seeds = %s
memory_mb = %d

[store]
addr = %s

[bounds]
stop_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54

[regions]
zone-a = r
zone-b = r
zone-c = r

[log]
level = info
`

// usedPorts holds the ports that freeAddr has returned.
var usedPorts sync.Map

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() string {
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		addr := ln.Addr().String()
		_ = ln.Close()
		if _, used := usedPorts.LoadOrStore(addr, true); !used {
			return addr
		}
	}
}

// newDaemon prepares a daemon that talks to the store at storeAddr.
func newDaemon(e *env, label, zone, storeAddr string, memoryMB int, seeds ...string) *daemon {
	d := &daemon{
		e: e, label: label, front: freeAddr(), ready: freeAddr(), control: freeAddr(), metrics: freeAddr(),
		settings: filepath.Join(e.tmp, label+".ini"), memoryMB: memoryMB,
	}
	text := fmt.Sprintf(settingsText, label, zone, d.front, d.ready, d.control, e.store.addr, d.metrics, strings.Join(append(seeds, d.control), ","), memoryMB, storeAddr)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	e.onEnd(func() { d.signal(syscall.SIGKILL); d.awaitExit(5 * time.Second) })
	return d
}

// defaultSignals makes the processes that are started from now on begin with the default action of
// SIGHUP, also if this one was started with the signal ignored, as by nohup.
var defaultSignals = sync.OnceFunc(func() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) })

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	defaultSignals()
	cmd := exec.Command(filepath.Join(d.e.root, "target", "monsoonspar"), "forward")
	cmd.Env = append(os.Environ(), "MONSOONSPAR_NODE_FILE="+d.settings)
	log, err := os.OpenFile(filepath.Join(d.e.tmp, d.label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	d.e.rec.printf("%s: started", d.label)
	d.e.group.Go(func() {
		_ = cmd.Wait() // The state tells more.
		d.mu.Lock()
		d.state = cmd.ProcessState.String()
		d.mu.Unlock()
		d.e.rec.printf("%s: process ended: %s", d.label, cmd.ProcessState)
		_ = log.Close()
		close(exited)
	})
	return nil
}

// startReady starts the process and waits until it says that it is ready.
func (d *daemon) startReady() error {
	if err := d.start(); err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	for range 200 {
		if r, err := client.Get("http://" + d.ready + "/ready"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				d.e.rec.printf("%s: ready", d.label)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s did not get ready", d.label)
}

func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	select {
	case <-d.exited:
	default:
		_ = d.cmd.Process.Signal(sig) // It may have just ended.
	}
}

// awaitExit reports whether the process ends within the time.
func (d *daemon) awaitExit(limit time.Duration) bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	default:
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (d *daemon) running() bool { return !d.awaitExit(0) }

// anonymousMB returns the anonymous memory of the process in MB, which leaves out pages of files.
func (d *daemon) anonymousMB() float64 {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// metric returns the value of a metric of the daemon, by the beginning of its line.
func (d *daemon) metric(prefix string) string {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + d.metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = r.Body.Close() }()
	sc := bufio.NewScanner(io.LimitReader(r.Body, 1<<20))
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), prefix) {
			return sc.Text()
		}
	}
	return ""
}
