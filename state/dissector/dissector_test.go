package dissector_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/dissector"
)

func ExampleSplit() {
	rest, elements, err := dissector.Split([]byte(`{"items":[{"name":"a"},[[]],{"name":"b"}],"as_of":7}`), "items")
	fmt.Println(string(rest), err)
	for _, e := range elements {
		fmt.Println(string(e))
	}
	// Output:
	// {"items":[],"as_of":7} <nil>
	// {"name":"a"}
	// [[]]
	// {"name":"b"}
}

// Guards against one element that ends the decoding of the whole message.
func TestSplitIsolatesOddElements(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, odd := range []string{
		deep, `{"x":` + deep + `}`, strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000), "1e999999", `"\ud800"`, "null", `"]}"`, "{}", "\"\xff\"", `{"a":01}`,
	} {
		rest, elements, err := dissector.Split([]byte(`{"items":[{"n":1},`+odd+`,{"n":2}],"as_of":7}`), "items")
		assert.NilError(t, err)
		assert.Equal(t, string(rest), `{"items":[],"as_of":7}`)
		assert.Equal(t, len(elements), 3)
		assert.Equal(t, string(elements[2]), `{"n":2}`)
	}
}

func TestSplitRefusesMalformedMessages(t *testing.T) {
	for _, text := range []string{"", "null", "[]", "{}", `{"items":{}}`, `{"items":[1,2`, `{"items":[{"a":[}],"as_of":7}`, `{"items":[]}}`, `{"items":[],"as_of":}`} {
		_, _, err := dissector.Split([]byte(text), "items")
		assert.ErrorIs(t, err, dissector.ErrNoList, text)
	}
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte(`{"items":[{"n":1},[[]],"x"],"as_of":7}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		rest, elements, err := dissector.Split(text, "items")
		if err != nil {
			return
		}
		if !json.Valid(rest) {
			t.Fatalf("%q leaves %q", text, rest)
		}
		var name string
		for _, e := range elements {
			dissector.Decode(e, "metadata.name", &name)
		}
	})
}
