package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
)

func TestDrainSetsDrainingOfOneEndpoint(t *testing.T) {
	text, err := os.ReadFile("../../examples/registro.ini")
	assert.NilError(t, err)
	m, err := parser.ParseManifest("registro.ini", text)
	assert.NilError(t, err)
	sections, err := parser.Sections("registro.ini", text)
	assert.NilError(t, err)
	before, err := partitioner.Split(sections)
	assert.NilError(t, err)
	name := m.Endpoints[1].Name
	cmd := drainCmd{Endpoint: name}
	after, err := cmd.withDraining(before)
	assert.NilError(t, err)
	drained, err := parser.ParseManifest("after", after.Text())
	assert.NilError(t, err)
	for _, e := range drained.Endpoints {
		assert.Equal(t, e.Draining, e.Name == name)
	}
	again, err := cmd.withDraining(after)
	assert.NilError(t, err)
	assert.Equal(t, again.Root, after.Root)
	cmd.Undo = true
	undone, err := cmd.withDraining(after)
	assert.NilError(t, err)
	assert.Equal(t, undone.Root, before.Root)
	_, err = (&drainCmd{Endpoint: "nowhere"}).withDraining(before)
	assert.ErrorIs(t, err, errUnknownEndpoint)
	assert.Assert(t, !strings.Contains(string(before.Text()), "draining"))
}
