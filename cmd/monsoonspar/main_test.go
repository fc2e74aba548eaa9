package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// call runs the program with args and returns its exit code and output.
func call(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = run(t.Context(), args, console{Stdout: &out, Stderr: &errs})
	return code, out.String(), errs.String()
}

// writeFile writes text to a new temporary file and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestExitCodes(t *testing.T) {
	bad := writeFile(t, "bad.ini", "[deployment]\nname = x\nname = y\n")
	good := writeFile(t, "good.ini", "[deployment]\nname = x\nregion = y\n")
	tests := []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{"version", []string{"version"}, exitOK, "monsoonspar ", ""},
		{"help", []string{"--help"}, exitOK, "check", ""},
		{"help of check", []string{"check", "--help"}, exitOK, "file:line: section.key", ""},
		{"no command", nil, exitUsage, "", "expected one of"},
		{"unknown command", []string{"sing"}, exitUsage, "", "sing"},
		{"unknown flag", []string{"check", "--loud", good}, exitUsage, "", "--loud"},
		{"good", []string{"check", good}, exitOK, good + ": valid manifest\n", ""},
		{"bad", []string{"check", bad}, exitInvalid, "", bad + ":3: deployment.name: duplicate key (first set at line 2)\n"},
		{"no file", []string{"check", good + "x"}, exitFailed, "", "no such file"},
		{"no file after bad", []string{"check", bad, good + "x", good}, exitFailed, "valid manifest", "deployment.name"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, stdout, stderr := call(t, tt.args...)
			assert.Equal(t, code, tt.code, stderr)
			assert.Assert(t, bytes.Contains([]byte(stdout), []byte(tt.stdout)), stdout)
			assert.Assert(t, bytes.Contains([]byte(stderr), []byte(tt.stderr)), stderr)
		})
	}
}

func TestCheckHelpGolden(t *testing.T) {
	_, stdout, _ := call(t, "check", "--help")
	golden.Assert(t, stdout, "check-help.golden")
}
