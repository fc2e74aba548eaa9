package marker_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/marker"
)

func ExampleParse() {
	directives := marker.Parse("Draft a notice. [[id=n7]] [[tokens=3]]")
	fmt.Println(directives.ID, directives.Tokens)
	// Output: n7 3
}

func FuzzParseTokens(f *testing.F) {
	f.Add("a-b-0 a-b-1 ")
	f.Add("a-b--1")
	f.Add("x y z")
	f.Fuzz(func(t *testing.T, text string) {
		tokens, err := marker.ParseTokens(text)
		if err != nil {
			assert.ErrorIs(t, err, marker.ErrInvalidToken)
			return
		}
		for _, token := range tokens {
			reparsed, err := marker.ParseTokens(token.String())
			assert.NilError(t, err)
			assert.DeepEqual(t, reparsed, []marker.Token{token})
		}
	})
}
