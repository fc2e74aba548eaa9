package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/platform"
)

// startPlatform starts a platform and returns its address.
func startPlatform(t *testing.T) string {
	t.Helper()
	s := platform.New(platform.Config{})
	addr, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return addr
}

// setFaults sets the faults that a platform injects.
func setFaults(t *testing.T, addr string, f platform.Faults) {
	t.Helper()
	body, err := json.Marshal(f)
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/faults", bytes.NewReader(body))
	assert.NilError(t, err)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode/100, 2)
}

// manifest returns a manifest with customers of the given weights.
func manifest(weights ...int) string {
	var b strings.Builder
	b.WriteString("[deployment]\nname = demo\nregion = r\n[priority normal]\nlevel = 1\n")
	for i, w := range weights {
		fmt.Fprintf(&b, "[customer c%d]\npriority = normal\nweight = %d\n", i, w)
	}
	return b.String()
}

// apply applies a manifest and returns the exit code and the output.
func apply(t *testing.T, addr, text string, flags ...string) (code int, stdout, stderr string) {
	t.Helper()
	args := append([]string{"apply", "--platform", addr, writeFile(t, "manifest.ini", text)}, flags...)
	return call(t, args...)
}

func TestApplyIncrementsGeneration(t *testing.T) {
	addr := startPlatform(t)
	for i, step := range []struct {
		text, want string
	}{
		{manifest(1), "generation 1 accepted:\n+ [customer c0]\n+ [deployment]\n+ [priority normal]\n"},
		{manifest(1), "generation 1 has this content already\n"},
		{manifest(2, 1), "generation 2 accepted:\n- customer c0.weight = 1\n+ customer c0.weight = 2\n+ [customer c1]\n"},
		{manifest(2), "generation 3 accepted:\n- [customer c1]\n"},
	} {
		code, stdout, stderr := apply(t, addr, step.text)
		assert.Equal(t, code, exitOK, "%d: %s", i, stderr)
		assert.Equal(t, stdout, step.want)
	}
}

func TestApplyRejectsInvalidManifest(t *testing.T) {
	addr := startPlatform(t)
	code, _, stderr := apply(t, addr, manifest(1)+"[colour]\n")
	assert.Equal(t, code, exitInvalid)
	assert.Assert(t, strings.Contains(stderr, "unknown section"), stderr)
	code, stdout, _ := apply(t, addr, manifest(1))
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.HasPrefix(stdout, "generation 1 accepted"), stdout)
}

func TestApplyFromOlderGenerationConflicts(t *testing.T) {
	addr := startPlatform(t)
	apply(t, addr, manifest(1), "--from", "0")
	apply(t, addr, manifest(2), "--from", "1")
	code, _, stderr := apply(t, addr, manifest(3), "--from", "1")
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, strings.Contains(stderr, "generation 2 was accepted"), stderr)
	assert.Assert(t, strings.Contains(stderr, "- customer c0.weight = 2\n+ customer c0.weight = 3"), stderr)
	// Applying the accepted manifest again is not a conflict.
	code, stdout, stderr := apply(t, addr, manifest(2), "--from", "1")
	assert.Equal(t, code, exitOK, stderr)
	assert.Equal(t, stdout, "generation 2 has this content already\n")
}

// After the platform's store was restored from a backup, operators can pass the
// generation that daemons have in force, even if the manifest is unchanged.
func TestApplyAboveGeneration(t *testing.T) {
	addr := startPlatform(t)
	apply(t, addr, manifest(1))
	for _, want := range []string{"generation 10 accepted:\n", "generation 10 has this content already\n"} {
		code, stdout, stderr := apply(t, addr, manifest(1), "--above", "9")
		assert.Equal(t, code, exitOK, stderr)
		assert.Equal(t, stdout, want)
	}
}

func TestDryRunPublishesNothing(t *testing.T) {
	addr := startPlatform(t)
	apply(t, addr, manifest(1))
	code, stdout, _ := apply(t, addr, manifest(2), "--dry-run")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, stdout, "would change generation 1:\n- customer c0.weight = 1\n+ customer c0.weight = 2\n")
	_, stdout, _ = apply(t, addr, manifest(1))
	assert.Equal(t, stdout, "generation 1 has this content already\n")
}

