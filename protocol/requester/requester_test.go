package requester_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
)

func ExampleFailureError() {
	var err error = requester.FailureError{Kind: requester.ErrOutcomeUnknown, Cause: requester.ErrReadTimeout}
	fmt.Println(errors.Is(err, requester.ErrOutcomeUnknown), errors.Is(err, requester.ErrReadTimeout), errors.Is(err, requester.ErrNotSent))
	// Output: true true false
}

func ExampleResponse_Get() {
	r := requester.Response{Header: []requester.Header{{Name: "Retry-After", Value: "2"}}}
	fmt.Println(r.Get("retry-after"))
	// Output: 2
}

func ExampleResponse_ReadAll() {
	r := requester.Response{Body: io.NopCloser(strings.NewReader("text")), Length: 4, Framing: verifier.ByLength}
	text, err := r.ReadAll(100)
	fmt.Printf("%s %v", text, err)
	// Output: text <nil>
}

// closeRecorder is a body that records whether it has been closed.
type closeRecorder struct {
	io.Reader
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// Guards against bodies that are cut at the limit of their reader, or at an error.
func TestReadAllReturnsWholeBodiesOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		body   io.Reader
		length int
		want   error
	}{
		{"at the limit", strings.NewReader(strings.Repeat("x", 1000)), -1, nil},
		{"beyond the limit", strings.NewReader(strings.Repeat("x", 1001)), -1, verifier.ErrTooLarge},
		{"declared beyond the limit", strings.NewReader(""), 1001, verifier.ErrTooLarge},
		{"truncated", io.MultiReader(strings.NewReader("x"), errReader{io.ErrUnexpectedEOF}), 5, io.ErrUnexpectedEOF},
		{"wrapped end", io.MultiReader(strings.NewReader("x"), errReader{errors.Wrap(io.EOF, "cut")}), -1, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			body := &closeRecorder{Reader: c.body}
			text, err := requester.Response{Body: body, Length: c.length}.ReadAll(1000)
			assert.Assert(t, body.closed)
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, len(text), 1000)
				return
			}
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, len(text), 0)
		})
	}
}

// errReader returns an error.
type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }
