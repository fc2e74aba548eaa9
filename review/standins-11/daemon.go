package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// daemon is a daemon of the system, started with the command of the deploy file.
type daemon struct {
	name, zone                                    string
	clients, ready, peers, metrics, settings, log string
	prober                                        *http.Client
	maxFiles                                      int // Descriptors of its VM; zero for those of this process.
	cmd                                           *exec.Cmd
	done                                          chan struct{}
}

// Ports for daemons. They are below those that the system gives to connections, which could take one before its daemon starts.
const (
	firstPort = 12000
	lastPort  = 32000
)

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
}

// command returns the command of the role "daemon" in the deploy file.
func command(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return nil, fmt.Errorf("no command in the deploy file")
	}
	return strings.Fields(string(m[1])), nil
}

// scene is a small deployment.
type scene struct {
	root, tmp string
	rec       *recorder
	store     *store
	daemons   []*daemon
	seeds     []string
}

func newScene(root, dir string) (*scene, error) {
	rec, err := newRecorder(dir)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	st, err := startStore()
	return &scene{root: root, tmp: tmp, rec: rec, store: st}, err
}

// addDaemon prepares a daemon. Its settings are those that the template of the deploy file gives.
func (s *scene) addDaemon(zone string) *daemon {
	n := len(s.daemons) + 1
	d := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, clients: freeAddr(), ready: freeAddr(), peers: freeAddr(), metrics: freeAddr()}
	d.prober = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	d.settings, d.log = filepath.Join(s.tmp, d.name+".ini"), filepath.Join(s.tmp, d.name+".log")
	if len(s.seeds) < 3 {
		s.seeds = append(s.seeds, d.peers)
	}
	s.daemons = append(s.daemons, d)
	return d
}

func (s *scene) writeSettings(d *daemon) error {
	text := fmt.Sprintf(`[daemon]
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
stop_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54

[regions]
milano-a = padania
torino-b = padania
verona-c = padania

[log]
level = info
`, d.name, d.zone, d.clients, d.ready, d.peers, s.store.addr, d.metrics, strings.Join(s.seeds, ","), s.store.addr)
	return os.WriteFile(d.settings, []byte(text), 0o644)
}

func (s *scene) start(d *daemon) error {
	if err := s.writeSettings(d); err != nil {
		return err
	}
	args, err := command(s.root)
	if err != nil {
		return err
	}
	if d.maxFiles > 0 { // The limit is that of the started process alone.
		args = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, d.maxFiles), "sh"}, args...)
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	d.cmd = exec.Command(args[0], args[1:]...)
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = s.root, out, out
	d.cmd.Env = append(os.Environ(), "MONSOONSPAR_NODE_FILE="+d.settings)
	if err := d.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.done = done
	cmd := d.cmd
	group.Go(func() { _ = cmd.Wait(); close(done) })
	s.rec.add("daemon %s started, callers at %s", d.name, d.clients)
	return nil
}

// startAll starts all daemons and waits until they are ready.
func (s *scene) startAll() error {
	for _, d := range s.daemons {
		if err := s.start(d); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if !d.awaitReady(10 * time.Second) {
			return fmt.Errorf("daemon %s is not ready", d.name)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (d *daemon) signal(sig syscall.Signal) { _ = d.cmd.Process.Signal(sig) }

func (d *daemon) running() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// isReady asks the daemon as the platform's load balancer does, on a connection that it keeps.
func (d *daemon) isReady() bool {
	res, err := d.prober.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			return true
		}
	}
	return false
}

// end kills the processes that the scene has started and removes its files.
func (s *scene) end() {
	for _, d := range s.daemons {
		if d.cmd != nil && d.running() {
			d.signal(syscall.SIGKILL)
			<-d.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.tmp)
	} else {
		fmt.Println("logs in", s.tmp)
	}
}
