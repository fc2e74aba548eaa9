package requester_test

import (
	"fmt"

	"github.com/pkg/errors"

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
