// Package e2e_test runs the programs as separate processes and causes the
// failures that the system promises to withstand. Times bound only how long a
// test may hang; no verdict depends on one.
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

// watchdog ends a wait that would hang a test.
const watchdog = 3 * time.Minute

var (
	daemonProgram  string
	standinProgram string
)

func TestMain(m *testing.M) { os.Exit(build(m)) }

// build builds the programs and runs the tests.
func build(m *testing.M) int {
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

// noteSources looks at every source file, so that a cached result of the tests
// does not outlive a change of the programs: the test cache knows of files that
// a test looks at, but not of what the tests build.
var noteSources = sync.OnceValue(func() error {
	return filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		_, err = os.Stat(path)
		return err
	})
})

// checkSources fails the test if the sources can't be looked at.
func checkSources(t *testing.T) {
	t.Helper()
	assert.NilError(t, noteSources())
}
