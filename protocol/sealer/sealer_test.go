package sealer_test

import (
	"fmt"
	"strings"
	"testing"

	"monsoonspar.example/protocol/sealer"

	"gotest.tools/v3/assert"
)

func ExampleSealer() {
	s := sealer.New([]byte("shared"))
	id := "7" + s.StreamSuffix("registro", "engine-1", "a-1")
	p, err := s.Open("registro", id)
	fmt.Println(p.Endpoint, p.Attempt, p.Index, err)
	// Output: engine-1 a-1 7 <nil>
}

func TestOpenRejectsInvalidIDs(t *testing.T) {
	s := sealer.New([]byte("shared"))
	id := "7" + s.StreamSuffix("a", "engine-1", "a-1")
	_, err := s.Open("b", id)
	assert.ErrorIs(t, err, sealer.ErrInvalidID)
	_, err = sealer.New([]byte("other")).Open("a", id)
	assert.ErrorIs(t, err, sealer.ErrInvalidID)
	parts := strings.Split(id, ".")
	for _, bad := range []string{"", "..", "7", "-1." + parts[1] + "." + parts[2], "7.x." + parts[2], "7." + parts[1] + ".", strings.Repeat("9", 2000)} {
		_, err := s.Open("a", bad)
		assert.ErrorIs(t, err, sealer.ErrInvalidID, bad)
	}
}

func FuzzOpen(f *testing.F) {
	s := sealer.New([]byte("shared"))
	f.Add("7" + s.StreamSuffix("a", "e", "x"))
	f.Add("1.a.b")
	f.Fuzz(func(t *testing.T, id string) {
		p, err := s.Open("a", id)
		if err == nil && p.Index < 0 {
			t.Fatal("negative index")
		}
	})
}
