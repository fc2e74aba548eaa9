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

// process is a program started by a test.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	done chan struct{} // Closed when the process has exited.
	logs *logFile

	mu    sync.Mutex
	addrs map[string]string // Addresses that the program printed, by the text before " on ".
}

// logFile is the standard error output of a process.
type logFile struct{ path string }

// tail returns the last n bytes of the log.
func (l *logFile) tail(n int) string {
	text, err := os.ReadFile(l.path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-n):])
}

// startProcess starts a program. It is killed at the end of the test.
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
			t.Logf("end of the log of %s:\n%s", name, p.logs.tail(4000))
		}
	})
	return p
}

func (p *process) readAddrs(r io.Reader) {
	for scanner := bufio.NewScanner(r); scanner.Scan(); {
		label, addr, ok := strings.Cut(scanner.Text(), " on ")
		if !ok {
			continue
		}
		p.mu.Lock()
		p.addrs[label] = addr
		p.mu.Unlock()
	}
}

// addr waits until the program prints "LABEL on ADDRESS", and returns the address.
func (p *process) addr(label string) string {
	p.t.Helper()
	var addr string
	waitFor(p.t, p.name+" "+label, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		addr = p.addrs[label]
		return addr != ""
	})
	return addr
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s), p.name)
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	// An error means that the process has exited.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits until the process exits by itself and returns its exit code.
func (p *process) exitCode() int {
	p.t.Helper()
	waitFor(p.t, p.name+" to exit", func() bool { return !p.running() })
	return p.cmd.ProcessState.ExitCode()
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// waitFor polls until satisfied returns true, and fails the test after waitTimeout.
func waitFor(t *testing.T, condition string, satisfied func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !satisfied(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

// Ports for listeners. They are below the ephemeral port range, so that no
// outgoing connection takes a port between its choice and its use.
const (
	firstPort = 10000
	portCount = 20000
)

var portCounter atomic.Int64

// freeAddr returns a loopback address that nothing listens on. The first port
// depends on the process ID, since several test runs may share a host.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range portCount {
		n := (int64(os.Getpid())*97 + portCounter.Add(1)) % portCount
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

// writeFile writes a temporary file and returns its path.
func writeFile(t *testing.T, name, format string, args ...any) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, format, args...), 0o600))
	return path
}
