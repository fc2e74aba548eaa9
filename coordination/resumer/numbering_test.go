package resumer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/resumer"
	"monsoonspar.example/state/registrar"
)

func ExampleNumbering() {
	var n resumer.Numbering
	n.Record(registrar.Identity{Name: "from-one"}, 1)
	n.Record(registrar.Identity{Name: "from-zero"}, 0)
	fmt.Println(n.First(registrar.Identity{Name: "from-one"}))
	fmt.Println(n.First(registrar.Identity{Name: "from-zero"}))
	// Output:
	// 1 true
	// 0 false
}

// Guards against a first event that is taken for known because another process, or only some runs, began with it.
func TestNumberingOfOneProcess(t *testing.T) {
	var n resumer.Numbering
	before, after := registrar.Identity{Name: "i-1", Started: 1}, registrar.Identity{Name: "i-1", Started: 2}
	n.Record(before, 5)
	first, known := n.First(before)
	assert.Assert(t, known && first == 5)
	_, known = n.First(after)
	assert.Assert(t, !known)
	n.Record(before, 1)
	n.Record(before, 5)
	_, known = n.First(before)
	assert.Assert(t, !known, "the runs begin with 5 and 1")
	n.Record(after, 1)
	n.Retain(func(id registrar.Identity) bool { return id == after })
	_, known = n.First(after)
	assert.Assert(t, known)
	n.Record(before, 7)
	first, known = n.First(before)
	assert.Assert(t, known && first == 7, "a removed engine is known no more")
}
