package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is a process of the product, started with the command of the deploy file.
type daemon struct {
	name, zone                    string
	front, ready, peers, counters string
	file, log                     string
	limitFiles                    int // Descriptors; zero for no limit.
	grace                         int // Seconds from SIGTERM to SIGKILL (grace_s).

	mu  sync.Mutex
	cmd *exec.Cmd
}

// graceSeconds is grace_s of the deployment.
const graceSeconds = 8

// deployment is what the settings of all daemons have in common.
type deployment struct {
	root, dir, storeAddr string
	daemons              []*daemon
}

// Ports for the daemons are looked for below those that the system takes for outgoing connections.
const (
	lowestPort = 12000
	portCount  = 18000
)

// errNoPort means that no free port was found.
var errNoPort = errors.New("no free port")

func freeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, l.Close()
		}
	}
	return "", errNoPort
}

// add adds a daemon that is not started yet.
func (d *deployment) add(name, zone string) (*daemon, error) {
	n := &daemon{name: name, zone: zone, grace: graceSeconds, file: filepath.Join(d.dir, name+".ini"), log: filepath.Join(d.dir, name+".log")}
	for _, a := range []*string{&n.front, &n.ready, &n.peers, &n.counters} {
		var err error
		if *a, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	d.daemons = append(d.daemons, n)
	return n, nil
}

// settings returns the settings of a daemon, with the fields of deploy/settings.ini and the bounds of the
// deployment rettifiche-nord.
func (d *deployment) settings(n *daemon) string {
	var seeds []string
	for _, o := range d.daemons {
		seeds = append(seeds, o.peers)
	}
	return fmt.Sprintf(`[daemon]
name = %s
failure_domain = %s
region = padania
callers_listen = %s
ready_listen = %s
peers_listen = %s
peers_key = %s
metrics_listen = %s
seeds = %s
memory_mb = 134

[store]
addr = %s

[bounds]
stop_s = %d
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54

[regions]
milano-a = padania
torino-b = padania

[log]
level = info
`, n.name, n.zone, n.front, n.ready, n.peers, d.storeAddr, n.counters, strings.Join(seeds[:min(len(seeds), 3)], ","), d.storeAddr, n.grace)
}

// writeSettings puts the settings file of a daemon in its place, as the platform does at every start and at each change.
func (d *deployment) writeSettings(n *daemon) error {
	if err := os.WriteFile(n.file+".new", []byte(d.settings(n)), 0o600); err != nil {
		return err
	}
	return os.Rename(n.file+".new", n.file)
}

// start starts the process of a daemon.
func (d *deployment) start(n *daemon) error {
	if err := d.writeSettings(n); err != nil {
		return err
	}
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/monsoonspar", "forward")
	if n.limitFiles > 0 {
		cmd = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d 2>/dev/null || ulimit -n hard; exec target/monsoonspar forward", n.limitFiles))
	}
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, out, out
	cmd.Env = append(os.Environ(), "MONSOONSPAR_NODE_FILE="+n.file)
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	return nil
}

// signal sends a signal to the process of a daemon, if it runs, and waits for its end if that is SIGKILL.
func (n *daemon) signal(sig syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	if sig == syscall.SIGKILL {
		n.cmd = nil
	}
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		_ = cmd.Wait()
	}
}

// wait waits for the end of the process of a daemon.
func (n *daemon) wait() {
	n.mu.Lock()
	cmd := n.cmd
	n.cmd = nil
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
	}
}

// probes is the client of the platform's readiness probes, which keeps its connections.
var probes = http.Client{Timeout: time.Second}

// isReady asks a daemon whether it is ready, as the platform does.
func (n *daemon) isReady() bool {
	res, err := probes.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

func (n *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return true
		}
	}
	return false
}

// probe asks a daemon once a second whether it is ready, until stop is closed.
func (b *bench) probe(n *daemon, stop <-chan struct{}) {
	last := false
	for {
		if ready := n.isReady(); ready != last {
			last = ready
			b.rec.printf("%s ready: %t", n.name, ready)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// end kills all daemons.
func (d *deployment) end() {
	for _, n := range d.daemons {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
}
