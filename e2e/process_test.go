package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// process is a program that a test has started.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	done chan struct{} // Closed when the process has ended.
	logs *logFile

	mu    sync.Mutex
	addrs map[string]string // What the program printed before " on ", and the address after it.
}

// logFile holds what a process wrote.
type logFile struct{ path string }

// tail returns the end of the log.
func (l *logFile) tail(n int) string {
	text, err := os.ReadFile(l.path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-n):])
}

// startProcess starts a program that ends with the test at the latest.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{
		t: t, name: name, done: make(chan struct{}), addrs: make(map[string]string),
		logs: &logFile{path: filepath.Join(t.TempDir(), "log")},
	}
	stderr, err := os.Create(p.logs.path)
	assert.NilError(t, err)
	p.cmd = exec.Command(program, args...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // No process outlives a killed test.
	p.cmd.Stderr = stderr
	stdout, err := p.cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.cmd.Start())
	var group conc.WaitGroup
	group.Go(func() {
		p.readAddrs(stdout)
		_ = p.cmd.Wait()
		_ = stderr.Close()
		close(p.done)
	})
	t.Cleanup(func() {
		p.kill()
		group.Wait()
		if t.Failed() {
			t.Logf("%s wrote at its end:\n%s", name, p.logs.tail(4000))
		}
	})
	return p
}

func (p *process) readAddrs(r io.Reader) {
	for scanner := bufio.NewScanner(r); scanner.Scan(); {
		what, addr, ok := strings.Cut(scanner.Text(), " on ")
		if !ok {
			continue
		}
		p.mu.Lock()
		p.addrs[what] = addr
		p.mu.Unlock()
	}
}

// addr waits for the address that the program prints after what.
func (p *process) addr(what string) string {
	p.t.Helper()
	var addr string
	waitFor(p.t, p.name+" "+what, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		addr = p.addrs[what]
		return addr != ""
	})
	return addr
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s), p.name)
}

// kill ends the process without notice.
func (p *process) kill() {
	// An error means that it has ended.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits for the process to end by itself.
func (p *process) exitCode() int {
	p.t.Helper()
	waitFor(p.t, p.name+" to end", func() bool { return !p.running() })
	return p.cmd.ProcessState.ExitCode()
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// waitFor polls until ok, and fails the test if that takes forever.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(watchdog); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Ports below those that the system gives to outgoing connections, so that no
// other connection takes one between its choice and its use.
const (
	firstPort = 10000
	portCount = 20000
)

var portsUsed atomic.Int64

// freeAddr returns a loopback address that nothing listens on. The process id
// spreads the choice, since several runs may share a host.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range portCount {
		n := (int64(os.Getpid())*97 + portsUsed.Add(1)) % portCount
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+n)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			_ = ln.Close()
			return addr
		}
	}
	t.Fatal("no port is free")
	return ""
}

// write makes a file and returns its path.
func write(t *testing.T, name, format string, args ...any) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, format, args...), 0o600))
	return path
}