// If several operators apply manifests derived from the same generation, one
// succeeds and the others get a conflict.
func TestConcurrentApplyFromSameGeneration(t *testing.T) {
	const operators = 8
	addr := startPlatform(t)
	apply(t, addr, manifest(1))
	codes := make([]int, operators)
	var group conc.WaitGroup
	for i := range operators {
		text := manifest(10 + i)
		group.Go(func() { codes[i], _, _ = apply(t, addr, text, "--from", "1") })
	}
	group.Wait()
	count := make(map[int]int)
	for _, code := range codes {
		count[code]++
	}
	assert.DeepEqual(t, count, map[int]int{exitOK: 1, exitConflict: operators - 1})
	code, stdout, _ := apply(t, addr, manifest(9))
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.HasPrefix(stdout, "generation 3 accepted"), stdout)
}

// With --base, concurrent changes to different sections all succeed; a change to a
// section that was changed meanwhile is a conflict.
func TestConcurrentApplyWithBase(t *testing.T) {
	const operators = 4
	addr := startPlatform(t)
	base := manifest(1, 1, 1, 1)
	apply(t, addr, base)
	baseFile := writeFile(t, "base.ini", base)
	codes := make([]int, operators)
	var group conc.WaitGroup
	for i := range operators {
		weights := []int{1, 1, 1, 1}
		weights[i] = 2
		group.Go(func() { codes[i], _, _ = apply(t, addr, manifest(weights...), "--base", baseFile) })
	}
	group.Wait()
	assert.DeepEqual(t, codes, []int{exitOK, exitOK, exitOK, exitOK})
	_, stdout, _ := apply(t, addr, manifest(2, 2, 2, 2))
	assert.Equal(t, stdout, "generation 5 has this content already\n")
	code, _, stderr := apply(t, addr, manifest(3, 1, 1, 1), "--base", baseFile)
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, strings.Contains(stderr, "changed the same sections (customer c0)"), stderr)
}

// A pipeline that passes --base does not reset the draining key that an operator set.
func TestApplyWithBaseKeepsDraining(t *testing.T) {
	addr := startPlatform(t)
	endpoint := "[domain d]\n[service app]\n[endpoint e]\nkind = service\ndomain = d\naddr = 127.0.0.1:1\nservice = app\n"
	base := writeFile(t, "base.ini", manifest(1)+endpoint)
	apply(t, addr, manifest(1)+endpoint)
	code, _, stderr := call(t, "drain", "--platform", addr, "--deployment", "demo", "e")
	assert.Equal(t, code, exitOK, stderr)
	code, stdout, stderr := apply(t, addr, manifest(2)+endpoint, "--base", base)
	assert.Equal(t, code, exitOK, stderr)
	assert.Equal(t, stdout, "generation 3 accepted:\n- customer c0.weight = 1\n+ customer c0.weight = 2\n")
}

func TestInvalidMergeConflicts(t *testing.T) {
	addr := startPlatform(t)
	spare := "[priority spare]\nlevel = 2\n"
	base := writeFile(t, "base.ini", manifest(1)+spare)
	apply(t, addr, manifest(1)+spare)
	apply(t, addr, manifest(1)) // Removes the spare priority.
	ours := manifest(1) + spare + "[customer late]\npriority = spare\n"
	code, _, stderr := apply(t, addr, ours, "--base", base)
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, strings.Contains(stderr, "invalid together"), stderr)
	assert.Assert(t, strings.Contains(stderr, `no section declares priority "spare"`), stderr)
}

func TestApplyAfterLostResponses(t *testing.T) {
	addr := startPlatform(t)
	apply(t, addr, manifest(1))
	for lost := 1; lost <= 2; lost++ {
		setFaults(t, addr, platform.Faults{LoseResponses: lost})
		code, stdout, stderr := apply(t, addr, manifest(1+lost))
		assert.Equal(t, code, exitOK, stderr)
		assert.Assert(t, strings.HasPrefix(stdout, fmt.Sprintf("generation %d accepted", 1+lost)), stdout)
	}
}

func TestApplyDuringOutage(t *testing.T) {
	addr := startPlatform(t)
	setFaults(t, addr, platform.Faults{Outage: true})
	code, _, stderr := apply(t, addr, manifest(1))
	assert.Equal(t, code, exitUnavailable)
	assert.Assert(t, strings.Contains(stderr, "had no effect"), stderr)
	setFaults(t, addr, platform.Faults{Hang: true})
	code, _, stderr = apply(t, addr, manifest(1), "--timeout", "300ms")
	assert.Equal(t, code, exitUnavailable, stderr)
}
