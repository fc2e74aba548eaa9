// Package e2e_test runs the programs as separate processes and injects the
// failures that the system is designed to tolerate. Timeouts only limit how long
// a test may hang; no result depends on timing.
//
// Each test starts a cluster: stand-ins of the platform, the engines and a service,
// and several daemons. Its requests are generations, which run on an engine, and
// filings, which are non-idempotent requests to the service. If a filing has an
// idempotency key, the daemon first writes a claim to the platform, so that the
// filing runs at most once.
package e2e_test

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitTimeout limits each wait of a test.
const waitTimeout = 3 * time.Minute

var (
	daemonProgram  string
	standinProgram string
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "monsoonspar-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "../cmd/monsoonspar", "../cmd/standin")...)
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	daemonProgram = filepath.Join(dir, "monsoonspar")
	standinProgram = filepath.Join(dir, "standin")
	return m.Run()
}

// statSources calls os.Stat for every source file, so that a change of the
// programs invalidates cached test results: the test cache tracks the files that
// a test accesses, but not those that go build reads.
var statSources = sync.OnceValue(func() error {
	return filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		_, err = os.Stat(path)
		return err
	})
})

// requireSources fails the test if statSources fails.
func requireSources(t *testing.T) {
	t.Helper()
	assert.NilError(t, statSources())
}
