package main

import (
	"bytes"
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
	"syscall"
	"time"
)

// process is a program that the case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func start(log io.Writer, env []string, name string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(name, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	background.Go(func() { _ = p.cmd.Wait(); close(p.done) })
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// freePorts returns n addresses with ports that were free a moment ago. They lie below the range from which
// systems choose ports for outgoing connections, which could take one before its server listens.
func freePorts(n int) ([]string, error) {
	const first, last, attempts = 15000, 32000, 1000
	var addrs []string
	for range attempts {
		if len(addrs) == n {
			return addrs, nil
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(last-first)))
		if err != nil {
			continue
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return nil, errors.New("no free ports")
}

// daemon is a daemon of the system.
type daemon struct {
	*process
	name, settings, clients, ready, peers, metrics string
	log                                            *os.File
}

// newDaemons writes the settings of some daemons, one for each name and failure domain, as the
// template of the deploy file renders them.
func newDaemons(folder, storeAddr string, memoryMB int, names, zones []string) ([]*daemon, error) {
	var all []*daemon
	var seeds []string
	for i, name := range names {
		ports, err := freePorts(4)
		if err != nil {
			return nil, err
		}
		d := &daemon{name: name, settings: filepath.Join(folder, name+".ini"), clients: ports[0], ready: ports[1], peers: ports[2], metrics: ports[3]}
		all = append(all, d)
		if i < 3 {
			seeds = append(seeds, d.peers)
		}
	}
	for i, d := range all {
		var b bytes.Buffer
		fmt.Fprintf(&b, "[daemon]\nname = %s\nfailure_domain = %s\nregion = region\ncallers_listen = %s\nready_listen = %s\npeers_listen = %s\npeers_key = %s\nmetrics_listen = %s\nseeds = %s\nmemory_mb = %d\n\n",
			d.name, zones[i], d.clients, d.ready, d.peers, storeAddr, d.metrics, strings.Join(seeds, ","), memoryMB)
		fmt.Fprintf(&b, "[store]\naddr = %s\n\n[bounds]\nstop_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\n\n[regions]\n", storeAddr)
		for _, z := range uniq(zones) {
			fmt.Fprintf(&b, "%s = region\n", z)
		}
		fmt.Fprintf(&b, "\n[log]\nlevel = info\n")
		if err := os.WriteFile(d.settings, b.Bytes(), 0o600); err != nil {
			return nil, err
		}
		var err error
		if d.log, err = os.Create(filepath.Join(folder, d.name+".log")); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func uniq(all []string) []string {
	seen := map[string]bool{}
	var out []string
	for _, s := range all {
		if !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}

// run starts the daemon with the command of the deploy file.
func (d *daemon) run() error {
	p, err := start(d.log, []string{"MONSOONSPAR_NODE_FILE=" + d.settings}, "target/monsoonspar", "forward")
	d.process = p
	return err
}

// isReady asks the readiness address once, as the platform does.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			return true
		}
	}
	return false
}
