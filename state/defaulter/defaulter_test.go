package defaulter_test

import (
	"fmt"
	"time"

	"monsoonspar.example/state/defaulter"
)

func ExampleSet() {
	var timeout time.Duration
	retries := 5
	defaulter.Set(&timeout, time.Second)
	defaulter.Set(&retries, 3)
	fmt.Println(timeout, retries)
	// Output: 1s 5
}
