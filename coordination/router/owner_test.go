package router_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/router"
)

func ExampleOwnersOf() {
	ranked := router.OwnersOf("e1", []string{"a", "b", "c"})
	without := router.OwnersOf("e1", ranked[1:])
	fmt.Println(without[0] == ranked[1])
	// Output: true
}

func TestOwnersSpreadEvenly(t *testing.T) {
	daemons := make([]string, 38)
	for i := range daemons {
		daemons[i] = fmt.Sprintf("daemon-%d", i)
	}
	owned := map[string]int{}
	for i := range 3800 {
		e := fmt.Sprintf("endpoint-%d", i)
		first, ok := router.OwnerOf(e, daemons)
		assert.Assert(t, ok)
		assert.Equal(t, first, router.OwnersOf(e, daemons)[0])
		owned[first]++
	}
	for d, n := range owned {
		assert.Assert(t, n > 60 && n < 150, "%s owns %d of 3800", d, n)
	}
	_, ok := router.OwnerOf("e", nil)
	assert.Assert(t, !ok)
}

func BenchmarkOwnerOf(b *testing.B) {
	daemons := make([]string, 38)
	for i := range daemons {
		daemons[i] = fmt.Sprintf("daemon-%d", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		router.OwnerOf("endpoint-17", daemons)
	}
}
